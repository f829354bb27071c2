"""Which host adds up for another one, and when that one turns to the next.

Load: the host that adds up for its zone dies, or its zone cannot reach it.
Harm: nobody of the zone hears the sum of all any more, and each goes by its
own requests. A host that hears nothing for some periods turns to the next of
its zone; nobody has to agree, as a host adds up for those that send to it.
"""

from collections.abc import Sequence
import math

MIN_SILENCE_S = 0.8
"""After which a host turns to the next one at least. Sooner than a peer
counts as gone, as two may add up for a while without harm."""

AVOID_S = 5.0
"""How long one that was silent is not turned to again."""


class AggregatorChoice:
    """Who adds up for one host."""

    def __init__(self, *, own_host: str):
        """Makes a state in which the host adds up for itself.

        Args:
            own_host: The host.
        """
        self._own_host = own_host
        self._chosen: str | None = None
        self._heard_at = -math.inf
        self._avoided: dict[str, float] = {}

    @property
    def chosen(self) -> str | None:
        """The host that adds up for this one, None where it does itself."""
        return self._chosen

    def observe_sum(self, host: str, now: float) -> bool:
        """Notes a sum; returns whether it is from who adds up."""
        if host != self._chosen:
            return False
        self._heard_at = now
        return True

    def drop_silent(self, now: float, silent_s: float) -> str | None:
        """Returns who was silent for too long; another one is chosen next."""
        silent_s = max(MIN_SILENCE_S, silent_s)
        if self._chosen is None or now - self._heard_at < silent_s:
            return None
        self._avoided = {h: t for h, t in self._avoided.items() if t > now}
        self._avoided[self._chosen] = now + AVOID_S
        return self._chosen

    def choose(self, ranked: Sequence[str], now: float) -> bool:
        """Chooses among hosts; returns whether that is another one.

        Args:
            ranked: Hosts in the order in which they are turned to. This host
                adds up for itself where none is before it.
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
