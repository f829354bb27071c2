"""Sends requests to endpoints on behalf of callers."""

from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success
from twisted.web import http

from bulrushgrade import answerlimits
from bulrushgrade import attempts
from bulrushgrade import directory as directory_module
from bulrushgrade import endpointlimits
from bulrushgrade_daemon import dialect as dialect_module
from bulrushgrade_daemon import endpointconnector
from bulrushgrade_daemon import endpointsignals
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import task

FREE_TIMEOUT_S = 0.5
"""Timeout for freeing an unused prefill, which expires seconds later anyway."""


class EndpointCalls:
    """Sends requests to endpoints and reads their response headers."""

    def __init__(
        self,
        *,
        reactor: Any,
        now: Callable[[], float],
        dialect: dialect_module.Dialect,
        signals: endpointsignals.EndpointSignals,
        connector: endpointconnector.EndpointConnector,
        tell_backoff: Callable[
            [str, directory_module.Registration, float], None
        ],
        withholds: Callable[
            [inflight.InFlight, directory_module.Registration], bool
        ],
        on_broken: Callable[[str], None],
    ):
        """Creates the sender.

        Args:
            reactor: The reactor.
            now: Returns the current time in seconds.
            dialect: Translates headers.
            signals: What endpoints state of themselves.
            connector: Opens connections.
            tell_backoff: Tells a peer for how many seconds an endpoint wants
                nothing from it, as stated in an answer that it relayed.
            withholds: Returns whether a request's prompt may crash an endpoint.
            on_broken: Called with the reason if an invariant is violated.
        """
        self._withholds = withholds
        self._reactor = reactor
        self._now = now
        self._dialect = dialect
        self._signals = signals
        self._connector = connector
        self._tell_backoff = tell_backoff
        self._on_broken = on_broken

    async def run(
        self,
        request: inflight.InFlight,
        endpoint: directory_module.Registration,
        prefilled: dialect_module.PrefilledBy | None,
    ) -> outbound.Answer | inflight.AttemptEnd:
        """Has an endpoint run a request; returns the answer, body unread."""
        forwarding = dialect_module.ForwardingInfo(
            endpoint=endpoint,
            left_s=0.0,
            last_event_id=request.last_event_id,
            prefilled_by=prefilled,
            urgency=_urgency(request),
            fetch_from=None if prefilled else self._fetch_address(request),
        )
        return await self._send(request, forwarding)

    async def prefill(
        self,
        request: inflight.InFlight,
        engine: directory_module.Registration,
    ) -> dialect_module.PrefilledBy | inflight.AttemptEnd:
        """Has an engine prefill a prompt for the decoder."""
        forwarding = dialect_module.ForwardingInfo(
            endpoint=engine,
            left_s=0.0,
            prefill_only=True,
            urgency=_urgency(request),
            fetch_from=self._fetch_address(request),
        )
        sent = await self._send(request, forwarding)
        if isinstance(sent, inflight.AttemptEnd):
            return _as_prefill_end(sent)
        parts: list[bytes] = []
        try:
            end = await outbound.read_up_to(
                sent,
                parts.append,
                max_bytes=answerlimits.MAX_FETCHED_BODY_BYTES,
            )
        finally:
            sent.abort()
        found = None
        if end.whole and sent.status == http.OK:
            found = self._dialect.read_prefilled(b"".join(parts))
        if found is None:
            return inflight.AttemptEnd(
                outcome=attempts.Outcome.UNREAD,
                reason=f"prefill: status {sent.status} {end.reason}",
                connection_lost=end.is_connection_lost,
            )
        return dialect_module.PrefilledBy(
            address=f"{engine.host}:{engine.port}", handle=found.handle
        )

    def free(
        self,
        engine: directory_module.Registration,
        prefilled: dialect_module.PrefilledBy,
    ) -> None:
        """Frees a prefill that may not have been used, without waiting."""
        task.spawn(
            self._free(engine, prefilled),
            name="free",
            on_broken=self._on_broken,
        )

    async def _free(
        self,
        engine: directory_module.Registration,
        prefilled: dialect_module.PrefilledBy,
    ) -> None:
        method, uri = self._dialect.free_prefilled(prefilled.handle)
        guard = self._signals.guard(engine, may_be_leaving=True)

        def make_request() -> outbound.OutboundRequest | None:
            if not guard.begin("free"):
                return None
            return outbound.OutboundRequest(
                method=method,
                uri=uri,
                headers=[(b"host", prefilled.address.encode("ascii"))],
            )

        freed = await outbound.fetch_on(
            self._reactor,
            lambda: self.open_client(engine, may_be_leaving=True),
            make_request,
            timeout_s=FREE_TIMEOUT_S,
            max_bytes=answerlimits.MAX_FETCHED_BODY_BYTES,
        )
        if isinstance(freed, Success):
            answer = freed.unwrap()
            guard.observe(
                self._dialect.read_verdict(answer.status, answer.headers)
            )

    async def open_client(
        self,
        engine: directory_module.Registration,
        *,
        may_be_leaving: bool = False,
    ) -> Result[outbound.Client, outbound.CallFailed]:
        """Opens a connection for a call of the system's own.

        Args:
            engine: The engine.
            may_be_leaving: Whether the call helps an engine that is leaving.
        """
        opened = await self._connector.connect(
            engine, may_be_leaving=may_be_leaving
        )
        return _take_client(opened)

    async def open_own_client(
        self, engine: directory_module.Registration
    ) -> Result[outbound.Client, outbound.CallFailed]:
        """Opens a connection for a call that only this host may make."""
        return _take_client(await self._connector.connect_directly(engine))

    def _fetch_address(self, request: inflight.InFlight) -> str | None:
        """Returns the engine that cached parts are fetched from, or None."""
        source = request.plan.fetch_from if request.plan else None
        if source is None or self._signals.backoff_left_s(source) > 0:
            return None
        return f"{source.host}:{source.port}"

    async def _send(
        self,
        request: inflight.InFlight,
        forwarding: dialect_module.ForwardingInfo,
    ) -> outbound.Answer | inflight.AttemptEnd:
        """Sends a request; returns its answer unless that is a refusal."""
        written_at = self._now()
        withheld: str | None = None

        def make_request() -> outbound.OutboundRequest | None:
            nonlocal written_at, withheld
            written_at = self._now()
            withheld = self._why_withheld(
                request, forwarding.endpoint, written_at
            )
            if withheld is not None:
                return None
            # The remaining time is computed at the time of the write, since
            # opening the connection has taken some of it.
            request.written_at = written_at
            request.is_prefilling = forwarding.prefill_only
            workspace = request.workspace
            timed = attrs.evolve(
                forwarding,
                left_s=request.left_s(written_at),
                workspace=workspace.name if workspace else None,
                hides_key=request.hides_key,
            )
            caller = request.caller
            self._signals.count_sent(
                forwarding.endpoint, _describe_send(request, forwarding)
            )
            return outbound.OutboundRequest(
                method=caller.method,
                uri=caller.uri,
                headers=self._dialect.write_fields(
                    caller.requestHeaders, timed
                ),
                body=caller.body,
            )

        opened = await self._connector.connect(
            forwarding.endpoint, prefers_relay=request.prefers_relay
        )
        if isinstance(opened, Failure):
            return _describe_unconnected(opened.failure())
        connected = opened.unwrap()
        request.relay = connected.peer
        sent = await outbound.send_on(connected.client, make_request)
        if isinstance(sent, Failure):
            failed = sent.failure()
            outcome = attempts.Outcome.NO_LINK
            if failed.written:
                outcome = attempts.Outcome.LOST
            elif withheld is not None:
                outcome = attempts.Outcome.WITHHELD
            return inflight.AttemptEnd(
                outcome=outcome,
                reason=withheld or failed.reason,
                connection_lost=failed.written and failed.limit is None,
                path=connected.path,
                peer=connected.peer,
            )
        answer = sent.unwrap()
        verdict = self._dialect.read_verdict(answer.status, answer.headers)
        self._signals.observe_answer(
            forwarding.endpoint,
            verdict,
            kind=_answer_kind(forwarding),
            sent_at=written_at,
            request_id=request.info.request_id,
        )
        if verdict.backoff_s is not None and connected.peer is not None:
            self._tell_backoff(
                connected.peer, forwarding.endpoint, verdict.backoff_s
            )
        refusal = _read_refusal(request, answer, verdict)
        if refusal is None:
            return answer
        answer.abort()
        return refusal

    def _why_withheld(
        self,
        request: inflight.InFlight,
        endpoint: directory_module.Registration,
        now: float,
    ) -> str | None:
        """Returns why a request must not be written to an endpoint, or None."""
        if self._withholds(request, endpoint):
            return "prompt part quarantined"
        if not request.permit.is_valid(now):
            return "permit expired"
        reason = self._signals.why_withheld(endpoint)
        return None if reason is None else reason.value


def _take_client(
    opened: Result[endpointconnector.Connected, endpointconnector.NotConnected],
) -> Result[outbound.Client, outbound.CallFailed]:
    return opened.map(lambda connected: connected.client).alt(
        lambda failed: outbound.CallFailed(written=False, reason=failed.reason)
    )


def _describe_unconnected(
    failed: endpointconnector.NotConnected,
) -> inflight.AttemptEnd:
    outcome = attempts.Outcome.NO_LINK
    if failed.cause is endpointconnector.Cause.UNREACHED:
        outcome = attempts.Outcome.UNREACHED
    elif failed.cause is endpointconnector.Cause.WITHHELD:
        outcome = attempts.Outcome.WITHHELD
    return inflight.AttemptEnd(
        outcome=outcome,
        reason=failed.reason,
        path=failed.path,
        peer=failed.peer,
        is_last_path=failed.cause is endpointconnector.Cause.NO_RELAY,
    )


def _answer_kind(
    forwarding: dialect_module.ForwardingInfo,
) -> endpointlimits.AnswerKind:
    if forwarding.prefill_only:
        return endpointlimits.AnswerKind.PREFILL
    return endpointlimits.AnswerKind.RUN


def _read_refusal(
    request: inflight.InFlight,
    answer: outbound.Answer,
    verdict: dialect_module.Verdict,
) -> inflight.AttemptEnd | None:
    if verdict.misdirected:
        return inflight.AttemptEnd(
            outcome=attempts.Outcome.MISDIRECTED, reason="misdirected"
        )
    if verdict.not_run:
        return inflight.AttemptEnd(
            outcome=attempts.Outcome.TURNED_AWAY,
            reason=f"status {answer.status}, not run",
        )
    if verdict.request_id not in (None, request.info.request_id):
        return inflight.AttemptEnd(
            outcome=attempts.Outcome.LOST,
            reason="answer to another request",
        )
    return None


def _describe_send(
    request: inflight.InFlight, forwarding: dialect_module.ForwardingInfo
) -> str:
    if forwarding.prefill_only:
        return "prefill"
    return "repeat" if request.history.arrivals else "first"


def _as_prefill_end(ended: inflight.AttemptEnd) -> inflight.AttemptEnd:
    """Returns the end of a prefill: a lost one means that nothing has run."""
    if ended.outcome is attempts.Outcome.LOST:
        return attrs.evolve(ended, outcome=attempts.Outcome.UNREAD)
    return ended


def _urgency(request: inflight.InFlight) -> int | None:
    return None if request.plan is None else request.urgency
