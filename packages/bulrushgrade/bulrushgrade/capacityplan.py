"""Decides how many spot and full-price engines a service has in each zone.

Spot engines cost a fraction of the full price, and all those of a zone may be
reclaimed at once. A service therefore moves to as many spot engines as cost no
more than the engines that it had. This leaves a reserve: when any one zone is
lost, the others still have as many engines as the service needs. Where zones
have no spot engines available and too few remain, full-price engines are
ordered instead. Engines are ordered before those that they replace are
released. If the demand is known, only as many engines are ordered as still
serve it when any one zone is lost.
"""

from collections.abc import Mapping
import math

import attrs

from bulrushgrade import capacitydemand

REFUSAL_RETRY_S = 2.0
"""Time before a zone that had no engines available is asked again."""

RETRY_S = 1.0
"""Time before an unanswered order is sent again."""

MIN_INITIAL_FRACTION = 0.5
"""Minimum number of engines, as a fraction of the number that the service had
initially. Loads don't show everything that engines are needed for, such as
cached prompts."""

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
        demand: How many engines the load needs; None to order as many spot
            engines as the former cost pays for.
        is_demand_settled: Whether the demand may be lower than the former one.
    """

    service: str
    scaling: Scaling
    running: Mapping[Pool, int]
    settle_s: float
    demand: int | None = None
    is_demand_settled: bool = False

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
        # Whether this host found out the needed number, not from a record.
        self._has_learned = False
        # Spot engines of each zone by the latest order.
        self._spot_each: int | None = None
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
        if record.is_spot:
            self._spot_each = record.count

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

    def demand_bounds(
        self, view: CapacityView, now: float
    ) -> capacitydemand.DemandBounds | None:
        """Returns the limits of the demand; None while they are unknown."""
        if not _can_order(view):
            return None
        if self._needed is None and not self._learn_needed(view, now):
            return None
        others = len(view.zones) - 1
        limit = min(self._affordable(view), view.scaling.max_engines)
        former = self._needed
        if self._spot_each is not None:
            former = self._spot_each * others
        # Each zone has the demand divided by the number of other zones.
        return capacitydemand.DemandBounds(
            former=former, most=limit * others, max_decrease=others
        )

    def spot_engines_per_zone(self, view: CapacityView) -> int:
        """Returns the target number of spot engines of each zone."""
        count = self._affordable(view)
        if view.demand is not None:
            zones = len(view.zones)
            reserve = math.ceil(view.demand / (zones - 1))
            least = math.ceil(self._min_total / zones)
            count = min(max(reserve, least), count)
        scaling = view.scaling
        return min(max(count, scaling.min_engines), scaling.max_engines)

    def propose(self, view: CapacityView, now: float) -> CapacityRecord | None:
        """Returns the order to send now, or None."""
        if not _can_order(view):
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
            if self._has_surplus(view, pool, targets, now):
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
        self._has_learned = True
        return True

    @property
    def _min_total(self) -> int:
        """The minimum number of engines if the demand is known."""
        return math.ceil(MIN_INITIAL_FRACTION * self._needed)

    def _substituted(self, view: CapacityView) -> int:
        """Returns up to how many engines full-price ones are ordered."""
        if view.demand is None:
            return self._needed
        return min(max(view.demand, self._min_total), self._needed)

    def _targets(self, view: CapacityView) -> dict[Pool, int]:
        """Returns the target number of engines by pool, cheapest zone first."""
        scaling, zones = view.scaling, view.zones
        each = self.spot_engines_per_zone(view)
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
        missing = self._substituted(view)
        missing -= sum(spot.values()) + sum(full.values())
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
        if ordered is None:
            return True
        if ordered.count < count:
            return not self._is_small_change(view, ordered, count, now)
        coming_s = view.scaling.boot_s + view.settle_s
        return now - ordered.at > coming_s

    def _has_surplus(
        self,
        view: CapacityView,
        pool: Pool,
        targets: Mapping[Pool, int],
        now: float,
    ) -> bool:
        """Returns whether a pool can release engines."""
        running, count = view.running.get(pool, 0), targets[pool]
        if running <= count:
            return False
        ordered = self._ordered.get(pool)
        if ordered is not None:
            if ordered.count == count:
                return False
            if self._is_small_change(view, ordered, count, now):
                return False
        left = view.total - (running - count)
        if view.demand is None:
            return left >= self._needed
        if not view.is_demand_settled:
            # Only those are released that the first spot engines replace.
            is_replaced = self._has_learned and not pool[1]
            return is_replaced and left >= self._needed
        served = max(view.demand, self._min_total)
        return left >= min(served, sum(targets.values()))

    def _is_small_change(
        self, view: CapacityView, ordered: _Ordered, count: int, now: float
    ) -> bool:
        """Returns whether a change of one engine follows another too soon."""
        if view.demand is None or abs(count - ordered.count) != 1:
            return False
        return now - ordered.at < view.scaling.boot_s

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


def _can_order(view: CapacityView) -> bool:
    """Returns whether spot engines are cheaper and zones replace each other."""
    return 0.0 < view.scaling.spot_price < 1.0 and len(view.zones) > 1
