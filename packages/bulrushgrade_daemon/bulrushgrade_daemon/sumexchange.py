"""Exchanges sums of small vectors by key in the messages that carry loads.

Each table is the concern of one service, which reads the sums from it and
states this host's own vectors. A message carries a limited number of entries
of each table; the others follow in the next rounds, so that the size of a
message doesn't depend on the number of engines or workspaces.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import Any

from bulrushgrade import peersums
from bulrushgrade_daemon import gatewaymessages

ROUND_S, MAX_ROUNDS = 0.5, 10
"""Messages of large fleets are seconds apart. A message carries the limit of
entries for each half second since the last one, at most ten times as many, so
that the time in which all entries are sent doesn't grow with the interval."""

UNITS = 100
"""Values are sent in hundredths: small integers take one to three bytes, a
float nine."""


MAX_SENT = 2**53
"""Maximum absolute value in a message, in hundredths. Sums of incorrect values
would exceed the 64 bits of an integer in msgpack, and no message could be
sent."""

Condense = Callable[
    [peersums.Entries, peersums.Entries, bool], peersums.Entries
]
"""Returns the entries to send of the sums of a group or the fleet. Gets these
sums, those of all hosts, and whether the message is for the fleet."""


class SumExchange:
    """Selects the sums to send, and takes in those of peers."""

    def __init__(self, *, timers: Any):
        """Creates an exchange without tables.

        Args:
            timers: The timer service.
        """
        self._timers = timers
        self._tables: dict[str, _SharedTable] = {}

    def add(
        self,
        name: str,
        *,
        table: peersums.SumTable,
        read_own: Callable[[float], peersums.Entries],
        max_entries: int,
        interval_s: float,
        condense: Condense | None = None,
    ) -> None:
        """Adds a table. Tables of other names are neither sent nor read.

        Args:
            name: The table's name in messages.
            table: Receives the vectors of peers.
            read_own: Returns this host's vectors; gets the time in seconds.
            max_entries: Maximum number of entries in a message, or in those of
                half a second if they are further apart.
            interval_s: Minimum time between two messages with the same key.
            condense: Reduces the sums of a group or the fleet to fewer
                entries; None if all are sent.
        """
        self._tables[name] = _SharedTable(
            table=table,
            read_own=read_own,
            max_entries=max_entries,
            interval_s=interval_s,
            condense=condense,
        )

    def dump(self) -> dict[str, Any]:
        """Returns the number of keys that peers advertise, by table."""
        now = self._timers.now
        return {
            name: len(shared.table.keys(now))
            for name, shared in self._tables.items()
        }

    def begin_round(self) -> None:
        """Begins a round of messages with the present vectors of this host."""
        for shared in self._tables.values():
            shared.begin_round()

    def expire(self, silent_s: float) -> None:
        """Drops what is too old, and vectors of peers silent for that long."""
        for shared in self._tables.values():
            shared.table.expire(self._timers.now, silent_s=silent_s)

    def drop(self, name: str) -> None:
        """Drops the vectors of a peer that is known to be gone."""
        for shared in self._tables.values():
            shared.table.drop(name)

    def clear_fleet(self) -> None:
        """Drops the sums of all hosts, when this host begins to make them."""
        for shared in self._tables.values():
            shared.table.clear_fleet()

    def make_own(self) -> gatewaymessages.SumNews:
        """Returns some of this host's vectors, for its aggregator."""
        return self._make(_SharedTable.next_own)

    def make_group(self) -> gatewaymessages.SumNews:
        """Returns some of the group's sums, for other aggregators."""
        return self._make(_SharedTable.next_group)

    def make_fleet(self) -> gatewaymessages.SumNews:
        """Returns some of the sums of all hosts, for the group's members."""
        return self._make(_SharedTable.next_fleet)

    def merge(
        self,
        message: gatewaymessages.Load
        | gatewaymessages.GroupLoad
        | gatewaymessages.FleetLoad,
    ) -> None:
        """Takes in the sums of a message, also if it has none.

        A sender without entries is still present, so its former ones remain.
        """
        now = self._timers.now
        for name, shared in self._tables.items():
            entries = _decode(message.sums.get(name, ()))
            match message:
                case gatewaymessages.Load():
                    shared.table.update_member(message.peer, entries, now)
                case gatewaymessages.GroupLoad():
                    shared.table.update_group(message.peer, entries, now)
                case gatewaymessages.FleetLoad():
                    shared.table.update_fleet(entries, now)

    def _make(
        self, read: Callable[["_SharedTable", float], peersums.Entries]
    ) -> gatewaymessages.SumNews:
        now = self._timers.now
        found = {
            name: _encode(read(shared, now))
            for name, shared in self._tables.items()
        }
        return {name: entries for name, entries in found.items() if entries}


class _SharedTable:
    """A table, and which of its entries are to be sent next."""

    def __init__(
        self,
        *,
        table: peersums.SumTable,
        read_own: Callable[[float], peersums.Entries],
        max_entries: int,
        interval_s: float,
        condense: Condense | None,
    ):
        self.table = table
        self._read_own = read_own
        self._condense = condense
        self._zero = (0.0,) * table.width
        self._own: peersums.Entries | None = None
        # What is sent in the present turn, by whether it goes to members. If
        # it changed within a turn, a key could count twice or not at all.
        self._condensed: dict[bool, peersums.Entries] = {}
        self._own_turns = _Rotation(max_entries, interval_s)
        self._group_turns = _Rotation(max_entries, interval_s)
        self._fleet_turns = _Rotation(max_entries, interval_s)

    def begin_round(self) -> None:
        self._own = None

    def next_own(self, now: float) -> peersums.Entries:
        keys = self._own_turns.next(lambda: self._find_own(now), now)
        own = self._find_own(now) if keys else {}
        return {key: own.get(key, self._zero) for key in keys}

    def next_group(self, now: float) -> peersums.Entries:
        return self._next_sums(self._group_turns, now, is_fleet=False)

    def next_fleet(self, now: float) -> peersums.Entries:
        return self._next_sums(self._fleet_turns, now, is_fleet=True)

    def _next_sums(
        self, turns: "_Rotation", now: float, *, is_fleet: bool
    ) -> peersums.Entries:
        if self._condense is None:
            keys = turns.next(lambda: self._find_keys(now, is_fleet), now)
            return self._sum(keys, now, is_fleet)

        def find_condensed() -> peersums.Entries:
            found = self._find_condensed(now, is_fleet)
            self._condensed[is_fleet] = found
            return found

        keys = turns.next(find_condensed, now)
        condensed = self._condensed.get(is_fleet, {})
        return {key: condensed.get(key, self._zero) for key in keys}

    def _find_condensed(self, now: float, is_fleet: bool) -> peersums.Entries:
        totals = self._sum(self._find_keys(now, True), now, True)
        sums = totals
        if not is_fleet:
            sums = self._sum(self._find_keys(now, False), now, False)
        return self._condense(sums, totals, is_fleet)

    def _find_keys(self, now: float, is_fleet: bool) -> set[str]:
        table = self.table
        of_peers = table.keys(now) if is_fleet else table.group_keys(now)
        return self._find_own(now).keys() | of_peers

    def _sum(
        self, keys: Iterable[str], now: float, is_fleet: bool
    ) -> peersums.Entries:
        add = self.table.total if is_fleet else self.table.group_sum
        own = self._find_own(now) if keys else {}
        return {key: add(key, own.get(key), now) for key in keys}

    def _find_own(self, now: float) -> peersums.Entries:
        """Returns this host's vectors, read at most once per round."""
        if self._own is None:
            self._own = self._read_own(now)
        return self._own


class _Rotation:
    """Selects keys in turn; each at most once per interval.

    A key that is gone is selected once more. Peers would otherwise count its
    last vector until it expires, also where another key includes it now.
    """

    def __init__(self, max_entries: int, interval_s: float):
        self._max_entries = max_entries
        self._interval_s = interval_s
        self._waiting: collections.deque[str] = collections.deque()
        self._present: set[str] = set()
        self._began_at = -math.inf
        self._called_at: float | None = None

    def next(
        self, find_keys: Callable[[], Iterable[str]], now: float
    ) -> list[str]:
        if not self._waiting and now - self._began_at >= self._interval_s:
            present = set(find_keys())
            self._waiting.extend(sorted(present | self._present))
            self._present = present
            self._began_at = now
        elapsed_s = 0.0 if self._called_at is None else now - self._called_at
        self._called_at = now
        rounds = min(max(1, round(elapsed_s / ROUND_S)), MAX_ROUNDS)
        count = min(rounds * self._max_entries, len(self._waiting))
        return [self._waiting.popleft() for _ in range(count)]


def _encode(entries: peersums.Entries) -> list[gatewaymessages.SumEntry]:
    return [
        (key, [_encode_value(value) for value in vector])
        for key, vector in entries.items()
    ]


def _encode_value(value: float) -> int:
    return min(max(round(value * UNITS), -MAX_SENT), MAX_SENT)


def _decode(
    entries: Iterable[gatewaymessages.SumEntry],
) -> dict[str, peersums.Vector]:
    return {
        key: tuple(value / UNITS for value in values) for key, values in entries
    }
