"""Sends each HTTP request on a connection of its own.

A kept-alive connection can be dropped by a middlebox, closed by the peer while
a request is being written, or deliver the answer to an earlier request. Each
of these loses a request that must not be repeated. A separate connection
avoids them at the cost of one round trip.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success
from twisted.internet import defer
from twisted.internet import error as internet_error
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import _newclient
from twisted.web import http
from twisted.web import http_headers
from twisted.web import iweb
from zope.interface import implementer

from bulrushgrade import answerlimits
from bulrushgrade import directory
from bulrushgrade_daemon import answerbounds
from bulrushgrade_daemon import answerwatch
from bulrushgrade_daemon import connections

FINAL_STATUSES = range(200, 600)
"""Statuses that an answer may have. Twisted takes any integer for one."""


@attrs.frozen(kw_only=True)
class CallFailed:
    """A request that got no answer.

    Attributes:
        written: Whether any byte of it may have been written.
        reason: Text for logs.
        limit: The bound that the answer exceeds, or None.
    """

    written: bool
    reason: str
    limit: answerlimits.Limit | None = None


@attrs.frozen(kw_only=True)
class BodyEnd:
    """The end of a response body.

    Attributes:
        whole: Whether it is complete: either by its framing, or, without
            framing, because the connection was closed cleanly.
        reason: Text for logs if it is incomplete.
        limit: The bound that it exceeds, or None.
    """

    whole: bool
    reason: str = ""
    limit: answerlimits.Limit | None = None

    @property
    def is_connection_lost(self) -> bool:
        """Whether its connection ended before it did.

        This host closes the connection of an answer that exceeds a bound,
        which says nothing of a crash.
        """
        return not self.whole and self.limit is None


class NotPassedOnError(Exception):
    """A peer that relays a connection passed nothing on to the endpoint."""


class Client(_newclient.HTTP11ClientProtocol):
    """The connection of one request.

    Keeps why the connection was lost, for bodies without framing, and aborts
    it if the response exceeds a bound.
    """

    lost_reason: Any = None

    def request(self, request: Any) -> defer.Deferred:
        """Sends a request; fires with the response."""
        answered = _newclient.HTTP11ClientProtocol.request(self, request)
        if self._parser is not None:
            answerbounds.limit_parser(self._parser, self.abort_over_limit)
        return answered

    def abort_over_limit(self, limit: answerlimits.Limit) -> None:
        """Aborts the connection, as its response exceeds a bound."""
        answerwatch.observe(limit, self.transport)
        self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Keeps the reason."""
        self.lost_reason = reason
        _newclient.HTTP11ClientProtocol.connectionLost(self, reason)

    @property
    def is_passed_on(self) -> bool:
        """Whether the endpoint may have got any byte of the request."""
        lost = self.lost_reason
        return lost is None or not lost.check(NotPassedOnError)


def is_body_whole(client: Client, reason: Any) -> bool:
    """Returns whether the body of a response has arrived completely.

    A body without framing ends with its connection, so it is whole if the
    connection was closed in order.

    Args:
        client: The connection of the response.
        reason: Why Twisted ended the body.
    """
    if reason.check(http.PotentialDataLoss):
        lost = client.lost_reason
        return lost is not None and bool(
            lost.check(internet_error.ConnectionDone)
        )
    return bool(reason.check(_newclient.ResponseDone))


OpenClient = Callable[
    [directory.Registration], Awaitable[Result[Client, CallFailed]]
]
"""Opens a connection to an endpoint, on a path that its maker chooses."""


@implementer(iweb.IBodyProducer)
class BytesBody:
    """A request body that is in memory and sent in one write."""

    def __init__(self, *, body: bytes):
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> defer.Deferred:  # noqa: N802
        """Writes all of it."""
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Has nothing left to pause."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Has nothing left to send."""

    def stopProducing(self) -> None:  # noqa: N802
        """Has nothing left to stop."""


class _BodyReader(protocol.Protocol):
    def __init__(
        self,
        *,
        client: Client,
        on_data: Callable[[bytes], None],
        ended: defer.Deferred,
    ):
        self._client = client
        self._on_data = on_data
        self._ended = ended

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._on_data(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        ended, self._ended = self._ended, None
        if ended is None:
            return
        if is_body_whole(self._client, reason):
            ended.callback(BodyEnd(whole=True))
            return
        ended.callback(
            BodyEnd(
                whole=False,
                reason=_describe_end(reason),
                limit=answerbounds.find_limit(reason),
            )
        )


class Answer:
    """A response whose headers have arrived and whose body is unread."""

    def __init__(self, *, client: Client, response: Any):
        self._client = client
        self._response = response

    @property
    def status(self) -> int:
        """The status code."""
        return self._response.code

    @property
    def headers(self) -> http_headers.Headers:
        """The headers, without those of the connection."""
        return self._response.headers

    @property
    def producer(self) -> Any:
        """The producer that pauses and resumes reading of the body."""
        return self._client.transport

    def read(self, on_data: Callable[[bytes], None]) -> defer.Deferred:
        """Reads the body; fires with a `BodyEnd`.

        Args:
            on_data: Called with each chunk of the body as it arrives.
        """
        ended: defer.Deferred = defer.Deferred()
        reader = _BodyReader(client=self._client, on_data=on_data, ended=ended)
        self._response.deliverBody(reader)
        return ended

    def abort(self) -> None:
        """Aborts the connection, which makes the endpoint cancel its work."""
        self._client.transport.abortConnection()

    def abort_over_limit(self, limit: answerlimits.Limit) -> None:
        """Aborts the connection, as the answer exceeds a bound."""
        self._client.abort_over_limit(limit)


async def read_up_to(
    answer: Answer, on_data: Callable[[bytes], None], *, max_bytes: int
) -> BodyEnd:
    """Reads a body and aborts it if it exceeds a size.

    Args:
        answer: The answer.
        on_data: Called with each chunk of the body up to the size.
        max_bytes: The size.
    """
    meter = answerlimits.SizeMeter(
        max_bytes=max_bytes, limit=answerlimits.Limit.BODY_BYTES
    )

    def receive(data: bytes) -> None:
        if meter.exceeded is not None:
            return
        limit = meter.observe(len(data))
        if limit is None:
            on_data(data)
        else:
            answer.abort_over_limit(limit)

    end = await answer.read(receive)
    if meter.exceeded is None:
        return end
    return BodyEnd(
        whole=False,
        reason=answerlimits.describe(meter.exceeded),
        limit=meter.exceeded,
    )


@attrs.frozen(kw_only=True)
class OutboundRequest:
    """A request as it is written to the connection.

    Attributes:
        method: The HTTP method.
        uri: Path and query, already encoded.
        headers: Names and values in order; ``Host`` occurs once.
        body: The body, empty for none.
    """

    method: bytes
    uri: bytes
    headers: Iterable[tuple[bytes, bytes]]
    body: bytes = b""


@attrs.frozen(kw_only=True)
class Fetched:
    """A whole answer.

    Attributes:
        status: The status code.
        headers: The headers, without those of the connection.
        body: The body.
    """

    status: int
    headers: http_headers.Headers
    body: bytes


async def send(
    reactor: Any,
    host: str,
    port: int,
    request: OutboundRequest | Callable[[], OutboundRequest | None],
    *,
    connect_timeout_s: float,
) -> Result[Answer, CallFailed]:
    """Sends a request and returns the answer with its body unread.

    Cancelling aborts the connection.

    Args:
        reactor: The reactor.
        host: The IP address.
        port: The port.
        request: The request, or a function that returns it. The function is
            called in the same reactor turn as the write, so that headers
            with the remaining time are up to date and its checks still hold.
            If it returns None, nothing is written.
        connect_timeout_s: Timeout for opening the connection.
    """
    opening = await connect(reactor, host, port, timeout_s=connect_timeout_s)
    if isinstance(opening, Failure):
        return opening
    return await send_on(opening.unwrap(), request)


async def send_on(
    client: Client,
    request: OutboundRequest | Callable[[], OutboundRequest | None],
) -> Result[Answer, CallFailed]:
    """Sends a request on a connection; cancelling aborts the connection.

    Args:
        client: A connection that has not been used.
        request: The request, or a function that returns it, see `send`.
    """
    made = request() if callable(request) else request
    if made is None:
        client.transport.abortConnection()
        return Failure(CallFailed(written=False, reason="withheld"))
    headers = http_headers.Headers()
    for name, value in made.headers:
        headers.addRawHeader(name, value)
    body = BytesBody(body=made.body) if made.body else None
    outgoing = _newclient.Request(
        made.method, made.uri, headers, body, persistent=False
    )
    try:
        response = await client.request(outgoing)
    except defer.CancelledError:
        client.transport.abortConnection()
        raise
    except Exception as error:
        client.transport.abortConnection()
        if _was_cancelled(error):
            raise defer.CancelledError() from None
        return Failure(
            CallFailed(
                written=client.is_passed_on,
                reason=_describe_error(error),
                limit=answerbounds.find_limit(failure.Failure(error)),
            )
        )
    if response.code not in FINAL_STATUSES:
        client.transport.abortConnection()
        return Failure(CallFailed(written=True, reason="invalid status"))
    return Success(Answer(client=client, response=response))


async def connect(
    reactor: Any, host: str, port: int, *, timeout_s: float
) -> Result[Client, CallFailed]:
    """Opens a connection for one request; cancelling aborts it.

    Args:
        reactor: The reactor.
        host: The IP address.
        port: The port.
        timeout_s: Timeout for opening the connection.
    """
    opened = await connections.open_connection(
        reactor, host, port, Client, timeout_s=timeout_s
    )
    return opened.alt(
        lambda failed: CallFailed(written=False, reason=failed.reason)
    )


async def fetch(
    reactor: Any,
    host: str,
    port: int,
    request: OutboundRequest | Callable[[], OutboundRequest | None],
    *,
    connect_timeout_s: float,
    timeout_s: float,
    max_bytes: int,
) -> Result[Fetched, CallFailed]:
    """Returns a small answer with its complete body.

    Args:
        reactor: The reactor.
        host: The IP address.
        port: The port.
        request: The request, or a function that returns it, see `send`.
        connect_timeout_s: Timeout for opening the connection.
        timeout_s: Timeout for the whole exchange.
        max_bytes: Maximum size of the body.
    """
    return await fetch_on(
        reactor,
        lambda: connect(reactor, host, port, timeout_s=connect_timeout_s),
        request,
        timeout_s=timeout_s,
        max_bytes=max_bytes,
    )


async def fetch_on(
    reactor: Any,
    open_client: Callable[[], Awaitable[Result[Client, CallFailed]]],
    request: OutboundRequest | Callable[[], OutboundRequest | None],
    *,
    timeout_s: float,
    max_bytes: int,
) -> Result[Fetched, CallFailed]:
    """Returns a small answer with its complete body.

    Args:
        reactor: Measures the timeout.
        open_client: Opens the connection.
        request: The request, or a function that returns it, see `send`.
        timeout_s: Timeout for the whole exchange.
        max_bytes: Maximum size of the body.
    """
    fetched = defer.Deferred.fromCoroutine(
        _fetch(open_client, request, max_bytes)
    )
    fetched.addTimeout(timeout_s, reactor)
    try:
        return await fetched
    except defer.TimeoutError:
        return Failure(CallFailed(written=True, reason="timeout"))


async def _fetch(
    open_client: Callable[[], Awaitable[Result[Client, CallFailed]]],
    request: OutboundRequest | Callable[[], OutboundRequest | None],
    max_bytes: int,
) -> Result[Fetched, CallFailed]:
    opening = await open_client()
    if isinstance(opening, Failure):
        return opening
    sent = await send_on(opening.unwrap(), request)
    if isinstance(sent, Failure):
        return sent
    answer = sent.unwrap()
    try:
        return await _read_body(answer, max_bytes)
    finally:
        answer.abort()


async def _read_body(
    answer: Answer, max_bytes: int
) -> Result[Fetched, CallFailed]:
    parts: list[bytes] = []
    end = await read_up_to(answer, parts.append, max_bytes=max_bytes)
    if not end.whole:
        return Failure(
            CallFailed(written=True, reason=end.reason, limit=end.limit)
        )
    return Success(
        Fetched(
            status=answer.status, headers=answer.headers, body=b"".join(parts)
        )
    )


def _was_cancelled(error: BaseException) -> bool:
    # A request that is cancelled while waiting for its answer fails with the
    # error of a lost connection, which has the cancellation as its reason.
    reasons = getattr(error, "reasons", None) or ()
    return any(reason.check(defer.CancelledError) for reason in reasons)


def _describe_error(error: BaseException) -> str:
    inner = getattr(error, "reasons", None)
    if inner:
        limit = answerbounds.find_limit(inner[0])
        if limit is not None:
            return answerlimits.describe(limit)
        return f"{type(error).__name__}: {_describe_failure(inner[0])}"
    return type(error).__name__


def _describe_end(reason: Any) -> str:
    if reason.check(http.PotentialDataLoss):
        return "reset"
    return _describe_failure(reason)


def _describe_failure(found: Any) -> str:
    if found is None:
        return "unknown"
    limit = answerbounds.find_limit(found)
    if limit is not None:
        return answerlimits.describe(limit)
    inner = getattr(found.value, "reasons", None)
    if inner:
        return _describe_failure(inner[0])
    return found.type.__name__
