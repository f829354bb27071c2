"""Tests of questions to peers."""

import fakes
from twisted.internet import defer

from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import peerquestions


class Peers:
    """Some peers that reply when they are told to."""

    def __init__(self, *known):
        self.reactor, self.timers, _ = fakes.make_timers()
        self.known = known
        self.numbers = {}
        self.questions = peerquestions.PeerQuestions(
            timers=self.timers, send=self.send
        )

    def send(self, peer, message):
        self.numbers[peer] = message.number
        return peer in self.known

    def ask(self, *peers):
        def question(number):
            return gatewaymessages.Question(
                peer="me", number=number, engines=[]
            )

        self.replies = []
        asked = defer.ensureDeferred(
            self.questions.ask(dict.fromkeys(peers, question))
        )
        asked.addCallback(self.replies.extend)
        return asked

    def reply(self, peer, *, number=None):
        self.questions.take(
            gatewaymessages.Reply(
                peer=peer, number=number or self.numbers[peer], waits_ms={}
            )
        )

    def replied(self):
        return [reply.peer for reply in self.replies]


def test_all_replies_end_the_wait():
    peers = Peers("h1", "h2")
    asked = peers.ask("h1", "h2")
    peers.reply("h2")
    assert not asked.called
    peers.reply("h1")
    assert asked.called
    assert peers.replied() == ["h2", "h1"]
    peers.reactor.advance(1.0)
    assert peers.questions.counts == {"questions": 1, "late_replies": 0}


def test_a_peer_that_does_not_reply_holds_nobody_up():
    # A host is cut off or paused. Each long prompt whose books it keeps would
    # wait for its reply; it waits for the limit, and goes on with the others'.
    peers = Peers("h1", "h2")
    asked = peers.ask("h1", "h2")
    peers.reply("h1")
    peers.reactor.advance(peerquestions.REPLY_LIMIT_S / 2)
    assert not asked.called
    peers.reactor.advance(peerquestions.REPLY_LIMIT_S)
    assert peers.replied() == ["h1"]
    assert peers.questions.counts == {"questions": 1, "late_replies": 1}


def test_peers_without_an_address_are_not_waited_for():
    peers = Peers("h1")
    assert peers.ask("gone").called
    asked = peers.ask("gone", "h1")
    assert not asked.called
    peers.reply("h1")
    assert peers.replied() == ["h1"]


def test_nobody_to_ask_is_no_question():
    peers = Peers("h1")
    assert peers.ask().called
    assert peers.questions.counts["questions"] == 0


def test_a_reply_to_an_earlier_question_says_nothing():
    # The reply to a question that was given up arrives while the next one is
    # open. What it says is old.
    peers = Peers("h1")
    peers.ask("h1")
    first = peers.numbers["h1"]
    peers.reactor.advance(1.0)
    asked = peers.ask("h1")
    peers.reply("h1", number=first)
    assert not asked.called
    peers.reply("h1")
    assert asked.called


def test_a_caller_that_leaves_takes_its_question_along():
    peers = Peers("h1")
    asked = peers.ask("h1")
    asked.addErrback(lambda failure: failure.trap(defer.CancelledError))
    asked.cancel()
    peers.reply("h1")
    peers.reactor.advance(1.0)
    assert peers.questions.counts["late_replies"] == 0
