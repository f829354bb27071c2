"""Tests of what daemons tell each other."""

import collections

import fakes
import pytest

from bulrushgrade import directory
from bulrushgrade import enginecache
from bulrushgrade import peerloads
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import keys
from bulrushgrade_daemon import loadgossip
from bulrushgrade_daemon import peerlink
from bulrushgrade_daemon import pendingchanges
from bulrushgrade_daemon import topicreader


class Net:
    """Carries datagrams between hosts, or loses them."""

    def __init__(self):
        self.links = {}
        self.zones = {}
        self.cut = False
        self.lost = set()
        self.carried = collections.Counter()
        self.sent_bytes = collections.Counter()

    def carry(self, port, data, address):
        self.carried[port] += 1
        self.sent_bytes[port] += len(data)
        to = address[1]
        if self.cut or {port, to} & self.lost or to not in self.links:
            return
        self.links[to].datagramReceived(data, ("127.0.0.1", port))


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

    def __init__(self, *, net, name, port, timers, zone):
        self.net, self.port, self.zone = net, port, zone
        self.loads = peerloads.PeerLoads()
        self.own = {}
        self.able = True
        self.changes = []
        self.others = []
        self.lines = fakes.Lines()
        self.link = peerlink.PeerLink(
            reactor=None,
            timers=timers,
            host_name=name,
            zone=zone,
            listen=keys.Address(host="127.0.0.1", port=port),
            membership=None,
            take=lambda message: self.gossip.receive(message),
            log=self.lines.make(),
            on_broken=None,
        )
        self.make_gossip(f"{name}/1", timers)
        self.link.transport = Transport(net=net, port=port)
        net.links[port] = self.link
        net.zones[port] = zone

    def make_gossip(self, own_name, timers):
        self.gossip = loadgossip.LoadGossip(
            timers=timers,
            own_name=own_name,
            link=self.link,
            loads=self.loads,
            read_own=lambda: self.own,
            may_order=lambda: self.able,
            take_changes=lambda e, c: self.changes.append((e, c)),
            take_other=self.others.append,
            log=self.lines.make(),
        )
        self.gossip.schedule()


def make(count=3, zones=1):
    reactor, timers, _ = fakes.make_timers()
    net = Net()
    hosts = [
        Host(net=net, name=f"h{n}", port=n, timers=timers, zone=f"z{n % zones}")
        for n in range(1, count + 1)
    ]
    records = tuple(
        topicreader.KeyedRecord(
            key=f"h{host.port}",
            value=b'{"address": "127.0.0.1:%d", "zone": "%s"}'
            % (host.port, host.zone.encode()),
        )
        for host in hosts
    )
    for host in hosts:
        host.link.take_records(records)
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
    count = 2 * pendingchanges.MOST_CHANGES + 5
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
    assert two.changes == [("e1", (change,))] * pendingchanges.ADVERTISED_TIMES


def test_foreign_datagrams_and_records_are_counted():
    _, _, _, (one, _, _) = make()
    one.link.datagramReceived(b"\xff\x00", ("127.0.0.1", 9))
    odd = topicreader.KeyedRecord(key="h9", value=b"{}")
    one.link.take_records((odd,))
    assert one.link.counts["unreadable"] == 2
    assert one.link.known_hosts == 3


def test_host_that_left_is_told_nothing():
    _, _, _, (one, _, _) = make()
    gone = topicreader.KeyedRecord(key="h2", value=None)
    one.link.take_records((gone,))
    assert one.link.known_hosts == 2


def test_a_lost_message_does_not_make_a_peer_gone():
    # With 200 hosts each tells a peer every two seconds. One datagram is
    # lost; others took the sender for gone and asked someone else for the
    # books that it keeps.
    reactor, _, net, hosts = make(count=200)
    reactor.pump([0.1] * 25)
    one, two = hosts[0].gossip, hosts[1].gossip
    assert "h2/1" in one.heard()
    assert one.fleet.find_owners("e") == two.fleet.find_owners("e")
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
    one.link.broadcast(news)
    assert two.others == [news]
    one.link.transport = None
    one.link.broadcast(news)
    assert not one.link.send("h2/1", news)
    assert two.others == [news]


def test_a_restarted_host_is_there_once():
    # Its old name would be asked for the books that it kept, for seconds.
    reactor, timers, _, (one, two, _) = make()
    reactor.pump([0.1] * 3)
    assert one.gossip.heard() == ["h2/1", "h3/1"]
    two.gossip._tick.cancel()
    two.make_gossip("h2/2", timers)
    reactor.pump([0.1] * 2)
    assert one.gossip.heard() == ["h2/2", "h3/1"]


@pytest.mark.parametrize(("count", "zones"), [(40, 1), (120, 4), (300, 6)])
def test_messages_are_bounded_at_any_size(count, zones):
    """Each host told every other one; the larger the fleet, the later."""
    reactor, _, net, hosts = make(count=count, zones=zones)
    reactor.pump([0.1] * 30)
    net.carried.clear()
    seconds = 5
    reactor.pump([0.1] * 10 * seconds)
    most = max(net.carried.values())
    # Lists of who is there come beside the loads.
    assert most <= 1.2 * loadgossip.MESSAGES_PER_S * seconds
    assert sum(net.carried.values()) <= 30 * count * seconds


def test_long_sums_do_not_fill_a_link():
    """Thousands of engines are busy, and a sum of them takes many kilobytes.

    Sent as often as a short one it left no room on the link for answers.
    """
    reactor, _, net, hosts = make(count=60, zones=3)
    for host in hosts:
        host.own = {f"i-{host.port}-{n:08x}": SHARE for n in range(20)}
    reactor.pump([0.1] * 30)
    net.sent_bytes.clear()
    seconds = 5
    reactor.pump([0.1] * 10 * seconds)
    most = max(net.sent_bytes.values())
    assert most <= 1.2 * loadgossip.MOST_BYTES_PER_S * seconds


@pytest.mark.parametrize(("count", "zones"), [(9, 4), (63, 3), (195, 6)])
def test_view_of_an_engine_is_as_fresh_at_any_size(count, zones):
    """Hundreds of hosts send to the same engines in one burst.

    With a message to each peer in turn a view was seconds old or missing, and
    all of them sent to the engine that had been idle before.
    """
    reactor, timers, _, hosts = make(count=count, zones=zones)
    reactor.pump([0.1] * 30)
    for host in hosts:
        host.own = {"e1": SHARE}
    reactor.pump([0.05] * 20)
    for host in hosts:
        others = host.loads.at("e1", timers.now)
        assert others.streams == (count - 1) * SHARE.streams
        assert others.tokens == (count - 1) * SHARE.tokens
        assert others.wait_s(0) == pytest.approx((count - 1) * 0.25)


def test_every_host_knows_who_is_there():
    reactor, _, _, hosts = make(count=120, zones=4)
    reactor.pump([0.1] * 30)
    names = {f"h{n}/1" for n in range(1, 121)}
    for host in hosts:
        assert set(host.gossip.heard()) | {host.gossip._own_name} == names
    owners = {tuple(host.gossip.fleet.find_owners("e1")) for host in hosts}
    assert len(owners) == 1


def aggregators(hosts):
    return [h for h in hosts if h.gossip.dump()["members"]]


@pytest.mark.parametrize("zones", [1, 3])
def test_a_host_that_adds_up_is_killed(zones):
    """The host that adds up for its zone dies in a burst.

    The others hear no sum any more. What they had heard before gets old, and
    until another one adds up each would see its own requests only.
    """
    reactor, timers, net, hosts = make(count=60, zones=zones)
    for host in hosts:
        host.own = {"e1": SHARE}
    reactor.pump([0.1] * 30)
    dead = aggregators(hosts)[0]
    net.lost.add(dead.port)
    left = [host for host in hosts if host is not dead]
    reactor.pump([0.1] * 40)
    expected = (len(left) - 1) * SHARE.streams
    for host in left:
        assert host.loads.at("e1", timers.now).streams == expected
    reactor.pump([0.1] * 80)
    for host in left:
        assert f"h{dead.port}/1" not in host.gossip.heard()
        assert host.loads.at("e1", timers.now).streams == expected


def test_two_that_add_up_one_after_the_other_are_killed():
    """A rack is lost with the host that adds up for a zone and the next one.

    The others turned to the second, which never replied to them, and left the
    first out of those that are there once more, but not the second.
    """
    reactor, _, net, hosts = make(count=60, zones=3)
    reactor.pump([0.1] * 30)
    zone = [host for host in hosts if host.zone == "z0"]
    ranked = zone[0].gossip.fleet.rank_aggregators("z0")
    dead = {int(name.removeprefix("h")) for name in ranked[:2]}
    net.lost |= dead
    reactor.pump([0.1] * 24)
    for host in zone:
        if host.port not in dead:
            gone = {f"h{port}/1" for port in dead}
            assert not gone & set(host.gossip.heard())


def test_a_host_that_adds_up_comes_back():
    reactor, timers, net, hosts = make(count=60, zones=3)
    for host in hosts:
        host.own = {"e1": SHARE}
    reactor.pump([0.1] * 30)
    dead = aggregators(hosts)[0]
    net.lost.add(dead.port)
    reactor.pump([0.1] * 60)
    net.lost.clear()
    reactor.pump([0.1] * 100)
    assert len(aggregators(hosts)) == 3
    for host in hosts:
        streams = host.loads.at("e1", timers.now).streams
        assert streams == 59 * SHARE.streams


def test_a_zone_that_is_cut_off_goes_by_itself():
    reactor, timers, net, hosts = make(count=60, zones=3)
    for host in hosts:
        host.own = {"e1": SHARE}
    reactor.pump([0.1] * 30)
    cut = {host.port for host in hosts if host.zone == "z0"}
    net.lost |= cut
    reactor.pump([0.1] * 120)
    for host in hosts:
        if host.port not in cut:
            streams = host.loads.at("e1", timers.now).streams
            assert streams == 39 * SHARE.streams


def test_changes_of_caches_reach_all_zones():
    reactor, _, _, hosts = make(count=60, zones=3)
    reactor.pump([0.1] * 30)
    change = enginecache.CacheChange(part="a", tokens=5000)
    hosts[0].gossip.advertise_changes("e1", (change,))
    reactor.pump([0.1] * 20)
    for host in hosts[1:]:
        assert host.changes[0] == ("e1", (change,))
        assert len(host.changes) <= 4


def test_who_follows_an_engine_is_not_told_of_it():
    """What a host saw of an engine comes back to it in the sum of all.

    It is older by then than what the host has seen since.
    """
    reactor, _, _, hosts = make(count=60, zones=3)
    reactor.pump([0.1] * 30)
    change = enginecache.CacheChange(part="a", tokens=5000)
    (host,) = [h for h in hosts if h.gossip.pick_followed(["e1"])]
    host.gossip.advertise_changes("e1", (change,))
    reactor.pump([0.1] * 20)
    assert host.changes == []


def test_a_restarted_host_is_counted_once():
    reactor, timers, _, hosts = make(count=60, zones=3)
    for host in hosts:
        host.own = {"e1": SHARE}
    reactor.pump([0.1] * 30)
    member = next(h for h in hosts if not h.gossip.dump()["members"])
    member.gossip._tick.cancel()
    member.make_gossip(f"h{member.port}/2", timers)
    reactor.pump([0.1] * 20)
    for host in hosts:
        if host is not member:
            streams = host.loads.at("e1", timers.now).streams
            assert streams == 59 * SHARE.streams
            assert f"h{member.port}/1" not in host.gossip.heard()


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
