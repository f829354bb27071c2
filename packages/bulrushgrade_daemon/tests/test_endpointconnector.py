"""Tests of opening connections to endpoints on several paths."""

import random

import fakes
from returns.result import Failure
from test_directory import make as make_registration
from test_outbound import Reactor
from test_outbound import Transport
from twisted.internet import error

from bulrushgrade import directory
from bulrushgrade import endpointlinks
from bulrushgrade import relaychoice
from bulrushgrade_daemon import endpointconnector
from bulrushgrade_daemon import relayframes

E1 = make_registration("e1")
E2 = make_registration("e2")
PEER = "h2/1"
DIRECT, RELAYED = endpointlinks.Path.DIRECT, endpointlinks.Path.RELAYED


class RelayTransport(Transport):
    """An open connection to a peer that records what is written."""

    def __init__(self):
        self.written = b""

    def write(self, data):
        self.written += data

    def loseConnection(self):  # noqa: N802
        """Closes nothing."""


def make_connector(
    reactor, timers, peers=(), log=None, lost=None, unreached=None
):
    endpoints = directory.Directory(leaving_use_s=1.0)
    for endpoint in (E1, E2):
        endpoints.put(endpoint, now=0.0)
    return endpointconnector.EndpointConnector(
        reactor=reactor,
        timers=timers,
        endpoints=endpoints,
        peers=endpointconnector.Peers(
            own_name="h1/1",
            present=lambda: list(peers),
            find_address=lambda peer: ("10.0.0.9", 7000),
        ),
        relays=relaychoice.RelayChoice(rng=random.Random(1)),
        on_link_lost=(lambda found: None) if lost is None else lost.append,
        on_unreached=lambda found, reason: (
            None if unreached is None else unreached.append(found)
        ),
        log=log or fakes.EventRecorder().make(),
        on_broken=None,
    )


class Scene:
    """A connector whose connections end as the test specifies."""

    def __init__(self, peers=(PEER,)):
        self.clock, self.timers, self.broken = fakes.make_timers()
        self.reactor = Reactor()
        self.reactor.callLater = self.clock.callLater
        self.lines = fakes.EventRecorder()
        self.lost = []
        self.unreached = []
        self.connector = make_connector(
            self.reactor,
            self.timers,
            peers=peers,
            log=self.lines.make(),
            lost=self.lost,
            unreached=self.unreached,
        )

    def connect(self, endpoint=E1, **options):
        """Starts to connect; returns the list that gets the result."""
        ended = []
        running = fakes.run(self.connector.connect(endpoint, **options))
        running.addBoth(ended.append)
        return ended

    def fail_last(self, reason=error.TimeoutError):
        self.reactor.connectors[-1].fail(reason())

    def open_last(self):
        transport = Transport()
        self.reactor.connectors[-1].open(transport)
        return transport

    def reply_last(self, status, **fields):
        """Has the last connection's peer reply; returns its transport."""
        transport = RelayTransport()
        connection = self.reactor.connectors[-1]._factory.buildProtocol(None)
        connection.makeConnection(transport)
        reply = relayframes.Reply(status=status, **fields)
        connection.dataReceived(relayframes.encode_reply(reply))
        return transport

    def lose_link(self, endpoint=E1):
        self.connect(endpoint)
        self.fail_last()
        self.connect(endpoint)
        self.reply_last(relayframes.Status.OPENED)


def test_failed_link_is_followed_by_an_attempt_by_way_of_a_peer():
    """Guards against requests that end with the host's own link."""
    scene = Scene()
    ended = scene.connect()
    scene.fail_last()
    failed = ended[0].failure()
    assert failed.cause is endpointconnector.Cause.NO_LINK
    assert failed.path is DIRECT
    ended = scene.connect()
    transport = scene.reply_last(relayframes.Status.OPENED)
    connected = ended[0].unwrap()
    assert (connected.path, connected.peer) == (RELAYED, PEER)
    wanted = relayframes.encode_open(
        relayframes.Open(peer="h1/1", endpoint="e1", born_ms=E1.born_ms)
    )
    assert transport.written == wanted
    assert scene.lost == [E1]
    assert scene.lines.count("endpoint_link_lost") == 1


def test_endpoint_that_peers_do_not_reach_either_is_unreached():
    """Guards against an endpoint that is down and kept as if it ran."""
    scene = Scene()
    scene.connect()
    scene.fail_last()
    ended = scene.connect()
    scene.reply_last(relayframes.Status.UNREACHED, is_refused=True)
    failed = ended[0].failure()
    assert failed.cause is endpointconnector.Cause.UNREACHED
    assert failed.is_refused
    assert scene.lost == []


def test_endpoint_of_a_failed_connection_is_verified_by_peers():
    """Guards against a link whose loss each request has to find anew."""
    scene = Scene()
    scene.connect()
    scene.fail_last()
    scene.reply_last(relayframes.Status.OPENED)
    assert (scene.lost, scene.unreached) == ([E1], [])
    scene = Scene()
    scene.connect()
    scene.fail_last()
    scene.reply_last(relayframes.Status.UNREACHED)
    assert (scene.lost, scene.unreached) == ([], [E1])
    scene = Scene()
    scene.connect()
    scene.fail_last()
    scene.reply_last(relayframes.Status.CUT_OFF)
    assert (scene.lost, scene.unreached) == ([], [])


def test_peer_without_links_says_nothing_of_the_endpoint():
    """Guards against endpoints blamed by two hosts that are both cut off."""
    scene = Scene()
    scene.connect()
    scene.fail_last()
    ended = scene.connect()
    scene.reply_last(relayframes.Status.CUT_OFF)
    assert ended[0].failure().cause is endpointconnector.Cause.NO_LINK


def test_host_that_is_cut_off_connects_to_no_other_endpoint_directly():
    """Guards against a wait for every single endpoint behind a cut."""
    scene = Scene()
    for endpoint in (E1, E2):
        scene.connect(endpoint)
        scene.fail_last()
    assert scene.connector.is_cut
    assert scene.lines.count("all_links_lost") == 1
    new = make_registration("e3")
    ended = scene.connect(new)
    scene.reply_last(relayframes.Status.OPENED)
    assert ended[0].unwrap().path is RELAYED


def test_host_that_is_cut_off_without_peers_fails_at_once():
    """Guards against callers that wait for what can't be served."""
    scene = Scene(peers=())
    for endpoint in (E1, E2):
        scene.connect(endpoint)
        scene.fail_last()
    opened = len(scene.reactor.connectors)
    (result,) = scene.connect()
    assert result.failure().cause is endpointconnector.Cause.NO_RELAY
    assert len(scene.reactor.connectors) == opened
    assert not scene.connector.can_connect


def test_host_without_peers_goes_on_using_its_own_link():
    """Guards against a single host that gives up one endpoint."""
    scene = Scene(peers=())
    ended = scene.connect()
    scene.fail_last()
    cause = ended[0].failure().cause
    assert cause is endpointconnector.Cause.UNREACHED
    ended = scene.connect()
    scene.open_last()
    assert ended[0].unwrap().path is DIRECT


def test_lost_link_is_probed_and_used_again():
    """Guards against links that stay lost after their return."""
    scene = Scene()
    scene.lose_link()
    fakes.run(scene.connector.start())
    for _ in range(20):
        opened = len(scene.reactor.connectors)
        scene.clock.advance(0.1)
        if len(scene.reactor.connectors) > opened:
            scene.open_last()
    assert scene.lines.count("endpoint_link_regained") == 1
    ended = scene.connect()
    scene.open_last()
    assert ended[0].unwrap().path is DIRECT


def test_host_relays_nothing_over_a_lost_link():
    """Guards against connections that are passed on from host to host."""
    scene = Scene()
    scene.lose_link()
    opened = len(scene.reactor.connectors)
    ended = []
    running = fakes.run(scene.connector.open_for_peer(E1, lambda: None))
    running.addBoth(ended.append)
    assert ended[0].failure().status is relayframes.Status.LINK_LOST
    assert len(scene.reactor.connectors) == opened


def test_host_judges_an_endpoint_only_if_it_reaches_another():
    """Guards against the word of a host that has lost its own links."""
    for reaches_other in (True, False):
        scene = Scene()
        ended = []
        running = fakes.run(scene.connector.open_for_peer(E1, lambda: None))
        running.addBoth(ended.append)
        scene.fail_last(error.ConnectionRefusedError)
        # The other endpoint is probed before the reply.
        assert ended == []
        status = relayframes.Status.CUT_OFF
        if reaches_other:
            status = relayframes.Status.UNREACHED
            scene.open_last()
            # The own links may have come back since the endpoint was tried.
            assert ended == []
            scene.fail_last(error.ConnectionRefusedError)
        else:
            scene.fail_last()
        assert isinstance(ended[0], Failure)
        assert ended[0].failure().status is status


def test_peer_that_never_replies_is_given_up():
    """Guards against requests that wait for a peer that is paused."""
    scene = Scene()
    scene.connect()
    scene.fail_last()
    ended = scene.connect()
    transport = RelayTransport()
    scene.reactor.connectors[-1].open(transport)
    scene.clock.advance(1.0)
    assert ended[0].failure().cause is endpointconnector.Cause.NO_LINK
    assert transport.is_aborted
    # It isn't asked again at once.
    assert scene.connector.pick_judges(1) == []
