"""Wall-clock time that tolerates temporary steps of the system clock.

The system clock may be set forward or back for a while. Otherwise its offset
from the monotonic clock is constant, so the median of recent offsets is right
as long as a step lasts for less than half of the sampled period.
"""

import collections
import statistics

SAMPLES = 121
"""Number of offsets kept; odd, so that the median is one of them."""


class WallClock:
    """Converts readings of the monotonic clock to wall-clock time."""

    def __init__(self):
        """Creates a clock without samples, whose offset is 0."""
        self._offsets_s: collections.deque[float] = collections.deque(
            maxlen=SAMPLES
        )
        self._median_offset_s = 0.0

    def add_sample(self, time_of_day_s: float, monotonic_s: float) -> None:
        """Adds a sample of both clocks, read at the same moment.

        Args:
            time_of_day_s: The system clock, in seconds since 1970.
            monotonic_s: The monotonic clock, in seconds.
        """
        self._offsets_s.append(time_of_day_s - monotonic_s)
        self._median_offset_s = statistics.median_low(self._offsets_s)

    def time_at(self, monotonic_s: float) -> float:
        """Returns a reading of the monotonic clock as seconds since 1970."""
        return monotonic_s + self._median_offset_s
