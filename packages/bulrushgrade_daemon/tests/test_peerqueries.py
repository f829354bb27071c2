"""Tests of queries to peers."""

import fakes
from twisted.internet import defer

from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import peerqueries


class Peers:
    """Peers that reply when a test tells them to."""

    def __init__(self, *known):
        self.reactor, self.timers, _ = fakes.make_timers()
        self.known = known
        self.numbers = {}
        self.queries = peerqueries.PeerQueries(
            timers=self.timers, send=self.send
        )

    def send(self, peer, message):
        self.numbers[peer] = message.number
        return peer in self.known

    def query(self, *peers):
        def make(number):
            return gatewaymessages.WaitQuery(
                peer="me", number=number, engines=[], urgency=0
            )

        self.replies = []
        pending = defer.ensureDeferred(
            self.queries.query(dict.fromkeys(peers, make))
        )
        pending.addCallback(self.replies.extend)
        return pending

    def reply(self, peer, *, number=None):
        self.queries.handle_reply(
            gatewaymessages.WaitReply(
                peer=peer, number=number or self.numbers[peer], waits_ms={}
            )
        )

    def replied(self):
        return [reply.peer for reply in self.replies]


def test_all_replies_end_the_wait():
    peers = Peers("h1", "h2")
    pending = peers.query("h1", "h2")
    peers.reply("h2")
    assert not pending.called
    peers.reply("h1")
    assert pending.called
    assert peers.replied() == ["h2", "h1"]
    peers.reactor.advance(1.0)
    assert peers.queries.counts == {"queries": 1, "late_replies": 0}


def test_a_silent_peer_delays_a_query_only_until_the_timeout():
    # A host is partitioned or paused. Long prompts query it for the queues that
    # it owns; they wait until the timeout and use the other replies.
    peers = Peers("h1", "h2")
    pending = peers.query("h1", "h2")
    peers.reply("h1")
    peers.reactor.advance(peerqueries.REPLY_TIMEOUT_S / 2)
    assert not pending.called
    peers.reactor.advance(peerqueries.REPLY_TIMEOUT_S)
    assert peers.replied() == ["h1"]
    assert peers.queries.counts == {"queries": 1, "late_replies": 1}


def test_peers_without_an_address_are_not_waited_for():
    peers = Peers("h1")
    assert peers.query("gone").called
    pending = peers.query("gone", "h1")
    assert not pending.called
    peers.reply("h1")
    assert peers.replied() == ["h1"]


def test_an_empty_query_is_not_counted():
    peers = Peers("h1")
    assert peers.query().called
    assert peers.queries.counts["queries"] == 0


def test_a_reply_to_an_earlier_query_is_ignored():
    # The reply to a query that timed out arrives during the next one, and is
    # outdated.
    peers = Peers("h1")
    peers.query("h1")
    first = peers.numbers["h1"]
    peers.reactor.advance(1.0)
    pending = peers.query("h1")
    peers.reply("h1", number=first)
    assert not pending.called
    peers.reply("h1")
    assert pending.called


def test_a_cancelled_query_is_dropped():
    peers = Peers("h1")
    pending = peers.query("h1")
    pending.addErrback(lambda failure: failure.trap(defer.CancelledError))
    pending.cancel()
    peers.reply("h1")
    peers.reactor.advance(1.0)
    assert peers.queries.counts["late_replies"] == 0
