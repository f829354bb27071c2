"""A cost model that is learned from completed work.

Two straight lines a model: seconds to the first token against prompt tokens
that are read before it, and seconds between tokens against the requests that
run at once. They are kept as decayed sums, so that learning and predicting
take constant time.
"""

import attrs

from bulrushgrade import work

DECAY_SAMPLES = 300.0
"""Completions that a line remembers: a few minutes of a busy host, so that a
new model version is learned within one shift of the mix."""

SLOW_SAMPLE_WEIGHT = 0.03
CLIP_FACTOR = 2.0
"""How samples above the line are taken by `LinearFit.learn_clipped`."""

PLANNING_BATCH = 32
"""Requests that share a decode step on an engine that is well used: a half
of its slots, at which chats still get their tokens in time."""

TYPICAL_BATCH = 16
"""Requests that are assumed to share a decode step when work is priced."""

DEFAULT_PLAIN_S = 0.05
"""First guess of a plain service's time to answer."""


@attrs.define(kw_only=True)
class LinearFit:
    """A least-squares line over decayed samples, held by a weak prior.

    The prior counts as two samples that never decay: without it a run of
    equal `x` (all chats, no readings) leaves the slope undefined, and the
    first long reading after it would be predicted with nonsense.

    Attributes:
        intercept: Prior value at x = 0.
        slope: Prior slope.
        span: The x at which the second prior sample stands.
    """

    intercept: float
    slope: float
    span: float
    _count: float = 0.0
    _x: float = 0.0
    _y: float = 0.0
    _xx: float = 0.0
    _xy: float = 0.0
    _line: tuple[float, float] | None = None

    def learn(self, x: float, y: float, weight: float = 1.0) -> None:
        """Takes in one sample, a light one also forgetting less."""
        decay = 1.0 - weight / DECAY_SAMPLES
        self._count = self._count * decay + weight
        self._x = self._x * decay + weight * x
        self._y = self._y * decay + weight * y
        self._xx = self._xx * decay + weight * x * x
        self._xy = self._xy * decay + weight * x * y
        self._line = None

    def learn_clipped(self, x: float, y: float) -> None:
        """Takes in a sample that may have waited for what was not seen.

        What lies above the line counts little and is cut off at twice the
        line: the line then follows the quick samples (an expectile), which
        met least that other hosts had placed and not told of yet.
        """
        ceiling = CLIP_FACTOR * self.predict(x)
        weight = 1.0 if y <= self.predict(x) else SLOW_SAMPLE_WEIGHT
        self.learn(x, min(y, ceiling), weight)

    def line(self) -> tuple[float, float]:
        """Returns the intercept and slope; the slope is above zero."""
        if self._line is None:
            self._line = self._solve()
        return self._line

    def predict(self, x: float) -> float:
        """Returns the predicted value at x."""
        intercept, slope = self.line()
        return intercept + slope * x

    def _solve(self) -> tuple[float, float]:
        prior_y = self.intercept + self.slope * self.span
        count = self._count + 2.0
        x = self._x + self.span
        y = self._y + self.intercept + prior_y
        xx = self._xx + self.span * self.span
        xy = self._xy + self.span * prior_y
        slope = (count * xy - x * y) / (count * xx - x * x)
        slope = max(slope, 0.0)
        return max((y - slope * x) / count, 0.0), max(slope, 1e-9)


@attrs.define(kw_only=True)
class CostModel:
    """Predicts the times of one model's work, or of one plain service's.

    Attributes:
        first: Seconds to the first token against tokens read before it.
        step: Seconds between tokens against requests running at once.
        plain_s: Mean seconds of a plain service's answer.
    """

    first: LinearFit = attrs.field(
        factory=lambda: LinearFit(intercept=0.05, slope=1.5e-4, span=8000.0)
    )
    step: LinearFit = attrs.field(
        factory=lambda: LinearFit(intercept=0.02, slope=4e-4, span=32.0)
    )
    plain_s: float = DEFAULT_PLAIN_S

    def prefill_s(self, tokens: float) -> float:
        """Returns the seconds that an engine reads these tokens for."""
        return self.first.line()[1] * tokens

    def first_token_s(self, tokens: float) -> float:
        """Returns the seconds to the first token behind these tokens."""
        return self.first.predict(tokens)

    def step_s(self, running: float) -> float:
        """Returns the seconds between tokens at this many requests."""
        return self.step.predict(running)

    def engine_s(self, prefill_tokens: float, output_tokens: float) -> float:
        """Prices work in seconds of one engine's time."""
        decode_s = self.step_s(TYPICAL_BATCH) / TYPICAL_BATCH
        return self.prefill_s(prefill_tokens) + output_tokens * decode_s

    def kv_token_s(self, item: work.Work) -> float:
        """Returns the KV memory of an answer times how long it holds it."""
        held_s = item.output_tokens * self.step_s(PLANNING_BATCH)
        return (item.prompt_tokens + item.output_tokens) * held_s

    def price_s(
        self, item: work.Work, uncached_tokens: float, tokens_done: int
    ) -> float:
        """Prices a request in seconds of one endpoint's time."""
        if not item.model:
            return self.plain_s
        answer = max(0, item.output_tokens - tokens_done)
        return self.engine_s(uncached_tokens, answer)

    def dump(self) -> dict[str, float]:
        """Returns what was learned, for a person."""
        return {
            "first_token_s": round(self.first.line()[0], 4),
            "prefill_s_per_ktoken": round(self.first.line()[1] * 1e3, 4),
            "step_s": round(self.step.line()[0], 4),
            "step_s_per_request": round(self.step.line()[1], 5),
            "plain_s": round(self.plain_s, 4),
        }

    def learn_plain(self, seconds: float) -> None:
        """Takes in a plain service's time to answer."""
        self.plain_s += 0.05 * (seconds - self.plain_s)
