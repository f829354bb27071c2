"""ZeroMQ sockets in the Twisted reactor.

The file descriptor that a ZeroMQ socket offers to an event loop is
edge-triggered: it becomes readable once when the state of the socket changes,
and any call on the socket, even a send, may consume that edge while messages
are waiting. A reader that only waits for the descriptor then stalls with a full
queue, and its peer seems silent. To prevent this, each read continues until the
socket is empty or schedules another read, and each send checks the socket's
events afterwards.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet import interfaces
import zmq
from zope.interface import implementer

# Messages handled per reactor iteration. A peer that sends a flood of messages
# must not block the relaying of tokens; 50 small messages take about 1 ms.
MAX_MESSAGES_PER_ITERATION = 50


@implementer(interfaces.IReadDescriptor)
class Connection:
    """Reads and writes one ZeroMQ socket, which it owns."""

    def __init__(
        self,
        *,
        socket: zmq.Socket,
        reactor: Any,
        receive: Callable[[list[bytes]], None],
        on_broken: Callable[[str], None],
    ):
        """Starts to read.

        Args:
            socket: A bound or connected socket; closed by `close`.
            reactor: The reactor that reads the socket.
            receive: Called with the frames of each message.
            on_broken: Called with a description if `receive` raises.
        """
        self._socket = socket
        self._reactor = reactor
        self._receive = receive
        self._on_broken = on_broken
        self._scheduled_read: Any = None
        reactor.addReader(self)
        self._schedule_read()

    @property
    def closed(self) -> bool:
        """Whether `close` has been called."""
        return self._socket.closed

    def fileno(self) -> int:
        """Returns the descriptor; -1 once closed, as the reactor expects."""
        return -1 if self._socket.closed else self._socket.FD

    def logPrefix(self) -> str:  # noqa: N802
        """Returns the prefix of the reactor's log lines about this socket."""
        return "zmq"

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Closes the socket when the reactor drops the descriptor."""
        self.close()

    def doRead(self) -> None:  # noqa: N802
        """Reads the waiting messages, up to a limit; called by the reactor."""
        for _ in range(MAX_MESSAGES_PER_ITERATION):
            if self._socket.closed:
                return
            try:
                frames = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            try:
                self._receive(frames)
            except Exception as error:
                self._on_broken(f"zmq: {type(error).__name__}: {error}")
                return
        self._schedule_read()

    def send(self, frames: list[bytes]) -> bool:
        """Sends a message without blocking.

        Returns:
            False if the message was dropped, because the queue is full or the
            peer is not connected.
        """
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError as error:
            if error.errno in (zmq.EAGAIN, zmq.EHOSTUNREACH):
                return False
            raise
        finally:
            if self._socket.EVENTS & zmq.POLLIN:
                self._schedule_read()
        return True

    def close(self) -> None:
        """Stops reading and closes the socket; drops queued messages."""
        if self._socket.closed:
            return
        self._reactor.removeReader(self)
        if self._scheduled_read is not None:
            self._scheduled_read.cancel()
            self._scheduled_read = None
        self._socket.close(linger=0)

    def _schedule_read(self) -> None:
        if self._scheduled_read is None:
            self._scheduled_read = self._reactor.callLater(
                0, self._run_scheduled_read
            )

    def _run_scheduled_read(self) -> None:
        self._scheduled_read = None
        self.doRead()
