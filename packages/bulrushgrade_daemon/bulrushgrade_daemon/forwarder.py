"""Serves callers' requests until each is answered.

The forwarder runs a request's attempts. `bulrushgrade.attempts` decides what
follows from each one, and `endpointchooser` chooses their endpoints.
"""

from collections.abc import Callable
import random
import traceback
from typing import Any

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success
from twisted.internet import defer
from twisted.web import http

from bulrushgrade import attempts
from bulrushgrade import crashledger
from bulrushgrade import directory as directory_module
from bulrushgrade import engineadmission
from bulrushgrade import errors
from bulrushgrade import retryshare
from bulrushgrade import routing
from bulrushgrade import streamorigins
from bulrushgrade import workspaces
from bulrushgrade_daemon import answerforwarding
from bulrushgrade_daemon import crashwatch
from bulrushgrade_daemon import dialect as dialect_module
from bulrushgrade_daemon import earlyretries
from bulrushgrade_daemon import endpointcalls
from bulrushgrade_daemon import endpointchooser
from bulrushgrade_daemon import enginework
from bulrushgrade_daemon import frontend
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import originsharing
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import partsharing
from bulrushgrade_daemon import permitservice
from bulrushgrade_daemon import requestadmission
from bulrushgrade_daemon import requestlog
from bulrushgrade_daemon import requestpermits
from bulrushgrade_daemon import task
from bulrushgrade_daemon import usesharing

DEADLINE_MARGIN_S = 0.02
"""Reserved before a deadline for sending the answer to the caller."""

MIN_ATTEMPT_S = 0.05
"""Minimum time left before the deadline for another attempt."""

MIN_SILENCE_S = 1.0
"""Silence after which the endpoint of a cancelled request is checked for a
crash. Longer than any usual pause."""


@attrs.frozen(kw_only=True)
class Dependencies:
    """Services and callbacks that the forwarder uses.

    Attributes:
        timers: The timer service.
        admission: Decides which requests are accepted.
        dialect: Translates headers.
        chooser: Chooses endpoints.
        work: Tracks work at engines.
        calls: Sends requests to endpoints.
        permits: Permits for endpoints that state a limit.
        origins: Knows which software version began a stream.
        crashes: Detects crashes of endpoints.
        ledger: Requests that were in flight at endpoints that crashed.
        parts: Prompt parts that crash endpoints.
        observe_completion: Called with the fingerprint of a request that was
            involved in crashes and has completed.
        log: Gets a line for each decision that is out of the ordinary.
        rng: Source of random choices.
        on_broken: Called with the reason if an invariant is violated.
        uses: Fair shares of workspaces.
    """

    timers: Any
    admission: requestadmission.RequestAdmission
    dialect: dialect_module.Dialect
    chooser: endpointchooser.EndpointChooser
    work: enginework.EngineWork
    calls: endpointcalls.EndpointCalls
    permits: permitservice.PermitService
    origins: originsharing.OriginSharing
    crashes: crashwatch.CrashWatch
    ledger: crashledger.CrashLedger
    parts: partsharing.PartSharing
    observe_completion: Callable[[str], None]
    log: requestlog.RequestLog
    rng: random.Random
    on_broken: Callable[[str], None]
    uses: usesharing.UseSharing = attrs.field(factory=usesharing.make_disabled)


class Forwarder:
    """Serves requests until each is answered."""

    name = "forwarder"
    requires = ("timer",)

    def __init__(
        self,
        *,
        dependencies: Dependencies,
        make_retry_share: Callable[[], retryshare.RetryShare],
        record_run_start: Callable[[workspaces.Workspace | None, float], None],
        observe_latency: Callable[[str, float], None] = lambda route, took_s: (
            None
        ),
        retries_early: Callable[[], bool] = lambda: False,
    ):
        """Creates the service.

        Args:
            dependencies: Services and callbacks that it uses.
            make_retry_share: Returns the retry budget of a new service.
            record_run_start: Called with a request's workspace and the time
                when an endpoint began to run it.
            observe_latency: Called with the kind of a route and the seconds
                that an answer took.
            retries_early: Returns whether attempts at silent endpoints are
                given up.
        """
        self._timers = dependencies.timers
        self._dialect = dependencies.dialect
        self._chooser = dependencies.chooser
        self._work = dependencies.work
        self._calls = dependencies.calls
        self._permits = requestpermits.RequestPermits(
            timers=dependencies.timers,
            permits=dependencies.permits,
            chooser=dependencies.chooser,
        )
        self._origins = dependencies.origins
        self._crashes = dependencies.crashes
        self._admission = dependencies.admission
        self._ledger = dependencies.ledger
        self._parts = dependencies.parts
        self._parts.on_quarantine(self._withdraw_quarantined)
        self._observe_completion = dependencies.observe_completion
        self._log = dependencies.log
        self._rng = dependencies.rng
        self._on_broken = dependencies.on_broken
        self._uses = dependencies.uses
        self._make_retry_share = make_retry_share
        self._observe_latency = observe_latency
        self._record_run_start = record_run_start
        self._retry_shares: dict[str, retryshare.RetryShare] = {}
        self._open: set[inflight.InFlight] = set()
        self._counts: dict[str, int] = {}
        self._early_retries = earlyretries.EarlyRetries(
            timers=dependencies.timers,
            chooser=dependencies.chooser,
            permits=dependencies.permits,
            policy=earlyretries.Policy(
                is_on=retries_early,
                may_run_again=self._may_run_again,
                find_share=self._retry_share,
                open_requests=lambda: self._open,
            ),
            log=dependencies.log,
        )

    @property
    def early_retries(self) -> earlyretries.EarlyRetries:
        """Gives up attempts at silent endpoints."""
        return self._early_retries

    @property
    def open_requests(self) -> int:
        """Number of requests in flight."""
        return len(self._open)

    @property
    def uses(self) -> usesharing.UseSharing:
        """Fair shares of workspaces."""
        return self._uses

    @property
    def counts(self) -> dict[str, int]:
        """Number of requests by how they ended, of attempts by outcome."""
        return self._admission.counts | self._counts

    async def start(self) -> None:
        """Does nothing; requests come through `handle`."""

    async def stop(self) -> None:
        """Does nothing; its owner waits for open requests."""

    def receive(self, message: Any) -> None:
        """Ignores messages."""

    def dump(self) -> dict[str, Any]:
        """Returns open requests, counts, workspaces' shares, early retries."""
        return {
            "open": self.open_requests,
            "counts": self.counts,
            "early_retries": self._early_retries.dump(),
            **self._uses.dump(),
        }

    def handle(self, caller: frontend.CallerRequest) -> None:
        """Serves a request that has been read completely."""
        try:
            request = self._admission.admit(caller)
        except errors.BrokenInvariantError:
            raise
        except Exception:
            self._end_with_internal_error(caller, None)
            return
        if request is None:
            return
        self._retry_share(request.service).count_request(self._timers.now)
        self._open.add(request)
        running = task.spawn(
            self._serve(request), name="request", on_broken=self._on_broken
        )
        if request not in self._open:
            return
        caller.on_disconnect = running.cancel
        request.cancel = running.cancel

        def expire() -> None:
            request.expired = True
            running.cancel()

        left_s = request.left_s(self._timers.now)
        expiry = self._timers.after(left_s - DEADLINE_MARGIN_S, expire)
        running.addBoth(lambda result: expiry.cancel() or result)

    async def _serve(self, request: inflight.InFlight) -> None:
        try:
            await self._try_until_answered(request)
        except defer.CancelledError:
            self._end_cancelled(request)
        except errors.BrokenInvariantError:
            raise
        except Exception:
            self._end_with_internal_error(request.caller, request)
        finally:
            request.caller.on_disconnect = None
            self._permits.release(request)
            self._open.discard(request)

    async def _try_until_answered(self, request: inflight.InFlight) -> None:
        if request.asks_for_rest and not await self._find_origin(request):
            self._count("refused_origin")
            self._finish(request, None, "what began the stream is not known")
            return
        while True:
            await self._chooser.query_peers(request)
            chosen = await self._choose_endpoint(request)
            if isinstance(chosen, Failure):
                self._finish(request, None, chosen.failure())
                return
            request.endpoint = chosen.unwrap()
            ended = await self._attempt(request)
            if request.is_over:
                raise defer.CancelledError()
            if ended is None:
                self._record_answered(request)
                return
            if not await self._handle_failed_attempt(request, ended):
                self._finish(request, ended, ended.reason)
                return

    async def _find_origin(self, request: inflight.InFlight) -> bool:
        """Finds what began a stream; returns whether it may go on there."""
        origin = await self._origins.find(request)
        services = {target.service for target in request.route.targets}
        if origin is None or origin.service not in services:
            return False
        request.origin, request.service = origin, origin.service
        return True

    def _record_origin(self, request: inflight.InFlight) -> None:
        """Records what begins a stream, before its caller gets a byte."""
        if request.origin is None:
            request.origin = streamorigins.Origin(
                service=request.service, software=request.endpoint.software
            )
        self._origins.record(request)

    async def _choose_endpoint(
        self, request: inflight.InFlight
    ) -> Result[directory_module.Registration, str]:
        """Returns the endpoint of the next attempt, or why there is none.

        The request then has the permit for the endpoint that gets it first.
        """
        while True:
            endpoint = self._chooser.choose(request)
            self._early_retries.observe_plan(request, endpoint)
            if endpoint is None:
                self._permits.note_refusal(request)
                return Failure(self._chooser.explain_no_endpoint(request))
            if not self._uses.admit(request):
                return Failure("over its workspace's share")
            late_s = self._predicted_lateness_s(request)
            if late_s > 0:
                return Failure(f"would be {late_s:.2f} s late")
            if await self._permits.acquire_for_plan(request, endpoint):
                return Success(endpoint)

    async def _choose_decoder(
        self, request: inflight.InFlight
    ) -> directory_module.Registration | None:
        """Returns the decoder of a prefilled prompt, with its permit."""
        decoder = self._permits.use_reservation(request)
        if decoder is not None:
            return decoder
        while True:
            decoder = self._chooser.choose_decoder(request)
            if decoder is None or await self._permits.acquire(request, decoder):
                return decoder

    def _predicted_lateness_s(self, request: inflight.InFlight) -> float:
        """Returns by how much the first event is expected to be late."""
        if request.plan is None:
            return 0.0
        now = self._timers.now
        if request.origin is not None:
            # It has begun, and can go on in all of the time that is left.
            return request.plan.first_event_s - request.left_s(now)
        waited_s = now - request.caller.arrived_at
        return engineadmission.lateness_s(
            request.plan,
            left_s=request.left_s(now),
            patience_s=request.route.patience_s - waited_s,
        )

    async def _attempt(
        self, request: inflight.InFlight
    ) -> inflight.AttemptEnd | None:
        """Runs one attempt; returns None if the caller got a whole answer."""
        request.sent_at = self._timers.now
        request.written_at = request.answer_began_at = None
        request.is_prefilling = False
        try:
            ended = await self._early_retries.run(
                request, self._prefill_and_run(request)
            )
            if ended is not None and ended.is_retry_paid:
                self._observe_silence(request, ended)
            return ended
        except defer.CancelledError:
            self._check_silent_endpoint(request)
            raise
        finally:
            request.sent_at = None

    def _check_silent_endpoint(self, request: inflight.InFlight) -> None:
        # An endpoint whose host vanished closes no connection: its callers
        # disconnect or reach their deadlines.
        if request.silence_s(self._timers.now) >= MIN_SILENCE_S:
            self._crashes.observe_broken_answer(request)

    def _observe_silence(
        self, request: inflight.InFlight, ended: inflight.AttemptEnd
    ) -> None:
        """Takes in that an attempt was given up, which may have run."""
        self._check_silent_endpoint(request)
        if request.plan is None and _may_have_run(ended):
            self._record_first_run(request, request.written_at)

    async def _prefill_and_run(
        self, request: inflight.InFlight
    ) -> inflight.AttemptEnd | None:
        """Runs a request, with its prompt prefilled elsewhere if so planned."""
        if request.plan is None or request.plan.prefill is None:
            return await self._run(request, None)
        engine = request.plan.prefill
        # Until the prefill has ended, a failure is the prefiller's and not
        # the decoder's.
        request.endpoint = engine
        end_work = self._work.begin_work(request, engine, prefills=True)
        prefilled = None
        try:
            prefilled = await self._calls.prefill(request, engine)
        finally:
            end_work(isinstance(prefilled, dialect_module.PrefilledBy))
        if isinstance(prefilled, inflight.AttemptEnd):
            return prefilled
        self._count("prefilled")
        request.prefilled_at = self._timers.now
        self._early_retries.observe_prefilled(request)
        try:
            return await self._run_prefilled(request, prefilled)
        finally:
            if not request.history.begun:
                self._calls.free(engine, prefilled)

    async def _run_prefilled(
        self,
        request: inflight.InFlight,
        prefilled: dialect_module.PrefilledBy,
    ) -> inflight.AttemptEnd | None:
        """Runs a request whose prompt is prefilled.

        The failure of a link must not cost another prefill: the next path is
        tried with the same one.
        """
        while True:
            decoder = await self._choose_decoder(request)
            request.endpoint = decoder or request.plan.decode
            if decoder is None:
                return inflight.AttemptEnd(
                    outcome=attempts.Outcome.UNTAKEN,
                    reason="no decode engine available",
                )
            ended = await self._run(request, prefilled)
            if ended is None or ended.outcome is not attempts.Outcome.NO_LINK:
                return ended
            if request.history.unreached + 1 >= attempts.MAX_UNREACHED:
                return ended
            self._record_failed_attempt(request, decoder, ended)
            self._log.log_attempt(request, decoder, ended, again=True)

    async def _run(
        self,
        request: inflight.InFlight,
        prefilled: dialect_module.PrefilledBy | None,
    ) -> inflight.AttemptEnd | None:
        """Has an endpoint run the request and forwards its answer."""
        endpoint = request.endpoint
        began = self._timers.now
        request.events_before = request.splitter.events
        self._chooser.begin(endpoint)
        end_work = self._work.begin_work(
            request, endpoint, prefills=prefilled is None
        )
        stream = self._work.begin_stream(request, endpoint)

        try:
            sent = await self._calls.run(request, endpoint, prefilled)
            if request.plan is None and _may_have_run(sent):
                self._record_first_run(request, began)
            if isinstance(sent, inflight.AttemptEnd):
                return sent
            if request.last_event_id is not None:
                self._log.log_resuming(request, endpoint)
            if request.relay is not None:
                self._count("relayed")
                self._log.log_relayed(request, endpoint)
            request.endpoint_answer = sent
            request.answer_began_at = self._timers.now
            latency_s = request.answer_began_at - began
            failed = await self._forward_answer(
                request,
                lambda: end_work(True),
                lambda count: self._observe_events(request, stream, count),
            )
            if failed is None:
                self._chooser.observe_success(endpoint, latency_s)
                self._observe_written_answer(request, sent.status)
            return failed
        finally:
            if request.endpoint_answer is not None:
                request.endpoint_answer.abort()
            request.endpoint_answer = None
            self._chooser.end(endpoint)
            if request.is_late:
                self._count("late")
                estimates = self._work.describe(endpoint)
                self._log.log_late(request, endpoint, estimates)
            stream.ended()
            end_work(False)

    def _observe_events(
        self,
        request: inflight.InFlight,
        stream: enginework.StreamObserver,
        count: int,
    ) -> None:
        self._record_first_run(request, self._timers.now)
        stream.events(count)
        self._early_retries.observe_event(request)
        request.pace.observe_events(self._timers.now)

    def _observe_written_answer(
        self, request: inflight.InFlight, status: int
    ) -> None:
        """Takes in that an endpoint has written a whole answer to a prompt.

        An error says nothing of the prompt, and neither does a stream without
        events of its own: the rest of one that had ended.
        """
        is_stream = request.route.kind is routing.RequestKind.STREAM
        has_events = request.splitter.events > request.events_before
        if status == http.OK and (has_events or not is_stream):
            self._parts.observe_completion(
                request, began_at=request.answer_began_at
            )

    def _record_first_run(self, request: inflight.InFlight, at: float) -> None:
        if not request.is_counted:
            request.is_counted = True
            self._uses.observe_served(request)
            self._record_run_start(request.workspace, at)

    async def _forward_answer(
        self,
        request: inflight.InFlight,
        on_arrival: Callable[[], None],
        on_events: Callable[[int], None],
    ) -> inflight.AttemptEnd | None:
        status = request.endpoint_answer.status
        self._early_retries.observe_head(request)
        if answerforwarding.is_failure(status):
            return await answerforwarding.read_failure(request, self._dialect)
        is_stream = request.route.kind is routing.RequestKind.STREAM
        if request.history.begun and status != http.OK:
            return inflight.AttemptEnd(
                outcome=attempts.Outcome.FAILED,
                reason=f"status {status} for the rest of a stream",
            )
        if is_stream and status == http.OK:
            return await answerforwarding.forward_events(
                request,
                self._dialect,
                on_begin=lambda: self._record_origin(request),
                on_arrival=on_arrival,
                on_events=on_events,
            )
        return await answerforwarding.forward_whole(
            request, self._dialect, on_arrival
        )

    async def _handle_failed_attempt(
        self, request: inflight.InFlight, ended: inflight.AttemptEnd
    ) -> bool:
        """Records a failed attempt; returns whether to start another one."""
        endpoint = request.endpoint
        self._record_failed_attempt(request, endpoint, ended)
        self._early_retries.observe_end(request, ended)
        if ended.connection_lost:
            self._crashes.observe_broken_answer(request)
            await self._crashes.wait_for_check(endpoint)
            request.avoid_zones = self._ledger.zones(request.fingerprint)
        again = self._may_retry(request, ended)
        self._log.log_attempt(request, endpoint, ended, again=again)
        return again

    def _record_failed_attempt(
        self,
        request: inflight.InFlight,
        endpoint: directory_module.Registration,
        ended: inflight.AttemptEnd,
    ) -> None:
        request.history.note(ended.outcome)
        self._count(f"attempt_{ended.outcome.value}")
        if ended.outcome is attempts.Outcome.NO_LINK:
            request.prefers_relay = True
        self._chooser.observe_failed_attempt(request, endpoint, ended)

    def _may_retry(
        self, request: inflight.InFlight, ended: inflight.AttemptEnd
    ) -> bool:
        if not self._may_run_again(request, request.history):
            return False
        if ended.is_retry_paid or request.history.last in attempts.NOT_SENT:
            return True
        return self._retry_share(request.service).spend(self._timers.now)

    def _may_run_again(
        self, request: inflight.InFlight, history: attempts.AttemptHistory
    ) -> bool:
        """Returns whether a history allows another attempt, if paid for."""
        if request.left_s(self._timers.now) < MIN_ATTEMPT_S:
            return False
        if self._quarantined_s(request) > 0:
            return False
        if not self._parts.may_retry(request):
            return False
        if not attempts.may_retry(request.route, history):
            return False
        return not history.begun or self._may_go_on(request)

    def _may_go_on(self, request: inflight.InFlight) -> bool:
        """Returns whether another run may go on with a begun answer.

        Only events can be resumed, and only if it is certain what made them.
        """
        is_stream = request.origin is not None
        return is_stream and not self._origins.is_disputed(request)

    def _finish(
        self,
        request: inflight.InFlight,
        ended: inflight.AttemptEnd | None,
        reason: str,
    ) -> None:
        """Ends a request that no endpoint answered completely."""
        step = attempts.final_step(request.history)
        self._count(f"ended_{step.value}")
        self._log.log_ended(request, step, reason)
        caller = request.caller
        if step is attempts.NextStep.CUT:
            caller.abort_connection()
        elif step is attempts.NextStep.RELAY and ended and ended.failure:
            failure = ended.failure
            caller.answer(failure.status, failure.fields, failure.body)
        elif step is attempts.NextStep.REFUSE:
            caller.refuse(self._choose_retry_after_s(request))
        else:
            caller.answer(http.BAD_GATEWAY, [], b"")

    def _withdraw_quarantined(self) -> None:
        """Ends requests whose prompts are quarantined before they can begin.

        They wait at endpoints that would crash with them.
        """
        for request in list(self._open):
            if request.endpoint is None or request.cancel is None:
                continue
            if request.sent_at is None or request.answer_began_at is not None:
                continue
            if self._parts.withholds(request, request.endpoint):
                request.is_withdrawn = True
                request.cancel()

    def _end_withdrawn(self, request: inflight.InFlight) -> None:
        ended = inflight.AttemptEnd(
            outcome=attempts.Outcome.LOST, reason="prompt part quarantined"
        )
        if request.is_prefilling or request.written_at is None:
            ended = attrs.evolve(ended, outcome=attempts.Outcome.WITHHELD)
        request.history.note(ended.outcome)
        self._finish(request, ended, ended.reason)

    def _end_cancelled(self, request: inflight.InFlight) -> None:
        """Ends a request that was cancelled while it was served."""
        if request.caller.is_disconnected:
            self._count("ended_caller_left")
            return
        if request.is_withdrawn:
            self._end_withdrawn(request)
            return
        self._count("ended_timeout")
        self._log.log_timed_out(request)
        if request.history.begun:
            request.caller.abort_connection()
        else:
            request.caller.answer(http.GATEWAY_TIMEOUT, [], b"")

    def _end_with_internal_error(
        self, caller: frontend.CallerRequest, request: inflight.InFlight | None
    ) -> None:
        """Ends a request whose task raised an unexpected exception.

        The process keeps running. Stopping it would cut all other requests,
        and if the request itself causes the error, the caller's retry would
        stop another host.
        """
        self._count("ended_broken")
        self._log.log_broken(request, traceback.format_exc())
        if request is not None and request.history.begun:
            caller.abort_connection()
        else:
            caller.answer(http.BAD_GATEWAY, [], b"")

    def _choose_retry_after_s(self, request: inflight.InFlight) -> float:
        quarantined_s = self._quarantined_s(request)
        if quarantined_s > 0:
            return quarantined_s
        blame = self._parts.find_blame(request)
        if blame is not None:
            return self._parts.count_refusal(blame)
        if request.share_retry_s is not None:
            return request.share_retry_s
        if not self._chooser.has_room(request):
            self._permits.note_refusal(request)
        if request.permit_retry_s is not None:
            return request.permit_retry_s
        return retryshare.choose_retry_after_s(
            request.info.deadline_s,
            self._rng,
            queued_s=request.plan.wait_s if request.plan else 0.0,
        )

    def _quarantined_s(self, request: inflight.InFlight) -> float:
        """Returns how long a request remains quarantined, 0 if it isn't."""
        if not len(self._ledger):
            return 0.0
        return self._ledger.left_s(request.fingerprint, self._timers.now)

    def _record_answered(self, request: inflight.InFlight) -> None:
        self._count("answered")
        if len(self._ledger):
            self._record_completed_after_crash(request)
        took_s = self._timers.now - request.caller.arrived_at
        self._observe_latency(request.route.kind.value, took_s)

    def _record_completed_after_crash(self, request: inflight.InFlight) -> None:
        crashes = len(self._ledger.involvements(request.fingerprint))
        if crashes:
            self._log.log_completed_after_crash(request, crashes)
            self._observe_completion(request.fingerprint)

    def _retry_share(self, service: str) -> retryshare.RetryShare:
        share = self._retry_shares.get(service)
        if share is None:
            share = self._make_retry_share()
            self._retry_shares[service] = share
        return share

    def _count(self, what: str) -> None:
        self._counts[what] = self._counts.get(what, 0) + 1


def _may_have_run(sent: outbound.Answer | inflight.AttemptEnd) -> bool:
    """Returns whether an endpoint began, or may have begun, a request."""
    if isinstance(sent, inflight.AttemptEnd):
        return sent.outcome is attempts.Outcome.LOST
    return True
