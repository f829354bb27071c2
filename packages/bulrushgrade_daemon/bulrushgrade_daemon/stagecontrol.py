"""Orders engines to change between prefill and decode as the load requires.

One host at a time does so. The leader, the first by name of the hosts that are
in contact with each other, watches the load. If several hosts take themselves
for the leader, the topic of orders decides which of them may send orders.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Failure
from returns.result import Result

from bulrushgrade import directory as directory_module
from bulrushgrade import orderturn
from bulrushgrade import stageplan
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import endpointsignals
from bulrushgrade_daemon import fencedactions
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import task

ACCEPTED = "taken"
UNANSWERED = "no answer"

CHECK_PERIOD_S = 0.25
"""Time between two checks of the load."""


@attrs.frozen(kw_only=True)
class EngineReport:
    """An engine's report of itself.

    Attributes:
        stage: Its role.
        busy: Whether it is carrying out an order.
        orders: Number of orders that it has accepted since its start.
    """

    stage: directory_module.Stage
    busy: bool
    orders: int


@attrs.frozen(kw_only=True)
class StageOrder:
    """An order to an engine to change its role.

    Attributes:
        engine: The engine that receives the order.
        stage: The new role.
        holder: The incarnation of the host that sends the order.
        number: The order's number; numbers only increase.
        expected_orders: Number of orders that the engine must have accepted
            before this one.
    """

    engine: directory_module.Registration
    stage: directory_module.Stage
    holder: str
    number: int
    expected_orders: int


@attrs.frozen(kw_only=True)
class EngineControl:
    """Functions that query engines and send them orders.

    Attributes:
        report: Returns an engine's report of itself.
        order: Sends an order if a check, called immediately before the write,
            allows it. Returns whether the engine accepts the order.
    """

    report: Callable[
        [directory_module.Registration, endpointsignals.CallGuard],
        Awaitable[Result[EngineReport, outbound.CallFailed]],
    ]
    order: Callable[
        [StageOrder, Callable[[], bool], endpointsignals.CallGuard],
        Awaitable[Result[bool, outbound.CallFailed]],
    ]


class StageControl:
    """Watches the load and orders role changes."""

    name = "stagecontrol"
    requires = ("timer",)

    def __init__(
        self,
        *,
        timers: Any,
        holder: str,
        actions: fencedactions.FencedActions,
        control: EngineControl,
        may_call: Callable[[directory_module.Registration], Awaitable[bool]],
        guard: Callable[
            [directory_module.Registration], endpointsignals.CallGuard
        ],
        leads: Callable[[], bool],
        views: Callable[[], list[stageplan.ServiceView]],
        announce: Callable[[stageplan.StageChange, float], None],
        log: decisionlog.DecisionLog,
        on_broken: Callable[[str], None],
    ):
        """Creates the service.

        Args:
            timers: The timer service; its clock runs during pauses.
            holder: This host's incarnation.
            actions: Performs actions that only one host at a time may do.
            control: Queries engines and sends them orders.
            may_call: Returns whether an engine has room for another call.
            guard: Returns the checks of calls to an engine.
            leads: Returns whether this host is the leader.
            views: Returns the state of the engines by service.
            announce: Notifies all hosts of a change and of its expected
                duration in seconds.
            log: Receives a line for each order.
            on_broken: Called with the reason when an invariant is broken.
        """
        self._timers = timers
        self._holder = holder
        self._actions = actions
        self._control = control
        self._may_call = may_call
        self._guard = guard
        self._leads = leads
        self._views = views
        self._announce = announce
        self._log = log
        self._on_broken = on_broken
        self._plans: dict[str, stageplan.StagePlan] = {}
        self._ordering = False
        self._orders_sent = 0
        self._tick: Any = None

    @property
    def counts(self) -> dict[str, int]:
        """Number of orders sent since the start."""
        return {"orders": self._orders_sent}

    async def start(self) -> None:
        """Starts the periodic checks."""
        self._tick = self._timers.every(CHECK_PERIOD_S, self._check)

    async def stop(self) -> None:
        """Stops the periodic checks."""
        if self._tick is not None:
            self._tick.cancel()

    def receive(self, message: Any) -> None:
        """Ignores all messages."""

    def dump(self) -> dict[str, Any]:
        """Returns the smoothed load by service and the end of the topic."""
        plans = {
            name: {"wait_s": plan.wait_s, "crowding": plan.saturation}
            for name, plan in self._plans.items()
        }
        return {"plans": plans, "end": self._actions.end, **self.counts}

    def _check(self) -> None:
        if not self._leads():
            # Building the views of all engines costs more than everything
            # else that an idle host does. A new leader starts with empty
            # means.
            self._plans.clear()
            return
        for view in self._views():
            plan = self._plans.setdefault(
                view.service, stageplan.StagePlan(check_s=CHECK_PERIOD_S)
            )
            change = plan.propose(view, self._timers.now)
            if change is None or self._ordering:
                continue
            self._ordering = True
            task.spawn(
                self._execute_change(view, plan, change),
                name=self.name,
                on_broken=self._on_broken,
            )

    async def _execute_change(
        self,
        view: stageplan.ServiceView,
        plan: stageplan.StagePlan,
        change: stageplan.StageChange,
    ) -> None:
        try:
            outcome = await self._order(change)
        finally:
            self._ordering = False
        now = self._timers.now
        if outcome in (ACCEPTED, UNANSWERED):
            # The engine may carry out an order that it did not answer.
            plan.record_change(view, now)
        else:
            plan.record_refusal(change.engine.id, view, now)
        if outcome == ACCEPTED:
            self._announce(change, view.change_s)
        self._log.note(
            "stage_order",
            engine=change.engine.id,
            service=view.service,
            stage=change.stage.value,
            reason=change.reason,
            end=self._actions.end,
            outcome=outcome,
        )

    async def _order(self, change: stageplan.StageChange) -> str:
        """Orders a change; returns the outcome for the log."""
        report: EngineReport | None = None
        guard = self._guard(change.engine)

        async def make() -> orderturn.OrderRecord | fencedactions.Withheld:
            nonlocal report
            for _ in ("report", "order"):
                if not await self._may_call(change.engine):
                    return fencedactions.Withheld(reason="engine at its limit")
            reported = await self._control.report(change.engine, guard)
            if isinstance(reported, Failure):
                reason = f"no report: {reported.failure().reason}"
                return fencedactions.Withheld(reason=reason)
            report = reported.unwrap()
            if report.busy or report.stage is change.stage:
                return fencedactions.Withheld(reason="busy or changed already")
            return orderturn.OrderRecord(
                holder=self._holder,
                engine=change.engine.id,
                stage=change.stage.value,
            )

        async def send(
            record: orderturn.OrderRecord, permit: fencedactions.Permit
        ) -> Result[bool, outbound.CallFailed]:
            order = StageOrder(
                engine=change.engine,
                stage=change.stage,
                holder=permit.holder,
                number=permit.number,
                expected_orders=report.orders,
            )
            self._orders_sent += 1
            return await self._control.order(order, permit.check, guard)

        sent = await self._actions.perform(make, send)
        if isinstance(sent, Failure):
            failed = sent.failure()
            is_written = isinstance(failed, outbound.CallFailed)
            if is_written and failed.written:
                return UNANSWERED
            return failed.reason
        return ACCEPTED if sent.unwrap() else "refused"
