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
