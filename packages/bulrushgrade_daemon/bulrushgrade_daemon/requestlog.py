"""Log lines about single requests."""

from collections.abc import Callable
from typing import Any

from bulrushgrade import attempts
from bulrushgrade import directory
from bulrushgrade import partblame
from bulrushgrade import routing
from bulrushgrade import workspaces
from bulrushgrade_daemon import crashwatch
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import inflight

_UNCONNECTED = frozenset({attempts.Outcome.UNREACHED, attempts.Outcome.NO_LINK})
"""Ends of attempts without an open connection, which tell nothing of a run."""


class RequestLog:
    """Logs requests that were refused, failed or late."""

    def __init__(
        self, *, log: decisionlog.DecisionLog, now: Callable[[], float]
    ):
        """Creates a request log.

        Args:
            log: Receives the lines.
            now: Returns the current time in seconds.
        """
        self._log = log
        self._now = now

    def log_unconfigured(self, info: dialect.RequestInfo) -> None:
        """Logs a refusal because no configuration is known yet."""
        self._log.note(
            "request_refused",
            request=info.request_id,
            reason="no configuration yet",
        )

    def log_stopping(
        self,
        info: dialect.RequestInfo,
        route: routing.Route,
        ends_in_s: float,
    ) -> None:
        """Logs a refusal because the process ends before the request would."""
        self._log.note(
            "request_refused",
            request=info.request_id,
            route=route.name,
            reason="host is stopping",
            ends_in_s=round(ends_in_s, 3),
        )

    def log_quarantined(
        self, request: inflight.InFlight, crashes: int, left_s: float
    ) -> None:
        """Logs a refusal because the request has crashed endpoints before."""
        self._log.note(
            "request_refused",
            request=request.info.request_id,
            route=request.route.name,
            reason="quarantined",
            fingerprint=request.fingerprint,
            crashes=crashes,
            left_s=round(left_s),
        )

    def log_quarantined_parts(
        self, request: inflight.InFlight, blame: partblame.Blame, left_s: float
    ) -> None:
        """Logs a refusal because a part of the prompt has crashed endpoints."""
        self._log.note(
            "request_refused",
            request=request.info.request_id,
            route=request.route.name,
            reason="prompt part quarantined",
            parts=sorted(part.hex() for part in blame.parts),
            crashes=blame.crashes,
            left_s=round(left_s),
        )

    def log_completed_after_crash(
        self, request: inflight.InFlight, crashes: int
    ) -> None:
        """Logs the complete answer of a request that was at crashes."""
        prompt = request.info.prompt
        parts = () if prompt is None else prompt.parts
        self._log.note(
            "request_completed_after_crash",
            request=request.info.request_id,
            route=request.route.name,
            fingerprint=request.fingerprint,
            crashes=crashes,
            endpoint=request.endpoint.id,
            software=request.endpoint.software,
            ran_s=_rounded(request.ran_s(self._now())),
            parts=[part.id for part in parts[: crashwatch.MAX_LOGGED_PARTS]],
        )

    def log_no_route(
        self,
        info: dialect.RequestInfo,
        version: int,
        hostname: bytes,
        path: str,
    ) -> None:
        """Logs that no route matches a request."""
        self._log.note(
            "no_route",
            request=info.request_id,
            configuration=version,
            hostname=hostname.decode("latin-1"),
            path=path,
        )

    def log_unauthorized(
        self,
        info: dialect.RequestInfo,
        route: routing.Route,
        version: int,
        denial: workspaces.Denial,
    ) -> None:
        """Logs that a request has no valid key."""
        self._log.note(
            "request_unauthorized",
            request=info.request_id,
            route=route.name,
            configuration=version,
            reason=denial.value,
            key_ids=sorted(map(workspaces.make_key_id, info.key_digests)),
        )

    def log_attempt(
        self,
        request: inflight.InFlight,
        endpoint: directory.Registration,
        ended: inflight.AttemptEnd,
        *,
        again: bool,
    ) -> None:
        """Logs that an attempt ended without a complete answer."""
        now = self._now()
        run_fields = {}
        if ended.outcome not in _UNCONNECTED:
            run_fields = {
                "fingerprint": request.fingerprint,
                "ran_s": _rounded(request.ran_s(now)),
                "events": request.splitter.events,
            }
        self._log.note(
            "attempt_ended",
            request=request.info.request_id,
            route=request.route.name,
            endpoint=endpoint.id,
            software=endpoint.software,
            outcome=ended.outcome.value,
            reason=ended.reason,
            **({} if ended.path is None else {"path": ended.path.value}),
            **({} if ended.peer is None else {"relay": ended.peer}),
            arrivals=request.history.arrivals,
            **run_fields,
            left_s=round(request.left_s(now), 3),
            again=again,
        )

    def log_early_retry(
        self,
        request: inflight.InFlight,
        *,
        waited_s: float,
        limit_s: float,
        expected_s: float,
    ) -> None:
        """Logs that an attempt is given up because its endpoint is silent.

        Args:
            request: The request.
            waited_s: Time since it was written to the endpoint.
            limit_s: How long the endpoint might be silent.
            expected_s: Expected time to the first byte of the response.
        """
        self._log.note(
            "early_retry",
            request=request.info.request_id,
            route=request.route.name,
            service=request.service,
            endpoint=request.endpoint.id,
            waited_s=round(waited_s, 3),
            limit_s=round(limit_s, 3),
            expected_s=round(expected_s, 3),
            is_prefill=request.is_prefilling,
        )

    def log_relayed(
        self, request: inflight.InFlight, endpoint: directory.Registration
    ) -> None:
        """Logs that an endpoint answers a request by way of a peer."""
        self._log.note(
            "request_relayed",
            request=request.info.request_id,
            route=request.route.name,
            endpoint=endpoint.id,
            relay=request.relay,
        )

    def log_resuming(
        self, request: inflight.InFlight, endpoint: directory.Registration
    ) -> None:
        """Logs that an endpoint is sent the rest of a stream."""
        self._log.note(
            "stream_resuming",
            request=request.info.request_id,
            route=request.route.name,
            resumes=request.info.resumes,
            after=request.last_event_id,
            endpoint=endpoint.id,
            software=endpoint.software,
        )

    def log_ended(
        self, request: inflight.InFlight, step: attempts.NextStep, reason: str
    ) -> None:
        """Logs that a request ended without an answer of an endpoint."""
        self._log.note(
            "request_ended",
            request=request.info.request_id,
            route=request.route.name,
            service=request.service,
            step=step.value,
            reason=reason,
            arrivals=request.history.arrivals,
            runs=request.history.runs,
            **request.describe_denials(),
            **request.describe_plan(),
            took_s=round(self._now() - request.caller.arrived_at, 4),
        )

    def log_late(
        self,
        request: inflight.InFlight,
        endpoint: directory.Registration,
        estimates: dict[str, Any],
    ) -> None:
        """Logs that a stream started too late or paused for too long.

        Args:
            request: The request that is answered with the stream.
            endpoint: The endpoint that generates the stream.
            estimates: The current estimates of that engine's state.
        """
        pace = request.pace
        first_s = pace.first_at - request.caller.arrived_at
        self._log.note(
            "stream_late",
            request=request.info.request_id,
            route=request.route.name,
            endpoint=endpoint.id,
            first_event_after_s=round(first_s, 3),
            read_after_s=_rounded(request.read_after_s),
            longest_pause_s=round(pace.longest_pause_s, 3),
            events=request.splitter.events,
            **request.describe_plan(),
            **estimates,
        )

    def log_broken(self, request: inflight.InFlight | None, trace: str) -> None:
        """Logs that the task of a request raised an exception.

        Args:
            request: The request, or None if it was not admitted yet.
            trace: The traceback.
        """
        fields = {}
        if request is not None:
            fields = {
                "request": request.info.request_id,
                "route": request.route.name,
            }
        self._log.note("request_broken", **fields, trace=trace)

    def log_timed_out(self, request: inflight.InFlight) -> None:
        """Logs that a request's deadline passed."""
        self._log.note(
            "request_timed_out",
            request=request.info.request_id,
            route=request.route.name,
            endpoint=request.endpoint.id if request.endpoint else None,
            begun=request.history.begun,
            events=request.splitter.events,
            arrivals=request.history.arrivals,
        )


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
