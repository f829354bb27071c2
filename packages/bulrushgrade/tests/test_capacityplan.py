"""Tests of how many engines of which kind a service should have."""

import attrs

from bulrushgrade import capacityplan

SCALING = capacityplan.Scaling(
    least=1,
    most=12,
    boot_s=4.0,
    spot_price=0.2,
    zone_prices={"a": 1.0, "b": 0.8, "c": 1.2, "d": 0.9},
)
SETTLE_S = 3.0


class Fleet:
    """A fleet that carries orders out after a while, and its plan."""

    def __init__(self, *, each=6, scaling=SCALING):
        self.now = 0.0
        self.scaling = scaling
        self.plan = capacityplan.CapacityPlan()
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
        self.plan.take_record(
            capacityplan.CapacityRecord(
                holder="h",
                service="s",
                zone=order.zone,
                is_spot=order.is_spot,
                count=order.count,
                needed=order.needed,
            ),
            self.now,
        )
        if order.is_spot and order.zone in self.refusing:
            self.plan.note_refusal(order, self.now)
            return
        self.plan.note_taken(order)
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


def test_service_moves_to_spot_engines_and_never_has_fewer_than_before():
    fleet = Fleet()
    fleet.run(40.0)
    assert fleet.least_total == 24
    assert all(fleet.running[zone, False] == 1 for zone in "abcd")
    assert all(fleet.spot(zone) == 11 for zone in "abcd")


def test_plan_that_has_what_it_wants_orders_nothing_more():
    """Guards against fleets that flap."""
    fleet = Fleet()
    fleet.run(40.0)
    before = len(fleet.orders)
    fleet.run(60.0)
    assert len(fleet.orders) == before


def test_zone_whose_spot_engines_go_leaves_what_is_needed():
    """All spot engines of a zone are taken away at once, at any moment."""
    fleet = Fleet()
    fleet.run(40.0)
    for zone in "abcd":
        fleet.running[zone, True] = 0
        assert fleet.total >= 24
        fleet.run(20.0)
        assert fleet.spot(zone) == 11


def test_zone_without_spot_engines_changes_nothing_elsewhere():
    """Guards against caches that are lost as others grow and shrink again."""
    fleet = Fleet()
    fleet.run(40.0)
    before = dict(fleet.running)
    fleet.refusing = {"b"}
    fleet.running["b", True] = 0
    fleet.run(12.0)
    assert fleet.running == before | {("b", True): 0}
    fleet.refusing = set()
    fleet.run(30.0)
    assert fleet.running == before


def test_spot_engines_cost_no_more_than_those_they_replace():
    dear = attrs.evolve(SCALING, spot_price=0.75)
    fleet = Fleet(scaling=dear)
    fleet.run(40.0)
    # (24 - 4) / 0.75 in four zones; without any one zone 4 + 3 * 7 >= 24.
    assert all(fleet.spot(zone) == 7 for zone in "abcd")
    assert fleet.least_total == 24


def test_engines_at_the_full_price_come_where_no_spot_ones_can_be_had():
    """Guards against a service that shrinks with the offer of spot engines."""
    fleet = Fleet()
    fleet.run(40.0)
    fleet.refusing = set("abcd")
    for zone in "abcd":
        fleet.running[zone, True] = 0
    fleet.run(20.0)
    assert fleet.total >= 24


def test_engines_that_were_lost_are_ordered_again():
    fleet = Fleet()
    fleet.run(40.0)
    fleet.running["c", True] = 5
    fleet.run(15.0)
    assert fleet.spot("c") == 11


def test_successor_goes_on_with_the_number_that_was_recorded():
    """Guards against a need that shrinks with each change of the leader."""
    fleet = Fleet()
    fleet.run(40.0)
    records = [order for _, order in fleet.orders]
    fleet.plan = capacityplan.CapacityPlan()
    for order in records:
        fleet.give(order)
    fleet.running["a", True] = 0
    fleet.run(30.0)
    assert fleet.plan.needed == 24
    assert fleet.spot("a") == 11


def test_nothing_is_ordered_where_spot_engines_are_not_cheaper():
    fleet = Fleet(scaling=attrs.evolve(SCALING, spot_price=1.0))
    fleet.run(40.0)
    assert fleet.orders == []


def test_order_without_an_answer_is_given_again():
    fleet = Fleet()
    fleet.run(3.5)
    (_, order) = fleet.orders[0]
    fleet.plan.note_failure(order, fleet.now)
    assert fleet.plan.propose(fleet.view(), fleet.now) is None
    again = fleet.plan.propose(fleet.view(), fleet.now + 1.0)
    assert (again.zone, again.is_spot) == (order.zone, order.is_spot)
