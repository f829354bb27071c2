"""Tests of opening a connection for one request."""

import fakes
from returns.result import Failure
from twisted.internet import defer
from twisted.internet import error
from twisted.python import failure

from bulrushgrade_daemon import outbound

REQUEST = outbound.OutboundRequest(method=b"GET", uri=b"/", headers=[])


class Connector:
    """An opening that ends as a test says."""

    def __init__(self, factory):
        self._factory = factory

    def open(self, transport):
        self._factory.buildProtocol(None).makeConnection(transport)

    def fail(self, reason):
        self._factory.clientConnectionFailed(self, failure.Failure(reason))

    def disconnect(self):
        self.fail(error.UserError())


class Transport:
    """A connection that was opened."""

    is_aborted = False

    def getHandle(self):  # noqa: N802
        return self

    def setsockopt(self, *option):
        """Takes what is set of the socket."""

    def setTcpNoDelay(self, on):  # noqa: N802
        """Takes that small parts are sent at once."""

    def abortConnection(self):  # noqa: N802
        self.is_aborted = True


class Reactor:
    """Keeps the connectors that it was asked for."""

    def __init__(self):
        self.connectors = []

    def connectTCP(self, host, port, factory, timeout):  # noqa: N802
        self.connectors.append(Connector(factory))
        return self.connectors[-1]


def send():
    reactor = Reactor()
    sending = fakes.run(
        outbound.send(reactor, "10.0.0.1", 80, REQUEST, connect_timeout_s=0.3)
    )
    return reactor.connectors[0], sending


def test_opening_that_fails_is_a_value():
    """A host is cut off and the opening of a connection times out.

    Twisted's timeout is a kind of the error that it gives for a cancelled
    opening. Taken for a cancellation, it ended the follower of the store
    without a word, and the gateway served for ever by what it knew then.
    """
    for reason in (error.TimeoutError(), error.ConnectionRefusedError()):
        connector, sending = send()
        ended = []
        sending.addBoth(ended.append)
        connector.fail(reason)
        assert isinstance(ended[0], Failure), ended
        assert ended[0].failure().written is False


def test_cancelled_opening_is_cancelled():
    _, sending = send()
    ended = []
    sending.addErrback(lambda f: ended.append(f.type))
    sending.cancel()
    assert ended == [defer.CancelledError]


def find_connect_error():
    reactor = Reactor()
    finding = fakes.run(
        outbound.find_connect_error(
            reactor, "10.0.0.1", 80, connect_timeout_s=0.3
        )
    )
    ended = []
    finding.addBoth(ended.append)
    return reactor.connectors[0], ended


def test_refused_connection_is_told_by_its_reason():
    connector, ended = find_connect_error()
    connector.fail(error.ConnectionRefusedError())
    assert ended == ["ConnectionRefusedError"]


def test_connection_that_opens_is_dropped_and_no_refusal():
    connector, ended = find_connect_error()
    transport = Transport()
    connector.open(transport)
    assert ended == [None]
    assert transport.is_aborted
