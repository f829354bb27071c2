"""Tests of the choice among plain endpoints."""

import random

from test_directory import make

from bulrushgrade import balance

NONE = frozenset()


def make_balancer():
    return balance.Balancer(zone="z1", rng=random.Random(1))


def test_own_zone_among_equals():
    balancer = make_balancer()
    usable = [make("far", zone="z2"), make("near", zone="z1")]
    assert balancer.pick(usable, avoid=NONE, now=0.0).id == "near"


def test_less_loaded_zone_before_own():
    balancer = make_balancer()
    far, near = make("far", zone="z2"), make("near", zone="z1")
    balancer.begin(near.incarnation)
    assert balancer.pick([far, near], avoid=NONE, now=0.0).id == "far"


def test_load_is_relative_to_slots():
    balancer = make_balancer()
    big, small = make("big", slots=8), make("small", slots=2)
    for _ in range(2):
        balancer.begin(big.incarnation)
    assert balancer.pick([big, small], avoid=NONE, now=0.0).id == "big"


def test_failing_endpoint_is_ejected_despite_its_health_report():
    """An endpoint fails its requests while it reports that it is healthy.

    Each request sent there costs a caller its answer. Two consecutive failures
    eject it; it is tried again later, since it may have recovered.
    """
    balancer = make_balancer()
    bad, good = make("bad"), make("good")
    assert not balancer.failed(bad.incarnation, now=0.0)
    assert balancer.failed(bad.incarnation, now=0.0)
    for _ in range(5):
        balancer.begin(good.incarnation)
    assert balancer.pick([bad, good], avoid=NONE, now=0.5).id == "good"
    later = balance.EJECT_BASE_S + 0.1
    assert balancer.pick([bad, good], avoid=NONE, now=later).id == "bad"


def test_ejection_grows_and_ends_with_a_success():
    balancer = make_balancer()
    bad = make("bad").incarnation
    now = 0.0
    lengths = []
    for _ in range(6):
        now = balancer.load(bad).ejected_until
        while not balancer.failed(bad, now=now):
            pass
        lengths.append(balancer.load(bad).ejected_until - now)
    assert lengths == sorted(lengths)
    assert lengths[-1] == balance.EJECT_MAX_S
    balancer.succeeded(bad, 0.1)
    assert balancer.load(bad).ejections == 0


def test_ejected_endpoint_is_used_when_there_is_no_other():
    balancer = make_balancer()
    bad = make("bad")
    for _ in range(2):
        balancer.failed(bad.incarnation, now=0.0)
    assert balancer.pick([bad], avoid=NONE, now=0.1) is bad


def test_what_failed_this_request_is_never_picked_again():
    balancer = make_balancer()
    only = make("only")
    avoid = frozenset({only.incarnation})
    assert balancer.pick([only], avoid=avoid, now=0.0) is None


def test_slow_endpoint_gets_less():
    """One endpoint takes five times as long as the others.

    With equal shares every fourth caller would wait there. The latency counts
    as load, so that the endpoint gets a share that it can serve.
    """
    balancer = make_balancer()
    slow, fast = make("slow"), make("fast")
    balancer.succeeded(slow.incarnation, 0.5)
    balancer.succeeded(fast.incarnation, 0.1)
    for _ in range(3):
        balancer.begin(fast.incarnation)
    assert balancer.pick([slow, fast], avoid=NONE, now=0.0).id == "fast"
    for _ in range(4):
        balancer.begin(fast.incarnation)
    assert balancer.pick([slow, fast], avoid=NONE, now=0.0).id == "slow"


def test_restarted_endpoint_has_no_failures():
    balancer = make_balancer()
    before, after = make("e", born_ms=1), make("e", born_ms=2)
    for _ in range(2):
        balancer.failed(before.incarnation, now=0.0)
    assert balancer.eligible([after], avoid=NONE, now=0.0) == [after]
    balancer.forget([after.incarnation])
    assert balancer.load(before.incarnation).ejected_until == 0.0


def test_zone_where_endpoints_crashed_is_avoided_where_there_is_another():
    """A zone failed, and its requests were retried within it."""
    balancer = make_balancer()
    here, there = make("here", zone="z1"), make("there", zone="z2")

    def pick(*usable):
        zones = frozenset({"z1"})
        return balancer.pick(usable, avoid=NONE, avoid_zones=zones, now=0.0)

    assert pick(here, there) == there
    assert pick(here) == here
    # A failing endpoint is no better than one in a zone that may have failed.
    for _ in range(balance.EJECT_FAILURES):
        balancer.failed(there.incarnation, now=0.0)
    assert pick(here, there) == here
