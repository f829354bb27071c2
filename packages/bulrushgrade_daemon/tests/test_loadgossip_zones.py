"""Tests of the exchange of loads in larger fleets with zones."""

from gossipscene import SHARE
from gossipscene import make
import pytest

from bulrushgrade import enginecache
from bulrushgrade_daemon import loadgossip


@pytest.mark.parametrize(("count", "zones"), [(40, 1), (120, 4), (300, 6)])
def test_messages_are_bounded_at_any_size(count, zones):
    """Guards against messages, and so delays, that grow with the fleet."""
    reactor, _, net, hosts = make(count=count, zones=zones)
    reactor.pump([0.1] * 30)
    net.carried.clear()
    seconds = 5
    reactor.pump([0.1] * 10 * seconds)
    most = max(net.carried.values())
    # Member lists come in addition to the loads.
    assert most <= 1.2 * loadgossip.MAX_MESSAGES_PER_S * seconds
    assert sum(net.carried.values()) <= 30 * count * seconds


def test_large_sums_stay_within_the_bandwidth_limit():
    """Thousands of engines are busy, and their sum takes many kilobytes.

    Sent as often as a short one, it left no bandwidth for answers.
    """
    reactor, _, net, hosts = make(count=60, zones=3)
    for host in hosts:
        host.own = {f"i-{host.port}-{n:08x}": SHARE for n in range(20)}
    reactor.pump([0.1] * 30)
    net.sent_bytes.clear()
    seconds = 5
    reactor.pump([0.1] * 10 * seconds)
    most = max(net.sent_bytes.values())
    assert most <= 1.2 * loadgossip.MAX_BYTES_PER_S * seconds


@pytest.mark.parametrize(("count", "zones"), [(9, 4), (63, 3), (195, 6)])
def test_view_of_an_engine_is_as_fresh_at_any_size(count, zones):
    """Guards against a burst in which all hosts choose the same idle engine.

    When each host sent to one peer after the other, a view was seconds old or
    missing, and hundreds of hosts chose the engine that had been idle.
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


def test_every_host_knows_all_present_daemons():
    reactor, _, _, hosts = make(count=120, zones=4)
    reactor.pump([0.1] * 30)
    names = {f"h{n}/1" for n in range(1, 121)}
    for host in hosts:
        assert (
            set(host.gossip.present_peers()) | {host.gossip._own_name} == names
        )
    owners = {tuple(host.gossip.fleet.find_owners("e1")) for host in hosts}
    assert len(owners) == 1


def aggregators(hosts):
    return [h for h in hosts if h.gossip.dump()["members"]]


@pytest.mark.parametrize("zones", [1, 3])
def test_an_aggregator_is_killed(zones):
    """The aggregator of a zone is killed during a burst.

    Its members receive no more sums. Until they have another aggregator, their
    last sums expire and each would only know its own requests.
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
        assert f"h{dead.port}/1" not in host.gossip.present_peers()
        assert host.loads.at("e1", timers.now).streams == expected


def test_the_two_first_aggregators_of_a_zone_are_killed():
    """A rack fails with a zone's aggregator and the next candidate.

    The members switched to the second host, which never replied. They removed
    the first host from the present ones again, but not the second.
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
            assert not gone & set(host.gossip.present_peers())


def test_an_aggregator_comes_back():
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


def test_other_zones_drop_the_load_of_a_partitioned_zone():
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


def test_the_follower_of_an_engine_ignores_its_own_changes():
    """A host's own cache changes come back to it with the sum of the fleet.

    By then they are older than what the host has observed since.
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
            assert f"h{member.port}/1" not in host.gossip.present_peers()
