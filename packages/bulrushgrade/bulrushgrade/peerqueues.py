"""What other daemons have waiting at each engine.

Load: many daemons send to the same engines. Harm: each sees only its own
part of a queue, so that all of them send to an engine that looks idle to
each, and its queue grows by seconds while others stand by. Every daemon
advertises what it has there; a message is absolute and replaces the one
before, so that a lost or late one only makes the view a little older.
"""

from collections.abc import Mapping

STALE_S = 1.5
"""How long a message counts. Queues of seconds empty in about that time, and
a daemon that died holds nothing any more."""


class PeerQueues:
    """Seconds of reading that peers have waiting, by engine."""

    def __init__(self):
        self._by_peer: dict[str, tuple[float, int, dict[str, float]]] = {}

    def update(
        self, peer: str, number: int, queued_s: Mapping[str, float], now: float
    ) -> None:
        """Takes a peer's message.

        Args:
            peer: Who sent it; another one after each start.
            number: Grows from each of its messages to the next.
            queued_s: Seconds of reading by engine; what is missing is none.
            now: The present time in seconds.
        """
        known = self._by_peer.get(peer)
        if known is not None and number <= known[1]:
            return
        self._by_peer[peer] = (now, number, dict(queued_s))

    def queued_s(self, engine: str, now: float) -> float:
        """Returns what all peers have waiting at an engine."""
        return sum(
            queued_s.get(engine, 0.0)
            for at, _, queued_s in self._by_peer.values()
            if now - at < STALE_S
        )

    def drop(self, peer: str) -> None:
        """Forgets a peer that is known to be gone."""
        self._by_peer.pop(peer, None)

    def forget(self, now: float, *, silent_s: float) -> None:
        """Drops peers that have been silent for so long."""
        for peer, (at, _, _) in list(self._by_peer.items()):
            if now - at >= silent_s:
                del self._by_peer[peer]

    def heard(self, now: float, *, silent_s: float) -> list[str]:
        """Returns the peers that were heard within a time, sorted."""
        return sorted(
            peer
            for peer, (at, _, _) in self._by_peer.items()
            if now - at < silent_s
        )
