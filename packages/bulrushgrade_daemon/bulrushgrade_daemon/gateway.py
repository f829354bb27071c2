"""The life cycle of one gateway: start, readiness, reload, stop.

A gateway forwards callers' requests to endpoints according to a configuration
that it reads from the platform's store. It stores nothing itself: all of its
state is lost when its process ends.
"""

from collections.abc import Callable
import random
import secrets
from typing import Any

from bulrushgrade import kernel as kernel_module
from bulrushgrade_daemon import adapter as adapter_module
from bulrushgrade_daemon import answerwatch
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import gatewaypages
from bulrushgrade_daemon import gatewayservices
from bulrushgrade_daemon import gatewaysettings
from bulrushgrade_daemon import pages

STOP_LISTEN_S = 3.0
"""How long a stopping host keeps accepting connections. The load balancer
checks readiness once a second and removes a host after two failed checks."""

STOP_RESERVE_S = 0.8
"""Part of the stop time limit that is reserved for ending the process."""

STOP_CHECK_S = 0.1
"""Time between two checks whether a stopping host is idle."""


class Gateway:
    """One gateway: its services, pages and life cycle."""

    def __init__(
        self,
        *,
        settings: gatewaysettings.GatewaySettings,
        adapter: adapter_module.Adapter,
        reactor: Any,
        on_broken: Callable[[str], None],
        rng: random.Random | None = None,
    ):
        """Creates a gateway that has not been started.

        Args:
            settings: Its settings.
            adapter: The platform-specific functions.
            reactor: The reactor that it runs in.
            on_broken: Called with the reason when an invariant is broken.
            rng: Random number generator; seeded by the operating system by
                default.
        """
        self._settings = settings
        self._stopping = False
        self._stop_started_at = 0.0
        self._log = decisionlog.DecisionLog(host=settings.host.name)
        self._kernel = kernel_module.Kernel(
            call_soon=lambda work: reactor.callLater(0, work),
            on_broken=on_broken,
        )
        self._services = gatewayservices.GatewayServices(
            context=gatewayservices.Context(
                reactor=reactor,
                adapter=adapter,
                kernel=self._kernel,
                log=self._log,
                rng=rng or random.Random(secrets.randbits(64)),
                settings=lambda: self._settings,
                is_stopping=lambda: self._stopping,
                ends_in_s=self._ends_in_s,
            )
        )
        self._add_pages(reactor)

    @property
    def kernel(self) -> kernel_module.Kernel:
        """Starts, stops and dumps the services."""
        return self._kernel

    @property
    def log(self) -> decisionlog.DecisionLog:
        """Receives the gateway's structured log lines."""
        return self._log

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send callers to this host."""
        return (
            self._services.view.table is not None
            and self._services.follow_endpoints.has_loaded
            and self._services.crash_services.follower.has_loaded
            and not self._services.versions.holds_back
            and self._services.connector.can_connect
            and not self._stopping
        )

    async def start(self) -> None:
        """Starts every service."""
        await self._kernel.start()
        self._services.timers.every(decisionlog.FLUSH_S, self._log.flush)
        self._log.always(
            "started",
            callers=self._services.frontend.address,
            zone=self._settings.host.zone,
        )

    async def stop(self) -> None:
        """Finishes open requests and stops within the stop time limit."""
        self._stopping = True
        timers, frontend = self._services.timers, self._services.frontend
        requests = self._services.forwarder
        frontend.begin_drain()
        began = self._stop_started_at = timers.now
        limit = began + self._settings.bounds.stop_s - STOP_RESERVE_S
        self._log.always("stopping", open=requests.open_requests)
        while timers.now < limit:
            await timers.sleep(STOP_CHECK_S)
            if timers.now - began < STOP_LISTEN_S:
                continue
            frontend.close_idle()
            # Peers' callers wait for the answers that this host relays.
            relayed = self._services.relay_server.open_connections
            if frontend.connections == 0 and relayed == 0:
                break
        unfinished = requests.open_requests
        await self._kernel.stop()
        self._log.always(
            "stopped",
            open=unfinished,
            took_s=round(timers.now - began, 2),
        )

    def _ends_in_s(self) -> float | None:
        """Returns the seconds left for requests that arrive now.

        None means no limit. If all hosts of a zone are stopped in quick
        succession, the load balancer has no other host there and keeps
        sending requests to them. Without this limit, late requests would be
        forwarded and cut off when the process ends. Until the load balancer
        can have noticed the stop, requests of any duration are accepted.
        """
        if not self._stopping:
            return None
        stopping_s = self._services.timers.now - self._stop_started_at
        if stopping_s < STOP_LISTEN_S:
            return None
        return self._settings.bounds.stop_s - STOP_RESERVE_S - stopping_s

    def reload(self, settings: gatewaysettings.GatewaySettings) -> None:
        """Applies changed settings; changed addresses need a restart."""
        changed = [
            name
            for name in ("host", "listen", "store", "bounds")
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = settings
        self._log.always("settings_reloaded", changed=changed)

    def _add_pages(self, reactor: Any) -> None:
        services, listen = self._services, self._settings.listen
        answerwatch.set_log(self._log.note)
        gatewaypages.register_metrics(services, self._log)
        for name, address, find in (
            (
                "ready",
                listen.ready,
                gatewaypages.make_ready_finder(lambda: self.ready),
            ),
            (
                "admin",
                listen.admin,
                gatewaypages.make_admin_finder(services.metrics, self._kernel),
            ),
        ):
            self._kernel.register(
                pages.PageServer(
                    name=name,
                    reactor=reactor,
                    host=address.host,
                    port=address.port,
                    find=find,
                )
            )
