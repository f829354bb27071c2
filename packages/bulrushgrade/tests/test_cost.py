"""Tests of the learned cost model."""

import pytest

from bulrushgrade import cost
from bulrushgrade import work


def test_line_follows_its_samples_and_forgets_its_prior():
    fit = cost.LinearFit(intercept=0.0, slope=1.0, span=10.0)
    for index in range(2000):
        fit.learn(float(index % 10), 2.0 + 0.5 * (index % 10))
    assert fit.predict(0.0) == pytest.approx(2.0, abs=0.1)
    assert fit.predict(8.0) == pytest.approx(6.0, abs=0.1)


def test_equal_samples_leave_the_slope_to_the_prior():
    fit = cost.LinearFit(intercept=0.0, slope=1e-4, span=8000.0)
    for _ in range(500):
        fit.learn(400.0, 0.05)
    assert 0.3 < fit.predict(8000.0) < 2.0


def test_unseen_waits_do_not_raise_the_prefill_cost():
    """Every second prefill waits for work that another host had just placed.

    Taken as prefill time, the waits made the role plan assume half of the
    fleet's prefill speed, and it took engines from decode.
    """
    fit = cost.LinearFit(intercept=0.0, slope=2e-4, span=8000.0)
    for index in range(600):
        tokens = 1000.0 + 50.0 * (index % 100)
        unseen_s = 1.0 if index % 2 else 0.0
        fit.learn_clipped(tokens, tokens * 1.25e-4 + unseen_s)
    assert fit.line()[1] == pytest.approx(1.25e-4, rel=0.15)


def test_price_of_plain_work_is_the_mean_time():
    model = cost.CostModel()
    for _ in range(200):
        model.learn_plain(0.2)
    plain = work.Work(request_id="a", service="ledger", deadline=1.0)
    assert model.price_s(plain, 0, 0) == pytest.approx(0.2, abs=0.01)
