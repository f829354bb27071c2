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

START_TOKENS_PER_S = 40_000.0
"""Prompt tokens that an engine which only reads takes in a second, until its
own answers tell; those of three deployments take 36,700 to 140,000."""

START_TOKENS = 4_000.0
"""Weight of that figure in tokens read: one long prompt replaces half of it."""

KEPT = 0.95
"""What is kept of the weight of earlier readings at each new one: the fit is
that of the last twenty or so."""

LEAST_SPREAD_TOKENS = 1_000.0
"""Standard deviation of the tokens before a token from which on their part in
the time is fitted."""

CONTENDED_TIMES = 2.0
"""A reading counts as at most this many times as slow as was expected. What
takes longer has met work that nobody here knew of."""

SLOWER_WEIGHT = 0.1
"""Of a reading that took longer than expected, against one that did not. Work
that nobody knew of only ever adds to it: at engines that were busy for four
fifths of the time, readings that met no known work took half as long again as
their own work. So the belief follows the lower edge."""

FACTOR_FALL = 0.2
FACTOR_RISE = SLOWER_WEIGHT * FACTOR_FALL
"""Weights of a reading in its engine's factor: five that were fast, or some
fifty that were slow."""

START_LATENCY_S = 0.03
"""Until answers tell; between 20 and 70 ms in three deployments."""

SHORT_TOKENS = 1000
"""Readings up to this length tell the latency: an error of a third in the
speed changes it by some milliseconds."""

FALL, RISE = 0.3, 0.03
"""Weights of a latency below and above the believed one. Work that nobody
knew of only ever adds to it, so the belief follows the lower edge."""

CALM_SHARE = 0.25
"""Readings teach where the expected wait was at most this part of the rest;
otherwise what they met would be taken for the engine's own time."""


class Way(enum.Enum):
    """How an engine comes to have a prompt read.

    APART reads it for another engine, IN_PLACE reads it where the answer is
    generated, TAKEN_OVER fetches it from an engine that has read it.
    """

    APART = "apart"
    IN_PLACE = "in_place"
    TAKEN_OVER = "taken_over"


class ReadTimes:
    """What the engines of one service have in common."""

    def __init__(self):
        # Seconds a token, by the mean number of tokens before each.
        self._fit = linearfit.LinearFit(
            kept=KEPT,
            least_spread=LEAST_SPREAD_TOKENS,
            start=1.0 / START_TOKENS_PER_S,
            start_weight=START_TOKENS,
        )
        self._latency_s = dict.fromkeys(Way, START_LATENCY_S)

    def read_s(self, tokens: int, cached_tokens: int) -> float:
        """Returns how long an engine of usual speed that only reads takes.

        Args:
            tokens: Tokens to be read.
            cached_tokens: Those before them, which it has.
        """
        return tokens * self._fit.at(cached_tokens + tokens / 2)

    def note_read(
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
        expected_s = self.read_s(tokens, cached_tokens)
        factor.note(expected_s, seconds)
        usual_s = seconds / factor.value
        counts = 1.0
        if usual_s > expected_s:
            counts = SLOWER_WEIGHT
            usual_s = min(usual_s, CONTENDED_TIMES * expected_s)
        mean_before = cached_tokens + tokens / 2
        self._fit.note(
            mean_before, usual_s / tokens, weight=counts * tokens, counts=counts
        )

    def latency_s(self, way: Way) -> float:
        """Returns the latency of a reading."""
        return self._latency_s[way]

    def note_latency(self, way: Way, seen_s: float) -> None:
        """Takes in the latency of a short reading."""
        believed_s = self._latency_s[way]
        weight = FALL if seen_s < believed_s else RISE
        self._latency_s[way] += weight * (max(seen_s, 0.0) - believed_s)


def new_factor() -> linearfit.Factor:
    """Returns the factor of an engine whose readings were not seen yet."""
    return linearfit.Factor(rise=FACTOR_RISE, fall=FACTOR_FALL)
