"""Acquires the leases of engine groups and sends orders to their engines."""

from collections.abc import Callable
import random
import secrets
from typing import Any

from absl import logging
import attrs
from returns.result import Failure
from twisted.internet import defer

from bulrushgrade import engineorder
from bulrushgrade import lease
from bulrushgrade import membership
from bulrushgrade import order
from bulrushgrade import record
from bulrushgrade import serviceindex
from bulrushgrade import subset
from bulrushgrade import work
from bulrushgrade_daemon import group as group_module
from bulrushgrade_daemon import logclient
from bulrushgrade_daemon import logwriter
from bulrushgrade_daemon import mesh
from bulrushgrade_daemon import orders
from bulrushgrade_daemon import placementservice
from bulrushgrade_daemon import settings as settings_module
from bulrushgrade_daemon import task

TICK_S = 0.1
PLAN_INTERVAL_S = 1.0
# How long a stop waits until the releases of its leases are stored. If they
# are not, the next holder waits for the leases to expire, as after a crash.
RELEASE_TIMEOUT_S = 2.0


@attrs.frozen(kw_only=True)
class PeerDemands:
    """The demand of callers at another host.

    Attributes:
        peer: The host.
        demands: Counters since that host started, one entry per model.
    """

    peer: str
    demands: tuple[work.Demand, ...]


@attrs.frozen(kw_only=True)
class AuthorityParts:
    """The services and callbacks that `Authority` uses.

    Attributes:
        timers: The timer service.
        log: Reads the control streams.
        writer: Appends to them.
        placement: Knows the engines' reports and can hold work back from
            them.
        host_mesh: Knows the hosts on the host list.
        orders: Sends orders to engines.
        capacity: Returns an engine's rates of prefill and decode for a model,
            in tokens a second.
        demands: Returns the demand of this host's callers.
        on_broken: Called with the reason when an invariant is broken.
    """

    timers: Any
    log: logclient.LogClient
    writer: logwriter.LogWriter
    placement: placementservice.PlacementService
    host_mesh: mesh.Mesh
    orders: orders.OrderClient
    capacity: Callable[[str], tuple[float, float]]
    demands: Callable[[], tuple[work.Demand, ...]]
    on_broken: Callable[[str], None]


class Authority:
    """Competes for the leases of groups and controls those that it holds."""

    name = "authority"
    requires = ("timer", "log", "logwriter", "placing", "mesh", "orders")

    def __init__(
        self,
        *,
        settings: settings_module.Authority,
        holder: str,
        parts: AuthorityParts,
        rng: random.Random,
    ):
        """Makes the service.

        Args:
            settings: The groups and the times of their leases.
            holder: A name that is unique to this run of the daemon.
            parts: The services it works with.
            rng: Source of jitter.
        """
        self._settings = settings
        self._holder = holder
        self._parts = parts
        self._groups: list[group_module.Group] = []
        self._tails: list[logclient.LogTail] = []
        self._subscriptions: list[Any] = []
        self._held_lease: dict[str, bool] = {}
        for name in settings.groups:
            self._add_group(name, rng)

    @property
    def groups(self) -> tuple[group_module.Group, ...]:
        """The groups whose lease this host may hold."""
        return tuple(self._groups)

    async def start(self) -> None:
        """Starts to follow the control streams."""
        for tail in self._tails:
            tail.start()
        timers = self._parts.timers
        self._subscriptions = [
            timers.every(TICK_S, self._tick),
            timers.every(PLAN_INTERVAL_S, self._plan),
        ]

    async def stop(self) -> None:
        """Releases the leases, so that the next holder need not wait."""
        for subscription in self._subscriptions:
            subscription.cancel()
        releases = []
        for group in self._groups:
            release = group.lease.retire(self._parts.timers.now)
            if release is not None:
                releases.append(self._parts.writer.append(release))
        if releases:
            await self._wait_for_releases(defer.DeferredList(releases))
        for tail in self._tails:
            tail.stop()

    def receive(self, message: Any) -> None:
        """Handles engine reports, demands of peers and accepted documents."""
        now = self._parts.timers.now
        if isinstance(message, placementservice.PollResult):
            if message.load is not None:
                for group in self._groups:
                    group.observe(message.address, message.load, now)
        elif isinstance(message, PeerDemands):
            self._observe_demands(message.peer, message.demands, now)
        elif isinstance(message, serviceindex.ServiceIndex):
            self._apply_weights(message)

    def dump(self) -> dict[str, Any]:
        """Returns the state of each group."""
        now = self._parts.timers.now
        return {
            "holder": self._holder,
            "groups": {g.name: g.dump(now) for g in self._groups},
        }

    def _add_group(self, name: str, rng: random.Random) -> None:
        settings = self._settings
        times = lease.LeaseTimes(
            ttl_s=settings.lease_ttl_s,
            guard_s=settings.lease_guard_s,
            renew_every_s=settings.lease_ttl_s / 3,
        )
        own_lease = lease.Lease(
            group=name,
            holder=self._holder,
            rank=None,
            times=times,
            new_id=_new_id,
        )
        tracker = order.OrderTracker(
            authority=own_lease,
            times=order.OrderTimes(
                pause_allowance_s=settings.pause_allowance_s
            ),
            new_id=_new_id,
        )
        group = group_module.Group(
            name=name,
            parts=group_module.GroupParts(
                order_tracker=tracker,
                append=self._append,
                send_order=self._send_order,
                ask_drain=self._parts.orders.ask_drain,
                hold=self._hold,
                capacity=self._parts.capacity,
            ),
        )
        self._groups.append(group)

        def handle_page(page: record.Page) -> None:
            tracker.apply_page(page, self._parts.timers.now)

        self._tails.append(
            logclient.LogTail(
                log=self._parts.log,
                timers=self._parts.timers,
                stream=own_lease.stream,
                on_page=handle_page,
                on_broken=self._parts.on_broken,
                rng=rng,
            )
        )

    def _tick(self) -> None:
        now = self._parts.timers.now
        for group in self._groups:
            self._update_engines(group)
            group.lease.set_rank(self._rank(group))
            holding = group.lease.holds_lease(now)
            group.tick(now)
            self._log_lease_change(group, holding)

    def _log_lease_change(
        self, group: group_module.Group, holding: bool
    ) -> None:
        if holding != self._held_lease.get(group.name, False):
            self._held_lease[group.name] = holding
            word = "acquired" if holding else "lost"
            logging.info("lease of group %s %s", group.name, word)

    def _plan(self) -> None:
        now = self._parts.timers.now
        self._observe_demands(
            self._parts.host_mesh.listed_address,
            tuple(self._parts.demands()),
            now,
        )
        for group in self._groups:
            group.plan(now)

    def _update_engines(self, group: group_module.Group) -> None:
        hosts = self._find_hosts(group)
        endpoints = self._parts.placement.endpoints
        group.set_engines(
            {
                h.address: endpoints[h.address]
                for h in hosts
                if h.address in endpoints
            },
            fencing={h.address: h.fencing for h in hosts},
            live=frozenset(h.address for h in membership.select_live(hosts)),
        )

    def _find_hosts(
        self, group: group_module.Group
    ) -> tuple[membership.Host, ...]:
        service, location = group_module.parse_group(group.name)
        return tuple(
            host
            for host in self._parts.host_mesh.hosts
            if host.kind is membership.Kind.ENGINE
            and host.service == service
            and location in (host.zone, host.region)
        )

    def _rank(self, group: group_module.Group) -> int | None:
        """Returns this host's rank among the candidates, None if not one."""
        hosts = self._find_hosts(group)
        if not hosts:
            return None
        daemons = [
            host
            for host in self._parts.host_mesh.hosts
            if host.kind is membership.Kind.ENTRY
        ]
        location = (hosts[0].region, hosts[0].zone)
        candidates = subset.choose_candidates(group.name, location, daemons)
        own = self._parts.host_mesh.listed_address
        return candidates.index(own) if own in candidates else None

    def _observe_demands(
        self, host: str, demands: tuple[work.Demand, ...], now: float
    ) -> None:
        endpoints = self._parts.placement.endpoints
        for group in self._groups:
            models = {
                endpoints[h.address].model
                for h in self._find_hosts(group)
                if h.address in endpoints
            }
            for demand in demands:
                if demand.model in models:
                    group.observe_demand(host, demand, now)

    def _apply_weights(self, service_index: serviceindex.ServiceIndex) -> None:
        for group in self._groups:
            service, _ = group_module.parse_group(group.name)
            document = service_index.services.get(service)
            if document is not None:
                weights = document.weights
                group.set_weights(weights.goodput, weights.role_changes)

    def _hold(self, address: str, held: bool) -> None:
        # While the log is unavailable an order can be neither completed nor
        # taken over by the next holder. Holding work back would keep a serving
        # engine idle for the whole outage. If the engine does change its role,
        # its report and its refusals keep work away at the cost of one more
        # attempt.
        held = held and self._parts.log.reachable
        self._parts.placement.block_new_work(address, blocked=held)

    def _append(
        self, append: record.Append, failed: Callable[[str], None]
    ) -> None:
        def handle_result(result: logwriter.AppendResult) -> None:
            if isinstance(result, Failure) and isinstance(
                result.failure(), logclient.NotStored
            ):
                failed(append.record_id)

        self._parts.writer.append(append).addCallback(handle_result)

    def _send_order(
        self, group: group_module.Group, wanted: engineorder.Order
    ) -> None:
        tracker, timers = group.order_tracker, self._parts.timers

        def check() -> bool:
            # Called right before the write on an open connection: the lease
            # may have expired, or the order changed, while it was opened.
            if not tracker.may_send(wanted, timers.now):
                return False
            tracker.sent(wanted, timers.now)
            return True

        async def send() -> None:
            reply = await self._parts.orders.send(wanted, check)
            if reply is not None:
                tracker.answered(wanted, reply, timers.now)

        task.spawn(
            send(),
            name=f"order {wanted.order_id}",
            on_broken=self._parts.on_broken,
        )

    async def _wait_for_releases(self, releases: defer.Deferred) -> None:
        done: defer.Deferred = defer.Deferred()

        def finish(_: Any = None) -> None:
            if not done.called:
                done.callback(None)

        releases.addBoth(finish)
        self._parts.timers.after(RELEASE_TIMEOUT_S, finish)
        await done


def _new_id() -> str:
    return secrets.token_hex(16)
