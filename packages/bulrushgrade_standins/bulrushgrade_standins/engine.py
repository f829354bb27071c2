"""A stand-in for a model engine.

It serves completions from a batch that runs in virtual time, publishes load
reports and cache events with a delay, carries out orders, and injects faults
at a chosen token.
"""

import collections
import itertools
import time
from typing import Any

import attrs
import klein
from returns.result import Failure
from twisted.internet import defer
from twisted.internet import reactor

from bulrushgrade_standins import attempt as attempts
from bulrushgrade_standins import batch
from bulrushgrade_standins import change
from bulrushgrade_standins import completion
from bulrushgrade_standins import kvcache
from bulrushgrade_standins import ledger
from bulrushgrade_standins import server

# Steps shorter than this run several at a time, with one write per stream for
# all of them, because the number of writes limits the tokens per second.
_TICK_S = 0.005
# How far behind the clock a batch may fall in a busy process and catch up.
_MAX_CATCH_UP_S = 0.05
_KV_TOKENS_PER_S = 200_000.0
_MAX_LOAD_SAMPLES = 1000


@attrs.define(kw_only=True)
class EngineFaults(attempts.StreamFaults):
    """Faults of the engine, in addition to those of its streams.

    Attributes:
        slow_factor: Factor on the duration of each step.
        refuse: Rejects new work as not started.
        silent: Answers nothing, except on the stand-in's own routes.
        crash_changes: How many of the next changes crash partway.
        down_s: Downtime after such a crash, in seconds.
    """

    slow_factor: float = 1.0
    refuse: bool = False
    silent: bool = False
    crash_changes: int = 0
    down_s: float = 1.0


@attrs.frozen(kw_only=True)
class EngineSettings:
    """Settings of a stand-in engine.

    Attributes:
        start: The initial role, model, version and adapters.
        limits: Speed and capacity of the engine.
        changes: How the engine handles orders.
        speed: Virtual seconds of the batch per real second.
        load_lag_s: Age of the values in a load report.
        cache_lag_s: Age at which cache events are published.
    """

    start: change.Wanted = change.Wanted()
    limits: batch.Limits = batch.Limits()
    changes: change.Settings = change.Settings()
    speed: float = 1.0
    load_lag_s: float = 0.2
    cache_lag_s: float = 0.2


class Engine:
    """A model engine and the HTTP app that serves it."""

    def __init__(self, *, settings: EngineSettings):
        self._settings = settings
        self._ledger = ledger.Ledger()
        self._faults = EngineFaults()
        self._cache = batch.PrefixCache(
            capacity_tokens=settings.limits.cache_tokens
        )
        self._batch = batch.Batch(limits=settings.limits, cache=self._cache)
        self._attempts: dict[str, attempts.Attempt] = {}
        self._by_sequence: dict[batch.Sequence, attempts.Attempt] = {}
        self._kv_exports = kvcache.KvExports()
        self._numbers = itertools.count()
        self._changes = change.OrderExecutor(
            start=settings.start,
            settings=settings.changes,
            ledger_entries=self._ledger,
            is_idle=lambda: not self._attempts,
            next_crash_s=self._next_crash_s,
            on_changed=self._on_changed,
        )
        self._tick: Any = None
        self._due_s = 0.0
        self._samples: collections.deque[tuple[float, dict]] = (
            collections.deque(maxlen=_MAX_LOAD_SAMPLES)
        )
        self._idle_waiters: list[defer.Deferred] = []
        self._app = klein.Klein()
        self._add_routes()

    def _add_routes(self) -> None:
        route = self._app.route
        for path in ("/v1/completions", "/v1/chat/completions"):
            route(path, methods=["POST"], endpoint=path)(self._post_completion)
        cancel_path = "/v1/attempts/<attempt_id>"
        route(cancel_path, methods=["DELETE"])(self._delete_attempt)
        route("/load", methods=["GET"])(self._get_load)
        route("/cache/events", methods=["GET"])(self._get_cache_events)
        route("/orders", methods=["POST"])(self._post_order)
        route("/drain", methods=["POST"])(self._post_drain)
        route("/kv/<handle>", methods=["GET"])(self._get_kv)
        route("/ledger", methods=["GET"])(self._get_ledger)
        server.add_fault_routes(
            app=self._app,
            kind=EngineFaults,
            read=lambda: self._faults,
            write=self.set_faults,
        )

    @property
    def app(self) -> klein.Klein:
        """The HTTP app."""
        return self._app

    @property
    def ledger(self) -> ledger.Ledger:
        """The attempts that ran and the orders that were accepted."""
        return self._ledger

    def set_faults(self, faults: EngineFaults) -> None:
        """Replaces the faults in effect."""
        self._faults = faults

    def drain(self) -> defer.Deferred:
        """Rejects new work; the Deferred fires when work in flight is done."""
        self._changes.drain()
        idle: defer.Deferred = defer.Deferred()
        self._idle_waiters.append(idle)
        self._check_idle()
        return idle

    # Requests

    def _apply_fault(self, request: Any) -> defer.Deferred | None:
        """Returns the response that a fault or a crash forces, or None."""
        if self._faults.silent:
            return server.never_answer()
        if self._changes.state == "down":
            return server.abort(request)
        return None

    async def _post_completion(self, request: Any) -> Any:
        fault_response = self._apply_fault(request)
        if fault_response is not None:
            return await fault_response
        attempt_id = server.read_header(request, "X-Attempt-Id")
        attempt_id = attempt_id or f"unnamed-{next(self._numbers)}"
        request.setHeader("X-Attempt-Id", attempt_id)
        parsed = completion.parse_completion(request.content.read())
        if isinstance(parsed, Failure):
            value = {"code": "bad_request", "reason": parsed.failure().reason}
            return server.answer(request, value, code=400, X_Not_Started="true")
        wanted = parsed.unwrap()
        if attempt_id in self._attempts:
            return server.answer(request, {"code": "duplicate"}, code=409)
        refusal = self._find_refusal(wanted)
        if refusal:
            return self._refuse(request, refusal)
        attempt = self._make_attempt(request, attempt_id, wanted)
        self._attempts[attempt_id] = attempt
        # From here on, a disconnect of the caller ends the attempt.
        done = attempt.watch(on_disconnect=self._end)
        if wanted.kv_import is not None and not await self._import_kv(attempt):
            self._end(attempt, "cancelled")
            self._ledger.refused += 1
            return server.answer_not_started(request, "no_kv", code=410)
        if attempt.run.ended:
            return await done
        attempt.run.at_s = time.monotonic()
        if not self._batch.add(attempt.sequence):
            self._end(attempt, "cancelled")
            return self._refuse(request, "full", code=429)
        self._ledger.runs.append(attempt.run)
        self._by_sequence[attempt.sequence] = attempt
        self._wake()
        return await done

    def _find_refusal(self, wanted: completion.Completion) -> str:
        if self._faults.refuse:
            return "refused"
        if self._changes.state != "serving":
            return self._changes.state
        current = self._changes.current
        if wanted.model not in ("", current.model, *current.adapters):
            return "other_model"
        return ""

    def _refuse(self, request: Any, reason: str, *, code: int = 503) -> bytes:
        self._ledger.refused += 1
        return server.answer_not_started(request, reason, code=code)

    def _make_attempt(
        self, request: Any, attempt_id: str, wanted: completion.Completion
    ) -> attempts.Attempt:
        sequence = batch.Sequence(
            prompt=wanted.text,
            priority=wanted.priority,
            max_tokens=wanted.max_tokens,
            index=wanted.resume_tokens,
            prefill_only=wanted.kv_export,
        )
        # Tokens that the caller already has are prefilled like the prompt.
        unread = sequence.prompt_tokens + wanted.resume_tokens
        sequence.prefill_tokens = 0 if wanted.kv_import else unread
        run = ledger.Run(
            attempt=attempt_id,
            request=server.read_header(request, "X-Request-Id"),
            key=server.read_header(request, "Idempotency-Key"),
            method="POST",
            path=request.path.decode(),
            at_s=time.monotonic(),
        )
        return attempts.Attempt(
            request=request,
            wanted=wanted,
            sequence=sequence,
            run=run,
            faults=attempts.consume_faults(self._faults),
        )

    def _delete_attempt(self, request: Any, attempt_id: str) -> Any:
        fault_response = self._apply_fault(request)
        if fault_response is not None:
            return fault_response
        attempt = self._attempts.get(attempt_id)
        if attempt is not None:
            self._end(attempt, "cancelled")
            attempt.finish(b"")
        return server.answer(request, {"cancelled": attempt is not None})

    def _end(self, attempt: attempts.Attempt, outcome: str) -> None:
        if attempt.run.ended:
            return
        attempt.run.ended = outcome
        self._batch.remove(attempt.sequence)
        self._attempts.pop(attempt.run.attempt, None)
        self._by_sequence.pop(attempt.sequence, None)
        self._check_idle()

    def _check_idle(self) -> None:
        if self._attempts:
            return
        self._changes.check_idle()
        waiting, self._idle_waiters = self._idle_waiters, []
        for idle in waiting:
            idle.callback(None)

    # The batch

    def _wake(self) -> None:
        if self._tick is None:
            self._due_s = time.monotonic()
            self._run_batch()

    def _run_batch(self) -> None:
        time_scale = self._faults.slow_factor / self._settings.speed
        self._batch.now = time.monotonic()
        role = self._changes.current.role
        taken_s, progress = self._batch.run(role, _TICK_S / time_scale)
        if not progress and taken_s == 0:
            self._tick = None
            return
        now = time.monotonic()
        start_s = max(self._due_s, now - _MAX_CATCH_UP_S)
        self._due_s = start_s + taken_s * time_scale
        delay_s = max(0.0, self._due_s - now)
        self._tick = reactor.callLater(delay_s, self._deliver, progress)

    def _deliver(self, progress: list) -> None:
        for sequence, start, stop in progress:
            attempt = self._by_sequence.get(sequence)
            if attempt is not None:
                self._deliver_to(attempt, start, stop)
        self._run_batch()

    def _deliver_to(
        self, attempt: attempts.Attempt, start: int, stop: int
    ) -> None:
        sequence = attempt.sequence
        if attempt.wanted.kv_export:
            if sequence.done:
                handle = self._kv_exports.export(sequence.prompt)
                self._end(attempt, "done")
                attempt.finish_export(handle)
            return
        ending = attempt.write(start, stop)
        if ending:
            self._end(attempt, ending)

    # KV cache

    def _get_kv(self, request: Any, handle: str) -> Any:
        fault_response = self._apply_fault(request)
        if fault_response is not None:
            return fault_response
        prompt = self._kv_exports.find(handle)
        if prompt is None:
            return server.answer(request, {"code": "gone"}, code=410)
        return server.answer(request, {"prompt": prompt})

    async def _import_kv(self, attempt: attempts.Attempt) -> bool:
        sequence = attempt.sequence
        source = attempt.wanted.kv_import
        if not await kvcache.fetch(source, sequence.prompt):
            return False
        transfer_s = sequence.prompt_tokens / _KV_TOKENS_PER_S
        await server.sleep(transfer_s / self._settings.speed)
        return True

    # Reports and orders

    def _measure_load(self) -> dict[str, int]:
        return {
            "running": self._batch.running,
            "queued": self._batch.queued,
            "prefill_backlog_tokens": self._batch.backlog_tokens,
            "kv_used": self._batch.kv_used_tokens + self._kv_exports.tokens,
            "kv_capacity": self._settings.limits.kv_capacity_tokens,
        }

    def _get_load(self, request: Any) -> Any:
        if self._faults.silent:
            return server.never_answer()
        now = time.monotonic()
        figures, age_s = self._sample_load(now)
        report = change.describe_state(self._changes)
        return server.answer(request, {**report, **figures, "age_s": age_s})

    def _sample_load(self, now: float) -> tuple[dict[str, int], float]:
        """Returns load values as old as the lag, and their age.

        Each request takes a sample for later ones. No timer does, so an
        engine that nobody polls costs nothing.
        """
        lag_s = self._settings.load_lag_s
        self._samples.append((now, self._measure_load()))
        while len(self._samples) > 1 and self._samples[1][0] <= now - lag_s:
            self._samples.popleft()
        taken_s, figures = self._samples[0]
        return figures, round(now - taken_s, 3)

    def _get_cache_events(self, request: Any) -> Any:
        fault_response = self._apply_fault(request)
        if fault_response is not None:
            return fault_response
        start = int(server.read_number(request, "from", 0))
        until = time.monotonic() - self._settings.cache_lag_s
        events = self._cache.read_events(start, until)
        after = events[-1]["seq"] + 1 if events else start
        return server.answer(request, {"events": events, "next": after})

    def _post_order(self, request: Any) -> Any:
        fault_response = self._apply_fault(request)
        if fault_response is not None:
            return fault_response
        order = change.parse_order(request.content.read())
        if order is None:
            return server.answer(request, {"code": "bad_order"}, code=400)
        refusal = self._changes.submit(order)
        if refusal:
            return server.answer(request, {"code": refusal}, code=409)
        return server.answer(request, {"accepted": True}, code=202)

    def _post_drain(self, request: Any) -> Any:
        fault_response = self._apply_fault(request)
        if fault_response is not None:
            return fault_response
        self._changes.drain()
        return server.answer(request, {})

    def _get_ledger(self, request: Any) -> bytes:
        return server.answer(request, self._ledger)

    def _next_crash_s(self) -> float | None:
        if self._faults.crash_changes <= 0:
            return None
        self._faults.crash_changes -= 1
        return self._faults.down_s

    def _on_changed(self) -> None:
        self._cache.clear(time.monotonic())
