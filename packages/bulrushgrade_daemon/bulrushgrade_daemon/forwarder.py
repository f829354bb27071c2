"""Serves callers' requests, each until it has its answer.

The forwarder runs a request's attempts; what follows from each is decided by
`bulrushgrade.attempts`, and who gets the request by `choosing`.
"""

from collections.abc import Callable
import random
import traceback
from typing import Any

import attrs
from twisted.internet import defer
from twisted.web import http

from bulrushgrade import attempts
from bulrushgrade import crashledger
from bulrushgrade import engineadmission
from bulrushgrade import errors
from bulrushgrade import retryshare
from bulrushgrade import routing
from bulrushgrade import workspaces
from bulrushgrade_daemon import answerpass
from bulrushgrade_daemon import choosing
from bulrushgrade_daemon import crashwatch
from bulrushgrade_daemon import dialect as dialect_module
from bulrushgrade_daemon import endpointcalls
from bulrushgrade_daemon import enginework
from bulrushgrade_daemon import frontend
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import requestadmission
from bulrushgrade_daemon import requestlog
from bulrushgrade_daemon import task

MARGIN_S = 0.02
"""Kept from a deadline for the way back to the caller."""

MIN_ATTEMPT_S = 0.05
"""Time that must be left for another attempt to be of use."""

SILENT_S = 1.0
"""Without a word of an endpoint, after which a request that is given up has
the endpoint checked: longer than any usual pause."""


@attrs.frozen(kw_only=True)
class Parts:
    """What the forwarder works with.

    Attributes:
        timers: The timer service.
        admission: Decides which requests are taken.
        dialect: Translates headers.
        chooser: Chooses endpoints.
        work: Takes note of work at engines.
        calls: Sends requests to them.
        crashes: Notices endpoints that end.
        ledger: What is known of crashes of endpoints.
        note_whole: Takes the fingerprint of a request that was at crashes
            and has run to its end.
        log: Gets a line for each decision that is out of the ordinary.
        rng: Source of random choices.
        on_broken: Called with the reason where an invariant is broken.
    """

    timers: Any
    admission: requestadmission.RequestAdmission
    dialect: dialect_module.Dialect
    chooser: choosing.Chooser
    work: enginework.EngineWork
    calls: endpointcalls.EndpointCalls
    crashes: crashwatch.CrashWatch
    ledger: crashledger.CrashLedger
    note_whole: Callable[[str], None]
    log: requestlog.RequestLog
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
        note_begun: Callable[[workspaces.Workspace | None, float], None],
        observe: Callable[[str, float], None] = lambda route, took_s: None,
    ):
        """Makes the service.

        Args:
            parts: What it works with.
            new_share: Returns the retry budget of a service met anew.
            observe: Takes the kind of a route and the seconds that an answer
                took.
            note_begun: Takes whose request an endpoint began to run, and
                when.
        """
        self._timers = parts.timers
        self._dialect = parts.dialect
        self._chooser = parts.chooser
        self._work = parts.work
        self._calls = parts.calls
        self._crashes = parts.crashes
        self._admission = parts.admission
        self._ledger = parts.ledger
        self._note_whole = parts.note_whole
        self._log = parts.log
        self._rng = parts.rng
        self._on_broken = parts.on_broken
        self._new_share = new_share
        self._observe = observe
        self._note_begun = note_begun
        self._shares: dict[str, retryshare.RetryShare] = {}
        self._open: set[inflight.InFlight] = set()
        self._counts: dict[str, int] = {}

    @property
    def open_requests(self) -> int:
        """Requests under way."""
        return len(self._open)

    @property
    def counts(self) -> dict[str, int]:
        """Requests by how they ended, attempts by what came of them."""
        return self._admission.counts | self._counts

    async def start(self) -> None:
        """Opens nothing."""

    async def stop(self) -> None:
        """Closes nothing; whoever stops it waits for open requests."""

    def receive(self, message: Any) -> None:
        """Takes no messages."""

    def dump(self) -> dict[str, Any]:
        """Returns what is under way."""
        return {"open": self.open_requests, "counts": self.counts}

    def handle(self, caller: frontend.CallerRequest) -> None:
        """Takes a request that was read whole."""
        try:
            request = self._admission.admit(caller)
        except errors.BrokenInvariantError:
            raise
        except Exception:
            self._end_broken(caller, None)
            return
        if request is None:
            return
        self._share(request.service).count_request(self._timers.now)
        self._open.add(request)
        running = task.spawn(
            self._serve(request), name="request", on_broken=self._on_broken
        )
        if request not in self._open:
            return
        caller.on_disconnect = running.cancel

        def expire() -> None:
            request.expired = True
            running.cancel()

        left_s = request.left_s(self._timers.now)
        expiry = self._timers.after(left_s - MARGIN_S, expire)
        running.addBoth(lambda result: expiry.cancel() or result)

    async def _serve(self, request: inflight.InFlight) -> None:
        try:
            await self._try_until_answered(request)
        except defer.CancelledError:
            self._end_cancelled(request)
        except errors.BrokenInvariantError:
            raise
        except Exception:
            self._end_broken(request.caller, request)
        finally:
            request.caller.on_disconnect = None
            self._open.discard(request)

    async def _try_until_answered(self, request: inflight.InFlight) -> None:
        while True:
            await self._chooser.query_peers(request)
            endpoint = self._chooser.choose(request)
            if endpoint is None:
                lack = self._chooser.describe_lack(request)
                self._finish(request, None, lack)
                return
            late_s = self._predicted_lateness_s(request)
            if late_s > 0:
                self._finish(request, None, f"would be {late_s:.2f} s late")
                return
            request.endpoint = endpoint
            ended = await self._attempt(request)
            if request.over:
                raise defer.CancelledError()
            if ended is None:
                self._note_answered(request)
                return
            if not await self._goes_on(request, ended):
                self._finish(request, ended, ended.reason)
                return

    def _predicted_lateness_s(self, request: inflight.InFlight) -> float:
        """Returns how much too late the first event is expected to be."""
        if request.plan is None:
            return 0.0
        now = self._timers.now
        waited_s = now - request.caller.arrived_at
        return engineadmission.lateness_s(
            request.plan,
            left_s=request.left_s(now),
            patience_s=request.route.patience_s - waited_s,
        )

    async def _attempt(
        self, request: inflight.InFlight
    ) -> inflight.AttemptEnd | None:
        """Returns None where the caller has got a whole answer."""
        request.sent_at = self._timers.now
        request.answer_began_at = None
        try:
            return await self._read_and_run(request)
        except defer.CancelledError:
            # An endpoint whose host vanished closes no connection; its
            # callers leave, or their time is up.
            if request.silent_s(self._timers.now) >= SILENT_S:
                self._crashes.note(request)
            raise
        finally:
            request.sent_at = None

    async def _read_and_run(
        self, request: inflight.InFlight
    ) -> inflight.AttemptEnd | None:
        """Has engines read a prompt and run it, or an endpoint run it all."""
        if request.plan is None or request.plan.prefill is None:
            return await self._run(request, None)
        engine = request.plan.prefill
        # Whatever fails until it has read is its failure, not the receiver's.
        request.endpoint = engine
        ended = self._work.note_reading(request, engine, reads=True)
        prefilled = None
        try:
            prefilled = await self._calls.prefill(request, engine)
        finally:
            ended(isinstance(prefilled, dialect_module.PrefilledBy))
        if isinstance(prefilled, inflight.AttemptEnd):
            return prefilled
        self._count("prefilled")
        request.read_at = self._timers.now
        try:
            receiver = self._chooser.choose_receiver(request)
            request.endpoint = receiver or request.plan.decode
            if receiver is None:
                return inflight.AttemptEnd(
                    outcome=attempts.Outcome.UNREACHED,
                    reason="no engine left that generates",
                )
            return await self._run(request, prefilled)
        finally:
            if not request.history.begun:
                self._calls.free(engine, prefilled)

    async def _run(
        self,
        request: inflight.InFlight,
        prefilled: dialect_module.PrefilledBy | None,
    ) -> inflight.AttemptEnd | None:
        """Has an endpoint run the request and passes its answer on."""
        endpoint = request.endpoint
        began = self._timers.now
        self._chooser.begin(endpoint)
        ended = self._work.note_reading(
            request, endpoint, reads=prefilled is None
        )
        stream = self._work.begin_stream(request, endpoint)

        def note_events(count: int) -> None:
            self._note_first_run(request, self._timers.now)
            stream.events(count)
            request.pace.note(self._timers.now)

        try:
            sent = await self._calls.run(request, endpoint, prefilled)
            if request.plan is None and _may_have_run(sent):
                self._note_first_run(request, began)
            if isinstance(sent, inflight.AttemptEnd):
                return sent
            request.call = sent
            request.answer_began_at = self._timers.now
            latency_s = request.answer_began_at - began
            failed = await self._pass(request, lambda: ended(True), note_events)
            if failed is None:
                self._chooser.succeeded(endpoint, latency_s)
            return failed
        finally:
            if request.call is not None:
                request.call.abort()
            request.call = None
            self._chooser.end(endpoint)
            if request.is_late:
                self._count("late")
                beliefs = self._work.describe(endpoint)
                self._log.log_late(request, endpoint, beliefs)
            stream.ended()
            ended(False)

    def _note_first_run(self, request: inflight.InFlight, at: float) -> None:
        if not request.is_counted:
            request.is_counted = True
            self._note_begun(request.workspace, at)

    async def _pass(
        self,
        request: inflight.InFlight,
        on_heard: Callable[[], None],
        on_events: Callable[[int], None],
    ) -> inflight.AttemptEnd | None:
        status = request.call.status
        if answerpass.is_failure(status):
            return await answerpass.take_failure(request, self._dialect)
        is_stream = request.route.kind is routing.RequestKind.STREAM
        if is_stream and status == http.OK:
            return await answerpass.pass_events(
                request, self._dialect, on_heard, on_events
            )
        return await answerpass.pass_whole(request, self._dialect, on_heard)

    async def _goes_on(
        self, request: inflight.InFlight, ended: inflight.AttemptEnd
    ) -> bool:
        """Notes an attempt that failed; returns whether another follows."""
        endpoint = request.endpoint
        request.history.note(ended.outcome)
        self._count(f"attempt_{ended.outcome.value}")
        self._chooser.failed(request, endpoint, ended)
        if ended.broke_off:
            self._crashes.note(request)
            await self._crashes.settle(endpoint)
            request.avoid_zones = self._ledger.zones(request.fingerprint)
        again = self._may_try_again(request)
        self._log.log_attempt(request, endpoint, ended, again=again)
        return again

    def _may_try_again(self, request: inflight.InFlight) -> bool:
        now = self._timers.now
        if request.left_s(now) < MIN_ATTEMPT_S:
            return False
        if self._quarantined_s(request) > 0:
            return False
        if not attempts.may_retry(request.route, request.history):
            return False
        if request.history.last is attempts.Outcome.UNREACHED:
            return True
        return self._share(request.service).spend(now)

    def _finish(
        self,
        request: inflight.InFlight,
        ended: inflight.AttemptEnd | None,
        reason: str,
    ) -> None:
        """Ends a request that no endpoint answered."""
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
            caller.refuse(self._return_after_s(request))
        else:
            caller.answer(http.BAD_GATEWAY, [], b"")

    def _end_cancelled(self, request: inflight.InFlight) -> None:
        """Ends a request whose caller has left or whose time is up."""
        if request.caller.is_disconnected:
            self._count("ended_caller_left")
            return
        self._count("ended_timeout")
        self._log.log_timed_out(request)
        if request.history.begun:
            request.caller.abort_connection()
        else:
            request.caller.answer(http.GATEWAY_TIMEOUT, [], b"")

    def _end_broken(
        self, caller: frontend.CallerRequest, request: inflight.InFlight | None
    ) -> None:
        """Ends a request whose own task failed in a way nobody foresaw.

        The process goes on. Its end would cut all other requests, and where
        the request itself is the cause, its next try would end another host.
        """
        self._count("ended_broken")
        self._log.log_broken(request, traceback.format_exc())
        if request is not None and request.history.begun:
            caller.abort_connection()
        else:
            caller.answer(http.BAD_GATEWAY, [], b"")

    def _return_after_s(self, request: inflight.InFlight) -> float:
        quarantined_s = self._quarantined_s(request)
        if quarantined_s > 0:
            return quarantined_s
        return retryshare.choose_retry_after_s(
            request.info.deadline_s,
            self._rng,
            queued_s=request.plan.wait_s if request.plan else 0.0,
        )

    def _quarantined_s(self, request: inflight.InFlight) -> float:
        """Returns how long a request remains quarantined, 0 if it is not."""
        if not len(self._ledger):
            return 0.0
        return self._ledger.left_s(request.fingerprint, self._timers.now)

    def _note_answered(self, request: inflight.InFlight) -> None:
        self._count("answered")
        if len(self._ledger) and self._ledger.involvements(request.fingerprint):
            self._note_whole(request.fingerprint)
        took_s = self._timers.now - request.caller.arrived_at
        self._observe(request.route.kind.value, took_s)

    def _share(self, service: str) -> retryshare.RetryShare:
        share = self._shares.get(service)
        if share is None:
            share = self._new_share()
            self._shares[service] = share
        return share

    def _count(self, what: str) -> None:
        self._counts[what] = self._counts.get(what, 0) + 1


def _may_have_run(sent: outbound.Answer | inflight.AttemptEnd) -> bool:
    """Returns whether an endpoint began, or may have begun, a request."""
    if isinstance(sent, inflight.AttemptEnd):
        return sent.outcome is attempts.Outcome.LOST
    return True
