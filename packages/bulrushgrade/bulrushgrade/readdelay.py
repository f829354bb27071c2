"""How much longer readings take than what is known of queues tells.

Load: more prompts than the engines can read. Harm: their memories overflow,
parts are read again that were expected to be there, and queues last longer
than the sum of what is known of them. Prompts are let in that end at their
deadline, and what was read for them is lost.

It is added to what is expected, not multiplied with it: what is not known of a
queue is work of others of the last moment, however long the known queue is.
"""

import math

WEIGHT = 0.1
"""Of each reading in the observed delay: some ten readings, about a second of
a busy host."""

FADE_S = 3.0
"""In which it loses two thirds, where nothing is read: a burst is over by
then."""

MOST = 2.0
"""Of the expected time that one reading adds at most. An engine that was lost
is no measure of the others' queues."""


class ReadDelay:
    """Observed less expected time of recent readings, 0 or more."""

    def __init__(self):
        self._seconds = 0.0
        self._noted_at = 0.0

    def note(self, expected_s: float, took_s: float, now: float) -> None:
        """Takes in a reading.

        Args:
            expected_s: How long it was expected to take, with its wait and
                latency.
            took_s: How long it took.
            now: The present time in seconds.
        """
        seen_s = min(max(took_s - expected_s, 0.0), MOST * expected_s)
        faded_s = self.at(now)
        self._seconds = faded_s + WEIGHT * (seen_s - faded_s)
        self._noted_at = now

    def at(self, now: float) -> float:
        """Returns the delay at a time, in seconds."""
        age_s = now - self._noted_at
        return self._seconds * math.exp(-age_s / FADE_S)
