"""Makes the services that do the operator's tasks, as far as settings ask."""

from collections.abc import Callable
from typing import Any

from bulrushgrade import capacityplan
from bulrushgrade import directory
from bulrushgrade import usagewindows
from bulrushgrade import workspaces
from bulrushgrade_daemon import capacitycontrol
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import fencedactions
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import gatewaysettings
from bulrushgrade_daemon import loadgossip
from bulrushgrade_daemon import operatorcalls
from bulrushgrade_daemon import peerlink
from bulrushgrade_daemon import storeview
from bulrushgrade_daemon import usagereporting


class OperatorTasks:
    """Usage reports and orders of engines."""

    def __init__(
        self,
        *,
        timers: Any,
        own_name: str,
        settings: gatewaysettings.Operator,
        settle_s: float,
        calls: operatorcalls.OperatorCalls | None,
        actions: fencedactions.FencedActions,
        view: storeview.StoreView,
        gossip: loadgossip.LoadGossip,
        reaches_store: Callable[[], bool],
        may_order: Callable[[], bool],
        link: peerlink.PeerLink,
        log: decisionlog.DecisionLog,
        on_broken: Callable[[str], None],
    ):
        """Makes them.

        Args:
            timers: The timer service, by a clock that runs through pauses.
            own_name: This daemon's incarnation.
            settings: What is asked for.
            settle_s: Until what an engine registers is known everywhere.
            calls: Calls to the operator; None where none are wanted.
            actions: Carries out what only one host at a time may do.
            view: What is believed of the store.
            gossip: Knows which daemons are there and which leads.
            reaches_store: Returns whether the store answers this host.
            may_order: Returns whether this host could do the tasks.
            link: Sends to peers.
            log: Gets a line for each report and order.
            on_broken: Called with the reason where an invariant is broken.
        """
        self._settle_s = settle_s
        self._gossip = gossip
        self._view = view
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
                leads=self.leads,
                views=self._capacity_views,
                log=log,
                on_broken=on_broken,
            )

    @property
    def services(self) -> list[Any]:
        """Those that were made, to be registered."""
        made = self._usage, self._capacity
        return [service for service in made if service is not None]

    @property
    def counts(self) -> dict[str, int]:
        """What came of reports and orders."""
        return {
            f"{service.name}: {outcome}": count
            for service in self.services
            for outcome, count in service.counts.items()
        }

    def leads(self) -> bool:
        """Returns whether this host is the one that orders engines about.

        Who reports usage does, so that hosts don't wait for each other's turn
        in the topic of orders.
        """
        if self._usage is not None:
            return self._usage.reports_itself
        return self._gossip.is_leader()

    def note_begun(
        self, workspace: workspaces.Workspace | None, at: float
    ) -> None:
        """Counts a request that an endpoint began to run.

        Args:
            workspace: Whose it is; None counts for nobody.
            at: When, by the steady clock.
        """
        if self._usage is not None:
            self._usage.note_begun(workspace, at)

    def receive(
        self,
        message: gatewaymessages.UsageCounts
        | gatewaymessages.UsageTaken
        | gatewaymessages.UsageReporter,
    ) -> None:
        """Takes a peer's message."""
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
        for found in self._view.endpoints.registrations:
            is_ready = found.state is directory.EndpointState.READY
            if found.service == service and is_ready:
                pool = found.zone, found.is_spot
                running[pool] = running.get(pool, 0) + 1
        return running
