"""Estimates how many engines a service needs from the load of its engines.

Load changes within seconds, and an engine that is ordered serves only seconds
later. An estimate therefore rises at once, is held for longer than a usual
burst, and then falls slowly.
"""

import collections
import math

import attrs

TARGET_UTILIZATION = 0.6
"""Mean utilization of the engines at which a service has enough of them. The
rest covers load that grows while an engine starts."""

MAX_UTILIZATION = 2.0
"""Maximum utilization that one engine contributes. The requests at an engine
that hangs keep growing, and it alone would cause orders."""

DEMAND_WINDOW_S = 20.0
"""Time for which a peak of the demand counts. It is longer than an order takes
(4 s) and than a usual burst, so that engines are kept from burst to burst."""

FALL_PERIOD_S = 5.0
"""Minimum time between two decreases of the demand. It allows the load of the
remaining engines to become visible after each release."""

MAX_GAP_S = 2.0
"""Longest time without a known load within a window. Loads of peers expire
after 1.5 s, and one check may come late."""

_ROUNDING = 1e-9
"""Tolerance for sums of utilizations that amount to a whole engine."""


@attrs.frozen(kw_only=True)
class EngineUse:
    """The known load of one running engine.

    Attributes:
        is_prefill: Whether it only prefills prompts for other engines.
        streams: Number of streams of all hosts.
        slots: Maximum number of concurrent requests.
        memory_fraction: Used fraction of its memory.
        queued_s: Seconds of queued prefill of all hosts.
        is_recent: Whether the load is known and not stale.
    """

    is_prefill: bool
    streams: int
    slots: int
    memory_fraction: float
    queued_s: float
    is_recent: bool = True


@attrs.frozen(kw_only=True)
class ServiceUse:
    """The known load of one service.

    Attributes:
        engines: Its running engines.
        target_s: The longest latency target of its routes.
    """

    engines: tuple[EngineUse, ...]
    target_s: float


@attrs.frozen(kw_only=True)
class DemandBounds:
    """Limits of the estimate of one service.

    Attributes:
        former: Number of engines that was aimed at before.
        most: Maximum number of engines that may be aimed at.
        max_decrease: Maximum decrease in one period, in engines.
    """

    former: int
    most: int
    max_decrease: int


@attrs.frozen(kw_only=True)
class _Sample:
    at: float
    engines: int


class DemandEstimate:
    """The number of engines that one service needs."""

    def __init__(self):
        """Creates an estimate without observations."""
        self._samples: collections.deque[_Sample] = collections.deque()
        self._since = -math.inf
        self._engines: int | None = None
        self._fell_at = -math.inf
        self._prefill = self._decode = 0.0

    @property
    def engines(self) -> int | None:
        """The number of engines that the service needs, or None if unknown."""
        return self._engines

    @property
    def prefill_utilization(self) -> float:
        """The last sum of the utilizations of prefill engines."""
        return self._prefill

    @property
    def decode_utilization(self) -> float:
        """The last sum of the utilizations of all other engines."""
        return self._decode

    def is_settled(self, now: float) -> bool:
        """Returns whether the load of a whole window is known."""
        if not self._samples or now - self._samples[-1].at > MAX_GAP_S:
            return False
        return now - self._since >= DEMAND_WINDOW_S

    def observe(self, use: ServiceUse, now: float) -> None:
        """Records the load; ignores it if that of no engine is known.

        Args:
            use: The load of all running engines.
            now: The present time in seconds.
        """
        if not any(engine.is_recent for engine in use.engines):
            return
        if not self._samples or now - self._samples[-1].at > MAX_GAP_S:
            # The load may have been higher meanwhile.
            self._samples.clear()
            self._since = now
            self._engines = None
        self._prefill, self._decode = _sum_by_role(use)
        total = (self._prefill + self._decode) / TARGET_UTILIZATION
        engines = math.ceil(total - _ROUNDING)
        self._samples.append(_Sample(at=now, engines=engines))
        # A load may have lasted until the next observation.
        while now - self._samples[0].at > DEMAND_WINDOW_S and (
            now - self._samples[1].at > DEMAND_WINDOW_S
        ):
            self._samples.popleft()

    def reset_demand(self) -> None:
        """Makes the next update begin with the former number of engines."""
        self._engines = None

    def update(self, bounds: DemandBounds, now: float) -> int:
        """Returns the number of engines that the service needs now.

        Args:
            bounds: The limits in force.
            now: The present time in seconds.
        """
        held = bounds.former if self._engines is None else self._engines
        peak = max((sample.engines for sample in self._samples), default=0)
        peak = min(peak, bounds.most)
        # A demand above the limit would take long to fall to it.
        held = min(held, bounds.most)
        if peak >= held:
            held = peak
        elif self.is_settled(now) and now - self._fell_at >= FALL_PERIOD_S:
            held = max(peak, held - bounds.max_decrease)
            self._fell_at = now
        self._engines = held
        return held


def utilization(engine: EngineUse, target_s: float) -> float:
    """Returns the used fraction of an engine's capacity.

    Args:
        engine: The engine.
        target_s: The longest latency target of the service's routes.
    """
    if not engine.is_prefill:
        used = max(engine.streams / engine.slots, engine.memory_fraction)
        return min(used, MAX_UTILIZATION)
    if target_s <= 0.0:
        return 1.0 if engine.queued_s > 0.0 else 0.0
    return 1.0 - math.exp(-max(engine.queued_s, 0.0) / target_s)


def _sum_by_role(use: ServiceUse) -> tuple[float, float]:
    """Returns the utilizations of prefill engines and of all others."""
    known = [
        utilization(engine, use.target_s)
        for engine in use.engines
        if engine.is_recent
    ]
    mean = sum(known) / len(known)
    prefill = decode = 0.0
    for engine in use.engines:
        used = utilization(engine, use.target_s) if engine.is_recent else mean
        if engine.is_prefill:
            prefill += used
        else:
            decode += used
    return prefill, decode
