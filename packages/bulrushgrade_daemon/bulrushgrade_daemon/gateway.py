"""Puts the services of one gateway together and runs its life.

A gateway forwards callers' requests to endpoints by a configuration that it
follows on the platform's store. It keeps nothing beyond its process.
"""

import random
import secrets
from typing import Any

import msgspec

from bulrushgrade import directory as directory_module
from bulrushgrade import engineload
from bulrushgrade import engineplan
from bulrushgrade import kernel as kernel_module
from bulrushgrade import orderturn
from bulrushgrade import peerqueues
from bulrushgrade import retryshare
from bulrushgrade import routing
from bulrushgrade_daemon import adapter as adapter_module
from bulrushgrade_daemon import cachewatch
from bulrushgrade_daemon import choosing
from bulrushgrade_daemon import clock
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import endpointcalls
from bulrushgrade_daemon import follower
from bulrushgrade_daemon import forwarder
from bulrushgrade_daemon import front
from bulrushgrade_daemon import gatewaysettings
from bulrushgrade_daemon import loadgossip
from bulrushgrade_daemon import metrics
from bulrushgrade_daemon import pages
from bulrushgrade_daemon import stagecontrol
from bulrushgrade_daemon import storeview

ENDPOINT_READS_A_BOUND = 2.2
"""Reads of the endpoints' topic in a drain bound. Endpoints' heartbeats move
the topic all the time, so a read that waits would return with each of them.
One read that fails, with its time limit and the pause after it, still leaves
the next within the bound."""

CONFIGURATION_READS_A_BOUND = 1.0
"""Reads of the configuration in its bound when nothing changes. A read waits
for a change and returns with it, so this only limits how long it takes to
notice that a store or a path went silent in the middle of a read."""

LEAST_HOSTS = 64
"""Hosts that the fixed part of the retry budget is divided by at least. The
settings don't tell how many there are, and a host that has just started does
not know its peers yet."""

HOSTS_SPARED = 2
"""Times the known hosts that it is divided by where those are many: room for
as many that start at the same moment."""

PEERS_WAIT_S = 15.0
"""How long a read of the gateways' topic waits. It changes only when a host
starts; until a peer is known, work is placed without its word."""

STOP_LISTEN_S = 3.0
"""How long a stopping host goes on taking connections: the balancer asks
once a second and needs two answers to take it out."""

STOP_RESERVE_S = 0.8
"""Of the time to stop, what is kept for the end of the process itself."""

STOP_CHECK_S = 0.1
"""Between two looks at whether a stopping host is idle."""

_DEFAULT_LIMITS = routing.CallerLimits(
    max_header_bytes=16384,
    max_body_bytes=4 * 1024 * 1024,
    header_timeout_s=5.0,
    idle_timeout_s=15.0,
)


class Gateway:
    """One gateway and what it believes at present."""

    def __init__(
        self,
        *,
        settings: gatewaysettings.GatewaySettings,
        adapter: adapter_module.Adapter,
        reactor: Any,
        on_broken: Any,
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
        self._adapter = adapter
        self._reactor = reactor
        self._rng = rng or random.Random(secrets.randbits(64))
        self._incarnation = f"{self._rng.getrandbits(32):08x}"
        self._stopping = False
        self._log = decisionlog.DecisionLog(host=settings.host.name)
        self._kernel = kernel_module.Kernel(
            call_soon=lambda work: reactor.callLater(0, work),
            on_broken=on_broken,
        )
        self._build()

    @property
    def kernel(self) -> kernel_module.Kernel:
        """Starts, stops and dumps the services."""
        return self._kernel

    @property
    def log(self) -> decisionlog.DecisionLog:
        """Takes the lines of decisions."""
        return self._log

    @property
    def front(self) -> front.Front:
        """The side towards callers."""
        return self._front

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        return (
            self._view.table is not None
            and self._follow_endpoints.known
            and not self._stopping
        )

    async def start(self) -> None:
        """Starts every service."""
        await self._kernel.start()
        self._timers.every(decisionlog.FLUSH_S, self._log.flush)
        self._log.always(
            "started",
            callers=self._front.address,
            zone=self._settings.host.zone,
        )

    async def stop(self) -> None:
        """Stops without cutting a request, within the time to stop."""
        self._stopping = True
        self._front.announce_stop()
        began = self._timers.now
        limit = began + self._settings.bounds.stop_s - STOP_RESERVE_S
        self._log.always("stopping", open=self._forwarder.open_requests)
        while self._timers.now < limit:
            await self._timers.sleep(STOP_CHECK_S)
            if self._timers.now - began < STOP_LISTEN_S:
                continue
            self._front.close_idle()
            if self._front.connections == 0:
                break
        left = self._forwarder.open_requests
        await self._kernel.stop()
        self._log.always(
            "stopped", open=left, took_s=round(self._timers.now - began, 2)
        )

    def reload(self, settings: gatewaysettings.GatewaySettings) -> None:
        """Takes changed settings; addresses need a restart."""
        changed = [
            name
            for name in ("host", "listen", "store", "bounds")
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = settings
        self._log.always("settings_reloaded", changed=changed)

    def _build(self) -> None:
        reactor, settings = self._reactor, self._settings
        self._metrics = metrics.Metrics()
        self._timers = clock.TimerService(
            reactor=reactor, on_broken=self._kernel.fail
        )
        self._view = storeview.StoreView(
            adapter=self._adapter,
            timers=self._timers,
            drain_s=settings.bounds.drain_s,
            regained_at=lambda: self._follow_endpoints.regained_at,
            on_changed=lambda: self._chooser.forget_gone(),
            log=self._log,
        )
        self._follow_configuration = self._new_follower(
            "configuration",
            self._adapter.configuration_reader,
            wait_s=settings.bounds.configuration_s
            / CONFIGURATION_READS_A_BOUND,
            pause_s=0.0,
            take=self._view.take_configuration,
        )
        self._follow_endpoints = self._new_follower(
            "endpoints",
            self._adapter.endpoint_reader,
            wait_s=0.0,
            pause_s=settings.bounds.drain_s / ENDPOINT_READS_A_BOUND,
            take=self._view.take_endpoints,
            take_all=self._view.take_all_endpoints,
        )
        self._peer_queues = peerqueues.PeerQueues()
        self._chooser = choosing.Chooser(
            timers=self._timers,
            zone=settings.host.zone,
            table=lambda: self._view.table,
            endpoints=self._view.endpoints,
            others=self._peer_queues,
            log=self._log,
            rng=self._rng,
        )
        self._forwarder = self._new_forwarder()
        self._front = front.Front(
            reactor=reactor,
            host=settings.listen.callers.host,
            port=settings.listen.callers.port,
            now=lambda: self._timers.now,
            limits=self._caller_limits,
            handle=self._forwarder.handle,
        )
        self._cache_watch = cachewatch.CacheWatch(
            timers=self._timers,
            engines=self._followed_engines,
            read=self._adapter.read_cache_changes,
            apply=self._take_cache_changes,
            on_broken=self._kernel.fail,
        )
        self._gossip = loadgossip.LoadGossip(
            reactor=reactor,
            timers=self._timers,
            host_name=settings.host.name,
            incarnation=self._incarnation,
            listen=settings.listen.peers,
            membership=self._adapter.membership,
            queues=self._peer_queues,
            read_own=self._chooser.queued_s,
            take_changes=self._take_told_changes,
            log=self._log,
            on_broken=self._kernel.fail,
        )
        self._follow_peers = self._new_follower(
            "peers",
            self._adapter.membership.reader,
            wait_s=PEERS_WAIT_S,
            pause_s=0.0,
            take=self._gossip.take_records,
        )
        self._stage_control = self._new_stage_control()
        for service in (
            self._metrics,
            self._timers,
            self._follow_configuration,
            self._follow_endpoints,
            self._gossip,
            self._stage_control,
            self._follow_peers,
            self._cache_watch,
            self._forwarder,
            self._front,
            self._new_pages("ready", settings.listen.ready, self._ready_page),
            self._new_pages("admin", settings.listen.admin, self._admin_page),
        ):
            self._kernel.register(service)
        self._add_counts()

    def _new_forwarder(self) -> forwarder.Forwarder:
        calls = endpointcalls.EndpointCalls(
            reactor=self._reactor,
            now=lambda: self._timers.now,
            dialect=self._adapter.dialect,
            on_broken=self._kernel.fail,
        )
        parts = forwarder.Parts(
            timers=self._timers,
            dialect=self._adapter.dialect,
            table=lambda: self._view.table,
            chooser=self._chooser,
            calls=calls,
            log=self._log,
            rng=self._rng,
            on_broken=self._kernel.fail,
        )
        return forwarder.Forwarder(
            parts=parts,
            new_share=self._new_share,
            observe=self._observe_answer,
        )

    def _new_stage_control(self) -> stagecontrol.StageControl:
        holder = f"{self._settings.host.name}/{self._incarnation}"
        return stagecontrol.StageControl(
            timers=self._timers,
            holder=holder,
            turn=orderturn.OrderTurn(
                holder=holder, lease_s=self._settings.bounds.order_lease_s
            ),
            topic=self._adapter.order_topic,
            control=self._adapter.engine_control,
            leads=self._leads,
            views=self._chooser.engine_views,
            block=self._chooser.block,
            log=self._log,
            on_broken=self._kernel.fail,
        )

    def _leads(self) -> bool:
        """Returns whether this host is the first of those it hears."""
        own = f"{self._settings.host.name}/{self._incarnation}"
        heard = self._peer_queues.heard(self._timers.now)
        return not self._stopping and (not heard or own < heard[0])

    def _observe_answer(self, kind: str, took_s: float) -> None:
        self._metrics.histogram(
            "whole_answer_seconds",
            "From arrival to the whole answer.",
            {"kind": kind},
        ).observe(took_s)

    def _new_follower(
        self,
        name: str,
        reader: follower.KeyedReader,
        *,
        take: Any,
        take_all: Any = None,
        **pace: float,
    ) -> follower.Follower:
        return follower.Follower(
            name=name,
            timers=self._timers,
            reader=reader,
            on_all=take_all or take,
            on_records=take,
            log=self._log,
            on_broken=self._kernel.fail,
            **pace,
        )

    def _new_pages(self, name: str, listen: Any, find: Any) -> pages.Pages:
        return pages.Pages(
            name=name,
            reactor=self._reactor,
            host=listen.host,
            port=listen.port,
            find=find,
        )

    def _new_share(self) -> retryshare.RetryShare:
        bounds = self._settings.bounds
        return retryshare.RetryShare(
            ratio=bounds.retry_ratio,
            extra=self._retry_extra,
            window_s=bounds.retry_window_s,
        )

    def _retry_extra(self) -> float:
        hosts = max(LEAST_HOSTS, HOSTS_SPARED * self._gossip.known_hosts)
        return self._settings.bounds.retry_extra / hosts

    def _add_counts(self) -> None:
        for name, doc, read in (
            (
                "requests_total",
                "Requests by how they ended, attempts by what came of them.",
                lambda: self._forwarder.counts,
            ),
            (
                "log_lines_total",
                "Lines written and dropped.",
                lambda: self._log.counts,
            ),
            (
                "unreadable_records_total",
                "Records of the store that can't be decoded.",
                lambda: self._view.counts,
            ),
            (
                "configuration_reads_total",
                "Reads of the configuration's topic.",
                lambda: self._follow_configuration.counts,
            ),
            (
                "stage_orders_total",
                "Orders to engines to change their role.",
                lambda: self._stage_control.counts,
            ),
            (
                "cache_reads_total",
                "Reads of engines' cache changes.",
                lambda: self._cache_watch.counts,
            ),
            (
                "endpoint_reads_total",
                "Reads of the endpoints' topic.",
                lambda: self._follow_endpoints.counts,
            ),
        ):
            self._metrics.add_counts(name, doc, read)
        self._metrics.gauge(
            "open_requests",
            "Requests under way.",
            read=lambda: self._forwarder.open_requests,
        )

    def _followed_engines(self) -> list[directory_module.Registration]:
        return [
            registration
            for registration in self._view.endpoints.registrations
            if registration.stage is not None
            and self._gossip.follows(registration.id)
        ]

    def _take_cache_changes(
        self,
        engine: directory_module.Registration,
        changes: tuple[engineload.CacheChange, ...],
        *,
        anew: bool,
    ) -> None:
        # Short parts are read faster than fetched; nobody asks for them.
        useful = tuple(
            change
            for change in changes
            if change.tokens >= engineplan.FETCH_TOKENS or change.tokens == 0
        )
        self._chooser.apply_cache(engine, useful, anew=anew)
        self._gossip.tell_changes(engine.id, useful)

    def _take_told_changes(
        self, engine: str, changes: tuple[engineload.CacheChange, ...]
    ) -> None:
        known = self._view.endpoints.find(engine)
        if known is not None:
            self._chooser.apply_cache(known, changes, anew=False)

    def _caller_limits(self) -> routing.CallerLimits:
        if self._view.table is None:
            return _DEFAULT_LIMITS
        return self._view.table.configuration.limits

    def _ready_page(self, path: str) -> pages.Page:
        if self.ready:
            return pages.Page(status=200, body=b"ready\n")
        return pages.Page(status=503, body=b"not ready\n")

    def _admin_page(self, path: str) -> pages.Page:
        if path == "/metrics":
            return pages.Page(status=200, body=self._metrics.render())
        if path == "/dump":
            body = msgspec.json.encode(self._kernel.dump(), enc_hook=str)
            return pages.Page(
                status=200, body=body, content_type=b"application/json"
            )
        return pages.Page(status=404, body=b"no such page\n")
