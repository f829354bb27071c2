"""Prefill times of engines, learned from their responses.

Latency and prefill time are estimated separately. The latency is the part of
the response time that doesn't depend on the prompt's length and doesn't occupy
the engine: opening a connection, network latency and the first decode steps.
The rest grows with the tokens to prefill, and for each of them with the number
of tokens before it. If the whole time were attributed to the prompt's length,
an engine that prefills 140 tokens per millisecond would appear to prefill 35,
because prompts of 2,000 tokens take 60 ms more. Queues would look four times as
long as they are, and prompts would be refused and engine roles changed without
need.
"""

import enum

from bulrushgrade import linearfit

INITIAL_TOKENS_PER_S = 40_000.0
"""Assumed prefill speed of an engine that only prefills, before any
observation. Engines of three deployments reach 36,700 to 140,000 tokens per
second."""

INITIAL_WEIGHT_TOKENS = 4_000.0
"""Weight of the assumed speed, in tokens: one long prompt replaces half of
it."""

FIT_RETENTION = 0.95
"""Factor by which the weight of earlier prefills decays with each new one: the
fit covers about the last twenty."""

MIN_STDDEV_TOKENS = 1_000.0
"""Minimum standard deviation of the number of preceding tokens at which their
effect on the time per token is fitted."""

CONTENDED_FACTOR = 2.0
"""A prefill counts as at most this many times its expected time. One that takes
longer was delayed by work that is not known here."""

SLOWER_WEIGHT = 0.1
"""Weight of a prefill that took longer than expected, relative to one that did
not. Unknown work only ever adds to the time: at engines that were busy for four
fifths of the time, prefills that met no known work took half as long again as
their own work. So the estimate follows the lower bound of the observations."""

FACTOR_FALL_WEIGHT = 0.2
FACTOR_RISE_WEIGHT = SLOWER_WEIGHT * FACTOR_FALL_WEIGHT
"""Weights of a prefill in its engine's speed factor: about five fast or fifty
slow prefills change it."""

INITIAL_LATENCY_S = 0.03
"""Assumed latency before any observation; it is between 20 and 70 ms in three
deployments."""

SHORT_TOKENS = 1000
"""Maximum length of prompts from which the latency is learned: an error of a
third in the speed changes their time by only some milliseconds."""

FALL_WEIGHT, RISE_WEIGHT = 0.3, 0.03
"""Weights of a latency below and above the estimate. Unknown work only ever
adds to the latency, so the estimate follows the lower bound of the
observations."""

UNCONTENDED_WAIT_FRACTION = 0.25
"""Maximum expected wait, relative to the rest of the expected time, at which a
prefill is used as a sample. Otherwise the wait for other work would be taken
for the engine's own time."""


class PrefillMode(enum.Enum):
    """How an engine obtains the KV cache of a prompt.

    DISAGGREGATED: It prefills the prompt for another engine. IN_PLACE: It
    prefills the prompt and generates the answer. TAKEN_OVER: It fetches the KV
    cache from the engine that prefilled the prompt.
    """

    DISAGGREGATED = "apart"
    IN_PLACE = "in_place"
    TAKEN_OVER = "taken_over"


class PrefillTimes:
    """Prefill speed and latency common to the engines of a service."""

    def __init__(self):
        # Seconds per token, by the mean number of tokens before each.
        self._fit = linearfit.LinearFit(
            retention=FIT_RETENTION,
            min_stddev=MIN_STDDEV_TOKENS,
            start=1.0 / INITIAL_TOKENS_PER_S,
            start_weight=INITIAL_WEIGHT_TOKENS,
        )
        self._latency_s = dict.fromkeys(PrefillMode, INITIAL_LATENCY_S)

    def prefill_s(self, tokens: int, cached_tokens: int) -> float:
        """Returns the prefill time of an average engine that only prefills.

        Args:
            tokens: Tokens to prefill.
            cached_tokens: Tokens before them that are cached.
        """
        return tokens * self._fit.predict(cached_tokens + tokens / 2)

    def observe_prefill(
        self,
        tokens: int,
        cached_tokens: int,
        seconds: float,
        factor: linearfit.Factor,
    ) -> None:
        """Updates the estimate with a prefill, without wait and latency.

        Args:
            tokens: Tokens that were prefilled.
            cached_tokens: Tokens before them that were cached.
            seconds: Time that an engine that only prefills would have taken.
            factor: The speed factor of the engine, which is updated as well.
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

    def scale(self, factor: float) -> None:
        """Multiplies the prefill time of an average engine by a factor."""
        self._fit.scale(factor)

    def latency_s(self, mode: PrefillMode) -> float:
        """Returns the estimated latency of a mode."""
        return self._latency_s[mode]

    def observe_latency(self, mode: PrefillMode, observed_s: float) -> None:
        """Updates the latency with that of a short prefill."""
        believed_s = self._latency_s[mode]
        weight = FALL_WEIGHT if observed_s < believed_s else RISE_WEIGHT
        self._latency_s[mode] += weight * (max(observed_s, 0.0) - believed_s)


def new_factor() -> linearfit.Factor:
    """Returns the speed factor of an engine without observations."""
    return linearfit.Factor(rise=FACTOR_RISE_WEIGHT, fall=FACTOR_FALL_WEIGHT)
