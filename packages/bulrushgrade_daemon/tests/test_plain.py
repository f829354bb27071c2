"""Tests of answers of plain services, by how they and their connections end."""

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from bulrushgrade_daemon import engine
from bulrushgrade_daemon import plain

CALL = plain.PlainCall(
    attempt_id="a1",
    request_id="r1",
    address="10.0.0.1:80",
    method="GET",
    path="/a",
    headers=(),
    body=b"",
)
UNFRAMED = b"HTTP/1.1 200 OK\r\nContent-Type: %s\r\n\r\n"
STREAM = UNFRAMED % b"text/event-stream"
CLOSED, RESET = error.ConnectionDone(), error.ConnectionLost()


class Transport(testing.StringTransport):
    """An open connection that takes socket options."""

    def getHandle(self):  # noqa: N802
        return self

    def setsockopt(self, *option):
        """Ignores the option."""

    def setTcpNoDelay(self, on):  # noqa: N802
        """Ignores the option."""

    def setTcpKeepAlive(self, on):  # noqa: N802
        """Ignores the option."""


def answer(reactor, *parts, ended):
    """Answers the last connection of a reactor, and ends it."""
    factory = reactor.tcpClients[-1][2]
    connection = factory.buildProtocol(None)
    connection.makeConnection(Transport())
    for part in parts:
        connection.dataReceived(part)
    connection.connectionLost(failure.Failure(ended))


def send(*parts, ended, non_repeatable=False):
    """Returns the outcome of an attempt that is answered so."""
    reactor = testing.MemoryReactorClock()
    outcomes = []
    defer.Deferred.fromCoroutine(
        plain.PlainClient(reactor=reactor).send(
            CALL, timeout_s=1.0, non_repeatable=non_repeatable
        )
    ).addBoth(outcomes.append)
    answer(reactor, *parts, ended=ended)
    return outcomes[0]


def test_answer_that_ends_with_its_connection_is_whole():
    """Each answer without a length was lost, and its request repeated."""
    for non_repeatable in (False, True):
        found = send(
            UNFRAMED % b"text/plain",
            b"whole ",
            b"answer",
            ended=CLOSED,
            non_repeatable=non_repeatable,
        )
        assert isinstance(found, plain.PlainAnswer), found
        assert found.body == b"whole answer"


def test_answer_whose_connection_is_reset_is_lost():
    """A service crashes within an answer without a length."""
    found = send(UNFRAMED % b"text/plain", b"half", ended=RESET)
    assert isinstance(found, engine.Lost)


def test_answer_shorter_than_its_length_is_lost():
    """A service stops within an answer and closes its connection cleanly."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"
    found = send(head, b"half", ended=CLOSED)
    assert isinstance(found, engine.Lost)


def test_stream_that_ends_with_its_connection_is_whole():
    found = send(STREAM, b"data: 1\n\n", b"data: 2\n\n", ended=CLOSED)
    assert isinstance(found, plain.PlainAnswer), found
    assert found.body == b"data: 1\n\ndata: 2\n\n"


def test_stream_that_ends_within_an_event_is_lost():
    """A stream that had broken off was passed on as a whole answer."""
    framed = (
        b"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n"
        b"Content-Type: text/event-stream; charset=utf-8\r\n\r\n"
    )
    for head in (STREAM, framed):
        found = send(head, b"data: 1\n\ndata", ended=CLOSED)
        assert isinstance(found, engine.Lost), found
