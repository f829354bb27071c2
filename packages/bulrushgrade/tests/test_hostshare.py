"""Tests of the part of a limit that a side of a partition may grant."""

import hypothesis
from hypothesis import strategies as st
import pytest

from bulrushgrade import hostshare

HOSTS = [f"h{n}" for n in range(9)]


def share_of(present, *, silent_s, known_s=60.0):
    """Returns the fraction of hosts that have lost all others."""
    share = hostshare.HostShare()
    share.update(HOSTS, HOSTS, 0.0)
    share.update(HOSTS, HOSTS, known_s)
    now = known_s + silent_s
    share.update(present, HOSTS, now)
    return share.fraction(now)


def test_all_hosts_grant_the_whole_limit():
    assert share_of(HOSTS, silent_s=0.1) == 1.0


@hypothesis.given(
    st.lists(st.integers(0, 3), min_size=9, max_size=9),
    st.floats(0.1, hostshare.DEPARTURE_S - 1),
)
def test_sides_of_a_partition_together_grant_no_more(sides, silent_s):
    """Guards against sides that each grant a whole limit."""
    total = 0.0
    for side in set(sides):
        present = [h for h, s in zip(HOSTS, sides, strict=True) if s == side]
        total += share_of(present, silent_s=silent_s)
    assert total == pytest.approx(1.0)


@hypothesis.given(st.integers(1, 8), st.floats(11, 500))
def test_long_partition_gives_the_whole_limit_to_one_side_at_most(
    size, silent_s
):
    """Guards against two sides that each take the other for gone."""
    one = share_of(HOSTS[:size], silent_s=silent_s)
    other = share_of(HOSTS[size:], silent_s=silent_s)
    assert sorted([one, other])[0] < 0.5
    assert one + other < 1.5


def test_majority_takes_the_part_of_hosts_that_are_gone():
    """Guards against a limit that is left unused after hosts have ended."""
    assert share_of(HOSTS[:7], silent_s=1.0) == pytest.approx(7 / 9)
    assert share_of(HOSTS[:7], silent_s=hostshare.DEPARTURE_S) == 1.0


def test_new_host_that_hears_nobody_grants_only_its_part():
    """Guards against hosts that start alone and take the whole limit."""
    share = hostshare.HostShare()
    share.update(["h0"], HOSTS, 0.0)
    assert share.fraction(0.0) == pytest.approx(1 / 9)
    share.update(["h0"], HOSTS, 60.0)
    assert share.fraction(60.0) == pytest.approx(1 / 9)


def test_hosts_that_ask_another_owner_do_not_count():
    """Guards against two owners that count the hosts that hear both."""
    total = 0.0
    for present, voters in ((HOSTS[1:], HOSTS[1:]), (HOSTS[:8], HOSTS[:1])):
        share = hostshare.HostShare()
        share.update(HOSTS, HOSTS, 0.0)
        share.update(present, HOSTS, 1.0)
        total += share.fraction(1.0, voters)
        # A voter that has come since the last update doesn't count yet.
        assert share.fraction(1.0, [*voters, "new"]) < 0.9
    assert total == pytest.approx(1.0)


def test_removed_hosts_are_forgotten():
    share = hostshare.HostShare()
    removed = [f"r{n}" for n in range(20)]
    share.update(HOSTS, removed, 0.0)
    assert share.fraction(0.0) == pytest.approx(9 / 29)
    now = hostshare.FORGET_S
    share.update(HOSTS, removed, now)
    assert share.fraction(now) == 1.0
