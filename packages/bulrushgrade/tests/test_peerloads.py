"""Tests of the loads of peers at engines."""

from bulrushgrade import peerloads


def share(queued_s, streams=0, tokens=0):
    return peerloads.EngineShare(
        queued_s={0: queued_s}, streams=streams, tokens=tokens
    )


def test_shares_are_summed_and_replaced():
    found = peerloads.PeerLoads()
    found.update_group("a", 1, {"e1": share(0.5, 2, 900)}, 0.0)
    found.update_group(
        "b", 1, {"e1": share(0.25, 1, 50), "e2": share(1.0)}, 0.0
    )
    assert found.at("e1", 0.1) == share(0.75, 3, 950)
    found.update_group("a", 2, {}, 0.2)
    assert found.at("e1", 0.2) == share(0.25, 1, 50)
    assert found.at("e3", 0.2) == peerloads.EMPTY_SHARE


def test_out_of_order_message_is_ignored():
    found = peerloads.PeerLoads()
    found.update_group("a", 2, {"e1": share(0.5)}, 0.0)
    found.update_group("a", 1, {"e1": share(9.0)}, 0.1)
    assert found.at("e1", 0.1).wait_s(0) == 0.5


def test_silent_peer_counts_for_nothing():
    """A daemon is killed while its peers know of requests that it has sent.

    Otherwise the remaining daemons would consider the engines busy forever.
    """
    found = peerloads.PeerLoads()
    found.update_group("a", 1, {"e1": share(0.5)}, 0.0)
    found.update_member("b", 1, {"e1": share(0.5)}, 0.0)
    assert found.at("e1", 0.1) == share(1.0)
    assert found.at("e1", found.stale_s) == peerloads.EMPTY_SHARE
    assert found.member_numbers(found.stale_s) == {}


def test_dropped_peer_counts_for_nothing():
    found = peerloads.PeerLoads()
    found.update_group("a", 1, {"e1": share(0.5)}, 0.0)
    found.drop("a")
    found.drop("b")
    assert found.at("e1", 0.1) == peerloads.EMPTY_SHARE


def test_own_share_is_subtracted_from_the_fleet_sum():
    """The fleet sum that a daemon receives includes its own load.

    If it were counted twice, an engine would look busy with the daemon's own
    request.
    """
    found = peerloads.PeerLoads()
    found.record_own(7, {"e1": share(0.5, 1, 100)})
    found.record_own(8, {"e1": share(9.0, 9, 900)})
    found.update_fleet(7, 1, {"e1": share(2.0, 4, 500)}, 0.0)
    assert found.at("e1", 0.1) == share(1.5, 3, 400)
    assert found.at("e2", 0.1) == peerloads.EMPTY_SHARE
    assert found.at("e1", found.stale_s) == peerloads.EMPTY_SHARE


def test_daemon_is_counted_in_one_sum_only():
    """A daemon is known as a group of its own before it joins another group."""
    found = peerloads.PeerLoads()
    found.update_group("a", 1, {"e1": share(0.5)}, 0.0)
    found.update_member("a", 2, {"e1": share(0.5)}, 0.1)
    assert found.at("e1", 0.2) == share(0.5)
    found.update_group("a", 3, {"e1": share(0.5)}, 0.2)
    assert found.at("e1", 0.3) == share(0.5)


def test_wait_excludes_less_urgent_work():
    """Many long prompts are queued, and short prompts go before them.

    By the whole queue, a short prompt would be refused that can start at once.
    """
    found = peerloads.PeerLoads()
    for name in ("a", "b"):
        own = peerloads.EngineShare(queued_s={0: 0.1, 2: 1.0})
        found.update_group(name, 1, {"e1": own}, 0.0)
    assert found.at("e1", 0.1).wait_s(0) == 0.2
    assert found.at("e1", 0.1).wait_s(2) == 2.2
