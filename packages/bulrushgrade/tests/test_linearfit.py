"""Tests of lines through observations and of engines' factors."""

from hypothesis import given
from hypothesis import strategies as st

from bulrushgrade import linearfit


def make_fit(**changes):
    return linearfit.LinearFit(**{"kept": 0.99, "least_spread": 1.0} | changes)


def test_line_is_found():
    fit = make_fit()
    assert not fit.is_known
    assert fit.at(5.0) == 0.0
    for x in range(100):
        fit.note(float(x), 2.0 + 0.5 * x)
    assert abs(fit.at(10.0) - 7.0) < 1e-6
    assert abs(fit.at(200.0) - 102.0) < 1e-6


def test_without_spread_the_line_is_level():
    fit = make_fit()
    for y in (1.0, 3.0) * 20:
        fit.note(5.0, y)
    assert abs(fit.at(1e6) - fit.at(0.0)) < 1e-9


def test_start_gives_way():
    fit = make_fit(start=10.0, start_weight=2.0)
    assert fit.at(0.0) == 10.0
    for _ in range(500):
        fit.note(0.0, 1.0)
    assert fit.at(0.0) < 1.1


@given(st.lists(st.tuples(st.floats(0, 1e5), st.floats(0, 10)), min_size=1))
def test_values_are_never_negative_and_never_fall(observed):
    fit = make_fit()
    for x, y in observed:
        fit.note(x, y)
    values = [fit.at(x) for x in (0.0, 1e3, 1e5)]
    assert values[0] >= 0.0
    assert values == sorted(values)


def test_factor_is_bounded_and_follows():
    factor = linearfit.Factor(rise=0.1, fall=0.5)
    factor.note(0.0, 5.0)
    assert factor.value == 1.0
    for _ in range(100):
        factor.note(1.0, 100.0)
    assert 7.0 < factor.value <= linearfit.GREATEST_FACTOR
    factor.note(1.0, 1.0)
    assert factor.value < 5.0
