"""One daemon's share of a retry budget that all daemons draw on together.

The budget is a ratio of the requests of a sliding window plus a fixed number.
Daemons do not ask each other before a retry. Each keeps to the ratio of its
own requests and to its part of the fixed number; the sum of the shares is
then never more than the whole, whichever daemons run and whoever hears whom.
"""

import collections
from collections.abc import Callable
import random

RATIO_SAFETY_FACTOR = 0.9
"""The part of the ratio that is used. Requests of a window are counted when
they arrive here; who counts elsewhere may put its window's edge some requests
away, so a tenth is left unused."""


BASE_RETRY_AFTER_S = 0.3
"""The time in which a queue of an endpoint moves on by some requests; where
more waits, the time in which that is done. Spread by half in both directions
so that callers refused together do not return together."""

MAX_WAIT_FRACTION = 1 / 3
"""Of the caller's time that a refusal asks it to wait at most; a caller does
not wait longer, and needs the rest for its next try."""


class RetryShare:
    """Retries to one service that this daemon may still send."""

    def __init__(
        self, *, ratio: float, extra: Callable[[], float], window_s: float
    ):
        """Makes a share with nothing spent.

        Args:
            ratio: Retries for each request of the window.
            extra: Returns this daemon's part of the retries a window beside;
                it shrinks when more daemons are known.
            window_s: The length of the window in seconds.
        """
        self._ratio = ratio * RATIO_SAFETY_FACTOR
        self._extra = extra
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def count_request(self, now: float) -> None:
        """Counts a request of a caller."""
        self._requests.append(now)
        self._drop_old(now)

    def spend(self, now: float) -> bool:
        """Takes one retry, or returns False where none is left."""
        self._drop_old(now)
        allowed = self._ratio * len(self._requests) + self._extra()
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _drop_old(self, now: float) -> None:
        oldest = now - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest:
                times.popleft()


def choose_retry_after_s(
    deadline_s: float | None, rng: random.Random, *, queued_s: float = 0.0
) -> float:
    """Returns in how many seconds a refused caller had better return.

    Args:
        deadline_s: How long the caller waits in all, or None.
        rng: Source of the spread.
        queued_s: What waits where it would have gone.
    """
    after_s = max(BASE_RETRY_AFTER_S, queued_s) * rng.uniform(0.5, 1.5)
    if deadline_s is None:
        return after_s
    return min(after_s, deadline_s * MAX_WAIT_FRACTION)
