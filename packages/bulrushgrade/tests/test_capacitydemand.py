"""Tests of the estimate of how many engines a service needs."""

import attrs
from capacityscene import decoders
import pytest

from bulrushgrade import capacitydemand

BOUNDS = capacitydemand.DemandBounds(former=24, most=100, max_decrease=3)
CHECK_S = 0.5


class Checks:
    """Checks the load periodically."""

    def __init__(self):
        self.now = 100.0
        self.estimate = capacitydemand.DemandEstimate()
        self.demand = None

    def run(self, seconds, use, bounds=BOUNDS):
        """Returns the demands of all checks."""
        found = []
        for _ in range(round(seconds / CHECK_S)):
            self.now += CHECK_S
            self.estimate.observe(use(self.now), self.now)
            found.append(self.estimate.update(bounds, self.now))
        return found


def steady(busy, **kwargs):
    return lambda now: decoders(busy, 20, **kwargs)


def settle(busy):
    checks = Checks()
    checks.run(90.0, steady(busy))
    return checks


def test_steady_load_keeps_engines_at_the_target_utilization():
    assert settle(6.0).run(CHECK_S, steady(6.0)) == [10]


def test_demand_that_swings_every_two_seconds_keeps_engines_for_its_peaks():
    """Guards against orders that follow each swing."""
    checks = settle(9.0)
    found = checks.run(
        60.0, lambda now: decoders(9.0 if now % 4 < 2 else 3.0, 20)
    )
    assert set(found) == {15}


def test_burst_of_two_and_a_half_times_for_five_seconds_counts_at_once():
    """Guards against engines that are ordered after the burst."""
    checks = settle(6.0)
    assert set(checks.run(5.0, steady(15.0))) == {25}
    # The window begins with the last check of the burst.
    assert set(checks.run(20.0, steady(6.0))) == {25}


def test_load_that_ends_lowers_the_demand_by_one_step_in_five_seconds():
    """Guards against a release of many engines between two bursts."""
    checks = settle(15.0)
    checks.run(20.0, steady(0.0))
    found = checks.run(60.0, steady(0.0))
    steps = [a - b for a, b in zip(found, found[10:], strict=False)]
    assert max(steps) == BOUNDS.max_decrease
    assert found[-1] == 0


def test_loads_that_are_stale_for_some_engines_count_as_the_mean_of_others():
    """Guards against engines that are released because they aren't heard."""
    known = decoders(4.0, 8).engines
    stale = decoders(0.0, 8, is_recent=False).engines
    use = capacitydemand.ServiceUse(engines=known + stale, target_s=1.0)
    checks = settle(4.8)
    assert checks.run(CHECK_S, lambda now: use) == [14]


def test_loads_that_are_all_stale_hold_the_demand_and_restart_the_window():
    checks = settle(9.0)
    assert set(checks.run(60.0, steady(0.0, is_recent=False))) == {15}
    assert not checks.estimate.is_settled(checks.now)
    # The demand of 15 was rounded up to 18 engines.
    former = attrs.evolve(BOUNDS, former=18)
    assert set(checks.run(20.0, steady(0.0), former)) == {18}


def test_new_host_holds_the_former_number_for_a_whole_window_without_load():
    checks = Checks()
    assert set(checks.run(20.0, steady(0.0))) == {24}
    assert checks.run(1.0, steady(0.0))[-1] == 21


def test_load_beyond_all_engines_that_can_be_had_delays_no_decrease():
    """Guards against a demand that takes minutes to fall to the limit."""
    checks = Checks()
    limited = attrs.evolve(BOUNDS, most=30)
    assert checks.run(30.0, steady(40.0), limited)[-1] == 30
    limited = attrs.evolve(BOUNDS, most=9)
    assert checks.run(CHECK_S, steady(0.0), limited) == [9]


def test_engine_that_hangs_with_ever_more_streams_counts_at_most_twice():
    """Guards against orders because of one engine."""
    (hung,) = decoders(50.0, 1).engines
    assert capacitydemand.utilization(hung, 1.0) == 2.0


@pytest.mark.parametrize(
    ("queued_s", "expected"), [(0.0, 0.0), (1.0, 0.632), (60.0, 1.0)]
)
def test_queue_of_prefills_counts_relative_to_the_target(queued_s, expected):
    (engine,) = decoders(0.0, 1).engines
    prefiller = attrs.evolve(engine, is_prefill=True, queued_s=queued_s)
    used = capacitydemand.utilization(prefiller, 1.0)
    assert used == pytest.approx(expected, abs=0.001)


def test_slots_that_fill_before_the_memory_determine_the_utilization():
    (engine,) = decoders(0.1, 1).engines
    engine = attrs.evolve(engine, streams=7)
    assert capacitydemand.utilization(engine, 1.0) == 0.7
