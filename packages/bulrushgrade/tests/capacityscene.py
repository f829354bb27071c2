"""A simulated fleet whose engines are ordered, for tests of capacity plans."""

import attrs

from bulrushgrade import capacitydemand
from bulrushgrade import capacityplan

SCALING = capacityplan.Scaling(
    min_engines=1,
    max_engines=12,
    boot_s=4.0,
    spot_price=0.2,
    zone_prices={"a": 1.0, "b": 0.8, "c": 1.2, "d": 0.9},
)
SETTLE_S = 3.0


class Fleet:
    """A fleet that carries out orders after a delay, with its plan."""

    def __init__(self, *, each=6, scaling=SCALING):
        self.now = 0.0
        self.scaling = scaling
        self.plan = capacityplan.CapacityPlan(holder="h")
        self.running = {(zone, False): each for zone in scaling.zone_prices}
        self.coming = []
        self.refusing = set()
        self.orders = []
        self.least_total = self.total

    @property
    def total(self):
        return sum(self.running.values())

    def view(self):
        return capacityplan.CapacityView(
            service="s",
            scaling=self.scaling,
            running=dict(self.running),
            settle_s=SETTLE_S,
        )

    def run(self, seconds, step_s=0.5):
        for _ in range(int(seconds / step_s)):
            self.now += step_s
            self.arrive()
            self.least_total = min(self.least_total, self.total)
            order = self.plan.propose(self.view(), self.now)
            if order is not None:
                self.give(order)

    def give(self, order):
        self.orders.append((self.now, order))
        pool = order.zone, order.is_spot
        self.plan.apply_record(order, self.now)
        if order.is_spot and order.zone in self.refusing:
            self.plan.record_refusal(order, self.now)
            return
        self.plan.record_acceptance(order)
        running = self.running.get(pool, 0)
        if order.count <= running:
            self.running[pool] = order.count
        else:
            self.coming.append((self.now + SCALING.boot_s, pool, order.count))

    def arrive(self):
        for at, pool, count in list(self.coming):
            if at <= self.now:
                self.running[pool] = count
                self.coming.remove((at, pool, count))

    def spot(self, zone):
        return self.running.get((zone, True), 0)

    @property
    def price(self):
        """The price of running engines, in engines at the mean full price."""
        scaling = self.scaling
        mean = sum(scaling.zone_prices.values()) / len(scaling.zone_prices)
        total = 0.0
        for (zone, is_spot), count in self.running.items():
            kind = scaling.spot_price if is_spot else 1.0
            total += count * kind * scaling.zone_prices[zone] / mean
        return total


def decoders(busy, count, **kwargs):
    """Returns engines that share a load worth some fully used engines."""
    engine = capacitydemand.EngineUse(
        is_prefill=False,
        streams=0,
        slots=10,
        memory_fraction=busy / count if count else 0.0,
        queued_s=0.0,
        **kwargs,
    )
    return capacitydemand.ServiceUse(engines=(engine,) * count, target_s=1.0)


class DemandFleet(Fleet):
    """A fleet whose engines are ordered for its load.

    Attributes:
        busy: Returns the load as a number of fully used engines, by time.
        is_recent: Whether loads are known.
    """

    def __init__(self, *, busy, **kwargs):
        super().__init__(**kwargs)
        self.busy = busy
        self.is_recent = True
        self.estimate = capacitydemand.DemandEstimate()
        self.demands = []

    def use(self):
        return decoders(
            self.busy(self.now), self.total, is_recent=self.is_recent
        )

    def view(self):
        view = super().view()
        self.estimate.observe(self.use(), self.now)
        bounds = self.plan.demand_bounds(view, self.now)
        if bounds is None:
            return view
        demand = self.estimate.update(bounds, self.now)
        self.demands.append(demand)
        return attrs.evolve(
            view,
            demand=demand,
            is_demand_settled=self.estimate.is_settled(self.now),
        )

    def succeed(self):
        """Replaces the ordering host by one that has read the records."""
        records = [order for _, order in self.orders]
        self.plan = capacityplan.CapacityPlan(holder="i")
        self.estimate = capacitydemand.DemandEstimate()
        for order in records:
            self.plan.apply_record(order, self.now)
