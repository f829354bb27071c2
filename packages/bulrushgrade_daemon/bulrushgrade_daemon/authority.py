"""Seeks and holds authority over groups of engines, and gives orders."""

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
PLAN_S = 1.0
# How long a stop waits for the release of its leases to be taken. Past it the
# next holder waits for the lease's time, as after a crash.
STOP_LIMIT_S = 2.0


@attrs.frozen(kw_only=True)
class PeerDemands:
    """What callers have asked another host for.

    Attributes:
        peer: The host.
        demands: Counters since its start, one entry a model.
    """

    peer: str
    demands: tuple[work.Demand, ...]


@attrs.frozen(kw_only=True)
class AuthorityParts:
    """The services that authority works with.

    Attributes:
        timers: The timer service.
        log: Reads the control streams.
        writer: Appends to them.
        place: Knows the engines' reports and keeps work from them.
        ties: Knows the listed hosts.
        orders: Writes orders to engines.
        capacity: Returns what an engine of a model reads and generates.
        demands: Returns what callers have asked this host for.
        on_broken: Called with the reason of a broken invariant.
    """

    timers: Any
    log: logclient.LogClient
    writer: logwriter.LogWriter
    place: placementservice.PlacementService
    ties: mesh.Mesh
    orders: orders.OrderClient
    capacity: Callable[[str], tuple[float, float]]
    demands: Callable[[], tuple[work.Demand, ...]]
    on_broken: Callable[[str], None]


class Authority:
    """This host's part in the control of its groups."""

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
            settings: The groups and the lease's times.
            holder: A name that is unique for this run of the daemon.
            parts: The services it works with.
            rng: Source of jitter.
        """
        self._settings = settings
        self._holder = holder
        self._parts = parts
        self._groups: list[group_module.Group] = []
        self._tails: list[logclient.LogTail] = []
        self._subscriptions: list[Any] = []
        self._acted: dict[str, bool] = {}
        for name in settings.groups:
            self._add_group(name, rng)

    @property
    def groups(self) -> tuple[group_module.Group, ...]:
        """The groups that this host may hold."""
        return tuple(self._groups)

    async def start(self) -> None:
        """Begins to follow the control streams."""
        for tail in self._tails:
            tail.start()
        timers = self._parts.timers
        self._subscriptions = [
            timers.every(TICK_S, self._tick),
            timers.every(PLAN_S, self._plan),
        ]

    async def stop(self) -> None:
        """Gives up authority, so that the next holder need not wait."""
        for subscription in self._subscriptions:
            subscription.cancel()
        releases = []
        for group in self._groups:
            release = group.lease.retire(self._parts.timers.now)
            if release is not None:
                releases.append(self._parts.writer.append(release))
        if releases:
            await self._wait(defer.DeferredList(releases))
        for tail in self._tails:
            tail.stop()

    def receive(self, message: Any) -> None:
        """Takes engines' reports, peers' demands and accepted documents."""
        now = self._parts.timers.now
        if isinstance(message, placementservice.PollResult):
            if message.load is not None:
                for group in self._groups:
                    group.observe(message.address, message.load, now)
        elif isinstance(message, PeerDemands):
            self._take_demands(message.peer, message.demands, now)
        elif isinstance(message, serviceindex.ServiceIndex):
            self._take_weights(message)

    def dump(self) -> dict[str, Any]:
        """Returns each group's state."""
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
        held = lease.Lease(
            group=name,
            holder=self._holder,
            rank=None,
            times=times,
            new_id=_new_id,
        )
        tracker = order.OrderTracker(
            authority=held,
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

        def take(page: record.Page) -> None:
            tracker.apply_page(page, self._parts.timers.now)

        self._tails.append(
            logclient.LogTail(
                log=self._parts.log,
                timers=self._parts.timers,
                stream=held.stream,
                on_page=take,
                on_broken=self._parts.on_broken,
                rng=rng,
            )
        )

    def _tick(self) -> None:
        now = self._parts.timers.now
        for group in self._groups:
            self._update_engines(group)
            group.lease.set_rank(self._rank(group))
            acting = group.lease.holds_lease(now)
            group.tick(now)
            self._log_change(group, acting)

    def _log_change(self, group: group_module.Group, acting: bool) -> None:
        if acting != self._acted.get(group.name, False):
            self._acted[group.name] = acting
            word = "held" if acting else "lost"
            logging.info("authority over %s is %s", group.name, word)

    def _plan(self) -> None:
        now = self._parts.timers.now
        self._take_demands(
            self._parts.ties.own, tuple(self._parts.demands()), now
        )
        for group in self._groups:
            group.plan(now)

    def _update_engines(self, group: group_module.Group) -> None:
        hosts = self._hosts_of(group)
        endpoints = self._parts.place.endpoints
        group.set_engines(
            {
                h.address: endpoints[h.address]
                for h in hosts
                if h.address in endpoints
            },
            fencing={h.address: h.fencing for h in hosts},
            live=frozenset(h.address for h in membership.select_live(hosts)),
        )

    def _hosts_of(
        self, group: group_module.Group
    ) -> tuple[membership.Host, ...]:
        service, place = group_module.parse_group(group.name)
        return tuple(
            host
            for host in self._parts.ties.hosts
            if host.kind is membership.Kind.ENGINE
            and host.service == service
            and place in (host.zone, host.region)
        )

    def _rank(self, group: group_module.Group) -> int | None:
        """Returns this host's place among the group's candidates."""
        hosts = self._hosts_of(group)
        if not hosts:
            return None
        daemons = [
            host
            for host in self._parts.ties.hosts
            if host.kind is membership.Kind.ENTRY
        ]
        place = (hosts[0].region, hosts[0].zone)
        candidates = subset.choose_candidates(group.name, place, daemons)
        own = self._parts.ties.own
        return candidates.index(own) if own in candidates else None

    def _take_demands(
        self, host: str, demands: tuple[work.Demand, ...], now: float
    ) -> None:
        endpoints = self._parts.place.endpoints
        for group in self._groups:
            models = {
                endpoints[h.address].model
                for h in self._hosts_of(group)
                if h.address in endpoints
            }
            for demand in demands:
                if demand.model in models:
                    group.observe_demand(host, demand, now)

    def _take_weights(self, service_index: serviceindex.ServiceIndex) -> None:
        for group in self._groups:
            service, _ = group_module.parse_group(group.name)
            document = service_index.services.get(service)
            if document is not None:
                weights = document.weights
                group.set_weights(weights.goodput, weights.role_changes)

    def _hold(self, address: str, held: bool) -> None:
        # With the log away no order can be ended, or given by whoever loses
        # the lease. An engine held for it would stay out for the length of
        # the outage though it serves; if it does change, its own report and
        # its refusals keep work away, at the cost of one more attempt.
        held = held and self._parts.log.reachable
        self._parts.place.block_new_work(address, blocked=held)

    def _append(
        self, append: record.Append, failed: Callable[[str], None]
    ) -> None:
        def stored(result: logwriter.Stored) -> None:
            if isinstance(result, Failure) and isinstance(
                result.failure(), logclient.NotStored
            ):
                failed(append.record_id)

        self._parts.writer.append(append).addCallback(stored)

    def _send_order(
        self, group: group_module.Group, wanted: engineorder.Order
    ) -> None:
        tracker, timers = group.order_tracker, self._parts.timers

        def check() -> bool:
            # Asked in the turn of the write, on a connection opened before:
            # the lease may have run out, or the order changed, meanwhile.
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

    async def _wait(self, releases: defer.Deferred) -> None:
        done: defer.Deferred = defer.Deferred()

        def finish(_: Any = None) -> None:
            if not done.called:
                done.callback(None)

        releases.addBoth(finish)
        self._parts.timers.after(STOP_LIMIT_S, finish)
        await done


def _new_id() -> str:
    return secrets.token_hex(16)
