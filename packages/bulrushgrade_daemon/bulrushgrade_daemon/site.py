"""The HTTP server for callers, with limits per connection."""

import io
import socket
from typing import Any

import attrs
from twisted.internet import interfaces
from twisted.web import http
from twisted.web import server
from zope.interface import implementer

from bulrushgrade_daemon import refusal


@attrs.frozen(kw_only=True)
class Bounds:
    """The limits of one connection.

    Attributes:
        max_body_bytes: The largest accepted request body.
        max_header_bytes: The largest total size of a request's headers.
        header_timeout_s: From a request's first line to the end of its
            headers.
        body_timeout_s: From the end of the headers to the end of the body.
        idle_timeout_s: Between two requests.
        buffer_bytes: Unsent bytes of an answer before its source is paused.
    """

    max_body_bytes: int
    max_header_bytes: int
    header_timeout_s: float
    body_timeout_s: float
    idle_timeout_s: float
    buffer_bytes: int


class CallerRequest(server.Request):
    """A request whose body is kept in memory, up to a limit.

    The base class would write a large body to a temporary file. The hosts have
    no disks, and the limit bounds the memory that bodies need.
    """

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Checks the body's length, which is None for a chunked body."""
        self.content = io.BytesIO()
        if length is not None and length > self.channel.bounds.max_body_bytes:
            self.channel.refuse_body()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Adds a part of the body."""
        size = self.content.tell() + len(data)
        if size > self.channel.bounds.max_body_bytes:
            self.channel.refuse_body()
            return
        self.content.write(data)


class CallerChannel(http.HTTPChannel):
    """A caller's connection, with time limits for sending a request.

    The base class restarts its timeout with each byte, so a caller that sends a
    byte from time to time could keep a connection open forever. Here a
    request's headers and its body each have a total time.
    """

    def __init__(self, *, bounds: Bounds):
        super().__init__()
        self.bounds = bounds
        self.totalHeadersSize = bounds.max_header_bytes
        self._timeout_call: Any = None
        self._refused = False

    def connectionMade(self) -> None:  # noqa: N802
        """Starts the timeout for the first request."""
        super().connectionMade()
        self.transport.bufferSize = self.bounds.buffer_bytes
        # By default the kernel would buffer some more megabytes for a caller
        # that does not read, and the engine would go on generating for them.
        self.transport.getHandle().setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, self.bounds.buffer_bytes
        )
        self._set_timeout(self.bounds.idle_timeout_s)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles received bytes; ignores those after a refusal."""
        if not self._refused:
            super().dataReceived(data)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Starts the timeout for the headers at a request's first line."""
        if self._receivedHeaderSize == 0:
            self._set_timeout(self.bounds.header_timeout_s)
        super().lineReceived(line)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Starts the timeout for the body."""
        self._set_timeout(self.bounds.body_timeout_s)
        super().allHeadersReceived()

    def allContentReceived(self) -> None:  # noqa: N802
        """Stops the timeout: the request is complete."""
        self._set_timeout(None)
        super().allContentReceived()

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Starts the timeout for the next request."""
        self._set_timeout(self.bounds.idle_timeout_s)
        super().requestDone(request)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Stops the timeout."""
        self._set_timeout(None)
        super().connectionLost(reason)

    def refuse_body(self) -> None:
        """Responds once that the body is too large and closes."""
        self._refuse(
            refusal.bad_request(
                f"the body is over {self.bounds.max_body_bytes} bytes",
                status=413,
                code="too_large",
            )
        )

    def _set_timeout(self, timeout_s: float | None) -> None:
        if self._timeout_call is not None and self._timeout_call.active():
            self._timeout_call.cancel()
        self._timeout_call = None
        if timeout_s is not None:
            self._timeout_call = self.callLater(timeout_s, self._handle_timeout)

    def _handle_timeout(self) -> None:
        if self._receivedHeaderSize == 0 and not self.requests:
            self.loseConnection()
            return
        self._refuse(
            refusal.bad_request(
                "the request was sent too slowly",
                status=408,
                code="too_slow",
            )
        )

    def _refuse(self, refused: refusal.Refusal) -> None:
        # The base class can't respond to a request that is still incomplete, so
        # the response is written directly and the connection closed.
        if self._refused:
            return
        self._refused = True
        self._set_timeout(None)
        body = refusal.serialize_refusal(refused)
        reason = http.RESPONSES[refused.status]
        head = (
            b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\nConnection: close\r\n\r\n"
        ) % (refused.status, reason, len(body))
        self.transport.write(head + body)
        self.loseConnection()


class CallerSite(server.Site):
    """Creates channels with limits for a resource."""

    def __init__(self, *, resource: Any, bounds: Bounds, reactor: Any):
        super().__init__(
            resource,
            requestFactory=CallerRequest,
            timeout=None,
            reactor=reactor,
        )
        self._bounds = bounds

    def buildProtocol(self, addr: Any) -> CallerChannel:  # noqa: N802
        """Returns the channel of a new connection."""
        channel = CallerChannel(bounds=self._bounds)
        channel.factory = self
        channel.site = self
        channel.callLater = self.reactor.callLater
        channel.requestFactory = self.requestFactory
        return channel

    def log(self, request: Any) -> None:
        """Logs nothing per request: counters take the place of log lines."""


@implementer(interfaces.IPushProducer)
class FlowControl:
    """Pauses the source of an answer while its caller reads too slowly."""

    def __init__(self, *, pause: Any, resume: Any, stop: Any):
        """Makes the flow control of one answer.

        Args:
            pause: Called when the caller's buffer is full.
            resume: Called when the buffer has room again.
            stop: Called when the caller has disconnected.
        """
        self._pause = pause
        self._resume = resume
        self._stop = stop

    def pauseProducing(self) -> None:  # noqa: N802
        """Pauses the source: the buffer is full."""
        self._pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resumes the source: the buffer has room."""
        self._resume()

    def stopProducing(self) -> None:  # noqa: N802
        """Stops the source: the caller has disconnected."""
        self._stop()
