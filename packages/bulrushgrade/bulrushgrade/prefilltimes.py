"""How long engines take to read prompts, learned from their own answers.

Two figures are kept apart. The latency is the time of a reading that does not
depend on its length and does not keep the engine from the next one: opening a
connection, the way there and back, the steps up to the first event. The rest
grows with the tokens to be read, and for each of them with those before it.
Were the whole time put down to the prompt's length, an engine that reads 140
tokens in a millisecond would be believed to read 35, as prompts of 2,000
tokens take 60 ms more; queues would look four times as long as they are,
prompts be refused and roles changed for nothing.
"""

import enum

from bulrushgrade import linearfit

INITIAL_TOKENS_PER_S = 40_000.0
"""Prompt tokens that an engine which only reads takes in a second, until its
own answers tell; those of three deployments take 36,700 to 140,000."""

INITIAL_WEIGHT_TOKENS = 4_000.0
"""Weight of that figure in tokens read: one long prompt replaces half of it."""

FIT_RETENTION = 0.95
"""What is kept of the weight of earlier readings at each new one: the fit is
that of the last twenty or so."""

MIN_STDDEV_TOKENS = 1_000.0
"""Standard deviation of the tokens before a token from which on their part in
the time is fitted."""

CONTENDED_FACTOR = 2.0
"""A reading counts as at most this many times as slow as was expected. What
takes longer has met work that nobody here knew of."""

SLOWER_WEIGHT = 0.1
"""Of a reading that took longer than expected, against one that did not. Work
that nobody knew of only ever adds to it: at engines that were busy for four
fifths of the time, readings that met no known work took half as long again as
their own work. So the belief follows the lower edge."""

FACTOR_FALL_WEIGHT = 0.2
FACTOR_RISE_WEIGHT = SLOWER_WEIGHT * FACTOR_FALL_WEIGHT
"""Weights of a reading in its engine's factor: five that were fast, or some
fifty that were slow."""

INITIAL_LATENCY_S = 0.03
"""Until answers tell; between 20 and 70 ms in three deployments."""

SHORT_TOKENS = 1000
"""Readings up to this length tell the latency: an error of a third in the
speed changes it by some milliseconds."""

FALL_WEIGHT, RISE_WEIGHT = 0.3, 0.03
"""Weights of a latency below and above the believed one. Work that nobody
knew of only ever adds to it, so the belief follows the lower edge."""

UNCONTENDED_WAIT_FRACTION = 0.25
"""Readings teach where the expected wait was at most this part of the rest;
otherwise what they met would be taken for the engine's own time."""


class PrefillMode(enum.Enum):
    """How an engine comes to have a prompt read.

    DISAGGREGATED reads it for another engine, IN_PLACE reads it where the
    answer is generated, TAKEN_OVER fetches it from an engine that has read it.
    """

    DISAGGREGATED = "apart"
    IN_PLACE = "in_place"
    TAKEN_OVER = "taken_over"


class PrefillTimes:
    """What the engines of one service have in common."""

    def __init__(self):
        # Seconds a token, by the mean number of tokens before each.
        self._fit = linearfit.LinearFit(
            retention=FIT_RETENTION,
            min_stddev=MIN_STDDEV_TOKENS,
            start=1.0 / INITIAL_TOKENS_PER_S,
            start_weight=INITIAL_WEIGHT_TOKENS,
        )
        self._latency_s = dict.fromkeys(PrefillMode, INITIAL_LATENCY_S)

    def prefill_s(self, tokens: int, cached_tokens: int) -> float:
        """Returns how long an engine of usual speed that only reads takes.

        Args:
            tokens: Tokens to be read.
            cached_tokens: Those before them, which it has.
        """
        return tokens * self._fit.predict(cached_tokens + tokens / 2)

    def observe_prefill(
        self,
        tokens: int,
        cached_tokens: int,
        seconds: float,
        factor: linearfit.Factor,
    ) -> None:
        """Takes in a reading without wait and latency.

        Args:
            tokens: Tokens that were read.
            cached_tokens: Those before them.
            seconds: How long an engine that only reads would have taken.
            factor: The engine's, which learns as well.
        """
        expected_s = self.prefill_s(tokens, cached_tokens)
        factor.observe(expected_s, seconds)
        usual_s = seconds / factor.value
        sample_count = 1.0
        if usual_s > expected_s:
            sample_count = SLOWER_WEIGHT
            usual_s = min(usual_s, CONTENDED_FACTOR * expected_s)
        mean_before = cached_tokens + tokens / 2
        self._fit.observe(
            mean_before,
            usual_s / tokens,
            weight=sample_count * tokens,
            sample_count=sample_count,
        )

    def latency_s(self, mode: PrefillMode) -> float:
        """Returns the latency of a reading."""
        return self._latency_s[mode]

    def observe_latency(self, mode: PrefillMode, observed_s: float) -> None:
        """Takes in the latency of a short reading."""
        believed_s = self._latency_s[mode]
        weight = FALL_WEIGHT if observed_s < believed_s else RISE_WEIGHT
        self._latency_s[mode] += weight * (max(observed_s, 0.0) - believed_s)


def new_factor() -> linearfit.Factor:
    """Returns the factor of an engine whose readings were not seen yet."""
    return linearfit.Factor(rise=FACTOR_RISE_WEIGHT, fall=FACTOR_FALL_WEIGHT)
