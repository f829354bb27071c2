"""Tests of the excess of prefill times over the expected ones."""

from bulrushgrade import prefilldelay


def test_prefills_as_expected_add_no_delay():
    delay = prefilldelay.PrefillDelay()
    for number in range(20):
        delay.observe(0.5, 0.5, 0.1 * number)
        delay.observe(0.5, 0.1, 0.1 * number)
    assert delay.at(2.0) == 0.0


def test_delay_follows_observations_and_decays():
    delay = prefilldelay.PrefillDelay()
    for number in range(30):
        delay.observe(0.5, 1.0, 0.1 * number)
    assert 0.35 < delay.at(3.0) < 0.5
    assert delay.at(3.0 + 4 * prefilldelay.DECAY_S) < 0.02


def test_single_outlier_changes_delay_little():
    delay = prefilldelay.PrefillDelay()
    delay.observe(0.1, 60.0, 1.0)
    assert (
        delay.at(1.0)
        <= prefilldelay.SAMPLE_WEIGHT * prefilldelay.MAX_FACTOR * 0.1
    )


def test_delay_does_not_scale_with_queue_length():
    """Short prefills meet 50 ms of work that this daemon doesn't know of.

    As a ratio, the delay would turn a known queue of half a second into one of
    two seconds, and prompts would be refused that are answered in time.
    """
    delay = prefilldelay.PrefillDelay()
    for number in range(30):
        delay.observe(0.05, 0.1, 0.1 * number)
    assert delay.at(3.0) <= 0.05
