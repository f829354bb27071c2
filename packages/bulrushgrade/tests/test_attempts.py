"""Tests of what follows an attempt."""

import hypothesis
from hypothesis import strategies as st
from test_routing import make_route

from bulrushgrade import attempts
from bulrushgrade import routing

Outcome = attempts.Outcome
NextStep = attempts.NextStep


def make_history(*outcomes, begun=False):
    history = attempts.AttemptHistory(begun=begun)
    for outcome in outcomes:
        history.note(outcome)
    return history


def once_route(**changes):
    return make_route(kind=routing.RequestKind.ONCE, **changes)


def test_booking_whose_answer_is_lost_is_not_sent_again():
    """A booking was written and the connection broke before its answer.

    It may have run. A retry could book twice, and a refusal that says that
    nothing ran would make the caller book again.
    """
    history = make_history(Outcome.LOST)
    assert not attempts.may_retry(once_route(max_attempts=3), history)
    assert attempts.final_step(history) is NextStep.FAIL


def test_booking_that_reached_no_endpoint_is_retried():
    history = make_history(Outcome.UNREACHED)
    assert attempts.may_retry(once_route(max_attempts=1), history)


def test_refusal_only_where_nothing_ran():
    assert attempts.final_step(make_history()) is NextStep.REFUSE
    assert (
        attempts.final_step(make_history(Outcome.TURNED_AWAY))
        is NextStep.REFUSE
    )
    mixed = make_history(Outcome.LOST, Outcome.TURNED_AWAY)
    assert attempts.final_step(mixed) is NextStep.FAIL


def test_own_failure_of_the_endpoint_is_relayed():
    assert attempts.final_step(make_history(Outcome.FAILED)) is NextStep.RELAY


def test_repeatable_request_is_tried_up_to_its_attempts():
    route = make_route(max_attempts=2)
    assert attempts.may_retry(route, make_history(Outcome.FAILED))
    twice = make_history(Outcome.FAILED, Outcome.FAILED)
    assert not attempts.may_retry(route, twice)


def test_started_answer_is_cut_not_refused():
    history = make_history(Outcome.BROKEN_STREAM, begun=True)
    assert attempts.final_step(history) is NextStep.CUT


def test_unreachable_endpoints_end_the_retries():
    outcomes = [Outcome.UNREACHED] * attempts.MAX_UNREACHED
    assert not attempts.may_retry(make_route(), make_history(*outcomes))


@hypothesis.given(
    outcomes=st.lists(st.sampled_from(list(Outcome)), max_size=8),
    repeatable=st.booleans(),
    max_attempts=st.integers(0, 4),
)
def test_guarantees_hold_for_any_sequence_of_outcomes(
    outcomes, repeatable, max_attempts
):
    kind = routing.RequestKind
    route = make_route(
        kind=kind.IDEMPOTENT if repeatable else kind.ONCE,
        max_attempts=max_attempts,
    )
    history = attempts.AttemptHistory()
    for outcome in outcomes:
        history.note(outcome)
        if not attempts.may_retry(route, history):
            break
    if not repeatable:
        assert history.runs <= 1
    assert history.arrivals <= max(1, max_attempts)
    if attempts.final_step(history) is NextStep.REFUSE:
        assert history.runs == 0


def test_prefill_that_no_decoder_took_is_not_repeated_without_a_retry():
    """Guards against prompts that are prefilled again and again for nobody."""
    history = attempts.AttemptHistory()
    history.note(attempts.Outcome.UNTAKEN)
    assert history.arrivals == 1
    assert not attempts.may_retry(make_route(max_attempts=1), history)
    # It has not run, so the caller may be told so.
    assert attempts.final_step(history) is attempts.NextStep.REFUSE
