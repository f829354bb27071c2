"""Model of the pause between events by the tokens in an engine's memory.

Engines generate tens of streams at a time, and each decode step takes longer
the more tokens the streams have in memory. A stream whose events come too
slowly is late as a whole. If the memory overflows, streams are preempted and
stall until their tokens have been prefilled again. So the pause that a stream
would have at an engine has to be estimated before it is placed there.
"""

import math

from bulrushgrade import linearfit

FIT_RETENTION = 0.999
"""Factor by which the weight of earlier pauses decays with each new one: the
fit covers about the last thousand, which are some seconds of a busy daemon."""

MIN_STDDEV_TOKENS = 2_000.0
"""Minimum standard deviation of the tokens at which the slope is fitted. Below
it the effect of the tokens is smaller than the variation of single pauses."""

MAX_PAUSE_FACTOR = 3.0
"""A pause counts as at most this many times its expected value. A longer one is
due to a preemption, which says nothing about the duration of a decode step."""

MAX_INITIAL_PAUSE_S = 0.5
"""Longest pause that counts in full before there is an expected value."""

VARIANCE_WEIGHT = 0.01
"""Weight of one pause in the variance: it covers about a hundred pauses."""

FACTOR_WEIGHT = 0.05
"""Weight of one pause in its engine's factor: it covers about twenty pauses,
which a few streams produce in half a second."""


class PauseModel:
    """The pauses at all engines of one service."""

    def __init__(self):
        self._fit = linearfit.LinearFit(
            retention=FIT_RETENTION, min_stddev=MIN_STDDEV_TOKENS
        )
        self._variance = 0.0

    def expected_s(self, tokens: float) -> float:
        """Returns the expected pause at an average engine; 0 if unknown.

        Args:
            tokens: Tokens of all streams in the engine's memory.
        """
        return self._fit.predict(tokens)

    @property
    def stddev_s(self) -> float:
        """Standard deviation of the pauses around their expected value."""
        return math.sqrt(self._variance)

    def observe(
        self, tokens: float, pause_s: float, factor: linearfit.Factor
    ) -> None:
        """Updates the model with a pause.

        Args:
            tokens: Tokens of all streams in the engine's memory.
            pause_s: The observed pause.
            factor: The factor of the engine, which is updated as well.
        """
        expected_s = self._fit.predict(tokens)
        factor.observe(expected_s, pause_s)
        longest_s = MAX_PAUSE_FACTOR * expected_s or MAX_INITIAL_PAUSE_S
        usual_s = min(pause_s / factor.value, longest_s)
        if expected_s:
            square = (usual_s - expected_s) ** 2
            self._variance += VARIANCE_WEIGHT * (square - self._variance)
        self._fit.observe(tokens, usual_s)


def new_factor() -> linearfit.Factor:
    """Returns the factor of an engine without observations."""
    return linearfit.Factor(rise=FACTOR_WEIGHT, fall=FACTOR_WEIGHT)
