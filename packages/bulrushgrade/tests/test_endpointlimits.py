"""Tests of what is known of endpoints' limits."""

import attrs
import hypothesis
from hypothesis import strategies as st

from bulrushgrade import endpointlimits

E1 = ("e1", 0)
RUN, PREFILL = endpointlimits.AnswerKind.RUN, endpointlimits.AnswerKind.PREFILL


def observe(limits, per_s, *, now, sent_at=None, kind=RUN, endpoint=E1):
    return limits.observe_answer(
        endpoint,
        per_s,
        kind=kind,
        sent_at=now if sent_at is None else sent_at,
        now=now,
    )


def test_limit_is_stated_moves_and_ends():
    limits = endpointlimits.EndpointLimits()
    assert observe(limits, None, now=0.0) is None
    change = observe(limits, 3.5, now=1.0)
    assert (change.before, change.limit) == (None, 3.5)
    assert observe(limits, 3.5, now=2.0) is None
    assert observe(limits, 2.0, now=3.0).limit == 2.0
    assert (limits.per_s(E1), limits.limited()) == (2.0, [E1])
    assert observe(limits, None, now=4.0).limit is None
    assert (limits.per_s(E1), len(limits)) == (None, 0)


def test_answer_from_before_does_not_end_a_limit():
    """Guards against long answers that end a limit stated meanwhile."""
    limits = endpointlimits.EndpointLimits()
    observe(limits, 3.5, now=5.0)
    assert observe(limits, None, now=6.0, sent_at=4.9) is None
    assert limits.per_s(E1) == 3.5


def test_answer_of_another_kind_does_not_end_a_limit():
    """Guards against an engine that states its limit only in some answers."""
    limits = endpointlimits.EndpointLimits()
    observe(limits, 3.5, now=5.0, kind=RUN)
    assert observe(limits, None, now=6.0, kind=PREFILL) is None
    assert limits.per_s(E1) == 3.5


def test_restarted_endpoint_has_no_limit():
    """Guards against holding an endpoint to a limit of before its restart."""
    limits = endpointlimits.EndpointLimits()
    observe(limits, 3.5, now=5.0)
    assert limits.per_s(("e1", 77)) is None


def test_peer_with_an_outdated_limit_does_not_bring_it_back():
    """Guards against limits that return with a host that was cut off."""
    limits = endpointlimits.EndpointLimits()
    observe(limits, 3.5, now=0.0)
    outdated = limits.find(E1)
    observe(limits, None, now=1.0)
    now = 0.0
    while now < endpointlimits.LIMIT_TTL_S + 5:
        now += 1.0
        limits.expire(now)
        assert limits.merge(E1, outdated, now) is None
        assert limits.per_s(E1) is None


def test_unconfirmed_limit_expires():
    limits = endpointlimits.EndpointLimits()
    observe(limits, 3.5, now=0.0)
    assert limits.expire(endpointlimits.LIMIT_TTL_S - 1) == []
    (change,) = limits.expire(endpointlimits.LIMIT_TTL_S)
    assert (change.endpoint, change.before) == (E1, 3.5)
    assert not limits.limited()


OBSERVATIONS = st.lists(
    st.tuples(
        st.none() | st.floats(min_value=0.5, max_value=9.0),
        st.integers(min_value=0, max_value=1_000_000),
    ),
    min_size=1,
    unique_by=lambda found: found[1],
)


@hypothesis.given(OBSERVATIONS, st.randoms())
def test_hosts_agree_in_whatever_order_news_arrives(found, rng):
    """Guards against hosts that keep different limits for good."""
    observations = [
        endpointlimits.Limit(per_s=per_s, as_of=at * 1e-5)
        for per_s, at in found
    ]
    results = set()
    for _ in range(2):
        rng.shuffle(observations)
        limits = endpointlimits.EndpointLimits()
        for observation in observations:
            limits.merge(E1, observation, 10.0)
        results.add(limits.per_s(E1))
    newest = max(observations, key=lambda one: one.as_of)
    assert results == {newest.per_s}
    assert limits.merge(E1, attrs.evolve(newest), 10.0) is None
