"""Emulates a fleet of hosts before model engines that prefill and decode.

As `limitfleet`, with engines instead of plain endpoints: long prompts are
prefilled at one engine and decoded at another, and a host orders engines to
change their roles.
"""

from collections.abc import Callable
import itertools
from typing import Any

import attrs
import fakes
import limitfleet
from returns.result import Failure
from returns.result import Success
from twisted.internet import defer
from twisted.web import http_headers

from bulrushgrade import attempts
from bulrushgrade import directory
from bulrushgrade import endpointlimits
from bulrushgrade import orderturn
from bulrushgrade import routing
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import fencedactions
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import ordertopic
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import placementindex
from bulrushgrade_daemon import stagecontrol

PREFILL, DECODE = directory.Stage.PREFILL, directory.Stage.DECODE
PREFILL_TOKENS_PER_S = 36_700.0
DECODER_PREFILL_FACTOR = 0.5
"""Speed of a prefill at a decoder, as a part of that at a prefiller."""

STEP_S = 0.00434
STEP_PER_STREAM_S = 0.0001
"""Time to generate a token, and what each stream adds to it."""

SLOTS = 64
STAGE_CHANGE_S = 3.0
RECORD_DELAY_S = 1.0
"""Time until hosts have read a changed registration."""

SHORT, LONG = 0, 1
TOKENS = {SHORT: (383, 6), LONG: (8_000, 15)}
"""Prompt tokens, of which no engine has cached any, and output tokens."""


def _make_route(priority: int, target_s: float) -> routing.Route:
    return attrs.evolve(
        limitfleet.ROUTES[priority],
        kind=routing.RequestKind.STREAM,
        target_s=target_s,
        timeout_s=limitfleet.DEADLINE_S * 2,
        gap_s=0.3,
        max_attempts=2 if priority == SHORT else 1,
        resumable=priority == SHORT,
        by_prompt=True,
    )


TABLE = routing.RouteTable(
    configuration=routing.Configuration(
        version=1,
        routes=(_make_route(SHORT, 0.4), _make_route(LONG, 0.8)),
        services={
            "s": routing.Service(
                name="s",
                max_connections=370,
                engine=routing.EngineTraits(
                    slots=SLOTS,
                    memory_tokens=408_118,
                    token_bytes=18_432,
                    link_bytes_per_s=17.5e9,
                    kv_handle_ttl_s=5.0,
                    stage_change_s=STAGE_CHANGE_S,
                ),
            )
        },
        limits=None,
    )
)


@attrs.define(kw_only=True)
class Engine(limitfleet.Endpoint):
    """An engine with a role.

    Attributes:
        stage: Its role.
        changes_until: Until when it changes its role and refuses work.
        sequence: Counts its registrations.
        streams: Streams that it generates.
        prefills: Times at which it accepted a prompt for another engine.
        taken: Decodes of prompts that another engine had prefilled.
        orders: Times of the orders that it accepted.
    """

    stage: directory.Stage
    changes_until: float = 0.0
    sequence: int = 1
    streams: int = 0
    prefills: list[float] = attrs.field(factory=list)
    taken: int = 0
    orders: list[float] = attrs.field(factory=list)
    _prefilled_at: float = 0.0

    def refuses(self, now: float, stage: directory.Stage) -> bool:
        """Returns whether it refuses a request for a role."""
        is_changing = now < self.changes_until
        is_full = stage is DECODE and self.streams >= SLOTS
        is_wrong = stage is not self.stage
        return now < self.refuses_until or is_changing or is_full or is_wrong

    def prefill(self, tokens: int, now: float) -> float:
        """Returns when it ends the prefill of a prompt."""
        per_s = PREFILL_TOKENS_PER_S
        if self.stage is DECODE:
            per_s *= DECODER_PREFILL_FACTOR
        begins_at = max(now, self._prefilled_at)
        self._prefilled_at = begins_at + tokens / per_s
        return self._prefilled_at

    @property
    def step_s(self) -> float:
        """The time to generate a token."""
        return STEP_S + STEP_PER_STREAM_S * self.streams


@attrs.define(kw_only=True)
class CallerRequest(limitfleet.CallerRequest):
    """A caller that takes a stream."""

    events: int = 0
    first_at: float | None = None

    def set_producer(self, producer: Any) -> None:
        """Does nothing; the caller reads at once."""

    def set_head(self, status: int, fields: Any, length: Any) -> None:
        """Takes the head of the answer."""
        self.first_at = self.fleet.now

    def write(self, data: bytes) -> None:
        """Takes events."""
        self.events += 1

    def finish_stream(self) -> None:
        """Takes the end of the answer."""
        self.status, self.ended_at = 200, self.fleet.now

    @property
    def is_in_time(self) -> bool:
        """Whether its caller got an answer that began within the target."""
        if self.status != 200 or self.first_at is None:
            return False
        target_s = (0.4, 0.8)[self.priority]
        began_at = self.arrived_at if self.began_at is None else self.began_at
        return self.first_at - began_at <= target_s


class _Stream:
    """The answer of an engine."""

    status = 200
    producer = None

    def __init__(self, *, host: "EngineHost", engine: Engine, tokens: int):
        self.headers = http_headers.Headers()
        self._host = host
        self._engine = engine
        self._tokens = tokens
        self._is_aborted = False

    async def read(self, on_data: Callable[[bytes], None]) -> outbound.BodyEnd:
        """Reads the events as they are generated."""
        for number in range(1, self._tokens + 1):
            await self._host.timers.sleep(self._engine.step_s)
            on_data(b"id: %d\ndata: x\n\n" % number)
        return outbound.BodyEnd(whole=True)

    def abort(self) -> None:
        """Ends the stream."""
        if not self._is_aborted:
            self._is_aborted = True
            self._engine.streams -= 1


class _Calls:
    """Sends requests of one host to the emulated engines."""

    def __init__(self, *, host: "EngineHost"):
        self._host = host

    async def _arrive(
        self,
        request: inflight.InFlight,
        registration: directory.Registration,
        stage: directory.Stage,
    ) -> Engine | inflight.AttemptEnd:
        """Sends a request; returns its engine unless that refuses it."""
        host, fleet = self._host, self._host.fleet
        sent_at = fleet.now
        is_wanted = host.signals.why_withheld(registration) is None
        if not is_wanted or not request.permit.is_valid(sent_at):
            return inflight.AttemptEnd(
                outcome=attempts.Outcome.WITHHELD, reason="withheld"
            )
        await host.timers.sleep(limitfleet.HOP_S)
        engine = fleet.endpoints[registration.id]
        request.written_at = sent_at
        request.is_prefilling = stage is PREFILL
        engine.arrivals.append((fleet.now, host.name))
        await fleet.hang(host, engine)
        has_refused = engine.refuses(fleet.now, stage)
        if has_refused:
            engine.refusals.append((fleet.now, host.name))
        says_backoff = has_refused and fleet.now < engine.refuses_until
        verdict = dialect.Verdict(
            request_id=None,
            not_run=has_refused,
            misdirected=False,
            limit_per_s=engine.limit,
            backoff_s=engine.backoff_s
            if says_backoff and fleet.reads_signals
            else None,
        )
        await host.timers.sleep(limitfleet.HOP_S)
        host.signals.observe_answer(
            registration,
            verdict,
            kind=endpointlimits.AnswerKind.PREFILL
            if stage is PREFILL
            else endpointlimits.AnswerKind.RUN,
            sent_at=sent_at,
            request_id=request.info.request_id,
        )
        if has_refused:
            return inflight.AttemptEnd(
                outcome=attempts.Outcome.TURNED_AWAY, reason="refused"
            )
        return engine

    async def prefill(
        self, request: inflight.InFlight, registration: directory.Registration
    ) -> dialect.PrefilledBy | inflight.AttemptEnd:
        """Has an engine prefill a prompt."""
        engine = await self._arrive(request, registration, PREFILL)
        if isinstance(engine, inflight.AttemptEnd):
            return engine
        now = self._host.fleet.now
        engine.prefills.append(now)
        ends_at = engine.prefill(request.info.prompt.prompt_tokens, now)
        await self._host.timers.sleep(ends_at - now)
        return dialect.PrefilledBy(address=engine.id, handle="h")

    async def run(
        self,
        request: inflight.InFlight,
        registration: directory.Registration,
        prefilled: dialect.PrefilledBy | None,
    ) -> _Stream | inflight.AttemptEnd:
        """Has an engine decode, after a prefill of its own if needed."""
        engine = await self._arrive(request, registration, DECODE)
        if isinstance(engine, inflight.AttemptEnd):
            return engine
        now, prompt = self._host.fleet.now, request.info.prompt
        engine.streams += 1
        if prefilled is None:
            ends_at = engine.prefill(prompt.prompt_tokens, now)
            await self._host.timers.sleep(ends_at - now)
        else:
            engine.taken += 1
        return _Stream(
            host=self._host, engine=engine, tokens=prompt.output_tokens
        )

    def free(
        self,
        engine: directory.Registration,
        prefilled: dialect.PrefilledBy,
    ) -> None:
        """Does nothing; the memory of engines is not emulated."""


class EngineHost(limitfleet.Host):
    """One start of a host that also orders role changes."""

    table = TABLE

    def __init__(self, *, fleet: "EngineFleet", port: int, zone: str):
        """Starts a host."""
        super().__init__(fleet=fleet, port=port, zone=zone)
        own_name = f"{self.name}/own"
        self._control = stagecontrol.StageControl(
            timers=self.timers,
            holder=own_name,
            actions=fencedactions.FencedActions(
                timers=self.timers,
                turn=orderturn.OrderTurn(holder=own_name, lease_s=3.0),
                topic=ordertopic.OrderTopic(
                    read=fleet.read_orders, append=fleet.append_order
                ),
                log=fakes.EventRecorder().make(),
            ),
            control=stagecontrol.EngineControl(
                report=fleet.report, order=fleet.order
            ),
            may_call=self.permits.acquire_spare,
            guard=self.signals.guard,
            leads=self.gossip.is_leader,
            views=self.chooser.engine_views,
            announce=self._announce,
            log=fleet.log,
            on_broken=fleet.broken.append,
        )
        for service in (self.index, self._control):
            defer.Deferred.fromCoroutine(service.start())

    def _make_forwarder(self, zone: str, log: Any) -> None:
        self.index = placementindex.PlacementIndex(
            timers=self.timers,
            own_name=self.gossip.fleet.present[0],
            find_owners=self.gossip.fleet.find_owners,
            send=self.link.send,
        )
        super()._make_forwarder(zone, log)

    def make_calls(self) -> Any:
        """Returns what sends the host's requests to engines."""
        return _Calls(host=self)

    def read_own(self) -> dict[str, Any]:
        """Returns the host's own load."""
        return self.work.shares()

    def handle_other(self, message: Any) -> None:
        """Handles a message that is not about loads."""
        match message:
            case gatewaymessages.RoleChangeNotice(engine, stage, change_ms):
                self.chooser.record_stage_change(
                    engine, stage, change_ms / 1000
                )
            case (
                gatewaymessages.PermitQuery()
                | gatewaymessages.PermitReply()
                | gatewaymessages.PermitWithdrawal()
            ):
                self.permits.receive(message)
            case _:
                self.index.receive(message)

    def _announce(self, change: Any, change_s: float) -> None:
        notice = gatewaymessages.RoleChangeNotice(
            engine=change.engine.id,
            stage=change.stage,
            change_ms=round(change_s * 1000),
        )
        self.handle_other(notice)
        self.link.broadcast(notice)

    def read_endpoints(self) -> None:
        """Reads the registrations of the engines."""
        for engine in self.fleet.endpoints.values():
            registration = directory.Registration(
                id=engine.id,
                born_ms=engine.born_ms,
                service="s",
                host="10.0.0.1",
                port=1,
                zone="z0",
                slots=SLOTS,
                state=directory.EndpointState.READY,
                cold_s=0.0,
                stage=engine.stage,
                sequence=engine.sequence,
            )
            self._endpoints.put(registration, now=self.timers.now)
        self.chooser.forget_gone()


class EngineFleet(limitfleet.LimitFleet):
    """Hosts, engines and callers with short and long prompts."""

    host_class = EngineHost

    def __init__(
        self,
        *,
        prefillers: int,
        decoders: int,
        short_per_s: float,
        long_per_s: float,
        **options: Any,
    ):
        """Starts all hosts; callers press from `press` on.

        Args:
            prefillers: Engines that prefill at first.
            decoders: Engines that decode at first.
            short_per_s: Short prompts per second.
            long_per_s: Long prompts per second.
            **options: See `LimitFleet`.
        """
        self._stages = [PREFILL] * prefillers + [DECODE] * decoders
        self._numbers = itertools.count(1)
        self._orders: list[bytes] = []
        offered_per_s = short_per_s + long_per_s
        super().__init__(
            limits=[None] * len(self._stages),
            offered_per_s=offered_per_s,
            urgent_fraction=short_per_s / offered_per_s,
            **options,
        )

    def make_endpoint(self, number: int, limit: float | None) -> Engine:
        """Returns an engine."""
        return Engine(id=f"e{number}", limit=limit, stage=self._stages[number])

    def make_request(self, **values: Any) -> CallerRequest:
        """Returns a caller's request."""
        return CallerRequest(fleet=self, uri=b"/a", **values)

    def make_headers(self, priority: int) -> dict[bytes, list[bytes]]:
        """Returns further headers of a request."""
        fields = (next(self._numbers), *TOKENS[priority])
        return {b"prompt": [b"%x %d %d" % fields]}

    # The topic of orders, and the engines' answers to orders.

    async def read_orders(self, since: int) -> Any:
        """Returns the records of the topic from an offset on."""
        return Success(fakes.make_order_records(since, self._orders[since:]))

    async def append_order(self, content: bytes, end: int) -> Any:
        """Appends a record if the topic ends at an offset."""
        if end != len(self._orders):
            return Failure(ordertopic.Moved(end=len(self._orders)))
        self._orders.append(content)
        return Success(ordertopic.Appended(offset=end))

    async def report(self, registration: Any, guard: Any) -> Any:
        """Returns an engine's report."""
        engine = self.endpoints[registration.id]
        return Success(
            stagecontrol.EngineReport(
                stage=engine.stage,
                busy=self.now < engine.changes_until,
                orders=len(engine.orders),
            )
        )

    async def order(self, order: Any, check: Any, guard: Any) -> Any:
        """Has an engine change its role."""
        if not check() or not guard.begin("order"):
            return Failure(outbound.CallFailed(written=False, reason="no"))
        engine = self.endpoints[order.engine.id]
        engine.orders.append(self.now)
        engine.changes_until = self.now + STAGE_CHANGE_S
        self.reactor.callLater(STAGE_CHANGE_S, self._change, engine, order)
        return Success(True)

    def _change(self, engine: Engine, order: Any) -> None:
        engine.stage = order.stage
        engine.sequence += 1
        for host in self.hosts.values():
            self.reactor.callLater(
                self.rng.uniform(0, RECORD_DELAY_S), host.read_endpoints
            )
