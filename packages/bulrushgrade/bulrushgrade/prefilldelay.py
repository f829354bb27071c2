"""How much longer readings take than what is known of queues tells.

Load: more prompts than the engines can read. Harm: their memories overflow,
parts are read again that were expected to be there, and queues last longer
than the sum of what is known of them. Prompts are let in that end at their
deadline, and what was read for them is lost.

It is added to what is expected, not multiplied with it: what is not known of a
queue is work of others of the last moment, however long the known queue is.
"""

import math

SAMPLE_WEIGHT = 0.1
"""Of each reading in the observed delay: some ten readings, about a second of
a busy host."""

DECAY_S = 3.0
"""In which it loses two thirds, where nothing is read: a burst is over by
then."""

MAX_FACTOR = 2.0
"""Of the expected time that one reading adds at most. An engine that was lost
is no measure of the others' queues."""


class PrefillDelay:
    """Observed less expected time of recent readings, 0 or more."""

    def __init__(self):
        self._seconds = 0.0
        self._observed_at = 0.0

    def observe(self, expected_s: float, took_s: float, now: float) -> None:
        """Takes in a reading.

        Args:
            expected_s: How long it was expected to take, with its wait and
                latency.
            took_s: How long it took.
            now: The present time in seconds.
        """
        excess_s = min(max(took_s - expected_s, 0.0), MAX_FACTOR * expected_s)
        decayed_s = self.at(now)
        self._seconds = decayed_s + SAMPLE_WEIGHT * (excess_s - decayed_s)
        self._observed_at = now

    def at(self, now: float) -> float:
        """Returns the delay at a time, in seconds."""
        age_s = now - self._observed_at
        return self._seconds * math.exp(-age_s / DECAY_S)
