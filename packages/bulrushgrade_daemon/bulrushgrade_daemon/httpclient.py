"""HTTP clients for endpoints and the platform.

Opening, pooling and timing out connections is configured in one module, so
that all adapters handle silent or half-open connections in the same way.
"""

from collections.abc import Callable
from collections.abc import Iterable
import socket
from typing import Any

import attrs
import treq.client
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error as internet_error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure as twisted_failure
from twisted.web import client as web_client
from twisted.web import http_headers
from twisted.web import iweb
from zope.interface import implementer

from bulrushgrade import answerlimits
from bulrushgrade_daemon import outbound

# Engines and plain services are in the same availability zone or a nearby one:
# if a connection takes longer, the host is down or unreachable.
CONNECT_TIMEOUT_S = 1.0
# How long written bytes may stay unacknowledged before the kernel closes the
# connection. A middlebox that lost the state of a connection drops its packets
# silently.
USER_TIMEOUT_MS = 4000
# Idle connections are closed early, as one whose state a middlebox has dropped
# still looks open and loses the next request.
IDLE_TIMEOUT_S = 4.0
MAX_IDLE_CONNECTIONS_PER_HOST = 64


class RefusedByCheckError(Exception):
    """The check before the write failed; nothing was written."""


class ConnectFailedError(Exception):
    """No connection was opened, so no byte of the request was written."""


class BodyError(Exception):
    """A body was not read completely."""


class _Connection(outbound.Client):
    """A pooled connection that its responses refer to."""

    def request(self, request: Any) -> defer.Deferred:
        """Sends a request; the response gets the attribute `connection`."""
        answered = outbound.Client.request(self, request)
        return answered.addCallback(self._attach)

    def _attach(self, response: Any) -> Any:
        response.connection = self
        return response


class _ConnectionFactory(web_client._HTTP11ClientFactory):
    """Makes the connections of a pool."""

    def buildProtocol(self, addr: Any) -> _Connection:  # noqa: N802
        return _Connection(self._quiescentCallback)


class _Pool(web_client.HTTPConnectionPool):
    # There is no public way to choose the class of a pool's connections.
    _factory = _ConnectionFactory


@implementer(interfaces.IStreamClientEndpoint)
class _CheckedEndpoint:
    """Connects, sets socket options and runs a check before the write.

    Agent writes the request in the same reactor iteration in which `connect`
    fires. A check in that iteration therefore holds for the write, as the
    process does no other work in between. If the operating system pauses the
    process exactly there, the endpoint's read timeout ends the connection.
    """

    def __init__(self, *, inner: Any, check: Callable[[], bool] | None):
        self._inner = inner
        self._check = check

    def connect(self, factory: Any) -> defer.Deferred:
        connected = self._inner.connect(factory)
        connected.addCallbacks(self._connected, self._failed)
        return connected

    def _connected(self, protocol: Any) -> Any:
        transport = protocol.transport
        transport.setTcpNoDelay(True)
        transport.setTcpKeepAlive(True)
        handle = transport.getHandle()
        handle.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        if self._check is not None and not self._check():
            transport.abortConnection()
            raise RefusedByCheckError()
        return protocol

    def _failed(self, failure: Any) -> Any:
        if failure.check(
            internet_error.ConnectError,
            defer.CancelledError,
            internet_error.DNSLookupError,
        ):
            raise ConnectFailedError(failure.getErrorMessage())
        return failure


@implementer(iweb.IAgentEndpointFactory)
class _EndpointFactory:
    def __init__(
        self,
        *,
        reactor: Any,
        check: Callable[[], bool] | None,
        connect_timeout_s: float,
    ):
        self._reactor = reactor
        self._check = check
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: Any) -> _CheckedEndpoint:  # noqa: N802
        inner = endpoints.TCP4ClientEndpoint(
            self._reactor,
            uri.host.decode("ascii"),
            uri.port,
            timeout=self._connect_timeout_s,
        )
        return _CheckedEndpoint(inner=inner, check=self._check)


@attrs.frozen(kw_only=True)
class Client:
    """A treq client and its connection pool.

    Attributes:
        http: The treq client, for requests that are not performance-critical.
        agent: The Twisted agent, for the requests of callers; see `send`.
        pool: Holds idle connections; close it when done.
    """

    http: treq.client.HTTPClient
    agent: web_client.Agent
    pool: web_client.HTTPConnectionPool


def open_client(
    reactor: Any,
    *,
    persistent: bool = True,
    check: Callable[[], bool] | None = None,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
) -> Client:
    """Returns a client.

    Args:
        reactor: The reactor that the connections run in.
        persistent: Whether connections are kept for later requests. A request
            that must not be repeated is sent on a connection of its own, where
            a loss of the connection before the first byte is detected as such.
        check: Called in the same reactor iteration as the write of a request
            on a new connection. If it returns False, nothing is written and
            the request fails with `RefusedByCheckError`.
        connect_timeout_s: How long opening a connection may take.
    """
    pool = _Pool(reactor, persistent=persistent)
    pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS_PER_HOST
    pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
    # Agent would silently send a request twice; retries are counted and decided
    # by the callers of this module.
    pool.retryAutomatically = False
    factory = _EndpointFactory(
        reactor=reactor, check=check, connect_timeout_s=connect_timeout_s
    )
    agent = web_client.Agent.usingEndpointFactory(reactor, factory, pool)
    return Client(http=treq.client.HTTPClient(agent), agent=agent, pool=pool)


def send(
    client: Client,
    method: str,
    url: str,
    *,
    headers: Iterable[tuple[str, str]],
    body: bytes,
) -> defer.Deferred:
    """Sends a request without treq, for the performance-critical path.

    treq parses the URL, merges cookies and wraps the response. A profile
    showed this as the largest cost of a relayed request after that of Twisted
    itself, and none of it is needed here.

    Args:
        client: The client whose connections are used.
        method: The HTTP method.
        url: The complete URL.
        headers: Names and values; names may be repeated.
        body: The body, or empty for none.

    Returns:
        A Deferred that fires with Twisted's response, whose body has not been
        read.
    """
    fields = http_headers.Headers()
    for name, value in headers:
        fields.addRawHeader(name, value)
    return client.agent.request(
        method.encode("ascii"),
        url.encode("latin-1"),
        fields,
        outbound.BytesBody(body=body) if body else None,
    )


class _BodyReader(protocol.Protocol):
    """Collects a body up to its maximum size."""

    def __init__(self, *, connection: _Connection, max_bytes: int):
        self._connection = connection
        self._parts: list[bytes] = []
        self._meter = answerlimits.SizeMeter(
            max_bytes=max_bytes, limit=answerlimits.Limit.BODY_BYTES
        )
        # treq.content has no such cancellation: it collects the body of a call
        # that timed out until the other end closes the connection.
        self.done: defer.Deferred = defer.Deferred(
            lambda _: connection.transport.abortConnection()
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._meter.exceeded is not None:
            return
        limit = self._meter.observe(len(data))
        if limit is None:
            self._parts.append(data)
            return
        self._parts.clear()
        self._fail("answer too large")
        self._connection.abort_over_limit(limit)

    def connectionLost(  # noqa: N802
        self, reason: twisted_failure.Failure = protocol.connectionDone
    ) -> None:
        if not outbound.is_body_whole(self._connection, reason):
            self._fail("answer was truncated")
        elif not self.done.called:
            self.done.callback(b"".join(self._parts))

    def _fail(self, reason: str) -> None:
        if not self.done.called:
            self.done.errback(BodyError(reason))


async def read_body(response: Any, *, max_bytes: int) -> bytes:
    """Returns the body of a response; cancelling aborts its connection.

    Args:
        response: A response of `send`.
        max_bytes: Maximum size of the body.

    Raises:
        BodyError: The body is larger, or it broke off.
    """
    reader = _BodyReader(connection=response.connection, max_bytes=max_bytes)
    response.deliverBody(reader)
    return await reader.done


async def fetch(
    client: Client,
    method: str,
    url: str,
    *,
    headers: Iterable[tuple[str, str]] = (),
    body: bytes = b"",
    max_bytes: int = answerlimits.MAX_FETCHED_BODY_BYTES,
) -> tuple[int, bytes]:
    """Returns the status and the body of a response.

    Cancelling aborts the connection.

    Args:
        client: See `send`.
        method: See `send`.
        url: See `send`.
        headers: See `send`.
        body: See `send`.
        max_bytes: Maximum size of the response's body.

    Raises:
        BodyError: The response's body is larger, or it broke off.
    """
    response = await send(client, method, url, headers=headers, body=body)
    return response.code, await read_body(response, max_bytes=max_bytes)


def was_not_sent(error: BaseException) -> bool:
    """Returns whether an error proves that no byte of a request was written."""
    return isinstance(error, ConnectFailedError | RefusedByCheckError)
