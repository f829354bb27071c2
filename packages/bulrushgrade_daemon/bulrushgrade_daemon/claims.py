"""Runs requests with an idempotency key at most once, by claims on the log."""

from collections.abc import Awaitable
from collections.abc import Callable
import random
import secrets
from typing import Any

from returns.result import Failure
from twisted.internet import defer

from bulrushgrade import errors
from bulrushgrade import once
from bulrushgrade import oncedecision
from bulrushgrade import oncelog
from bulrushgrade import record
from bulrushgrade_daemon import logclient
from bulrushgrade_daemon import logwriter
from bulrushgrade_daemon import plain
from bulrushgrade_daemon import plainrelay
from bulrushgrade_daemon import refusal

# Must be equal on all hosts and in all releases for the lifetime of a key, see
# `oncelog.shard_of`. Today's load needs one shard; several allow a host to
# leave some unread at the target size.
SHARD_COUNT = 4
TICK_S = 0.25
# While the log is unavailable it is tried again about this often.
LOG_UNAVAILABLE_RETRY_S = 2.0
# If the log is available, an append whose response was lost can be read back
# within this time. If not, the caller gets an error instead of waiting longer.
READ_BACK_TIMEOUT_S = 1.0
# How long a stop waits until outcomes are stored on the log. After that,
# duplicates of those keys are correctly answered with an unknown outcome.
STOP_TIMEOUT_S = 5.0
REPLAY_HEADER = "X-Idempotent-Replay"

Outcome = plain.PlainAnswer | refusal.Refusal
Attempt = Callable[[plainrelay.PlainJob], Awaitable[Outcome]]


class _Shard:
    """One shard of the claims, its reader and the tasks waiting for records."""

    def __init__(self, *, view: once.OnceShard):
        self.view = view
        self.tail: logclient.LogTail | None = None
        self._waiters: list[defer.Deferred] = []

    def wake(self) -> None:
        """Resumes every waiting task, which then checks its claim again."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.callback(None)

    def wait(self) -> defer.Deferred:
        """Returns a deferred that fires at the next `wake`."""
        waiter: defer.Deferred = defer.Deferred()
        self._waiters.append(waiter)
        return waiter


class Claims:
    """Runs each request with a key on the host whose claim comes first."""

    name = "claims"
    requires = ("timer", "log", "logwriter")

    def __init__(
        self,
        *,
        timers: Any,
        log: logclient.LogClient,
        writer: logwriter.LogWriter,
        runner: str,
        rng: random.Random,
        on_broken: Callable[[str], None],
    ):
        """Makes the service.

        Args:
            timers: The timer service.
            log: Reads the shards.
            writer: Appends claims and outcomes.
            runner: Identifies this run of the daemon to operators.
            rng: Source of jitter.
            on_broken: Called with the reason when an invariant is broken.
        """
        self._timers = timers
        self._log = log
        self._writer = writer
        self._limits = oncelog.OnceLimits()
        self._counts = dict.fromkeys(
            ("claimed", "ran", "duplicate", "running", "unknown", "log_away"),
            0,
        )
        self._shards = [
            self._make_shard(number, runner, rng, on_broken)
            for number in range(SHARD_COUNT)
        ]
        self._tick: Any = None

    @property
    def counts(self) -> dict[str, int]:
        """The counters, by name."""
        return self._counts

    async def start(self) -> None:
        """Starts to follow the shards."""
        for shard in self._shards:
            shard.tail.start()
        self._tick = self._timers.every(TICK_S, self._append_due)

    async def stop(self) -> None:
        """Waits until outcomes are stored, then stops following the shards."""
        give_up_at = self._timers.now + STOP_TIMEOUT_S
        while self._count_pending() and self._timers.now < give_up_at:
            await self._timers.sleep(TICK_S)
        self._tick.cancel()
        for shard in self._shards:
            shard.tail.stop()

    def receive(self, message: Any) -> None:
        """Ignores messages: no service sends any here."""

    def dump(self) -> dict[str, Any]:
        """Returns the counters and the read position of each shard."""
        return {
            "counts": dict(self._counts),
            "shards": [
                {
                    "caught_up": shard.view.caught_up,
                    "keys": len(shard.view.fold),
                    "unsettled": shard.view.pending_claims,
                    "reader": shard.tail.dump(),
                }
                for shard in self._shards
            ],
        }

    async def run(self, job: plainrelay.PlainJob, attempt: Attempt) -> Outcome:
        """Runs a request unless its key was already claimed.

        Args:
            job: The request, with its key.
            attempt: Runs the request; calls `job.acquire_permit` right before
                it writes to the endpoint.

        Returns:
            The answer, from this run or an earlier one, or a refusal.
        """
        key = oncelog.scoped_key(
            service=job.service.service, idempotency_key=job.key
        )
        digest = oncelog.digest_of(
            method=job.method, path=job.path, body=job.body
        )
        shard = self._shards[oncelog.shard_of(key, shards=SHARD_COUNT)]
        now = self._timers.now
        known = shard.view.decide(key=key, digest=digest, now=now)
        if not isinstance(known, oncedecision.Free):
            return self._respond(known)
        # Without the log nobody can claim. The caller is told at once that
        # nothing ran, instead of waiting until the claim times out.
        if not self._log.reachable:
            return self._refuse_unclaimable("the log does not answer")
        claimed = shard.view.claim(key=key, digest=digest, now=now)
        if isinstance(claimed, Failure):
            return self._respond(claimed.failure())
        return await self._run_claim(shard, job, attempt, claimed.unwrap())

    async def _run_claim(
        self,
        shard: _Shard,
        job: plainrelay.PlainJob,
        attempt: Attempt,
        claim: record.Append,
    ) -> Outcome:
        view, claim_id = shard.view, claim.record_id
        self._counts["claimed"] += 1
        stored = await self._writer.append(claim)
        not_stored = isinstance(stored, Failure) and isinstance(
            stored.failure(), logclient.NotStored
        )
        if not_stored:
            view.append_failed(claim_id)
            return self._refuse_unclaimable(stored.failure().reason)
        give_up_at = job.work.deadline
        if isinstance(stored, Failure):
            give_up_at = min(give_up_at, self._timers.now + READ_BACK_TIMEOUT_S)
        decision = await self._wait_for_decision(
            shard, job, claim_id, give_up_at
        )
        if isinstance(decision, oncedecision.Pending | oncedecision.Late):
            # The claim may still appear on the log, but can no longer start a
            # run, so the answer "not run" remains true.
            self._append(view.abandon(claim_id, self._timers.now))
            return self._refuse_unclaimable(
                "the claim could not be read back in time"
            )
        if not isinstance(decision, oncedecision.Run):
            self._append(view.abandon(claim_id, self._timers.now))
            return self._respond(decision)
        job.acquire_permit = lambda: view.start(claim_id, self._timers.now)
        job.release_permit = lambda: view.mark_not_started(claim_id)
        job.is_permit_available = lambda: view.may_start(
            claim_id, self._timers.now
        )
        outcome = await attempt(job)
        self._append_outcome(view, claim_id, outcome)
        return outcome

    async def _wait_for_decision(
        self,
        shard: _Shard,
        job: plainrelay.PlainJob,
        claim_id: str,
        give_up_at: float,
    ) -> oncedecision.Decision:
        """Waits until the log has decided on a claim or time is up."""
        key = oncelog.scoped_key(
            service=job.service.service, idempotency_key=job.key
        )
        digest = oncelog.digest_of(
            method=job.method, path=job.path, body=job.body
        )
        while True:
            now = self._timers.now
            decision = shard.view.decide(
                key=key, digest=digest, now=now, claim_id=claim_id
            )
            if not isinstance(decision, oncedecision.Pending):
                return decision
            if now >= give_up_at or job.caller_disconnected:
                return decision
            await shard.wait()

    def _append_outcome(
        self, view: once.OnceShard, claim_id: str, outcome: Outcome
    ) -> None:
        now = self._timers.now
        if isinstance(outcome, plain.PlainAnswer):
            self._counts["ran"] += 1
            answer = oncelog.Answer(
                status=outcome.status,
                content_type=_content_type(outcome),
                body=outcome.body,
            )
            ended = view.finish(claim_id, answer=answer, known=True, now=now)
        elif outcome.ran is refusal.RunStatus.NOT_RUN:
            ended = view.abandon(claim_id, now)
        else:
            ended = view.finish(claim_id, answer=None, known=False, now=now)
        self._append(ended)

    def _respond(self, decision: oncedecision.Decision) -> Outcome:
        if isinstance(decision, oncedecision.Duplicate):
            self._counts["duplicate"] += 1
            return _replay(decision)
        if isinstance(decision, oncedecision.Running):
            self._counts["running"] += 1
            return refusal.Refusal(
                status=409,
                code="running",
                message="a request with this key is under way",
                ran=refusal.RunStatus.UNKNOWN,
                retry_after_s=decision.retry_after_s,
            )
        if isinstance(decision, oncedecision.Unknown):
            self._counts["unknown"] += 1
            return refusal.Refusal(
                status=409,
                code="outcome_unknown",
                message="the host that ran this key did not say how it ended",
                ran=refusal.RunStatus.UNKNOWN,
            )
        if isinstance(decision, errors.KeyConflict):
            return refusal.bad_request(
                "this key was used for another request",
                status=422,
                code="key_conflict",
            )
        return self._refuse_unclaimable("this host has not read all claims yet")

    def _refuse_unclaimable(self, reason: str) -> refusal.Refusal:
        self._counts["log_away"] += 1
        return refusal.Refusal(
            status=503,
            code="log_away",
            message=f"the request can't be claimed now: {reason}",
            retry_after_s=LOG_UNAVAILABLE_RETRY_S,
        )

    def _make_shard(
        self,
        number: int,
        runner: str,
        rng: random.Random,
        on_broken: Callable[[str], None],
    ) -> _Shard:
        view = once.OnceShard(
            shard=number,
            runner=runner,
            limits=self._limits,
            new_id=lambda: secrets.token_hex(16),
        )
        shard = _Shard(view=view)

        def handle_page(page: record.Page) -> None:
            view.apply_page(page, self._timers.now)
            shard.wake()

        shard.tail = logclient.LogTail(
            log=self._log,
            timers=self._timers,
            stream=view.stream,
            on_page=handle_page,
            on_broken=on_broken,
            rng=rng,
        )
        return shard

    def _append_due(self) -> None:
        for shard in self._shards:
            for append in shard.view.due(self._timers.now):
                self._append(append)
            shard.wake()

    def _append(self, append: record.Append | None) -> None:
        if append is not None:
            self._writer.append(append)

    def _count_pending(self) -> int:
        return sum(shard.view.pending_claims for shard in self._shards)


def _content_type(answer: plain.PlainAnswer) -> str:
    for name, value in answer.headers:
        if name.lower() == "content-type":
            return value
    return ""


def _replay(decision: oncedecision.Duplicate) -> Outcome:
    if decision.answer is None:
        return refusal.Refusal(
            status=409,
            code="already_ran",
            message="the request with this key ran; its answer is not kept",
            ran=refusal.RunStatus.RAN,
        )
    headers = [(REPLAY_HEADER, "true")]
    if decision.answer.content_type:
        headers.append(("Content-Type", decision.answer.content_type))
    return plain.PlainAnswer(
        status=decision.answer.status,
        headers=tuple(headers),
        body=decision.answer.body,
    )
