"""Emulates a fleet of hosts before endpoints that don't accept all requests.

The hosts' own modules run on simulated time: the exchange of loads, permits,
the choice of endpoints and the forwarder. The network, the endpoints and the
callers are emulated, with what can go wrong among them: datagrams are lost or
late, or get through in one direction only; hosts end, restart, are paused and
are cut off from each other; endpoints restart under their ids, limits move and
end. Endpoints refuse requests above their capacity, or all of them for a time,
and ask for a time without requests; they leave.
"""

import bisect
from collections.abc import Callable
from collections.abc import Iterable
import heapq
import itertools
import math
import random
from typing import Any

import attrs
import fakes
import simulatedreactor
from twisted.internet import defer
from twisted.web import http_headers

from bulrushgrade import attempts
from bulrushgrade import crashledger
from bulrushgrade import directory
from bulrushgrade import endpointlimits
from bulrushgrade import peerloads
from bulrushgrade import prompt as prompt_module
from bulrushgrade import retryshare
from bulrushgrade import routing
from bulrushgrade_daemon import clock
from bulrushgrade_daemon import configurationversions
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import endpointchooser
from bulrushgrade_daemon import endpointsignals
from bulrushgrade_daemon import enginework
from bulrushgrade_daemon import forwarder
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import loadgossip
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import partexchange
from bulrushgrade_daemon import peerlink
from bulrushgrade_daemon import permitgranter
from bulrushgrade_daemon import permitservice
from bulrushgrade_daemon import ratelimits
from bulrushgrade_daemon import requestadmission
from bulrushgrade_daemon import requestlog
from bulrushgrade_daemon import signalexchange
from bulrushgrade_daemon import topicreader

HOP_S = 0.001
"""Time that a datagram or a request is under way."""

HANG_S = 1e6
"""Longer than any test, so that nothing is answered."""

DEADLINE_S = 3.0
TARGET_S = 0.4
WORK_S = 0.05

ROUTES = tuple(
    routing.Route(
        name=f"r{priority}",
        hostname=f"p{priority}",
        path_prefix="/",
        kind=routing.RequestKind.IDEMPOTENT,
        resumable=False,
        timeout_s=DEADLINE_S,
        target_s=TARGET_S,
        gap_s=None,
        priority=priority,
        max_attempts=2,
        by_prompt=False,
        targets=(routing.Target(service="s", weight=1.0),),
    )
    for priority in (0, 1)
)
TABLE = routing.RouteTable(
    configuration=routing.Configuration(
        version=1, routes=ROUTES, services={}, limits=None
    )
)


@attrs.define(kw_only=True)
class Endpoint:
    """An endpoint, and when requests arrived at it from which host.

    Attributes:
        id: Its id.
        born_ms: When it started.
        limit: Requests per second that it states to accept, or None.
        is_up: Whether it accepts connections.
        failing: The fraction of its requests that fail.
        work_s: The time that it works on a request.
        slots: Requests that it works on at the same time, None for any number.
        queue: Requests that may wait for a slot.
        refuses_until: Until when it refuses all requests.
        backoff_s: The time without requests that its refusals ask for, or None.
        is_leaving: Whether it says so in its answers.
        hanging: The fraction of its requests that it never answers.
        abandoned: Requests whose connection was closed before the answer.
        arrivals: Times and hosts of all requests.
        refusals: Times and hosts of the requests that it refused.
        told_leaving: When each host first got an answer that says so.
    """

    id: str
    born_ms: int = 0
    limit: float | None = None
    is_up: bool = True
    failing: float = 0.0
    work_s: float = WORK_S
    slots: int | None = None
    queue: int = 0
    refuses_until: float = 0.0
    backoff_s: float | None = None
    is_leaving: bool = False
    hanging: float = 0.0
    abandoned: int = 0
    arrivals: list[tuple[float, str]] = attrs.field(factory=list)
    refusals: list[tuple[float, str]] = attrs.field(factory=list)
    told_leaving: dict[str, float] = attrs.field(factory=dict)
    # When each slot is free.
    _free_at: list[float] = attrs.field(factory=list)

    def begin(self, now: float) -> float | None:
        """Returns when it ends a request that arrives now, None if it refuses.

        Args:
            now: The current time.
        """
        if now < self.refuses_until:
            return None
        if self.slots is None:
            return now + self.work_s
        if len(self._free_at) < self.slots:
            self._free_at += [0.0] * (self.slots - len(self._free_at))
        # Each request that waits has made a slot busy for longer than a whole
        # request from now.
        waiting = sum(
            math.ceil((at - now) / self.work_s - 1)
            for at in self._free_at
            if at > now + self.work_s
        )
        begins_at = max(now, self._free_at[0])
        if begins_at > now and waiting >= self.queue:
            return None
        ends_at = begins_at + self.work_s
        heapq.heapreplace(self._free_at, ends_at)
        return ends_at

    def most_in_backoff(self, notice_s: float, since: float = 0.0) -> int:
        """Returns the most requests of one host in a time it wanted none.

        Args:
            notice_s: Time after a refusal from which on they count.
            since: Refusals before this time don't count.
        """
        most = 0
        by_host: dict[str, list[float]] = {}
        for at, host in self.arrivals:
            by_host.setdefault(host, []).append(at)
        for at, host in self.refusals:
            if at < since or self.backoff_s is None:
                continue
            times = by_host[host]
            first = bisect.bisect_right(times, at + notice_s)
            last = bisect.bisect_left(times, at + self.backoff_s)
            most = max(most, last - first)
        return most

    def last_after_leaving_s(self) -> float:
        """Returns for how long a host sent on after it was told, 0 if none."""
        sent_after_s = [
            at - self.told_leaving[host]
            for at, host in self.arrivals
            if host in self.told_leaving
        ]
        return max([0.0, *sent_after_s])

    def count(self, since: float, until: float) -> int:
        """Returns the number of requests in a time span."""
        return sum(since <= at < until for at, _ in self.arrivals)

    def most_in_window(self, since: float, until: float, window_s: float):
        """Returns the largest number of requests in any window of a span."""
        times = sorted(at for at, _ in self.arrivals if since <= at < until)
        most, first = 0, 0
        for last, at in enumerate(times):
            while at - times[first] >= window_s:
                first += 1
            most = max(most, last - first + 1)
        return most


@attrs.define(kw_only=True)
class CallerRequest:
    """One try of a caller, with the interface that the forwarder expects.

    Attributes:
        fleet: The emulation.
        priority: The priority of its route.
        arrived_at: When it was sent.
        began_at: When the caller's first try was sent, None if this is it.
        deadline_at: Until when the caller waits, further tries included.
        tries_left: How often the caller may still return.
        status: The status of the answer, or ``refused``.
        ended_at: When it was answered.
        retry_s: When the caller was told to return.
    """

    fleet: "LimitFleet"
    priority: int
    arrived_at: float
    deadline_at: float
    tries_left: int = 1
    status: int | str | None = None
    ended_at: float = 0.0
    retry_s: float = 0.0
    began_at: float | None = None
    is_returning: bool = False
    is_disconnected: bool = False
    on_disconnect: Any = None
    address: str = "10.0.0.1"
    method: bytes = b"GET"
    uri: bytes = b"/a"
    path: bytes = b"/a"
    body: bytes = b""
    requestHeaders: Any = None  # noqa: N815

    def answer(self, status: int, fields: Any, body: bytes) -> None:
        """Takes an answer."""
        self.status, self.ended_at = status, self.fleet.now

    def refuse(self, after_s: float) -> None:
        """Takes a refusal; the caller returns if it has the time for it."""
        self.status, self.ended_at = "refused", self.fleet.now
        self.retry_s = after_s
        self.fleet.return_later(self)

    def abort_connection(self) -> None:
        """Takes the end of its connection."""
        self.status, self.ended_at = "cut", self.fleet.now


class _Answer:
    """An endpoint's whole answer."""

    def __init__(self, *, status: int):
        self.status = status
        self.headers = http_headers.Headers()

    async def read(self, on_data: Callable[[bytes], None]) -> outbound.BodyEnd:
        """Reads the body."""
        on_data(b"done")
        return outbound.BodyEnd(whole=True)

    def abort(self) -> None:
        """Does nothing; there is no connection."""


class _Calls:
    """Sends requests of one host to the emulated endpoints."""

    def __init__(self, *, host: "Host"):
        self._host = host

    async def run(
        self,
        request: inflight.InFlight,
        registration: directory.Registration,
        prefilled: Any,
    ) -> _Answer | inflight.AttemptEnd:
        """Sends a request and returns its answer."""
        host, fleet = self._host, self._host.fleet
        sent_at = fleet.now
        endpoint = fleet.endpoints[registration.id]
        is_wanted = host.signals.why_withheld(registration) is None
        if not is_wanted or not request.permit.is_valid(sent_at):
            return inflight.AttemptEnd(
                outcome=attempts.Outcome.WITHHELD, reason="withheld"
            )
        if not endpoint.is_up:
            return inflight.AttemptEnd(
                outcome=attempts.Outcome.UNREACHED, reason="refused"
            )
        host.signals.count_sent(registration, "first")
        await host.timers.sleep(HOP_S)
        request.written_at = sent_at
        endpoint.arrivals.append((fleet.now, host.name))
        await fleet.hang(host, endpoint)
        born_ms = endpoint.born_ms
        ends_at = endpoint.begin(fleet.now)
        has_refused = ends_at is None
        if has_refused:
            endpoint.refusals.append((fleet.now, host.name))
        else:
            await host.timers.sleep(ends_at - fleet.now)
        if endpoint.is_leaving:
            endpoint.told_leaving.setdefault(host.name, fleet.now)
        await host.timers.sleep(HOP_S)
        if not endpoint.is_up or endpoint.born_ms != born_ms:
            return inflight.AttemptEnd(
                outcome=attempts.Outcome.LOST, reason="reset"
            )
        verdict = dialect.Verdict(
            request_id=None,
            not_run=has_refused,
            misdirected=False,
            limit_per_s=endpoint.limit,
            is_leaving=endpoint.is_leaving and fleet.reads_signals,
            backoff_s=endpoint.backoff_s
            if has_refused and fleet.reads_signals
            else None,
        )
        host.signals.observe_answer(
            registration,
            verdict,
            kind=endpointlimits.AnswerKind.RUN,
            sent_at=sent_at,
            request_id=request.info.request_id,
        )
        if has_refused:
            return inflight.AttemptEnd(
                outcome=attempts.Outcome.TURNED_AWAY, reason="refused"
            )
        has_failed = fleet.rng.random() < endpoint.failing
        return _Answer(status=500 if has_failed else 200)


class _Origins:
    """Records nothing; all endpoints run the same software."""

    def record(self, request: inflight.InFlight) -> None:
        """Does nothing."""

    def is_disputed(self, request: inflight.InFlight) -> bool:
        """Returns whether it is not certain what began a stream."""
        return False


class _Watch:
    """Takes no broken answer for a crash."""

    def observe_broken_answer(self, request: inflight.InFlight) -> None:
        """Does nothing."""

    async def wait_for_check(self, endpoint: directory.Registration) -> None:
        """Returns at once."""


@attrs.frozen(kw_only=True)
class _Transport:
    """The datagram transport of one host."""

    fleet: "LimitFleet"
    port: int

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram."""
        self.fleet.deliver(self.port, address[1], data)


class _HostReactor:
    """The fleet's reactor, which makes no calls of a host that is paused."""

    def __init__(self, *, reactor: simulatedreactor.SimulatedReactor):
        self._reactor = reactor
        self.paused_until = 0.0

    def callLater(  # noqa: N802
        self, delay_s: float, call: Callable[..., Any], *arguments: Any
    ) -> simulatedreactor.ScheduledCall:
        """Schedules a call; one due in a pause is made at the pause's end."""

        def run() -> None:
            left_s = self.paused_until - self._reactor.seconds()
            if left_s > 0:
                self._reactor.callLater(left_s, run)
            else:
                call(*arguments)

        return self._reactor.callLater(delay_s, run)


class Host:
    """One start of a host."""

    table = TABLE
    index: Any = None

    def __init__(self, *, fleet: "LimitFleet", port: int, zone: str):
        """Starts a host that has read the store's records.

        Args:
            fleet: The emulation.
            port: Its port, which identifies it.
            zone: Its availability zone.
        """
        self.fleet = fleet
        self.name = f"h{port}"
        self.is_up = True
        self.loads = peerloads.PeerLoads()
        self.reactor = _HostReactor(reactor=fleet.reactor)
        self.timers = clock.TimerService(
            reactor=self.reactor,
            on_broken=fleet.broken.append,
            clock=fleet.reactor.seconds,
        )
        defer.Deferred.fromCoroutine(self.timers.start())
        own_name = f"{self.name}/{next(fleet.starts):08x}"
        log = decisionlog.DecisionLog(
            host=self.name,
            write=fleet.record_line,
            wall_clock=fleet.reactor.seconds,
            clock=fleet.reactor.seconds,
        )
        self.limits = ratelimits.RateLimits(timers=self.timers, log=log)
        self.signals = endpointsignals.EndpointSignals(
            timers=self.timers,
            limits=self.limits,
            directory=lambda: self._endpoints,
            log=log,
        )
        self.link = peerlink.PeerLink(
            reactor=None,
            timers=self.timers,
            host_name=self.name,
            zone=zone,
            listen=None,
            membership=None,
            on_message=self._receive,
            log=log,
            on_broken=fleet.broken.append,
        )
        self.link.transport = _Transport(fleet=fleet, port=port)
        self.parts = fakes.make_parts(self.timers)
        self.gossip = loadgossip.LoadGossip(
            timers=self.timers,
            own_name=own_name,
            link=self.link,
            loads=self.loads,
            read_own=self.read_own,
            may_order=lambda: True,
            apply_changes=lambda engine, changes: None,
            handle_other=self.handle_other,
            signals=signalexchange.SignalExchange(
                limits=self.limits, signals=self.signals
            ),
            parts=partexchange.PartExchange(
                timers=self.timers, sharing=self.parts
            ),
            versions=configurationversions.ConfigurationVersions(
                timers=self.timers,
                own=lambda: configurationversions.NONE,
                must_hear=lambda: False,
                peer_ttl_s=3.0,
                log=log,
            ),
            log=log,
        )
        self.permits = permitservice.PermitService(
            timers=self.timers,
            own_name=own_name,
            limits=self.limits,
            signals=self.signals,
            contacts=permitgranter.Contacts.of_fleet(
                lambda: self.gossip.fleet,
                announced=lambda: self.link.hosts,
                knows_peers=lambda: True,
            ),
            send=self.link.send,
            log=log,
        )
        self._make_forwarder(zone, log)
        self.link.apply_records(fleet.announcements())
        self.read_endpoints()
        for service in (self.limits, self.signals, self.permits):
            defer.Deferred.fromCoroutine(service.start())
        # Hosts send their loads at different moments.
        self.timers.after(
            fleet.rng.uniform(0, loadgossip.PERIOD_S), self.gossip.schedule
        )

    def _make_forwarder(self, zone: str, log: decisionlog.DecisionLog) -> None:
        rng = random.Random(self.fleet.rng.random())
        self._endpoints = directory.Directory(
            leaving_use_s=0.8, drains=self.signals.drains
        )
        self.work = enginework.EngineWork(
            timers=self.timers,
            table=lambda: self.table,
            endpoints=self._endpoints,
            peers=self.loads,
            index=self.index,
        )
        self.chooser = endpointchooser.EndpointChooser(
            timers=self.timers,
            zone=zone,
            table=lambda: self.table,
            endpoints=self._endpoints,
            work=self.work,
            index=self.index,
            permits=self.permits,
            find_withheld=self.parts.find_withheld,
            settle_s=2.0,
            is_settled=lambda service, software: True,
            age_s=lambda: 0.0,
            log=log,
            rng=rng,
        )
        request_log = requestlog.RequestLog(
            log=log, now=lambda: self.timers.now
        )
        ledger = crashledger.CrashLedger()
        self.forwarder = forwarder.Forwarder(
            dependencies=forwarder.Dependencies(
                timers=self.timers,
                admission=requestadmission.RequestAdmission(
                    timers=self.timers,
                    dialect=_DIALECT,
                    table=lambda: self.table,
                    ledger=ledger,
                    parts=self.parts,
                    ends_in_s=lambda: None,
                    log=request_log,
                    rng=rng,
                ),
                dialect=_DIALECT,
                chooser=self.chooser,
                work=self.work,
                calls=self.make_calls(),
                permits=self.permits,
                origins=_Origins(),
                crashes=_Watch(),
                ledger=ledger,
                parts=self.parts,
                observe_completion=lambda fingerprint: None,
                log=request_log,
                rng=rng,
                on_broken=self.fleet.broken.append,
            ),
            make_retry_share=lambda: retryshare.RetryShare(
                ratio=0.2, extra=lambda: 1.0, window_s=10.0
            ),
            record_run_start=lambda workspace, at: None,
            retries_early=lambda: self.fleet.retries_early,
        )

    def make_calls(self) -> Any:
        """Returns what sends the host's requests to endpoints."""
        return _Calls(host=self)

    def read_own(self) -> dict[str, peerloads.EngineShare]:
        """Returns the host's own load."""
        return {}

    def handle_other(self, message: Any) -> None:
        """Handles a message that is not about loads."""
        self.permits.receive(message)

    def read_endpoints(self) -> None:
        """Reads the registrations of the endpoints."""
        for endpoint in self.fleet.endpoints.values():
            registration = directory.Registration(
                id=endpoint.id,
                born_ms=endpoint.born_ms,
                service="s",
                host="10.0.0.1",
                port=1,
                zone="z0",
                slots=endpoint.slots or 8,
                state=directory.EndpointState.READY,
                cold_s=0.0,
                stage=None,
                sequence=1,
            )
            self._endpoints.put(registration, now=self.timers.now)

    def end(self) -> None:
        """Ends the host at once."""
        self.is_up = False
        self.reactor.paused_until = math.inf
        defer.Deferred.fromCoroutine(self.timers.stop())

    def _receive(self, message: Any) -> None:
        if self.is_up:
            self.gossip.receive(message)


class LimitFleet:
    """Hosts, endpoints and callers on simulated time."""

    host_class = Host
    retries_early = False

    def __init__(
        self,
        *,
        hosts: int,
        zones: int,
        limits: Iterable[float | None],
        offered_per_s: float,
        urgent_fraction: float = 0.0,
        loss: float = 0.0,
        seed: int = 1,
        reads_signals: bool = True,
    ):
        """Starts all hosts; callers press from `press` on.

        Args:
            hosts: The number of hosts.
            zones: The number of availability zones.
            limits: The limit of each endpoint, None for none.
            offered_per_s: New requests per second.
            urgent_fraction: The fraction of them on the more urgent route.
            loss: The fraction of datagrams that are lost.
            seed: Seeds all random choices.
            reads_signals: Whether hosts read that endpoints leave or want no
                requests for a time.
        """
        self.reads_signals = reads_signals
        self.reactor = simulatedreactor.SimulatedReactor()
        self.rng = random.Random(seed)
        self.broken: list[str] = []
        self.starts = itertools.count(1)
        self.lines: list[bytes] = []
        self.log = decisionlog.DecisionLog(
            host="fleet",
            write=self.record_line,
            wall_clock=self.reactor.seconds,
            clock=self.reactor.seconds,
        )
        self.requests: list[CallerRequest] = []
        self.messages = 0
        self._offered_per_s = offered_per_s
        self._urgent_fraction = urgent_fraction
        self._loss = loss
        self._zones = zones
        self._count = hosts
        self._sides: dict[int, int] = {}
        self._mute: frozenset[int] = frozenset()
        self._cut_links: frozenset[tuple[int, int]] = frozenset()
        self.max_delay_s = 0.0
        self.endpoints = {
            f"e{number}": self.make_endpoint(number, limit)
            for number, limit in enumerate(limits)
        }
        # Callers reach hosts unevenly.
        self._weights = [self.rng.uniform(0.3, 1.7) for _ in range(hosts)]
        self.hosts: dict[int, Host] = {}
        for port in range(1, hosts + 1):
            self.start(port)

    @property
    def now(self) -> float:
        """The simulated time."""
        return self.reactor.seconds()

    def make_endpoint(self, number: int, limit: float | None) -> Endpoint:
        """Returns an endpoint."""
        return Endpoint(id=f"e{number}", limit=limit)

    def make_request(self, **values: Any) -> CallerRequest:
        """Returns a caller's request."""
        return CallerRequest(fleet=self, **values)

    def make_headers(self, priority: int) -> dict[bytes, list[bytes]]:
        """Returns further headers of a request."""
        return {}

    def announcements(self) -> tuple[topicreader.KeyedRecord, ...]:
        """Returns the records with the addresses of all hosts."""
        return tuple(
            topicreader.KeyedRecord(
                key=f"h{port}",
                value=b'{"address":"127.0.0.1:%d","zone":"z%d"}'
                % (port, port % self._zones),
            )
            for port in range(1, self._count + 1)
        )

    def record_line(self, line: bytes) -> int:
        """Records a line of a host's log."""
        self.lines.append(line)
        return len(line)

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        self.reactor.run_until(self.now + seconds)
        assert not self.broken, self.broken

    async def hang(self, host: Host, endpoint: Endpoint) -> None:
        """Returns at once, or never if an endpoint hangs on a request."""
        if not endpoint.hanging or self.rng.random() >= endpoint.hanging:
            return
        try:
            await host.timers.sleep(HANG_S)
        except defer.CancelledError:
            endpoint.abandoned += 1
            raise

    # What callers do.

    def press(self) -> None:
        """Starts the callers."""
        self._send_next()

    def _send_next(self) -> None:
        is_urgent = self.rng.random() < self._urgent_fraction
        self._send(
            self.make_request(
                priority=0 if is_urgent else 1,
                arrived_at=self.now,
                deadline_at=self.now + DEADLINE_S,
            )
        )
        pause_s = self.rng.expovariate(self._offered_per_s)
        self.reactor.callLater(pause_s, self._send_next)

    def _send(self, request: CallerRequest) -> None:
        ports = [port for port, host in self.hosts.items() if host.is_up]
        weights = [self._weights[port - 1] for port in ports]
        (port,) = self.rng.choices(ports, weights)
        left_ms = b"%d" % ((request.deadline_at - self.now) * 1000)
        request.requestHeaders = http_headers.Headers(
            {b"host": [b"p%d" % request.priority], b"left": [left_ms]}
            | self.make_headers(request.priority)
        )
        self.requests.append(request)
        host = self.hosts[port]
        if host.reactor.paused_until > self.now:
            host.reactor.callLater(0.0, host.forwarder.handle, request)
        else:
            host.forwarder.handle(request)

    def return_later(self, request: CallerRequest) -> None:
        """Has a refused caller return, as late as it can wait at most."""
        left_s = request.deadline_at - self.now
        pause_s = min(request.retry_s, left_s * retryshare.MAX_WAIT_FRACTION)
        if request.tries_left <= 0 or left_s - pause_s < TARGET_S:
            return
        again = attrs.evolve(
            request,
            arrived_at=self.now + pause_s,
            tries_left=request.tries_left - 1,
            status=None,
            is_returning=True,
            began_at=request.arrived_at
            if request.began_at is None
            else request.began_at,
        )
        self.reactor.callLater(pause_s, self._send, again)

    # What goes wrong.

    def start(self, port: int) -> None:
        """Starts a host, or starts it again if it runs."""
        if port in self.hosts:
            self.hosts[port].end()
        self.hosts[port] = self.host_class(
            fleet=self, port=port, zone=f"z{port % self._zones}"
        )

    def cut(self, sides: dict[int, int]) -> None:
        """Cuts hosts off from those that have another number in `sides`."""
        self._sides = sides

    def mute(self, ports: Iterable[int]) -> None:
        """Drops all datagrams that these hosts send; they receive others'."""
        self._mute = frozenset(ports)

    def cut_links(self, links: Iterable[tuple[int, int]]) -> None:
        """Drops all datagrams from the first to the second port of a pair."""
        self._cut_links = frozenset(links)

    def pause(self, port: int, seconds: float) -> None:
        """Stops a host; what is due or arrives meanwhile follows afterwards."""
        self.hosts[port].reactor.paused_until = self.now + seconds

    def restart_endpoint(self, id: str, *, away_s: float) -> None:
        """Ends an endpoint, which is back under its id after a time."""
        endpoint = self.endpoints[id]
        endpoint.is_up = False

        def be_back() -> None:
            endpoint.is_up = True
            endpoint.born_ms = round(self.now * 1000)
            for host in self.hosts.values():
                self.reactor.callLater(
                    self.rng.uniform(0, 1), host.read_endpoints
                )

        self.reactor.callLater(away_s, be_back)

    def deliver(self, source: int, target: int, data: bytes) -> None:
        """Delivers a datagram, unless it is lost or cut off."""
        self.messages += 1
        if self._sides.get(source) != self._sides.get(target):
            return
        if source in self._mute or (source, target) in self._cut_links:
            return
        if self._loss and self.rng.random() < self._loss:
            return
        host, delay_s = self.hosts[target], HOP_S
        if self.max_delay_s:
            delay_s += self.rng.uniform(0, self.max_delay_s)
        address = ("127.0.0.1", source)
        host.reactor.callLater(
            delay_s, host.link.datagramReceived, data, address
        )


def _read_request_info(headers: http_headers.Headers) -> dialect.RequestInfo:
    left_ms = headers.getRawHeaders(b"left")[0]
    return dialect.RequestInfo(
        request_id="r1",
        deadline_s=int(left_ms) / 1000,
        prompt=_read_prompt(headers),
        last_event_id=None,
    )


def _read_prompt(headers: http_headers.Headers) -> prompt_module.Prompt | None:
    """Returns the prompt of a request for engines, which shares no part."""
    values = headers.getRawHeaders(b"prompt")
    if values is None:
        return None
    id, prompt_tokens, output_tokens = values[0].split()
    part = prompt_module.PromptPart(id=id.decode(), tokens=int(prompt_tokens))
    return prompt_module.Prompt(
        model="m",
        parts=(part,),
        prompt_tokens=int(prompt_tokens),
        output_tokens=int(output_tokens),
    )


_DIALECT = dialect.Dialect(
    read_request_info=_read_request_info,
    write_fields=None,
    read_verdict=None,
    write_answer_fields=lambda headers: [],
    read_prefilled=None,
    free_prefilled=None,
    challenge=(),
)
