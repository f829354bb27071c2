"""Tests of the subsets of endpoints."""

import hypothesis
from hypothesis import strategies

from bulrushgrade import membership
from bulrushgrade import subset

REGION = "tr-marmara"
ZONES = ("esenyurt", "gebze-a", "gebze-b", "tuzla")


def make_host(address, kind, zone, service=""):
    return membership.Host(
        address=address,
        kind=kind,
        service=service,
        zone=zone,
        region=REGION,
        state=membership.ListedState.LIVE,
    )


def make_fleet(daemons, engines, zones=ZONES):
    """Returns daemons d0.. and engines e0.. spread evenly over the zones."""
    entry, engine = membership.Kind.ENTRY, membership.Kind.ENGINE
    hosts = [
        make_host(f"d{i}", entry, zones[i % len(zones)]) for i in range(daemons)
    ]
    hosts += [
        make_host(f"e{i}", engine, zones[i % len(zones)], "pack-llm")
        for i in range(engines)
    ]
    return hosts


def make_subsets(hosts):
    subsets = subset.EndpointSubsets()
    subsets.update(hosts)
    return subsets


def collect(subsets, daemons):
    return {f"d{i}": subsets.get_endpoints(f"d{i}") for i in range(daemons)}


def test_small_fleet_is_a_full_mesh():
    subsets = make_subsets(make_fleet(9, 9))
    for endpoints in collect(subsets, 9).values():
        assert len(endpoints) == 9
    assert len(subsets.find_peers("d0")) == 8
    assert subsets.get_endpoints("not listed") == frozenset()


def test_large_fleet_prefers_endpoints_of_the_own_zone():
    hosts = make_fleet(40, 160)
    zone_of = {host.address: host.zone for host in hosts}
    subsets = make_subsets(hosts)
    for daemon, endpoints in collect(subsets, 40).items():
        zones = [zone_of[endpoint] for endpoint in endpoints]
        assert zones.count(zone_of[daemon]) == subset.OWN_ZONE_ENDPOINTS
        assert len(set(zones)) == 2
        assert (
            len(zones)
            == subset.OWN_ZONE_ENDPOINTS + subset.OTHER_ZONE_ENDPOINTS
        )


def test_peers_are_those_who_share_an_endpoint():
    subsets = make_subsets(make_fleet(40, 160))
    endpoints_of = collect(subsets, 40)
    peers = subsets.find_peers("d0")
    assert peers == {
        daemon: endpoints_of["d0"] & endpoints
        for daemon, endpoints in endpoints_of.items()
        if daemon != "d0" and endpoints_of["d0"] & endpoints
    }


def test_zones_form_a_ring():
    zones = [(REGION, zone) for zone in ZONES]
    following = [subset.order_zones(zone, zones)[1] for zone in zones]
    assert sorted(following) == sorted(zones)
    far = ("coastal-plain", "metter-hall")
    assert subset.order_zones(zones[0], [*zones, far])[-1] == far


@hypothesis.given(strategies.integers(0, 159))
@hypothesis.settings(max_examples=25)
def test_loss_of_an_endpoint_changes_only_subsets_with_it(lost):
    hosts = make_fleet(24, 160)
    subsets = make_subsets(hosts)
    before = collect(subsets, 24)
    subsets.update([host for host in hosts if host.address != f"e{lost}"])
    after = collect(subsets, 24)
    for daemon, endpoints in before.items():
        gone = endpoints - after[daemon]
        assert gone == endpoints & {f"e{lost}"}
        assert len(after[daemon] - endpoints) == len(gone)
    subsets.update(hosts)
    assert collect(subsets, 24) == before


def test_lost_zone_leaves_every_daemon_its_full_subset():
    hosts = make_fleet(24, 160)
    left = [host for host in hosts if host.zone != "tuzla"]
    for host in left:
        if host.kind is membership.Kind.ENTRY:
            assert len(make_subsets(left).get_endpoints(host.address)) == 16


def test_candidates_come_from_two_zones():
    hosts = make_fleet(24, 0)
    zone_of = {host.address: host.zone for host in hosts}
    own = (REGION, "tuzla")
    chosen = subset.choose_candidates("pack-llm.tuzla", own, hosts)
    assert [zone_of[a] for a in chosen] == ["tuzla", "tuzla", "esenyurt"]
    without = [host for host in hosts if host.zone != "tuzla"]
    assert len(subset.choose_candidates("g", own, without)) == 3
    alone = hosts[:1]
    assert subset.choose_candidates("g", own, alone) == ("d0",)
    assert subset.choose_candidates("g", own, []) == ()
