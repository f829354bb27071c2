"""The HTTP server towards callers, with bounds on what one may cost."""

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
    """What one connection may cost.

    Attributes:
        max_body_bytes: The largest body that is taken.
        max_header_bytes: All headers of a request together.
        header_timeout_s: From a request's first byte to the end of its
            headers.
        body_timeout_s: From there to the end of its body.
        idle_timeout_s: Between two requests.
        buffer_bytes: Unread bytes of an answer before its source is paused.
    """

    max_body_bytes: int
    max_header_bytes: int
    header_timeout_s: float
    body_timeout_s: float
    idle_timeout_s: float
    buffer_bytes: int


class CallerRequest(server.Request):
    """A request whose body is held in memory, within bounds.

    The base class would move a large body to a temporary file; the hosts have
    no disks, and the bound keeps the memory small enough.
    """

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Takes the body's length, None where it comes in chunks."""
        self.content = io.BytesIO()
        if length is not None and length > self.channel.bounds.max_body_bytes:
            self.channel.refuse_body()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Takes a part of the body."""
        size = self.content.tell() + len(data)
        if size > self.channel.bounds.max_body_bytes:
            self.channel.refuse_body()
            return
        self.content.write(data)


class CallerChannel(http.HTTPChannel):
    """A caller's connection, with a limit on how slowly it may send.

    The base class restarts its timeout with each byte, so that a caller that
    sends a byte now and then holds a connection for good; here a request's
    headers and its body each have a time in all.
    """

    def __init__(self, *, bounds: Bounds):
        super().__init__()
        self.bounds = bounds
        self.totalHeadersSize = bounds.max_header_bytes
        self._timeout_call: Any = None
        self._refused = False

    def connectionMade(self) -> None:  # noqa: N802
        """Begins to wait for the first request."""
        super().connectionMade()
        self.transport.bufferSize = self.bounds.buffer_bytes
        # The kernel would take some megabytes more for a caller that does not
        # read, and the engine would run on for all of them.
        self.transport.getHandle().setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, self.bounds.buffer_bytes
        )
        self._set_timeout(self.bounds.idle_timeout_s)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Takes bytes, but none after a refusal."""
        if not self._refused:
            super().dataReceived(data)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Takes a line of a request's head."""
        if self._receivedHeaderSize == 0:
            self._set_timeout(self.bounds.header_timeout_s)
        super().lineReceived(line)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Begins to wait for the body."""
        self._set_timeout(self.bounds.body_timeout_s)
        super().allHeadersReceived()

    def allContentReceived(self) -> None:  # noqa: N802
        """Waits no more: the request is ours to answer now."""
        self._set_timeout(None)
        super().allContentReceived()

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Begins to wait for the next request."""
        self._set_timeout(self.bounds.idle_timeout_s)
        super().requestDone(request)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Forgets the limit."""
        self._set_timeout(None)
        super().connectionLost(reason)

    def refuse_body(self) -> None:
        """Answers that the body is too large and closes, once."""
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
        # The request is not complete, so the usual way to answer is not open
        # yet; the answer is written as it is and the connection closed.
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
    """Makes bounded channels for a resource."""

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
        """Writes no line a request: counters stand for them."""


@implementer(interfaces.IPushProducer)
class FlowControl:
    """Passes a caller's reading speed on to the source of its answer."""

    def __init__(self, *, pause: Any, resume: Any, stop: Any):
        """Makes the control of one answer.

        Args:
            pause: Called when the caller's buffer is full.
            resume: Called when it has room again.
            stop: Called when the caller is gone.
        """
        self._pause = pause
        self._resume = resume
        self._stop = stop

    def pauseProducing(self) -> None:  # noqa: N802
        """The buffer is full."""
        self._pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """The buffer has room."""
        self._resume()

    def stopProducing(self) -> None:  # noqa: N802
        """The caller is gone."""
        self._stop()
