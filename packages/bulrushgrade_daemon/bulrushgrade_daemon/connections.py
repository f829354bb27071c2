"""Opens TCP connections to endpoints and hosts that may vanish."""

from collections.abc import Callable
import socket
from typing import Any

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success
from twisted.internet import defer
from twisted.internet import error as internet_error
from twisted.internet import protocol

USER_TIMEOUT_MS = 1500
"""Time that written bytes may stay unacknowledged before the kernel closes the
connection. Other hosts are a few milliseconds away; the longest pause of a
working link is one or two retransmissions, of 200 and 400 ms, and an endpoint
that runs may be silent for a second."""

KEEPALIVE_IDLE_S = 1
"""Silence after which the kernel probes a connection."""

KEEPALIVE_PERIOD_S = 1
"""Interval between these probes. The kernel gives up at the first one that is
due after `USER_TIMEOUT_MS` of silence, whatever their maximum count: 2 s after
the last bytes of a peer that vanished."""


@attrs.frozen(kw_only=True)
class ConnectFailed:
    """A connection that could not be opened.

    Attributes:
        reason: Text for logs.
        is_refused: Whether it was refused; otherwise there was no reply.
    """

    reason: str
    is_refused: bool


def set_timeouts(transport: Any) -> None:
    """Has the kernel detect a peer that vanishes without closing."""
    handle = transport.getHandle()
    handle.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    handle.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PERIOD_S
    )


class _Factory(protocol.ClientFactory):
    noisy = False

    def __init__(
        self, *, build: Callable[[], protocol.Protocol], opened: defer.Deferred
    ):
        self._build = build
        self._opened = opened

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        connection = self._build()
        connection.factory = self
        made = connection.connectionMade

        def announce() -> None:
            set_timeouts(connection.transport)
            made()
            opened, self._opened = self._opened, None
            if opened is not None:
                opened.callback(connection)

        connection.connectionMade = announce
        return connection

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: Any
    ) -> None:
        opened, self._opened = self._opened, None
        if opened is not None:
            opened.errback(reason)


async def open_connection(
    reactor: Any,
    host: str,
    port: int,
    build: Callable[[], Any],
    *,
    timeout_s: float,
) -> Result[Any, ConnectFailed]:
    """Opens a connection; cancelling aborts it.

    Args:
        reactor: The reactor.
        host: The IP address.
        port: The port.
        build: Returns the protocol of the connection.
        timeout_s: Timeout for opening it.

    Returns:
        The connected protocol, or why there is none.
    """
    cancelled = False

    def cancel(_: defer.Deferred) -> None:
        nonlocal cancelled
        cancelled = True
        connector.disconnect()

    opened: defer.Deferred = defer.Deferred(cancel)
    try:
        connector = reactor.connectTCP(
            host, port, _Factory(build=build, opened=opened), timeout=timeout_s
        )
    except OSError as error:
        # The interface that an IPv6 address names is looked up at once.
        return Failure(
            ConnectFailed(reason=type(error).__name__, is_refused=False)
        )
    try:
        return Success(await opened)
    except (
        internet_error.ConnectError,
        internet_error.DNSLookupError,
    ) as error:
        # Twisted raises the same error types for a timeout and for a
        # cancelled connection attempt.
        if cancelled:
            raise defer.CancelledError() from None
        is_refused = isinstance(error, internet_error.ConnectionRefusedError)
        return Failure(
            ConnectFailed(reason=type(error).__name__, is_refused=is_refused)
        )


async def find_connect_error(
    reactor: Any, host: str, port: int, *, timeout_s: float
) -> ConnectFailed | None:
    """Returns why no connection could be opened, None if one was.

    Args:
        reactor: The reactor.
        host: The IP address.
        port: The port.
        timeout_s: Timeout for opening the connection.
    """
    opened = await open_connection(
        reactor, host, port, protocol.Protocol, timeout_s=timeout_s
    )
    if isinstance(opened, Failure):
        return opened.failure()
    opened.unwrap().transport.abortConnection()
    return None
