"""Chooses the host that aggregates loads for another one, and its successor.

If the host that aggregates for its zone dies, or its zone can't reach it, no
host of the zone receives the fleet sum any more, and each knows only its own
requests. So a host that receives no sum for some periods switches to the next
host of its zone. No agreement is needed, because a host aggregates for all that
send to it.
"""

from collections.abc import Sequence
import math

MIN_SILENCE_S = 0.8
"""Minimum time without a sum after which a host switches to the next one. This
is shorter than the time after which a peer counts as gone, because no harm is
done if two hosts aggregate for a while."""

AVOID_S = 5.0
"""How long a host that was silent is not chosen again."""


class AggregatorChoice:
    """The choice of the aggregator for one host."""

    def __init__(self, *, own_host: str):
        """Initializes the choice: the host aggregates for itself.

        Args:
            own_host: The host.
        """
        self._own_host = own_host
        self._chosen: str | None = None
        self._heard_at = -math.inf
        self._avoided: dict[str, float] = {}

    @property
    def chosen(self) -> str | None:
        """The host that aggregates for this one; None if it does so itself."""
        return self._chosen

    def observe_sum(self, host: str, now: float) -> bool:
        """Records a received sum; returns whether the chosen host sent it."""
        if host != self._chosen:
            return False
        self._heard_at = now
        return True

    def drop_silent(self, now: float, silent_s: float) -> str | None:
        """Returns the chosen host if it was silent for too long, or None.

        A host that is returned is avoided by the next choices.
        """
        silent_s = max(MIN_SILENCE_S, silent_s)
        if self._chosen is None or now - self._heard_at < silent_s:
            return None
        self._avoided = {h: t for h, t in self._avoided.items() if t > now}
        self._avoided[self._chosen] = now + AVOID_S
        return self._chosen

    def choose(self, ranked: Sequence[str], now: float) -> bool:
        """Chooses an aggregator; returns whether it has changed.

        Args:
            ranked: Hosts in order of preference. This host aggregates for
                itself if no usable host precedes it.
            now: The present time in seconds.
        """
        chosen = None
        for host in ranked:
            if host == self._own_host:
                break
            if self._avoided.get(host, -math.inf) <= now:
                chosen = host
                break
        if chosen == self._chosen:
            return False
        self._chosen, self._heard_at = chosen, now
        return True
