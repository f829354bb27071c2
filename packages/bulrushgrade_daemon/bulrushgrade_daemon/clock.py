"""The daemon's clock and its timer service."""

from collections.abc import Callable
import time
import traceback
from typing import Any

from twisted.internet import defer

from bulrushgrade import timer

# Callbacks that are due within this many seconds run now. The better accuracy
# is not worth the cost of another call of the reactor.
SLACK_S = 0.0005


def read_boottime() -> float:
    """Returns the seconds of a clock that keeps running during suspend.

    Leases only measure durations with this clock. CLOCK_MONOTONIC stops while
    a machine is suspended, so a holder that was suspended would assume that
    its lease is still valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_steady_clock(reactor: Any) -> None:
    """Makes a reactor schedule its calls by a clock that is never set.

    Twisted uses the time of day. If that is set back, all timers of the
    process stop for the length of the jump: nothing is read from the store
    and no deadline passes. Call this before anything is scheduled.
    """
    reactor.seconds = read_boottime


class TimerService:
    """Runs the callbacks of `bulrushgrade.timer.Timers` in a reactor."""

    name = "timer"
    requires = ()

    def __init__(
        self,
        *,
        reactor: Any,
        on_broken: Callable[[str], None],
        clock: Callable[[], float] = read_boottime,
    ):
        """Creates the service.

        Args:
            reactor: Calls the service when the next callback is due.
            on_broken: Called with the reason when a callback raises.
            clock: Returns the current time in seconds.
        """
        self._reactor = reactor
        self._on_broken = on_broken
        self._clock = clock
        self._timers = timer.Timers(now=clock())
        self._wakeup = None
        self._armed_for = 0.0
        self._running = False

    @property
    def now(self) -> float:
        """The current time in seconds of the boot-time clock."""
        return self._clock()

    def every(
        self, period_s: float, callback: Callable[[], None]
    ) -> timer.Subscription:
        """Subscribes a callback to be called every `period_s` seconds."""
        subscription = self._timers.every(period_s, callback)
        self._arm()
        return subscription

    def after(
        self, delay_s: float, callback: Callable[[], None]
    ) -> timer.Subscription:
        """Subscribes a callback to be called once, in `delay_s` seconds."""
        lag_s = self._clock() - self._timers.now
        subscription = self._timers.after(lag_s + delay_s, callback)
        self._arm()
        return subscription

    async def sleep(self, delay_s: float) -> None:
        """Returns after `delay_s` seconds; may be cancelled before."""
        woken: defer.Deferred = defer.Deferred()
        subscription = self.after(delay_s, lambda: woken.callback(None))
        try:
            await woken
        finally:
            subscription.cancel()

    async def start(self) -> None:
        """Starts to call subscribers."""
        self._running = True
        self._arm()

    async def stop(self) -> None:
        """Stops calling subscribers."""
        self._running = False
        if self._wakeup is not None and self._wakeup.active():
            self._wakeup.cancel()

    def receive(self, message: Any) -> None:
        """Ignores all messages."""

    def dump(self) -> dict[str, Any]:
        """Returns the current time and the time of the next callback."""
        return {"now_s": self.now, "next_due_s": self._timers.next_due}

    def _arm(self) -> None:
        due = self._timers.next_due
        if not self._running or due is None:
            return
        if self._wakeup is not None and self._wakeup.active():
            if self._armed_for <= due:
                return
            self._wakeup.cancel()
        self._armed_for = due
        delay_s = max(0.0, due - self._clock())
        self._wakeup = self._reactor.callLater(delay_s, self._tick)

    def _tick(self) -> None:
        # A callback that raised may have left its service in an inconsistent
        # state, and the exception would end the calls of all other
        # subscribers.
        try:
            self._timers.advance(self._clock() + SLACK_S)
        except Exception:
            self._on_broken(f"timer: {traceback.format_exc()}")
            return
        self._arm()
