"""An in-memory engine for tests of programs that embed the library.

It processes orders as real engines do: some reject a fencing token below the
highest that they have accepted, others carry out every order they receive.
"""

from collections.abc import Callable

import attrs

from bulrushgrade import engineorder
from bulrushgrade import orderlog

# Reports kept so that `report` can return a delayed one.
MAX_REPORTS = 20


@attrs.define(kw_only=True)
class FakeEngine:
    """An engine whose times are the simulated time of the test.

    Attributes:
        name: The engine's address.
        fencing: Whether it rejects old fencing tokens.
        initial: Its role and model at the start and after a crash.
        change_s: How long a change takes.
        read_timeout_s: How long it waits for data on an idle connection.
        on_change: Called with each order that it starts to carry out and with
            whether it was still carrying out another one.
    """

    name: str
    fencing: bool
    initial: orderlog.Wanted
    change_s: float = 0.0
    read_timeout_s: float = 10.0
    on_change: Callable[[engineorder.Order, bool], None] = lambda order, busy: (
        None
    )
    _target: orderlog.Wanted | None = None
    _order_id: str = ""
    _number: int = -1
    _busy_until: float = 0.0
    _down: bool = False
    _history: list[tuple[float, engineorder.EngineReport]] = attrs.field(
        factory=list
    )

    def receive(
        self, order: engineorder.Order, *, opened_at: float, now: float
    ) -> engineorder.Reply:
        """Processes an order that arrives on a connection."""
        # An engine with fencing has no read timeout, so that tests show that
        # fencing tokens alone are sufficient.
        if not self.fencing and now >= opened_at + self.read_timeout_s:
            return engineorder.Reply.LOST
        if self.fencing and order.number < self._number:
            return engineorder.Reply.STALE
        busy = now < self._busy_until
        if order.order_id != self._order_id:
            if self.fencing and busy:
                return engineorder.Reply.BUSY
            self.on_change(order, busy)
            self._target, self._order_id = order.wanted, order.order_id
            self._busy_until = now + self.change_s
        self._number = max(self._number, order.number)
        self._record_report(now)
        return engineorder.Reply.ACCEPTED

    def crash(self, now: float, *, down: bool = False) -> None:
        """Loses the current order; the engine restarts unless `down` is set."""
        self._target, self._order_id = None, ""
        self._busy_until, self._down = now, down
        self._record_report(now)

    def report(
        self, now: float, *, lag_s: float = 0.0
    ) -> engineorder.EngineReport:
        """Returns the engine's report from `lag_s` seconds ago."""
        self._record_report(now)
        del self._history[:-MAX_REPORTS]
        old = [seen for at, seen in self._history if at <= now - lag_s]
        return old[-1] if old else self._history[0][1]

    def _record_report(self, now: float) -> None:
        state = "changing" if now < self._busy_until else "serving"
        seen = engineorder.EngineReport(
            state="down" if self._down else state,
            current=self._target or self.initial,
            order_id=self._order_id,
            number=self._number,
        )
        self._history.append((now, seen))
