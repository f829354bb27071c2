"""Tests of assembling an answer."""

from hypothesis import given
from hypothesis import strategies as st

from bulrushgrade import answer

DELIVER, DROP, BROKEN = (
    answer.EventAction.DELIVER,
    answer.EventAction.DROP,
    answer.EventAction.BROKEN,
)


def _take(state, index, *, attempt="a", finish=False):
    return state.take(attempt, index, has_token=True, finish=finish)


def test_two_tokens_and_an_end_marker_are_complete():
    state = answer.Answer()
    state.begin("a")
    assert _take(state, 0) is DELIVER
    assert _take(state, 1, finish=True) is DELIVER
    assert not state.whole
    assert state.end()


def test_end_marker_without_finish_is_incomplete():
    state = answer.Answer()
    state.begin("a")
    _take(state, 0)
    assert not state.end()


def test_late_events_of_an_abandoned_attempt_are_dropped():
    # The first engine stalls, the answer continues at another one, and then the
    # first engine's events arrive: the caller would see a token twice.
    state = answer.Answer()
    state.begin("a")
    _take(state, 0)
    assert state.begin("b") == 1
    assert _take(state, 1, attempt="a") is DROP
    assert _take(state, 1, attempt="b") is DELIVER
    assert (state.tokens, state.foreign_events) == (2, 1)


@given(st.lists(st.tuples(st.sampled_from("ab"), st.integers(0, 6))))
def test_delivered_tokens_are_contiguous(events):
    state = answer.Answer()
    state.begin("a")
    delivered = []
    for attempt, index in events:
        if _take(state, index, attempt=attempt) is DELIVER:
            delivered.append(index)
    assert delivered == list(range(len(delivered)))
