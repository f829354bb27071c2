"""Tests of replays: what callers get from the scheduler under load."""

import functools
import json
import random

import pytest

from bulrushgrade import work
from bulrushgrade_standins import baseline
from bulrushgrade_standins import outcome
from bulrushgrade_standins import replay
from bulrushgrade_standins import trace
from bulrushgrade_standins import tracegen


@functools.cache
def _trace(case, duration_s=45.0):
    return tracegen.generate(
        tracegen.ORTAK, case, seed=5, duration_s=duration_s
    )


@functools.cache
def _replay_scheduler(case):
    return replay.replay(_trace(case), seed=5)


def _make_least_outstanding(rng: random.Random) -> baseline.Baseline:
    pick = baseline.least_outstanding(rng)
    return baseline.Baseline(prefill_pick=pick, decode_pick=pick)


@functools.cache
def _baseline(case):
    run = replay.Replay(
        trace=_trace(case),
        make_policy=_make_least_outstanding,
        planner=None,
        seed=5,
    )
    return outcome.summarize(run.run())


def _on_time(case):
    return outcome.summarize(_replay_scheduler(case))["on_time"]


@pytest.mark.parametrize(
    "case,least",
    [
        ("steady", 0.95),
        ("flips", 0.95),
        ("bursts", 0.9),
        ("skew", 0.97),
        ("slow", 0.8),
        ("lost", 0.8),
        ("mix", 0.85),
    ],
)
def test_more_requests_on_time_than_least_outstanding(case, least):
    assert _on_time(case) >= least
    assert _on_time(case) > _baseline(case)["on_time"]


def test_saturation_delivers_as_much_as_capacity():
    """At four times the load that fills the fleet, goodput must not drop.

    Without admission control every answer would be late.
    """
    full, over = (
        outcome.summarize(_replay_scheduler(case))["goodput_per_s"]
        for case in ("full1x", "full4x")
    )
    assert over >= 0.95 * full
    assert outcome.summarize(_replay_scheduler("full4x"))["late"] < 200


def test_saturation_leaves_no_team_without_answers():
    served = {"grade": 0, "portal": 0, "tag": 0}
    for call in _replay_scheduler("full4x").calls:
        served[call.request.service] += call.on_time
    assert min(served.values()) > 20


def test_every_call_ends_once_and_leaves_no_load():
    outcome = _replay_scheduler("lost")
    assert all(call.outcome for call in outcome.calls)
    for dump in outcome.dumps:
        assert dump["waiting"] == dump["in_progress"] == 0
        assert all(e["own"] == 0.0 for e in dump["endpoints"].values())


def test_lost_engine_adds_few_retries():
    """An engine is lost, and the host list shows it up to two seconds late.

    Requests that it ran are retried within the retry budget. Requests that it
    rejects go to other engines, and soon no more are sent to it.
    """
    calls = len(_replay_scheduler("lost").calls)
    assert 0 < _replay_scheduler("lost").retries <= 0.1 * calls
    assert _replay_scheduler("lost").rejections <= 0.1 * calls


def test_steady_load_changes_no_role():
    assert _replay_scheduler("steady").role_changes == 0


def test_wrong_role_split_is_corrected():
    """Four of five engines prefill, and one decodes.

    Callers are refused because decode capacity is missing. One or two role
    changes correct this; without the role plan it would remain.
    """
    made = _trace("wrong", 100.0)
    planned = outcome.summarize(replay.replay(made, seed=5))
    fixed = replay.Replay(
        trace=made, make_policy=replay.new_scheduler, planner=None, seed=5
    ).run()
    gained = planned["on_time"] - outcome.summarize(fixed)["on_time"]
    assert 1 <= planned["role_changes"] <= 2
    assert gained > 0.05


def test_same_seed_gives_same_outcome():
    again = replay.replay(_trace("flips"), seed=5)
    assert outcome.summarize(again) == outcome.summarize(
        _replay_scheduler("flips")
    )


def test_role_change_interrupts_no_request():
    """An engine is ordered to change its role while it decodes.

    Answers would break off if the engine did not drain first.
    """
    run = replay.Replay(
        trace=_trace("steady"),
        make_policy=replay.new_scheduler,
        planner=_SingleChange(),
        seed=5,
    ).run()
    assert run.role_changes == 1
    assert not [c for c in run.calls if c.outcome == "failed"]
    assert run.retries == 0


class _SingleChange:
    """A planner that changes the role of one engine once."""

    def __init__(self):
        self._done = False

    def observe(self, host, demand, now):
        pass

    def propose(self, view, now):
        if self._done or now < 20.0:
            return None
        return replay.roleplan.RoleChange(
            endpoint=view.endpoints[2].address,
            role=work.Role.DECODE,
            gain_s=1.0,
            cost_s=0.0,
        )

    def record_change(self, change, now):
        self._done = True


def test_replay_of_a_file_reports_for_people_and_programs(tmp_path):
    path = tmp_path / "trace.jsonl"
    trace.write_trace(_trace("steady", 15.0), path)
    assert "goodput_per_s" in replay.replay_file(path)
    assert json.loads(replay.replay_file(path, json=True))["offered"] > 0
