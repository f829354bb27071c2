"""Excess of prefill times over what is expected from the known queues.

When more prompts arrive than the engines can prefill, their memories overflow,
cached parts that were expected are gone and have to be prefilled again, and
prompts wait longer than the sum of the known queues. Without a correction,
prompts are admitted that miss their deadline, and the work spent on their
prefill is lost.

The excess is added to the expected time, not multiplied with it: the unknown
part of a queue is recent work of other daemons, which doesn't depend on the
length of the known part.
"""

import math

SAMPLE_WEIGHT = 0.1
"""Weight of one prefill in the mean: it covers about ten prefills, or about a
second of a busy host."""

DECAY_S = 3.0
"""Time constant with which the delay decays without observations. A burst is
over by then."""

MAX_FACTOR = 2.0
"""Maximum excess of one prefill, relative to its expected time. An engine that
failed says nothing about the queues of the others."""


class PrefillDelay:
    """Mean of observed minus expected prefill times; never negative."""

    def __init__(self):
        self._seconds = 0.0
        self._observed_at = 0.0

    def observe(self, expected_s: float, took_s: float, now: float) -> None:
        """Updates the mean with one prefill.

        Args:
            expected_s: Expected time, including wait and latency.
            took_s: Observed time.
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
