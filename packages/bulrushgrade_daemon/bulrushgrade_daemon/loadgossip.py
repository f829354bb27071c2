"""Exchanges the loads that daemons have at engines.

In a small fleet every daemon sends its load to every other one. Where that
would exceed the message rate of a daemon, the hosts of an availability zone
send their loads to an aggregator, the first of them by rendezvous hashing.
Aggregators exchange the sums of their groups and send the sum of all groups
to their members, so that a view is three messages old at any fleet size.

Daemons need not agree on the aggregators. A daemon aggregates the loads of
those that send to it, so that each load is in exactly one sum. A daemon that
receives no sum from its aggregator switches to the next one.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import Any

from bulrushgrade import aggregatorchoice
from bulrushgrade import enginecache
from bulrushgrade import fleetmembers
from bulrushgrade import peerloads
from bulrushgrade_daemon import changerelay
from bulrushgrade_daemon import configurationversions
from bulrushgrade_daemon import fleetview
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import grouplists
from bulrushgrade_daemon import loadcodec
from bulrushgrade_daemon import loadmessages
from bulrushgrade_daemon import partexchange
from bulrushgrade_daemon import peeraggregators
from bulrushgrade_daemon import peerlink as peerlink_module
from bulrushgrade_daemon import signalexchange
from bulrushgrade_daemon import sumexchange

PERIOD_S = 0.1
"""Interval between messages to a peer in a small fleet: a fraction of the time
in which queues at engines build up."""

MAX_MESSAGES_PER_S = 160.0
"""Limit of messages that a daemon sends per second, so that they take a small
part of a core. With more receivers, each gets messages less often."""

MAX_BYTES_PER_S = 400_000.0
"""Limit of their bandwidth: a third of the slowest usual link. Sums grow with
the number of busy engines; large sums are sent less often."""

MAX_MISSED_MESSAGES = 3.5
"""Message periods without a message after which a peer counts as gone. Lossy
links drop some; if one were enough, hosts would constantly disagree on which
daemons are present and so on which one to query."""

MIN_SILENCE_S = 1.5
"""Lower bound of that time in a small fleet, longer than a host that is busy or
briefly paused stays silent."""

LISTS_FRACTION = 0.25
"""Fraction of a daemon's messages that may be member lists while nothing
changes."""

LIST_TTL_S = 60.0
"""How long a member list is valid. Lists of an aggregator that is gone are
withdrawn much sooner; this only bounds the memory of a daemon that receives
nothing."""


class LoadGossip:
    """Exchanges loads with peers and tracks which of them are present."""

    name = "loadgossip"
    requires = ("timer", "peerlink")

    def __init__(
        self,
        *,
        timers: Any,
        own_name: str,
        link: peerlink_module.PeerLink,
        loads: peerloads.PeerLoads,
        read_own: Callable[[], dict[str, peerloads.EngineShare]],
        may_order: Callable[[], bool],
        is_cut: Callable[[], bool] = lambda: False,
        apply_changes: changerelay.ApplyChanges,
        handle_other: Callable[[gatewaymessages.Message], None],
        signals: signalexchange.SignalExchange,
        parts: partexchange.PartExchange,
        versions: configurationversions.ConfigurationVersions,
        log: Any,
        sums: sumexchange.SumExchange | None = None,
    ):
        """Makes the service.

        Args:
            timers: The timer service.
            own_name: This daemon's name among its peers, a new one after each
                start.
            link: Sends to peers and knows their zones.
            loads: Stores the loads that peers advertise.
            read_own: Returns this daemon's load by engine.
            may_order: Returns whether this daemon is able to order engines to
                change their roles.
            is_cut: Returns whether this daemon seems to be cut off from all
                endpoints.
            apply_changes: Applies cache changes that a peer observed at an
                engine.
            handle_other: Handles messages that are not about load.
            signals: Exchanges what endpoints state of themselves.
            parts: Exchanges which prompt parts were at crashes.
            versions: The versions of the configuration that are in force.
            log: Logs changes of this daemon's aggregator.
            sums: Exchanges sums over all hosts; None for none.
        """
        self._timers = timers
        self._own_name = own_name
        self._own_host = fleetmembers.host_of(own_name)
        self._link = link
        self._loads = loads
        self._read_own = read_own
        self._may_order = may_order
        self._changes = changerelay.ChangeRelay(apply=apply_changes)
        self._sums = sums or sumexchange.SumExchange(timers=timers)
        self._messages = loadmessages.LoadMessages(
            own_name=own_name,
            changes=self._changes,
            may_order=may_order,
            is_cut=is_cut,
            next_limits=signals.next_limits,
            next_drains=signals.next_drains,
            next_parts=parts.next_news,
            sums=self._sums,
            versions=versions,
        )
        self._versions = versions
        self._signals = signals
        self._parts = parts
        self._handle_other = handle_other
        self._log = log
        self._fleet = fleetview.FleetView(
            own_name=own_name,
            hosts=lambda: link.hosts,
            zone_of=link.zone_of,
            can_order=may_order,
        )
        self._members = self._fleet.members
        self._aggregators = peeraggregators.PeerAggregators(
            own_name=own_name, fleet=self._fleet
        )
        self._aggregator_choice = aggregatorchoice.AggregatorChoice(
            own_host=self._own_host
        )
        # When the last sum of the fleet came, or was made by this daemon.
        self._sum_at = -math.inf
        # Since when this daemon has been an aggregator.
        self._aggregating_since = -math.inf
        self._lists = grouplists.GroupLists(
            timers=timers,
            own_name=own_name,
            members=self._members,
            send_datagram=link.send_datagram,
            max_lists_per_s=LISTS_FRACTION * MAX_MESSAGES_PER_S,
        )
        # Size of the last sum of the fleet that was sent.
        self._message_bytes = 0
        self._round = 0
        self._address_changes = 0
        self._tick: Any = None

    @property
    def fleet(self) -> fleetview.FleetView:
        """The daemons that are present."""
        return self._fleet

    @property
    def sums(self) -> sumexchange.SumExchange:
        """Exchanges sums over all hosts."""
        return self._sums

    async def start(self) -> None:
        """Starts the exchange."""
        self.schedule()

    async def stop(self) -> None:
        """Stops the exchange."""
        if self._tick is not None:
            self._tick.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns the present daemons and the aggregators."""
        now = self._timers.now
        return {
            "there": len(self._fleet.present),
            "aggregator": self._aggregator_choice.chosen,
            "members": sorted(self._loads.member_numbers(now)),
            "groups": sorted(self._aggregators.names),
            "period_s": self._period_s(),
            "rounds": self._round,
            "sums": self._sums.dump(),
        }

    def receive(self, message: Any) -> None:
        """Handles a peer's message."""
        match message:
            case (
                gatewaymessages.Load()
                | gatewaymessages.GroupLoad()
                | gatewaymessages.FleetLoad()
            ):
                self._signals.merge(
                    limits=message.limits,
                    drains=message.leaving,
                    peer=message.peer,
                )
                self._parts.merge(message.parts)
                if fleetmembers.host_of(message.peer) != self._own_host:
                    self._versions.observe(message)
        match message:
            case gatewaymessages.Load():
                self._handle_load(message)
            case gatewaymessages.GroupLoad():
                self._handle_group(message)
            case gatewaymessages.FleetLoad():
                self._handle_fleet(message)
            case gatewaymessages.GroupMembers():
                self._handle_list(message)
            case _:
                self._handle_other(message)

    def schedule(self) -> None:
        """Schedules the first messages."""
        self._tick = self._timers.after(PERIOD_S, self._exchange)

    def advertise_changes(
        self, engine: str, changes: tuple[enginecache.CacheChange, ...]
    ) -> None:
        """Queues changes of an engine's cache for the peers."""
        if not self._link.hosts:
            return
        self._changes.advertise(engine, changes)

    def pick_followed(self, engines: Iterable[str]) -> set[str]:
        """Returns the engines whose caches this daemon has to follow.

        Rendezvous hashing assigns each engine to one of the daemons that are
        in contact, so that one daemon reads it at any fleet size.
        """
        followed = {
            engine
            for engine in engines
            if self._fleet.find_owners(engine)[0] == self._own_name
        }
        self._changes.set_followed(followed)
        return followed

    def present_peers(self) -> list[str]:
        """Returns the peers that are present, sorted by name."""
        return self._fleet.present[1:]

    def is_leader(self) -> bool:
        """Returns whether this daemon is the one that orders role changes.

        The leader is the first by name of the present daemons that are able
        to order. A daemon that can't reach the store is present but unable:
        if it led, engines would keep their roles through bursts of long
        answers until the store is reachable again.
        """
        return self._may_order() and self._fleet.is_leader_if_able()

    def _exchange(self) -> None:
        now = self._timers.now
        self._round += 1
        if self._address_changes != self._link.address_changes:
            # A host that has just started serves callers once it has heard
            # from a peer. It then has to know what endpoints state.
            self._address_changes = self._link.address_changes
            self._signals.repeat_all()
        self._signals.begin_round()
        self._parts.begin_round()
        self._sums.begin_round()
        period_s = self._period_s()
        silent_s = max(MIN_SILENCE_S, MAX_MISSED_MESSAGES * period_s)
        self._loads.stale_s = max(
            peerloads.MIN_STALE_S, MAX_MISSED_MESSAGES * period_s
        )
        self._expire(now, silent_s)
        own = self._read_own()
        self._choose_aggregator(now, MAX_MISSED_MESSAGES * period_s)
        if self._aggregator_choice.chosen is not None:
            self._send_load(own)
        else:
            self._sum_at = now
            self._loads.clear_fleet()
            self._sums.clear_fleet()
            self._send_sums(own, now)
            if now - self._aggregating_since >= silent_s:
                active = {self._own_name, *self._aggregators.names}
                self._lists.withdraw(active, self._loads.member_numbers(now))
        self._tick = self._timers.after(period_s, self._exchange)

    def _expire(self, now: float, silent_s: float) -> None:
        self._loads.forget(now)
        self._sums.expire(self._loads.stale_s)
        self._members.forget(
            now,
            silent_s=silent_s,
            list_silent_s=LIST_TTL_S,
        )
        self._aggregators.forget(now, silent_s)
        # Lists come from the aggregator; this one and the next were silent.
        if now - self._sum_at >= 2 * silent_s:
            self._members.drop_lists()
        self._lists.drop_expired()
        self._fleet.refresh()

    def _period_s(self) -> float:
        if self._is_small():
            return PERIOD_S
        receivers = self._fleet.count_receivers()
        return max(
            PERIOD_S,
            receivers / MAX_MESSAGES_PER_S,
            receivers * self._message_bytes / MAX_BYTES_PER_S,
        )

    def _is_small(self) -> bool:
        """Returns whether every host may send to every other one."""
        return len(self._link.hosts) <= MAX_MESSAGES_PER_S * PERIOD_S

    # Choice of the aggregator.

    def _choose_aggregator(self, now: float, silent_s: float) -> None:
        silent = self._aggregator_choice.drop_silent(now, silent_s)
        for name in self._fleet.present:
            if fleetmembers.host_of(name) == silent:
                self._members.exclude(name, now + aggregatorchoice.AVOID_S)
        before = self._aggregator_choice.chosen
        ranked = [self._own_host]
        # An aggregator with members stays one, as they rely on it.
        if not self._is_small() and not self._loads.member_numbers(now):
            ranked = self._fleet.rank_aggregators(self._fleet.own_zone)
        if not self._aggregator_choice.choose(ranked, now):
            return
        if self._aggregator_choice.chosen is None:
            self._aggregating_since = now
        self._log.note(
            "load_aggregator_changed",
            aggregator=self._aggregator_choice.chosen or self._own_host,
            before=before or self._own_host,
            there=len(self._fleet.present),
        )

    # Outgoing messages.

    def _send_load(self, own: peerloads.Shares) -> None:
        self._loads.record_own(self._round, own)
        message = self._messages.make_load(self._round, own)
        self._link.send_datagram(
            [self._aggregator_choice.chosen], gatewaymessages.serialize(message)
        )

    def _send_sums(self, own: peerloads.Shares, now: float) -> None:
        group = self._loads.group_sum(own, now)
        message = self._messages.make_group_load(
            self._round,
            group,
            missing=self._members.missing(),
            digest=self._fleet.digest,
        )
        self._link.send_datagram(
            self._group_hosts(), gatewaymessages.serialize(message)
        )
        members = self._loads.member_numbers(now)
        if not members:
            self._changes.drop_for_members()
            return
        fleet = peerloads.sum_shares([group, *self._loads.other_groups(now)])
        self._send_fleet(members, fleet)
        self._send_list(members)

    def _send_fleet(
        self, members: dict[str, int], fleet: peerloads.Shares
    ) -> None:
        message = self._messages.make_fleet_load(self._round, fleet)
        for name, number in members.items():
            message.your_number = number
            datagram = gatewaymessages.serialize(message)
            self._message_bytes = len(datagram)
            self._link.send_datagram([fleetmembers.host_of(name)], datagram)

    def _send_list(self, members: dict[str, int]) -> None:
        unable = self._members.unable_to_order()
        if not self._may_order():
            unable.add(self._own_name)
        hosts = [fleetmembers.host_of(name) for name in members]
        self._lists.send_own(
            [self._own_name, *members],
            unable,
            number=self._round,
            hosts=hosts + self._group_hosts(),
        )

    def _group_hosts(self) -> list[str]:
        if self._is_small():
            return self._link.hosts
        return self._aggregators.find_hosts(self._round)

    # Incoming messages.

    def _handle_load(self, message: gatewaymessages.Load) -> None:
        now, name = self._timers.now, message.peer
        is_new = name not in self._loads.member_numbers(now)
        if not self._observe_peer(name, message.may_order):
            return
        self._members.observe_cut(name, message.is_cut)
        shares = loadcodec.decode_shares(message.engines)
        if not self._loads.update_member(name, message.number, shares, now):
            return
        self._sums.merge(message)
        self._changes.receive(message.kept, to_groups=True, to_members=True)
        if is_new:
            # A new member gets the member lists of the other groups at once.
            self._lists.send_others(name)

    def _handle_group(self, message: gatewaymessages.GroupLoad) -> None:
        now, name = self._timers.now, message.peer
        if not self._observe_peer(name, message.may_order):
            return
        if (
            self._aggregator_choice.chosen is not None
            and not message.is_passed_on
        ):
            message.is_passed_on = True
            self._link.send_datagram(
                [self._aggregator_choice.chosen],
                gatewaymessages.serialize(message),
            )
        view = fleetmembers.PeerView(
            missing=frozenset(message.missing), digest=message.digest
        )
        self._members.observe_view(name, view)
        self._members.observe_cut(name, message.is_cut)
        self._aggregators.observe(name, now)
        shares = loadcodec.decode_shares(message.engines)
        if not self._loads.update_group(name, message.number, shares, now):
            return
        self._sums.merge(message)
        self._changes.receive(message.kept, to_groups=False, to_members=True)

    def _handle_fleet(self, message: gatewaymessages.FleetLoad) -> None:
        now = self._timers.now
        if not self._aggregator_choice.observe_sum(
            fleetmembers.host_of(message.peer), now
        ):
            return
        self._observe_peer(message.peer, None)
        self._sum_at = now
        shares = loadcodec.decode_shares(message.engines)
        self._loads.update_fleet(
            message.your_number, message.number, shares, now
        )
        self._sums.merge(message)
        self._changes.receive(message.kept, to_groups=False, to_members=False)

    def _handle_list(self, message: gatewaymessages.GroupMembers) -> None:
        members = self._loads.member_numbers(self._timers.now)
        is_own = message.peer in members or message.peer == self._own_name
        self._lists.handle_list(message, () if is_own else members)
        self._fleet.refresh()

    def _observe_peer(self, name: str, may_order: bool | None) -> bool:
        """Records that a daemon is present; returns False for this host."""
        host = fleetmembers.host_of(name)
        if host == self._own_host:
            return False
        for known in self._members.drop_earlier_starts(name):
            # A restarted host is no longer present under its old name.
            self._loads.drop(known)
            self._sums.drop(known)
            self._aggregators.drop(known)
        self._members.observe_message(name, self._timers.now)
        if may_order is not None:
            self._members.observe_ability(name, may_order)
        if name not in self._fleet.present:
            self._fleet.refresh()
            self._signals.repeat_all()
        return True
