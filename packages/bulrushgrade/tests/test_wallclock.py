"""Tests of wall-clock time under steps of the system clock."""

from hypothesis import given
from hypothesis import strategies as st

from bulrushgrade import wallclock

STARTED_S = 1_700_000_000.0


def add_samples(clock, seconds, offset_s, step_s=0.0):
    for second in seconds:
        clock.add_sample(STARTED_S + second + offset_s + step_s, float(second))


def test_time_follows_the_monotonic_clock():
    clock = wallclock.WallClock()
    add_samples(clock, range(5), offset_s=0.02)
    assert abs(clock.time_at(4.5) - (STARTED_S + 4.52)) < 1e-6


@given(
    step_s=st.floats(-3600, 3600),
    begins=st.integers(wallclock.SAMPLES // 2 + 1, 200),
    lasts=st.integers(1, wallclock.SAMPLES // 2),
)
def test_temporary_step_of_the_clock_is_ignored(step_s, begins, lasts):
    """Guards against usage being counted in windows long past."""
    clock = wallclock.WallClock()
    add_samples(clock, range(begins), offset_s=0.0)
    for second in range(begins, begins + lasts):
        add_samples(clock, [second], offset_s=0.0, step_s=step_s)
        assert abs(clock.time_at(second) - (STARTED_S + second)) < 1e-3


def test_permanent_step_of_the_clock_is_followed():
    clock = wallclock.WallClock()
    add_samples(clock, range(wallclock.SAMPLES), offset_s=0.0)
    end = 2 * wallclock.SAMPLES
    add_samples(clock, range(wallclock.SAMPLES, end), offset_s=0.0, step_s=30.0)
    assert abs(clock.time_at(end) - (STARTED_S + end + 30.0)) < 1e-3
