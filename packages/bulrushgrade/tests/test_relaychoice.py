"""Tests of choosing peers that relay connections."""

import random

import pytest

from bulrushgrade import relaychoice

PEERS = ["a", "b", "c"]
E1, E2 = ("e1", 1), ("e2", 1)


@pytest.fixture
def choice():
    return relaychoice.RelayChoice(rng=random.Random(1))


def test_connections_are_spread_over_peers(choice):
    for _ in range(30):
        (peer,) = choice.pick(PEERS, 0.0)
        choice.begin(peer)
    open_by_peer = {p: choice.pick(PEERS, 0.0, 3).index(p) for p in PEERS}
    assert len(open_by_peer) == 3
    assert choice.open_connections == 30
    for peer in PEERS:
        for _ in range(10):
            choice.end(peer)
    assert choice.open_connections == 0


def test_peer_that_could_not_help_is_left_out_longer_each_time(choice):
    choice.failed("a", 0.0)
    assert "a" not in choice.pick(PEERS, 0.4, 3)
    assert choice.pick(PEERS, 0.5, 3)[-1] == "a"
    choice.failed("a", 0.5)
    assert "a" not in choice.pick(PEERS, 1.4, 3)
    assert "a" in choice.pick(PEERS, 1.5, 3)


def test_peer_that_helped_again_is_as_good_as_others(choice):
    choice.failed("a", 0.0)
    choice.succeeded("a")
    assert set(choice.pick(PEERS, 0.0, 3)) == set(PEERS)


def test_peer_without_one_link_is_asked_for_other_endpoints(choice):
    """Guards against peers that are given up for a single lost link."""
    choice.observe_reach("a", E1, False, 0.0)
    assert choice.pick(["a"], 0.1, endpoint=E1) == []
    assert choice.pick(["a"], 0.1, endpoint=E2) == ["a"]
    later = relaychoice.NO_LINK_S
    assert choice.pick(["a"], later, endpoint=E1) == ["a"]


def test_peer_that_reached_an_endpoint_is_preferred(choice):
    choice.observe_reach("b", E1, True, 0.0)
    for _ in range(10):
        assert choice.pick(PEERS, 0.1, endpoint=E1) == ["b"]


def test_no_peer_is_left_if_none_can_help(choice):
    for peer in PEERS:
        choice.failed(peer, 0.0)
    assert choice.pick(PEERS, 0.1) == []


def test_peers_that_are_gone_are_forgotten_once_they_are_unused(choice):
    choice.begin("a")
    choice.failed("a", 0.0)
    choice.forget([], 1.0)
    assert choice.open_connections == 1
    choice.end("a")
    choice.forget([], 1.0)
    assert choice.pick(["a"], 0.1) == ["a"]
