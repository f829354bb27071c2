"""The daemon's clock and its timer service."""

from collections.abc import Callable
import time
import traceback
from typing import Any

from twisted.internet import defer

from bulrushgrade import timer

# A callback that is due within this many seconds runs now: arming the
# reactor again for less costs more than it gains in exactness.
SLACK_S = 0.0005


def read_boottime() -> float:
    """Returns seconds of the clock that counts suspend.

    Leases compare rates of this clock only. CLOCK_MONOTONIC stops while a
    machine is suspended, so a holder that was suspended would believe that
    its lease still stands.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def use_steady_clock(reactor: Any) -> None:
    """Has a reactor time its calls by a clock that nobody sets.

    Twisted goes by the time of day. Where that is set back, every timer of
    the process stands still for as long as the jump: nothing is read from the
    store, no deadline passes. Call this before anything is scheduled.
    """
    reactor.seconds = read_boottime


class TimerService:
    """Drives `bulrushgrade.timer.Timers` from a reactor."""

    name = "timer"
    requires = ()

    def __init__(
        self,
        *,
        reactor: Any,
        on_broken: Callable[[str], None],
        clock: Callable[[], float] = read_boottime,
    ):
        """Makes the service.

        Args:
            reactor: Wakes it when the next callback is due.
            on_broken: Called with the reason when a callback raises.
            clock: Returns the present time in seconds.
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
        """The present time in seconds of the boot-time clock."""
        return self._clock()

    def every(
        self, period_s: float, callback: Callable[[], None]
    ) -> timer.Subscription:
        """Subscribes to a call every `period_s` seconds."""
        subscription = self._timers.every(period_s, callback)
        self._arm()
        return subscription

    def after(
        self, delay_s: float, callback: Callable[[], None]
    ) -> timer.Subscription:
        """Subscribes to a single call in `delay_s` seconds from now."""
        lag_s = self._clock() - self._timers.now
        subscription = self._timers.after(lag_s + delay_s, callback)
        self._arm()
        return subscription

    async def sleep(self, delay_s: float) -> None:
        """Returns in `delay_s` seconds; may be cancelled meanwhile."""
        woken: defer.Deferred = defer.Deferred()
        subscription = self.after(delay_s, lambda: woken.callback(None))
        try:
            await woken
        finally:
            subscription.cancel()

    async def start(self) -> None:
        """Begins to call subscribers."""
        self._running = True
        self._arm()

    async def stop(self) -> None:
        """Calls nobody any more."""
        self._running = False
        if self._wakeup is not None and self._wakeup.active():
            self._wakeup.cancel()

    def receive(self, message: Any) -> None:
        """Takes no messages."""

    def dump(self) -> dict[str, Any]:
        """Returns the time and when the next callback is due."""
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
        # A callback that raises has left its service half changed, and would
        # leave every other subscriber uncalled from then on.
        try:
            self._timers.advance(self._clock() + SLACK_S)
        except Exception:
            self._on_broken(f"timer: {traceback.format_exc()}")
            return
        self._arm()
