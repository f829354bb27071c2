"""Tests of the membership of hosts."""

import json

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from returns.result import Failure

from bulrushgrade import membership

State = membership.State


def make_host(address="10.0.0.1:80", state=membership.ListedState.LIVE):
    return membership.Host(
        address=address,
        kind=membership.Kind.ENGINE,
        service="pack-llm",
        zone="tuzla",
        region="tr-marmara",
        state=state,
    )


def make_view(*hosts, version=1):
    view = membership.Membership()
    view.accept(make_list(*hosts, version=version), now=0.0).unwrap()
    return view


def make_list(*hosts, version=1):
    return membership.HostList(version=version, hosts=hosts)


def test_parse_of_the_list_as_the_platform_sends_it():
    host = {
        "address": "10.0.0.1:80",
        "kind": "engine",
        "service": "pack-llm",
        "zone": "tuzla",
        "region": "tr-marmara",
        "state": "leaving",
        "peer": "",
        "fencing": True,
        "rack": "a key of a later release",
    }
    raw = json.dumps({"version": 3, "hosts": [host]}).encode()
    read = membership.parse_host_list(raw).unwrap()
    assert read.version == 3
    assert read.hosts[0].state is membership.ListedState.LEAVING
    assert read.hosts[0].fencing
    for bad in (b"", b"[]", b'{"version":1,"hosts":[]}', b"\xff"):
        assert isinstance(membership.parse_host_list(bad), Failure)
    twice = json.dumps({"version": 3, "hosts": [host, host]}).encode()
    assert isinstance(membership.parse_host_list(twice), Failure)


def test_change_names_what_moved():
    view = make_view(make_host("a"), make_host("b"))
    leaving = make_host("b", membership.ListedState.LEAVING)
    newer = make_list(leaving, make_host("c"), version=2)
    change = view.accept(newer, now=1.0).unwrap()
    assert change == membership.Change(
        added=("c",), leaving=("b",), removed=("a",)
    )
    assert view.get_state("a") is State.GONE


def test_older_list_does_not_bring_a_host_back():
    # Two reads of the list are answered by two servers, and the newer answer
    # arrives first. If the older one were applied, requests would be sent to a
    # host that has left and be refused.
    view = make_view(make_host("a"), version=7)
    older = make_list(make_host("a"), make_host("b"), version=6)
    assert isinstance(view.accept(older, now=1.0), Failure)
    assert view.version == 7
    assert not view.takes_new_work("b")


def test_endpoint_that_refuses_is_left_out_before_the_list_knows():
    view = make_view(make_host("a"))
    view.observe_refusing("a", refuses=True)
    assert view.get_state("a") is State.LEAVING
    view.accept(make_list(make_host("a"), version=2), now=1.0)
    assert not view.takes_new_work("a")
    view.observe_refusing("a", refuses=False)
    assert view.takes_new_work("a")


def test_silent_host_is_probed_and_comes_back():
    view = make_view(make_host("a"))
    for now in (1.0, 1.1, 1.2):
        assert view.takes_new_work("a")
        view.observe_failure("a", now=now)
    assert view.get_state("a") is State.SILENT
    assert not view.is_probe_due("a", now=2.0)
    assert view.is_probe_due("a", now=1.2 + membership.PROBE_PERIOD_S)
    view.observe_answer("a", now=4.0)
    assert view.takes_new_work("a")


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Lists arrive in any order, interleaved with observations."""

    addresses = strategies.sampled_from(["a", "b", "c"])

    def __init__(self):
        super().__init__()
        self.view = membership.Membership()
        self.newest = membership.HostList(version=-1, hosts=())
        self.failures = dict.fromkeys("abc", 0)

    @stateful.rule(
        version=strategies.integers(0, 20),
        states=strategies.dictionaries(
            addresses, strategies.sampled_from(membership.ListedState)
        ),
    )
    def take_list(self, version, states):
        hosts = tuple(make_host(a, state) for a, state in states.items())
        host_list = make_list(*hosts, version=version)
        self.view.accept(host_list, now=0.0)
        if version > self.newest.version:
            self.newest = host_list
            for address in self.failures.keys() - states.keys():
                self.failures[address] = 0

    @stateful.rule(address=addresses)
    def fail(self, address):
        self.view.observe_failure(address, now=0.0)
        if any(host.address == address for host in self.newest.hosts):
            self.failures[address] += 1

    @stateful.rule(address=addresses)
    def answer(self, address):
        self.view.observe_answer(address, now=0.0)
        self.failures[address] = 0

    @stateful.invariant()
    def newest_list_and_own_observations_decide(self):
        live = {h.address for h in membership.select_live(self.newest.hosts)}
        for address, failures in self.failures.items():
            expected = address in live and failures < 3
            assert self.view.takes_new_work(address) == expected


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = hypothesis.settings(max_examples=60)
