"""Tests of the baselines."""

import random

from bulrushgrade import roleplan
from bulrushgrade import work
from bulrushgrade_standins import baseline
from bulrushgrade_standins import greedyplan


def _make_baseline(pick):
    policy = baseline.Baseline(prefill_pick=pick, decode_pick=pick)
    policy.set_endpoints(_endpoints("mixed", "mixed", "mixed"), 0.0)
    return policy


def _endpoints(*roles):
    return tuple(
        work.Endpoint(address=f"e{n}", model="m", role=work.Role(role))
        for n, role in enumerate(roles)
    )


def _offer(policy, name):
    item = work.Work(request_id=name, service="s", deadline=9.0)
    return policy.offer(item, 0.0).endpoint


def test_round_robin_takes_turns():
    policy = _make_baseline(baseline.round_robin())
    assert [_offer(policy, f"r{i}") for i in range(4)] == [
        "e0",
        "e1",
        "e2",
        "e0",
    ]


def test_least_outstanding_counts_ended_requests():
    policy = _make_baseline(baseline.least_outstanding(random.Random(1)))
    requests_by_endpoint = {_offer(policy, f"r{i}"): f"r{i}" for i in range(3)}
    assert len(requests_by_endpoint) == 3
    policy.finished(requests_by_endpoint["e1"], "complete", 1.0)
    assert _offer(policy, "r3") == "e1"


def test_greedy_plan_follows_demand_at_once():
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
