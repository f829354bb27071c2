"""Tests of tracking a host's links to endpoints."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from bulrushgrade import endpointlinks

E1, E2, E3 = ("e1", 1), ("e2", 1), ("e3", 1)
DIRECT, RELAYED = endpointlinks.Path.DIRECT, endpointlinks.Path.RELAYED


@pytest.fixture
def links():
    return endpointlinks.EndpointLinks()


def lose(links, endpoint, now=0.0):
    links.observe_failed(endpoint, now)
    assert links.observe_relayed(endpoint, now)


def test_sound_links_are_used(links):
    assert links.path(E1, 0.0) is DIRECT
    links.observe_opened(E1, 0.0)
    assert links.path(E1, 0.0) is DIRECT
    assert not links.needs_probes


def test_failed_link_is_not_used_again_before_peers_were_asked(links):
    links.observe_failed(E1, 0.0)
    assert links.path(E1, 0.0) is RELAYED
    assert links.lost == []


def test_endpoint_that_peers_do_not_reach_is_not_relayed_for_a_time(links):
    """Guards against requests for an endpoint that is down, hop by hop."""
    links.observe_failed(E1, 0.0)
    links.observe_unreached(E1, 0.0)
    assert links.path(E1, 0.5) is DIRECT
    assert not links.may_be_relayed(E1, 0.5)
    assert links.path(E1, endpointlinks.UNREACHED_TTL_S) is RELAYED


def test_one_failed_link_says_nothing_of_the_others(links):
    links.observe_failed(E1, 0.0)
    assert not links.is_cut
    assert links.path(E2, 0.0) is DIRECT


def test_host_that_reaches_nothing_counts_as_cut_off(links):
    """Guards against a wait for every single endpoint behind a cut."""
    for endpoint in (E1, E2):
        links.observe_opened(endpoint, 0.0)
    for endpoint in (E1, E2):
        links.observe_failed(endpoint, 1.0)
    assert links.is_cut
    assert links.path(E3, 1.0) is RELAYED
    links.observe_opened(E3, 2.0)
    assert not links.is_cut
    assert links.path(E3, 2.0) is DIRECT


def test_failed_probes_of_lost_links_say_nothing_of_the_others(links):
    """Guards against a host that takes itself for cut off again and again."""
    links.observe_opened(E3, 0.0)
    for endpoint in (E1, E2):
        lose(links, endpoint)
        links.observe_opened(E3, 0.0)
    for endpoint in (E1, E2):
        links.observe_failed(endpoint, 1.0)
    assert not links.is_cut


def test_lost_link_is_used_again_after_probes_have_succeeded_for_a_time(links):
    lose(links, E1)
    assert not links.observe_opened(E1, 1.0)
    assert links.path(E1, 1.0) is RELAYED
    assert links.observe_opened(E1, 1.0 + endpointlinks.RESTORE_S)
    assert links.path(E1, 2.0) is DIRECT


def test_link_that_is_lost_again_is_probed_for_longer(links):
    """Guards against requests lost with each return of a flapping link."""
    now, waited_s = 0.0, []
    for _ in range(7):
        lose(links, E1, now)
        links.observe_opened(E1, now)
        began = now
        while not links.observe_opened(E1, now):
            now += endpointlinks.PROBE_PERIOD_S
        waited_s.append(now - began)
    assert waited_s[0] == endpointlinks.RESTORE_S
    assert waited_s == sorted(waited_s)
    assert waited_s[-1] == endpointlinks.MAX_RESTORE_S


def test_probes_of_an_endpoint_that_is_down_become_rare(links):
    links.observe_opened(E3, 0.0)
    links.observe_failed(E1, 0.0)
    links.observe_opened(E3, 0.0)
    probed_at, now = [], 0.0
    while now < 20.0:
        if links.pick_probes([E1, E3], now):
            links.observe_failed(E1, now)
            links.observe_opened(E3, now)
            probed_at.append(now)
        now += 0.125
    assert 8 <= len(probed_at) <= 14
    assert probed_at[-1] - probed_at[-2] == endpointlinks.MAX_PROBE_PERIOD_S


def test_host_that_is_cut_off_probes_all_endpoints_in_turn(links):
    """Guards against a return that is noticed only where it was tried."""
    for endpoint in (E1, E2):
        links.observe_failed(endpoint, 0.0)
    probed = []
    for step in range(4):
        probed += links.pick_probes([E1, E2, E3], 1.0 + 0.1 * step)
    assert set(probed) == {E1, E2, E3}


def test_endpoints_that_are_gone_are_forgotten(links):
    for endpoint in (E1, E2):
        lose(links, endpoint)
    links.forget([E3], 1.0)
    assert not links.is_cut
    assert links.lost == []
    assert not links.needs_probes


class LinksMachine(stateful.RuleBasedStateMachine):
    """Links that fail and return in any order."""

    endpoints = strategies.sampled_from([E1, E2, E3])

    def __init__(self):
        super().__init__()
        self.links = endpointlinks.EndpointLinks()
        self.now = 0.0
        self.last = {}

    @stateful.rule(seconds=strategies.floats(0.0, 5.0))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(endpoint=endpoints)
    def open(self, endpoint):
        self.links.observe_opened(endpoint, self.now)
        self.last[endpoint] = True
        assert not self.links.is_cut

    @stateful.rule(endpoint=endpoints)
    def fail(self, endpoint):
        self.links.observe_failed(endpoint, self.now)
        self.last[endpoint] = False

    @stateful.rule(endpoint=endpoints)
    def relay(self, endpoint):
        is_new = self.links.observe_relayed(endpoint, self.now)
        assert not is_new or self.last.get(endpoint) is False

    @stateful.rule(endpoint=endpoints)
    def miss(self, endpoint):
        self.links.observe_unreached(endpoint, self.now)

    @stateful.rule(endpoints=strategies.sets(endpoints, min_size=1))
    def forget(self, endpoints):
        self.links.forget(endpoints, self.now)
        for endpoint in set(self.last) - endpoints:
            del self.last[endpoint]
        assert set(self.links.lost) <= endpoints

    @stateful.rule()
    def probe(self):
        picked = self.links.pick_probes([E1, E2, E3], self.now)
        assert len(picked) <= endpointlinks.MAX_PROBES

    @stateful.invariant()
    def a_link_that_works_is_not_left_for_ever(self):
        for endpoint in self.links.lost:
            assert self.links.path(endpoint, self.now) is RELAYED
        if not self.links.is_cut:
            for endpoint, is_open in self.last.items():
                if is_open and endpoint not in self.links.lost:
                    assert self.links.path(endpoint, self.now) is DIRECT


TestLinksMachine = LinksMachine.TestCase
TestLinksMachine.settings = hypothesis.settings(deadline=None)
