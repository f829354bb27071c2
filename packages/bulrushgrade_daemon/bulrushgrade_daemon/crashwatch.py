"""Detects endpoints that crash while they run callers' requests.

A truncated answer alone does not show a crash: connections are reset, and some
endpoints truncate an answer and keep running. An endpoint that accepts no
connection right afterwards has crashed.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer

from bulrushgrade import directory
from bulrushgrade import prompt as prompt_module
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import task

CHECK_DELAY_S = 0.01
"""Delay between the first truncated answer and the check of its endpoint. The
other answers of a crashed endpoint are truncated at the same moment and don't
need checks of their own."""

MAX_CHECK_WAIT_S = 0.05
"""Longest time that a request waits for the check before it is retried. Longer
than a connection takes to be opened or refused, and a small fraction of any
latency target."""

MAX_PATH_CHARS = 120
"""Maximum length of a path in a log line."""

MAX_LOGGED_PARTS = 8
"""Maximum number of prompt parts of a request in a log line."""

MAX_RUNS = 256
"""Requests reported for one crash; more than an endpoint has slots."""


@attrs.frozen(kw_only=True)
class InterruptedRequest:
    """A request whose answer was truncated or stayed silent.

    Attributes:
        fingerprint: Identifies the request and its repetitions.
        caller_id: Identifies the caller.
        request_id: The caller's id of this attempt.
        path: The path of the request.
        observed_at: When this was observed.
        began_at: When its answer began, None if it had not.
        written_at: When it was sent to the endpoint.
        prompt: Its prompt, or None.
        shared_part_keys: The keys of the parts that prompts share.
        is_prefilling: Whether the endpoint only prefilled its prompt.
    """

    fingerprint: str
    caller_id: str
    request_id: str
    path: str
    observed_at: float
    began_at: float | None
    written_at: float
    prompt: prompt_module.Prompt | None = None
    shared_part_keys: tuple[bytes, ...] = ()
    is_prefilling: bool = False


@attrs.define(kw_only=True)
class _PendingCheck:
    """The check of an endpoint that has not finished.

    Attributes:
        began_at: When the first of these was observed.
        runs: The requests whose answers there were truncated or silent.
        waiting: Deferreds that fire when the check has finished.
    """

    began_at: float
    runs: list[InterruptedRequest]
    waiting: list[defer.Deferred] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Crash:
    """An endpoint that crashed with requests of this daemon.

    Attributes:
        endpoint: The endpoint that crashed.
        runs: The requests that it was running.
        reason: Why a connection to it failed.
        noticed_at: When the first of its answers was truncated or silent.
    """

    endpoint: directory.Registration
    runs: tuple[InterruptedRequest, ...]
    reason: str
    noticed_at: float = 0.0


class CrashWatch:
    """Checks the endpoints of truncated answers for crashes."""

    def __init__(
        self,
        *,
        timers: Any,
        check: Callable[[directory.Registration], Awaitable[str | None]],
        is_leaving: Callable[[directory.Registration], bool],
        on_crash: Callable[[Crash], None],
        log: decisionlog.DecisionLog,
        on_broken: Callable[[str], None],
    ):
        """Creates the watch without pending checks.

        Args:
            timers: The timer service.
            check: Returns why an endpoint accepts no connection, None if it
                accepts one.
            is_leaving: Returns whether an endpoint is known to be leaving;
                its end is then no crash.
            on_crash: Called with each crash, possibly several times with
                different requests.
            log: Gets a line for each crash.
            on_broken: Called with the reason if an invariant is violated.
        """
        self._timers = timers
        self._check = check
        self._is_leaving = is_leaving
        self._on_crash = on_crash
        self._log = log
        self._on_broken = on_broken
        # Keyed by the endpoint's incarnation.
        self._pending_checks: dict[tuple[str, int], _PendingCheck] = {}
        self._counts = {"checks": 0, "crashes": 0, "requests": 0}

    @property
    def counts(self) -> dict[str, int]:
        """Number of checks, crashes found, and requests interrupted by them."""
        return dict(self._counts)

    def observe_broken_answer(self, request: inflight.InFlight) -> None:
        """Takes in a truncated or silent answer and checks its endpoint."""
        endpoint = request.endpoint
        if self._is_leaving(endpoint):
            return
        now, written_at = self._timers.now, request.written_at
        run = InterruptedRequest(
            fingerprint=request.fingerprint,
            caller_id=request.caller_id,
            request_id=request.info.request_id,
            path=request.caller.path.decode("latin-1"),
            observed_at=now,
            began_at=request.answer_began_at,
            written_at=now if written_at is None else written_at,
            prompt=request.info.prompt,
            shared_part_keys=request.shared_part_keys,
            is_prefilling=request.is_prefilling,
        )
        pending_check = self._pending_checks.get(endpoint.incarnation)
        if pending_check is None:
            self._pending_checks[endpoint.incarnation] = _PendingCheck(
                began_at=now, runs=[run]
            )
            task.spawn(
                self._check_endpoint(endpoint),
                name="crashwatch",
                on_broken=self._on_broken,
            )
        elif len(pending_check.runs) < MAX_RUNS:
            pending_check.runs.append(run)

    async def wait_for_check(self, endpoint: directory.Registration) -> None:
        """Waits for a pending check of an endpoint, up to a time limit."""
        pending_check = self._pending_checks.get(endpoint.incarnation)
        if pending_check is None:
            return
        waited: defer.Deferred = defer.Deferred()
        limit = self._timers.after(
            MAX_CHECK_WAIT_S, lambda: waited.callback(None)
        )
        pending_check.waiting.append(waited)
        try:
            await waited
        finally:
            limit.cancel()
            if waited in pending_check.waiting:
                pending_check.waiting.remove(waited)

    async def _check_endpoint(self, endpoint: directory.Registration) -> None:
        await self._timers.sleep(CHECK_DELAY_S)
        self._counts["checks"] += 1
        reason = await self._check(endpoint)
        pending_check = self._pending_checks.pop(endpoint.incarnation)
        if reason is not None:
            self._record_crash(endpoint, pending_check, reason)
        waiting, pending_check.waiting = pending_check.waiting, []
        for waited in waiting:
            waited.callback(None)

    def _record_crash(
        self,
        endpoint: directory.Registration,
        pending_check: _PendingCheck,
        reason: str,
    ) -> None:
        runs = pending_check.runs
        self._counts["crashes"] += 1
        self._counts["requests"] += len(runs)
        self._log.note(
            "endpoint_crashed",
            endpoint=endpoint.id,
            born_ms=endpoint.born_ms,
            service=endpoint.service,
            software=endpoint.software,
            zone=endpoint.zone,
            reason=reason,
            runs=[_describe_run(run) for run in runs],
        )
        crash = Crash(
            endpoint=endpoint,
            runs=tuple(runs),
            reason=reason,
            noticed_at=pending_check.began_at,
        )
        self._on_crash(crash)


def _describe_run(run: InterruptedRequest) -> dict[str, Any]:
    fields = {
        "request": run.request_id,
        "fingerprint": run.fingerprint,
        "caller": run.caller_id,
        "path": run.path[:MAX_PATH_CHARS],
        "ran_s": _age_s(run.began_at, run.observed_at),
        "sent_s": _age_s(run.written_at, run.observed_at),
        "prefilling": run.is_prefilling,
    }
    if run.prompt is not None:
        fields["model"] = run.prompt.model
        fields["prompt_tokens"] = run.prompt.prompt_tokens
        fields["parts"] = [
            part.id for part in run.prompt.parts[:MAX_LOGGED_PARTS]
        ]
    return fields


def _age_s(at: float | None, now: float) -> float | None:
    return None if at is None else round(now - at, 3)
