"""Carries a request for a plain service to its whole answer, or refuses it."""

from collections.abc import Callable
from typing import Any

import attrs

from bulrushgrade import document
from bulrushgrade import work as work_module
from bulrushgrade_daemon import engine
from bulrushgrade_daemon import placementservice
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
        caller_disconnected: Whether the caller has left.
        maybe_ran: Whether an attempt may have run at an endpoint.
        acquire_permit: Takes the permission to run a claimed request, in the
            turn of its write; it is given once.
        release_permit: Gives that permission back where the endpoint answered
            that it did not start the request.
        is_permit_available: Whether that permission is still to be had.
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
    caller_disconnected: bool = False
    maybe_ran: bool = False
    acquire_permit: Callable[[], bool] | None = None
    release_permit: Callable[[], None] | None = None
    is_permit_available: Callable[[], bool] | None = None


class PlainRelay:
    """Runs attempts at plain services."""

    name = "plainrelay"
    requires = ("timer", "plain", "placing", "claims")

    def __init__(
        self,
        *,
        timers: Any,
        client: plain.PlainClient,
        placement: placementservice.PlacementService,
        claims: Any,
    ):
        """Makes the relay.

        Args:
            timers: The timer service.
            client: Sends attempts.
            placement: Places requests.
            claims: Decides which host runs a request with an idempotency
                key.
        """
        self._timers = timers
        self._client = client
        self._placement = placement
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
                outcome = await self.run_attempts(job)
            else:
                outcome = await self._claims.run(job, self.run_attempts)
        finally:
            self._open -= 1
        answered = isinstance(outcome, plain.PlainAnswer)
        self._counts["answered" if answered else "refused"] += 1
        return outcome

    async def run_attempts(
        self, job: PlainJob
    ) -> plain.PlainAnswer | refusal.Refusal:
        """Tries endpoints until one answers or no more may be tried."""
        number = 1
        placed = await self._placement.offer(job.work)
        while isinstance(placed, work_module.Placed):
            outcome = await self._send(job, placed, number)
            if isinstance(outcome, plain.PlainAnswer):
                self._placement.finished(
                    job.request_id, placementservice.COMPLETE
                )
                return outcome
            final = self._find_final_refusal(job, outcome)
            if final is not None:
                self._placement.finished(
                    job.request_id, placementservice.FAILED
                )
                return final
            number += 1
            placed = await self._placement.retry(
                job.request_id,
                placed.endpoint,
                0,
                started=not isinstance(outcome, engine.NotStarted),
            )
        ran = (
            refusal.RunStatus.UNKNOWN
            if job.maybe_ran
            else refusal.RunStatus.NOT_RUN
        )
        return refusal.from_decision(placed, ran)

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
            non_repeatable=not job.work.repeatable,
            check=lambda: self._acquire_permit(job),
        )

    def _acquire_permit(self, job: PlainJob) -> bool:
        # A request past its deadline has been refused by now, or is about to
        # be; writing it would make that refusal's "not run" untrue.
        if self._timers.now >= job.work.deadline:
            return False
        return job.acquire_permit is None or job.acquire_permit()

    def _find_final_refusal(
        self, job: PlainJob, outcome: engine.NotStarted | engine.Lost
    ) -> refusal.Refusal | None:
        if isinstance(outcome, engine.NotStarted):
            self._counts["not_started"] += 1
            if outcome.answered and job.release_permit is not None:
                job.release_permit()
        else:
            self._counts["lost_attempts"] += 1
            job.maybe_ran = True
        ran = (
            refusal.RunStatus.UNKNOWN
            if job.maybe_ran
            else refusal.RunStatus.NOT_RUN
        )
        # Its work may be done and only the answer lost: a second run is what
        # must not be, so the caller is told the truth instead.
        if job.maybe_ran and not job.work.repeatable:
            return refusal.outcome_unknown()
        if self._timers.now >= job.work.deadline:
            return refusal.deadline_exceeded(ran)
        if (
            job.is_permit_available is not None
            and not job.is_permit_available()
        ):
            return refusal.Refusal(
                status=503,
                code="not_started_in_time",
                message="the request was not started within its limit",
                retry_after_s=refusal.DEADLINE_RETRY_AFTER_S,
            )
        return None
