"""Assembles the services of one daemon."""

import random
import secrets
from typing import Any

import attrs

from bulrushgrade import kernel as kernel_module
from bulrushgrade import membership
from bulrushgrade import scheduler
from bulrushgrade import serviceindex
from bulrushgrade import work
from bulrushgrade_daemon import admin
from bulrushgrade_daemon import answerwatch
from bulrushgrade_daemon import authority
from bulrushgrade_daemon import callers
from bulrushgrade_daemon import claims
from bulrushgrade_daemon import clock
from bulrushgrade_daemon import documents
from bulrushgrade_daemon import engine
from bulrushgrade_daemon import enginepoller
from bulrushgrade_daemon import hostlist
from bulrushgrade_daemon import logclient
from bulrushgrade_daemon import logwriter
from bulrushgrade_daemon import mesh
from bulrushgrade_daemon import metrics
from bulrushgrade_daemon import orders
from bulrushgrade_daemon import peermessages
from bulrushgrade_daemon import peers
from bulrushgrade_daemon import placementservice
from bulrushgrade_daemon import plain
from bulrushgrade_daemon import plainrelay
from bulrushgrade_daemon import relay
from bulrushgrade_daemon import settings as settings_module

INCARNATION_BYTES = 4
# The services whose counters are exported as metrics, with their help texts.
_COUNTER_HELP = {
    "callers": "Requests of callers.",
    "relay": "Model requests by how they went.",
    "plainrelay": "Requests for plain services by how they went.",
    "claims": "Once-only requests by what became of them.",
    "documents": "Records of the documents stream.",
    "log": "Calls to the log service.",
    "logwriter": "Records and requests to the log.",
    "orders": "Orders to engines by how they were answered.",
}


@attrs.frozen(kw_only=True)
class Daemon:
    """An assembled daemon.

    Attributes:
        kernel: Starts, stops and dumps its services.
        callers: The service that accepts requests of callers.
        admin: The service that operators query.
    """

    kernel: kernel_module.Kernel
    callers: callers.Callers
    admin: admin.Admin


def build(
    settings: settings_module.Settings,
    reactor: Any,
    *,
    on_broken: Any,
    rng: random.Random | None = None,
) -> Daemon:
    """Returns a daemon that has not been started.

    Args:
        settings: Its settings.
        reactor: The reactor that it runs in.
        on_broken: Called with the reason when an invariant is broken; must
            stop the process.
        rng: Source of every random choice; by default seeded by the operating
            system.
    """
    rng = rng or random.Random(secrets.randbits(64))
    kernel = kernel_module.Kernel(
        call_soon=lambda work: reactor.callLater(0, work),
        on_broken=on_broken,
    )
    builder = _Builder(
        settings=settings, reactor=reactor, kernel=kernel, rng=rng
    )
    return builder.build()


class _Builder:
    """Creates the services in order of dependency and registers them."""

    def __init__(self, *, settings, reactor, kernel, rng):
        self._settings = settings
        self._reactor = reactor
        self._kernel = kernel
        self._rng = rng
        self._incarnation = secrets.token_hex(INCARNATION_BYTES)

    def build(self) -> Daemon:
        self._add_platform()
        self._add_placement()
        self._add_documents()
        self._add_claims()
        self._add_peers()
        self._add_authority()
        caller_service = self._add_callers()
        self._add_counts()
        operators = self._add_admin()
        return Daemon(
            kernel=self._kernel, callers=caller_service, admin=operators
        )

    def _add(self, service: Any) -> Any:
        self._kernel.register(service)
        return service

    def _add_platform(self) -> None:
        platform = self._settings.platform
        self._add(metrics.Metrics())
        self._timers = self._add(
            clock.TimerService(
                reactor=self._reactor, on_broken=self._kernel.fail
            )
        )
        self._log = self._add(
            logclient.LogClient(
                reactor=self._reactor, address=str(platform.log)
            )
        )
        self._hosts = self._add(
            hostlist.HostListReader(
                reactor=self._reactor,
                timers=self._timers,
                address=str(platform.host_list),
                period_s=platform.host_list_period_s,
                on_hosts=self._on_hosts,
            )
        )

    def _add_placement(self) -> None:
        self._engines = self._add(engine.EngineClient(reactor=self._reactor))
        self._plain = self._add(plain.PlainClient(reactor=self._reactor))
        self._core = scheduler.Scheduler(
            zone=self._settings.host.zone, rng=self._rng
        )
        self._placement = self._add(
            placementservice.PlacementService(
                timers=self._timers, core=self._core
            )
        )
        self._add(
            enginepoller.EnginePoller(
                timers=self._timers,
                engines=self._engines,
                kernel=self._kernel,
            )
        )

    def _add_documents(self) -> None:
        self._documents = self._add(
            documents.Documents(
                timers=self._timers,
                log=self._log,
                rng=self._rng,
                on_accepted=self._on_accepted,
                on_broken=self._kernel.fail,
            )
        )

    def _add_callers(self) -> callers.Callers:
        model_relay = self._add(
            relay.Relay(
                timers=self._timers,
                engines=self._engines,
                placement=self._placement,
                latency_histograms=self._make_latency_histograms(),
            )
        )
        plain_relay = self._add(
            plainrelay.PlainRelay(
                timers=self._timers,
                client=self._plain,
                placement=self._placement,
                claims=self._claims,
            )
        )
        dependencies = callers.Dependencies(
            timers=self._timers,
            relay=model_relay,
            plain=plain_relay,
            service_index=lambda: self._documents.service_index,
            not_ready_reason=self._find_not_ready_reason,
            on_broken=self._kernel.fail,
        )
        self._caller_service = self._add(
            callers.Callers(
                reactor=self._reactor,
                settings=self._settings,
                incarnation=self._incarnation,
                dependencies=dependencies,
            )
        )
        return self._caller_service

    def _make_latency_histograms(self) -> relay.LatencyHistograms:
        metrics_service = self._kernel.find("metrics")
        return relay.LatencyHistograms(
            first_token=metrics_service.histogram(
                "first_token_seconds", "From arrival to the first token."
            ),
            whole_answer=metrics_service.histogram(
                "whole_answer_seconds", "From arrival to the whole answer."
            ),
        )

    def _add_counts(self) -> None:
        metrics_service = self._kernel.find("metrics")
        for name, doc in _COUNTER_HELP.items():
            service = self._kernel.find(name)
            metrics_service.register_counts(
                f"{name}_total", doc, lambda owner=service: owner.counts
            )
        metrics_service.register_counts(
            "answers_over_limit_total",
            "Answers of endpoints, engines and the log over a bound.",
            answerwatch.counts,
        )
        callers_service = self._kernel.find("callers")
        metrics_service.gauge(
            "open_requests",
            "Requests that are open.",
            read=lambda: callers_service.open_requests,
        )
        metrics_service.gauge(
            "log_reachable",
            "1 while the log service answers.",
            read=lambda: int(self._log.reachable),
        )

    def _add_admin(self) -> admin.Admin:
        return self._add(
            admin.Admin(
                reactor=self._reactor,
                listen=self._settings.listen.admin,
                dump=self._kernel.dump,
                render_metrics=self._kernel.find("metrics").render,
            )
        )

    def _add_claims(self) -> None:
        self._writer = self._add(
            logwriter.LogWriter(log=self._log, kernel=self._kernel)
        )
        self._claims = self._add(
            claims.Claims(
                timers=self._timers,
                log=self._log,
                writer=self._writer,
                runner=f"{self._settings.host.name}-{self._incarnation}",
                rng=self._rng,
                on_broken=self._kernel.fail,
            )
        )

    def _add_peers(self) -> None:
        listeners = peermessages.Listeners(
            on_loads=self._on_peer_loads,
            on_demands=self._on_peer_demands,
            on_snapshot_request=self._on_snapshot_request,
            on_snapshot=self._documents.restore,
        )
        limits = self._settings.limits
        self._peers = self._add(
            peers.Peers(
                kernel=self._kernel,
                reactor=self._reactor,
                timers=self._timers,
                listen=self._settings.listen.peers,
                queue_messages=limits.peer_queue_messages,
                loads_bytes_per_s=limits.peer_bytes_per_s,
                read_loads=self._placement.own_loads,
                read_demands=self._core.demand,
                listeners=listeners,
                rng=self._rng,
            )
        )
        self._mesh = self._add(
            mesh.Mesh(
                kernel=self._kernel,
                zone=self._settings.host.zone,
                region=self._settings.host.region,
                own_address=lambda: self._caller_service.address,
                own_peer_address=lambda: self._peers.address,
            )
        )

    def _add_authority(self) -> None:
        order_client = self._add(orders.OrderClient(reactor=self._reactor))
        parts = authority.AuthorityParts(
            timers=self._timers,
            log=self._log,
            writer=self._writer,
            placement=self._placement,
            host_mesh=self._mesh,
            orders=order_client,
            capacity=self._core.capacity,
            demands=self._core.demand,
            on_broken=self._kernel.fail,
        )
        self._add(
            authority.Authority(
                settings=self._settings.authority,
                holder=f"{self._settings.host.name}-{self._incarnation}",
                parts=parts,
                rng=self._rng,
            )
        )

    def _on_peer_demands(
        self, peer: str, demands: tuple[work.Demand, ...]
    ) -> None:
        message = authority.PeerDemands(peer=peer, demands=demands)
        self._kernel.send("authority", message)

    def _on_peer_loads(
        self, peer: str, loads: tuple[work.PeerLoad, ...]
    ) -> None:
        message = placementservice.PeerLoads(peer=peer, loads=loads)
        self._kernel.send("placing", message)

    def _on_snapshot_request(self, reply_to: bytes) -> None:
        # The documents of a host that is not ready may be incomplete; other
        # peers answer instead.
        if self._documents.service_index is None:
            return
        answer = peermessages.AnswerSnapshot(
            reply_to=reply_to, snapshot=self._documents.registry.snapshot()
        )
        self._kernel.send("peers", answer)

    def _on_hosts(self, hosts: membership.HostList) -> None:
        self._kernel.send("mesh", hosts)
        if self._documents.service_index is None:
            self._kernel.send("peers", peermessages.AskSnapshot())

    def _on_accepted(self, service_index: serviceindex.ServiceIndex) -> None:
        self._placement.set_policies(service_index.policies())
        self._kernel.send("authority", service_index)

    def _find_not_ready_reason(self) -> str | None:
        if self._documents.not_ready_reason is not None:
            return self._documents.not_ready_reason
        return None if self._hosts.known else "no host list has been read"
