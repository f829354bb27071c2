"""HTTP clients towards endpoints and the platform.

One place decides how connections are opened, kept and given up, so that every
adapter meets a silent or half-open connection in the same way.
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
from twisted.web import client as web_client
from twisted.web import http_headers
from twisted.web import iweb
from zope.interface import implementer

from bulrushgrade_daemon import outbound

# Engines and plain services are on the same or a near zone: a connection that
# is not up in this time meets a host that is gone or a partition.
CONNECT_TIMEOUT_S = 1.0
# How long written bytes may stay unacknowledged. A link that lost track of a
# connection shows as silence; the kernel then ends the connection.
USER_TIMEOUT_MS = 4000
# Idle connections are retired young: one that a middlebox has forgotten looks
# open and swallows the next request.
IDLE_TIMEOUT_S = 4.0
MAX_IDLE_CONNECTIONS_PER_HOST = 64


class RefusedByCheckError(Exception):
    """A check made in the turn of the write said no; nothing was written."""


class ConnectFailedError(Exception):
    """No connection was made, so no byte of the request was written."""


@implementer(interfaces.IStreamClientEndpoint)
class _CheckedEndpoint:
    """Connects, sets socket options, then asks a check before the write.

    Agent writes the request in the same turn in which `connect` fires. A
    check that runs in that turn therefore holds for the write; the process
    cannot do other work in between, and when the operating system pauses it
    exactly there, the endpoint's own read timeout ends the connection.
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
    """A treq client with the pool that it draws from.

    Attributes:
        http: Makes requests where convenience counts.
        agent: Makes requests where each is paid for by a caller, see `send`.
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
        reactor: The reactor that its connections live in.
        persistent: Whether connections are kept for later requests. A request
            that must not be repeated goes on a connection of its own, where
            a lost connection before the first byte is known as such.
        check: Asked in the same turn as the write of a request on a new
            connection; where it says no, nothing is written and the request
            fails with `RefusedByCheckError`.
        connect_timeout_s: How long a connection may take to open.
    """
    pool = web_client.HTTPConnectionPool(reactor, persistent=persistent)
    pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS_PER_HOST
    pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
    # Agent would silently send a request twice; attempts are ours to count.
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
    """Sends a request past treq, for the path that every caller pays for.

    treq parses the address, merges cookies and wraps the answer, which a
    profile showed as the largest cost of a relayed request after Twisted's
    own. None of it is used here.

    Args:
        client: Which connections to use.
        method: The HTTP method.
        url: The whole address.
        headers: Names and values; a name may stand more than once.
        body: The body, empty for none.

    Returns:
        Fires with Twisted's response, whose body has not been read.
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


def was_not_sent(error: BaseException) -> bool:
    """Tells whether an error proves that no byte of a request was written."""
    return isinstance(error, ConnectFailedError | RefusedByCheckError)
