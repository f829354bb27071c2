"""An adaptive limit on the work in progress at one engine.

Load: more requests than an engine can batch. Harm: they queue inside the
engine, where no deadline orders them and no share protects other teams.
Additive increase finds the room that an engine has today; multiplicative
decrease gives it back quickly when waiting appears.
"""

import attrs

DECREASE_FACTOR = 0.85
"""Factor on a late answer: several hosts see the same engine late at once
and all step down, so each steps less than the classic half."""

MIN_DECREASE_INTERVAL_S = 1.0
"""One decrease an interval: every answer of one overloaded second tells of
the same overload, and counting each would drop the limit to the floor."""

MIN_LIMIT = 2.0
"""Requests allowed always, so that recovery can be observed."""


@attrs.define(kw_only=True)
class ConcurrencyLimit:
    """How many requests one engine may hold, all hosts together.

    Attributes:
        ceiling: The engine's own slots.
        value: The present limit.
    """

    ceiling: float
    value: float = attrs.field(
        default=attrs.Factory(lambda self: self.ceiling, takes_self=True)
    )
    _decreased_at: float = -1e9

    def observe(self, *, late: bool, running: float, now: float) -> None:
        """Takes in whether an answer waited longer than it should have.

        Args:
            late: Its queueing delay was above the target.
            running: Requests at the engine when it was placed. A limit that
                was not reached is not raised: else an idle night lifts it to
                the ceiling and the morning's burst all goes in at once.
            now: The present time.
        """
        if late:
            if now - self._decreased_at >= MIN_DECREASE_INTERVAL_S:
                self._decreased_at = now
                base = min(self.value, max(running, MIN_LIMIT))
                self.value = max(MIN_LIMIT, base * DECREASE_FACTOR)
        elif running >= 0.7 * self.value:
            self.value = min(self.ceiling, self.value + 1.0 / self.value)

    def admits(self, running: float) -> bool:
        """Returns whether one more request may go in."""
        return running + 1.0 <= self.value + 0.5
