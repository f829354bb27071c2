"""Creates the services of one gateway and connects them."""

from collections.abc import Callable
import random
from typing import Any

import attrs

from bulrushgrade import kernel as kernel_module
from bulrushgrade import orderturn
from bulrushgrade import peerloads
from bulrushgrade import relaychoice
from bulrushgrade import retryshare
from bulrushgrade import routing
from bulrushgrade_daemon import adapter as adapter_module
from bulrushgrade_daemon import cachesharing
from bulrushgrade_daemon import cachewatch
from bulrushgrade_daemon import clock
from bulrushgrade_daemon import configurationversions
from bulrushgrade_daemon import crashcheck
from bulrushgrade_daemon import crashservices
from bulrushgrade_daemon import crashwatch
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import endpointcalls
from bulrushgrade_daemon import endpointchooser
from bulrushgrade_daemon import endpointconnector
from bulrushgrade_daemon import endpointsignals
from bulrushgrade_daemon import enginework
from bulrushgrade_daemon import fencedactions
from bulrushgrade_daemon import follower
from bulrushgrade_daemon import forwarder
from bulrushgrade_daemon import frontend
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import gatewaysettings
from bulrushgrade_daemon import loadgossip
from bulrushgrade_daemon import messagedispatch
from bulrushgrade_daemon import metrics
from bulrushgrade_daemon import operatortasks
from bulrushgrade_daemon import originsharing
from bulrushgrade_daemon import peerlink
from bulrushgrade_daemon import permitgranter
from bulrushgrade_daemon import permitservice
from bulrushgrade_daemon import placementindex
from bulrushgrade_daemon import ratelimits
from bulrushgrade_daemon import relayserver
from bulrushgrade_daemon import requestadmission
from bulrushgrade_daemon import requestlog
from bulrushgrade_daemon import signalexchange
from bulrushgrade_daemon import speedsharing
from bulrushgrade_daemon import stagecontrol
from bulrushgrade_daemon import storeepoch
from bulrushgrade_daemon import storetopics
from bulrushgrade_daemon import storeview
from bulrushgrade_daemon import usesharing

ENDPOINT_READS_PER_BOUND = 2.2
"""Number of reads of the endpoints' topic per drain bound. Heartbeats of
endpoints are appended to the topic all the time, so a long poll would return
with each of them. After one failed read, with its timeout and the pause that
follows, the next read is still within the bound."""

WAITING_READS_PER_BOUND = 1.4
"""Number of reads of the configuration, and of crashes, per bound while
nothing changes. These are long polls that return with a change, and the host
that read the change notifies the other hosts of its zone. So this only limits
how long it takes to detect that the store, the path to it or a host does not
respond; one more read after that is still within the bound."""

PEERS_WAIT_S = 15.0
"""Duration of a long poll of the gateways' topic. The topic changes only when a
host starts. Until a peer is known, requests are placed without its load."""

PEERS_PAUSE_S = 1.0
"""Time between two reads of the gateways' topic. When all hosts start at the
same time, each host's record would otherwise end a long poll of every other
host."""


@attrs.frozen(kw_only=True)
class Context:
    """What the services depend on.

    Attributes:
        reactor: The reactor.
        adapter: The platform-specific functions.
        kernel: Starts, stops and dumps the services.
        log: Receives structured log lines.
        rng: Random number generator.
        settings: Returns the current settings.
        stopping: Returns whether the gateway is stopping.
        ends_in_s: Returns the seconds left for requests that arrive now, or
            None if there is no limit.
    """

    reactor: Any
    adapter: adapter_module.Adapter
    kernel: kernel_module.Kernel
    log: decisionlog.DecisionLog
    rng: random.Random
    settings: Callable[[], gatewaysettings.GatewaySettings]
    is_stopping: Callable[[], bool]
    ends_in_s: Callable[[], float | None]


class GatewayServices:
    """The services of one gateway, registered with its kernel."""

    def __init__(self, *, context: Context):
        """Creates and registers the services without starting them.

        Args:
            context: What they depend on.
        """
        self._context = context
        settings = context.settings()
        instance = f"{context.rng.getrandbits(32):08x}"
        self._own_name = f"{settings.host.name}/{instance}"
        self._metrics = metrics.Metrics()
        self._timers = clock.TimerService(
            reactor=context.reactor, on_broken=context.kernel.fail
        )
        self._epoch = storeepoch.StoreEpoch(
            timers=self._timers, log=context.log
        )
        context.adapter.watch_epoch(self._epoch.observe)
        self._peer_loads = peerloads.PeerLoads()
        self._topics = storetopics.StoreTopics(
            own_name=self._own_name,
            rank_hosts=lambda key: self._gossip.fleet.rank_zone(key),
            send=lambda peer, message: self._link.send(peer, message),
            epoch=self._epoch,
            timers=self._timers,
            rng=context.rng,
            log=context.log,
            on_broken=context.kernel.fail,
            probe_contact_s=storetopics.find_probe_contact_s(settings),
        )
        self._make_limits()
        self._make_view()
        self._make_crash_services()
        self._make_chooser()
        self._make_connector()
        self._make_forwarding()
        self._make_gossip()
        self._make_stage_control()
        self._tasks = self._make_operator_tasks()
        self._dispatch = self._make_dispatch()
        for service in (
            self._metrics,
            self._timers,
            self._follow_configuration,
            self._follow_endpoints,
            *self._crash_services.services,
            self._relay_server,
            self._connector,
            self._link,
            self._gossip,
            self._speeds,
            self._index,
            self._origins,
            self._limits,
            self._signals,
            self._permits,
            self._stage_control,
            *self._tasks.services,
            self._follow_peers,
            self._cache_watch,
            self._forwarder,
            self._frontend,
        ):
            context.kernel.register(service)

    @property
    def metrics(self) -> metrics.Metrics:
        """Collects and renders metrics."""
        return self._metrics

    @property
    def timers(self) -> clock.TimerService:
        """The clock and the timers of all services."""
        return self._timers

    @property
    def epoch(self) -> storeepoch.StoreEpoch:
        """The store's epoch."""
        return self._epoch

    @property
    def view(self) -> storeview.StoreView:
        """The last known content of the store."""
        return self._view

    @property
    def follow_configuration(self) -> follower.Follower:
        """Reads the configuration's topic."""
        return self._follow_configuration

    @property
    def follow_endpoints(self) -> follower.Follower:
        """Reads the endpoints' topic."""
        return self._follow_endpoints

    @property
    def versions(self) -> configurationversions.ConfigurationVersions:
        """The versions of the configuration that peers have in force."""
        return self._versions

    @property
    def follow_peers(self) -> follower.Follower:
        """Reads the topic of hosts' addresses."""
        return self._follow_peers

    @property
    def link(self) -> peerlink.PeerLink:
        """Exchanges datagrams with peers."""
        return self._link

    @property
    def crash_services(self) -> crashservices.CrashServices:
        """Share what was at endpoints that crashed."""
        return self._crash_services

    @property
    def connector(self) -> endpointconnector.EndpointConnector:
        """Opens connections to endpoints."""
        return self._connector

    @property
    def relay_server(self) -> relayserver.RelayServer:
        """Relays connections of peers to endpoints."""
        return self._relay_server

    @property
    def forwarder(self) -> forwarder.Forwarder:
        """Forwards callers' requests to endpoints."""
        return self._forwarder

    @property
    def frontend(self) -> frontend.Frontend:
        """The HTTP server for callers."""
        return self._frontend

    @property
    def crashes(self) -> crashwatch.CrashWatch:
        """Detects crashed endpoints."""
        return self._crashes

    @property
    def cache_watch(self) -> cachewatch.CacheWatch:
        """Reads the cache changes of engines."""
        return self._cache_watch

    @property
    def index(self) -> placementindex.PlacementIndex:
        """Queries peers for the best engines to prefill long prompts."""
        return self._index

    @property
    def origins(self) -> originsharing.OriginSharing:
        """Knows which software version began a stream."""
        return self._origins

    @property
    def limits(self) -> ratelimits.RateLimits:
        """Follows the limits that endpoints state."""
        return self._limits

    @property
    def signals(self) -> endpointsignals.EndpointSignals:
        """Takes in what endpoints state of themselves."""
        return self._signals

    @property
    def speeds(self) -> speedsharing.SpeedSharing:
        """Shares the speeds of engines with peers."""
        return self._speeds

    @property
    def permits(self) -> permitservice.PermitService:
        """Permits for endpoints that state a limit."""
        return self._permits

    @property
    def tasks(self) -> operatortasks.OperatorTasks:
        """Usage reports and capacity orders, made by one host at a time."""
        return self._tasks

    @property
    def stage_control(self) -> stagecontrol.StageControl:
        """Orders engines to change between prefill and decode."""
        return self._stage_control

    def _make_limits(self) -> None:
        context = self._context
        self._limits = ratelimits.RateLimits(
            timers=self._timers, log=context.log
        )
        self._signals = endpointsignals.EndpointSignals(
            timers=self._timers,
            limits=self._limits,
            directory=lambda: self._view.endpoints,
            log=context.log,
        )
        self._permits = permitservice.PermitService(
            timers=self._timers,
            own_name=self._own_name,
            limits=self._limits,
            signals=self._signals,
            contacts=permitgranter.Contacts.of_fleet(
                lambda: self._gossip.fleet,
                announced=lambda: self._link.hosts,
                knows_peers=lambda: self._follow_peers.has_loaded,
            ),
            send=lambda peer, message: self._link.send(peer, message),
            log=context.log,
        )

    def _make_view(self) -> None:
        context, bounds = self._context, self._context.settings().bounds
        self._view = storeview.StoreView(
            adapter=context.adapter,
            timers=self._timers,
            drain_s=bounds.drain_s,
            drains=self._signals.drains,
            regained_at=lambda: self._follow_endpoints.regained_at,
            on_changed=self._forget_gone,
            log=context.log,
        )
        self._follow_configuration = self._topics.follow(
            "configuration",
            context.adapter.configuration_reader,
            wait_s=bounds.configuration_s / WAITING_READS_PER_BOUND,
            pause_s=0.0,
            on_records=self._view.apply_configuration,
            on_all=self._view.apply_configuration,
            # The records contain callers' keys.
            keeps_records=False,
        )
        self._follow_endpoints = self._topics.follow(
            "endpoints",
            context.adapter.endpoint_reader,
            wait_s=0.0,
            pause_s=bounds.drain_s / ENDPOINT_READS_PER_BOUND,
            extract_state=self._view.extract_state,
            # The host that sends orders to engines must read by itself, to
            # know whether it can reach the store.
            must_read=lambda: self._gossip.fleet.is_leader_if_able(),
            on_records=self._view.apply_endpoints,
            on_all=self._view.replace_endpoints,
        )

    def _make_chooser(self) -> None:
        context = self._context
        self._index = placementindex.PlacementIndex(
            timers=self._timers,
            own_name=self._own_name,
            find_owners=lambda key: self._gossip.fleet.find_owners(key),
            send=lambda peer, message: self._link.send(peer, message),
        )
        self._work = enginework.EngineWork(
            timers=self._timers,
            table=lambda: self._view.table,
            endpoints=self._view.endpoints,
            peers=self._peer_loads,
            index=self._index,
            speeds=speedsharing.make_speeds(context.settings().features),
            has_shares=context.settings().features.shares_among_workspaces,
        )
        self._origins = originsharing.OriginSharing(
            timers=self._timers,
            own_name=self._own_name,
            knowledge=originsharing.Knowledge(
                table=lambda: self._view.table,
                software=self._view.software,
                age_s=lambda: self._follow_endpoints.age_s,
                settle_s=context.settings().bounds.drain_s,
                present=lambda: self._gossip.fleet.present,
                has_peers=self._has_peers,
            ),
            send=lambda peer, message: self._link.send(peer, message),
            log=context.log,
        )
        self._uses = usesharing.UseSharing(
            is_enabled=context.settings().features.shares_among_workspaces,
            now=lambda: self._timers.now,
            count_hosts=lambda: self._link.host_count,
            log=context.log,
            rng=context.rng,
        )
        self._chooser = endpointchooser.EndpointChooser(
            timers=self._timers,
            zone=context.settings().host.zone,
            table=lambda: self._view.table,
            endpoints=self._view.endpoints,
            work=self._work,
            index=self._index,
            permits=self._permits,
            find_withheld=self._crash_services.parts.find_withheld,
            settle_s=context.settings().bounds.drain_s,
            is_settled=self._origins.is_settled,
            age_s=lambda: self._follow_endpoints.age_s,
            log=context.log,
            rng=context.rng,
            yields=self._uses.yields,
            is_guaranteed=self._uses.is_guaranteed,
            avoids_other_zones=context.settings().features.limits_zone_traffic,
        )

    def _make_connector(self) -> None:
        context, listen = self._context, self._context.settings().listen
        # A host with a single port for internal use serves operators there.
        relay = None if listen.relay == listen.admin else listen.relay
        self._connector = endpointconnector.EndpointConnector(
            reactor=context.reactor,
            timers=self._timers,
            endpoints=self._view.endpoints,
            peers=endpointconnector.Peers(
                own_name=self._own_name,
                present=lambda: self._gossip.fleet.linked_peers(),
                find_address=lambda peer: self._link.relay_of(peer),
            ),
            relays=relaychoice.RelayChoice(rng=context.rng),
            on_link_lost=self._chooser.forgive,
            on_unreached=self._chooser.observe_unreached,
            log=context.log,
            on_broken=context.kernel.fail,
        )
        self._relay_server = relayserver.RelayServer(
            reactor=context.reactor,
            timers=self._timers,
            listen=relay,
            endpoints=self._view.endpoints,
            connect=self._connector.open_for_peer,
            signals=self._signals,
            is_stopping=context.is_stopping,
            log=context.log,
            on_broken=context.kernel.fail,
        )

    def _make_crash_services(self) -> None:
        context, bounds = self._context, self._context.settings().bounds
        self._crash_services = crashservices.CrashServices(
            timers=self._timers,
            own_name=self._own_name,
            topic=context.adapter.crash_topic,
            topics=self._topics,
            wait_s=bounds.contact_s / WAITING_READS_PER_BOUND,
            gossip=lambda: self._gossip,
            log=context.log,
            on_broken=context.kernel.fail,
        )

    def _make_forwarding(self) -> None:
        context, listen = self._context, self._context.settings().listen
        self._calls = calls = endpointcalls.EndpointCalls(
            reactor=context.reactor,
            now=lambda: self._timers.now,
            dialect=context.adapter.dialect,
            signals=self._signals,
            connector=self._connector,
            tell_backoff=messagedispatch.make_backoff_teller(
                own_name=self._own_name,
                timers=self._timers,
                send=lambda peer, message: self._link.send(peer, message),
            ),
            withholds=self._crash_services.parts.withholds,
            on_broken=context.kernel.fail,
        )
        crash_check = crashcheck.CrashCheck(
            timers=self._timers,
            connector=self._connector,
            endpoints=self._view.endpoints,
        )
        self._crashes = crashwatch.CrashWatch(
            timers=self._timers,
            check=crash_check.find_crash,
            is_leaving=self._view.endpoints.is_leaving,
            on_crash=self._crash_services.observe_crash,
            log=context.log,
            on_broken=context.kernel.fail,
        )
        log = requestlog.RequestLog(
            log=context.log, now=lambda: self._timers.now
        )
        admission = requestadmission.RequestAdmission(
            timers=self._timers,
            dialect=context.adapter.dialect,
            table=self._find_served_table,
            ledger=self._crash_services.ledger,
            parts=self._crash_services.parts,
            ends_in_s=context.ends_in_s,
            log=log,
            rng=context.rng,
        )
        self._forwarder = forwarder.Forwarder(
            dependencies=forwarder.Dependencies(
                timers=self._timers,
                admission=admission,
                dialect=context.adapter.dialect,
                chooser=self._chooser,
                work=self._work,
                calls=calls,
                permits=self._permits,
                origins=self._origins,
                crashes=self._crashes,
                ledger=self._crash_services.ledger,
                parts=self._crash_services.parts,
                observe_completion=self._crash_services.observe_completion,
                log=log,
                rng=context.rng,
                on_broken=context.kernel.fail,
                uses=self._uses,
            ),
            make_retry_share=self._new_share,
            retries_early=lambda: context.settings().features.retries_early,
            observe_latency=self._metrics.observe_answer,
            record_run_start=lambda w, at: self._tasks.record_run_start(w, at),
        )
        self._frontend = frontend.Frontend(
            reactor=context.reactor,
            timers=self._timers,
            host=listen.callers.host,
            port=listen.callers.port,
            limits=lambda: self._view.caller_limits,
            max_connections=context.settings().limits.max_caller_connections,
            handle=self._forwarder.handle,
            log=context.log,
        )

    def _make_gossip(self) -> None:
        context = self._context
        sharing = cachesharing.CacheSharing(
            endpoints=self._view.endpoints, work=self._work
        )
        self._versions = configurationversions.ConfigurationVersions(
            timers=self._timers,
            own=self._find_version,
            must_hear=self._states_versions,
            peer_ttl_s=context.settings().bounds.contact_s,
            log=context.log,
        )
        self._link = peerlink.PeerLink(
            reactor=context.reactor,
            timers=self._timers,
            host_name=context.settings().host.name,
            zone=context.settings().host.zone,
            listen=context.settings().listen.peers,
            relay_address=lambda: self._relay_server.address,
            membership=context.adapter.membership,
            on_message=lambda message: self._gossip.receive(message),
            log=context.log,
            on_broken=context.kernel.fail,
        )
        self._gossip = loadgossip.LoadGossip(
            timers=self._timers,
            own_name=self._own_name,
            link=self._link,
            loads=self._peer_loads,
            read_own=self._work.shares,
            may_order=self._may_order,
            is_cut=lambda: self._connector.is_cut,
            apply_changes=sharing.apply_advertised,
            handle_other=lambda message: self._dispatch(message),
            signals=signalexchange.SignalExchange(
                limits=self._limits, signals=self._signals
            ),
            parts=self._crash_services.exchange,
            versions=self._versions,
            log=context.log,
        )
        sharing.set_gossip(self._gossip)
        self._speeds = speedsharing.SpeedSharing(
            timers=self._timers,
            work=self._work,
            sums=self._gossip.sums,
            log=context.log,
        )
        self._uses.join(self._gossip.sums)
        self._cache_watch = cachewatch.CacheWatch(
            timers=self._timers,
            engines=sharing.followed_engines,
            read=context.adapter.read_cache_changes,
            open_client=self._calls.open_client,
            apply=sharing.apply_observed,
            needs_permit=self._permits.needs_permit,
            may_read=self._permits.acquire_spare,
            guard=self._signals.guard,
            on_broken=context.kernel.fail,
        )
        self._follow_peers = self._topics.follow(
            "peers",
            context.adapter.membership.reader,
            wait_s=PEERS_WAIT_S,
            pause_s=PEERS_PAUSE_S,
            on_records=self._link.apply_records,
            on_all=self._link.apply_listing,
        )

    def _make_stage_control(self) -> None:
        context = self._context
        lease_s = context.settings().bounds.order_lease_s
        self._actions = fencedactions.FencedActions(
            timers=self._timers,
            turn=orderturn.OrderTurn(holder=self._own_name, lease_s=lease_s),
            topic=context.adapter.order_topic,
            log=context.log,
        )
        self._epoch.subscribe(
            lambda epoch: self._actions.observe_epoch(
                epoch, last_confirmed_at=self._epoch.last_confirmed_at
            )
        )
        self._stage_control = stagecontrol.StageControl(
            timers=self._timers,
            holder=self._own_name,
            actions=self._actions,
            # An order that a peer relayed would reach the engine from another
            # host than the one that may give it.
            control=context.adapter.make_engine_control(
                self._calls.open_own_client
            ),
            may_call=self._permits.acquire_spare,
            guard=self._signals.guard,
            leads=lambda: self._tasks.is_leader(),
            views=self._chooser.engine_views,
            announce=messagedispatch.make_role_announcer(
                handle=lambda message: self._dispatch(message),
                broadcast=self._link.broadcast,
            ),
            log=context.log,
            on_broken=context.kernel.fail,
        )

    def _make_operator_tasks(self) -> operatortasks.OperatorTasks:
        context, settings = self._context, self._context.settings()
        return operatortasks.OperatorTasks(
            timers=self._timers,
            own_name=self._own_name,
            settings=settings.operator,
            features=settings.features,
            settle_s=settings.bounds.drain_s,
            calls=context.adapter.operator_calls,
            actions=self._actions,
            view=self._view,
            work=self._work,
            peer_loads=self._peer_loads,
            metrics=self._metrics,
            gossip=self._gossip,
            reaches_store=lambda: self._follow_endpoints.reaches_store,
            may_order=self._may_order,
            link=self._link,
            log=context.log,
            on_broken=context.kernel.fail,
        )

    def _make_dispatch(self) -> Callable[[gatewaymessages.Message], None]:
        """Returns the function that passes peers' messages to services."""
        return messagedispatch.make_dispatch(
            (
                (self._chooser.apply_role_change, messagedispatch.ROLES),
                (self._topics.receive, messagedispatch.RECORDS),
                (self._permits.receive, messagedispatch.PERMITS),
                (self._signals.merge_backoff, messagedispatch.BACKOFFS),
                (self._tasks.receive, messagedispatch.USAGE),
                (self._origins.receive, messagedispatch.ORIGINS),
            ),
            otherwise=self._index.receive,
        )

    def _find_version(self) -> int:
        """Returns the version of the configuration in force."""
        if self._view.table is None:
            return configurationversions.NONE
        return self._view.table.configuration.version

    def _states_versions(self) -> bool:
        """Returns whether peers may have a newer version than the store.

        A store that states no epoch has not returned from a copy as far as
        can be known.
        """
        return self._epoch.value != storeepoch.UNSTATED and self._has_peers()

    def _has_peers(self) -> bool:
        """Returns whether there may be other hosts."""
        return not self._follow_peers.has_loaded or bool(self._link.hosts)

    def _find_served_table(self) -> routing.RouteTable | None:
        """Returns the routes to serve by; None while there are newer ones."""
        return None if self._versions.holds_back else self._view.table

    def _may_order(self) -> bool:
        """Returns whether this host can append to the topic and reach engines.

        A host that is cut off from engines gives the duty away if there is a
        host that isn't. If there is none, usage is still reported.
        """
        has_links = not self._connector.is_cut
        return (
            self._follow_endpoints.reaches_store
            and not self._context.is_stopping()
            and (has_links or not self._gossip.fleet.linked_peers())
        )

    def _forget_gone(self) -> None:
        self._chooser.forget_gone()
        self._connector.forget_gone()

    def _new_share(self) -> retryshare.RetryShare:
        bounds = self._context.settings().bounds
        return retryshare.RetryShare(
            ratio=bounds.retry_ratio,
            extra=self._retry_extra,
            window_s=bounds.retry_window_s,
        )

    def _retry_extra(self) -> float:
        hosts = self._link.host_count if self._follow_peers.has_loaded else None
        extra = self._context.settings().bounds.retry_extra
        return retryshare.divide_extra(extra, known_hosts=hosts)
