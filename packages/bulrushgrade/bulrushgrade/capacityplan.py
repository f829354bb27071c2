"""How many engines of which kind a service should have in each zone.

Spot engines cost a part of the others' price, and all those of a zone may be
taken away at once. So a service is moved to as many of them as cost no more
than the engines that it had, which leaves a reserve: without any one zone, the
others still have as many engines as the service needs. Where zones have no
spot engines to give and the rest is too few, engines at the full price stand
in. Engines are ordered before those that they replace are given up.
"""

from collections.abc import Mapping
import math

import attrs

REFUSAL_RETRY_S = 2.0
"""Before a zone that had no engines to give is asked again."""

RETRY_S = 1.0
"""Before an order is sent again that was not answered."""

Pool = tuple[str, bool]
"""A zone, and whether its engines are spot ones."""


@attrs.frozen(kw_only=True)
class Scaling:
    """What the operator allows for a service.

    Attributes:
        min_engines: Engines that each zone has at least.
        max_engines: Engines that each zone has at most, of both kinds together.
        boot_s: How long a new engine takes until it serves.
        spot_price: The price of a spot engine, as a part of the other kind's.
        zone_prices: The price of an engine by zone.
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
        holder: The incarnation of the host that orders.
        service: The service.
        zone: The availability zone.
        is_spot: Which kind is ordered.
        count: How many of that kind the zone is to have.
        needed: How many engines the service needs in all zones together.
    """

    holder: str
    service: str
    zone: str
    is_spot: bool
    count: int
    needed: int


@attrs.frozen(kw_only=True)
class CapacityView:
    """What is known of one service's engines.

    Attributes:
        service: The service.
        scaling: What the operator allows.
        running: Engines that take work, by zone and kind.
        settle_s: Until what an engine registers is known everywhere.
    """

    service: str
    scaling: Scaling
    running: Mapping[Pool, int]
    settle_s: float

    @property
    def zones(self) -> list[str]:
        """The zones that may have engines, the cheapest first."""
        prices = self.scaling.zone_prices
        return sorted(prices, key=lambda zone: (prices[zone], zone))

    @property
    def total(self) -> int:
        """Engines that take work."""
        return sum(self.running.values())


@attrs.frozen(kw_only=True)
class _Ordered:
    count: int
    at: float


class CapacityPlan:
    """Watches the engines of one service."""

    def __init__(self, *, holder: str):
        """Makes a plan that has seen nothing.

        Args:
            holder: The incarnation of the host that orders.
        """
        self._holder = holder
        self._needed: int | None = None
        self._ordered: dict[Pool, _Ordered] = {}
        # Since a refusal, until an order is taken again.
        self._refusing: set[Pool] = set()
        self._retry_at: dict[Pool, float] = {}
        self._total: int | None = None
        self._total_stable_since = 0.0
        self._paused_until = 0.0

    @property
    def needed(self) -> int | None:
        """Engines that the service needs; None before that is known."""
        return self._needed

    def take_record(self, record: CapacityRecord, now: float) -> None:
        """Takes an order that was recorded, by whichever host."""
        self._needed = record.needed
        pool = record.zone, record.is_spot
        self._ordered[pool] = _Ordered(count=record.count, at=now)

    def note_taken(self, order: CapacityRecord) -> None:
        """Notes that a zone gives the engines that were ordered."""
        self._refusing.discard((order.zone, order.is_spot))

    def note_refusal(self, order: CapacityRecord, now: float) -> None:
        """Notes that a zone has no such engines to give now."""
        pool = order.zone, order.is_spot
        self._refusing.add(pool)
        self._retry_at[pool] = now + REFUSAL_RETRY_S
        self._ordered.pop(pool, None)

    def note_failure(self, order: CapacityRecord, now: float) -> None:
        """Notes that it is not known what came of an order."""
        self._ordered.pop((order.zone, order.is_spot), None)
        self._paused_until = now + RETRY_S

    def propose(self, view: CapacityView, now: float) -> CapacityRecord | None:
        """Returns the order that should be given now, or None."""
        scaling = view.scaling
        if not 0.0 < scaling.spot_price < 1.0 or len(view.zones) < 2:
            return None
        if self._needed is None and not self._learn_needed(view, now):
            return None
        if now < self._paused_until:
            return None
        targets = self._targets(view)
        # Zones that refused come last: they are only asked again.
        for pool in sorted(targets, key=self._refusing.__contains__):
            count = targets[pool]
            if self._has_shortage(view, pool, count, now):
                return self._order(view, pool, count)
        for pool, count in targets.items():
            if self._has_surplus(view, pool, count):
                return self._order(view, pool, count)
        return None

    def _learn_needed(self, view: CapacityView, now: float) -> bool:
        """Takes the number that the operator has, once it stays the same."""
        if view.total != self._total:
            self._total, self._total_stable_since = view.total, now
            return False
        if now - self._total_stable_since < view.settle_s or not view.total:
            return False
        self._needed = view.total
        return True

    def _targets(self, view: CapacityView) -> dict[Pool, int]:
        """Returns how many engines each zone should have, cheapest first."""
        scaling, zones = view.scaling, view.zones
        each = min(
            max(self._affordable(view), scaling.min_engines),
            scaling.max_engines,
        )
        # A zone that gives no more still has those that run there.
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
        """Returns the spot engines a zone that cost what was paid before.

        At least as many as leave what is needed without any one zone.
        """
        zones = len(view.zones)
        paid_for = self._needed / view.scaling.spot_price
        reserve = math.ceil(self._needed / (zones - 1))
        return max(math.floor(paid_for / zones), reserve)

    def _has_shortage(
        self, view: CapacityView, pool: Pool, count: int, now: float
    ) -> bool:
        """Returns whether a pool has too few, with none on the way."""
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
        """Returns whether a pool can give engines up."""
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
