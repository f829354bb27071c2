"""Tests of telling the time by a clock that may be set."""

from hypothesis import given
from hypothesis import strategies as st

from bulrushgrade import wallclock

STARTED_S = 1_700_000_000.0


def note(clock, seconds, ahead_s, step_s=0.0):
    for second in seconds:
        clock.add_sample(STARTED_S + second + ahead_s + step_s, float(second))


def test_time_goes_by_the_steady_clock():
    clock = wallclock.WallClock()
    note(clock, range(5), ahead_s=0.02)
    assert abs(clock.time_at(4.5) - (STARTED_S + 4.52)) < 1e-6


@given(
    step_s=st.floats(-3600, 3600),
    begins=st.integers(wallclock.SAMPLES // 2 + 1, 200),
    lasts=st.integers(1, wallclock.SAMPLES // 2),
)
def test_clock_that_is_set_for_a_while_changes_nothing(step_s, begins, lasts):
    """Guards against requests counted in windows that have long passed."""
    clock = wallclock.WallClock()
    note(clock, range(begins), ahead_s=0.0)
    for second in range(begins, begins + lasts):
        note(clock, [second], ahead_s=0.0, step_s=step_s)
        assert abs(clock.time_at(second) - (STARTED_S + second)) < 1e-3


def test_clock_that_stays_set_is_followed():
    clock = wallclock.WallClock()
    note(clock, range(wallclock.SAMPLES), ahead_s=0.0)
    end = 2 * wallclock.SAMPLES
    note(clock, range(wallclock.SAMPLES, end), ahead_s=0.0, step_s=30.0)
    assert abs(clock.time_at(end) - (STARTED_S + end + 30.0)) < 1e-3
