"""A retry budget, and the delay before a retry.

If every failed request is retried while callers keep sending, the retries add
load to the remaining endpoints and the outage outlasts its cause. The budget
limits retries to a fixed fraction of new requests, however many of these fail.
"""

import random

import attrs

from bulrushgrade import work

MAX_BALANCE = 64.0
"""Largest balance of a budget. An engine that dies fails its whole batch at
once, and each of those answers has to continue elsewhere: that is one batch of
already admitted work, not growing load. With 3, the loss of an engine with 16
answers in progress cut 13 of them."""

MAX_REJECTIONS = 8
"""Largest number of endpoints that may reject a request unstarted, as all
engines of a zone do during a rolling restart. If more do, this host's view of
the fleet is wrong, and the caller should retry later."""

BASE_DELAY_S = 0.1
MAX_DELAY_S = 2.0


@attrs.define(kw_only=True)
class RetryBudget:
    """The retries that a service may still make, as a token bucket.

    Attributes:
        ratio: Retries added per new request.
        balance: Retries available.
    """

    ratio: float
    balance: float = MAX_BALANCE

    def earn(self) -> None:
        """Adds the share of a new request."""
        self.balance = min(self.balance + self.ratio, MAX_BALANCE)

    def spend(self) -> bool:
        """Takes one retry; returns False if none is available."""
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
    """Returns whether and why a request must not be retried.

    Args:
        budget: Retry budget of the service; an allowed retry is taken from it.
        repeatable: Whether the request may run twice.
        started: Whether the endpoint may have started it.
        max_attempts: Attempts that the service allows. A request that fails
            everywhere is probably the cause of the failures.
        attempt: Number of started attempts so far.
        rejections: Number of endpoints that did not start it.

    Returns:
        The reason of the refusal, or None if it may be retried.
    """
    if not started:
        # A rejection cost the endpoint nothing, so it is no load that the
        # budget has to limit. Counting it would cut requests whenever engines
        # drain before the host list shows it.
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
    """Returns the endpoints that a retry must not use.

    If all of them failed it, the first may have recovered; then only the last
    one is excluded, and not even that if it is the only one.

    Args:
        known: Endpoints that failed the request before.
        failed: Endpoint that failed it now.
        serving: Number of serving endpoints that could do it.
    """
    all_failed = known | {failed}
    if len(all_failed) < serving:
        return all_failed
    return frozenset({failed}) if serving > 1 else frozenset()


def delay_s(attempt: int, rng: random.Random) -> float:
    """Returns the delay before an attempt, with full jitter.

    The first retry starts at once at another endpoint, as its caller waits and
    the budget limits retries. Later ones are spread, so that requests that
    failed together are not retried together.

    Args:
        attempt: 1 for the first retry.
        rng: Source of the jitter.
    """
    if attempt <= 1:
        return 0.0
    return rng.uniform(0.0, min(MAX_DELAY_S, BASE_DELAY_S * 2**attempt))
