"""A budget for retries, and the time between them.

Load: an endpoint or the fleet fails while callers keep coming. Harm: every
failure is tried again, the retries are a second load on what is left, and
the outage outlives its cause. The budget ties retries to fresh traffic, so
that they stay a fixed part of it however many requests fail.
"""

import random

import attrs

from bulrushgrade import work

MAX_BALANCE = 64.0
"""Retries that are saved up at most. An engine that dies takes its whole
batch with it, and each of those answers has to go on elsewhere: that is one
batch of work that was admitted already, not a growing load. With 3, an engine
lost with 16 answers under way cut 13 of them."""

MAX_REJECTIONS = 8
"""Endpoints that may turn a request away unstarted, as all engines of a zone
do in a rolling restart; more often than that the view of the fleet is wrong
and the caller had better come back."""

BASE_DELAY_S = 0.1
MAX_DELAY_S = 2.0


@attrs.define(kw_only=True)
class RetryBudget:
    """Retries that a service may still spend.

    Attributes:
        ratio: Retries earned by each fresh request.
        balance: What is saved.
    """

    ratio: float
    balance: float = MAX_BALANCE

    def earn(self) -> None:
        """Counts a fresh request."""
        self.balance = min(self.balance + self.ratio, MAX_BALANCE)

    def spend(self) -> bool:
        """Takes one retry, or returns False when the budget is out."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True


def refusal(
    budget: RetryBudget,
    *,
    repeatable: bool,
    started: bool,
    max_attempts: int,
    attempt: int,
    rejections: int,
) -> work.RefusalCode | None:
    """Decides whether a request may be tried again.

    Args:
        budget: The service's; a retry that may go on is taken from it.
        repeatable: Whether the request may run twice.
        started: Whether the endpoint may have started it.
        max_attempts: Attempts that the service allows; a request that fails
            everywhere is more likely the cause than the victim.
        attempt: Started attempts before the next one.
        rejections: Endpoints that did not start it.

    Returns:
        Why it may not be tried again, or None.
    """
    if not started:
        # What an endpoint turned away cost it nothing, so it is no load that
        # the budget has to bound; counting it would cut requests whenever
        # engines are drained faster than the host list tells.
        if rejections < MAX_REJECTIONS:
            return None
        return work.RefusalCode.NO_ENDPOINT
    if not repeatable:
        return work.RefusalCode.NOT_REPEATABLE
    if attempt >= max_attempts or not budget.spend():
        return work.RefusalCode.RETRY_BUDGET
    return None


def endpoints_to_avoid(
    known: frozenset[str], failed: str, serving: int
) -> frozenset[str]:
    """Returns the endpoints that a retry must not go to.

    Where all have failed it, the first to fail may have come back; only the
    last one is left out, and not even that where it is the only one.

    Args:
        known: Those that failed the request before.
        failed: The one that failed it now.
        serving: Endpoints in service that could do it.
    """
    both = known | {failed}
    if len(both) < serving:
        return both
    return frozenset({failed}) if serving > 1 else frozenset()


def delay_s(attempt: int, rng: random.Random) -> float:
    """Returns how long to wait before an attempt, with full jitter.

    The first retry goes at once to another endpoint: its caller waits and
    the budget already bounds it. Later ones are spread, so that requests
    that failed together do not come back together.

    Args:
        attempt: 1 for the first retry.
        rng: Source of the jitter.
    """
    if attempt <= 1:
        return 0.0
    return rng.uniform(0.0, min(MAX_DELAY_S, BASE_DELAY_S * 2**attempt))
