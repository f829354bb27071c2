"""Tests of how much longer readings take than expected."""

from bulrushgrade import readslowdown


def test_readings_as_expected_stretch_nothing():
    slowdown = readslowdown.ReadSlowdown()
    for number in range(20):
        slowdown.note(0.5, 0.5, 0.1 * number)
        slowdown.note(0.5, 0.1, 0.1 * number)
    assert slowdown.at(2.0) == 1.0


def test_stretch_follows_in_some_readings_and_fades():
    slowdown = readslowdown.ReadSlowdown()
    for number in range(30):
        slowdown.note(0.44, 1.0, 0.1 * number)
    assert 1.6 < slowdown.at(3.0) < 2.0
    assert slowdown.at(3.0 + 4 * readslowdown.FADE_S) < 1.05


def test_one_reading_that_was_stuck_moves_little():
    slowdown = readslowdown.ReadSlowdown()
    slowdown.note(0.1, 60.0, 1.0)
    most = 1.0 + readslowdown.WEIGHT * (readslowdown.MOST - 1.0)
    assert slowdown.at(1.0) <= most
