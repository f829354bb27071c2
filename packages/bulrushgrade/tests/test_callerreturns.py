"""Tests of when refused callers are told to return."""

from bulrushgrade import callerreturns

E1 = ("e1", 0)


def book(returns, *, urgency, open_at=10.0):
    at = returns.find_next(E1, urgency=urgency, open_at=open_at, per_s=2.0)
    returns.book(E1, urgency=urgency, at=at)
    return at


def test_callers_return_one_by_one():
    """Guards against callers who all return when a pause ends."""
    returns = callerreturns.CallerReturns()
    assert [book(returns, urgency=1) for _ in range(3)] == [10.5, 11.0, 11.5]


def test_urgent_callers_return_before_the_less_urgent():
    """Guards against an urgent caller who is told the last time of all."""
    returns = callerreturns.CallerReturns()
    for _ in range(10):
        book(returns, urgency=2)
    assert book(returns, urgency=0) == 10.5
    assert book(returns, urgency=1) == 11.0
    assert book(returns, urgency=2) == 15.5


def test_past_times_are_dropped():
    returns = callerreturns.CallerReturns()
    book(returns, urgency=1)
    returns.forget(10.4)
    assert book(returns, urgency=1) == 11.0
    returns.forget(20.0)
    assert book(returns, urgency=1) == 10.5
