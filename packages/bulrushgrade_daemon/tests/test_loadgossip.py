"""Tests of what daemons tell each other."""

import fakes

from bulrushgrade import directory
from bulrushgrade import enginecache
from bulrushgrade import peerloads
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import keys
from bulrushgrade_daemon import loadgossip
from bulrushgrade_daemon import topicreader


class Net:
    """Carries datagrams between gossips, or loses them."""

    def __init__(self):
        self.gossips = {}
        self.cut = False

    def carry(self, port, data, address):
        if not self.cut and address[1] in self.gossips:
            target = self.gossips[address[1]]
            target.datagramReceived(data, ("127.0.0.1", port))


class Transport:
    """What one gossip sends by."""

    def __init__(self, *, net, port):
        self._net = net
        self._port = port

    def write(self, data, address):
        self._net.carry(self._port, data, address)


SHARE = peerloads.EngineShare(
    queued_s={0: 0.25, 2: 0.5}, streams=3, tokens=9_000
)


class Host:
    """One daemon's gossip."""

    def __init__(self, *, net, name, port, timers):
        self.loads = peerloads.PeerLoads()
        self.own = {}
        self.able = True
        self.changes = []
        self.others = []
        self.lines = fakes.Lines()
        self.gossip = loadgossip.LoadGossip(
            reactor=None,
            timers=timers,
            host_name=name,
            own_name=f"{name}/1",
            zone="z",
            listen=keys.Address(host="127.0.0.1", port=port),
            membership=None,
            loads=self.loads,
            read_own=lambda: self.own,
            may_order=lambda: self.able,
            take_changes=lambda e, c: self.changes.append((e, c)),
            take_other=self.others.append,
            log=self.lines.make(),
            on_broken=None,
        )
        self.gossip.transport = Transport(net=net, port=port)
        net.gossips[port] = self.gossip
        self.gossip._schedule()


def make(count=3):
    reactor, timers, _ = fakes.make_timers()
    net = Net()
    hosts = [
        Host(net=net, name=f"h{n}", port=n, timers=timers)
        for n in range(1, count + 1)
    ]
    records = tuple(
        topicreader.KeyedRecord(
            key=f"h{n}", value=b'{"address": "127.0.0.1:%d"}' % n
        )
        for n in range(1, count + 1)
    )
    for host in hosts:
        host.gossip.take_records(records)
    return reactor, timers, net, hosts


def test_queues_of_others_are_known():
    reactor, timers, _, (one, two, _) = make()
    one.own = {"e1": SHARE}
    reactor.pump([0.1] * 3)
    assert two.loads.at("e1", timers.now) == SHARE
    assert one.loads.at("e1", timers.now) == peerloads.NOTHING


def test_cut_off_peer_fades():
    reactor, timers, net, (one, two, _) = make()
    one.own = {"e1": SHARE}
    reactor.pump([0.1] * 3)
    net.cut = True
    reactor.pump([0.1] * 20)
    assert two.loads.at("e1", timers.now) == peerloads.NOTHING


def test_one_daemon_follows_each_engine():
    """Daemons come and go while engines stay.

    An engine that nobody follows is unknown to all; one that all follow is
    asked by hundreds of daemons twice a second.
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


def test_a_change_is_told_again_where_its_message_may_be_lost():
    # An engine has dropped a part, and the datagram that says so is lost. The
    # host that missed it had the part fetched from there for ever, and each
    # time it was read anew.
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


def test_changes_that_find_no_room_come_with_the_next_messages():
    # An engine drops more parts at once than a message holds. What was left
    # out was never told, and prompts were sent for parts that were gone.
    reactor, _, _, (one, two, _) = make()
    count = 2 * loadgossip.MOST_CHANGES + 5
    changes = tuple(
        enginecache.CacheChange(part=f"p{n}", tokens=0) for n in range(count)
    )
    one.gossip.advertise_changes("e1", changes)
    reactor.pump([0.1] * 3)
    told = {change.part for _, some in two.changes for change in some}
    assert told == {change.part for change in changes}


def test_the_newest_change_of_a_part_is_told_last():
    reactor, _, _, (one, two, _) = make()
    for tokens in (5_000, 0):
        change = enginecache.CacheChange(part="p", tokens=tokens)
        one.gossip.advertise_changes("e1", (change,))
        reactor.advance(0.1)
    reactor.pump([0.1] * 5)
    told = [change.tokens for _, some in two.changes for change in some]
    assert told == [5_000, 0, 0]


def test_cache_changes_reach_the_others():
    reactor, _, _, (one, two, _) = make()
    change = enginecache.CacheChange(part="a", tokens=5000)
    one.gossip.advertise_changes("e1", (change,))
    reactor.pump([0.1] * 5)
    assert two.changes == [("e1", (change,))] * loadgossip.ADVERTISED_TIMES


def test_foreign_datagrams_and_records_are_counted():
    _, _, _, (one, _, _) = make()
    one.gossip.datagramReceived(b"\xff\x00", ("127.0.0.1", 9))
    odd = topicreader.KeyedRecord(key="h9", value=b"{}")
    one.gossip.take_records((odd,))
    assert one.gossip.counts["unreadable"] == 2
    assert one.gossip.known_hosts == 3


def test_host_that_left_is_told_nothing():
    _, _, _, (one, _, _) = make()
    gone = topicreader.KeyedRecord(key="h2", value=None)
    one.gossip.take_records((gone,))
    assert one.gossip.known_hosts == 2


def test_a_lost_message_does_not_make_a_peer_gone():
    # With 200 hosts each tells a peer every two seconds. One datagram is
    # lost; others took the sender for gone and asked someone else for the
    # books that it keeps.
    reactor, _, net, hosts = make(count=200)
    reactor.pump([0.1] * 25)
    one, two = hosts[0].gossip, hosts[1].gossip
    assert "h2/1" in one.heard()
    assert one.find_owners("e") == two.find_owners("e")
    net.cut = True
    reactor.pump([0.1] * 20)
    net.cut = False
    assert "h2/1" in one.heard()
    net.cut = True
    reactor.pump([0.1] * 90)
    assert one.heard() == []


def test_a_broadcast_that_is_due_after_the_stop_goes_nowhere():
    # A host orders a change of role and is stopped in the tenth of a second
    # before it tells of it again. The socket is closed by then, and the stop
    # ended as a failure.
    _, _, _, (one, two, _) = make()
    news = gatewaymessages.RoleChangeNotice(
        engine="e", stage=directory.Stage.PREFILL, change_ms=3000
    )
    one.gossip.broadcast(news)
    assert two.others == [news]
    one.gossip.transport = None
    one.gossip.broadcast(news)
    assert not one.gossip.send("h2/1", news)
    assert two.others == [news]


def test_a_restarted_host_is_there_once():
    # Its old name would be asked for the books that it kept, for seconds.
    reactor, _, _, (one, two, _) = make()
    reactor.pump([0.1] * 3)
    assert one.gossip.heard() == ["h2/1", "h3/1"]
    two.gossip._own_name = "h2/2"
    reactor.pump([0.1] * 2)
    assert one.gossip.heard() == ["h2/2", "h3/1"]


def test_many_peers_are_told_less_often():
    reactor, _, _, hosts = make(count=40)
    reactor.pump([0.1] * 40)
    assert hosts[0].gossip.counts["rounds"] <= 11


def test_host_that_could_not_order_gives_the_lead_up():
    """The first host by name is cut off from the store, not from its peers.

    It was heard and so went on being the one to order, and could not append:
    nobody changed an engine's role until the cut had healed.
    """
    reactor, _, _, (one, two, three) = make()
    reactor.pump([0.1] * 3)

    def leaders():
        return [h for h in (one, two, three) if h.gossip.leads()]

    assert leaders() == [one]
    one.able = False
    reactor.pump([0.1] * 3)
    assert leaders() == [two]
    one.able = True
    reactor.pump([0.1] * 3)
    assert leaders() == [one]


def test_host_that_hears_nobody_leads_if_it_can():
    reactor, _, net, (one, _, _) = make()
    net.cut = True
    reactor.pump([0.1] * 20)
    assert one.gossip.leads()
    one.able = False
    assert not one.gossip.leads()
