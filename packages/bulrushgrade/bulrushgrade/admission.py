"""Admission control by predicted completion, and the time to retry.

When there is more work than the fleet can finish by its deadlines, accepted
work that ends late has used the time of work that would have been in time, so
that a fleet at twice its load completes nothing in time. Work that can't be in
time is refused at once, while its caller can still react.
"""

from collections.abc import Callable
import math
import random

import attrs

from bulrushgrade import cost
from bulrushgrade import lane
from bulrushgrade import work

DEADLINE_FRACTION = 1.0
"""Fraction of the time to its deadline that work may be predicted to take."""

MIN_RETRY_AFTER_S = 0.5
"""Lower bound of the retry time: sooner, the load has not changed."""

MAX_RETRY_AFTER_S = 60.0
"""Upper bound of the retry time: longer predictions are unreliable."""

RATE_WINDOW_S = 4.0
"""Time constant of the drain rate: long enough to include a few long prefills,
short enough to follow the loss of an engine before callers give up."""

PRIOR_WEIGHT_S = 1.0
"""Weight of the expected rate, as seconds of observation."""


LatenessPredictor = Callable[[lane.QueuedWork, float, float], float]
"""Returns the seconds by which work with a predicted wait would be late."""

WAIT_WEIGHT = 0.7
"""Weight of a predicted wait at admission. Predicted waits are too long, as
other services leave part of their shares unused. Work that was admitted in
error is still refused before it runs, at its latest start, which is better for
its caller than a refusal while engines could have served it."""

NO_ENDPOINT_RETRY_S = 2.0
"""Retry time while no endpoint is serving: about the time of a role change."""

QUEUE_FULL_RETRY_S = 1.0
"""Retry time of a full queue: a few requests leave it in this time."""

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
    """Engine seconds per second that a queue gets placed while it has work.

    Time with an empty queue does not count. A rate over all time would be the
    arrival rate: a queue after a quiet minute would look slow, and work that
    can be in time would be refused.
    """

    _placed_s: float = 0.0
    _busy_s: float = 0.0
    _at: float = 0.0
    _busy: bool = False

    def note(self, *, busy: bool, now: float, placed_s: float = 0.0) -> None:
        """Records what was placed, and whether work is queued from now on."""
        elapsed = max(0.0, now - self._at) if self._busy else 0.0
        decay = math.exp(-elapsed / RATE_WINDOW_S)
        self._busy_s = self._busy_s * decay + elapsed
        self._placed_s *= decay
        if self._busy:
            self._placed_s += placed_s
        self._at, self._busy = now, busy

    def rate(self, expected: float, now: float) -> float:
        """Returns the rate, weighted with `expected` at the start."""
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
    """Returns the time by which work must be placed, on an idle engine.

    Args:
        item: The work.
        model: Cost model of its endpoints.
        uncached_tokens: Prompt tokens that have to be prefilled.
        tokens_done: Number of tokens that the caller already received.
        step_ratio: Observed to predicted time between tokens at the engine that
            is fastest now.
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
    """Returns by how much work is predicted to miss its deadlines.

    Args:
        item: The work.
        first_token_s: Predicted seconds until the first token.
        finish_s: Predicted seconds until the end of the answer.
        now: The current time.

    Returns:
        Seconds; zero or less if it will be in time.
    """
    late = finish_s / DEADLINE_FRACTION - (item.deadline - now)
    if item.first_token_deadline is not None:
        first_late = first_token_s / DEADLINE_FRACTION - (
            item.first_token_deadline - now
        )
        late = max(late, first_late)
    return late


def retry_after_s(late_s: float, rng: random.Random) -> float:
    """Returns the seconds after which refused work should be sent again.

    The queue needs about as long as the work was late until the same work fits.
    A random factor above that keeps callers that were refused together from
    returning together; none is told a time at which it could not fit yet.

    Args:
        late_s: Seconds by which it would have missed its deadline.
        rng: Source of the random factor.
    """
    wait = max(late_s, MIN_RETRY_AFTER_S) * rng.uniform(1.0, 1.5)
    return min(wait, MAX_RETRY_AFTER_S)


def predicted_lateness_s(
    item: lane.QueuedWork, wait_s: float, now: float
) -> float:
    """Returns the predicted lateness of work that is to be queued.

    Returns:
        Seconds by which the work would miss its deadline; it is refused if
        that is above zero.
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
        code: The reason code.
        late_s: Seconds by which it would have missed its deadline, if that is
            the reason.
        rng: Source of the random factor of the retry time.
    """
    return work.Refused(
        request_id=item.request_id,
        code=code,
        retry_after_s=retry_after_s(_RETRY_S.get(code, late_s), rng),
        reason=_REASONS[code],
    )
