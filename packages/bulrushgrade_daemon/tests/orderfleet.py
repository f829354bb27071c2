"""Emulates hosts that take turns at calls to the operator.

The hosts' own modules run on simulated time: the actions with their topic of
orders, the reports of usage and the orders of engines. The store, the operator,
the engines and the links between hosts are emulated, with what can go wrong
among them. Hosts are killed, paused and cut off, and their clocks are set.
"""

from collections.abc import Callable
import random
from typing import Any

import attrs
import fakes
from orderoperator import LEASE_S
from orderoperator import Engines
from orderoperator import Operator
from orderoperator import OperatorCall
from orderstore import OrderStore
from returns.result import Failure
from returns.result import Success
import simulatedreactor
from twisted.internet import defer

from bulrushgrade import capacitydemand
from bulrushgrade import capacityplan
from bulrushgrade import orderturn
from bulrushgrade import usagewindows
from bulrushgrade import workspaces
from bulrushgrade_daemon import capacitycontrol
from bulrushgrade_daemon import clock
from bulrushgrade_daemon import fencedactions
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import metrics
from bulrushgrade_daemon import operatorcalls
from bulrushgrade_daemon import ordertopic
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import topicreader
from bulrushgrade_daemon import usagereporting

WINDOWS = usagewindows.WindowSchedule(window_s=5.0, late_s=10.0)
WORKSPACES = tuple(workspaces.Workspace(name=n) for n in ("dealer", "lessor"))
STARTED_S = 1_700_000_000.0

HOP_S = 0.002
"""Time that a datagram, or one way of a call, is under way."""

CALL_TIMEOUT_S = 1.0
HEARTBEAT_S = 0.5
PRESENT_S = 2.5
"""Time since its last heartbeat for which a host counts as present."""

REQUESTS_PER_S = 6.0
"""Mean number of requests that each host starts."""


class HostReactor:
    """The reactor of one host; a paused host runs its calls late."""

    def __init__(self, reactor: simulatedreactor.SimulatedReactor):
        self._reactor = reactor
        self._late: list[Callable[[], Any]] = []
        self.is_paused = False
        self.is_ended = False

    def seconds(self) -> float:
        """Returns the simulated time, which goes on during pauses."""
        return self._reactor.seconds()

    def callLater(  # noqa: N802
        self, delay_s: float, call: Callable[..., Any], *arguments: Any
    ) -> simulatedreactor.ScheduledCall:
        """Schedules a call of this host."""
        return self._reactor.callLater(
            delay_s, self._run, lambda: call(*arguments)
        )

    def resume(self) -> None:
        """Ends a pause and runs the calls that came due in it."""
        self.is_paused = False
        late, self._late = self._late, []
        for call in late:
            self._reactor.callLater(0.0, self._run, call)

    def _run(self, call: Callable[[], Any]) -> None:
        if self.is_paused:
            self._late.append(call)
        elif not self.is_ended:
            call()


@attrs.frozen(kw_only=True)
class _Heartbeat:
    peer: str
    is_able: bool


class Host:
    """One process: its reactor, its services and what it knows of peers.

    Attributes:
        name: Its incarnation, as `host/incarnation`.
        reactor: Its reactor.
        clock_step_s: By how much its clock is set wrong.
        may_order: Whether it reaches the store.
        usage: Its reports of usage.
        capacity: Its orders of engines.
        metrics: Its metrics.
    """

    def __init__(self, *, fleet: "OrderFleet", name: str, clock_step_s: float):
        self.name = name
        self.reactor = HostReactor(fleet.reactor)
        self.clock_step_s = clock_step_s
        self.may_order = True
        self.metrics = metrics.Metrics()
        self._fleet = fleet
        self._heard: dict[str, tuple[float, bool]] = {}
        self.timers = clock.TimerService(
            reactor=self.reactor,
            on_broken=fleet.broken.append,
            clock=self.reactor.seconds,
        )
        fakes.run(self.timers.start())
        self.lines = fakes.EventRecorder()
        self.actions = fencedactions.FencedActions(
            timers=self.timers,
            turn=orderturn.OrderTurn(holder=name, lease_s=LEASE_S),
            topic=ordertopic.OrderTopic(read=self._read, append=self._append),
            log=self.lines.make(),
        )
        calls = operatorcalls.OperatorCalls(
            report_usage=self._report, order_capacity=self._order
        )
        self.usage = usagereporting.UsageReporting(
            timers=self.timers,
            own_name=name,
            windows=WINDOWS,
            actions=self.actions,
            calls=calls,
            fleet=self,
            may_order=lambda: self.may_order,
            send=fleet.link(self),
            broadcast=fleet.broadcast_link(self),
            log=self.lines.make(),
            on_broken=fleet.broken.append,
            time_of_day=lambda: (
                STARTED_S + self.reactor.seconds() + self.clock_step_s
            ),
        )
        self.capacity = capacitycontrol.CapacityControl(
            timers=self.timers,
            own_name=name,
            actions=self.actions,
            calls=calls,
            leads=lambda: self.usage.is_reporter or fleet.all_lead,
            views=lambda: [fleet.engines.view()] if self.may_order else [],
            read_use=lambda service: fleet.use,
            metrics=self.metrics,
            log=self.lines.make(),
            on_broken=fleet.broken.append,
        )
        fakes.run(self.usage.start())
        fakes.run(self.capacity.start())
        self.timers.every(HEARTBEAT_S, self._beat)

    @property
    def machine(self) -> str:
        """The host without its incarnation."""
        return self.name.partition("/")[0]

    # What the services need to know of the fleet, as of heartbeats.

    @property
    def present(self) -> list[str]:
        """The present hosts, this one first."""
        oldest = self.reactor.seconds() - PRESENT_S
        heard = [n for n, (at, _) in self._heard.items() if at >= oldest]
        return [self.name, *sorted(heard)]

    def find_leader(self) -> str:
        """Returns the first present host that is able to report."""
        able = [n for n in self.present[1:] if self._heard[n][1]]
        if self.may_order:
            able.append(self.name)
        return min(able, default=self.name)

    def receive(self, message: Any) -> None:
        """Processes a peer's message."""
        if isinstance(message, _Heartbeat):
            now = self.reactor.seconds()
            self._heard[message.peer] = now, message.is_able
        else:
            self.usage.receive(gatewaymessages.parse(message))

    def _beat(self) -> None:
        self._fleet.broadcast(
            self, _Heartbeat(peer=self.name, is_able=self.may_order)
        )
        fakes.run(self._probe_store())

    async def _probe_store(self) -> None:
        probed = await self._call(
            self._fleet.store.travel(self.machine, lambda: Success(None))
        )
        self.may_order = not isinstance(probed, Failure)

    # Calls.

    async def _read(self, offset: int) -> Any:
        store = self._fleet.store
        return await self._call(
            store.travel(self.machine, lambda: store.read(offset))
        )

    async def _append(self, content: bytes, at: int) -> Any:
        store = self._fleet.store
        return await self._call(store.travel_append(self.machine, content, at))

    async def _report(
        self, record: usagewindows.UsageRecord, permit: fencedactions.Permit
    ) -> Any:
        return await self._send(permit, "usage", record.window, record.counts)

    async def _order(
        self,
        record: capacityplan.CapacityRecord,
        permit: fencedactions.Permit,
    ) -> Any:
        subject = f"{record.service} {record.zone}"
        return await self._send(permit, subject, record, {})

    async def _send(
        self,
        permit: fencedactions.Permit,
        subject: str,
        content: Any,
        counts: dict[str, int],
    ) -> Any:
        # The connection is opened before the check.
        paused_s = self._fleet.connect_pause_s(self)
        if paused_s > 0:
            self._fleet.pause(self.name, paused_s)
        await self.timers.sleep(2 * HOP_S)
        if not permit.check():
            return Failure(outbound.CallFailed(written=False, reason="late"))
        call = OperatorCall(
            machine=self.machine,
            number=permit.number,
            subject=subject,
            content=content,
            counts=counts,
        )
        slow_s = self._fleet.write_pause_s(self)
        if slow_s > 0:
            self._fleet.pause(self.name, slow_s)
        answered = await self._call(self._fleet.operator.travel(call, slow_s))
        if isinstance(answered, Failure):
            return Failure(outbound.CallFailed(written=True, reason="timeout"))
        return answered

    async def _call(
        self, travel: Callable[[Callable[[Any], None]], None]
    ) -> Any:
        answered: defer.Deferred = defer.Deferred()

        def answer(value: Any) -> None:
            if not answered.called:
                answered.callback(value)

        # An answer reaches the process when it runs.
        travel(lambda value: self.reactor.callLater(HOP_S, answer, value))
        away = Failure(topicreader.StoreAway(reason="timeout"))
        self.reactor.callLater(CALL_TIMEOUT_S, answer, away)
        return await answered


class OrderFleet:
    """Hosts with their store, operator, engines and links."""

    def __init__(self, *names: str, seed: int):
        self.random = random.Random(seed)
        self.reactor = simulatedreactor.SimulatedReactor()
        self.store = OrderStore(
            reactor=self.reactor, random=self.random, hop_s=HOP_S
        )
        self.engines = Engines(reactor=self.reactor, random=self.random)
        self.operator = Operator(
            reactor=self.reactor, engines=self.engines, hop_s=HOP_S
        )
        self.hosts: dict[str, Host] = {}
        self.broken: list[str] = []
        # Their suspended calls go on if they are collected as garbage.
        self._ended: list[Host] = []
        # Machines that are cut off from all others, but not from the store.
        self.isolated: set[str] = set()
        # Whether all hosts take themselves for the one that orders engines.
        self.all_lead = False
        # The load of the engines; None to order them without regard to it.
        self.use: capacitydemand.ServiceUse | None = None
        # How long a host is paused before and after the check of a call.
        self.connect_pause_s: Callable[[Host], float] = lambda host: 0.0
        self.write_pause_s: Callable[[Host], float] = lambda host: 0.0
        for name in names:
            self.start(name)
        self._start_requests()

    def start(self, name: str, clock_step_s: float = 0.0) -> None:
        """Starts a process."""
        self.hosts[name] = Host(
            fleet=self, name=name, clock_step_s=clock_step_s
        )

    def kill(self, name: str) -> None:
        """Ends a process at once."""
        host = self.hosts.pop(name)
        host.reactor.is_ended = True
        self._ended.append(host)

    def pause(self, name: str, seconds: float) -> None:
        """Pauses a process; its clock goes on."""
        reactor = self.hosts[name].reactor
        reactor.is_paused = True
        self.reactor.callLater(seconds, reactor.resume)

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        self.reactor.run_until(self.reactor.seconds() + seconds)
        assert self.broken == []

    @property
    def reporter(self) -> str | None:
        """The process that has recorded itself as the reporter, if any."""
        found = [n for n, h in self.hosts.items() if h.usage.is_reporter]
        return found[0] if found else None

    @property
    def now_s(self) -> float:
        """The true wall-clock time."""
        return STARTED_S + self.reactor.seconds()

    def link(self, sender: Host) -> Callable[[str, Any], bool]:
        """Returns the function by which a host sends to one peer."""

        def send(peer: str, message: gatewaymessages.Message) -> bool:
            self._carry(sender, peer, gatewaymessages.serialize(message))
            return True

        return send

    def broadcast_link(self, sender: Host) -> Callable[[Any], None]:
        """Returns the function by which a host sends to all peers."""
        return lambda message: self.broadcast(
            sender, gatewaymessages.serialize(message)
        )

    def broadcast(self, sender: Host, message: Any) -> None:
        """Sends an encoded message to all other processes."""
        for peer in list(self.hosts):
            if peer != sender.name:
                self._carry(sender, peer, message)

    def _carry(self, sender: Host, peer: str, message: Any) -> None:
        receiver = self.hosts.get(peer)
        if receiver is None:
            return
        if {sender.machine, receiver.machine} & self.isolated:
            return
        receiver.reactor.callLater(HOP_S, receiver.receive, message)

    def _start_requests(self) -> None:
        def begin() -> None:
            for host in self.hosts.values():
                if not host.reactor.is_paused:
                    host.usage.record_run_start(
                        self.random.choice(WORKSPACES), self.reactor.seconds()
                    )
            self.reactor.callLater(
                self.random.expovariate(REQUESTS_PER_S), begin
            )

        begin()
