"""True time from a clock that may be set and one that only runs.

The time of day may be set forward or back for a while. What it is ahead of
the steady clock stays the same otherwise, so the median of what was seen
lately is right as long as a step lasts for less than half of that time.
"""

import collections
import statistics

SAMPLES = 121
"""Differences that are kept; odd, so that the median is one of them."""


class WallClock:
    """What a steady clock has to be put forward by to tell the time."""

    def __init__(self):
        """Makes a clock that was never compared."""
        self._offsets_s: collections.deque[float] = collections.deque(
            maxlen=SAMPLES
        )
        self._median_offset_s = 0.0

    def add_sample(self, time_of_day_s: float, monotonic_s: float) -> None:
        """Takes both clocks as they are at the same moment.

        Args:
            time_of_day_s: Seconds since 1970.
            monotonic_s: Seconds of the steady clock.
        """
        self._offsets_s.append(time_of_day_s - monotonic_s)
        self._median_offset_s = statistics.median_low(self._offsets_s)

    def time_at(self, monotonic_s: float) -> float:
        """Returns the seconds since 1970 at a moment of the steady clock."""
        return monotonic_s + self._median_offset_s
