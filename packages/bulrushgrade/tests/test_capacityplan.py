"""Tests of the plan of spot and full-price engines."""

import attrs
from capacityscene import SCALING
from capacityscene import Fleet

from bulrushgrade import capacityplan


def test_service_moves_to_spot_engines_and_never_has_fewer_than_before():
    fleet = Fleet()
    fleet.run(40.0)
    assert fleet.least_total == 24
    assert all(fleet.running[zone, False] == 0 for zone in "abcd")
    assert all(fleet.spot(zone) == 12 for zone in "abcd")


def test_plan_that_has_what_it_wants_orders_nothing_more():
    """Guards against orders that alternate up and down."""
    fleet = Fleet()
    fleet.run(40.0)
    before = len(fleet.orders)
    fleet.run(60.0)
    assert len(fleet.orders) == before


def test_zone_whose_spot_engines_go_leaves_what_is_needed():
    """All spot engines of a zone can be reclaimed at once, at any time."""
    fleet = Fleet()
    fleet.run(40.0)
    for zone in "abcd":
        fleet.running[zone, True] = 0
        assert fleet.total >= 24
        fleet.run(20.0)
        assert fleet.spot(zone) == 12


def test_zone_without_spot_engines_changes_nothing_elsewhere():
    """Guards against lost caches in zones that grow and shrink again."""
    fleet = Fleet()
    fleet.run(40.0)
    before = dict(fleet.running)
    fleet.refusing = {"b"}
    fleet.running["b", True] = 0
    fleet.run(12.0)
    # The operator's minimum is ordered at the full price in that zone.
    assert fleet.running == before | {("b", True): 0, ("b", False): 1}
    fleet.refusing = set()
    fleet.run(30.0)
    assert fleet.running == before


def test_spot_engines_cost_no_more_than_those_they_replace():
    dear = attrs.evolve(SCALING, spot_price=0.75)
    fleet = Fleet(scaling=dear)
    fleet.run(40.0)
    # 24 / 0.75 in four zones; without any one zone 3 * 8 >= 24.
    assert all(fleet.spot(zone) == 8 for zone in "abcd")
    assert fleet.least_total == 24


def test_engines_at_the_full_price_come_where_no_spot_ones_can_be_had():
    """Guards against a service that shrinks with the supply of spot engines."""
    fleet = Fleet()
    fleet.run(40.0)
    fleet.refusing = set("abcd")
    for zone in "abcd":
        fleet.running[zone, True] = 0
    fleet.run(20.0)
    assert fleet.total >= 24


def test_zones_that_give_no_more_still_count_with_what_they_have():
    """Guards against a second, full-price fleet in addition to the first."""
    fleet = Fleet()
    fleet.run(40.0)
    fleet.refusing = set("abcd")
    for zone in "abcd":
        fleet.running[zone, True] -= 1
    fleet.run(20.0)
    assert all(fleet.running[zone, False] == 0 for zone in "abcd")


def test_engines_that_were_lost_are_ordered_again():
    fleet = Fleet()
    fleet.run(40.0)
    fleet.running["c", True] = 5
    fleet.run(15.0)
    assert fleet.spot("c") == 12


def test_successor_goes_on_with_the_number_that_was_recorded():
    """Guards against a needed number that shrinks with each new leader."""
    fleet = Fleet()
    fleet.run(40.0)
    records = [order for _, order in fleet.orders]
    fleet.plan = capacityplan.CapacityPlan(holder="i")
    for order in records:
        fleet.give(order)
    fleet.running["a", True] = 0
    fleet.run(30.0)
    assert fleet.plan.needed == 24
    assert fleet.spot("a") == 12


def test_nothing_is_ordered_where_spot_engines_are_not_cheaper():
    fleet = Fleet(scaling=attrs.evolve(SCALING, spot_price=1.0))
    fleet.run(40.0)
    assert fleet.orders == []


def test_order_without_an_answer_is_given_again():
    fleet = Fleet()
    fleet.run(3.5)
    (_, order) = fleet.orders[0]
    fleet.plan.record_failure(order, fleet.now)
    assert fleet.plan.propose(fleet.view(), fleet.now) is None
    again = fleet.plan.propose(fleet.view(), fleet.now + 1.0)
    assert (again.zone, again.is_spot) == (order.zone, order.is_spot)
