"""Engines and prompts that the planner's tests share."""

from test_directory import make

from bulrushgrade import directory
from bulrushgrade import enginefleet
from bulrushgrade import engineplan
from bulrushgrade import enginerank
from bulrushgrade import placementplan
from bulrushgrade import plancost
from bulrushgrade import routing
from bulrushgrade import streamload

TRAITS = routing.EngineTraits(
    slots=64,
    memory_tokens=480_000,
    token_bytes=18_432,
    link_bytes_per_s=22.5e9,
    kv_handle_ttl_s=5.0,
    stage_change_s=3.0,
    event_tokens=10,
)
PREFILL, DECODE = directory.Stage.PREFILL, directory.Stage.DECODE
ENGINES = [
    make("p1", stage=PREFILL),
    make("p2", stage=PREFILL),
    make("d1", stage=DECODE),
    make("d2", stage=DECODE),
    make("d3", stage=DECODE),
]


LATENCY_TARGETS = plancost.LatencyTargets(
    target_s=0.8, gap_s=0.4, min_gap_s=0.4
)


def find_preferred(prompt, engines):
    return enginerank.rank_by_role(prompt, engines, TRAITS).preferred


def make_planner(peers=None, **options):
    fleet = enginefleet.EngineFleet(peers=peers)
    return engineplan.EnginePlanner(zone="z1", fleet=fleet, **options)


def make_input(prompt, engines=ENGINES, **changes):
    values = {
        "traits": TRAITS,
        "latency_targets": LATENCY_TARGETS,
        "now": 0.0,
    } | changes
    return placementplan.PlanRequest(prompt=prompt, engines=engines, **values)


def make_plan(
    prompt, engines=ENGINES, planner=None, allow_handover=True, **changes
):
    planner = planner or make_planner()
    request = make_input(prompt, engines, **changes)
    return planner.plan(request, allow_handover=allow_handover)


def add_streams(planner, engine, *, count, pause_s=0.1, prompt_tokens=1_000):
    """Makes an engine generate streams with a given pause between events."""
    load = planner.fleet.load(engine, TRAITS)
    for _ in range(count):
        stream = streamload.Stream(prompt_tokens=prompt_tokens)
        load.streams.begin(stream)
        for _ in range(20):
            planner.fleet.observe_pause(engine, TRAITS, pause_s, 0.0)
