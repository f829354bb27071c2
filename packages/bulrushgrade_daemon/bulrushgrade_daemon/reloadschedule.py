"""Decides when a topic is read as a whole.

A host reads a topic as a whole at its start, and again once its position isn't
valid any more. If the store has returned from an older copy, that is so on all
hosts at once. So only the hosts that others query read the topic in the same
moment; the others spread their reads at random.
"""

import random
from typing import Any

from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import topicreader

SPREAD_FRACTION = 0.2
"""Fraction of the greatest age of a view over which the hosts of the fleet
spread their whole reads after a return of the store. A view of the greatest age
is replaced after this time still within the bound that the age belongs to."""

MAX_SPREAD_S = 1.0
"""Limit of that time, for a topic whose views may be old. Hosts whose addresses
the copy lacks are not heard until the others have read them."""


class ReloadSchedule:
    """When the next whole read of a topic is due."""

    def __init__(
        self,
        *,
        name: str,
        max_age_s: float,
        timers: Any,
        rng: random.Random,
        log: decisionlog.DecisionLog,
    ):
        """Makes a schedule by which the first whole read is due now.

        Args:
            name: The follower's name, for logs.
            max_age_s: Greatest age of a view of the topic.
            timers: The timer service.
            rng: Random number generator.
            log: Logs each position that is dropped.
        """
        self._name = name
        self._spread_s = min(SPREAD_FRACTION * max_age_s, MAX_SPREAD_S)
        self._timers = timers
        self._rng = rng
        self._log = log
        self._due_at: float | None = timers.now

    @property
    def is_set(self) -> bool:
        """Whether a whole read is due now or later."""
        return self._due_at is not None

    @property
    def due_in_s(self) -> float | None:
        """Seconds until a whole read is due, or None."""
        if self._due_at is None:
            return None
        return max(0.0, self._due_at - self._timers.now)

    def set(
        self, position: topicreader.Position, *, epoch: int, is_spread: bool
    ) -> None:
        """Schedules a whole read, unless one is scheduled already.

        Args:
            position: The position that isn't valid any more.
            epoch: The store's epoch.
            is_spread: Whether other hosts may need to read first.
        """
        if self._due_at is not None:
            return
        delay_s = self._rng.uniform(0.0, self._spread_s) if is_spread else 0.0
        self._due_at = self._timers.now + delay_s
        self._log.note(
            "topic_read_again",
            follower=self._name,
            dropped_at=position.offset,
            epoch=epoch,
            before=position.epoch,
            delay_s=round(delay_s, 3),
        )

    def clear(self) -> None:
        """Ends the schedule once the topic has been read as a whole."""
        self._due_at = None
