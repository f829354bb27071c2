"""Tests of what a gateway holds for a caller that doesn't read.

The endpoint, the gateway's front end and the caller are on sockets of the
loopback interface, as the kernel's buffers and Twisted's decide what is held.
"""

import contextlib
import socket
import threading
import types
from unittest import mock

import badanswers
import fakes
import pytest
import test_answerbounds
from twisted.internet import error
from twisted.internet import selectreactor
from twisted.internet import task
from twisted.internet import testing
from twisted.python import failure

from bulrushgrade import routing
from bulrushgrade_daemon import frontend
from bulrushgrade_daemon import outbound

MAX_HELD_BYTES = 400_000
"""Twisted's write buffer, an answer that was buffered whole, and two reads."""

ANSWER_BYTES = 64_000_000
"""Size of an answer, more than all buffers of the kernel hold."""

EVENT = b"data: " + b"x" * 92 + b"\n\n"
SETTLED_S = 0.5
"""Time without progress after which all buffers are full."""

LIMITS = routing.CallerLimits(
    max_header_bytes=16_384,
    max_body_bytes=1_000,
    header_timeout_s=3.0,
    idle_timeout_s=3.0,
)


class Endpoint(threading.Thread):
    """Sends an answer for as long as somebody reads it, and then cuts it."""

    def __init__(self, head, block):
        super().__init__(daemon=True)
        self._listening = socket.create_server(("127.0.0.1", 0))
        self.port = self._listening.getsockname()[1]
        self._head, self._block = head, block
        self.is_cut_off = False
        self.start()

    def run(self):
        connection, _ = self._listening.accept()
        connection.settimeout(SETTLED_S)
        connection.recv(65_536)
        with connection, contextlib.suppress(TimeoutError):
            connection.sendall(self._head)
            for _ in range(ANSWER_BYTES // len(self._block)):
                connection.sendall(self._block)
        self.is_cut_off = True


class Scene:
    """A front end that forwards each request to one endpoint."""

    def __init__(self, kind, head, block):
        self.reactor = selectreactor.SelectReactor()
        self.endpoint = Endpoint(head, block)
        self.ended = []
        self._kind = kind
        self.front = frontend.Frontend(
            reactor=self.reactor,
            timers=mock.Mock(now=0.0),
            host="127.0.0.1",
            port=0,
            limits=lambda: LIMITS,
            max_connections=10,
            handle=self._handle,
            log=None,
        )
        fakes.run(self.front.start())
        host, _, port = self.front.address.rpartition(":")
        self.caller = socket.create_connection((host, int(port)))
        self.caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")

    def _handle(self, caller):
        self.request = caller
        fakes.run(self._forward(caller)).addBoth(self.ended.append)

    async def _forward(self, caller):
        sent = await outbound.send(
            self.reactor,
            "127.0.0.1",
            self.endpoint.port,
            test_answerbounds.REQUEST,
            connect_timeout_s=1.0,
        )
        request = test_answerbounds.make_request(sent.unwrap())
        request.caller = caller
        ended = await self._kind(request)
        if ended is not None:
            caller.abort_connection()
        return ended

    def run_for(self, seconds):
        """Runs the reactor for a time."""
        until = self.reactor.seconds() + seconds
        while self.reactor.seconds() < until:
            self.reactor.runUntilCurrent()
            self.reactor.doIteration(0.01)

    def fill_buffers(self):
        """Runs the reactor until the endpoint has cut its answer off."""
        until = self.reactor.seconds() + 20.0
        while not self.endpoint.is_cut_off:
            assert self.reactor.seconds() < until
            self.run_for(0.05)

    def held_bytes(self):
        """Returns what is held for the caller in the process."""
        transport = self.request.channel.transport
        pending = sum(map(len, transport._tempDataBuffer))
        return pending + len(transport.dataBuffer) - transport.offset


@pytest.fixture(
    params=[
        (
            test_answerbounds.forward_whole,
            badanswers.OK + b"Content-Length: 64000000\r\n\r\n",
            b"x" * 10_000,
        ),
        (
            test_answerbounds.forward_events,
            badanswers.OK + badanswers.CHUNKED + badanswers.END,
            b"64\r\n" + EVENT + b"\r\n",
        ),
    ],
    ids=["whole", "events"],
)
def scene(request):
    made = Scene(*request.param)
    yield made
    made.caller.close()
    made.run_for(0.05)


def test_held_bytes_are_bounded_and_a_cut_answer_is_not_whole(scene):
    """Guards against slow callers that fill the memory.

    Nor may they take a part of an answer for the whole of it.
    """
    scene.fill_buffers()
    assert 0 < scene.held_bytes() <= MAX_HELD_BYTES
    # The gateway doesn't read, so it doesn't know yet that it was cut off.
    assert scene.ended == []
    read = b""
    scene.caller.settimeout(0.0)
    while b"\r\n0\r\n\r\n" not in read:
        scene.run_for(0.02)
        try:
            part = scene.caller.recv(1 << 20)
        except BlockingIOError:
            continue
        except ConnectionResetError:
            break
        if not part:
            break
        read += part
    scene.run_for(0.1)
    assert isinstance(scene.ended[0].reason, str)
    assert scene.ended[0].connection_lost
    assert b"200 OK" in read[:20]
    assert not read.endswith(b"0\r\n\r\n")


def test_connection_of_a_caller_that_never_reads_is_closed(scene, monkeypatch):
    """Such connections, and what was written to them, were kept for ever."""
    monkeypatch.setattr(frontend, "CLOSE_TIMEOUT_S", 0.3)
    scene.fill_buffers()
    scene.request.abort_connection()
    assert scene.front.connections == 1
    scene.run_for(0.5)
    assert scene.front.connections == 0


@pytest.mark.parametrize("is_lost", [False, True])
def test_no_timer_stays_after_a_connection_has_ended(is_lost):
    """Guards against timers that keep closed connections in memory.

    The idle timeout began a second one, and a connection that was already
    lost another one.
    """
    clock = task.Clock()
    channel = frontend._Channel()
    channel.callLater, channel.timeOut = clock.callLater, 3.0
    channel.factory = types.SimpleNamespace(channels=set())
    transport = testing.StringTransport()
    transport.setTcpNoDelay = lambda enabled: None
    channel.makeConnection(transport)
    reason = failure.Failure(error.ConnectionDone())
    if is_lost:
        channel.connectionLost(reason)
        channel.loseConnection()
    else:
        channel.loseConnection()
        clock.advance(3.0)
        clock.advance(frontend.CLOSE_TIMEOUT_S)
        assert transport.disconnected
        channel.connectionLost(reason)
    assert clock.getDelayedCalls() == []
