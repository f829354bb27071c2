"""The adapter to plain services, which give one complete answer per request."""

from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer

from bulrushgrade import eventstream
from bulrushgrade_daemon import engine
from bulrushgrade_daemon import httpclient

# An answer is buffered completely before the caller gets a byte of it, so that
# a truncated one is detected and, where allowed, the request retried. This
# limits the memory per answer.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
EVENT_STREAM = "text/event-stream"
# Headers that belong to a single connection, or that this host sets itself. A
# caller that could set the attempt id could make its answer look like the
# answer to another request.
HOP_BY_HOP_HEADERS = frozenset({
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
    "te", "trailer", "transfer-encoding", "upgrade", "host",
    "content-length", "expect", "accept-encoding", "x-attempt-id",
    "x-request-id",
})  # fmt: skip


@attrs.frozen(kw_only=True)
class PlainCall:
    """One attempt to run a request on a plain service.

    Attributes:
        attempt_id: Unique for this attempt.
        request_id: The caller's request.
        address: The endpoint's ``IP:PORT``.
        method: The HTTP method.
        path: The path and query for the endpoint.
        headers: The headers to forward.
        body: The request's body.
    """

    attempt_id: str
    request_id: str
    address: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.frozen(kw_only=True)
class PlainAnswer:
    """A complete answer of a plain service.

    Attributes:
        status: The HTTP status.
        headers: The headers, without hop-by-hop headers.
        body: The body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PlainClient:
    """Sends requests to plain services."""

    name = "plain"
    requires = ()

    def __init__(self, *, reactor: Any):
        self._reactor = reactor
        self._shared = httpclient.open_client(reactor)

    async def start(self) -> None:
        """Does nothing; connections are opened by the first call."""

    async def stop(self) -> None:
        """Closes the idle connections."""
        await self._shared.pool.closeCachedConnections()

    def receive(self, message: Any) -> None:
        """Ignores messages; none are sent to this service."""

    def dump(self) -> dict[str, Any]:
        """Returns no state; the relay counts requests."""
        return {}

    async def send(
        self,
        call: PlainCall,
        *,
        timeout_s: float,
        non_repeatable: bool = False,
        check: Callable[[], bool] | None = None,
    ) -> PlainAnswer | engine.NotStarted | engine.Lost:
        """Sends one attempt and returns its complete answer or how it failed.

        Args:
            call: The attempt.
            timeout_s: How long the complete answer may take.
            non_repeatable: Whether the request must not be repeated. It is then
                sent on a connection of its own, never on a pooled one, whose
                state is uncertain.
            check: Called in the reactor iteration of the write; only with
                `non_repeatable`.
        """
        client = (
            httpclient.open_client(self._reactor, persistent=False, check=check)
            if non_repeatable
            else self._shared
        )
        answer = defer.Deferred.fromCoroutine(self._exchange(client, call))
        try:
            return await answer.addTimeout(timeout_s, self._reactor)
        except defer.TimeoutError:
            return engine.Lost(reason="timed out")
        except Exception as error:
            if httpclient.was_not_sent(error):
                return engine.NotStarted(reason=f"not sent: {error}")
            return engine.Lost(reason=type(error).__name__)

    async def _exchange(
        self, client: httpclient.Client, call: PlainCall
    ) -> PlainAnswer | engine.NotStarted | engine.Lost:
        response = await httpclient.send(
            client,
            call.method,
            f"http://{call.address}{call.path}",
            headers=(
                *call.headers,
                (engine.ATTEMPT_HEADER, call.attempt_id),
                (engine.REQUEST_HEADER, call.request_id),
            ),
            body=call.body,
        )
        try:
            body = await httpclient.read_body(
                response, max_bytes=MAX_ANSWER_BYTES
            )
        except httpclient.BodyError as error:
            return engine.Lost(reason=str(error))
        if _is_event_stream(response) and _ends_within_event(body):
            return engine.Lost(reason="stream ended within an event")
        # Guards against a late answer to an earlier request on the same
        # connection being taken as the answer to this one. It is detected if
        # the service names the attempt that it answers.
        named = response.headers.getRawHeaders(engine.ATTEMPT_HEADER)
        if named is not None and named != [call.attempt_id]:
            return engine.Lost(reason="answer to another request")
        if response.headers.hasHeader(engine.NOT_STARTED_HEADER):
            return engine.NotStarted(
                reason=f"endpoint refused with {response.code}",
                answered=True,
            )
        return PlainAnswer(
            status=response.code,
            headers=_read_answer_headers(response),
            body=body,
        )


def drop_hop_by_hop_headers(
    headers: list[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers to forward, without hop-by-hop headers."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
    )


def _is_event_stream(response: Any) -> bool:
    types = response.headers.getRawHeaders("Content-Type", [""])
    media_type, _, _ = types[0].partition(";")
    return media_type.strip().lower() == EVENT_STREAM


def _ends_within_event(body: bytes) -> bool:
    splitter = eventstream.EventSplitter()
    splitter.feed(body)
    return splitter.partial


def _read_answer_headers(response: Any) -> tuple[tuple[str, str], ...]:
    return drop_hop_by_hop_headers(
        [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, values in response.headers.getAllRawHeaders()
            for value in values
        ]
    )
