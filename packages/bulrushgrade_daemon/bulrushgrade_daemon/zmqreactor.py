"""ZeroMQ sockets inside the Twisted reactor.

The descriptor that a ZeroMQ socket offers to an event loop is edge triggered:
it turns readable once when something happened to the socket, and any call on
the socket, a send too, may take that edge away while messages are waiting. A
reader that only waits for the descriptor then stalls with a full queue, and
its peer looks silent. The guards: every turn reads until the socket is empty
or asks for another turn, and every send looks at the socket's events after.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet import interfaces
import zmq
from zope.interface import implementer

# Messages handled in one turn. A peer that sends a flood must not keep the
# reactor from relaying tokens; 50 small messages take about a millisecond.
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
            reactor: The reactor that the socket is read in.
            receive: Called with the frames of each message.
            on_broken: Called with the reason when `receive` raises.
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
        """Returns the name under which the reactor logs."""
        return "zmq"

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Closes the socket when the reactor gives up the descriptor."""
        self.close()

    def doRead(self) -> None:  # noqa: N802
        """Reads what has come; called by the reactor."""
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
        """Sends a message without waiting.

        Returns:
            False when the queue is full or the other end is not connected;
            the message is then dropped.
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
        """Stops reading and closes the socket; queued messages are lost."""
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
