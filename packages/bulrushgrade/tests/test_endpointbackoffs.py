"""Tests of endpoints that want no requests for a time."""

import hypothesis
from hypothesis import strategies as st

from bulrushgrade import endpointbackoffs

E1 = ("e1", 0)


def test_shorter_backoff_does_not_end_a_longer_one():
    """Guards against a late answer that cuts short what the first one asked."""
    backoffs = endpointbackoffs.EndpointBackoffs()
    assert backoffs.observe(E1, 3.0, now=10.0)
    assert not backoffs.observe(E1, 1.0, now=10.5)
    assert backoffs.left_s(E1, 10.5) == 2.5
    assert not backoffs.observe(E1, 3.0, now=11.0)
    assert backoffs.left_s(E1, 11.0) == 3.0
    assert backoffs.left_s(E1, 14.0) == 0.0


def test_backoff_is_bounded():
    """Guards against an endpoint that one false value takes out for good."""
    backoffs = endpointbackoffs.EndpointBackoffs()
    backoffs.observe(E1, 1e300, now=10.0)
    assert backoffs.left_s(E1, 10.0) == endpointbackoffs.MAX_BACKOFF_S


@hypothesis.given(
    st.lists(st.tuples(st.floats(0, 5), st.floats(0, 1e9)), max_size=8)
)
def test_every_stated_time_is_kept(answers):
    """Guards against any sequence of answers that shortens one of them."""
    backoffs = endpointbackoffs.EndpointBackoffs()
    now, latest = 0.0, 0.0
    for passed_s, stated_s in answers:
        now += passed_s
        backoffs.observe(E1, stated_s, now)
        wanted_s = min(stated_s, endpointbackoffs.MAX_BACKOFF_S)
        latest = max(latest, now + wanted_s)
    assert abs(backoffs.left_s(E1, now) - max(0.0, latest - now)) < 1e-6


def accept(backoffs, *, per_s, since, until):
    """Has the endpoint accept requests at a rate."""
    for number in range(round(per_s * (until - since))):
        at = since + number / per_s
        backoffs.observe_accepted(E1, at, at)


def test_rate_rises_from_zero_to_the_accepted_one_and_beyond():
    """Guards against hosts that all return at once when a backoff ends."""
    backoffs = endpointbackoffs.EndpointBackoffs()
    accept(backoffs, per_s=10.0, since=0.0, until=20.0)
    backoffs.observe(E1, 3.0, now=20.0)

    def rate_after(passed_s):
        return backoffs.resume_per_s(E1, 23.0 + passed_s, hosts=9)

    assert rate_after(-1.0) == 0.0
    assert rate_after(0.0) == 0.0
    rates = [rate_after(passed_s / 2) for passed_s in range(39)]
    assert rates == sorted(rates)
    assert 8.0 <= rate_after(endpointbackoffs.RAMP_S) <= 12.0
    assert rate_after(endpointbackoffs.RECOVERY_S) is None


def test_rate_is_known_soon_after_the_first_requests():
    """Guards against a mean that begins at zero and stays too low for long."""
    backoffs = endpointbackoffs.EndpointBackoffs()
    accept(backoffs, per_s=10.0, since=0.0, until=1.0)
    backoffs.observe(E1, 3.0, now=1.0)
    assert 8.0 <= backoffs.find(E1).accepted_per_s <= 12.0


def test_endpoint_that_still_refuses_all_does_not_lose_its_rate():
    """Guards against a rate that shrinks with each try in a long outage."""
    backoffs = endpointbackoffs.EndpointBackoffs()
    accept(backoffs, per_s=10.0, since=0.0, until=10.0)
    backoffs.observe(E1, 3.0, now=10.0)
    before = backoffs.find(E1).accepted_per_s
    for at in (14.0, 18.0, 22.0):
        assert backoffs.observe(E1, 3.0, now=at)
    assert backoffs.find(E1).accepted_per_s == before


def test_endpoint_that_refuses_again_gets_less():
    """Guards against hosts that press an endpoint without room for them."""
    backoffs = endpointbackoffs.EndpointBackoffs()
    accept(backoffs, per_s=10.0, since=0.0, until=10.0)
    backoffs.observe(E1, 3.0, now=10.0)
    before = backoffs.find(E1).accepted_per_s
    backoffs.observe_accepted(E1, 13.5, 13.5)
    assert backoffs.unconfirmed(14.0) == frozenset()
    backoffs.observe(E1, 3.0, now=15.0)
    assert before / 2 <= backoffs.find(E1).accepted_per_s < before
    assert backoffs.unconfirmed(19.0) == {E1}


def test_answer_to_an_earlier_request_confirms_nothing():
    """Guards against a request from before that ends after the backoff."""
    backoffs = endpointbackoffs.EndpointBackoffs()
    backoffs.observe(E1, 1.0, now=10.0)
    backoffs.observe_accepted(E1, sent_at=9.9, now=11.5)
    assert backoffs.unconfirmed(11.5) == {E1}


def test_hosts_together_resume_alike_whatever_their_number():
    """Guards against hundreds of hosts whose minimum rates add up."""
    for hosts in (1, 9, 195):
        backoffs = endpointbackoffs.EndpointBackoffs()
        backoffs.observe(E1, 1.0, now=0.0)
        at = 1.0 + endpointbackoffs.RAMP_S
        total = hosts * backoffs.resume_per_s(E1, at, hosts=hosts)
        assert abs(total - endpointbackoffs.MIN_TOTAL_PER_S) < 1e-6


def test_recovered_endpoints_are_dropped():
    """Guards against memory that grows with every endpoint."""
    backoffs = endpointbackoffs.EndpointBackoffs()
    backoffs.observe_accepted(E1, 0.0, 0.0)
    backoffs.observe(E1, 1.0, now=0.0)
    assert backoffs.expire(20.9) == []
    assert backoffs.expire(1.0 + endpointbackoffs.RECOVERY_S) == [E1]
    assert (backoffs.find(E1), list(backoffs.items())) == (None, [])
