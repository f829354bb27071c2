"""Carries a model request from its place to its whole answer."""

from collections.abc import Callable
import itertools
from typing import Any

import attrs
from returns.result import Failure
from twisted.internet import defer

from bulrushgrade import answer as answer_module
from bulrushgrade import document
from bulrushgrade import servicespec
from bulrushgrade import work as work_module
from bulrushgrade_daemon import engine
from bulrushgrade_daemon import metrics
from bulrushgrade_daemon import placementservice
from bulrushgrade_daemon import refusal
from bulrushgrade_daemon import request
from bulrushgrade_daemon import silence

# Progress is told to the scheduler in steps: one call a token would cost more
# than the relay itself.
PROGRESS_TOKENS = 16


@attrs.define(kw_only=True, eq=False)
class ModelJob:
    """One open request for a model.

    Attributes:
        request_id: Unique in the system, made by this host.
        caller_id: The id that the caller gave, or the same.
        completion_request: What the caller sent.
        service: The document that it falls under.
        model: The model that it runs on.
        limits: Its deadline class.
        work: The request as decisions see it.
        arrived_s: When it came.
        on_event: Takes each event that the caller is to see.
        answer: How far the answer has come.
        stream: The running attempt's stream.
        endpoint: The running attempt's engine.
        attempt_id: The running attempt's id.
        caller_disconnected: Whether the caller has left.
        paused: Whether the caller does not take more for now.
        maybe_ran: Whether an attempt may have run at an engine.
        cached_tokens: Prompt tokens that the engine had cached, if it said.
        watchdog: Notices when the running attempt goes silent.
    """

    request_id: str
    caller_id: str
    completion_request: request.CompletionRequest
    service: document.ServiceDocument
    model: str
    limits: servicespec.DeadlineClass
    work: work_module.Work
    arrived_s: float
    on_event: Callable[[engine.Event], None]
    answer: answer_module.Answer = attrs.field(factory=answer_module.Answer)
    stream: engine.EngineStream | None = None
    endpoint: str = ""
    attempt_id: str = ""
    caller_disconnected: bool = False
    paused: bool = False
    maybe_ran: bool = False
    cached_tokens: int | None = None
    watchdog: silence.SilenceWatch | None = None

    def pause(self) -> None:
        """Stops reading from the engine while the caller is behind."""
        self.paused = True
        if self.stream is not None:
            self.watchdog.set_paused(True)
            self.stream.pause()

    def resume(self) -> None:
        """Reads on."""
        self.paused = False
        if self.stream is not None:
            self.watchdog.set_paused(False)
            self.stream.resume()


@attrs.frozen(kw_only=True)
class LatencyHistograms:
    """Latencies as callers meet them, from arrival on, in seconds.

    Attributes:
        first_token: Until the first token.
        whole_answer: Until the end of a whole answer.
    """

    first_token: metrics.Histogram
    whole_answer: metrics.Histogram


class Relay:
    """Runs attempts until a request has its whole answer or is given up."""

    name = "relay"
    requires = ("timer", "engines", "placing")

    def __init__(
        self,
        *,
        timers: Any,
        engines: engine.EngineClient,
        placement: placementservice.PlacementService,
        latency_histograms: LatencyHistograms,
    ):
        self._latency_histograms = latency_histograms
        self._timers = timers
        self._engines = engines
        self._placement = placement
        self._jobs: dict[str, ModelJob] = {}
        self._counts = dict.fromkeys(
            (
                "whole", "refused", "lost_attempts", "resumed", "tokens",
                "duplicate_events", "stray_events", "caller_gone", "late",
            ),
            0,
        )  # fmt: skip

    @property
    def open_jobs(self) -> int:
        """How many requests are open."""
        return len(self._jobs)

    @property
    def counts(self) -> dict[str, int]:
        """The counters, by name."""
        return self._counts

    async def start(self) -> None:
        """Needs nothing opened."""

    async def stop(self) -> None:
        """Ends nothing: the callers' service has waited for open requests."""

    def receive(self, message: Any) -> None:
        """Takes no messages."""

    def dump(self) -> dict[str, Any]:
        """Returns the counters and each open request."""
        return {
            "counts": dict(self._counts),
            "open": [
                {
                    "request": job.request_id,
                    "service": job.service.service,
                    "endpoint": job.endpoint,
                    "tokens": job.answer.tokens,
                    "age_s": self._timers.now - job.arrived_s,
                }
                for job in itertools.islice(self._jobs.values(), 200)
            ],
        }

    def cancel(self, job: ModelJob) -> None:
        """Notes that the caller is gone: its engine must not work on."""
        job.caller_disconnected = True
        self._counts["caller_gone"] += 1
        if job.stream is not None:
            job.stream.end(engine.Lost(reason="caller gone"))
        self._placement.cancel(job.request_id)

    async def run(self, job: ModelJob) -> refusal.Refusal | None:
        """Returns None once the caller has its whole answer, or a refusal.

        Args:
            job: The request; its `on_event` gets the events meanwhile.
        """
        self._jobs[job.request_id] = job
        deadline = self._timers.after(
            max(0.0, job.work.deadline - self._timers.now),
            lambda: self._expire(job),
        )
        try:
            refused = await self._run(job)
        except defer.CancelledError:
            # The caller left while the request was queued.
            refused = _refuse_disconnected()
        finally:
            deadline.cancel()
            del self._jobs[job.request_id]
        if refused is None:
            took_s = self._timers.now - job.arrived_s
            self._latency_histograms.whole_answer.observe(took_s)
        self._counts["whole" if refused is None else "refused"] += 1
        self._counts["tokens"] += job.answer.tokens
        self._counts["duplicate_events"] += job.answer.duplicates
        self._counts["stray_events"] += job.answer.foreign_events
        return refused

    async def _run(self, job: ModelJob) -> refusal.Refusal | None:
        attempts = itertools.count(1)
        placed = await self._placement.offer(job.work)
        while isinstance(placed, work_module.Placed):
            outcome = await self._attempt(job, placed, next(attempts))
            if isinstance(outcome, engine.Ended) and job.answer.end():
                self._finish(job, placementservice.COMPLETE)
                return None
            final = self._find_final_refusal(job, outcome)
            if final is not None:
                return final
            self._counts["lost_attempts"] += 1
            placed = await self._placement.retry(
                job.request_id,
                job.endpoint,
                job.answer.tokens,
                started=not isinstance(outcome, engine.NotStarted),
            )
        return _refuse_by_decision(placed, job)

    def _find_final_refusal(
        self, job: ModelJob, outcome: engine.StreamOutcome
    ) -> refusal.Refusal | None:
        """Returns the refusal that ends a request, or None to try again."""
        if job.caller_disconnected:
            return _refuse_disconnected()
        if isinstance(outcome, engine.Rejected):
            self._finish(job, placementservice.COMPLETE)
            return refusal.Refusal(
                status=outcome.status,
                code="rejected",
                message=outcome.message,
                ran=refusal.RunStatus.UNKNOWN,
            )
        job.maybe_ran |= not isinstance(outcome, engine.NotStarted)
        if self._timers.now >= job.work.deadline:
            self._counts["late"] += 1
            self._finish(job, placementservice.FAILED)
            return _refuse_late(job)
        # What must not be repeated ends here, unless it is certain that the
        # engine did not start: its work may be done, and only its answer
        # lost.
        if not job.work.repeatable and job.maybe_ran:
            self._finish(job, placementservice.FAILED)
            return refusal.outcome_unknown()
        return None

    async def _attempt(
        self, job: ModelJob, placed: work_module.Placed, number: int
    ) -> engine.StreamOutcome:
        job.endpoint = placed.endpoint
        job.attempt_id = f"{job.request_id}.{number}"
        body = self._build_body(job, placed)
        if placed.decode_endpoint is not None:
            prefilled = await self._prefill(job, placed, body)
            if not isinstance(prefilled, dict):
                return prefilled
            body = prefilled
        stream = engine.EngineStream(
            on_event=lambda event: self._handle_event(job, event)
        )
        job.stream = stream
        job.watchdog = silence.SilenceWatch(
            timers=self._timers,
            stream=stream,
            deadline=job.work.deadline,
            first_token_s=placed.first_token_s,
            between_tokens_s=job.limits.between_tokens_s or 0.0,
        )
        call = engine.EngineCall(
            attempt_id=job.attempt_id,
            request_id=job.caller_id,
            address=job.endpoint,
            path=job.completion_request.path,
            body=body,
        )
        try:
            outcome = await self._engines.run_stream(call, stream)
        finally:
            job.stream = None
            job.watchdog.stop()
            job.watchdog = None
        if isinstance(outcome, engine.Lost):
            self._engines.cancel(job.endpoint, job.attempt_id)
        return outcome

    def _build_body(
        self, job: ModelJob, placed: work_module.Placed
    ) -> dict[str, Any]:
        body = dict(job.completion_request.fields)
        body["model"] = job.model
        body["stream"] = True
        body["priority"] = placed.priority
        resume = job.answer.begin(job.attempt_id)
        if resume:
            body["resume_tokens"] = resume
            self._counts["resumed"] += 1
        return body

    async def _prefill(
        self,
        job: ModelJob,
        placed: work_module.Placed,
        body: dict[str, Any],
    ) -> dict[str, Any] | engine.StreamOutcome:
        """Reads the prompt at one engine for another to generate from."""
        call = engine.EngineCall(
            attempt_id=f"{job.attempt_id}p",
            request_id=job.caller_id,
            address=placed.endpoint,
            path=job.completion_request.path,
            body={**body, "stream": False, "kv_export": True},
        )
        left_s = job.work.deadline - self._timers.now
        timeout_s = silence.first_limit_s(placed.first_token_s, left_s)
        handle = await self._engines.prefill(call, timeout_s)
        if job.caller_disconnected:
            self._engines.cancel(placed.endpoint, call.attempt_id)
            return engine.Lost(reason="caller gone")
        if isinstance(handle, Failure):
            return handle.failure()
        self._placement.prefill_done(job.request_id)
        # The prompt was read: whatever the other engine answers, the request
        # has run in part.
        job.maybe_ran = True
        job.endpoint = placed.decode_endpoint
        prefilled = {"address": placed.endpoint, "handle": handle.unwrap()}
        return {**body, "kv_import": prefilled}

    def _handle_event(self, job: ModelJob, event: engine.Event) -> bool:
        finish = event.finish_reason is not None
        action = job.answer.take(
            event.attempt_id,
            event.index,
            has_token=event.text is not None,
            finish=finish,
        )
        if action is not answer_module.EventAction.DELIVER:
            return action is answer_module.EventAction.DROP
        job.watchdog.progress()
        if event.usage is not None:
            job.cached_tokens = _read_cached_tokens(event.usage)
        tokens = job.answer.tokens
        if tokens == 1 and event.text is not None:
            self._placement.first_token(job.request_id)
            waited_s = self._timers.now - job.arrived_s
            self._latency_histograms.first_token.observe(waited_s)
        elif tokens % PROGRESS_TOKENS == 0:
            self._placement.tokens(job.request_id, tokens)
        job.on_event(event)
        return True

    def _expire(self, job: ModelJob) -> None:
        # The answer can't be in time any more: the engine is freed and the
        # caller told now, not when the engine would have been done.
        if job.stream is not None:
            job.stream.end(engine.Lost(reason="deadline"))

    def _finish(self, job: ModelJob, outcome: str) -> None:
        self._placement.tokens(job.request_id, job.answer.tokens)
        self._placement.finished(job.request_id, outcome, job.cached_tokens)


def _read_cached_tokens(usage: dict[str, Any]) -> int | None:
    cached = usage.get("cached_tokens")
    return cached if isinstance(cached, int) and cached >= 0 else None


def _refuse_disconnected() -> refusal.Refusal:
    return refusal.Refusal(
        status=499,
        code="caller_gone",
        message="the caller has left",
        ran=refusal.RunStatus.UNKNOWN,
    )


def _refuse_late(job: ModelJob) -> refusal.Refusal:
    ran = (
        refusal.RunStatus.UNKNOWN
        if job.maybe_ran
        else refusal.RunStatus.NOT_RUN
    )
    return refusal.deadline_exceeded(ran)


def _refuse_by_decision(
    refused: work_module.Refused, job: ModelJob
) -> refusal.Refusal:
    ran = (
        refusal.RunStatus.UNKNOWN
        if job.maybe_ran
        else refusal.RunStatus.NOT_RUN
    )
    return refusal.from_decision(refused, ran)
