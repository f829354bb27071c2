"""Tests of a host's own samples of engines that it rarely meets."""

import math

import pytest

from bulrushgrade import linearfit
from bulrushgrade import speedsamples

ENGINE = ("e1", 7)
PAUSE = speedsamples.Kind.PAUSE


def make_samples(*ratios):
    own = speedsamples.OwnSpeeds()
    own.decay(0.0)
    for ratio in ratios:
        own.observe(ENGINE, PAUSE, expected=0.1, observed=0.1 * ratio)
    return own


def read_sums(own):
    return own.vectors()[speedsamples.make_key(ENGINE)][2 * PAUSE :][:2]


def test_rare_samples_of_a_slow_engine_are_summed_by_logarithm():
    """Guards against a mean that one long pause dominates."""
    own = make_samples(2.0, 0.5, 4.0)
    assert read_sums(own) == pytest.approx((3.0, math.log(4.0)))


def test_one_stall_counts_as_the_largest_factor_at_most():
    """Guards against an outlier that excludes an engine."""
    own = make_samples(1000.0)
    assert read_sums(own)[1] == pytest.approx(math.log(linearfit.MAX_FACTOR))


def test_samples_of_an_engine_without_load_are_dropped():
    """Guards against state that grows with every engine ever met."""
    own = make_samples(2.0)
    own.decay(speedsamples.SPEED_DECAY_S)
    assert read_sums(own)[0] == pytest.approx(math.exp(-1.0))
    own.decay(100 * speedsamples.SPEED_DECAY_S)
    assert not own.vectors()


def test_restarted_engine_has_a_key_of_its_own():
    """Guards against samples of the start before an id was used again."""
    keys = {speedsamples.make_key(("e1", born_ms)) for born_ms in (7, 8)}
    assert len(keys) == 2
