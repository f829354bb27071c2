"""The HTTP server that accepts callers' requests at the gateway.

A request is read completely before it is handled. An answer is sent either
complete with its length, or in chunks as they arrive. If an answer can't be
completed, the connection is closed or reset so that the answer does not look
complete.

While the host is overloaded, new connections are closed before anything is read
from them, and kept ones after their next answer.
"""

from collections.abc import Callable
from collections.abc import Iterable
import io
from typing import Any

from twisted.web import http

from bulrushgrade import connectionlimiter
from bulrushgrade import routing
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import httpfactory

CLOSE_TIMEOUT_S = 15.0
"""Time that a caller has to read what is written for it once its connection is
to be closed. An answer that was buffered whole, 256 KiB, takes 8 s at
256 kbit/s."""


class CallerRequest(http.Request):
    """A caller's HTTP request, with the methods that answer it."""

    limits: routing.CallerLimits
    handle: Callable[["CallerRequest"], None]
    is_closing: Callable[[], bool]
    on_answered: Callable[[], None]

    arrived_at: float = 0.0
    on_disconnect: Callable[[], None] | None = None
    _body = b""
    _body_bytes = 0
    _is_disconnected = False
    _body_too_large = False
    _has_producer = False

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has closed the connection."""
        return self._is_disconnected

    @property
    def address(self) -> str:
        """The caller's IP address."""
        return self.getClientAddress().host

    @property
    def body(self) -> bytes:
        """The complete body, also after the caller has disconnected."""
        return self._body

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Buffers the body in memory up to its limit; there is no disk."""
        self.content = io.BytesIO()
        if length is not None and length > self.limits.max_body_bytes:
            self._refuse_body()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Appends a chunk of the body, or refuses a body that is too large."""
        self._body_bytes += len(data)
        if self._body_bytes > self.limits.max_body_bytes:
            self._refuse_body()
            return
        self.content.write(data)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Hands the request to its handler without parsing the body."""
        if self._body_too_large:
            return
        # Twisted closes `content` when the caller disconnects.
        self._body = self.content.getvalue()
        self.method = command
        self.uri = path
        self.path = path.partition(b"?")[0]
        self.clientproto = version
        self.handle(self)

    def finish(self) -> None:
        """Ends a complete answer."""
        self.on_answered()
        super().finish()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Calls `on_disconnect`, so that work on the request can stop."""
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
        """Sets status and headers; they are sent with the first bytes."""
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
        """Sends a complete answer."""
        if self._is_disconnected:
            return
        self.set_head(status, fields, len(body))
        self.write(body)
        self.finish()

    def refuse(self, after_s: float) -> None:
        """Answers that nothing ran, and after how many seconds to retry."""
        fields = [(b"retry-after", b"%.3f" % after_s)]
        self.answer(http.SERVICE_UNAVAILABLE, fields, b"")

    def set_producer(self, producer: Any) -> None:
        """Registers a producer that is paused while the caller reads slowly."""
        if self._is_disconnected:
            return
        if self._has_producer:
            self.unregisterProducer()
        self._has_producer = True
        self.registerProducer(producer, True)

    def finish_stream(self) -> None:
        """Finishes an answer that was sent in chunks."""
        if self._is_disconnected:
            return
        if self._has_producer:
            self.unregisterProducer()
        self.finish()

    def abort_connection(self) -> None:
        """Ends a started answer so that it does not look complete.

        With HTTP/1.1, the missing last chunk shows that the answer is
        truncated. An answer that is delimited by the end of the connection
        needs a reset, as an ordinary close would look like its end.
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
        # The rest of the body is not read, so the connection can't be reused.
        # Twisted passes the request line on only with the complete body, so
        # the protocol version has to be set here.
        self.channel.persistent = False
        self.clientproto = b"HTTP/1.1"
        self.answer(
            http.REQUEST_ENTITY_TOO_LARGE, [(b"connection", b"close")], b""
        )


class _Channel(http.HTTPChannel):
    """A connection from a caller."""

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress on the connection."""
        return not self.requests

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.transport.setTcpNoDelay(True)
        self.factory.channels.add(self)

    def loseConnection(self) -> None:  # noqa: N802
        """Closes the connection, at the latest after `CLOSE_TIMEOUT_S`.

        A caller that reads nothing would otherwise keep what is written for
        it, and the connection, until it closes.
        """
        if self._abortingCall is None and self in self.factory.channels:
            # The idle timeout would begin a second call.
            self.setTimeout(None)
            self._abortingCall = self.callLater(
                CLOSE_TIMEOUT_S, self.forceAbortClient
            )
        super().loseConnection()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        self.factory.channels.discard(self)
        super().connectionLost(reason)


class _Factory(httpfactory.RequestFactory):
    """Makes the connections and keeps the set of open ones."""

    def __init__(
        self,
        *,
        reactor: Any,
        make_request: Callable[..., CallerRequest],
        accepts: Callable[[int], bool],
    ):
        super().__init__(
            reactor=reactor, make_request=make_request, channel_type=_Channel
        )
        self._accepts = accepts
        self.channels: set[_Channel] = set()

    def buildProtocol(self, addr: Any) -> http.HTTPChannel | None:  # noqa: N802
        """Returns the channel for a new connection, None to close it unread."""
        if not self._accepts(len(self.channels)):
            return None
        return super().buildProtocol(addr)


class Frontend:
    """Listens for callers and passes each request to a handler."""

    name = "front"
    requires = ("timer",)

    def __init__(
        self,
        *,
        reactor: Any,
        timers: Any,
        host: str,
        port: int,
        limits: Callable[[], routing.CallerLimits],
        max_connections: int,
        handle: Callable[[CallerRequest], None],
        log: decisionlog.DecisionLog,
    ):
        """Makes the service.

        Args:
            reactor: The reactor that the server runs in.
            timers: The timer service.
            host: The IP address to listen on.
            port: The port; 0 for any free one.
            limits: Returns the limits on callers that are in force.
            max_connections: Maximum number of open connections.
            handle: Called with each complete request.
            log: Gets a line when the host becomes overloaded, and when that
                ends.
        """
        self._reactor = reactor
        self._host = host
        self._port_number = port
        self._timers = timers
        self._log = log
        self._limiter = connectionlimiter.ConnectionLimiter(
            max_connections=max_connections, now=timers.now
        )
        self._tick: Any = None
        self._tick_due = 0.0
        self._limits = limits
        self._handle = handle
        self._stopping = False
        self._port: Any = None
        self._factory = _Factory(
            reactor=reactor,
            make_request=self._make_request,
            accepts=self._accepts,
        )

    @property
    def address(self) -> str:
        """The address that callers connect to, ``IP:PORT``."""
        bound = self._port.getHost()
        return f"{bound.host}:{bound.port}"

    @property
    def connections(self) -> int:
        """The number of open connections from callers."""
        return len(self._factory.channels)

    @property
    def loop_delay_s(self) -> float:
        """The average delay of the event loop."""
        return self._limiter.delay_s

    @property
    def counts(self) -> dict[str, int]:
        """Number of connections that were closed unread."""
        return {"closed_unread": self._limiter.rejected}

    async def start(self) -> None:
        """Starts to listen."""
        self._schedule_tick()
        self._port = self._reactor.listenTCP(
            self._port_number, self._factory, backlog=512, interface=self._host
        )

    async def stop(self) -> None:
        """Stops listening and closes idle connections."""
        if self._tick is not None:
            self._tick.cancel()
        if self._port is not None:
            await self._port.stopListening()
        self.close_idle()

    def close_idle(self) -> None:
        """Closes the connections that have no request in progress."""
        for channel in list(self._factory.channels):
            if channel.is_idle:
                channel.loseConnection()

    def begin_drain(self) -> None:
        """Makes each connection close after its next answer."""
        self._stopping = True

    def receive(self, message: Any) -> None:
        """Ignores messages; none are sent to this service."""

    def dump(self) -> dict[str, Any]:
        """Returns the number of connections, the load and whether it drains."""
        return {
            "connections": self.connections,
            "stopping": self._stopping,
            "loop_delay_s": round(self._limiter.delay_s, 4),
            "offered_per_s": round(self._limiter.offered_per_s, 1),
            "accepted_up_to_per_s": round(self._limiter.rate_per_s, 1),
            **self.counts,
        }

    def _make_request(self, channel: Any, queued: Any = None) -> CallerRequest:
        request = CallerRequest(channel, queued)
        limits = self._limits()
        request.limits = limits
        # Twisted measures the idle timeout from the last byte received, so
        # a changed limit takes effect with the next request.
        channel.timeOut = limits.idle_timeout_s
        request.is_closing = lambda: self._stopping or self._limiter.is_limiting
        request.on_answered = self._limiter.observe_answer
        request.handle = self._receive_request
        return request

    def _receive_request(self, request: CallerRequest) -> None:
        request.arrived_at = self._timers.now
        self._handle(request)

    def _schedule_tick(self) -> None:
        self._tick_due = self._timers.now + connectionlimiter.TICK_S
        self._tick = self._timers.after(
            connectionlimiter.TICK_S, self._measure_delay
        )

    def _measure_delay(self) -> None:
        """Takes in how late the event loop is."""
        now = self._timers.now
        if self._limiter.observe_tick(now - self._tick_due, now):
            is_limiting = self._limiter.is_limiting
            self._log.note(
                "overload_began" if is_limiting else "overload_ended",
                loop_delay_s=round(self._limiter.delay_s, 4),
                offered_per_s=round(self._limiter.offered_per_s, 1),
                accepted_up_to_per_s=round(self._limiter.rate_per_s, 1),
                connections=self.connections,
                closed_unread=self._limiter.rejected,
            )
        self._schedule_tick()

    def _accepts(self, connections: int) -> bool:
        return self._limiter.accepts(connections, self._timers.now)
