"""A timer service with one-shot and periodic callbacks.

The service owns no clock: its owner calls `Timers.advance` with the current
time, from the reactor in the daemon and directly in tests. Times are seconds
of a monotonic clock.
"""

from collections.abc import Callable
import heapq
import itertools

import attrs


@attrs.define(kw_only=True, eq=False)
class Subscription:
    """A one-shot or periodic callback.

    Attributes:
        callback: Called without arguments when due.
        period_s: Seconds between two calls, or None for a one-shot callback.
        active: False once cancelled or, if one-shot, once called.
    """

    callback: Callable[[], None]
    period_s: float | None
    active: bool = True

    def cancel(self) -> None:
        """Prevents any further call of the callback."""
        self.active = False


class Timers:
    """Calls subscribed callbacks in the order of their due times."""

    def __init__(self, *, now: float = 0.0):
        self._now = now
        self._serials = itertools.count()
        self._due: list[tuple[float, int, Subscription]] = []

    @property
    def now(self) -> float:
        """The time of the last `advance`, in seconds."""
        return self._now

    @property
    def next_due(self) -> float | None:
        """When the next callback is due, or None if there is none."""
        while self._due and not self._due[0][2].active:
            heapq.heappop(self._due)
        return self._due[0][0] if self._due else None

    def every(
        self, period_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Schedules a call every `period_s` seconds, first after one period."""
        subscription = Subscription(callback=callback, period_s=period_s)
        self._push(self._now + period_s, subscription)
        return subscription

    def after(
        self, delay_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Schedules a single call in `delay_s` seconds."""
        subscription = Subscription(callback=callback, period_s=None)
        self._push(self._now + delay_s, subscription)
        return subscription

    def advance(self, now: float) -> int:
        """Advances the time and calls all callbacks that are due, in order.

        If the process was paused for several periods, a periodic callback is
        called once rather than once per period: a burst of catch-up calls
        would load the process just when it is behind.

        Args:
            now: The current time in seconds; earlier times are ignored.

        Returns:
            The number of callbacks called.
        """
        self._now = max(now, self._now)
        called = 0
        while (due := self.next_due) is not None and due <= self._now:
            _, _, subscription = heapq.heappop(self._due)
            if subscription.period_s is None:
                subscription.active = False
            else:
                self._push(self._now + subscription.period_s, subscription)
            subscription.callback()
            called += 1
        return called

    def _push(self, due: float, subscription: Subscription) -> None:
        heapq.heappush(self._due, (due, next(self._serials), subscription))
