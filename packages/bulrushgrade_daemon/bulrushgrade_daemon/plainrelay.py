"""Carries a request for a plain service to its whole answer, or refuses it."""

from collections.abc import Callable
from typing import Any

import attrs

from bulrushgrade import document
from bulrushgrade import work as work_module
from bulrushgrade_daemon import engine
from bulrushgrade_daemon import placing
from bulrushgrade_daemon import plain
from bulrushgrade_daemon import refusal


@attrs.define(kw_only=True, eq=False)
class PlainJob:
    """One open request for a plain service.

    Attributes:
        request_id: Unique in the system, made by this host.
        caller_id: The id that the caller gave, or the same.
        service: The document that it falls under.
        method: Its HTTP method.
        path: Its path below the service, with the query.
        headers: Headers to pass on.
        body: Its body.
        key: The idempotency key, or None.
        work: The request as decisions see it.
        gone: Whether the caller has left.
        maybe_ran: Whether an attempt may have run at an endpoint.
        may_write: Takes the permission to run a claimed request, in the
            turn of its write; it is given once.
        turned_away: Gives that permission back where the endpoint answered
            that it did not start the request.
        may_retry: Whether that permission is still to be had.
    """

    request_id: str
    caller_id: str
    service: document.ServiceDocument
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str | None
    work: work_module.Work
    gone: bool = False
    maybe_ran: bool = False
    may_write: Callable[[], bool] | None = None
    turned_away: Callable[[], None] | None = None
    may_retry: Callable[[], bool] | None = None


class PlainRelay:
    """Runs attempts at plain services."""

    name = "plainrelay"
    requires = ("timer", "plain", "placing", "claims")

    def __init__(
        self,
        *,
        timers: Any,
        client: plain.PlainClient,
        place: placing.Placing,
        claims: Any,
    ):
        """Makes the relay.

        Args:
            timers: The timer service.
            client: Sends attempts.
            place: Places requests.
            claims: Decides which host runs a request with an idempotency
                key.
        """
        self._timers = timers
        self._client = client
        self._placing = place
        self._claims = claims
        self._open = 0
        self._counts = dict.fromkeys(
            ("answered", "refused", "lost_attempts", "not_started"), 0
        )

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
        """Returns the counters and how many requests are open."""
        return {"open": self._open, "counts": dict(self._counts)}

    async def run(self, job: PlainJob) -> plain.PlainAnswer | refusal.Refusal:
        """Returns the whole answer or a refusal."""
        self._open += 1
        try:
            if job.work.repeatable or job.key is None:
                outcome = await self.attempt(job)
            else:
                outcome = await self._claims.run(job, self.attempt)
        finally:
            self._open -= 1
        answered = isinstance(outcome, plain.PlainAnswer)
        self._counts["answered" if answered else "refused"] += 1
        return outcome

    async def attempt(
        self, job: PlainJob
    ) -> plain.PlainAnswer | refusal.Refusal:
        """Tries endpoints until one answers or no more may be tried."""
        number = 1
        placed = await self._placing.offer(job.work)
        while isinstance(placed, work_module.Placed):
            outcome = await self._send(job, placed, number)
            if isinstance(outcome, plain.PlainAnswer):
                self._placing.finished(job.request_id, placing.COMPLETE)
                return outcome
            final = self._judge(job, outcome)
            if final is not None:
                self._placing.finished(job.request_id, placing.FAILED)
                return final
            number += 1
            placed = await self._placing.retry(
                job.request_id,
                placed.endpoint,
                0,
                started=not isinstance(outcome, engine.NotStarted),
            )
        ran = refusal.Ran.UNKNOWN if job.maybe_ran else refusal.Ran.NOT_RUN
        return refusal.of_decision(placed, ran)

    async def _send(
        self, job: PlainJob, placed: work_module.Placed, number: int
    ) -> plain.PlainAnswer | engine.NotStarted | engine.Lost:
        call = plain.PlainCall(
            attempt_id=f"{job.request_id}.{number}",
            request_id=job.caller_id,
            address=placed.endpoint,
            method=job.method,
            path=job.path,
            headers=job.headers,
            body=job.body,
        )
        return await self._client.send(
            call,
            timeout_s=max(0.0, job.work.deadline - self._timers.now),
            once=not job.work.repeatable,
            check=lambda: self._may_write(job),
        )

    def _may_write(self, job: PlainJob) -> bool:
        # A request past its deadline has been refused by now, or is about to
        # be; writing it would make that refusal's "not run" untrue.
        if self._timers.now >= job.work.deadline:
            return False
        return job.may_write is None or job.may_write()

    def _judge(
        self, job: PlainJob, outcome: engine.NotStarted | engine.Lost
    ) -> refusal.Refusal | None:
        if isinstance(outcome, engine.NotStarted):
            self._counts["not_started"] += 1
            if outcome.answered and job.turned_away is not None:
                job.turned_away()
        else:
            self._counts["lost_attempts"] += 1
            job.maybe_ran = True
        ran = refusal.Ran.UNKNOWN if job.maybe_ran else refusal.Ran.NOT_RUN
        # Its work may be done and only the answer lost: a second run is what
        # must not be, so the caller is told the truth instead.
        if job.maybe_ran and not job.work.repeatable:
            return refusal.outcome_unknown()
        if self._timers.now >= job.work.deadline:
            return refusal.late(ran)
        if job.may_retry is not None and not job.may_retry():
            return refusal.Refusal(
                status=503,
                code="not_started_in_time",
                message="the request was not started within its limit",
                retry_after_s=refusal.LATE_RETRY_S,
            )
        return None
