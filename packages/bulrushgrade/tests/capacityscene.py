"""A simulated fleet whose engines are ordered, for tests of capacity plans."""

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
