"""Tests of the pause model."""

from bulrushgrade import pausemodel


def observe_many(model, *, count=300, slope_s=1e-6, factor=None, times=1.0):
    factor = factor or pausemodel.new_factor()
    for number in range(count):
        tokens = 20_000.0 * (number % 20)
        model.observe(tokens, times * (0.03 + slope_s * tokens), factor)
    return factor


def test_pause_grows_with_the_tokens_in_memory():
    model = pausemodel.PauseModel()
    assert model.expected_s(100_000) == 0.0
    observe_many(model)
    assert abs(model.expected_s(0) - 0.03) < 0.005
    assert abs(model.expected_s(300_000) - 0.33) < 0.03


def test_a_slow_engine_has_a_factor_and_leaves_the_others_alone():
    """One engine of many became four times as slow.

    If its pauses counted for all engines, every engine would look full.
    """
    model, slow = pausemodel.PauseModel(), pausemodel.new_factor()
    observe_many(model)
    observe_many(model, count=100, factor=slow, times=4.0)
    assert slow.value > 2.5
    assert model.expected_s(100_000) < 0.2


def test_pause_of_a_preempted_stream_is_capped():
    model = pausemodel.PauseModel()
    factor = observe_many(model)
    model.observe(100_000, 5.0, factor)
    assert model.expected_s(100_000) < 0.15


def test_stddev_follows_the_pauses():
    model, factor = pausemodel.PauseModel(), pausemodel.new_factor()
    for number in range(2_000):
        model.observe(50_000, 0.1 if number % 2 else 0.06, factor)
    assert 0.01 < model.stddev_s < 0.03
