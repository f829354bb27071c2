"""Tests of plans that limit the traffic of prompts between zones."""

from planscene import DECODE
from planscene import LATENCY_TARGETS
from planscene import PREFILL
from planscene import TRAITS
from planscene import add_streams
from planscene import make_plan
from planscene import make_planner
from test_directory import make
from test_engineload import make_prompt

from bulrushgrade import plancost

ZONES = ("z1", "z2", "z3")
ENGINES = [
    make(f"{stage.value}{number}", stage=stage, zone=ZONES[number % 3])
    for stage in (PREFILL, DECODE)
    for number in range(6)
]


def count_other_zone_engines(plan):
    engines = (plan.decode, plan.prefill)
    return sum(e is not None and e.zone != "z1" for e in engines)


def count_for_prompts(planner, **sizes):
    plans = [
        make_plan(make_prompt(f"s{n}", **sizes), ENGINES, planner)
        for n in range(60)
    ]
    return sum(map(count_other_zone_engines, plans)) / len(plans)


def test_bodies_of_long_prompts_mostly_stay_in_the_zone():
    """Guards against sending most bodies to other zones twice.

    Of 17,000 tokens each, they were most of the bytes between zones.
    """
    sizes = {"shared_tokens": 13_300, "own_tokens": 3_700}
    before = count_for_prompts(make_planner(), **sizes)
    after = count_for_prompts(make_planner(avoids_other_zones=True), **sizes)
    assert before > 0.9
    assert after <= before / 2


def test_short_prompts_are_planned_as_before():
    for n in range(60):
        prompt = make_prompt(f"s{n}", shared_tokens=0, own_tokens=380)
        plans = [
            make_plan(prompt, ENGINES, make_planner(avoids_other_zones=flag))
            for flag in (False, True)
        ]
        assert plans[0].decode.id == plans[1].decode.id


def test_busy_zone_sends_long_prompts_to_others():
    """Guards against late answers for the sake of the traffic."""
    planner = make_planner(avoids_other_zones=True)
    for engine in ENGINES:
        if engine.zone == "z1" and engine.stage is DECODE:
            add_streams(planner, engine, count=TRAITS.slots, pause_s=0.5)
    for n in range(60):
        plan = make_plan(make_prompt(f"s{n}"), ENGINES, planner)
        assert plan.decode.zone != "z1"


def test_plan_that_would_be_late_is_not_chosen_for_its_zone():
    """A first event that would surely be late costs more than the traffic."""
    planner = make_planner(avoids_other_zones=True)
    local = [e for e in ENGINES if e.zone == "z1" and e.stage is PREFILL]
    waits = {e.id: LATENCY_TARGETS.target_s for e in local}
    for n in range(60):
        prompt = make_prompt(f"s{n}")
        plan = make_plan(prompt, ENGINES, planner, reported_wait_s=waits)
        late = plancost.first_event_late_probability(
            plan.first_event_s, LATENCY_TARGETS
        )
        assert late < 1.0
