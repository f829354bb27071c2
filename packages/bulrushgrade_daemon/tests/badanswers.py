"""Answers that never end, and a connection that measures what is read."""

import tracemalloc

from test_plain import Transport
from twisted.internet import error
from twisted.python import failure

from bulrushgrade import answerlimits

FLOOD_BYTES = 4 * 1024 * 1024
"""What an endpoint sends in a test unless its connection is closed."""

READ_BYTES = 16_384
"""Size of the reads in which it arrives."""

MAX_SENT_BYTES = 2 * answerlimits.MAX_HEAD_BYTES + 2 * READ_BYTES
MAX_KEPT_BYTES = 400_000
"""Above the bounds, as each header takes memory beside its text."""

OK = b"HTTP/1.1 200 OK\r\n"
ERROR = b"HTTP/1.1 500 Internal Server Error\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
END = b"\r\n"

HEADS = {
    "header lines": (OK, b"X-A: b\r\n"),
    "long header lines": (OK, b"X-A: " + b"b" * 8_000 + b"\r\n"),
    "continued header": (OK + b"X-A: b\r\n", b" b\r\n"),
    "one line": (OK + b"X-A: ", b"b"),
    "no line ends": (b"", b"\x00\xff"),
    "informational": (b"", b"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"),
}
"""Heads without end: how each begins, and what is repeated."""

FRAMINGS = {
    "chunk size": (OK + CHUNKED + END, b"0"),
    "chunk extensions": (
        OK + CHUNKED + END,
        b"1;" + b"e" * 900 + b"\r\nx\r\n",
    ),
    "trailers": (OK + CHUNKED + END + b"0\r\n", b"X-A: b\r\n"),
}
"""Bodies without end that have no content, or hardly any."""

BODIES = {
    "unframed": (OK + END, b"x" * 100),
    "chunked": (OK + CHUNKED + END, b"64\r\n" + b"x" * 100 + b"\r\n"),
}
"""Bodies without end."""

ERRORS = {
    f"error, {name}": (ERROR + head[len(OK) :], repeated)
    for name, (head, repeated) in BODIES.items()
}
"""The same with an error status."""


class Flood:
    """An endpoint that sends until its connection is closed."""

    def __init__(self, connection):
        """Connects a protocol that then sends its request."""
        self.transport = Transport()
        self._connection = connection
        self.sent_bytes = 0
        self.kept_bytes = 0
        connection.makeConnection(self.transport)

    @property
    def is_closed(self):
        return self.transport.disconnecting or self.transport.disconnected

    def send(self, head, repeated=b"", up_to=FLOOD_BYTES):
        """Sends a head, and then repeats bytes; stops when it is closed.

        A paused connection reads nothing, as then the sender has to wait.
        """
        block = repeated * (READ_BYTES // max(1, len(repeated)) + 1)
        tracemalloc.start()
        data = head or block
        while data and not self.is_closed and self.sent_bytes < up_to:
            if self.transport.producerState == "paused":
                break
            self._connection.dataReceived(data)
            self.sent_bytes += len(data)
            data = bytes(bytearray(block))
        self.kept_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        if self.is_closed:
            self.end(error.ConnectionLost())

    def send_endlessly(self, head, repeated):
        """Sends a head and a body, or a head, without end."""
        self.send(head)
        self.send(b"", repeated)

    def check_is_bounded(self):
        """Checks that the connection was closed before much was read."""
        assert self.is_closed
        assert 0 < self.sent_bytes <= MAX_SENT_BYTES
        assert self.kept_bytes <= MAX_KEPT_BYTES

    def end(self, reason):
        """Ends the connection."""
        self._connection.connectionLost(failure.Failure(reason))
