"""What other daemons have at each engine.

Load: many daemons send to the same engines. Harm: each sees only its own
part of a queue and of the streams, so that all of them send to an engine that
looks idle to each, while others stand by. Every daemon advertises what it has
there; a message is absolute and replaces the one before, so that a lost or
late one only makes the view a little older.
"""

import collections
from collections.abc import Mapping

import attrs

STALE_S = 1.5
"""How long a message counts. Queues of seconds empty in about that time, and
a daemon that died holds nothing any more."""


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
        queued_s = collections.Counter(self.queued_s)
        queued_s.update(other.queued_s)
        return EngineShare(
            queued_s=queued_s,
            streams=self.streams + other.streams,
            tokens=self.tokens + other.tokens,
        )


NOTHING = EngineShare()


@attrs.frozen(kw_only=True)
class _Advertised:
    at: float
    number: int
    shares: Mapping[str, EngineShare]


class PeerLoads:
    """What peers have, by engine."""

    def __init__(self):
        self._by_peer: dict[str, _Advertised] = {}

    def update(
        self,
        peer: str,
        number: int,
        shares: Mapping[str, EngineShare],
        now: float,
    ) -> None:
        """Takes a peer's message.

        Args:
            peer: Who sent it; another one after each start.
            number: Grows from each of its messages to the next.
            shares: What it has by engine; what is missing is nothing.
            now: The present time in seconds.
        """
        known = self._by_peer.get(peer)
        if known is not None and number <= known.number:
            return
        self._by_peer[peer] = _Advertised(at=now, number=number, shares=shares)

    def at(self, engine: str, now: float) -> EngineShare:
        """Returns what all peers together have at an engine."""
        found = NOTHING
        for peer in self._by_peer.values():
            share = peer.shares.get(engine)
            if share is not None and now - peer.at < STALE_S:
                found += share
        return found

    def drop(self, peer: str) -> None:
        """Forgets a peer that is known to be gone."""
        self._by_peer.pop(peer, None)

    def forget(self, now: float, *, silent_s: float) -> None:
        """Drops peers that have been silent for so long."""
        for peer, known in list(self._by_peer.items()):
            if now - known.at >= silent_s:
                del self._by_peer[peer]

    def heard(self, now: float, *, silent_s: float) -> list[str]:
        """Returns the peers that were heard within a time, sorted."""
        return sorted(
            peer
            for peer, known in self._by_peer.items()
            if now - known.at < silent_s
        )
