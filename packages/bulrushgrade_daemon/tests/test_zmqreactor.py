"""Tests of ZeroMQ sockets in the reactor."""

import select

import pytest
from twisted.internet import task
import zmq

from bulrushgrade_daemon import zmqreactor

WAIT_MS = 10_000


class Reactor(task.Clock):
    """A fake reactor: a clock that records the added readers."""

    def __init__(self):
        super().__init__()
        self.readers = []

    def addReader(self, reader):  # noqa: N802
        self.readers.append(reader)

    def removeReader(self, reader):  # noqa: N802
        self.readers.remove(reader)


@pytest.fixture
def pair():
    context = zmq.Context()
    near, far = context.socket(zmq.PAIR), context.socket(zmq.PAIR)
    port = near.bind_to_random_port("tcp://127.0.0.1")
    far.connect(f"tcp://127.0.0.1:{port}")
    yield near, far
    near.close(linger=0)
    far.close(linger=0)
    context.term()


def open_connection(socket, receive, broken=None):
    reactor = Reactor()
    connection = zmqreactor.Connection(
        socket=socket,
        reactor=reactor,
        receive=receive,
        on_broken=broken,
    )
    reactor.advance(0)
    return reactor, connection


def test_send_that_consumes_the_edge_schedules_a_read(pair):
    # Guards against messages that are never read. If one arrives just before a
    # send, the send consumes the edge: the descriptor is not readable any more,
    # and a reactor that only waits for it never reads the message.
    near, far = pair
    got = []
    reactor, connection = open_connection(near, got.append)
    far.send(b"hello")
    assert select.select([connection.fileno()], [], [], WAIT_MS / 1000)[0]
    assert near.poll(WAIT_MS)
    connection.send([b"answer"])
    assert not select.select([connection.fileno()], [], [], 0)[0]
    reactor.advance(0)
    assert got == [[b"hello"]]
    connection.close()
    assert reactor.readers == []


def test_flood_is_read_in_bounded_batches(pair):
    near, far = pair
    got = []
    reactor, connection = open_connection(near, got.append)
    count = 2 * zmqreactor.MAX_MESSAGES_PER_ITERATION + 20
    for number in range(count):
        far.send(b"%d" % number)
    sizes = []
    while len(got) < count:
        assert near.poll(WAIT_MS)
        connection.doRead()
        sizes.append(len(got) - sum(sizes))
    assert max(sizes) <= zmqreactor.MAX_MESSAGES_PER_ITERATION
    connection.close()
    reactor.advance(0)


def test_broken_receiver_is_reported(pair):
    near, far = pair
    reasons = []
    _, connection = open_connection(near, [].pop, reasons.append)
    far.send(b"hello")
    assert near.poll(WAIT_MS)
    connection.doRead()
    assert "TypeError" in reasons[0]
    connection.close()
