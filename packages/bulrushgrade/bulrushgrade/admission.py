"""Whether work can still be in time, and if not, when it could be.

Load: more work than the fleet can finish by its deadlines. Harm: accepted
work that ends late has used the time of work that would have been in time,
so that a fleet at twice its load delivers nothing. What can't be in time is
refused at once, while its caller can still do something else.
"""

from collections.abc import Callable
import math
import random

import attrs

from bulrushgrade import cost
from bulrushgrade import lane
from bulrushgrade import work

DEADLINE_FRACTION = 1.0
"""Part of the time to its deadline that work may be predicted to take."""

MIN_RETRY_AFTER_S = 0.5
"""Sooner than this nothing will have changed at the hosts."""

MAX_RETRY_AFTER_S = 60.0
"""A prediction further out than this says nothing any more."""

RATE_WINDOW_S = 4.0
"""Time constant of the drain rate: long enough to hold a few long readings,
short enough to follow a lost engine within its callers' patience."""

PRIOR_WEIGHT_S = 1.0
"""Seconds of a queue's life that the expected rate counts for."""


LatenessPredictor = Callable[[lane.QueuedWork, float, float], float]
"""Returns by how much work with a predicted wait would be late by now."""

WAIT_WEIGHT = 0.7
"""Part of a predicted wait that refuses work. Predicted waits err to the long
side, as other services leave part of their turns unused; work that was let in
wrongly is still refused unrun, at its latest start, which harms its caller
less than a refusal beside engines that could have served it."""

NO_ENDPOINT_RETRY_S = 2.0
"""When to come back while no endpoint is in service: about a role change."""

QUEUE_FULL_RETRY_S = 1.0
"""When to come back to a full queue: a few of its requests later."""

_RETRY_S = {
    work.RefusalCode.QUEUE_FULL: QUEUE_FULL_RETRY_S,
    work.RefusalCode.NO_ENDPOINT: NO_ENDPOINT_RETRY_S,
    work.RefusalCode.RETRY_BUDGET: NO_ENDPOINT_RETRY_S,
    work.RefusalCode.NOT_REPEATABLE: NO_ENDPOINT_RETRY_S,
}

_REASONS = {
    work.RefusalCode.OVERLOADED: "it would not be done by its deadline",
    work.RefusalCode.QUEUE_FULL: "the service's queue is full",
    work.RefusalCode.LATE: "it waited and can't be in time any more",
    work.RefusalCode.NO_ENDPOINT: "no endpoint is in service",
    work.RefusalCode.UNKNOWN_SERVICE: "no document names this service",
    work.RefusalCode.RETRY_BUDGET: "the retry budget is used up",
    work.RefusalCode.NOT_REPEATABLE: "it may have run and can't be repeated",
}


@attrs.define(kw_only=True)
class DrainRate:
    """Engine seconds that a queue gets placed in a second, while it has work.

    Time without work waiting does not count: a rate over all time is that of
    the callers, so that a queue after a quiet minute would look slow, and
    work would be refused that is in time.
    """

    _placed_s: float = 0.0
    _busy_s: float = 0.0
    _at: float = 0.0
    _busy: bool = False

    def note(self, *, busy: bool, now: float, placed_s: float = 0.0) -> None:
        """Takes in whether work waits from now on, and what was placed."""
        elapsed = max(0.0, now - self._at) if self._busy else 0.0
        keep = math.exp(-elapsed / RATE_WINDOW_S)
        self._busy_s = self._busy_s * keep + elapsed
        self._placed_s *= keep
        if self._busy:
            self._placed_s += placed_s
        self._at, self._busy = now, busy

    def rate(self, expected: float, now: float) -> float:
        """Returns the rate, drawn to `expected` while little was seen."""
        self.note(busy=self._busy, now=now)
        placed_s_with_prior = self._placed_s + expected * PRIOR_WEIGHT_S
        return placed_s_with_prior / (self._busy_s + PRIOR_WEIGHT_S)


def latest_start(
    item: work.Work,
    model: cost.CostModel,
    uncached_tokens: float,
    tokens_done: int = 0,
    step_ratio: float = 1.0,
) -> float:
    """Returns when work has to be placed, on an idle engine, to be in time.

    Args:
        item: The work.
        model: What its endpoints cost.
        uncached_tokens: Prompt tokens that are still to be read.
        tokens_done: Tokens of the answer that the caller already has.
        step_ratio: Observed to predicted time between tokens, at the engine
            that is quickest now.
    """
    if not item.model:
        return item.deadline - model.plain_s
    first_s = model.first_token_s(uncached_tokens)
    left = max(0, item.output_tokens - tokens_done)
    answer_s = left * model.step_s(cost.TYPICAL_BATCH) * step_ratio
    start = item.deadline - (first_s + answer_s) / DEADLINE_FRACTION
    if item.first_token_deadline is not None:
        start = min(
            start, item.first_token_deadline - first_s / DEADLINE_FRACTION
        )
    return start


def lateness_s(
    item: work.Work, first_token_s: float, finish_s: float, now: float
) -> float:
    """Returns by how much predicted times miss the work's deadlines.

    Args:
        item: The work.
        first_token_s: Predicted seconds until the first token.
        finish_s: Predicted seconds until the end of the answer.
        now: The present time.

    Returns:
        Seconds, zero or less when it will be in time.
    """
    late = finish_s / DEADLINE_FRACTION - (item.deadline - now)
    if item.first_token_deadline is not None:
        first_late = first_token_s / DEADLINE_FRACTION - (
            item.first_token_deadline - now
        )
        late = max(late, first_late)
    return late


def retry_after_s(late_s: float, rng: random.Random) -> float:
    """Returns when refused work should come back.

    By how much it missed is how long the queue needs to drain until the same
    work fits. The spread above it keeps callers that were refused together
    from coming back together; none is told a time before it could fit.

    Args:
        late_s: By how much it would have missed its deadline.
        rng: Source of the spread.
    """
    wait = max(late_s, MIN_RETRY_AFTER_S) * rng.uniform(1.0, 1.5)
    return min(wait, MAX_RETRY_AFTER_S)


def predicted_lateness_s(
    item: lane.QueuedWork, wait_s: float, now: float
) -> float:
    """Judges an admission by the predicted completion.

    Returns:
        By how many seconds the work would miss its deadline; it is refused
        when that is above zero.
    """
    return now + WAIT_WEIGHT * wait_s - item.latest_start


def refuse(
    item: work.Work,
    code: work.RefusalCode,
    late_s: float,
    rng: random.Random,
) -> work.Refused:
    """Returns the refusal of some work.

    Args:
        item: The work.
        code: The kind of reason.
        late_s: By how much it would have missed its deadline, where that is
            the reason.
        rng: Source of the spread of its return.
    """
    return work.Refused(
        request_id=item.request_id,
        code=code,
        retry_after_s=retry_after_s(_RETRY_S.get(code, late_s), rng),
        reason=_REASONS[code],
    )
