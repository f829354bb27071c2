"""Tests of the adaptive concurrency limit."""

from bulrushgrade import limit


def test_lateness_lowers_the_limit_once_an_interval():
    made = limit.ConcurrencyLimit(ceiling=64.0)
    made.observe(late=True, running=64.0, now=0.0)
    made.observe(late=True, running=64.0, now=0.1)
    assert made.value == 64.0 * limit.DECREASE_FACTOR
    for second in range(1, 100):
        made.observe(late=True, running=made.value, now=float(second))
    assert made.value == limit.MIN_LIMIT
    assert made.admits(1.0)


def test_limit_grows_only_when_it_is_used():
    made = limit.ConcurrencyLimit(ceiling=64.0, value=10.0)
    made.observe(late=False, running=1.0, now=0.0)
    assert made.value == 10.0
    for _ in range(2000):
        made.observe(late=False, running=made.value, now=0.0)
    assert made.value == 64.0
