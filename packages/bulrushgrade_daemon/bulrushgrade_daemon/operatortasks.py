"""Creates the services that do tasks for the operator, if enabled."""

from collections.abc import Callable
from typing import Any

from bulrushgrade import capacitydemand
from bulrushgrade import capacityplan
from bulrushgrade import directory
from bulrushgrade import peerloads
from bulrushgrade import routing
from bulrushgrade import usagewindows
from bulrushgrade import workspaces
from bulrushgrade_daemon import capacitycontrol
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import enginework
from bulrushgrade_daemon import fencedactions
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import gatewaysettings
from bulrushgrade_daemon import loadgossip
from bulrushgrade_daemon import metrics as metrics_module
from bulrushgrade_daemon import operatorcalls
from bulrushgrade_daemon import peerlink
from bulrushgrade_daemon import storeview
from bulrushgrade_daemon import usagereporting


class OperatorTasks:
    """Usage reports and capacity orders."""

    def __init__(
        self,
        *,
        timers: Any,
        own_name: str,
        settings: gatewaysettings.Operator,
        features: gatewaysettings.Features,
        settle_s: float,
        calls: operatorcalls.OperatorCalls | None,
        actions: fencedactions.FencedActions,
        view: storeview.StoreView,
        work: enginework.EngineWork,
        peer_loads: peerloads.PeerLoads,
        metrics: metrics_module.Metrics,
        gossip: loadgossip.LoadGossip,
        reaches_store: Callable[[], bool],
        may_order: Callable[[], bool],
        link: peerlink.PeerLink,
        log: decisionlog.DecisionLog,
        on_broken: Callable[[str], None],
    ):
        """Creates the services that the settings enable.

        Args:
            timers: The timer service; its clock runs during pauses.
            own_name: This daemon's incarnation.
            settings: Section ``[operator]`` of the settings.
            features: Section ``[features]`` of the settings.
            settle_s: Time until an engine's registration is known to all
                hosts.
            calls: Calls to the operator's API; None to make no calls.
            actions: Performs actions that only one host at a time may do.
            view: The last known content of the store.
            work: Knows the load of engines.
            peer_loads: The loads that peers advertise.
            metrics: Gets the demand for engines.
            gossip: Knows which daemons are present and which one is the
                leader.
            reaches_store: Returns whether this host can reach the store.
            may_order: Returns whether this host is able to do the tasks.
            link: Sends messages to peers.
            log: Receives a line for each report and order.
            on_broken: Called with the reason when an invariant is broken.
        """
        self._timers = timers
        self._orders_by_demand = features.orders_by_demand
        self._settle_s = settle_s
        self._gossip = gossip
        self._link = link
        self._view = view
        self._work = work
        self._peer_loads = peer_loads
        self._reaches_store = reaches_store
        self._usage: usagereporting.UsageReporting | None = None
        self._capacity: capacitycontrol.CapacityControl | None = None
        if calls is not None and calls.report_usage is not None:
            self._usage = usagereporting.UsageReporting(
                timers=timers,
                own_name=own_name,
                windows=usagewindows.WindowSchedule(
                    window_s=settings.usage_window_s,
                    late_s=settings.usage_late_s,
                ),
                actions=actions,
                calls=calls,
                fleet=gossip.fleet,
                may_order=may_order,
                send=link.send,
                broadcast=link.broadcast,
                log=log,
                on_broken=on_broken,
            )
        if calls is not None and calls.order_capacity is not None:
            self._capacity = capacitycontrol.CapacityControl(
                timers=timers,
                own_name=own_name,
                actions=actions,
                calls=calls,
                leads=self.is_leader,
                views=self._capacity_views,
                read_use=self._read_use,
                metrics=metrics,
                log=log,
                on_broken=on_broken,
            )

    @property
    def services(self) -> list[Any]:
        """The services that were created, to be registered."""
        made = self._usage, self._capacity
        return [service for service in made if service is not None]

    @property
    def counts(self) -> dict[str, int]:
        """Number of reports and orders by service and outcome."""
        return {
            f"{service.name}: {outcome}": count
            for service in self.services
            for outcome, count in service.counts.items()
        }

    def is_leader(self) -> bool:
        """Returns whether this host sends orders to engines.

        If usage is reported, the reporter sends the orders too, so that hosts
        don't wait for each other's turn in the topic of orders.
        """
        if self._usage is not None:
            return self._usage.is_reporter
        return self._gossip.is_leader()

    def record_run_start(
        self, workspace: workspaces.Workspace | None, at: float
    ) -> None:
        """Counts a request that an endpoint started to run.

        Args:
            workspace: The request's workspace; None is not counted.
            at: When the run started, by the clock of the timer service.
        """
        if self._usage is not None:
            self._usage.record_run_start(workspace, at)

    def receive(
        self,
        message: gatewaymessages.UsageCounts
        | gatewaymessages.UsageTaken
        | gatewaymessages.UsageReporter,
    ) -> None:
        """Handles a peer's message about usage reports."""
        if self._usage is not None:
            self._usage.receive(message)

    def _capacity_views(self) -> list[capacityplan.CapacityView]:
        table = self._view.table
        if table is None or not self._reaches_store():
            return []
        return [
            capacityplan.CapacityView(
                service=service.name,
                scaling=service.scaling,
                running=self._count_running(service.name),
                settle_s=self._settle_s,
            )
            for service in table.configuration.services.values()
            if service.scaling is not None
        ]

    def _count_running(self, service: str) -> dict[capacityplan.Pool, int]:
        running: dict[capacityplan.Pool, int] = {}
        for found in self._find_running(service):
            pool = found.zone, found.is_spot
            running[pool] = running.get(pool, 0) + 1
        return running

    def _find_running(self, service: str) -> list[directory.Registration]:
        endpoints = self._view.endpoints
        return [
            found
            for found in endpoints.registrations
            if found.service == service and not endpoints.is_leaving(found)
        ]

    def _read_use(self, service: str) -> capacitydemand.ServiceUse | None:
        """Returns the load of a service's engines if it determines orders."""
        traits, table = self._work.traits(service), self._view.table
        if not self._orders_by_demand or traits is None or table is None:
            return None
        now, fleet = self._timers.now, self._work.fleet(service)
        # A host that hears of no peer sees its own requests only. Without any
        # announced peer these are all.
        is_recent = not self._link.hosts or self._peer_loads.has_recent(now)

        def read(engine: directory.Registration) -> capacitydemand.EngineUse:
            if engine.stage is directory.Stage.PREFILL:
                queued_s = fleet.wait_s(
                    engine, traits, now, routing.LOWEST_URGENCY
                )
                return capacitydemand.EngineUse(
                    is_prefill=True,
                    streams=0,
                    slots=traits.slots,
                    memory_fraction=0.0,
                    queued_s=queued_s,
                    is_recent=is_recent,
                )
            streams, tokens = fleet.count_streams(engine, traits, now)
            return capacitydemand.EngineUse(
                is_prefill=False,
                streams=streams,
                slots=traits.slots,
                memory_fraction=tokens / traits.memory_tokens,
                queued_s=0.0,
                is_recent=is_recent,
            )

        return capacitydemand.ServiceUse(
            engines=tuple(map(read, self._find_running(service))),
            target_s=table.limits(service).max_target_s,
        )
