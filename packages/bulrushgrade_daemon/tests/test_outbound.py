"""Tests of opening a connection for one request."""

import fakes
from returns.result import Failure
from twisted.internet import defer
from twisted.internet import error
from twisted.python import failure

from bulrushgrade_daemon import outbound

REQUEST = outbound.OutboundRequest(method=b"GET", uri=b"/", headers=[])


class Connector:
    """A connection attempt that ends as the test specifies."""

    def __init__(self, factory):
        self._factory = factory

    def build(self):
        """Returns the protocol of the connection."""
        return self._factory.buildProtocol(None)

    def open(self, transport):
        self.build().makeConnection(transport)

    def fail(self, reason):
        self._factory.clientConnectionFailed(self, failure.Failure(reason))

    def disconnect(self):
        self.fail(error.UserError())


class Transport:
    """An open connection."""

    is_aborted = False

    def getHandle(self):  # noqa: N802
        return self

    def setsockopt(self, *option):
        """Ignores socket options."""

    def setTcpNoDelay(self, on):  # noqa: N802
        """Ignores the option."""

    def abortConnection(self):  # noqa: N802
        self.is_aborted = True


class Reactor:
    """Records the connectors that it creates."""

    def __init__(self):
        self.connectors = []

    def connectTCP(self, host, port, factory, timeout):  # noqa: N802
        self.connectors.append(Connector(factory))
        return self.connectors[-1]


def send():
    reactor = Reactor()
    pending_send = fakes.run(
        outbound.send(reactor, "10.0.0.1", 80, REQUEST, connect_timeout_s=0.3)
    )
    return reactor.connectors[0], pending_send


def test_failed_connect_is_returned_as_a_failure():
    """A host is cut off, and opening a connection times out.

    Twisted's timeout is a subclass of the error that it raises for a cancelled
    attempt. Taken for a cancellation, it silently ended the task that follows
    the store, and the gateway kept serving by outdated data.
    """
    for reason in (error.TimeoutError(), error.ConnectionRefusedError()):
        connector, pending_send = send()
        ended = []
        pending_send.addBoth(ended.append)
        connector.fail(reason)
        assert isinstance(ended[0], Failure), ended
        assert ended[0].failure().written is False


def test_cancelled_connect_raises_cancelled_error():
    _, pending_send = send()
    ended = []
    pending_send.addErrback(lambda f: ended.append(f.type))
    pending_send.cancel()
    assert ended == [defer.CancelledError]
