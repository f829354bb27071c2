"""Orders engines from the operator, by zone and by spot or regular capacity.

One host at a time does so.
"""

from collections.abc import Callable
import math
from typing import Any

import attrs
from returns.result import Failure

from bulrushgrade import capacitydemand
from bulrushgrade import capacityplan
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import fencedactions
from bulrushgrade_daemon import metrics as metrics_module
from bulrushgrade_daemon import operatorcalls
from bulrushgrade_daemon import orderrecords
from bulrushgrade_daemon import ordertopic
from bulrushgrade_daemon import task

CHECK_PERIOD_S = 0.5
"""Time between two checks of the number of running engines."""

STANDBY_CHECKS = 2
"""Checks per observation of the load at hosts that don't order engines. They
need it only when they succeed the ordering host, and it takes CPU time for each
engine."""


class CapacityControl:
    """Compares running engines with the needed ones and orders changes."""

    name = "capacitycontrol"
    requires = ("timer",)

    def __init__(
        self,
        *,
        timers: Any,
        own_name: str,
        actions: fencedactions.FencedActions,
        calls: operatorcalls.OperatorCalls,
        leads: Callable[[], bool],
        views: Callable[[], list[capacityplan.CapacityView]],
        read_use: Callable[[str], capacitydemand.ServiceUse | None],
        metrics: metrics_module.Metrics,
        log: decisionlog.DecisionLog,
        on_broken: Callable[[str], None],
    ):
        """Creates the service.

        Args:
            timers: The timer service; its clock runs during pauses.
            own_name: This daemon's incarnation.
            actions: Performs actions that only one host at a time may do.
            calls: Calls to the operator's API.
            leads: Returns whether this host is the leader.
            views: Returns the state of the services that can be scaled,
                without their demand.
            read_use: Returns the load of a service's engines; None to order
                engines without regard to it.
            metrics: Gets the demand and the running engines by service.
            log: Receives a line for each order and each change of the number
                of engines that is aimed at.
            on_broken: Called with the reason when an invariant is broken.
        """
        self._timers = timers
        self._own_name = own_name
        self._actions = actions
        self._calls = calls
        self._leads = leads
        self._views = views
        self._read_use = read_use
        self._metrics = metrics
        self._log = log
        self._on_broken = on_broken
        self._plans: dict[str, capacityplan.CapacityPlan] = {}
        self._estimates: dict[str, capacitydemand.DemandEstimate] = {}
        # The last views with a demand.
        self._demands: dict[str, capacityplan.CapacityView] = {}
        self._spot_targets: dict[str, int] = {}
        self._ordering = False
        self._checks = 0
        self._outcomes: dict[str, int] = {}
        self._tick: Any = None
        actions.listen(ordertopic.TopicListener(on_record=self._apply_record))

    @property
    def counts(self) -> dict[str, int]:
        """Number of orders by outcome."""
        return dict(self._outcomes)

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
        """Returns the needed engines, the demands and the outcome counts."""
        needed = {name: plan.needed for name, plan in self._plans.items()}
        demands = {
            view.service: self._describe(view)
            for view in self._demands.values()
        }
        return {"needed": needed, "demands": demands, **self.counts}

    def _check(self) -> None:
        self._checks += 1
        if not self._leads():
            self._stand_by()
            return
        # Also while an order is under way, so that no load is missed.
        views = [self._add_demand(view) for view in self._views()]
        if not views:
            self._observe_known()
        if self._ordering:
            return
        for view in views:
            plan = self._get_plan(view.service)
            if plan.propose(view, self._timers.now) is not None:
                self._ordering = True
                task.spawn(
                    self._order(plan, view.service),
                    name=self.name,
                    on_broken=self._on_broken,
                )
                return

    def _stand_by(self) -> None:
        """Observes the load so that a new leader knows that of a window."""
        self._demands.clear()
        for estimate in self._estimates.values():
            # Another host orders, so that the former number is in the records.
            estimate.reset_demand()
        if self._checks % STANDBY_CHECKS == 0:
            for view in self._views():
                if view.service not in self._estimates:
                    self._observe(view.service)
            self._observe_known()

    def _observe_known(self) -> None:
        """Observes services also while the store can't be reached."""
        for service, estimate in self._estimates.items():
            use = self._read_use(service)
            if use is not None:
                estimate.observe(use, self._timers.now)

    def _get_plan(self, service: str) -> capacityplan.CapacityPlan:
        if service not in self._plans:
            plan = capacityplan.CapacityPlan(holder=self._own_name)
            self._plans[service] = plan
        return self._plans[service]

    def _observe(self, service: str) -> capacitydemand.DemandEstimate | None:
        """Takes in the load of a service if engines are ordered for it."""
        use = self._read_use(service)
        if use is None:
            return None
        estimate = self._estimates.get(service)
        if estimate is None:
            estimate = capacitydemand.DemandEstimate()
            self._estimates[service] = estimate
            self._register_gauges(service)
        estimate.observe(use, self._timers.now)
        return estimate

    def _add_demand(
        self, view: capacityplan.CapacityView
    ) -> capacityplan.CapacityView:
        """Returns a view with the demand, if engines are ordered for it."""
        estimate = self._observe(view.service)
        if estimate is None:
            return view
        now, service = self._timers.now, view.service
        plan = self._get_plan(service)
        bounds = plan.demand_bounds(view, now)
        if bounds is None:
            return view
        view = attrs.evolve(
            view,
            demand=estimate.update(bounds, now),
            is_demand_settled=estimate.is_settled(now),
        )
        self._demands[service] = view
        target = plan.spot_engines_per_zone(view)
        if self._spot_targets.get(service) != target:
            self._spot_targets[service] = target
            self._log.note(
                "capacity_demand", service=service, **self._describe(view)
            )
        return view

    def _describe(self, view: capacityplan.CapacityView) -> dict[str, Any]:
        """Returns a demand and its inputs as fields of a log line."""
        estimate = self._estimates[view.service]
        return {
            "demand": view.demand,
            "is_settled": view.is_demand_settled,
            "prefill_utilization": round(estimate.prefill_utilization, 2),
            "decode_utilization": round(estimate.decode_utilization, 2),
            "running": view.total,
            "spot_per_zone": self._spot_targets.get(view.service),
        }

    def _register_gauges(self, service: str) -> None:
        def read(
            value: Callable[[capacityplan.CapacityView], int | None],
        ) -> Callable[[], float]:
            # Only the ordering host knows the demand.
            return lambda: (
                value(self._demands[service])
                if service in self._demands
                else math.nan
            )

        for name, doc, value in (
            (
                "engine_demand",
                "Engines that the load needs; NaN at hosts that don't order.",
                lambda view: view.demand,
            ),
            (
                "running_engines",
                "Running engines; NaN at hosts that don't order.",
                lambda view: view.total,
            ),
        ):
            labels = {"service": service}
            self._metrics.gauge(name, doc, labels, read=read(value))

    async def _order(
        self, plan: capacityplan.CapacityPlan, service: str
    ) -> None:
        order: capacityplan.CapacityRecord | None = None

        async def make() -> (
            capacityplan.CapacityRecord | fencedactions.Withheld
        ):
            nonlocal order
            order = self._propose(plan, service)
            if order is None:
                return fencedactions.Withheld(reason="ordered meanwhile")
            return order

        try:
            sent = await self._actions.perform(make, self._calls.order_capacity)
        finally:
            self._ordering = False
        now = self._timers.now
        if isinstance(sent, Failure):
            outcome = sent.failure().reason
            if order is not None:
                plan.record_failure(order, now)
        else:
            outcome = sent.unwrap().value
            match sent.unwrap():
                case operatorcalls.CallOutcome.ACCEPTED:
                    plan.record_acceptance(order)
                case operatorcalls.CallOutcome.UNAVAILABLE:
                    plan.record_refusal(order, now)
                case operatorcalls.CallOutcome.REJECTED:
                    plan.record_failure(order, now)
        self._outcomes[outcome] = self._outcomes.get(outcome, 0) + 1
        if order is None:
            return
        self._log.note(
            "capacity_order",
            service=order.service,
            zone=order.zone,
            is_spot=order.is_spot,
            count=order.count,
            needed=order.needed,
            end=self._actions.end,
            outcome=outcome,
        )

    def _propose(
        self, plan: capacityplan.CapacityPlan, service: str
    ) -> capacityplan.CapacityRecord | None:
        for view in self._views():
            if view.service == service:
                return plan.propose(self._add_demand(view), self._timers.now)
        return None

    def _apply_record(self, numbered: orderrecords.NumberedRecord) -> None:
        record = numbered.record
        if isinstance(record, capacityplan.CapacityRecord):
            self._get_plan(record.service).apply_record(
                record, self._timers.now
            )
