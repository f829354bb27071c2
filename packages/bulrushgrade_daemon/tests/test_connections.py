"""Tests of opening connections."""

import socket
import types

import fakes
from test_outbound import Reactor
from test_outbound import Transport
from twisted.internet import error

from bulrushgrade_daemon import connections


class OptionsTransport(Transport):
    """An open connection that records its socket options."""

    def __init__(self):
        self.options = {}

    def setsockopt(self, level, option, value):
        self.options[option] = value


def find_connect_error():
    reactor = Reactor()
    pending = fakes.run(
        connections.find_connect_error(reactor, "10.0.0.1", 80, timeout_s=0.3)
    )
    ended = []
    pending.addBoth(ended.append)
    return reactor.connectors[0], ended


def test_refused_connection_is_reported_with_its_reason():
    connector, ended = find_connect_error()
    connector.fail(error.ConnectionRefusedError())
    (failed,) = ended
    assert failed.reason == "ConnectionRefusedError"
    assert failed.is_refused


def test_unanswered_connection_is_not_reported_as_refused():
    connector, ended = find_connect_error()
    connector.fail(error.TimeoutError())
    (failed,) = ended
    assert not failed.is_refused


def test_address_with_an_unknown_interface_is_a_failure():
    """Guards against an address whose interface ends who connects to it."""

    def connect(*args, **options):
        raise socket.gaierror(socket.EAI_NONAME, "Name or service not known")

    reactor = types.SimpleNamespace(connectTCP=connect)
    finding = connections.find_connect_error(
        reactor, "fe80::1%eth7", 80, timeout_s=0.3
    )
    ended = []
    fakes.run(finding).addBoth(ended.append)
    assert [failed.reason for failed in ended] == ["gaierror"]


def test_host_that_is_no_ip_address_is_a_failure():
    """Guards against a failed look-up that ends who connects."""
    connector, ended = find_connect_error()
    connector.fail(error.DNSLookupError())
    assert [failed.reason for failed in ended] == ["DNSLookupError"]


def test_opened_connection_is_closed_and_reports_no_error():
    connector, ended = find_connect_error()
    transport = Transport()
    connector.open(transport)
    assert ended == [None]
    assert transport.is_aborted


def test_connections_to_a_vanished_peer_end_within_seconds():
    """Where a user timeout is set, it ends keep-alive probes, not a count."""
    transport = OptionsTransport()
    connections.set_timeouts(transport)
    options = transport.options
    assert options[socket.SO_KEEPALIVE] == 1
    user_timeout_s = options[socket.TCP_USER_TIMEOUT] / 1000
    # An endpoint that runs may be silent for a second.
    assert user_timeout_s > 1.0
    probes_s = options[socket.TCP_KEEPIDLE] + options[socket.TCP_KEEPINTVL]
    assert user_timeout_s <= probes_s <= 3.0
    assert socket.TCP_KEEPCNT not in options
