"""Tests of the cost of placing a prompt."""

import attrs
from hypothesis import given
from hypothesis import strategies as st

from bulrushgrade import plancost

LATENCY_TARGETS = plancost.LatencyTargets(
    target_s=0.5, gap_s=0.2, min_gap_s=0.2
)
LOAD = plancost.DecodeLoad(
    streams=20,
    tokens=100_000,
    pause_s=0.08,
    joined_pause_s=0.082,
    memory_tokens=440_000,
    slots=48,
    stddev_s=0.02,
    events=20.0,
)


def test_short_prefill_beside_fast_streams_costs_little():
    assert plancost.local_prefill_cost(LOAD, 0.0, 0.02, LATENCY_TARGETS) < 0.1


def test_long_prefill_makes_all_streams_late():
    assert plancost.local_prefill_cost(LOAD, 0.0, 0.4, LATENCY_TARGETS) > 15


def test_prefill_behind_another_one_still_costs():
    behind = plancost.local_prefill_cost(LOAD, 0.5, 0.4, LATENCY_TARGETS)
    assert behind > 2.0


def test_prefill_without_streams_costs_nothing():
    idle = attrs.evolve(LOAD, streams=0, tokens=0)
    assert plancost.local_prefill_cost(idle, 0.0, 5.0, LATENCY_TARGETS) == 0.0


def test_full_memory_costs_more_than_a_late_answer():
    full = attrs.evolve(LOAD, tokens=430_000)
    assert plancost.added_stream_cost(full, 12_000, LATENCY_TARGETS) > 1.0
    assert plancost.added_stream_cost(LOAD, 12_000, LATENCY_TARGETS) < 0.1


def test_full_slots_cost_as_much_as_full_memory():
    full = attrs.evolve(LOAD, streams=48)
    assert plancost.added_stream_cost(full, 12_000, LATENCY_TARGETS) > 1.0


def test_routes_without_a_gap_have_no_late_pauses():
    latency_targets = plancost.LatencyTargets(target_s=0.5)
    assert plancost.local_prefill_cost(LOAD, 0.0, 5.0, latency_targets) == 0.0
    assert plancost.saturation(LOAD, 5.0, None) < 0.5


def test_streams_beyond_the_slots_wait_for_one():
    """A burst of short prompts with long answers fills all slots.

    130 streams were sent to engines with 48 slots each. The prefill queues did
    not show them, and first events were half a second late.
    """
    assert plancost.slot_wait_s(LOAD) == 0.0
    full = attrs.evolve(LOAD, streams=47)
    assert plancost.slot_wait_s(full) == 0.0
    over = attrs.evolve(LOAD, streams=95)
    assert abs(plancost.slot_wait_s(over) - 20 * 0.08) < 1e-9


def test_saturation_is_the_scarcest_of_memory_slots_and_pause():
    assert plancost.saturation(LOAD, 0.0, 0.2) == 20 / 48
    slow = attrs.evolve(LOAD, pause_s=0.18)
    assert abs(plancost.saturation(slow, 0.0, 0.2) - 0.9) < 1e-9
    # An empty engine has a pause as well, which does not reduce its capacity.
    base = attrs.evolve(slow, pause_s=0.1, min_pause_s=0.1, streams=1)
    assert plancost.saturation(base, 0.0, 0.2) < 0.3
    assert abs(plancost.saturation(base, 0.05, 0.2) - 0.5) < 1e-9
    full = attrs.evolve(LOAD, tokens=440_000)
    assert plancost.saturation(full, 0.0, 0.2) == 1.0


@given(st.floats(0, 1), st.floats(0, 1), st.floats(0, 0.2))
def test_longer_pauses_are_never_less_likely_late(one, two, stddev_s):
    low, high = sorted((one, two))
    late = [
        plancost.pause_late_probability(p, stddev_s, 0.2) for p in (low, high)
    ]
    assert 0.0 <= late[0] <= late[1] <= 1.0
