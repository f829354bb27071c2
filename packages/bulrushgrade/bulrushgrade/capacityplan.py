"""Decides how many spot and full-price engines a service has in each zone.

Spot engines cost a fraction of the full price, and all those of a zone may be
reclaimed at once. A service therefore moves to as many spot engines as cost no
more than the engines that it had. This leaves a reserve: when any one zone is
lost, the others still have as many engines as the service needs. Where zones
have no spot engines available and too few remain, full-price engines are
ordered instead. Engines are ordered before those that they replace are
released.
"""

from collections.abc import Mapping
import math

import attrs

REFUSAL_RETRY_S = 2.0
"""Time before a zone that had no engines available is asked again."""

RETRY_S = 1.0
"""Time before an unanswered order is sent again."""

Pool = tuple[str, bool]
"""An availability zone and whether its engines are spot engines."""


@attrs.frozen(kw_only=True)
class Scaling:
    """The operator's scaling limits for a service.

    Attributes:
        min_engines: Minimum number of engines in each zone.
        max_engines: Maximum number of engines in each zone, of both kinds.
        boot_s: Time from the start of an engine until it serves.
        spot_price: Price of a spot engine as a fraction of the full price.
        zone_prices: Price of an engine by zone.
    """

    min_engines: int
    max_engines: int
    boot_s: float
    spot_price: float
    zone_prices: Mapping[str, float]


@attrs.frozen(kw_only=True)
class CapacityRecord:
    """An order of engines.

    Attributes:
        holder: The incarnation of the ordering host.
        service: The service.
        zone: The availability zone.
        is_spot: Whether spot engines are ordered.
        count: How many engines of that kind the zone should have.
        needed: How many engines the service needs across all zones.
    """

    holder: str
    service: str
    zone: str
    is_spot: bool
    count: int
    needed: int


@attrs.frozen(kw_only=True)
class CapacityView:
    """The known state of one service's engines.

    Attributes:
        service: The service.
        scaling: The operator's limits.
        running: Number of serving engines by zone and kind.
        settle_s: Time until all hosts know what an engine has registered.
    """

    service: str
    scaling: Scaling
    running: Mapping[Pool, int]
    settle_s: float

    @property
    def zones(self) -> list[str]:
        """The zones that may have engines, cheapest first."""
        prices = self.scaling.zone_prices
        return sorted(prices, key=lambda zone: (prices[zone], zone))

    @property
    def total(self) -> int:
        """The number of serving engines."""
        return sum(self.running.values())


@attrs.frozen(kw_only=True)
class _Ordered:
    count: int
    at: float


class CapacityPlan:
    """Proposes orders of engines for one service."""

    def __init__(self, *, holder: str):
        """Creates a plan without observations.

        Args:
            holder: The incarnation of the ordering host.
        """
        self._holder = holder
        self._needed: int | None = None
        self._ordered: dict[Pool, _Ordered] = {}
        # Pools that refused an order and have not accepted one since.
        self._refusing: set[Pool] = set()
        self._retry_at: dict[Pool, float] = {}
        self._total: int | None = None
        self._total_stable_since = 0.0
        self._paused_until = 0.0

    @property
    def needed(self) -> int | None:
        """The number of engines that the service needs, or None if unknown."""
        return self._needed

    def apply_record(self, record: CapacityRecord, now: float) -> None:
        """Applies a recorded order of any host."""
        self._needed = record.needed
        pool = record.zone, record.is_spot
        self._ordered[pool] = _Ordered(count=record.count, at=now)

    def record_acceptance(self, order: CapacityRecord) -> None:
        """Records that a zone accepted an order."""
        self._refusing.discard((order.zone, order.is_spot))

    def record_refusal(self, order: CapacityRecord, now: float) -> None:
        """Records that a zone has no such engines available now."""
        pool = order.zone, order.is_spot
        self._refusing.add(pool)
        self._retry_at[pool] = now + REFUSAL_RETRY_S
        self._ordered.pop(pool, None)

    def record_failure(self, order: CapacityRecord, now: float) -> None:
        """Records that the outcome of an order is unknown."""
        self._ordered.pop((order.zone, order.is_spot), None)
        self._paused_until = now + RETRY_S

    def propose(self, view: CapacityView, now: float) -> CapacityRecord | None:
        """Returns the order to send now, or None."""
        scaling = view.scaling
        if not 0.0 < scaling.spot_price < 1.0 or len(view.zones) < 2:
            return None
        if self._needed is None and not self._learn_needed(view, now):
            return None
        if now < self._paused_until:
            return None
        targets = self._targets(view)
        # Pools that refused come last: their orders are only retries.
        for pool in sorted(targets, key=self._refusing.__contains__):
            count = targets[pool]
            if self._has_shortage(view, pool, count, now):
                return self._order(view, pool, count)
        for pool, count in targets.items():
            if self._has_surplus(view, pool, count):
                return self._order(view, pool, count)
        return None

    def _learn_needed(self, view: CapacityView, now: float) -> bool:
        """Takes the number of running engines as needed once it is stable."""
        if view.total != self._total:
            self._total, self._total_stable_since = view.total, now
            return False
        if now - self._total_stable_since < view.settle_s or not view.total:
            return False
        self._needed = view.total
        return True

    def _targets(self, view: CapacityView) -> dict[Pool, int]:
        """Returns the target number of engines by pool, cheapest zone first."""
        scaling, zones = view.scaling, view.zones
        each = min(
            max(self._affordable(view), scaling.min_engines),
            scaling.max_engines,
        )
        # A zone that refuses more still counts with the engines it runs.
        spot = {
            zone: min(each, view.running.get((zone, True), 0))
            if (zone, True) in self._refusing
            else each
            for zone in zones
        }
        full = {
            zone: max(0, scaling.min_engines - spot[zone]) for zone in zones
        }
        missing = self._needed - sum(spot.values()) - sum(full.values())
        for zone in zones:
            if missing <= 0:
                break
            more = min(missing, scaling.max_engines - spot[zone] - full[zone])
            full[zone] += more
            missing -= more
        targets = {(zone, True): each for zone in zones}
        return targets | {(zone, False): full[zone] for zone in zones}

    def _affordable(self, view: CapacityView) -> int:
        """Returns how many spot engines per zone the former cost pays for.

        The result is at least the number that leaves the needed engines when
        any one zone is lost.
        """
        zones = len(view.zones)
        paid_for = self._needed / view.scaling.spot_price
        reserve = math.ceil(self._needed / (zones - 1))
        return max(math.floor(paid_for / zones), reserve)

    def _has_shortage(
        self, view: CapacityView, pool: Pool, count: int, now: float
    ) -> bool:
        """Returns whether a pool has too few engines and none are starting."""
        if view.running.get(pool, 0) >= count:
            return False
        if self._retry_at.get(pool, 0.0) > now:
            return False
        ordered = self._ordered.get(pool)
        if ordered is None or ordered.count < count:
            return True
        coming_s = view.scaling.boot_s + view.settle_s
        return now - ordered.at > coming_s

    def _has_surplus(self, view: CapacityView, pool: Pool, count: int) -> bool:
        """Returns whether a pool can release engines."""
        running = view.running.get(pool, 0)
        if running <= count:
            return False
        ordered = self._ordered.get(pool)
        if ordered is not None and ordered.count == count:
            return False
        left = view.total - (running - count)
        return left >= self._needed

    def _order(
        self, view: CapacityView, pool: Pool, count: int
    ) -> CapacityRecord:
        zone, is_spot = pool
        return CapacityRecord(
            holder=self._holder,
            service=view.service,
            zone=zone,
            is_spot=is_spot,
            count=count,
            needed=self._needed,
        )
