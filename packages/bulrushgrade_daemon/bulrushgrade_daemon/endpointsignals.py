"""Takes in what endpoints state of themselves in any of their answers.

An endpoint may state a request limit for all hosts, that it is leaving, or
that it wants nothing from this host for a time. Every answer is read for this,
whatever was asked.
"""

import collections
from collections.abc import Callable
import enum
from typing import Any

import attrs

from bulrushgrade import directory as directory_module
from bulrushgrade import endpointbackoffs
from bulrushgrade import endpointdrains
from bulrushgrade import endpointlimits
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import ratelimits

REPORT_PERIOD_S = 4.0
"""Interval between log lines about requests that endpoints did not want."""

ACCEPTED_KINDS = frozenset(
    {endpointlimits.AnswerKind.RUN, endpointlimits.AnswerKind.PREFILL}
)
"""Kinds of answers that show that an endpoint accepts callers' requests."""


class Reason(enum.Enum):
    """Why nothing may be sent to an endpoint."""

    LEAVING = "leaving"
    BACKOFF = "backoff"


@attrs.frozen(kw_only=True)
class CallGuard:
    """Checks the system's own calls to one engine.

    Attributes:
        begin: Called in the turn of the write with what is called; returns
            whether the call may be sent, and counts it if so.
        observe: Takes in the head of the answer.
    """

    begin: Callable[[str], bool]
    observe: Callable[[dialect.Verdict], None]


class EndpointSignals:
    """What endpoints state of themselves, by incarnation."""

    name = "endpointsignals"
    requires = ("timer", "ratelimits")

    def __init__(
        self,
        *,
        timers: Any,
        limits: ratelimits.RateLimits,
        directory: Callable[[], directory_module.Directory],
        log: decisionlog.DecisionLog,
    ):
        """Creates the service without any statement.

        Args:
            timers: The timer service.
            limits: The limits that endpoints state.
            directory: Returns the known endpoints.
            log: Gets a line for each statement that is news.
        """
        self._timers = timers
        self._limits = limits
        self._directory = directory
        self._log = log
        self._drains = endpointdrains.EndpointDrains()
        self._backoffs = endpointbackoffs.EndpointBackoffs()
        self._counts: collections.Counter[str] = collections.Counter()
        # Requests sent since the last report to endpoints that wanted none,
        # by what they were.
        self._unwanted: dict[
            endpointlimits.Incarnation, collections.Counter[str]
        ] = {}
        # The last invalid text of each signal.
        self._invalid_texts: dict[
            endpointlimits.Incarnation, dict[str, str]
        ] = {}
        self._subscribers: list[
            Callable[[endpointlimits.Incarnation], None]
        ] = []
        self._tick: Any = None

    @property
    def drains(self) -> endpointdrains.EndpointDrains:
        """The endpoints that state that they are leaving."""
        return self._drains

    @property
    def backoffs(self) -> endpointbackoffs.EndpointBackoffs:
        """The backoffs that endpoints asked for."""
        return self._backoffs

    @property
    def counts(self) -> dict[str, int]:
        """Statements by kind, and requests sent in spite of them."""
        return dict(self._counts)

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
        """Returns the drains with their age, backoffs and counts."""
        now = self._timers.now
        return {
            "leaving": {
                endpoint[0]: {"age_s": round(now - drain.since, 3)}
                for endpoint, drain in self._drains.items()
            },
            "backoff": {
                endpoint[0]: {"left_s": round(backoff.until - now, 3)}
                for endpoint, backoff in self._backoffs.items()
                if backoff.until > now
            },
            "counts": self.counts,
        }

    def subscribe(
        self, callback: Callable[[endpointlimits.Incarnation], None]
    ) -> None:
        """Has a callback called with each endpoint that begins to leave."""
        self._subscribers.append(callback)

    def why_withheld(
        self, endpoint: directory_module.Registration
    ) -> Reason | None:
        """Returns why nothing may be sent to an endpoint now, or None.

        To be called in the turn of the write: what an endpoint states may have
        changed since it was chosen.
        """
        if self.backoff_left_s(endpoint) > 0:
            return Reason.BACKOFF
        if not self._directory().accepts(endpoint, now=self._timers.now):
            return Reason.LEAVING
        return None

    def backoff_left_s(self, endpoint: directory_module.Registration) -> float:
        """Returns how long an endpoint wants nothing from this host."""
        return self._backoffs.left_s(endpoint.incarnation, self._timers.now)

    def unrecorded_drains(self) -> list[endpointlimits.Incarnation]:
        """Returns the drains that the store's records don't show yet."""
        directory = self._directory()
        return [
            endpoint
            for endpoint, _ in self._drains.items()
            if not directory.records_leaving(endpoint)
        ]

    def encode_drain(
        self, endpoint: endpointlimits.Incarnation
    ) -> gatewaymessages.DrainNews | None:
        """Returns what is known of an endpoint's drain for a message."""
        since = self._drains.since(endpoint)
        if since is None:
            return None
        age_ms = max(0, round((self._timers.now - since) * 1000))
        return (*endpoint, age_ms)

    def merge_drain(
        self, news: gatewaymessages.DrainNews, *, peer: str
    ) -> None:
        """Takes in what a peer knows of an endpoint's drain.

        Old news of an endpoint that is not known here are of one that has
        ended; hosts would go on telling them to each other.
        """
        id, born_ms, age_ms = news
        endpoint, age_s = (id, born_ms), age_ms / 1000
        is_old = age_s >= endpointdrains.FORGET_S
        if is_old and not self._directory().knows(endpoint):
            return
        if self._drains.observe(endpoint, self._timers.now - age_s):
            self._record_drain(endpoint, source=peer, age_s=round(age_s, 3))

    def merge_backoff(self, notice: gatewaymessages.BackoffNotice) -> None:
        """Takes in a backoff that an endpoint stated in a relayed answer."""
        endpoint = self._directory().recall((notice.endpoint, notice.born_ms))
        if endpoint is not None:
            self._observe_backoff(
                endpoint, notice.backoff_ms / 1000, notice.peer, None
            )

    def count_sent(
        self, endpoint: directory_module.Registration, what: str
    ) -> None:
        """Counts a request that is being sent to an endpoint.

        Args:
            endpoint: The endpoint.
            what: ``first``, ``repeat`` or ``prefill`` for callers' requests,
                else the name of the call.
        """
        self._limits.count_sent(endpoint, what)
        incarnation, now = endpoint.incarnation, self._timers.now
        is_backing_off = self._backoffs.left_s(incarnation, now) > 0
        if not is_backing_off and self._drains.since(incarnation) is None:
            return
        self._counts["unwanted"] += 1
        sent = self._unwanted.setdefault(incarnation, collections.Counter())
        sent[what] += 1

    def guard(
        self,
        engine: directory_module.Registration,
        *,
        may_be_leaving: bool = False,
    ) -> CallGuard:
        """Returns the checks of calls to an engine.

        Args:
            engine: The engine.
            may_be_leaving: Whether the calls help an engine that is leaving.
        """

        def begin(what: str) -> bool:
            reason = self.why_withheld(engine)
            if reason is Reason.LEAVING and may_be_leaving:
                reason = None
            if reason is not None:
                self._counts["withheld"] += 1
                return False
            self.count_sent(engine, what)
            return True

        def observe(verdict: dialect.Verdict) -> None:
            self.observe_answer(
                engine,
                verdict,
                kind=endpointlimits.AnswerKind.CONTROL,
                sent_at=self._timers.now,
                request_id=None,
            )

        return CallGuard(begin=begin, observe=observe)

    def observe_answer(
        self,
        endpoint: directory_module.Registration,
        verdict: dialect.Verdict,
        *,
        kind: endpointlimits.AnswerKind,
        sent_at: float,
        request_id: str | None,
    ) -> None:
        """Takes in what an answer states of its endpoint.

        Args:
            endpoint: The endpoint that answered.
            verdict: What the answer's head says.
            kind: What was asked of the endpoint.
            sent_at: When the request was sent.
            request_id: The caller's request, None for the system's own calls.
        """
        if verdict.misdirected:
            # The answer is another endpoint's.
            return
        for signal, text in verdict.invalid_signals:
            self._observe_invalid(endpoint, signal, text, request_id)
        self._limits.observe_answer(
            endpoint, verdict, kind=kind, sent_at=sent_at, request_id=request_id
        )
        now = self._timers.now
        if verdict.is_leaving and self._drains.observe(
            endpoint.incarnation, now
        ):
            self._record_drain(
                endpoint.incarnation, source=kind.value, request=request_id
            )
        if verdict.backoff_s is not None:
            self._observe_backoff(
                endpoint, verdict.backoff_s, kind.value, request_id
            )
        elif not verdict.not_run and kind in ACCEPTED_KINDS:
            self._backoffs.observe_accepted(endpoint.incarnation, sent_at, now)

    def _observe_invalid(
        self,
        endpoint: directory_module.Registration,
        signal: str,
        text: str,
        request_id: str | None,
    ) -> None:
        """Logs a statement that can't be used, once while it is the same."""
        self._counts["invalid"] += 1
        texts = self._invalid_texts.setdefault(endpoint.incarnation, {})
        if texts.get(signal) == text:
            return
        texts[signal] = text
        self._log.note(
            "endpoint_signal_invalid",
            endpoint=endpoint.id,
            request=request_id,
            signal=signal,
            text=text,
        )

    def _observe_backoff(
        self,
        endpoint: directory_module.Registration,
        stated_s: float,
        source: str,
        request_id: str | None,
    ) -> None:
        now = self._timers.now
        self._counts["backoff"] += 1
        if self._backoffs.observe(endpoint.incarnation, stated_s, now):
            self._log.note(
                "endpoint_backoff",
                endpoint=endpoint.id,
                born_ms=endpoint.born_ms,
                stated_s=stated_s,
                left_s=self._backoffs.left_s(endpoint.incarnation, now),
                accepted_per_s=self._describe_accepted(endpoint.incarnation),
                source=source,
                request=request_id,
            )

    def _describe_accepted(self, endpoint: endpointlimits.Incarnation) -> float:
        return round(self._backoffs.find(endpoint).accepted_per_s, 2)

    def _record_drain(
        self, endpoint: endpointlimits.Incarnation, **fields: Any
    ) -> None:
        self._counts["leaving"] += 1
        for callback in self._subscribers:
            callback(endpoint)
        self._log.note(
            "endpoint_leaving",
            endpoint=endpoint[0],
            born_ms=endpoint[1],
            **fields,
        )

    def _report(self) -> None:
        now = self._timers.now
        knows = self._directory().knows
        self._drains.forget(now, knows)
        for endpoint in [e for e in self._invalid_texts if not knows(e)]:
            del self._invalid_texts[endpoint]
        for endpoint in self._backoffs.expire(now):
            self._log.note(
                "endpoint_recovered", endpoint=endpoint[0], born_ms=endpoint[1]
            )
        unwanted, self._unwanted = self._unwanted, {}
        for endpoint, counts in unwanted.items():
            backoff = self._backoffs.find(endpoint)
            leaving_since = self._drains.since(endpoint)
            self._log.note(
                "unwanted_endpoint_sends",
                endpoint=endpoint[0],
                leaving_age_s=_age_s(leaving_since, now),
                backoff_age_s=_age_s(backoff and backoff.since, now),
                window_s=REPORT_PERIOD_S,
                **counts,
            )


def _age_s(since: float | None, now: float) -> float | None:
    return None if since is None else round(now - since, 3)
