"""A reactor on simulated time, for emulations of many hosts in one process."""

from collections.abc import Callable
import heapq
import itertools
from typing import Any

import attrs


@attrs.define(kw_only=True, eq=False)
class ScheduledCall:
    """A call that may be cancelled until it is made."""

    call: Callable[[], Any]
    is_active: bool = True

    def active(self) -> bool:
        """Returns whether the call is still due."""
        return self.is_active

    def cancel(self) -> None:
        """Cancels the call."""
        self.is_active = False


class SimulatedReactor:
    """Makes scheduled calls in the order of their times."""

    def __init__(self):
        self._now = 0.0
        self._calls: list[tuple[float, int, ScheduledCall]] = []
        self._numbers = itertools.count()

    def seconds(self) -> float:
        """Returns the simulated time."""
        return self._now

    def callLater(  # noqa: N802
        self, delay_s: float, call: Callable[..., Any], *arguments: Any
    ) -> ScheduledCall:
        """Schedules a call."""
        scheduled = ScheduledCall(call=lambda: call(*arguments))
        due = self._now + max(0.0, delay_s)
        heapq.heappush(self._calls, (due, next(self._numbers), scheduled))
        return scheduled

    def run_until(self, end: float) -> None:
        """Makes all calls that are due until a time."""
        while self._calls and self._calls[0][0] <= end:
            self._now, _, scheduled = heapq.heappop(self._calls)
            if scheduled.is_active:
                scheduled.is_active = False
                scheduled.call()
        self._now = end
