"""A cost model that is learned from completed work.

It has two lines for each model: seconds to the first token against the prompt
tokens prefilled before it, and seconds between tokens against the number of
concurrent requests. They are kept as exponentially decayed sums, so that
learning and predicting take constant time.
"""

import attrs

from bulrushgrade import work

DECAY_SAMPLES = 300.0
"""Time constant of the decay, in samples: a few minutes of a busy host, so that
a new model version is learned within one change of the traffic mix."""

SLOW_SAMPLE_WEIGHT = 0.03
CLIP_FACTOR = 2.0
"""Weight and upper bound of slow samples in `LinearFit.learn_clipped`."""

PLANNING_BATCH = 32
"""Requests per decode step on a well used engine: half of its slots, at which
chats still get their tokens in time."""

TYPICAL_BATCH = 16
"""Assumed number of requests per decode step when work is priced."""

DEFAULT_PLAIN_S = 0.05
"""Initial estimate of a plain service's response time."""


@attrs.define(kw_only=True)
class LinearFit:
    """A least-squares line over decayed samples with a weak prior.

    The prior counts as two samples that never decay. Without it a series of
    equal `x`, such as chats only, leaves the slope undefined, and the
    prediction for the first long prefill after it would be meaningless.

    Attributes:
        intercept: Prior value at x = 0.
        slope: Prior slope.
        span: The x of the second prior sample; the first is at 0.
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
        """Adds a sample; one of low weight decays the others less."""
        decay = 1.0 - weight / DECAY_SAMPLES
        self._count = self._count * decay + weight
        self._x = self._x * decay + weight * x
        self._y = self._y * decay + weight * y
        self._xx = self._xx * decay + weight * x * x
        self._xy = self._xy * decay + weight * x * y
        self._line = None

    def learn_clipped(self, x: float, y: float) -> None:
        """Adds a sample that may include a wait for work of other hosts.

        A sample above the line has a low weight and is clipped at `CLIP_FACTOR`
        times the line. The line then follows the fast samples (an expectile),
        which include the least work that other hosts had placed and not
        announced yet.
        """
        ceiling = CLIP_FACTOR * self.predict(x)
        weight = 1.0 if y <= self.predict(x) else SLOW_SAMPLE_WEIGHT
        self.learn(x, min(y, ceiling), weight)

    def line(self) -> tuple[float, float]:
        """Returns the intercept and the slope, which is above zero."""
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
    """Predicts the times of one model, or of one plain service.

    Attributes:
        first: Seconds to the first token against tokens prefilled before it.
        step: Seconds between tokens against concurrent requests.
        plain_s: Mean response time of a plain service in seconds.
    """

    first: LinearFit = attrs.field(
        factory=lambda: LinearFit(intercept=0.05, slope=1.5e-4, span=8000.0)
    )
    step: LinearFit = attrs.field(
        factory=lambda: LinearFit(intercept=0.02, slope=4e-4, span=32.0)
    )
    plain_s: float = DEFAULT_PLAIN_S

    def prefill_s(self, tokens: float) -> float:
        """Returns the seconds that the prefill of these tokens takes."""
        return self.first.line()[1] * tokens

    def first_token_s(self, tokens: float) -> float:
        """Returns the seconds to the first token after these tokens."""
        return self.first.predict(tokens)

    def step_s(self, running: float) -> float:
        """Returns the seconds between tokens for this many requests."""
        return self.step.predict(running)

    def engine_s(self, prefill_tokens: float, output_tokens: float) -> float:
        """Returns the price of work in seconds of one engine's time."""
        decode_s = self.step_s(TYPICAL_BATCH) / TYPICAL_BATCH
        return self.prefill_s(prefill_tokens) + output_tokens * decode_s

    def kv_token_s(self, item: work.Work) -> float:
        """Returns an answer's KV cache tokens times its duration."""
        held_s = item.output_tokens * self.step_s(PLANNING_BATCH)
        return (item.prompt_tokens + item.output_tokens) * held_s

    def price_s(
        self, item: work.Work, uncached_tokens: float, tokens_done: int
    ) -> float:
        """Returns the price of a request in seconds of one endpoint's time."""
        if not item.model:
            return self.plain_s
        answer = max(0, item.output_tokens - tokens_done)
        return self.engine_s(uncached_tokens, answer)

    def dump(self) -> dict[str, float]:
        """Returns the learned parameters, for diagnosis."""
        return {
            "first_token_s": round(self.first.line()[0], 4),
            "prefill_s_per_ktoken": round(self.first.line()[1] * 1e3, 4),
            "step_s": round(self.step.line()[0], 4),
            "step_s_per_request": round(self.step.line()[1], 5),
            "plain_s": round(self.plain_s, 4),
        }

    def learn_plain(self, seconds: float) -> None:
        """Adds a response time of a plain service."""
        self.plain_s += 0.05 * (seconds - self.plain_s)
