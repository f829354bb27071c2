"""Load of other daemons at each engine.

Many daemons send requests to the same engines, and each sees only its own part
of the queues and streams. Without further information they would all send to an
engine that looks idle to each of them while others are idle. So every daemon
advertises its load, some daemons sum the loads of a group of daemons and
exchange the sums, and every daemon receives the sum of all. Each message
contains absolute values and replaces the previous one, so a lost or late
message only makes the information slightly older.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

import attrs

MIN_STALE_S = 1.5
"""Minimum age at which a message expires. Queues of a few seconds empty in
about that time, and a daemon that died has no load any more."""

MAX_OWN_MESSAGES = 32
"""Number of own messages that are remembered until a sum that includes them
arrives."""


@attrs.frozen(kw_only=True)
class EngineShare:
    """Load of one or several daemons at an engine.

    Attributes:
        queued_s: Seconds of queued prefill by urgency; 0 is the most urgent.
        streams: Answers that are being generated or soon will be.
        tokens: Tokens of those streams in the engine's memory.
    """

    queued_s: Mapping[int, float] = attrs.field(factory=dict)
    streams: int = 0
    tokens: int = 0

    def wait_s(self, urgency: int) -> float:
        """Returns the queued seconds of an urgency and all more urgent ones."""
        return sum(
            seconds
            for level, seconds in self.queued_s.items()
            if level <= urgency
        )

    def __add__(self, other: "EngineShare") -> "EngineShare":
        """Returns the sum of both loads."""
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
        """Returns the load without a part of it; no value falls below zero."""
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
"""Loads by engine id; an engine that is missing has no load."""


def sum_shares(parts: Iterable[Shares]) -> dict[str, EngineShare]:
    """Returns the sum of several loads by engine."""
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
    """The latest message of each sender."""

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
    """Loads of all peers by engine.

    A daemon that aggregates uses the loads of its group's members and the sums
    of the other groups. Any other daemon uses the fleet sum that it receives,
    minus its own share.
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
        """Updates the load of a member of this daemon's group.

        Args:
            name: The sender; a restarted daemon has a new name.
            number: The message number, which increases with each message.
            shares: The sender's load by engine.
            now: The present time in seconds.

        Returns:
            Whether the message is newer than the last one.
        """
        if not self._members.update(name, number, shares, now):
            return False
        # The member may have been a group of its own before. Counting it twice
        # would overestimate its load.
        self._groups.drop(name)
        return True

    def update_group(
        self, name: str, number: int, shares: Shares, now: float
    ) -> bool:
        """Updates the sum of another group; see `update_member`."""
        if not self._groups.update(name, number, shares, now):
            return False
        self._members.drop(name)
        return True

    def update_fleet(
        self, own_number: int, number: int, shares: Shares, now: float
    ) -> None:
        """Updates the sum of all daemons, which includes this one.

        Args:
            own_number: Number of the message of this daemon that the sum
                includes.
            number: The number of the sum, which increases with each sum.
            shares: The sum by engine.
            now: The present time in seconds.
        """
        self._fleet = _Message(at=now, number=number, shares=shares)
        self._own_in_fleet = self._own.get(own_number, {})

    def record_own(self, number: int, shares: Shares) -> None:
        """Records the load that this daemon advertised under a number."""
        self._own[number] = shares
        while len(self._own) > MAX_OWN_MESSAGES:
            self._own.popitem(last=False)

    def member_numbers(self, now: float) -> dict[str, int]:
        """Returns the number of each member's latest message."""
        fresh = self._members.fresh(now, self.stale_s)
        return {name: message.number for name, message in fresh.items()}

    def group_sum(self, own: Shares, now: float) -> dict[str, EngineShare]:
        """Returns the sum of this daemon's load and its members'."""
        members = self._members.fresh(now, self.stale_s).values()
        return sum_shares([own, *(message.shares for message in members)])

    def other_groups(self, now: float) -> list[Shares]:
        """Returns the sums of the other groups."""
        groups = self._groups.fresh(now, self.stale_s).values()
        return [message.shares for message in groups]

    def has_recent(self, now: float) -> bool:
        """Returns whether the load of any peer is known."""
        if self._fleet is not None and now - self._fleet.at < self.stale_s:
            return True
        return bool(
            self._members.fresh(now, self.stale_s)
            or self._groups.fresh(now, self.stale_s)
        )

    def at(self, engine: str, now: float) -> EngineShare:
        """Returns the sum of all peers' loads at an engine."""
        fleet = self._fleet
        if fleet is not None and now - fleet.at < self.stale_s:
            total = fleet.shares.get(engine, EMPTY_SHARE)
            own = self._own_in_fleet.get(engine)
            return total if own is None else total - own
        members = self._members.at(engine, now, self.stale_s)
        return members + self._groups.at(engine, now, self.stale_s)

    def clear_fleet(self) -> None:
        """Drops the fleet sum when this daemon begins to aggregate itself."""
        self._fleet = None

    def drop(self, name: str) -> None:
        """Drops the load of a peer that is known to be gone."""
        self._members.drop(name)
        self._groups.drop(name)

    def forget(self, now: float) -> None:
        """Drops expired messages."""
        self._members.forget(now, self.stale_s)
        self._groups.forget(now, self.stale_s)
