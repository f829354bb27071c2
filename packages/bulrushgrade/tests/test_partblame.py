"""Tests of blaming prompt parts for crashes of endpoints."""

import attrs

from bulrushgrade import partblame
from bulrushgrade import partledger

RUNTIME = b"v1"
GAP_S = 1.0
"""Time between two crashes of a test: they are no single failure."""


def make_crash(part, endpoint, requests, *, at, ran_s=0.05, **changes):
    """Returns a part at a crash, in requests that had run for some time."""
    crash = partblame.PartCrash(
        part=part.encode(),
        endpoint=(endpoint, 0),
        runtime=RUNTIME,
        zone=f"z{endpoint}",
        has_begun=True,
        first_at=at - ran_s,
        last_at=at - ran_s,
        crashed_at=at,
        requests=frozenset(request.encode() for request in requests.split()),
    )
    return attrs.evolve(crash, **changes)


def find(*crashes, sites=()):
    """Returns the blamed parts as a list of sets of names."""
    evidence, known = {}, dict(sites)
    for crash in crashes:
        evidence.setdefault(crash.part, {})[crash.endpoint] = crash
        known[crash.endpoint] = partblame.CrashSite(
            zone=crash.zone, crashed_at=crash.crashed_at
        )
    blames = partblame.find_blames(evidence, known)
    return [{part.decode() for part in blame.parts} for blame in blames]


def test_third_crash_of_different_requests_blames_their_part():
    """No two of these requests were alike, and none of them was blamed."""
    crashes = [
        make_crash("bad", f"e{n}", f"r{n}", at=n * GAP_S) for n in range(3)
    ]
    assert find(*crashes[:2]) == []
    assert find(*crashes) == [{"bad"}]


def test_parts_of_a_single_request_are_not_blamed():
    """A request that is moved from crash to crash may be there by chance."""
    crashes = [
        make_crash("rare", f"e{n}", "same", at=n * GAP_S) for n in range(6)
    ]
    assert find(*crashes) == []


def test_frequent_part_beside_a_harmful_one_is_not_blamed():
    """The first part of all prompts was at each crash, and at more of them."""
    crashes = []
    for n in range(4):
        at = n * GAP_S
        crashes.append(
            make_crash("first", f"e{n}", f"r{n} s{n} t{n}", at=at, ran_s=0.8)
        )
        if n:
            crashes.append(make_crash("bad", f"e{n}", f"r{n}", at=at))
    assert find(*crashes)[0] >= {"bad"}
    assert {"first"} not in find(*crashes)


def test_two_harmful_parts_are_told_apart_from_their_common_first_part():
    """Two parts crashed engines in turn, in prompts that begin alike."""
    crashes = []
    for n in range(6):
        at, bad = n * GAP_S, f"bad{n % 2}"
        crashes.append(make_crash(bad, f"e{n}", f"r{n}", at=at))
        crashes.append(
            make_crash("first", f"e{n}", f"r{n} s{n} t{n}", at=at, ran_s=0.8)
        )
    assert [blame & {"bad0", "bad1"} for blame in find(*crashes)] == [
        {"bad1"},
        {"bad0"},
    ]


def test_parts_that_are_always_together_are_blamed_together():
    """A sound part was quarantined since it was in all harmful prompts.

    Prompts with only one of the parts are let through, and tell them apart.
    """
    together = [
        make_crash(part, f"e{n}", f"r{n}", at=n * GAP_S)
        for n in range(3)
        for part in ("bad", "other")
    ]
    assert find(*together) == [{"bad", "other"}]
    alone = make_crash("bad", "e9", "r9", at=9 * GAP_S)
    assert find(*together, alone) == [{"bad"}]


def test_bystander_at_all_crashes_is_not_part_of_the_blame():
    """All prompts with the harmful part went on, as long as one had another.

    The other part was at all crashes in requests of its own.
    """
    crashes = []
    for n in range(3):
        crashes.append(make_crash("bad", f"e{n}", f"r{n}", at=n * GAP_S))
        crashes.append(
            make_crash("other", f"e{n}", f"s{n}", at=n * GAP_S, ran_s=0.5)
        )
    assert find(*crashes) == [{"bad"}]


def test_endpoints_that_end_together_count_as_one_crash():
    """All endpoints of a service ended, and a frequent part was blamed."""
    crashes = [
        make_crash("first", f"e{n}", f"r{n} s{n}", at=n * 0.002, ran_s=0.001)
        for n in range(20)
    ]
    assert find(*crashes) == []


def test_crash_beside_another_endpoint_without_the_part_counts_half():
    """Processes of one failure end at once; a harmful prompt ends one."""
    crashes = [
        make_crash("bad", f"e{n}", f"r{n}", at=n * GAP_S) for n in range(6)
    ]
    sites = {
        (f"o{n}", 0): partblame.CrashSite(zone="z", crashed_at=n * GAP_S)
        for n in range(6)
    }
    assert find(*crashes[:5], sites=sites) == []
    assert find(*crashes, sites=sites) == [{"bad"}]


def test_queued_requests_need_another_crash():
    """What had not begun anywhere may have waited behind the cause."""
    crashes = [
        make_crash("p", f"e{n}", f"r{n}", at=n * GAP_S, has_begun=False)
        for n in range(4)
    ]
    assert find(*crashes[:3]) == []
    assert find(*crashes) == [{"p"}]


def test_crashes_of_one_failing_zone_need_another_one():
    crashes = [
        make_crash("p", f"e{n}", f"r{n}", at=n * GAP_S, zone="z1")
        for n in range(4)
    ]
    sites = {("o", 0): partblame.CrashSite(zone="z1", crashed_at=0.5)}
    assert find(*crashes[:3]) == [{"p"}]
    assert find(*crashes[:3], sites=sites) == []
    assert find(*crashes, sites=sites) == [{"p"}]


def test_part_that_explains_few_crashes_needs_more_of_them():
    """Endpoints crashed all the time, and rare parts were at some by chance."""
    crashes = [
        make_crash("rare", f"e{n}", f"r{n}", at=20 * n * GAP_S)
        for n in range(5)
    ]
    sites = {
        (f"o{n}", 0): partblame.CrashSite(
            zone=f"y{n}", crashed_at=(n + 0.5) * GAP_S
        )
        for n in range(100)
    }
    assert find(*crashes[:3]) == [{"rare"}]
    assert find(*crashes[:4], sites=sites) == []
    assert find(*crashes, sites=sites) == [{"rare"}]


def test_reports_of_two_hosts_about_a_crash_are_one():
    queued = make_crash("p", "e1", "a", at=5.0, ran_s=3.0, has_begun=False)
    begun = make_crash("p", "e1", "b", at=5.1, ran_s=0.2)
    for one, other in ((queued, begun), (begun, queued)):
        merged = one.merge(other)
        assert merged.has_begun
        assert (merged.first_at, merged.last_at) == (
            begun.first_at,
            begun.last_at,
        )
        assert merged.crashed_at == 5.0
        assert merged.requests == {b"a", b"b"}


def test_parts_of_one_model_are_told_apart_from_another_models():
    def key(scope, part):
        return partledger.make_part_key(scope=scope, part=part)

    assert key("m", "a1") == key("m", "a1")
    assert len({key("m", "a1"), key("n", "a1"), key("ma", "1")}) == 3
