"""Tests of how much longer readings take than expected."""

from bulrushgrade import readdelay


def test_readings_as_expected_add_nothing():
    delay = readdelay.ReadDelay()
    for number in range(20):
        delay.note(0.5, 0.5, 0.1 * number)
        delay.note(0.5, 0.1, 0.1 * number)
    assert delay.at(2.0) == 0.0


def test_delay_follows_in_some_readings_and_fades():
    delay = readdelay.ReadDelay()
    for number in range(30):
        delay.note(0.5, 1.0, 0.1 * number)
    assert 0.35 < delay.at(3.0) < 0.5
    assert delay.at(3.0 + 4 * readdelay.FADE_S) < 0.02


def test_one_reading_that_was_stuck_moves_little():
    delay = readdelay.ReadDelay()
    delay.note(0.1, 60.0, 1.0)
    assert delay.at(1.0) <= readdelay.WEIGHT * readdelay.MOST * 0.1


def test_a_long_queue_is_not_stretched():
    """Short readings meet 50 ms of work that nobody here knows of.

    As a ratio that would turn a known queue of half a second into one of two
    seconds, and refuse prompts that are answered in time.
    """
    delay = readdelay.ReadDelay()
    for number in range(30):
        delay.note(0.05, 0.1, 0.1 * number)
    assert delay.at(3.0) <= 0.05
