"""Tests of the plan of spot and full-price engines."""

import itertools

import attrs
from capacityscene import SCALING
from capacityscene import DemandFleet
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


def settled_fleet(busy, **kwargs):
    fleet = DemandFleet(busy=busy, **kwargs)
    fleet.run(90.0)
    return fleet


def test_load_of_a_quarter_keeps_half_of_the_first_engines():
    """Guards against engines that are paid for by price alone: 48 before."""
    fleet = settled_fleet(lambda now: 6.0)
    assert fleet.total == 16
    idle = settled_fleet(lambda now: 0.0)
    assert [idle.spot(zone) for zone in "abcd"] == [3, 3, 3, 3]
    assert idle.total == 12


def test_load_that_swings_within_seconds_causes_no_orders():
    fleet = settled_fleet(lambda now: 9.0 if now % 3 < 1.5 else 3.0)
    before = len(fleet.orders)
    fleet.run(60.0)
    assert len(fleet.orders) == before
    assert fleet.total * 0.6 >= 9.0


def test_burst_of_two_and_a_half_times_for_five_seconds_gets_its_engines():
    """Guards against a burst that is followed too late or not at all."""
    fleet = settled_fleet(lambda now: 15.0 if 90.0 <= now < 95.0 else 6.0)
    # One order a check, in four zones, and the start of the last engines.
    fleet.run(0.5 * 4 + SCALING.boot_s + 0.5)
    assert fleet.total - fleet.spot("a") >= 25
    # The next burst may come within the window.
    fleet.run(16.0)
    assert fleet.total - fleet.spot("a") >= 25


def test_zone_whose_spot_engines_go_at_the_peak_leaves_what_the_load_needs():
    for zone in "abcd":
        fleet = settled_fleet(lambda now: 9.0)
        fleet.running[zone, True] = 0
        assert fleet.total >= 15
        fleet.refusing = {zone}
        fleet.run(40.0)
        assert fleet.total >= 15
        # Operator's minimum, at the full price.
        assert fleet.running[zone, False] == 1
        assert set(fleet.demands[-100:]) == {15}


def test_idle_engines_are_released_one_per_zone_after_the_window_only():
    """Guards against engines that are released in a pause of the load."""
    fleet = settled_fleet(lambda now: 18.0 if now < 90.0 else 0.0)
    fleet.run(19.5)
    assert fleet.total == 40
    fleet.run(5.0)
    assert 36 <= fleet.total < 40
    fleet.run(5.0)
    assert 32 <= fleet.total < 36
    fleet.run(60.0)
    assert fleet.total == 12


def test_successor_without_load_releases_nothing_before_a_whole_window():
    """Guards against a new ordering host that takes unknown load for none."""
    fleet = settled_fleet(lambda now: 6.0 if now < 90.0 else 0.0)
    fleet.succeed()
    before, orders = fleet.total, len(fleet.orders)
    fleet.run(19.5)
    assert (fleet.total, len(fleet.orders)) == (before, orders)
    fleet.run(60.0)
    assert fleet.total == 12


def test_successor_amid_the_first_orders_releases_nothing_for_a_window():
    """Guards against a release by a host that did not place the orders."""
    fleet = DemandFleet(busy=lambda now: 0.0)
    fleet.run(8.0)
    fleet.succeed()
    full = [fleet.running[zone, False] for zone in "abcd"]
    assert sum(full) > 0
    fleet.run(19.5)
    assert [fleet.running[zone, False] for zone in "abcd"] == full
    fleet.run(60.0)
    assert fleet.total == 12


def test_substitutes_of_a_steady_load_stay_until_spot_engines_run():
    """Guards against a release before the replacements serve."""
    fleet = settled_fleet(lambda now: 9.0)
    fleet.refusing = set("abcd")
    for zone in "abcd":
        fleet.running[zone, True] = 0
    fleet.run(40.0)
    fleet.refusing, fleet.least_total = set(), fleet.total
    fleet.run(40.0)
    assert fleet.least_total >= 15
    assert all(fleet.running[zone, False] == 0 for zone in "abcd")


def test_stale_loads_release_nothing_for_as_long_as_they_last():
    fleet = settled_fleet(lambda now: 15.0 if now < 90.0 else 0.0)
    before, fleet.is_recent = fleet.total, False
    fleet.run(60.0)
    assert fleet.total == before


def test_load_that_changes_by_one_engine_waits_for_the_last_order():
    """Guards against an order for each small change of the load."""
    fleet = settled_fleet(lambda now: 9.0 + max(0.0, 0.5 * (now - 90.0)))
    fleet.run(20.0)
    at = [at for at, order in fleet.orders if order.zone == "b" and at > 90.0]
    assert len(at) >= 2
    assert all(b - a >= SCALING.boot_s for a, b in itertools.pairwise(at))


def test_demand_keeps_the_bounds_of_the_operator():
    few = attrs.evolve(SCALING, min_engines=4, max_engines=7)
    assert settled_fleet(lambda now: 0.0, scaling=few).total == 16
    assert settled_fleet(lambda now: 40.0, scaling=few).total == 28
