"""Tests of the baselines."""

import random

from bulrushgrade import roleplan
from bulrushgrade import work
from bulrushgrade_standins import baseline
from bulrushgrade_standins import greedyplan


def _made(pick):
    made = baseline.Baseline(read_pick=pick, decode_pick=pick)
    made.set_endpoints(_endpoints("mixed", "mixed", "mixed"), 0.0)
    return made


def _endpoints(*roles):
    return tuple(
        work.Endpoint(address=f"e{n}", model="m", role=work.Role(role))
        for n, role in enumerate(roles)
    )


def _offer(made, name):
    item = work.Work(request_id=name, service="s", deadline=9.0)
    return made.offer(item, 0.0).endpoint


def test_round_robin_takes_turns():
    made = _made(baseline.round_robin())
    assert [_offer(made, f"r{i}") for i in range(4)] == ["e0", "e1", "e2", "e0"]


def test_least_outstanding_follows_what_has_ended():
    made = _made(baseline.least_outstanding(random.Random(1)))
    places = {_offer(made, f"r{i}"): f"r{i}" for i in range(3)}
    assert len(places) == 3
    made.finished(places["e1"], "complete", 1.0)
    assert _offer(made, "r3") == "e1"


def test_greedy_follows_the_mix_at_once():
    plan = greedyplan.GreedyPlan()
    plan.observe("h", work.Demand(model="m"), 0.0)
    demand = work.Demand(model="m", prefill_tokens=80_000, output_tokens=10)
    plan.observe("h", demand, 1.0)
    view = roleplan.GroupView(
        at=1.0,
        endpoints=_endpoints("prefill", "decode", "decode"),
        prefill_tokens_per_s=8000.0,
        decode_tokens_per_s=1000.0,
    )
    assert plan.propose(view, 1.0).role is work.Role.PREFILL
