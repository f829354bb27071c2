"""Takes a caller's request to an endpoint and the answer back.

The forwarder holds a request's state; what follows from it is decided by
`bulrushgrade.attempts`, and who gets it by `bulrushgrade.balance`.
"""

from collections.abc import Callable
import random
from typing import Any

import attrs
from returns.result import Failure
from twisted.internet import defer
from twisted.web import http

from bulrushgrade import attempts
from bulrushgrade import balance
from bulrushgrade import directory as directory_module
from bulrushgrade import engineload
from bulrushgrade import engineplan
from bulrushgrade import eventstream
from bulrushgrade import retryshare
from bulrushgrade import routing
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import dialect as dialect_module
from bulrushgrade_daemon import front
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import task

CONNECT_TIMEOUT_S = 0.3
"""Opening a connection takes a round trip of a few milliseconds; a lost first
packet is sent again after 0.2 s or more. Longer means a dead or cut host."""

BUFFER_BYTES = 262_144
"""Of an answer that is held until it is whole, so that a torn one can be
replaced. What is longer goes out as it arrives."""

MARGIN_S = 0.02
"""Kept from a deadline for the way back to the caller."""

FREE_TIMEOUT_S = 0.5
"""A prompt that is not freed goes by itself some seconds later."""

MIN_ATTEMPT_S = 0.05
"""Time that must be left for another attempt to be of use."""

MISDIRECTED_REQUEST = 421
TOO_MANY_REQUESTS = 429
PROMISES_NOT_RUN = frozenset(
    {
        http.REQUEST_TIMEOUT,
        MISDIRECTED_REQUEST,
        TOO_MANY_REQUESTS,
        http.SERVICE_UNAVAILABLE,
    }
)
"""Statuses that tell a caller that its request has not run and will not."""

RETRY_AFTER_S = 0.3
"""When a refused caller had better return: the time in which a queue of an
endpoint moves on by some requests. Spread by half in both directions so that
callers refused together do not return together."""


@attrs.define(kw_only=True, eq=False)
class _Work:
    """One request under way.

    Attributes:
        caller: The request.
        asked: What its headers say.
        route: Where it goes.
        service: The service that was picked for it.
        deadline: When it has to be answered.
        history: Its attempts.
        avoid: Endpoints that it must not go to again.
        call: The answer that is being read, or None.
        cutter: Cuts its events, for a stream.
        endpoint: Who had it last, or None.
        expired: Whether its deadline has passed.
        plan: Which engines have it, or None for a plain service.
    """

    caller: front.CallerRequest
    asked: dialect_module.Asked
    route: routing.Route
    service: str
    deadline: float
    history: attempts.History = attrs.field(factory=attempts.History)
    avoid: frozenset = frozenset()
    call: outbound.Answer | None = None
    cutter: eventstream.EventCutter = attrs.field(
        factory=eventstream.EventCutter
    )
    endpoint: directory_module.Registration | None = None
    expired: bool = False
    plan: engineplan.Plan | None = None


@attrs.frozen(kw_only=True)
class _Attempt:
    """How an attempt ended where it gave no whole answer.

    Attributes:
        outcome: What is known of it.
        reason: For logs.
        failure: The endpoint's own failure, to be passed on; or None.
    """

    outcome: attempts.Outcome
    reason: str
    failure: tuple[int, dialect_module.Fields, bytes] | None = None


@attrs.frozen(kw_only=True)
class Parts:
    """What the forwarder works with.

    Attributes:
        reactor: The reactor.
        timers: The timer service.
        dialect: Translates headers.
        table: Returns the routes in force, or None before the first.
        endpoints: The endpoints that are known.
        balancer: Picks among them.
        zone: The availability zone of this host.
        log: Gets a line for each decision that is out of the ordinary.
        rng: Source of random choices.
        on_broken: Called with the reason where an invariant is broken.
    """

    reactor: Any
    timers: Any
    dialect: dialect_module.Dialect
    table: Callable[[], routing.RouteTable | None]
    endpoints: directory_module.Directory
    balancer: balance.Balancer
    zone: str
    log: decisionlog.DecisionLog
    rng: random.Random
    on_broken: Callable[[str], None]


class Forwarder:
    """Serves requests until each has its answer."""

    name = "forwarder"
    requires = ("timer",)

    def __init__(
        self,
        *,
        parts: Parts,
        new_share: Callable[[], retryshare.RetryShare],
        meters: Any = None,
    ):
        """Makes the service.

        Args:
            parts: What it works with.
            new_share: Returns the retry budget of a service met anew.
            meters: Latency histograms by route kind, or None.
        """
        self._parts = parts
        self._new_share = new_share
        self._shares: dict[str, retryshare.RetryShare] = {}
        self._planners: dict[str, engineplan.EnginePlanner] = {}
        self._meters = meters
        self._open: set[_Work] = set()
        self._counts: dict[str, int] = {}

    @property
    def open_requests(self) -> int:
        """Requests under way."""
        return len(self._open)

    @property
    def counts(self) -> dict[str, int]:
        """Requests by how they ended, attempts by what came of them."""
        return dict(self._counts)

    async def start(self) -> None:
        """Opens nothing."""

    async def stop(self) -> None:
        """Closes nothing; whoever stops it waits for open requests."""

    def receive(self, message: Any) -> None:
        """Takes no messages."""

    def dump(self) -> dict[str, Any]:
        """Returns what is under way."""
        return {"open": self.open_requests, "counts": self.counts}

    def handle(self, caller: front.CallerRequest) -> None:
        """Takes a request that was read whole."""
        asked = self._parts.dialect.read_asked(caller.requestHeaders)
        table = self._parts.table()
        if table is None:
            self._count("refused_unconfigured")
            self._refuse(caller, asked, None, "no configuration yet")
            return
        host = caller.requestHeaders.getRawHeaders(b"host", [b""])[0]
        route = table.find(host.decode("latin-1"), caller.path.decode("latin-1"))
        if route is None:
            self._count("no_route")
            self._parts.log.note(
                "no_route",
                request=asked.request_id,
                configuration=table.configuration.version,
                hostname=host.decode("latin-1"),
                path=caller.path.decode("latin-1"),
            )
            caller.answer(http.NOT_FOUND, [], b"")
            return
        self._begin(caller, asked, route)

    def _begin(
        self,
        caller: front.CallerRequest,
        asked: dialect_module.Asked,
        route: routing.Route,
    ) -> None:
        waits_s = route.timeout_s
        if asked.deadline_s is not None:
            waits_s = min(waits_s, asked.deadline_s)
        service = routing.pick_service(route, self._parts.rng)
        work = _Work(
            caller=caller,
            asked=asked,
            route=route,
            service=service,
            deadline=caller.arrived_at + waits_s,
        )
        self._share(service).count_request(self._parts.timers.now)
        self._open.add(work)
        running = task.spawn(
            self._serve(work), name="request", on_broken=self._parts.on_broken
        )
        if work not in self._open:
            return
        caller.on_gone = running.cancel

        def expire() -> None:
            work.expired = True
            running.cancel()

        left_s = work.deadline - self._parts.timers.now
        expiry = self._parts.timers.after(left_s - MARGIN_S, expire)
        running.addBoth(lambda result: expiry.cancel() or result)

    async def _serve(self, work: _Work) -> None:
        try:
            await self._try_until_answered(work)
        except defer.CancelledError:
            self._end_cancelled(work)
        finally:
            work.caller.on_gone = None
            self._open.discard(work)

    async def _try_until_answered(self, work: _Work) -> None:
        while True:
            endpoint = self._choose(work)
            if endpoint is None:
                self._finish(work, None, "no endpoint")
                return
            late_s = self._predicted_lateness_s(work)
            if late_s > 0:
                self._finish(work, None, f"would be {late_s:.2f} s too late")
                return
            ended = await self._attempt(work, endpoint)
            if work.caller.gone or work.expired:
                raise defer.CancelledError()
            if ended is None:
                self._count("answered")
                return
            work.history.note(ended.outcome)
            self._count(f"attempt_{ended.outcome.value}")
            self._learn(work, endpoint, ended)
            again = self._may_go_on(work)
            self._parts.log.note(
                "attempt_ended",
                request=work.asked.request_id,
                route=work.route.name,
                endpoint=endpoint.id,
                outcome=ended.outcome.value,
                reason=ended.reason,
                arrivals=work.history.arrivals,
                left_s=round(self._left_s(work), 3),
                again=again,
            )
            if not again:
                self._finish(work, ended, ended.reason)
                return

    def _choose(self, work: _Work) -> directory_module.Registration | None:
        now = self._parts.timers.now
        balancer = self._parts.balancer
        usable = self._parts.endpoints.usable(work.service, now=now)
        traits = self._traits(work.service)
        if traits is None or work.asked.prompt is None:
            work.plan = None
            usable = [
                r
                for r in usable
                if r.stage is not directory_module.Stage.PREFILL
            ]
            return balancer.pick(usable, avoid=work.avoid, now=now)
        work.plan = self._planner(work.service).plan(
            work.asked.prompt,
            balancer.eligible(usable, avoid=work.avoid, now=now),
            traits,
            now=now,
            may_hand_over=work.history.arrivals == 0,
        )
        return work.plan.decode if work.plan else None

    def _predicted_lateness_s(self, work: _Work) -> float:
        if work.plan is None:
            return 0.0
        return work.plan.first_s - self._left_s(work)

    def _traits(self, service: str) -> routing.EngineTraits | None:
        table = self._parts.table()
        found = table.configuration.services.get(service) if table else None
        return found.engine if found else None

    def _planner(self, service: str) -> engineplan.EnginePlanner:
        planner = self._planners.get(service)
        if planner is None:
            planner = engineplan.EnginePlanner(zone=self._parts.zone)
            self._planners[service] = planner
        return planner

    def _learn(
        self,
        work: _Work,
        endpoint: directory_module.Registration,
        ended: _Attempt,
    ) -> None:
        work.avoid |= {endpoint.incarnation}
        if ended.outcome is attempts.Outcome.TURNED_AWAY:
            return
        now = self._parts.timers.now
        if self._parts.balancer.failed(endpoint.incarnation, now=now):
            self._parts.log.note(
                "endpoint_ejected",
                endpoint=endpoint.id,
                service=work.service,
                reason=ended.reason,
            )

    def _may_go_on(self, work: _Work) -> bool:
        if self._left_s(work) < MIN_ATTEMPT_S:
            return False
        if not attempts.may_try_again(work.route, work.history):
            return False
        if work.history.last is attempts.Outcome.UNREACHED:
            return True
        return self._share(work.service).spend(self._parts.timers.now)

    async def _attempt(
        self, work: _Work, endpoint: directory_module.Registration
    ) -> _Attempt | None:
        """Returns None where the caller has got a whole answer."""
        work.endpoint = endpoint
        if work.plan is None or work.plan.prefill is None:
            return await self._run(work, endpoint, None)
        prefilled = await self._prefill(work, work.plan.prefill)
        if isinstance(prefilled, _Attempt):
            return prefilled
        try:
            return await self._run(work, endpoint, prefilled)
        finally:
            if work.history.begun is False:
                self._free(work.plan.prefill, prefilled)

    async def _run(
        self,
        work: _Work,
        endpoint: directory_module.Registration,
        prefilled: dialect_module.PrefilledBy | None,
    ) -> _Attempt | None:
        """Has an endpoint run the request and passes its answer on."""
        balancer = self._parts.balancer
        balancer.begin(endpoint.incarnation)
        began = self._parts.timers.now
        answered = self._note_reading(work, endpoint, prefilled is None)
        try:
            sent = await self._send(
                endpoint,
                lambda: self._outgoing(work, endpoint, prefilled),
            )
            if isinstance(sent, _Attempt):
                return sent
            work.call = sent
            return await self._take_answer(work, endpoint, began, answered)
        finally:
            if work.call is not None:
                work.call.abort()
            work.call = None
            balancer.end(endpoint.incarnation)
            answered(False)

    async def _prefill(
        self, work: _Work, engine: directory_module.Registration
    ) -> dialect_module.PrefilledBy | _Attempt:
        """Has an engine read the prompt for the one that will generate."""
        answered = self._note_reading(work, engine, True)
        try:
            sent = await self._send(
                engine,
                lambda: self._outgoing(work, engine, None, prefill_only=True),
            )
            if isinstance(sent, _Attempt):
                return self._not_begun(sent)
            try:
                return await self._take_prefilled(sent, engine, answered)
            finally:
                sent.abort()
        finally:
            answered(False)

    async def _take_prefilled(
        self,
        answer: outbound.Answer,
        engine: directory_module.Registration,
        answered: Callable[[bool], None],
    ) -> dialect_module.PrefilledBy | _Attempt:
        parts: list[bytes] = []
        end = await answer.read(parts.append)
        found = None
        if end.whole and answer.status == http.OK:
            found = self._parts.dialect.read_prefilled(b"".join(parts))
        if found is None:
            return _Attempt(
                outcome=attempts.Outcome.TURNED_AWAY,
                reason=f"prefill: status {answer.status} {end.reason}",
            )
        answered(True)
        self._count("prefilled")
        return dialect_module.PrefilledBy(
            address=f"{engine.host}:{engine.port}", handle=found.handle
        )

    def _not_begun(self, failed: _Attempt) -> _Attempt:
        """Returns a failed prefill as what it is to the request: not run."""
        if failed.outcome is attempts.Outcome.LOST:
            return attrs.evolve(failed, outcome=attempts.Outcome.TURNED_AWAY)
        return failed

    def _free(
        self,
        engine: directory_module.Registration,
        prefilled: dialect_module.PrefilledBy,
    ) -> None:
        """Frees a prompt that may not have been taken, without waiting."""
        method, uri = self._parts.dialect.free_prefilled(prefilled.handle)
        request = outbound.OutboundRequest(
            method=method,
            uri=uri,
            headers=[(b"host", prefilled.address.encode("ascii"))],
        )
        freeing = outbound.fetch(
            self._parts.reactor,
            engine.host,
            engine.port,
            request,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            timeout_s=FREE_TIMEOUT_S,
            max_bytes=outbound.MAX_REFUSED_BODY_BYTES,
        )
        task.spawn(freeing, name="free", on_broken=self._parts.on_broken)

    def _note_reading(
        self,
        work: _Work,
        engine: directory_module.Registration,
        reads: bool,
    ) -> Callable[[bool], None]:
        """Notes work at an engine; returns what notes how it ended.

        The returned function takes whether an answer began. Only its first
        call counts.
        """
        plan, traits = work.plan, self._traits(work.service)
        if plan is None or traits is None:
            return lambda began: None
        load = self._planner(work.service).load(engine, traits)
        reading = engineload.Reading(
            expected_s=plan.read_s if reads else engineplan.HANDOVER_S,
            since=self._parts.timers.now,
            tokens=plan.read_tokens if reads else 0,
        )
        load.begin(work.asked.prompt if reads else None, reading)

        def ended(began: bool) -> None:
            if began:
                load.answered(reading, engine.stage, self._parts.timers.now)
            else:
                load.dropped(reading)

        return ended

    async def _send(
        self,
        endpoint: directory_module.Registration,
        make: Callable[[], outbound.OutboundRequest],
    ) -> outbound.Answer | _Attempt:
        sent = await outbound.send(
            self._parts.reactor,
            endpoint.host,
            endpoint.port,
            make,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
        if isinstance(sent, Failure):
            failed = sent.failure()
            written = failed.written
            return _Attempt(
                outcome=attempts.Outcome.LOST
                if written
                else attempts.Outcome.UNREACHED,
                reason=failed.reason,
            )
        return sent.unwrap()

    def _outgoing(
        self,
        work: _Work,
        endpoint: directory_module.Registration,
        prefilled: dialect_module.PrefilledBy | None,
        *,
        prefill_only: bool = False,
    ) -> outbound.OutboundRequest:
        sending = dialect_module.Sending(
            endpoint=endpoint,
            left_s=self._left_s(work),
            last_event_id=work.cutter.last_id or work.asked.last_event_id,
            prefill_only=prefill_only,
            prefilled_by=prefilled,
        )
        caller = work.caller
        return outbound.OutboundRequest(
            method=caller.method,
            uri=caller.uri,
            headers=self._parts.dialect.write_fields(
                caller.requestHeaders, sending
            ),
            body=caller.body,
        )

    async def _take_answer(
        self,
        work: _Work,
        endpoint: directory_module.Registration,
        began: float,
        answered: Callable[[bool], None],
    ) -> _Attempt | None:
        answer = work.call
        verdict = self._parts.dialect.read_verdict(
            answer.status, answer.headers
        )
        if verdict.misdirected:
            return _Attempt(
                outcome=attempts.Outcome.MISDIRECTED, reason="misdirected"
            )
        if verdict.not_run:
            return _Attempt(
                outcome=attempts.Outcome.TURNED_AWAY,
                reason=f"status {answer.status}, not run",
            )
        if verdict.request_id not in (None, work.asked.request_id):
            return _Attempt(
                outcome=attempts.Outcome.LOST,
                reason="answer to another request",
            )
        status = answer.status
        if status >= http.INTERNAL_SERVER_ERROR or status in PROMISES_NOT_RUN:
            return await self._take_failure(work)
        latency_s = self._parts.timers.now - began
        is_stream = work.route.kind is routing.RequestKind.STREAM
        if is_stream and status == http.OK:
            ended = await self._pass_stream(work, answered)
        else:
            ended = await self._pass_whole(work)
        if ended is None:
            self._parts.balancer.succeeded(endpoint.incarnation, latency_s)
        return ended

    async def _take_failure(self, work: _Work) -> _Attempt:
        parts: list[bytes] = []
        end = await work.call.read(parts.append)
        if not end.whole:
            return _Attempt(outcome=attempts.Outcome.LOST, reason=end.reason)
        status = work.call.status
        fields = self._parts.dialect.write_answer_fields(work.call.headers)
        failure = (status, fields, b"".join(parts))
        # To the caller these say that nothing ran, which this endpoint does
        # not say.
        if status in PROMISES_NOT_RUN:
            failure = None
        return _Attempt(
            outcome=attempts.Outcome.FAILED,
            reason=f"status {status}",
            failure=failure,
        )

    async def _pass_whole(self, work: _Work) -> _Attempt | None:
        """Sends an answer once it is whole, or as it comes if it is long."""
        caller, answer = work.caller, work.call
        held: list[bytes] = []
        size = 0

        def take(data: bytes) -> None:
            nonlocal size
            size += len(data)
            if work.history.begun:
                caller.write(data)
                return
            held.append(data)
            if size > BUFFER_BYTES:
                self._begin_answer(work)
                caller.write(b"".join(held))

        end = await answer.read(take)
        if not end.whole:
            return _Attempt(outcome=attempts.Outcome.LOST, reason=end.reason)
        if caller.gone:
            return None
        if work.history.begun:
            caller.finish()
        else:
            fields = self._parts.dialect.write_answer_fields(answer.headers)
            caller.answer(answer.status, fields, b"".join(held))
        return None

    async def _pass_stream(
        self, work: _Work, answered: Callable[[bool], None]
    ) -> _Attempt | None:
        """Sends each event when it is whole."""
        caller, cutter = work.caller, work.cutter
        cutter.drop_partial()

        def take(data: bytes) -> None:
            answered(True)
            whole = cutter.feed(data)
            if cutter.overflowed:
                work.call.abort()
            if whole and not caller.gone:
                if not work.history.begun:
                    self._begin_answer(work)
                caller.write(whole)

        end = await work.call.read(take)
        if not end.whole or cutter.partial:
            reason = end.reason or "ended within an event"
            return _Attempt(
                outcome=attempts.Outcome.BROKEN_STREAM, reason=reason
            )
        if caller.gone:
            return None
        if not work.history.begun:
            self._begin_answer(work)
        caller.finish()
        return None

    def _begin_answer(self, work: _Work) -> None:
        work.history.begun = True
        fields = self._parts.dialect.write_answer_fields(work.call.headers)
        work.caller.begin(work.call.status, fields, None)

    def _finish(
        self, work: _Work, ended: _Attempt | None, reason: str
    ) -> None:
        step = attempts.end(work.history)
        self._count(f"ended_{step.value}")
        self._parts.log.note(
            "request_ended",
            request=work.asked.request_id,
            route=work.route.name,
            service=work.service,
            step=step.value,
            reason=reason,
            arrivals=work.history.arrivals,
            runs=work.history.runs,
            endpoints=len(self._parts.endpoints),
            took_s=round(self._parts.timers.now - work.caller.arrived_at, 4),
        )
        if step is attempts.Step.CUT:
            work.caller.cut()
        elif step is attempts.Step.RELAY and ended and ended.failure:
            work.caller.answer(*ended.failure)
        elif step is attempts.Step.REFUSE:
            self._refuse(work.caller, work.asked, work, reason)
        else:
            work.caller.answer(http.BAD_GATEWAY, [], b"")

    def _end_cancelled(self, work: _Work) -> None:
        """Ends a request whose caller has left or whose time is up."""
        if work.caller.gone:
            self._count("ended_caller_left")
            return
        self._count("ended_timeout")
        self._parts.log.note(
            "request_timed_out",
            request=work.asked.request_id,
            route=work.route.name,
            endpoint=work.endpoint.id if work.endpoint else None,
            begun=work.history.begun,
            events=work.cutter.events,
            arrivals=work.history.arrivals,
        )
        if work.history.begun:
            work.caller.cut()
        else:
            work.caller.answer(http.GATEWAY_TIMEOUT, [], b"")

    def _refuse(
        self,
        caller: front.CallerRequest,
        asked: dialect_module.Asked,
        work: _Work | None,
        reason: str,
    ) -> None:
        """Says that nothing ran, and when to come back."""
        after_s = RETRY_AFTER_S * self._parts.rng.uniform(0.5, 1.5)
        if asked.deadline_s is not None:
            after_s = min(after_s, asked.deadline_s / 3)
        fields = [(b"retry-after", b"%.3f" % after_s)]
        caller.answer(http.SERVICE_UNAVAILABLE, fields, b"")
        if work is None:
            self._parts.log.note(
                "request_refused", request=asked.request_id, reason=reason
            )

    def _share(self, service: str) -> retryshare.RetryShare:
        share = self._shares.get(service)
        if share is None:
            share = self._new_share()
            self._shares[service] = share
        return share

    def _left_s(self, work: _Work) -> float:
        return work.deadline - self._parts.timers.now

    def _count(self, what: str) -> None:
        self._counts[what] = self._counts.get(what, 0) + 1
