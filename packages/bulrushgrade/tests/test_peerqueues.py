"""Tests of what peers have waiting."""

from bulrushgrade import peerqueues


def test_queues_add_up_and_replace():
    found = peerqueues.PeerQueues()
    found.update("a", 1, {"e1": 0.5}, 0.0)
    found.update("b", 1, {"e1": 0.25, "e2": 1.0}, 0.0)
    assert found.queued_s("e1", 0.1) == 0.75
    found.update("a", 2, {}, 0.2)
    assert found.queued_s("e1", 0.2) == 0.25


def test_message_that_was_overtaken_is_ignored():
    found = peerqueues.PeerQueues()
    found.update("a", 2, {"e1": 0.5}, 0.0)
    found.update("a", 1, {"e1": 9.0}, 0.1)
    assert found.queued_s("e1", 0.1) == 0.5


def test_silent_peer_holds_nothing():
    """A daemon is killed with work that its peers know of.

    Its endpoints would look busy for ever to those that are left.
    """
    found = peerqueues.PeerQueues()
    found.update("a", 1, {"e1": 0.5}, 0.0)
    assert found.heard(1.0, silent_s=1.5) == ["a"]
    assert found.heard(2.0, silent_s=1.5) == []
    assert found.queued_s("e1", peerqueues.STALE_S) == 0.0
    found.forget(1.5, silent_s=1.5)
    assert found.heard(0.0, silent_s=1.5) == []


def test_peer_that_is_known_to_be_gone_holds_nothing():
    found = peerqueues.PeerQueues()
    found.update("a", 1, {"e1": 0.5}, 0.0)
    found.drop("a")
    found.drop("b")
    assert found.queued_s("e1", 0.1) == 0.0
    assert found.heard(0.1, silent_s=1.5) == []
