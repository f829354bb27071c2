"""Tests of what daemons tell each other."""

import fakes

from bulrushgrade import engineload
from bulrushgrade import peerqueues
from bulrushgrade_daemon import follower
from bulrushgrade_daemon import keys
from bulrushgrade_daemon import loadgossip


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


class Host:
    """One daemon's gossip."""

    def __init__(self, *, net, name, port, timers):
        self.queues = peerqueues.PeerQueues()
        self.own = {}
        self.changes = []
        self.lines = fakes.Lines()
        self.gossip = loadgossip.LoadGossip(
            reactor=None,
            timers=timers,
            host_name=name,
            own_name=f"{name}/1",
            listen=keys.Address(host="127.0.0.1", port=port),
            membership=None,
            queues=self.queues,
            read_own=lambda: self.own,
            take_changes=lambda e, c: self.changes.append((e, c)),
            take_other=None,
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
        follower.KeyedRecord(
            key=f"h{n}", value=b'{"address": "127.0.0.1:%d"}' % n
        )
        for n in range(1, count + 1)
    )
    for host in hosts:
        host.gossip.take_records(records)
    return reactor, timers, net, hosts


def test_queues_of_others_are_known():
    reactor, timers, _, (one, two, _) = make()
    one.own = {"e1": 0.5}
    reactor.pump([0.1] * 3)
    assert two.queues.queued_s("e1", timers.now) == 0.5
    assert one.queues.queued_s("e1", timers.now) == 0.0


def test_cut_off_peer_fades():
    reactor, timers, net, (one, two, _) = make()
    one.own = {"e1": 0.5}
    reactor.pump([0.1] * 3)
    net.cut = True
    reactor.pump([0.1] * 20)
    assert two.queues.queued_s("e1", timers.now) == 0.0


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


def test_cache_changes_reach_the_others_once():
    reactor, _, _, (one, two, _) = make()
    change = engineload.CacheChange(part="a", tokens=5000)
    one.gossip.tell_changes("e1", (change,))
    reactor.pump([0.1] * 5)
    assert two.changes == [("e1", (change,))]


def test_foreign_datagrams_and_records_are_counted():
    _, _, _, (one, _, _) = make()
    one.gossip.datagramReceived(b"\xff\x00", ("127.0.0.1", 9))
    odd = follower.KeyedRecord(key="h9", value=b"{}")
    one.gossip.take_records((odd,))
    assert one.gossip.counts["unreadable"] == 2
    assert one.gossip.known_hosts == 3


def test_host_that_left_is_told_nothing():
    _, _, _, (one, _, _) = make()
    gone = follower.KeyedRecord(key="h2", value=None)
    one.gossip.take_records((gone,))
    assert one.gossip.known_hosts == 2


def test_many_peers_are_told_less_often():
    reactor, _, _, hosts = make(count=40)
    reactor.pump([0.1] * 40)
    assert hosts[0].gossip.counts["rounds"] <= 11
