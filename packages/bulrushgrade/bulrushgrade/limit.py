"""An adaptive limit on the concurrent requests of one engine.

More requests than an engine can batch would queue inside the engine, where they
are not ordered by deadline and no share protects the other services. The
additive increase finds the engine's current capacity; the multiplicative
decrease reduces the load quickly when queueing is observed.
"""

import attrs

DECREASE_FACTOR = 0.85
"""Factor of a decrease. Several hosts see the same engine late at once and all
decrease their limits, so each decreases by less than the classic half."""

MIN_DECREASE_INTERVAL_S = 1.0
"""Minimum time between two decreases: all late answers within one overloaded
second are one overload, and a decrease for each would drop the limit to its
minimum."""

MIN_LIMIT = 2.0
"""Number of requests that are always allowed, to observe a recovery."""


@attrs.define(kw_only=True)
class ConcurrencyLimit:
    """Limit on the concurrent requests of one engine, of all hosts together.

    Attributes:
        ceiling: The engine's number of slots.
        value: The current limit.
    """

    ceiling: float
    value: float = attrs.field(
        default=attrs.Factory(lambda self: self.ceiling, takes_self=True)
    )
    _decreased_at: float = -1e9

    def observe(self, *, late: bool, running: float, now: float) -> None:
        """Updates the limit after an answer.

        Args:
            late: Whether its queueing delay was above the target.
            running: Requests at the engine when it was placed. A limit that was
                not reached is not raised: otherwise it would rise to the
                ceiling while load is low, and the next burst would be admitted
                at once.
            now: The current time.
        """
        if late:
            if now - self._decreased_at >= MIN_DECREASE_INTERVAL_S:
                self._decreased_at = now
                base = min(self.value, max(running, MIN_LIMIT))
                self.value = max(MIN_LIMIT, base * DECREASE_FACTOR)
        elif running >= 0.7 * self.value:
            self.value = min(self.ceiling, self.value + 1.0 / self.value)

    def admits(self, running: float) -> bool:
        """Returns whether one more request is allowed."""
        return running + 1.0 <= self.value + 0.5
