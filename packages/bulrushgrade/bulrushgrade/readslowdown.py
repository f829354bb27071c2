"""How much longer readings take than what is known of queues tells.

Load: more prompts than the engines can read. Harm: their memories overflow,
parts are read again that were expected to be there, and queues last longer
than the sum of what is known of them. Prompts are let in that end at their
deadline, and what was read for them is lost. In a fleet of 60 hosts, 149 of
2,240 long prompts were cut in a burst, and 96 with waits scaled by it.
"""

import math

WEIGHT = 0.1
"""Of each reading in the observed slowdown: some ten readings, about a second
of a busy host."""

FADE_S = 3.0
"""In which it loses two thirds of what is above one, where nothing is read: a
burst is over by then."""

LEAST_EXPECTED_S = 0.02
"""Shorter readings are measured against this: some milliseconds of jitter say
nothing of queues."""

MOST = 3.0
"""An engine that was lost is no measure of the others' queues."""


class ReadSlowdown:
    """Observed to expected time of recent readings, 1 or more."""

    def __init__(self):
        self._value = 1.0
        self._noted_at = 0.0

    def note(self, expected_s: float, took_s: float, now: float) -> None:
        """Takes in a reading.

        Args:
            expected_s: How long it was expected to take, with its wait and
                latency.
            took_s: How long it took.
            now: The present time in seconds.
        """
        seen = min(max(took_s / max(expected_s, LEAST_EXPECTED_S), 1.0), MOST)
        faded = self.at(now)
        self._value = faded + WEIGHT * (seen - faded)
        self._noted_at = now

    def at(self, now: float) -> float:
        """Returns the slowdown at a time."""
        age_s = now - self._noted_at
        return 1.0 + (self._value - 1.0) * math.exp(-age_s / FADE_S)
