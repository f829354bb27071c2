"""The pause between a stream's events, by the tokens in an engine's memory.

Load: engines generate for tens of streams at a time, and each step takes
longer the more tokens the streams have in memory. Harm: a stream whose events
come too slowly is late as a whole, and where the memory overflows, streams are
preempted and stand still for as long as reading them again takes. What a
stream would meet at an engine has to be known before it is placed there.
"""

import math

from bulrushgrade import linearfit

FIT_RETENTION = 0.999
"""What is kept of the weight of earlier pauses at each new one: the fit is that
of the last thousand, some seconds of a busy daemon."""

MIN_STDDEV_TOKENS = 2_000.0
"""Standard deviation of the tokens from which on the growing part is fitted;
below it the pauses differ by less than they scatter."""

MAX_PAUSE_FACTOR = 3.0
"""A pause counts as at most this many times the expected one. A longer one is
a stream that was preempted, which says nothing of the length of a step."""

MAX_INITIAL_PAUSE_S = 0.5
"""The same before anything is known."""

VARIANCE_WEIGHT = 0.01
"""Of a pause in the spread: some hundred pauses."""

FACTOR_WEIGHT = 0.05
"""Of a pause in its engine's factor: some twenty pauses, which a few streams
make in half a second."""


class PauseModel:
    """The pauses at all engines of one service."""

    def __init__(self):
        self._fit = linearfit.LinearFit(
            retention=FIT_RETENTION, min_stddev=MIN_STDDEV_TOKENS
        )
        self._variance = 0.0

    def expected_s(self, tokens: float) -> float:
        """Returns the pause at an engine of usual speed; 0 before the first.

        Args:
            tokens: Of all streams in the engine's memory.
        """
        return self._fit.predict(tokens)

    @property
    def stddev_s(self) -> float:
        """Standard deviation of the pauses around what is expected."""
        return math.sqrt(self._variance)

    def observe(
        self, tokens: float, pause_s: float, factor: linearfit.Factor
    ) -> None:
        """Takes in a pause.

        Args:
            tokens: Of all streams in the engine's memory.
            pause_s: The pause.
            factor: The engine's, which learns as well.
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
    """Returns the factor of an engine whose pauses were not seen yet."""
    return linearfit.Factor(rise=FACTOR_WEIGHT, fall=FACTOR_WEIGHT)
