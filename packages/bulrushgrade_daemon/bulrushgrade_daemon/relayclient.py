"""Opens connections to endpoints by way of a peer."""

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
from twisted.python import failure as twisted_failure

from bulrushgrade_daemon import connections
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import relayframes

CONNECT_TIMEOUT_S = 0.3
"""Timeout for opening a connection to a peer, a few milliseconds away."""

REPLY_TIMEOUT_S = 0.7
"""Timeout for a peer's reply: it tries to open one connection, and another one
to judge its own links."""


@attrs.frozen(kw_only=True)
class NotRelayed:
    """A peer that opened no connection to an endpoint.

    Attributes:
        status: The peer's reply, None if it gave none.
        reason: Text for logs.
        is_refused: Whether the endpoint refused the peer's connection.
        withheld_s: For how long the endpoint wants nothing from the peer.
    """

    status: relayframes.Status | None
    reason: str
    is_refused: bool = False
    withheld_s: float = 0.0


class RelayedConnection(protocol.Protocol):
    """A connection to a peer that is the transport of another protocol.

    The inner protocol is connected once the peer has reached the endpoint.
    """

    def __init__(self, *, inner: protocol.Protocol, wanted: relayframes.Open):
        """Creates a connection to be opened.

        Args:
            inner: The protocol that talks to the endpoint.
            wanted: The endpoint.
        """
        self.reply: defer.Deferred = defer.Deferred(
            lambda _: self.transport.abortConnection()
        )
        self.on_closed: Callable[[], None] = lambda: None
        self._inner = inner
        self._wanted = wanted
        self._frames = relayframes.FrameSplitter()
        self._is_opened = False
        self._has_received = False

    # The side of the peer.

    def connectionMade(self) -> None:  # noqa: N802
        """Asks the peer for the endpoint."""
        self.transport.setTcpNoDelay(True)
        self.transport.write(relayframes.encode_open(self._wanted))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles the peer's frames."""
        try:
            for kind, body in self._frames.feed(data):
                self._handle_frame(kind, body)
        except relayframes.FrameError:
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Ends the inner connection, as incomplete if it is still open."""
        self._end_inner(
            twisted_failure.Failure(internet_error.ConnectionLost())
        )
        self._fire(NotRelayed(status=None, reason="no reply of the peer"))
        self.on_closed()

    def _handle_frame(self, kind: relayframes.FrameKind, body: bytes) -> None:
        if kind is relayframes.FrameKind.REPLY:
            self._handle_reply(relayframes.decode_reply(body))
        elif kind is relayframes.FrameKind.DATA and self._is_opened:
            self._has_received = True
            self._inner.dataReceived(body)
        elif kind is relayframes.FrameKind.END and self._is_opened:
            self._end_inner(
                twisted_failure.Failure(internet_error.ConnectionDone())
            )
            self.transport.loseConnection()

    def _handle_reply(self, reply: relayframes.Reply) -> None:
        if not self._is_opened and reply.status is relayframes.Status.OPENED:
            self._is_opened = True
            self._inner.makeConnection(self)
            self._fire(None)
            return
        if self._is_opened and not self._has_received:
            # The endpoint's connection ended before anything was passed on.
            not_passed_on = outbound.NotPassedOnError(reply.reason)
            self._end_inner(twisted_failure.Failure(not_passed_on))
        self._fire(
            NotRelayed(
                status=reply.status,
                reason=reply.reason or reply.status.value,
                is_refused=reply.is_refused,
                withheld_s=reply.withheld_ms / 1000,
            )
        )
        self.transport.abortConnection()

    def _fire(self, result: NotRelayed | None) -> None:
        if not self.reply.called:
            self.reply.callback(result)

    def _end_inner(self, reason: twisted_failure.Failure) -> None:
        if self._is_opened and self._inner is not None:
            inner, self._inner = self._inner, None
            inner.connectionLost(reason)

    # The transport of the inner protocol.

    @property
    def disconnecting(self) -> bool:
        """Whether the connection is being closed."""
        return self.transport.disconnecting

    def write(self, data: bytes) -> None:
        """Writes bytes for the endpoint."""
        self.transport.write(data)

    def writeSequence(self, data: Iterable[bytes]) -> None:  # noqa: N802
        """Writes bytes for the endpoint."""
        self.transport.writeSequence(data)

    def loseConnection(self) -> None:  # noqa: N802
        """Closes the connection after the pending writes."""
        self.transport.loseConnection()

    def abortConnection(self) -> None:  # noqa: N802
        """Closes the connection at once."""
        self.transport.abortConnection()

    def registerProducer(  # noqa: N802
        self, producer: Any, streaming: bool
    ) -> None:
        """Registers a producer of bytes for the endpoint."""
        self.transport.registerProducer(producer, streaming)

    def unregisterProducer(self) -> None:  # noqa: N802
        """Unregisters the producer."""
        self.transport.unregisterProducer()

    def pauseProducing(self) -> None:  # noqa: N802
        """Stops reading, so that the peer stops reading too."""
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Reads on."""
        self.transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Closes the connection."""
        self.transport.stopProducing()

    def getHandle(self) -> Any:  # noqa: N802
        """Returns the socket to the peer."""
        return self.transport.getHandle()

    def getPeer(self) -> Any:  # noqa: N802
        """Returns the peer's address."""
        return self.transport.getPeer()

    def getHost(self) -> Any:  # noqa: N802
        """Returns the own address."""
        return self.transport.getHost()


async def open_relayed(
    reactor: Any,
    address: tuple[str, int],
    wanted: relayframes.Open,
    *,
    on_closed: Callable[[], None],
) -> Result[outbound.Client, NotRelayed]:
    """Opens a connection for one request by way of a peer.

    Cancelling aborts it.

    Args:
        reactor: The reactor.
        address: Where the peer accepts connections to relay.
        wanted: The endpoint.
        on_closed: Called once, when the connection to the peer has ended or
            could not be opened.
    """
    client = outbound.Client()
    opened = defer.Deferred.fromCoroutine(
        connections.open_connection(
            reactor,
            *address,
            lambda: RelayedConnection(inner=client, wanted=wanted),
            timeout_s=CONNECT_TIMEOUT_S,
        )
    )
    try:
        opening = await opened
    except BaseException:
        on_closed()
        raise
    if isinstance(opening, Failure):
        on_closed()
        return Failure(NotRelayed(status=None, reason=opening.failure().reason))
    connection = opening.unwrap()
    connection.on_closed = on_closed
    connection.reply.addTimeout(REPLY_TIMEOUT_S, reactor)
    try:
        not_relayed = await connection.reply
    except defer.TimeoutError:
        connection.transport.abortConnection()
        return Failure(
            NotRelayed(status=None, reason="no reply of the peer in time")
        )
    if not_relayed is not None:
        return Failure(not_relayed)
    return Success(client)
