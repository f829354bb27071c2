"""Decides how long an attempt waits for the first byte of its response.

A few endpoints may accept requests and then hang while their health checks
pass. A request there waits until its deadline, although another endpoint would
have answered it in time. So an attempt that is silent for much longer than
expected is given up, unless responses show that all of them are slow.
"""

import collections
from typing import Any

import attrs

EXPECTED_FACTOR = 3.0
"""Multiple of the expected time to the first byte that an attempt may take. A
host with few requests expects times that are wrong by up to a factor of two."""

TARGET_FRACTION = 0.25
"""Fraction of the route's target that an attempt may take in any case. A second
attempt that begins sooner gains little, and costs as much as a late one."""

LEFT_FRACTION = 0.5
"""Largest fraction of the remaining time that a silent attempt may take, so
that a second attempt can run in full."""

MIN_SAMPLES = 8
"""Responses without which there is no limit: a host that has just started does
not know yet how long they take."""

MAX_SAMPLES = 40
"""Responses that the limit is computed from. Two of them may exceed it by
chance, and a change of all endpoints is seen after three."""

MAX_SAMPLE_AGE_S = 30.0
"""Age from which on a response says nothing of the present load, which rises
and falls within some tens of seconds."""

EXCEEDING_FRACTION = 1 / 20
"""Fraction of recent responses that may exceed the limit. If more do, their
endpoints are slow and not hanging, and the limit is doubled."""

MAX_FACTOR = 8.0
"""Largest factor on the limit. If responses exceed even that, nothing is known
of how long an attempt takes, and there is no limit."""

SATURATED_FRACTION = 0.1
"""Fraction of prompts expected late from which on a service is saturated.
Second attempts would then take the capacity of first ones."""

SATURATION_WINDOW_S = 1.0
"""Time over which prompts and refusals are counted. A burst of several seconds
is detected while it begins."""


@attrs.frozen(kw_only=True)
class Sample:
    """The first byte of a response.

    Attributes:
        at: When it arrived, in seconds.
        took_s: Time since the request was written.
        expected_s: Time that was expected, or None to use the mean.
        target_s: The latency target of its route.
    """

    at: float
    took_s: float
    expected_s: float | None
    target_s: float


@attrs.frozen(kw_only=True)
class Estimate:
    """What recent responses say of the next one.

    Attributes:
        mean_s: Their mean time to the first byte.
        deviation_s: Mean absolute deviation from the expected times.
        factor: Factor on the limit; None if they exceed the largest one.
        samples: Their number.
    """

    mean_s: float
    deviation_s: float
    factor: float | None
    samples: int


class SilenceLimit:
    """The limit for attempts of one kind, adapted from their responses."""

    def __init__(self):
        self._samples: collections.deque[Sample] = collections.deque(
            maxlen=MAX_SAMPLES
        )

    def observe(self, sample: Sample) -> None:
        """Takes in the first byte of a response."""
        self._samples.append(sample)

    def estimate(self, now: float) -> Estimate | None:
        """Returns what recent responses say; None if they are too few."""
        while self._samples and self._samples[0].at < now - MAX_SAMPLE_AGE_S:
            self._samples.popleft()
        count = len(self._samples)
        if count < MIN_SAMPLES:
            return None
        mean_s = sum(sample.took_s for sample in self._samples) / count
        expected_s = [
            mean_s if sample.expected_s is None else sample.expected_s
            for sample in self._samples
        ]
        deviation_s = (
            sum(
                abs(sample.took_s - due_s)
                for sample, due_s in zip(self._samples, expected_s, strict=True)
            )
            / count
        )
        excesses = [
            sample.took_s / _base_s(due_s, deviation_s, sample.target_s)
            for sample, due_s in zip(self._samples, expected_s, strict=True)
        ]
        return Estimate(
            mean_s=mean_s,
            deviation_s=deviation_s,
            factor=_choose_factor(excesses),
            samples=count,
        )

    def limit_s(
        self,
        *,
        expected_s: float | None,
        target_s: float,
        left_s: float,
        now: float,
    ) -> float | None:
        """Returns how long an attempt may be silent; None for no limit.

        Args:
            expected_s: Expected time to the first byte, None to use the mean.
            target_s: The latency target of the route.
            left_s: Remaining time of the request when it was written.
            now: The present time in seconds.
        """
        estimate = self.estimate(now)
        if estimate is None or estimate.factor is None:
            return None
        if expected_s is None:
            expected_s = estimate.mean_s
        limit_s = _base_s(expected_s, estimate.deviation_s, target_s)
        limit_s *= estimate.factor
        max_s = left_s * LEFT_FRACTION
        if limit_s <= max_s:
            return limit_s
        # A second attempt could not run in full, or first ones are slow.
        if max_s < expected_s or estimate.factor > 1:
            return None
        return max_s

    def dump(self, now: float) -> dict[str, Any]:
        """Returns the state for operators, times in seconds."""
        estimate = self.estimate(now)
        if estimate is None:
            return {"samples": len(self._samples)}
        return attrs.asdict(estimate)


class Saturation:
    """Whether a service has more requests than it can serve in time."""

    def __init__(self):
        self._plans: collections.deque[tuple[float, bool]] = collections.deque()
        self._refused_at: float | None = None

    def observe_plan(self, *, is_late: bool, now: float) -> None:
        """Takes in whether a new prompt is expected to be late."""
        self._drop_old(now)
        self._plans.append((now, is_late))

    def observe_refusal(self, now: float) -> None:
        """Takes in that an endpoint had no room for a request."""
        self._refused_at = now

    def is_saturated(self, now: float) -> bool:
        """Returns whether the service was saturated in the last second."""
        refused_at = self._refused_at
        if refused_at is not None and now - refused_at <= SATURATION_WINDOW_S:
            return True
        self._drop_old(now)
        late = sum(is_late for _, is_late in self._plans)
        return late > SATURATED_FRACTION * len(self._plans)

    def _drop_old(self, now: float) -> None:
        while self._plans and self._plans[0][0] < now - SATURATION_WINDOW_S:
            self._plans.popleft()


def _base_s(expected_s: float, deviation_s: float, target_s: float) -> float:
    return max(
        EXPECTED_FACTOR * expected_s + deviation_s, TARGET_FRACTION * target_s
    )


def _choose_factor(excesses: list[float]) -> float | None:
    """Returns the smallest power of two that few responses exceed, or None.

    Args:
        excesses: Times to the first byte, relative to the limits.
    """
    factor = 1.0
    while factor <= MAX_FACTOR:
        exceeding = sum(excess > factor for excess in excesses)
        if exceeding <= EXCEEDING_FRACTION * len(excesses):
            return factor
        factor *= 2
    return None
