"""Notices endpoints that end while they run callers' requests.

An answer that breaks off does not say so by itself: connections are reset,
and some endpoints tear an answer and go on. An endpoint that takes no
connection right after it has ended.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer

from bulrushgrade import directory
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import task

CHECK_DELAY_S = 0.01
"""From the first answer that breaks off to the check of its endpoint. Those of
the other requests there break off in the same moment and need no other one."""

MAX_CHECK_WAIT_S = 0.05
"""How long a request waits for the check before it is sent on: longer than a
connection takes to be opened or refused, and a small part of any target."""

MAX_PATH_CHARS = 120
"""Characters of a path in a line of the log."""

MAX_RUNS = 256
"""Requests that one crash tells of: more than an endpoint has slots."""


@attrs.frozen(kw_only=True)
class InterruptedRequest:
    """A request that was at an endpoint when that ended.

    Attributes:
        fingerprint: Names the request and its repeats.
        caller_id: Names who sent it.
        request_id: The caller's id of this attempt.
        path: What it asked for.
        ran_s: Since its answer had begun, None where none had.
    """

    fingerprint: str
    caller_id: str
    request_id: str
    path: str
    ran_s: float | None


@attrs.define(kw_only=True)
class _PendingCheck:
    """An endpoint that is still to be checked.

    Attributes:
        runs: The requests whose answers broke off there.
        waiting: Those that wait until it is.
    """

    runs: list[InterruptedRequest]
    waiting: list[defer.Deferred] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Crash:
    """An endpoint that ended with requests of this daemon.

    Attributes:
        endpoint: Who ended.
        runs: The requests that were there.
        reason: Why a connection to it failed.
    """

    endpoint: directory.Registration
    runs: tuple[InterruptedRequest, ...]
    reason: str


class CrashWatch:
    """Checks the endpoints of answers that broke off."""

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
        """Makes a state without broken answers.

        Args:
            timers: The timer service.
            check: Returns why an endpoint takes no connection, None where it
                takes one.
            is_leaving: Returns whether an endpoint was seen to leave; its end
                is then no crash.
            on_crash: Takes each crash, in one part or several.
            log: Gets a line for each.
            on_broken: Called with the reason where an invariant is broken.
        """
        self._timers = timers
        self._check = check
        self._is_leaving = is_leaving
        self._on_crash = on_crash
        self._log = log
        self._on_broken = on_broken
        # By incarnation, until its endpoint was checked.
        self._pending_checks: dict[tuple[str, int], _PendingCheck] = {}
        self._counts = {"checks": 0, "crashes": 0, "requests": 0}

    @property
    def counts(self) -> dict[str, int]:
        """Checks, crashes that they found, and requests that were there."""
        return dict(self._counts)

    def observe_broken_answer(self, request: inflight.InFlight) -> None:
        """Notes that the answer of the endpoint that a request is at broke."""
        endpoint = request.endpoint
        if self._is_leaving(endpoint):
            return
        run = InterruptedRequest(
            fingerprint=request.fingerprint,
            caller_id=request.caller_id,
            request_id=request.info.request_id,
            path=request.caller.path.decode("latin-1"),
            ran_s=request.ran_s(self._timers.now),
        )
        pending_check = self._pending_checks.get(endpoint.incarnation)
        if pending_check is None:
            self._pending_checks[endpoint.incarnation] = _PendingCheck(
                runs=[run]
            )
            task.spawn(
                self._check_endpoint(endpoint),
                name="crashwatch",
                on_broken=self._on_broken,
            )
        elif len(pending_check.runs) < MAX_RUNS:
            pending_check.runs.append(run)

    async def wait_for_check(self, endpoint: directory.Registration) -> None:
        """Waits until an endpoint that was noted is checked, or for long."""
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
            self._record_crash(endpoint, pending_check.runs, reason)
        waiting, pending_check.waiting = pending_check.waiting, []
        for waited in waiting:
            waited.callback(None)

    def _record_crash(
        self,
        endpoint: directory.Registration,
        runs: list[InterruptedRequest],
        reason: str,
    ) -> None:
        self._counts["crashes"] += 1
        self._counts["requests"] += len(runs)
        self._log.note(
            "endpoint_crashed",
            endpoint=endpoint.id,
            born_ms=endpoint.born_ms,
            service=endpoint.service,
            zone=endpoint.zone,
            reason=reason,
            runs=[
                {
                    "request": run.request_id,
                    "fingerprint": run.fingerprint,
                    "caller": run.caller_id,
                    "path": run.path[:MAX_PATH_CHARS],
                    "ran_s": None if run.ran_s is None else round(run.ran_s, 3),
                }
                for run in runs
            ],
        )
        crash = Crash(endpoint=endpoint, runs=tuple(runs), reason=reason)
        self._on_crash(crash)
