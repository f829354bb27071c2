"""Tests of linear fits and of engines' factors."""

from hypothesis import given
from hypothesis import strategies as st

from bulrushgrade import linearfit


def make_fit(**changes):
    return linearfit.LinearFit(
        **{"retention": 0.99, "min_stddev": 1.0} | changes
    )


def test_line_is_fitted():
    fit = make_fit()
    assert not fit.is_known
    assert fit.predict(5.0) == 0.0
    for x in range(100):
        fit.observe(float(x), 2.0 + 0.5 * x)
    assert abs(fit.predict(10.0) - 7.0) < 1e-6
    assert abs(fit.predict(200.0) - 102.0) < 1e-6


def test_line_is_level_without_variance_of_x():
    fit = make_fit()
    for y in (1.0, 3.0) * 20:
        fit.observe(5.0, y)
    assert abs(fit.predict(1e6) - fit.predict(0.0)) < 1e-9


def test_initial_value_is_replaced_by_observations():
    fit = make_fit(start=10.0, start_weight=2.0)
    assert fit.predict(0.0) == 10.0
    for _ in range(500):
        fit.observe(0.0, 1.0)
    assert fit.predict(0.0) < 1.1


@given(st.lists(st.tuples(st.floats(0, 1e5), st.floats(0, 10)), min_size=1))
def test_values_are_never_negative_and_never_fall(observed):
    fit = make_fit()
    for x, y in observed:
        fit.observe(x, y)
    values = [fit.predict(x) for x in (0.0, 1e3, 1e5)]
    assert values[0] >= 0.0
    assert values == sorted(values)


def test_factor_is_bounded_and_follows_observations():
    factor = linearfit.Factor(rise=0.1, fall=0.5)
    factor.observe(0.0, 5.0)
    assert factor.value == 1.0
    for _ in range(100):
        factor.observe(1.0, 100.0)
    assert 7.0 < factor.value <= linearfit.MAX_FACTOR
    factor.observe(1.0, 1.0)
    assert factor.value < 5.0
