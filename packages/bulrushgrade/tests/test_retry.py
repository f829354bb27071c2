"""Tests of the retry budget and delay."""

import random

from hypothesis import given
from hypothesis import strategies as st

from bulrushgrade import retry


@given(st.lists(st.booleans(), max_size=400))
def test_retries_never_exceed_the_ratio_and_the_burst(fails):
    budget = retry.RetryBudget(ratio=0.1)
    retried = 0
    for failed in fails:
        budget.earn()
        retried += failed and budget.spend()
    assert retried <= retry.MAX_BALANCE + 0.1 * len(fails)


def test_first_retry_goes_at_once_and_later_ones_spread():
    rng = random.Random(1)
    assert retry.delay_s(1, rng) == 0.0
    delays = {round(retry.delay_s(2, rng), 3) for _ in range(50)}
    assert len(delays) > 30
    assert max(delays) <= retry.MAX_DELAY_S
