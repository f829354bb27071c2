"""Tests of admission control."""

import random

import pytest

from bulrushgrade import admission
from bulrushgrade import cost
from bulrushgrade import work


def test_drain_rate_counts_busy_time_only():
    drain = admission.DrainRate()
    assert drain.rate(2.0, 0.0) == 2.0
    for tick in range(200):
        drain.note(busy=True, now=tick * 0.1, placed_s=0.05)
    busy = drain.rate(2.0, 20.0)
    assert busy == pytest.approx(0.5, abs=0.35)
    drain.note(busy=False, now=20.0)
    assert drain.rate(2.0, 500.0) == pytest.approx(busy, rel=0.05)


def test_latest_start_meets_the_earlier_of_two_deadlines():
    model = cost.CostModel()
    wanted = work.Work(
        request_id="a", service="s", model="m", output_tokens=100,
        deadline=100.0, first_token_deadline=10.0,
    )  # fmt: skip
    assert 9.0 < admission.latest_start(wanted, model, 100) < 10.0


def test_retry_after_is_never_before_the_work_could_fit():
    rng = random.Random(1)
    for late_s in (0.01, 0.7, 5.0):
        for _ in range(50):
            after = admission.retry_after_s(late_s, rng)
            assert after >= late_s
    assert admission.retry_after_s(1e6, rng) == admission.MAX_RETRY_AFTER_S
