"""Follows the request rates that endpoints state they accept."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from bulrushgrade import directory as directory_module
from bulrushgrade import endpointlimits
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import gatewaymessages

REPORT_PERIOD_S = 4.0
"""Interval between log lines about the requests sent to limited endpoints."""


class RateLimits:
    """What this host knows of endpoints' limits, and what it sends to them."""

    name = "ratelimits"
    requires = ("timer",)

    def __init__(self, *, timers: Any, log: decisionlog.DecisionLog):
        """Creates the service without limits.

        Args:
            timers: The timer service.
            log: Gets a line for each change of a limit.
        """
        self._timers = timers
        self._log = log
        self._limits = endpointlimits.EndpointLimits()
        # Requests sent to limited endpoints since the last report, by what
        # they were.
        self._sent: dict[
            endpointlimits.Incarnation, collections.Counter[str]
        ] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._subscribers: list[
            Callable[[endpointlimits.Incarnation], None]
        ] = []
        self._tick: Any = None

    @property
    def counts(self) -> dict[str, int]:
        """Requests sent to limited endpoints by what they were."""
        return dict(self._counts)

    @property
    def limited_endpoints(self) -> int:
        """The number of endpoints that state a limit."""
        return len(self._limits)

    async def start(self) -> None:
        """Starts the periodic reports."""
        self._tick = self._timers.every(REPORT_PERIOD_S, self._report)

    async def stop(self) -> None:
        """Stops the periodic reports."""
        if self._tick is not None:
            self._tick.cancel()

    def receive(self, message: Any) -> None:
        """Ignores messages."""

    def dump(self) -> dict[str, Any]:
        """Returns the limits with their age, and the counts."""
        now = self._timers.now
        return {
            "limits": {
                endpoint[0]: {
                    "per_s": limit.per_s,
                    "age_s": round(now - limit.as_of, 3),
                }
                for endpoint, limit in self._limits.items()
            },
            "sent": self.counts,
        }

    def subscribe(
        self, callback: Callable[[endpointlimits.Incarnation], None]
    ) -> None:
        """Has a callback called with each endpoint whose limit changes."""
        self._subscribers.append(callback)

    def limit_of(self, endpoint: endpointlimits.Incarnation) -> float | None:
        """Returns an endpoint's limit in requests per second, or None."""
        return self._limits.per_s(endpoint)

    def limited(self) -> list[endpointlimits.Incarnation]:
        """Returns the endpoints that state a limit."""
        return self._limits.limited()

    def items(
        self,
    ) -> Iterable[tuple[endpointlimits.Incarnation, endpointlimits.Limit]]:
        """Returns all remembered observations, ends of limits included."""
        return self._limits.items()

    def encode(
        self, endpoint: endpointlimits.Incarnation
    ) -> gatewaymessages.LimitNews | None:
        """Returns what is known of an endpoint's limit for a message."""
        limit = self._limits.find(endpoint)
        if limit is None:
            return None
        age_ms = round((self._timers.now - limit.as_of) * 1000)
        is_prefill = limit.kind is endpointlimits.AnswerKind.PREFILL
        return limit.per_s, max(0, age_ms), is_prefill

    def merge(
        self,
        endpoint: endpointlimits.Incarnation,
        news: gatewaymessages.LimitNews | None,
        *,
        peer: str,
    ) -> None:
        """Takes in what a peer knows of an endpoint's limit."""
        if news is None:
            return
        now, (per_s, age_ms, is_prefill) = self._timers.now, news
        kind = endpointlimits.AnswerKind.RUN
        if is_prefill:
            kind = endpointlimits.AnswerKind.PREFILL
        limit = endpointlimits.Limit(
            per_s=per_s, as_of=now - age_ms / 1000, kind=kind
        )
        change = self._limits.merge(endpoint, limit, now)
        if change is not None:
            age_s = round(age_ms / 1000, 3)
            self._record_change(change, source=peer, age_s=age_s)

    def count_sent(
        self, endpoint: directory_module.Registration, what: str
    ) -> None:
        """Counts a request to an endpoint if it states a limit.

        Args:
            endpoint: The endpoint.
            what: What is sent, see `EndpointSignals.count_sent`.
        """
        if self._limits.per_s(endpoint.incarnation) is None:
            return
        self._counts[what] += 1
        sent = self._sent.setdefault(
            endpoint.incarnation, collections.Counter()
        )
        sent[what] += 1

    def observe_answer(
        self,
        endpoint: directory_module.Registration,
        verdict: dialect.Verdict,
        *,
        kind: endpointlimits.AnswerKind,
        sent_at: float,
        request_id: str | None,
    ) -> None:
        """Takes in the limit that an answer states or doesn't state.

        Args:
            endpoint: The endpoint that answered.
            verdict: What the answer's headers say.
            kind: What was asked of the endpoint.
            sent_at: When the request was sent.
            request_id: The caller's request, None for the system's own calls.
        """
        if verdict.misdirected:
            # The answer is another endpoint's.
            return
        if verdict.invalid_limit is not None:
            self._log.note(
                "endpoint_limit_invalid",
                endpoint=endpoint.id,
                request=request_id,
                limit=verdict.invalid_limit,
            )
            if verdict.limit_per_s is None:
                return
        if verdict.limit_per_s is None and verdict.not_run:
            # Whatever refuses on the endpoint's behalf may not know of it.
            return
        change = self._limits.observe_answer(
            endpoint.incarnation,
            verdict.limit_per_s,
            kind=kind,
            sent_at=sent_at,
            now=self._timers.now,
        )
        if change is not None:
            self._record_change(change, source=kind.value, request=request_id)

    def _record_change(
        self, change: endpointlimits.LimitChange, **fields: Any
    ) -> None:
        for callback in self._subscribers:
            callback(change.endpoint)
        self._log.note(
            "endpoint_limit_changed",
            endpoint=change.endpoint[0],
            born_ms=change.endpoint[1],
            before=change.before,
            limit=change.limit,
            **fields,
        )

    def _report(self) -> None:
        now = self._timers.now
        for change in self._limits.expire(now):
            self._record_change(change, source="expired")
        sent, self._sent = self._sent, {}
        for endpoint, counts in sent.items():
            limit = self._limits.find(endpoint)
            if limit is None or limit.per_s is None:
                continue
            self._log.note(
                "limited_endpoint_sends",
                endpoint=endpoint[0],
                limit=limit.per_s,
                age_s=round(now - limit.as_of, 3),
                window_s=REPORT_PERIOD_S,
                **counts,
            )
