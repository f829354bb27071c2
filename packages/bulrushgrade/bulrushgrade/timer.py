"""A timer service that parts subscribe to.

The service owns no clock: its owner calls `Timers.advance` with the present
time, from a reactor in the daemon and by hand in a test. Times are seconds of
a monotonic clock.
"""

from collections.abc import Callable
import heapq
import itertools

import attrs


@attrs.define(kw_only=True, eq=False)
class Subscription:
    """A callback that is due once or again and again.

    Attributes:
        callback: Called without arguments when due.
        period_s: Seconds between two calls, or None for a single call.
        active: False once cancelled or, for a single call, once called.
    """

    callback: Callable[[], None]
    period_s: float | None
    active: bool = True

    def cancel(self) -> None:
        """Makes sure that the callback is not called any more."""
        self.active = False


class Timers:
    """Keeps subscriptions in order of their due times."""

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
        """When the next callback is due, or None where there is none."""
        while self._due and not self._due[0][2].active:
            heapq.heappop(self._due)
        return self._due[0][0] if self._due else None

    def every(
        self, period_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Subscribes to a call every `period_s` seconds, first after one."""
        subscription = Subscription(callback=callback, period_s=period_s)
        self._push(self._now + period_s, subscription)
        return subscription

    def after(
        self, delay_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Subscribes to a single call in `delay_s` seconds."""
        subscription = Subscription(callback=callback, period_s=None)
        self._push(self._now + delay_s, subscription)
        return subscription

    def advance(self, now: float) -> int:
        """Moves time on and calls whatever has come due, in order.

        A periodic subscription whose owner was paused for many periods is
        called once, not once a period: a burst of catch-up calls after a
        pause would load the process just when it is behind.

        Args:
            now: The present time in seconds; earlier times are ignored.

        Returns:
            How many callbacks were called.
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
