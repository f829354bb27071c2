"""What other daemons have at each engine.

Load: many daemons send to the same engines. Harm: each sees only its own
part of a queue and of the streams, so that all of them send to an engine that
looks idle to each, while others stand by. Every daemon advertises what it has
there, some add up what a group of them has and exchange the sums, and every
daemon hears the sum of all. A message is absolute and replaces the one
before, so that a lost or late one only makes the view a little older.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

import attrs

MIN_STALE_S = 1.5
"""How long a message counts at least. Queues of seconds empty in about that
time, and a daemon that died holds nothing any more."""

MAX_OWN_MESSAGES = 32
"""Own messages that are remembered until the sum that has them comes back."""


@attrs.frozen(kw_only=True)
class EngineShare:
    """What one daemon, or several together, have at an engine.

    Attributes:
        queued_s: Seconds of reading that wait, by urgency; 0 is read first.
        streams: Answers that are generated, or soon will be.
        tokens: What those have in the engine's memory.
    """

    queued_s: Mapping[int, float] = attrs.field(factory=dict)
    streams: int = 0
    tokens: int = 0

    def wait_s(self, urgency: int) -> float:
        """Returns the seconds that wait of an urgency or more."""
        return sum(
            seconds
            for level, seconds in self.queued_s.items()
            if level <= urgency
        )

    def __add__(self, other: "EngineShare") -> "EngineShare":
        """Returns both together."""
        if other is EMPTY_SHARE:
            return self
        if self is EMPTY_SHARE:
            return other
        queued_s = dict(self.queued_s)
        for level, seconds in other.queued_s.items():
            queued_s[level] = queued_s.get(level, 0.0) + seconds
        return EngineShare(
            queued_s=queued_s,
            streams=self.streams + other.streams,
            tokens=self.tokens + other.tokens,
        )

    def __sub__(self, part: "EngineShare") -> "EngineShare":
        """Returns what is left without a part; never less than nothing."""
        queued_s = {
            level: max(0.0, seconds - part.queued_s.get(level, 0.0))
            for level, seconds in self.queued_s.items()
        }
        return EngineShare(
            queued_s=queued_s,
            streams=max(0, self.streams - part.streams),
            tokens=max(0, self.tokens - part.tokens),
        )


EMPTY_SHARE = EngineShare()

Shares = Mapping[str, EngineShare]
"""What somebody has, by the engines' ids; what is missing is nothing."""


def sum_shares(parts: Iterable[Shares]) -> dict[str, EngineShare]:
    """Returns what several have together, by engine."""
    total: dict[str, EngineShare] = {}
    for shares in parts:
        for engine, share in shares.items():
            known = total.get(engine)
            total[engine] = share if known is None else known + share
    return total


@attrs.frozen(kw_only=True)
class _Message:
    at: float
    number: int
    shares: Shares


class _LatestMessages:
    """The newest message of each sender."""

    def __init__(self):
        self._by_name: dict[str, _Message] = {}

    def update(
        self, name: str, number: int, shares: Shares, now: float
    ) -> bool:
        known = self._by_name.get(name)
        if known is not None and number <= known.number:
            return False
        self._by_name[name] = _Message(at=now, number=number, shares=shares)
        return True

    def fresh(self, now: float, stale_s: float) -> dict[str, _Message]:
        return {
            name: message
            for name, message in self._by_name.items()
            if now - message.at < stale_s
        }

    def at(self, engine: str, now: float, stale_s: float) -> EngineShare:
        found = EMPTY_SHARE
        for message in self._by_name.values():
            share = message.shares.get(engine)
            if share is not None and now - message.at < stale_s:
                found += share
        return found

    def drop(self, name: str) -> None:
        self._by_name.pop(name, None)

    def forget(self, now: float, stale_s: float) -> None:
        self._by_name = self.fresh(now, stale_s)


class PeerLoads:
    """What peers have, by engine.

    A daemon that adds up goes by its members and by the other groups' sums;
    any other one by the sum of all that it is told, less its own share.
    """

    def __init__(self):
        self.stale_s = MIN_STALE_S
        self._members = _LatestMessages()
        self._groups = _LatestMessages()
        self._fleet: _Message | None = None
        self._own_in_fleet: Shares = {}
        self._own: collections.OrderedDict[int, Shares] = (
            collections.OrderedDict()
        )

    def update_member(
        self, name: str, number: int, shares: Shares, now: float
    ) -> bool:
        """Takes what a member of this daemon's group has.

        Args:
            name: Who sent it; another one after each start.
            number: Grows from each of its messages to the next.
            shares: What it has.
            now: The present time in seconds.

        Returns:
            Whether it is newer than what was known.
        """
        if not self._members.update(name, number, shares, now):
            return False
        # It had been a group of its own; counted twice it would look busy.
        self._groups.drop(name)
        return True

    def update_group(
        self, name: str, number: int, shares: Shares, now: float
    ) -> bool:
        """Takes the sum of another group; as for `update_member`."""
        if not self._groups.update(name, number, shares, now):
            return False
        self._members.drop(name)
        return True

    def update_fleet(
        self, own_number: int, number: int, shares: Shares, now: float
    ) -> None:
        """Takes the sum of all daemons, this one included.

        Args:
            own_number: The message of this daemon that is in it.
            number: Grows from each sum to the next.
            shares: What all have together.
            now: The present time in seconds.
        """
        self._fleet = _Message(at=now, number=number, shares=shares)
        self._own_in_fleet = self._own.get(own_number, {})

    def record_own(self, number: int, shares: Shares) -> None:
        """Remembers what this daemon advertised under a number."""
        self._own[number] = shares
        while len(self._own) > MAX_OWN_MESSAGES:
            self._own.popitem(last=False)

    def member_numbers(self, now: float) -> dict[str, int]:
        """Returns the number of each member's newest message."""
        fresh = self._members.fresh(now, self.stale_s)
        return {name: message.number for name, message in fresh.items()}

    def group_sum(self, own: Shares, now: float) -> dict[str, EngineShare]:
        """Returns what this daemon and its members have together."""
        members = self._members.fresh(now, self.stale_s).values()
        return sum_shares([own, *(message.shares for message in members)])

    def other_groups(self, now: float) -> list[Shares]:
        """Returns the sums of the other groups."""
        groups = self._groups.fresh(now, self.stale_s).values()
        return [message.shares for message in groups]

    def at(self, engine: str, now: float) -> EngineShare:
        """Returns what all peers together have at an engine."""
        fleet = self._fleet
        if fleet is not None and now - fleet.at < self.stale_s:
            total = fleet.shares.get(engine, EMPTY_SHARE)
            own = self._own_in_fleet.get(engine)
            return total if own is None else total - own
        members = self._members.at(engine, now, self.stale_s)
        return members + self._groups.at(engine, now, self.stale_s)

    def clear_fleet(self) -> None:
        """Forgets the sum of all; this daemon adds up itself now."""
        self._fleet = None

    def drop(self, name: str) -> None:
        """Forgets a peer that is known to be gone."""
        self._members.drop(name)
        self._groups.drop(name)

    def forget(self, now: float) -> None:
        """Drops what is too old to count."""
        self._members.forget(now, self.stale_s)
        self._groups.forget(now, self.stale_s)
