"""The gateway's side towards callers: connections, requests and answers.

Requests are read whole before they are passed on; answers go out as a whole
with their length, or in chunks as they arrive. An answer that can't be
completed ends with the connection, so that it never looks complete.
"""

from collections.abc import Callable
from collections.abc import Iterable
import io
from typing import Any

from twisted.web import http

from bulrushgrade import routing
from bulrushgrade_daemon import httpfactory


class CallerRequest(http.Request):
    """One request of a caller and the way to answer it."""

    limits: routing.CallerLimits
    handle: Callable[["CallerRequest"], None]
    is_closing: Callable[[], bool]

    arrived_at: float = 0.0
    on_disconnect: Callable[[], None] | None = None
    _body = b""
    _body_bytes = 0
    _is_disconnected = False
    _body_too_large = False
    _has_producer = False

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has left."""
        return self._is_disconnected

    @property
    def address(self) -> str:
        """The caller's IP number."""
        return self.getClientAddress().host

    @property
    def body(self) -> bytes:
        """The whole body, also after the caller has left."""
        return self._body

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Keeps the body in memory, within its limit; there is no disk."""
        self.content = io.BytesIO()
        if length is not None and length > self.limits.max_body_bytes:
            self._refuse_body()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Takes a part of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self.limits.max_body_bytes:
            self._refuse_body()
            return
        self.content.write(data)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Passes the request on as it came, without parsing its body."""
        if self._body_too_large:
            return
        # Twisted closes what it has read when the caller leaves.
        self._body = self.content.getvalue()
        self.method = command
        self.uri = path
        self.path = path.partition(b"?")[0]
        self.clientproto = version
        self.handle(self)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Tells whoever works on it that the caller has left."""
        self._is_disconnected = True
        super().connectionLost(reason)
        if self.on_disconnect is not None:
            self.on_disconnect()

    def set_head(
        self,
        status: int,
        fields: Iterable[tuple[bytes, bytes]],
        length: int | None,
    ) -> None:
        """Sets the head of the answer; it goes out with the first bytes."""
        self.setResponseCode(status)
        for name, value in fields:
            self.responseHeaders.addRawHeader(name, value)
        if length is not None:
            self.responseHeaders.setRawHeaders(
                b"content-length", [b"%d" % length]
            )
        if self.is_closing():
            self.responseHeaders.setRawHeaders(b"connection", [b"close"])
            self.channel.persistent = False

    def answer(
        self, status: int, fields: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Sends a whole answer."""
        if self._is_disconnected:
            return
        self.set_head(status, fields, len(body))
        self.write(body)
        self.finish()

    def refuse(self, after_s: float) -> None:
        """Says that nothing ran, and in how many seconds to come back."""
        fields = [(b"retry-after", b"%.3f" % after_s)]
        self.answer(http.SERVICE_UNAVAILABLE, fields, b"")

    def set_producer(self, producer: Any) -> None:
        """Has the caller's reading speed pause what is passed on."""
        if self._is_disconnected:
            return
        if self._has_producer:
            self.unregisterProducer()
        self._has_producer = True
        self.registerProducer(producer, True)

    def finish_stream(self) -> None:
        """Ends an answer that was sent as it came."""
        if self._is_disconnected:
            return
        if self._has_producer:
            self.unregisterProducer()
        self.finish()

    def abort_connection(self) -> None:
        """Ends an answer that has begun so that it does not look complete.

        Chunks without the last one show that something is missing. An answer
        that ends with its connection has only the reset to show it.
        """
        if self._is_disconnected:
            return
        if self.clientproto == b"HTTP/1.1":
            self.channel.loseConnection()
        else:
            self.channel.transport.abortConnection()

    def _refuse_body(self) -> None:
        if self._body_too_large:
            return
        self._body_too_large = True
        # The rest of the body is not read, so the connection can't go on. The
        # request line has been read, but Twisted tells it only with the body.
        self.channel.persistent = False
        self.clientproto = b"HTTP/1.1"
        self.answer(
            http.REQUEST_ENTITY_TOO_LARGE, [(b"connection", b"close")], b""
        )


class _Channel(http.HTTPChannel):
    """A caller's connection."""

    @property
    def is_idle(self) -> bool:
        """Whether no request is under way."""
        return not self.requests

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.transport.setTcpNoDelay(True)
        self.factory.channels.add(self)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        self.factory.channels.discard(self)
        super().connectionLost(reason)


class _Factory(httpfactory.RequestFactory):
    """Keeps the connections that are open."""

    def __init__(
        self, *, reactor: Any, make_request: Callable[..., CallerRequest]
    ):
        super().__init__(
            reactor=reactor, make_request=make_request, channel_type=_Channel
        )
        self.channels: set[_Channel] = set()


class Frontend:
    """Listens for callers and hands each request to a function."""

    name = "front"
    requires = ("timer",)

    def __init__(
        self,
        *,
        reactor: Any,
        host: str,
        port: int,
        now: Callable[[], float],
        limits: Callable[[], routing.CallerLimits],
        handle: Callable[[CallerRequest], None],
    ):
        """Makes the service.

        Args:
            reactor: Where it listens.
            host: The IP number.
            port: The port.
            now: The present time in seconds.
            limits: What callers may do at present.
            handle: Takes each whole request.
        """
        self._reactor = reactor
        self._host = host
        self._port_number = port
        self._now = now
        self._limits = limits
        self._handle = handle
        self._stopping = False
        self._port: Any = None
        self._factory = _Factory(
            reactor=reactor, make_request=self._make_request
        )

    @property
    def address(self) -> str:
        """Where callers reach it, ``IP:PORT``."""
        bound = self._port.getHost()
        return f"{bound.host}:{bound.port}"

    @property
    def connections(self) -> int:
        """Open connections of callers."""
        return len(self._factory.channels)

    async def start(self) -> None:
        """Listens."""
        self._port = self._reactor.listenTCP(
            self._port_number, self._factory, backlog=512, interface=self._host
        )

    async def stop(self) -> None:
        """Stops listening and closes what is idle."""
        if self._port is not None:
            await self._port.stopListening()
        self.close_idle()

    def close_idle(self) -> None:
        """Closes the connections that have no request under way."""
        for channel in list(self._factory.channels):
            if channel.is_idle:
                channel.loseConnection()

    def begin_drain(self) -> None:
        """Has each connection close after its next answer."""
        self._stopping = True

    def receive(self, message: Any) -> None:
        """Takes no messages."""

    def dump(self) -> dict[str, Any]:
        """Returns what is open."""
        return {"connections": self.connections, "stopping": self._stopping}

    def _make_request(self, channel: Any, queued: Any = None) -> CallerRequest:
        request = CallerRequest(channel, queued)
        limits = self._limits()
        request.limits = limits
        # Twisted counts the timeout of an idle connection from the last
        # byte, so a change takes effect with the next request.
        channel.timeOut = limits.idle_timeout_s
        request.is_closing = lambda: self._stopping
        request.handle = self._receive_request
        return request

    def _receive_request(self, request: CallerRequest) -> None:
        request.arrived_at = self._now()
        self._handle(request)
