"""The life of one gateway: start, readiness, reload, stop.

A gateway forwards callers' requests to endpoints by a configuration that it
follows on the platform's store. It keeps nothing beyond its process.
"""

from collections.abc import Callable
import random
import secrets
from typing import Any

from bulrushgrade import kernel as kernel_module
from bulrushgrade_daemon import adapter as adapter_module
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import gatewaypages
from bulrushgrade_daemon import gatewayservices
from bulrushgrade_daemon import gatewaysettings
from bulrushgrade_daemon import pages

STOP_LISTEN_S = 3.0
"""How long a stopping host goes on taking connections: the balancer asks
once a second and needs two answers to take it out."""

STOP_RESERVE_S = 0.8
"""Of the time to stop, what is kept for the end of the process itself."""

STOP_CHECK_S = 0.1
"""Between two looks at whether a stopping host is idle."""


class Gateway:
    """One gateway and what it believes at present."""

    def __init__(
        self,
        *,
        settings: gatewaysettings.GatewaySettings,
        adapter: adapter_module.Adapter,
        reactor: Any,
        on_broken: Callable[[str], None],
        rng: random.Random | None = None,
    ):
        """Makes a gateway that has not been started.

        Args:
            settings: Its settings.
            adapter: Ties it to the platform.
            reactor: The reactor that it runs in.
            on_broken: Called with the reason when an invariant is broken.
            rng: Source of random choices; seeded by the system by default.
        """
        self._settings = settings
        self._stopping = False
        self._stop_began = 0.0
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
                stopping=lambda: self._stopping,
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
        """Takes the lines of decisions."""
        return self._log

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        return (
            self._services.view.table is not None
            and self._services.follow_endpoints.known
            and self._services.follow_crashes.known
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
        """Stops without cutting a request, within the time to stop."""
        self._stopping = True
        timers, frontend = self._services.timers, self._services.frontend
        requests = self._services.forwarder
        frontend.begin_drain()
        began = self._stop_began = timers.now
        limit = began + self._settings.bounds.stop_s - STOP_RESERVE_S
        self._log.always("stopping", open=requests.open_requests)
        while timers.now < limit:
            await timers.sleep(STOP_CHECK_S)
            if timers.now - began < STOP_LISTEN_S:
                continue
            frontend.close_idle()
            if frontend.connections == 0:
                break
        left = requests.open_requests
        await self._kernel.stop()
        self._log.always(
            "stopped",
            open=left,
            took_s=round(timers.now - began, 2),
        )

    def _ends_in_s(self) -> float | None:
        """Returns the seconds that are left for requests that come now.

        Load: all hosts of a zone are stopped one soon after the other, and the
        balancer, which has nobody else there, goes on sending to them. Harm:
        what came late was passed on and cut when the process ended. Until the
        balancer can know, requests are taken whatever they may last.
        """
        if not self._stopping:
            return None
        stopping_s = self._services.timers.now - self._stop_began
        if stopping_s < STOP_LISTEN_S:
            return None
        return self._settings.bounds.stop_s - STOP_RESERVE_S - stopping_s

    def reload(self, settings: gatewaysettings.GatewaySettings) -> None:
        """Takes changed settings; addresses need a restart."""
        changed = [
            name
            for name in ("host", "listen", "store", "bounds")
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = settings
        self._log.always("settings_reloaded", changed=changed)

    def _add_pages(self, reactor: Any) -> None:
        services, listen = self._services, self._settings.listen
        gatewaypages.add_counts(services, self._log)
        for name, address, find in (
            (
                "ready",
                listen.ready,
                gatewaypages.show_ready(lambda: self.ready),
            ),
            (
                "admin",
                listen.admin,
                gatewaypages.show_admin(services.metrics, self._kernel),
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
