"""Chooses the peer by way of which a request is sent to an endpoint."""

from collections.abc import Hashable
from collections.abc import Iterable
import math
import random

import attrs

AVOID_BASE_S = 0.5
"""Time for which a peer is not asked after it could not help; it doubles with
each further time."""

AVOID_MAX_S = 4.0
"""Maximum of that time."""

NO_LINK_S = 2.0
"""Time for which a peer is not asked for one endpoint that it can't reach."""

FORGET_S = 10.0
"""Time after which the failures of a peer that was not asked again no longer
count."""


@attrs.define(kw_only=True)
class _PeerState:
    """What is known of a peer.

    Attributes:
        open: Number of open connections by way of it.
        failures: How often in a row it could not help.
        avoid_until: Time before which it is not asked.
    """

    open: int = 0
    failures: int = 0
    avoid_until: float = -math.inf


_UNKNOWN = _PeerState()


class RelayChoice:
    """Spreads relayed connections over the peers that can help."""

    def __init__(self, *, rng: random.Random):
        """Creates a choice without experience.

        Args:
            rng: Breaks ties.
        """
        self._rng = rng
        self._peers: dict[str, _PeerState] = {}
        # Whether a peer last reached an endpoint, and until when that counts.
        self._reached: dict[tuple[str, Hashable], tuple[bool, float]] = {}

    @property
    def open_connections(self) -> int:
        """Number of open connections by way of peers."""
        return sum(state.open for state in self._peers.values())

    def pick(
        self,
        peers: Iterable[str],
        now: float,
        count: int = 1,
        *,
        endpoint: Hashable = None,
    ) -> list[str]:
        """Returns up to `count` peers to ask, the best first.

        These are the peers that reached the endpoint lately. Peers that could
        not help before come last, as do those with many open connections.

        Args:
            peers: The peers that are present.
            now: The current time in seconds.
            count: Maximum number of peers.
            endpoint: The endpoint to be reached, None if it doesn't matter.
        """
        candidates = [
            peer for peer in peers if self._is_candidate(peer, endpoint, now)
        ]
        # Sorting is stable, so that equal peers stay in random order.
        self._rng.shuffle(candidates)
        candidates.sort(key=lambda peer: self._rank(peer, endpoint, now))
        return candidates[:count]

    def observe_reach(
        self,
        peer: str,
        endpoint: Hashable,
        is_reached: bool,
        now: float,
        *,
        for_s: float = NO_LINK_S,
    ) -> None:
        """Takes in whether an endpoint can be reached by way of a peer.

        Args:
            peer: The peer.
            endpoint: The endpoint.
            is_reached: Whether it was reached.
            now: The current time in seconds.
            for_s: How long that counts.
        """
        self._reached[peer, endpoint] = (is_reached, now + for_s)

    def begin(self, peer: str) -> None:
        """Counts a connection by way of a peer."""
        self._state(peer).open += 1

    def end(self, peer: str) -> None:
        """Stops counting a connection by way of a peer."""
        self._state(peer).open -= 1

    def succeeded(self, peer: str) -> None:
        """Takes in that a peer has opened a connection."""
        state = self._state(peer)
        state.failures, state.avoid_until = 0, -math.inf

    def failed(self, peer: str, now: float) -> None:
        """Takes in that a peer could not help."""
        state = self._state(peer)
        if now - state.avoid_until > FORGET_S:
            state.failures = 0
        avoid_s = min(AVOID_BASE_S * 2**state.failures, AVOID_MAX_S)
        state.avoid_until = now + avoid_s
        state.failures += 1

    def forget(self, peers: Iterable[str], now: float) -> None:
        """Drops the state of peers that are gone and have no connection."""
        kept = set(peers)
        self._peers = {
            peer: state
            for peer, state in self._peers.items()
            if peer in kept or state.open > 0
        }
        self._reached = {
            key: found for key, found in self._reached.items() if found[1] > now
        }

    def _state(self, peer: str) -> _PeerState:
        return self._peers.setdefault(peer, _PeerState())

    def _is_candidate(self, peer: str, endpoint: Hashable, now: float) -> bool:
        state = self._peers.get(peer)
        if state is not None and state.avoid_until > now:
            return False
        return self._find_reach(peer, endpoint, now) is not False

    def _find_reach(
        self, peer: str, endpoint: Hashable, now: float
    ) -> bool | None:
        """Returns whether a peer reached an endpoint, None if unknown."""
        is_reached, until = self._reached.get((peer, endpoint), (None, now))
        return is_reached if until > now else None

    def _rank(
        self, peer: str, endpoint: Hashable, now: float
    ) -> tuple[int, bool, int]:
        state = self._peers.get(peer, _UNKNOWN)
        is_old = now - state.avoid_until > FORGET_S
        is_unproven = self._find_reach(peer, endpoint, now) is None
        return (0 if is_old else state.failures, is_unproven, state.open)
