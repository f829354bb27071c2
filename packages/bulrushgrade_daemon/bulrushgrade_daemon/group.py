"""One group of engines: its lease, its orders and its role plan.

A group is the engines of one service in one zone or region, named
``SERVICE.LOCATION``. The authority service calls everything in here.
"""

from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Success

from bulrushgrade import engineorder
from bulrushgrade import lease
from bulrushgrade import order
from bulrushgrade import orderlog
from bulrushgrade import record
from bulrushgrade import rolechange
from bulrushgrade import roleplan
from bulrushgrade import work
from bulrushgrade_daemon import engine

# An engine that drains without an order is returned to service after this
# time. A drain by the platform itself shows on the host list by then.
UNORDERED_DRAIN_TIMEOUT_S = 15.0
# How long a role change waits for other hosts to stop placing work on the
# engine. Short, as a request that the engine refuses costs one more attempt.
DROP_LIMIT_S = 0.5


def parse_group(name: str) -> tuple[str, str]:
    """Returns the service and the zone or region in a group's name."""
    service, _, location = name.partition(".")
    return service, location


def make_engine_report(load: engine.EngineLoad) -> engineorder.EngineReport:
    """Converts an engine's load report to the form that orders use."""
    return engineorder.EngineReport(
        state=load.state,
        current=reported_configuration(load),
        order_id=load.order_id or "",
        number=-1 if load.term is None else load.term,
    )


def reported_configuration(load: engine.EngineLoad) -> orderlog.Wanted:
    """Returns the role, model and adapters that an engine reports."""
    return orderlog.Wanted(
        role=load.role,
        model=load.model,
        version=load.version,
        adapters=tuple(sorted(load.adapters)),
    )


@attrs.frozen(kw_only=True)
class GroupParts:
    """The tracker and callbacks that a group uses.

    Attributes:
        order_tracker: The orders of the group and the lease they depend on.
        append: Appends a record; calls its second argument with the record's
            id if the record was certainly not stored.
        send_order: Sends an order to its engine.
        ask_drain: Asks an engine to refuse new work.
        hold: Sets whether this host holds new work back from an engine.
        capacity: Returns an engine's rates of prefill and decode for a model,
            in tokens a second.
    """

    order_tracker: order.OrderTracker
    append: Callable[[record.Append, Callable[[str], None]], None]
    send_order: Callable[[Any, engineorder.Order], None]
    ask_drain: Callable[[str], None]
    hold: Callable[[str, bool], None]
    capacity: Callable[[str], tuple[float, float]]


class Group:
    """Controls one group while this host holds its lease."""

    def __init__(self, *, name: str, parts: GroupParts):
        self._name = name
        self._parts = parts
        self._plan = roleplan.RolePlan()
        self._weights = (1.0, 1.0)
        self._change: rolechange.RoleChange | None = None
        self._engines: dict[str, work.Endpoint] = {}
        self._loads: dict[str, engine.EngineLoad] = {}
        self._reported_at = 0.0
        self._live_engines: frozenset[str] = frozenset()
        self._draining_since: dict[str, float] = {}
        self._had_lease = False
        self._counts = dict.fromkeys(
            ("orders_sent", "role_changes", "terms"), 0
        )

    @property
    def name(self) -> str:
        """The group's name."""
        return self._name

    @property
    def order_tracker(self) -> order.OrderTracker:
        """The orders of the group."""
        return self._parts.order_tracker

    @property
    def lease(self) -> lease.Lease:
        """This host's lease or candidacy for it."""
        return self._parts.order_tracker.authority

    @property
    def counts(self) -> dict[str, int]:
        """The counters, by name."""
        return self._counts

    def set_weights(self, goodput: float, role_changes: float) -> None:
        """Sets the weights of the service document.

        New weights start a new plan. The history of demand is lost with the
        old one, which delays the next role change by less than a minute.
        """
        if (goodput, role_changes) != self._weights:
            self._weights = (goodput, role_changes)
            self._plan = roleplan.RolePlan(
                goodput_weight=max(goodput, 0.001),
                role_change_weight=role_changes,
            )

    def set_engines(
        self,
        engines: dict[str, work.Endpoint],
        *,
        fencing: dict[str, bool],
        live: frozenset[str],
    ) -> None:
        """Replaces the group's engines by those on the host list.

        Args:
            engines: The engines by address.
            fencing: Whether each engine refuses old fencing numbers.
            live: The addresses that the list marks as live.
        """
        self._live_engines = live
        for address in self._engines.keys() - engines.keys():
            self.order_tracker.remove_engine(address)
            self._loads.pop(address, None)
        for address in engines:
            self.order_tracker.set_engine(address, fencing=fencing[address])
        self._engines = engines

    def observe(
        self, address: str, load: engine.EngineLoad, now: float
    ) -> None:
        """Applies an engine's load report."""
        if address not in self._engines:
            return
        self._loads[address] = load
        self._reported_at = now
        self.order_tracker.observe(address, make_engine_report(load), now)
        if self._change is not None and self._change.engine == address:
            self._change.observe_load(
                rolechange.Load(
                    refusing=load.state != "serving",
                    requests=load.running + load.queued,
                    measured_at=now - load.age_s,
                )
            )

    def observe_demand(
        self, host: str, demand: work.Demand, now: float
    ) -> None:
        """Adds the demand of a host's callers to the plan."""
        self._plan.observe(host, demand, now)

    def tick(self, now: float) -> None:
        """Renews the lease, sends due orders and advances a role change."""
        for append in self.lease.tick(now):
            self._parts.append(append, self.lease.append_failed)
        for append in self.order_tracker.due(now):
            self._parts.append(append, self.order_tracker.append_failed)
        for each in self.order_tracker.sendable(now):
            self._counts["orders_sent"] += 1
            self._parts.send_order(self, each)
        self._track_lease(now)
        self._advance_change(now)
        self._end_unordered_drains(now)
        self._hold_engines(now)

    def plan(self, now: float) -> None:
        """Starts the most beneficial role change, if there is one.

        Only the holder of the lease plans, and only one change at a time: the
        effect of one must be visible before the next is evaluated.
        """
        if not self.lease.holds_lease(now) or self._change is not None:
            return
        if self.order_tracker.fold.unfinished or not self._engines:
            return
        proposed = self._plan.propose(self._view(), now)
        if proposed is None:
            return
        load = self._loads.get(proposed.endpoint)
        if load is None:
            return
        before = reported_configuration(load)
        self._plan.record_change(proposed, now)
        self._counts["role_changes"] += 1
        self._change = rolechange.RoleChange(
            engine=proposed.endpoint,
            before=before,
            wanted=attrs.evolve(before, role=proposed.role.value),
            can_refuse=True,
            times=rolechange.RoleChangeTimes(drop_limit_s=DROP_LIMIT_S),
            now=now,
        )

    def dump(self, now: float) -> dict[str, Any]:
        """Returns the group's state for debugging, ready for JSON."""
        change = self._change
        return {
            "phase": self.lease.phase,
            "acting": self.lease.holds_lease(now),
            "term": self.lease.term,
            "current_term": self.lease.fold.term,
            "lease_left_s": max(0.0, self.lease.expires_at - now),
            "engines": sorted(self._engines),
            "unfinished": {
                address: attrs.asdict(each)
                for address, each in self.order_tracker.fold.unfinished.items()
            },
            "change": None
            if change is None
            else {
                "engine": change.engine,
                "phase": change.phase,
                "target": attrs.asdict(change.target),
                "overdue": change.overdue(now),
            },
            "counts": dict(self._counts),
        }

    def _track_lease(self, now: float) -> None:
        holding = self.lease.holds_lease(now)
        if holding and not self._had_lease:
            self._counts["terms"] += 1
        if self._had_lease and not holding and self._change is not None:
            self._change.hand_over(now)
        self._had_lease = holding

    def _advance_change(self, now: float) -> None:
        change = self._change
        if change is None:
            return
        unfinished = self.order_tracker.fold.unfinished
        load = self._loads.get(change.engine)
        if (
            change.phase == "ordering"
            and load is not None
            and change.engine not in unfinished
            and reported_configuration(load) == change.target
            and load.state == "serving"
        ):
            change.observe_outcome(reported_configuration(load), now)
        action = change.tick(now)
        if action is rolechange.Action.ASK_DRAIN:
            self._parts.ask_drain(change.engine)
        elif action is rolechange.Action.PROPOSE:
            intent = self.order_tracker.propose(
                change.engine, change.target, now
            )
            if isinstance(intent, Success):
                change.record_proposal()
                self._parts.append(
                    intent.unwrap(), self.order_tracker.append_failed
                )
        if change.over:
            self._change = None

    def _end_unordered_drains(self, now: float) -> None:
        """Returns engines that drain without an order to service.

        Failure guarded against: a holder asks an engine to drain and crashes,
        or loses the log, before it gives the order. The engine would refuse
        all work forever and the group would lack one engine. An order to keep
        its current role ends the drain.
        """
        changing = None if self._change is None else self._change.engine
        draining = {
            address
            for address in self.order_tracker.draining_without_order()
            if address in self._live_engines and address != changing
        }
        self._draining_since = {
            address: self._draining_since.get(address, now)
            for address in draining
        }
        if not self.lease.holds_lease(now):
            return
        for address, since in self._draining_since.items():
            if now < since + UNORDERED_DRAIN_TIMEOUT_S:
                continue
            load = self._loads[address]
            intent = self.order_tracker.propose(
                address, reported_configuration(load), now
            )
            if isinstance(intent, Success):
                self._parts.append(
                    intent.unwrap(), self.order_tracker.append_failed
                )

    def _hold_engines(self, now: float) -> None:
        changing = self._change
        for address in self._engines:
            held = address in self.order_tracker.fold.unfinished
            if changing is not None and changing.engine == address:
                held |= changing.share(now) == 0.0
            self._parts.hold(address, held)

    def _view(self) -> roleplan.GroupView:
        model = next(iter(self._engines.values())).model
        prefill_rate, decode_rate = self._parts.capacity(model)
        return roleplan.GroupView(
            at=self._reported_at,
            endpoints=tuple(self._engines.values()),
            running={a: float(x.running) for a, x in self._loads.items()},
            prefill_tokens_per_s=prefill_rate,
            decode_tokens_per_s=decode_rate,
        )
