"""Tests of guaranteed shares and lending."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from bulrushgrade import share


def _shares(**parts):
    made = share.Shares()
    for service, part in parts.items():
        made.set_share(service, part, True)
    return made


def _run(shares, turns, prices):
    used = dict.fromkeys(prices, 0.0)
    for _ in range(turns):
        service = shares.order(prices)[0]
        shares.charge(service, prices[service])
        used[service] += prices[service]
    return used


@given(
    st.floats(min_value=0.05, max_value=0.95),
    st.floats(min_value=0.01, max_value=3.0),
)
def test_busy_services_get_their_shares_whatever_their_prices(part, price):
    shares = _shares(a=part, b=1.0 - part)
    used = _run(shares, 3000, {"a": price, "b": 0.5})
    total = sum(used.values())
    tolerance = 3.0 * max(price, 0.5) / total
    assert used["a"] / total == pytest.approx(part, abs=0.02 + tolerance)


def test_unused_share_is_lent_and_returned_at_once():
    shares = _shares(a=0.5, b=0.5)
    _run(shares, 1000, {"a": 1.0})
    shares.activate("b", ["a", "b"])
    used = _run(shares, 200, {"a": 1.0, "b": 1.0})
    kept = share.MAX_CREDIT_S * 0.5
    assert 100.0 <= used["b"] <= 100.0 + kept + 1.0


def test_service_that_does_not_borrow_stays_within_its_share():
    shares = share.Shares()
    shares.set_share("a", 0.25, False)
    ran = 0
    for tick in range(1000):
        if shares.may_run("a", 4.0, tick * 0.1):
            shares.charge("a", 0.5)
            ran += 1
    assert ran * 0.5 == pytest.approx(100.0, abs=4.0)
