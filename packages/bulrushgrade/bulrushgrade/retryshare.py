"""One daemon's share of a retry budget that all daemons have in common.

The budget is a ratio of the requests in a sliding window plus a fixed number.
Daemons do not coordinate before a retry. Each stays within the ratio of its
own requests and its part of the fixed number, so the sum of the shares never
exceeds the budget, whichever daemons run or reach each other.
"""

import collections
from collections.abc import Callable
import random

MIN_HOSTS = 64
"""Minimum number of hosts that the fixed part of the budget is divided by. The
settings don't state the number of hosts."""

HOST_HEADROOM_FACTOR = 2
"""Factor on the number of known hosts in the same division. It allows for as
many hosts again that start at the same moment."""

RATIO_SAFETY_FACTOR = 0.9
"""Fraction of the ratio that is used. Requests are counted in a window when
they arrive here. A count taken elsewhere may place the window's edge some
requests earlier or later, so a tenth is left unused."""


BASE_RETRY_AFTER_S = 0.3
"""Default retry delay: the time in which an endpoint's queue advances by some
requests. A longer queue gives a longer delay, the time until it is done. The
delay varies by half in both directions, so that callers refused together do
not return together."""

EARLY_FRACTION = 0.5
"""Largest fraction of the budget for retries of attempts that had not failed.
The rest remains for those that did."""

MAX_WAIT_FRACTION = 1 / 3
"""Maximum fraction of the caller's deadline that it is asked to wait. A caller
does not wait longer, and needs the rest for its next try."""


class RetryShare:
    """Limits the retries that this daemon sends to one service."""

    def __init__(
        self, *, ratio: float, extra: Callable[[], float], window_s: float
    ):
        """Creates a share without requests or retries.

        Args:
            ratio: Retries per request in the window.
            extra: Returns this daemon's part of the fixed number of retries
                per window, which decreases as more daemons are known.
            window_s: The length of the window in seconds.
        """
        self._ratio = ratio * RATIO_SAFETY_FACTOR
        self._extra = extra
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()
        self._early: collections.deque[float] = collections.deque()

    def count_request(self, now: float) -> None:
        """Counts a request of a caller."""
        self._requests.append(now)
        self._drop_old(now)

    def spend(self, now: float) -> bool:
        """Uses one retry and returns True, or returns False if none is left."""
        self._drop_old(now)
        if len(self._retries) + 1 > self._allowed():
            return False
        self._retries.append(now)
        return True

    def spend_early(self, now: float) -> bool:
        """As `spend`, for a retry of an attempt that has not failed."""
        self._drop_old(now)
        if len(self._early) + 1 > EARLY_FRACTION * self._allowed():
            return False
        if not self.spend(now):
            return False
        self._early.append(now)
        return True

    def _allowed(self) -> float:
        """Returns the number of retries in the present window."""
        return self._ratio * len(self._requests) + self._extra()

    def _drop_old(self, now: float) -> None:
        oldest = now - self._window_s
        for times in (self._requests, self._retries, self._early):
            while times and times[0] < oldest:
                times.popleft()


def divide_extra(extra: float, *, known_hosts: int | None) -> float:
    """Returns one host's part of the fixed number of retries.

    Args:
        extra: The fixed number of retries of all hosts.
        known_hosts: The number of known hosts, this one included; None if it
            has not read which others there are. If hundreds restart at once,
            each would otherwise take the part of one of a few.
    """
    if known_hosts is None:
        return 0.0
    return extra / max(MIN_HOSTS, HOST_HEADROOM_FACTOR * known_hosts)


def choose_retry_after_s(
    deadline_s: float | None, rng: random.Random, *, queued_s: float = 0.0
) -> float:
    """Returns after how many seconds a refused caller should retry.

    Args:
        deadline_s: How long the caller waits in total, or None.
        rng: The source of the random variation.
        queued_s: Queued work at the endpoint that would have been chosen.
    """
    after_s = max(BASE_RETRY_AFTER_S, queued_s) * rng.uniform(0.5, 1.5)
    if deadline_s is None:
        return after_s
    return min(after_s, deadline_s * MAX_WAIT_FRACTION)
