"""Tests of what peers have at engines."""

from bulrushgrade import peerloads


def share(queued_s, streams=0, tokens=0):
    return peerloads.EngineShare(
        queued_s={0: queued_s}, streams=streams, tokens=tokens
    )


def test_shares_add_up_and_replace():
    found = peerloads.PeerLoads()
    found.take_group("a", 1, {"e1": share(0.5, 2, 900)}, 0.0)
    found.take_group("b", 1, {"e1": share(0.25, 1, 50), "e2": share(1.0)}, 0.0)
    assert found.at("e1", 0.1) == share(0.75, 3, 950)
    found.take_group("a", 2, {}, 0.2)
    assert found.at("e1", 0.2) == share(0.25, 1, 50)
    assert found.at("e3", 0.2) == peerloads.NOTHING


def test_message_that_was_overtaken_is_ignored():
    found = peerloads.PeerLoads()
    found.take_group("a", 2, {"e1": share(0.5)}, 0.0)
    found.take_group("a", 1, {"e1": share(9.0)}, 0.1)
    assert found.at("e1", 0.1).wait_s(0) == 0.5


def test_silent_peer_holds_nothing():
    """A daemon is killed with work that its peers know of.

    Its endpoints would look busy for ever to those that are left.
    """
    found = peerloads.PeerLoads()
    found.take_group("a", 1, {"e1": share(0.5)}, 0.0)
    found.take_member("b", 1, {"e1": share(0.5)}, 0.0)
    assert found.at("e1", 0.1) == share(1.0)
    assert found.at("e1", found.stale_s) == peerloads.NOTHING
    assert found.member_numbers(found.stale_s) == {}


def test_peer_that_is_known_to_be_gone_holds_nothing():
    found = peerloads.PeerLoads()
    found.take_group("a", 1, {"e1": share(0.5)}, 0.0)
    found.drop("a")
    found.drop("b")
    assert found.at("e1", 0.1) == peerloads.NOTHING


def test_own_share_is_not_that_of_others():
    """What this daemon has is in the sum of all that it is told.

    Counted once more, an engine would look busy with its own request.
    """
    found = peerloads.PeerLoads()
    found.note_own(7, {"e1": share(0.5, 1, 100)})
    found.note_own(8, {"e1": share(9.0, 9, 900)})
    found.take_fleet(7, 1, {"e1": share(2.0, 4, 500)}, 0.0)
    assert found.at("e1", 0.1) == share(1.5, 3, 400)
    assert found.at("e2", 0.1) == peerloads.NOTHING
    assert found.at("e1", found.stale_s) == peerloads.NOTHING


def test_a_daemon_is_in_one_sum():
    """It told everybody itself before another one added up for it."""
    found = peerloads.PeerLoads()
    found.take_group("a", 1, {"e1": share(0.5)}, 0.0)
    found.take_member("a", 2, {"e1": share(0.5)}, 0.1)
    assert found.at("e1", 0.2) == share(0.5)
    found.take_group("a", 3, {"e1": share(0.5)}, 0.2)
    assert found.at("e1", 0.3) == share(0.5)


def test_less_urgent_work_keeps_nobody_waiting():
    """Many long prompts wait, and short ones go first.

    By all that waits, a short prompt would be refused that is read at once.
    """
    found = peerloads.PeerLoads()
    for name in ("a", "b"):
        own = peerloads.EngineShare(queued_s={0: 0.1, 2: 1.0})
        found.take_group(name, 1, {"e1": own}, 0.0)
    assert found.at("e1", 0.1).wait_s(0) == 0.2
    assert found.at("e1", 0.1).wait_s(2) == 2.2
