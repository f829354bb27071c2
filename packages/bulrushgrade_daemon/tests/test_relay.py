"""Tests of relaying a connection between two hosts."""

import fakes
import pytest
from returns.result import Failure
from returns.result import Success
from test_directory import make as make_registration
from test_outbound import Reactor
from test_outbound import Transport
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure

from bulrushgrade import directory
from bulrushgrade_daemon import endpointsignals
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import relayclient
from bulrushgrade_daemon import relayframes
from bulrushgrade_daemon import relayserver

E1 = make_registration("e1")
WANTED = relayframes.Open(peer="h1/1", endpoint="e1", born_ms=E1.born_ms)
Status = relayframes.Status
DONE = failure.Failure(error.ConnectionDone())
LOST = failure.Failure(error.ConnectionLost())


class Link(Transport):
    """A transport that records what is written and how it is closed."""

    disconnecting = False

    def __init__(self):
        self.written = b""
        self.closed = None
        self.producer = None

    def write(self, data):
        self.written += data

    def loseConnection(self):  # noqa: N802
        self.closed = self.closed or "closed"

    def abortConnection(self):  # noqa: N802
        self.closed = "aborted"

    def registerProducer(self, producer, streaming):  # noqa: N802
        self.producer = producer

    def unregisterProducer(self):  # noqa: N802
        self.producer = None

    def take(self):
        written, self.written = self.written, b""
        return written


class Signals:
    """What the endpoint has stated to the relaying host."""

    reason = None

    def why_withheld(self, endpoint):
        return self.reason

    def backoff_left_s(self, endpoint):
        return 1.5


class Server:
    """A relay server with one connection of a peer."""

    def __init__(self, *, opens=True, limit=None):
        self.clock, timers, self.broken = fakes.make_timers()
        self.signals = Signals()
        self.is_stopping = False
        self.endpoint_link = Link()
        self.endpoints = directory.Directory(leaving_use_s=1.0)
        self.endpoints.put(E1, now=0.0)
        self.opens = opens
        self.server = relayserver.RelayServer(
            reactor=None,
            timers=timers,
            listen=None,
            endpoints=self.endpoints,
            connect=self._connect,
            signals=self.signals,
            is_stopping=lambda: self.is_stopping,
            log=fakes.EventRecorder().make(),
            on_broken=self.broken.append,
        )
        self.peer_side, self.peer_link = self.accept()

    def accept(self):
        side, link = relayserver._PeerSide(server=self.server), Link()
        side.makeConnection(link)
        return side, link

    async def _connect(self, endpoint, build):
        if not self.opens:
            return Failure(relayframes.Reply(status=Status.UNREACHED))
        self.endpoint_side = build()
        self.endpoint_side.makeConnection(self.endpoint_link)
        return Success(self.endpoint_side)

    def ask(self, wanted=WANTED):
        """Asks for the endpoint; returns the reply."""
        self.peer_side.dataReceived(relayframes.encode_open(wanted))
        ((kind, body),) = self.read_frames()
        assert kind is relayframes.FrameKind.REPLY
        return relayframes.decode_reply(body)

    def read_frames(self):
        splitter = relayframes.FrameSplitter()
        return list(splitter.feed(self.peer_link.take()))


def test_bytes_pass_in_both_directions():
    scene = Server()
    assert scene.ask().status is Status.OPENED
    scene.peer_side.dataReceived(b"GET /")
    assert scene.endpoint_link.written == b"GET /"
    scene.endpoint_side.dataReceived(b"HTTP/1.1 200")
    data = relayframes.FrameKind.DATA
    assert scene.read_frames() == [(data, b"HTTP/1.1 200")]
    assert scene.server.counts == {"opened": 1}


def test_proper_end_of_the_endpoints_connection_is_passed_on_as_such():
    scene = Server()
    scene.ask()
    scene.peer_side.dataReceived(b"GET /")
    scene.endpoint_side.connectionLost(DONE)
    assert scene.read_frames() == [(relayframes.FrameKind.END, b"")]
    assert scene.peer_link.closed == "closed"


def test_reset_of_the_endpoints_connection_is_passed_on_as_such():
    """Guards against truncated answers that look complete."""
    scene = Server()
    scene.ask()
    scene.peer_side.dataReceived(b"GET /")
    scene.endpoint_side.connectionLost(LOST)
    assert scene.read_frames() == []
    assert scene.peer_link.closed == "aborted"


def test_end_of_the_peer_ends_the_endpoints_work():
    """Guards against endpoints that work for callers that have left."""
    for reason, closed in ((DONE, "closed"), (LOST, "aborted")):
        scene = Server()
        scene.ask()
        scene.peer_side.connectionLost(reason)
        assert scene.endpoint_link.closed == closed
        assert scene.server.open_connections == 0


def test_slow_reader_pauses_the_sender():
    """Guards against relayed bytes that fill the memory of the helper."""
    scene = Server()
    scene.ask()
    assert scene.peer_link.producer is scene.endpoint_link
    assert scene.endpoint_link.producer is scene.peer_link


def test_endpoint_that_closes_unused_got_nothing():
    """Guards against requests that count as run though none was sent."""
    scene = Server()
    scene.ask()
    scene.endpoint_side.connectionLost(DONE)
    ((kind, body),) = scene.read_frames()
    assert kind is relayframes.FrameKind.REPLY
    assert relayframes.decode_reply(body).status is Status.UNREACHED


def test_statement_that_arrives_before_the_first_byte_is_kept():
    """Guards against relayed requests in a pause that an endpoint asked for."""
    scene = Server()
    scene.ask()
    scene.signals.reason = endpointsignals.Reason.BACKOFF
    scene.peer_side.dataReceived(b"GET /")
    assert scene.endpoint_link.written == b""
    ((_, body),) = scene.read_frames()
    reply = relayframes.decode_reply(body)
    assert (reply.status, reply.withheld_ms) == (Status.WITHHELD, 1500)


def test_leaving_endpoint_gets_only_what_helps_it():
    scene = Server()
    scene.signals.reason = endpointsignals.Reason.LEAVING
    assert scene.ask().status is Status.WITHHELD
    scene = Server()
    scene.signals.reason = endpointsignals.Reason.LEAVING
    free = relayframes.Open(
        peer="h1/1", endpoint="e1", born_ms=E1.born_ms, may_be_leaving=True
    )
    assert scene.ask(free).status is Status.OPENED


def test_unregistered_endpoint_is_not_connected_to():
    """Guards against a relay to any address, or to a later incarnation."""
    for wanted in (
        relayframes.Open(peer="h1/1", endpoint="e9", born_ms=E1.born_ms),
        relayframes.Open(peer="h1/1", endpoint="e1", born_ms=E1.born_ms + 1),
    ):
        assert Server().ask(wanted).status is Status.UNKNOWN


def test_stopping_host_relays_nothing_new():
    scene = Server()
    scene.is_stopping = True
    assert scene.ask().status is Status.STOPPING


def test_number_of_relayed_connections_is_bounded(monkeypatch):
    """Guards against a host without room for its own callers."""
    monkeypatch.setattr(relayserver, "MAX_CONNECTIONS", 2)
    scene = Server()
    assert scene.ask().status is Status.OPENED
    scene.accept()
    scene.peer_side, scene.peer_link = scene.accept()
    assert scene.ask().status is Status.BUSY


def test_peer_that_names_no_endpoint_is_dropped():
    scene = Server()
    scene.clock.advance(relayserver.OPEN_TIMEOUT_S)
    assert scene.peer_link.closed == "aborted"
    scene = Server()
    scene.peer_side.dataReceived(b"\xffnonsense")
    assert scene.peer_link.closed == "aborted"


class Inner(protocol.Protocol):
    """The protocol that talks to the endpoint."""

    def __init__(self):
        self.received, self.ended = b"", None

    def dataReceived(self, data):  # noqa: N802
        self.received += data

    def connectionLost(self, reason):  # noqa: N802
        self.ended = reason


def open_inner():
    inner, link = Inner(), Link()
    connection = relayclient.RelayedConnection(inner=inner, wanted=WANTED)
    connection.makeConnection(link)
    opened = relayframes.Reply(status=Status.OPENED)
    connection.dataReceived(relayframes.encode_reply(opened))
    return connection, inner


def test_end_of_the_helper_is_no_proper_end_of_the_answer():
    """Guards against truncated answers that look complete."""
    connection, inner = open_inner()
    data = relayframes.make_frame(relayframes.FrameKind.DATA, b"half")
    connection.dataReceived(data)
    connection.connectionLost(DONE)
    assert inner.received == b"half"
    assert inner.ended.check(error.ConnectionLost)


def test_proper_end_of_the_answer_is_one():
    connection, inner = open_inner()
    connection.dataReceived(relayframes.make_frame(relayframes.FrameKind.END))
    connection.connectionLost(DONE)
    assert inner.ended.check(error.ConnectionDone)


def test_request_that_was_not_passed_on_has_not_run():
    connection, inner = open_inner()
    refused = relayframes.Reply(status=Status.WITHHELD)
    connection.dataReceived(relayframes.encode_reply(refused))
    assert inner.ended.check(outbound.NotPassedOnError)


def test_reply_after_bytes_of_the_endpoint_is_no_proof_that_nothing_ran():
    """Guards against refusals that say that nothing ran though it did."""
    connection, inner = open_inner()
    data = relayframes.make_frame(relayframes.FrameKind.DATA, b"half")
    refused = relayframes.Reply(status=Status.UNREACHED)
    connection.dataReceived(data + relayframes.encode_reply(refused))
    connection.connectionLost(DONE)
    assert inner.ended.check(error.ConnectionLost)


@pytest.mark.parametrize("size", [1, 3, 1000])
def test_frames_are_split_wherever_reads_end(size):
    frames = b"".join(
        relayframes.make_frame(relayframes.FrameKind.DATA, body)
        for body in (b"a", b"", b"bcd" * 50)
    )
    splitter, found = relayframes.FrameSplitter(), []
    for start in range(0, len(frames), size):
        found += splitter.feed(frames[start : start + size])
    assert [body for _, body in found] == [b"a", b"", b"bcd" * 50]


@pytest.mark.parametrize("data", [b"\x09\0\0\0\0", b"\x01\xff\xff\xff\xff"])
def test_other_bytes_are_no_frames(data):
    with pytest.raises(relayframes.FrameError):
        list(relayframes.FrameSplitter().feed(data))


def test_cancelled_connection_to_a_helper_is_aborted():
    """Guards against endpoints that work for callers that have left."""
    reactor, closed = Reactor(), []
    clock, _, _ = fakes.make_timers()
    reactor.callLater = clock.callLater
    pending = fakes.run(
        relayclient.open_relayed(
            reactor,
            ("10.0.0.9", 1),
            WANTED,
            on_closed=lambda: closed.append(True),
        )
    )
    link = Link()
    reactor.connectors[0].open(link)
    pending.addErrback(lambda reason: None)
    pending.cancel()
    assert link.closed == "aborted"
