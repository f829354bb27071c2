"""Tests of what peers have at engines."""

from bulrushgrade import peerloads


def share(queued_s, streams=0, tokens=0):
    return peerloads.EngineShare(
        queued_s={0: queued_s}, streams=streams, tokens=tokens
    )


def test_shares_add_up_and_replace():
    found = peerloads.PeerLoads()
    found.update("a", 1, {"e1": share(0.5, 2, 900)}, 0.0)
    found.update("b", 1, {"e1": share(0.25, 1, 50), "e2": share(1.0)}, 0.0)
    assert found.at("e1", 0.1) == share(0.75, 3, 950)
    found.update("a", 2, {}, 0.2)
    assert found.at("e1", 0.2) == share(0.25, 1, 50)
    assert found.at("e3", 0.2) == peerloads.NOTHING


def test_message_that_was_overtaken_is_ignored():
    found = peerloads.PeerLoads()
    found.update("a", 2, {"e1": share(0.5)}, 0.0)
    found.update("a", 1, {"e1": share(9.0)}, 0.1)
    assert found.at("e1", 0.1).wait_s(0) == 0.5


def test_silent_peer_holds_nothing():
    """A daemon is killed with work that its peers know of.

    Its endpoints would look busy for ever to those that are left.
    """
    found = peerloads.PeerLoads()
    found.update("a", 1, {"e1": share(0.5)}, 0.0)
    assert found.heard(1.0, silent_s=1.5) == ["a"]
    assert found.heard(2.0, silent_s=1.5) == []
    assert found.at("e1", peerloads.STALE_S) == peerloads.NOTHING
    found.forget(1.5, silent_s=1.5)
    assert found.heard(0.0, silent_s=1.5) == []


def test_peer_that_is_known_to_be_gone_holds_nothing():
    found = peerloads.PeerLoads()
    found.update("a", 1, {"e1": share(0.5)}, 0.0)
    found.drop("a")
    found.drop("b")
    assert found.at("e1", 0.1) == peerloads.NOTHING
    assert found.heard(0.1, silent_s=1.5) == []


def test_less_urgent_work_keeps_nobody_waiting():
    """Many long prompts wait, and short ones go first.

    By all that waits, a short prompt would be refused that is read at once.
    """
    found = peerloads.PeerLoads()
    for name in ("a", "b"):
        own = peerloads.EngineShare(queued_s={0: 0.1, 2: 1.0})
        found.update(name, 1, {"e1": own}, 0.0)
    assert found.at("e1", 0.1).wait_s(0) == 0.2
    assert found.at("e1", 0.1).wait_s(2) == 2.2
