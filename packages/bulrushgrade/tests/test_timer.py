"""Tests of the timer service."""

from bulrushgrade import timer


def test_after_is_called_once():
    timers = timer.Timers(now=10.0)
    calls = []
    timers.after(1.0, lambda: calls.append(timers.now))
    assert timers.advance(10.9) == 0
    assert timers.advance(11.0) == 1
    assert timers.advance(99.0) == 0
    assert calls == [11.0]


def test_every_is_called_once_after_a_long_pause():
    timers = timer.Timers()
    calls = []
    timers.every(1.0, lambda: calls.append(timers.now))
    assert timers.advance(50.0) == 1
    assert timers.next_due == 51.0


def test_cancelled_is_not_called():
    timers = timer.Timers()
    subscription = timers.every(1.0, lambda: None)
    subscription.cancel()
    assert timers.next_due is None
    assert timers.advance(5.0) == 0
