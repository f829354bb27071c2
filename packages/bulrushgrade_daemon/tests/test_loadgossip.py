"""Tests of the exchange of loads between daemons."""

from gossipscene import SHARE
from gossipscene import make

from bulrushgrade import directory
from bulrushgrade import enginecache
from bulrushgrade import peerloads
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import pendingchanges
from bulrushgrade_daemon import topicreader


def test_queues_of_peers_are_known():
    reactor, timers, _, (one, two, _) = make()
    one.own = {"e1": SHARE}
    reactor.pump([0.1] * 3)
    assert two.loads.at("e1", timers.now) == SHARE
    assert one.loads.at("e1", timers.now) == peerloads.EMPTY_SHARE


def test_load_of_a_partitioned_peer_expires():
    reactor, timers, net, (one, two, _) = make()
    one.own = {"e1": SHARE}
    reactor.pump([0.1] * 3)
    net.cut = True
    reactor.pump([0.1] * 20)
    assert two.loads.at("e1", timers.now) == peerloads.EMPTY_SHARE


def test_one_daemon_follows_each_engine():
    """Guards against engines followed by no daemon or by all of them.

    Daemons come and go while engines stay. The cache of an engine without a
    follower is unknown to all; an engine that all daemons follow is queried
    by hundreds of them twice a second.
    """
    reactor, _, net, hosts = make()
    reactor.pump([0.1] * 3)
    for number in range(30):
        engine = f"e{number}"
        following = [h for h in hosts if h.gossip.pick_followed([engine])]
        assert len(following) == 1
    net.cut = True
    reactor.pump([0.1] * 20)
    assert all(host.gossip.pick_followed(["e1"]) for host in hosts)


def test_a_change_is_sent_again_in_case_its_message_was_lost():
    # The datagram that reports an evicted part is lost. Without a repeat the
    # host that missed it would fetch the part from that engine forever, and
    # it would be prefilled again each time.
    reactor, _, net, (one, two, _) = make()
    change = enginecache.CacheChange(part="p", tokens=0)
    one.gossip.advertise_changes("e1", (change,))
    net.cut = True
    reactor.advance(0.1)
    net.cut = False
    reactor.advance(0.1)
    assert two.changes == [("e1", (change,))]
    reactor.pump([0.1] * 5)
    assert two.changes == [("e1", (change,))]


def test_changes_beyond_the_limit_are_sent_in_the_next_messages():
    # An engine evicts more parts at once than a message holds. The rest was
    # never sent, and prompts were routed to parts that were gone.
    reactor, _, _, (one, two, _) = make()
    count = 2 * pendingchanges.MAX_CHANGES + 5
    changes = tuple(
        enginecache.CacheChange(part=f"p{n}", tokens=0) for n in range(count)
    )
    one.gossip.advertise_changes("e1", changes)
    reactor.pump([0.1] * 3)
    received = {change.part for _, some in two.changes for change in some}
    assert received == {change.part for change in changes}


def test_the_latest_change_of_a_part_is_sent_last():
    reactor, _, _, (one, two, _) = make()
    for tokens in (5_000, 0):
        change = enginecache.CacheChange(part="p", tokens=tokens)
        one.gossip.advertise_changes("e1", (change,))
        reactor.advance(0.1)
    reactor.pump([0.1] * 5)
    received = [change.tokens for _, some in two.changes for change in some]
    assert received == [5_000, 0, 0]


def test_cache_changes_reach_the_peers():
    reactor, _, _, (one, two, _) = make()
    change = enginecache.CacheChange(part="a", tokens=5000)
    one.gossip.advertise_changes("e1", (change,))
    reactor.pump([0.1] * 5)
    assert two.changes == [("e1", (change,))] * pendingchanges.SEND_COUNT


def test_foreign_datagrams_and_records_are_counted():
    _, _, _, (one, _, _) = make()
    one.link.datagramReceived(b"\xff\x00", ("127.0.0.1", 9))
    odd = topicreader.KeyedRecord(key="h9", value=b"{}")
    one.link.apply_records((odd,))
    assert one.link.counts["unreadable"] == 2
    assert one.link.host_count == 3


def test_removed_host_is_sent_nothing():
    _, _, _, (one, _, _) = make()
    gone = topicreader.KeyedRecord(key="h2", value=None)
    one.link.apply_records((gone,))
    assert one.link.host_count == 2


def test_a_lost_message_does_not_mark_a_peer_as_gone():
    # With 200 hosts, each sends to a peer every two seconds. After one lost
    # datagram the others took the sender for gone and queried another owner
    # of its queues.
    reactor, _, net, hosts = make(count=200)
    reactor.pump([0.1] * 25)
    one, two = hosts[0].gossip, hosts[1].gossip
    assert "h2/1" in one.present_peers()
    assert one.fleet.find_owners("e") == two.fleet.find_owners("e")
    net.cut = True
    reactor.pump([0.1] * 20)
    net.cut = False
    assert "h2/1" in one.present_peers()
    net.cut = True
    reactor.pump([0.1] * 90)
    assert one.present_peers() == []


def test_a_broadcast_repeat_after_the_stop_is_dropped():
    # A host orders a role change and is stopped in the tenth of a second
    # before the broadcast is repeated. The socket is closed by then, and the
    # stop was reported as a failure.
    _, _, _, (one, two, _) = make()
    news = gatewaymessages.RoleChangeNotice(
        engine="e", stage=directory.Stage.PREFILL, change_ms=3000
    )
    one.link.broadcast(news)
    assert two.others == [news]
    one.link.transport = None
    one.link.broadcast(news)
    assert not one.link.send("h2/1", news)
    assert two.others == [news]


def test_a_restarted_host_is_present_once():
    # Its old name would be queried as owner of queues for seconds.
    reactor, timers, _, (one, two, _) = make()
    reactor.pump([0.1] * 3)
    assert one.gossip.present_peers() == ["h2/1", "h3/1"]
    two.gossip._tick.cancel()
    two.make_gossip("h2/2", timers)
    reactor.pump([0.1] * 2)
    assert one.gossip.present_peers() == ["h2/2", "h3/1"]


def test_host_that_cannot_order_loses_leadership():
    """The first host by name can't reach the store but reaches its peers.

    It was present and so stayed the leader, but could not append orders: no
    engine changed its role until the store was reachable again.
    """
    reactor, _, _, (one, two, three) = make()
    reactor.pump([0.1] * 3)

    def leaders():
        return [h for h in (one, two, three) if h.gossip.is_leader()]

    assert leaders() == [one]
    one.able = False
    reactor.pump([0.1] * 3)
    assert leaders() == [two]
    one.able = True
    reactor.pump([0.1] * 3)
    assert leaders() == [one]


def test_isolated_host_leads_if_it_can_order():
    reactor, _, net, (one, _, _) = make()
    net.cut = True
    reactor.pump([0.1] * 20)
    assert one.gossip.is_leader()
    one.able = False
    assert not one.gossip.is_leader()


def test_host_that_is_not_heard_learns_of_it():
    """Guards against a host that takes peers for its own that have lost it."""
    reactor, _, net, (one, two, three) = make()
    reactor.pump([0.1] * 5)
    carry = net.carry

    def carry_unless_muted(port, data, address):
        if port != one.port:
            carry(port, data, address)

    net.carry = carry_unless_muted
    reactor.pump([0.1] * 25)
    assert len(one.gossip.fleet.present) == 3
    assert one.gossip.fleet.in_contact() == [one.gossip.fleet.present[0]]
    assert len(two.gossip.fleet.in_contact()) == 2
    net.carry = carry
    reactor.pump([0.1] * 5)
    for host in (one, two, three):
        assert len(host.gossip.fleet.in_contact()) == 3


def test_a_host_at_a_new_address_is_told_what_endpoints_state():
    """Guards against hosts that start and send to endpoints that leave.

    A host that starts serves callers once it has heard from a peer, which told
    it of drains and limits up to 20 rounds later.
    """
    reactor, _, _, (one, two, new) = make()
    gone = topicreader.KeyedRecord(key="h3", value=None)
    for host in (one, two):
        host.link.apply_records((gone,))
    one.signals.merge_drain(("e1", 0, 0), peer="h2/1")
    one.limits.merge(("e2", 0), (3.5, 0, False), peer="h2/1")
    reactor.pump([0.1] * 12)
    assert not new.signals.drains.ids
    value = b'{"address": "127.0.0.1:3", "zone": "z0"}'
    started = topicreader.KeyedRecord(key="h3", value=value)
    one.link.apply_records((started,))
    reactor.pump([0.1])
    assert new.signals.drains.ids == {"e1"}
    assert [endpoint for endpoint, _ in new.limits.items()] == [("e2", 0)]
