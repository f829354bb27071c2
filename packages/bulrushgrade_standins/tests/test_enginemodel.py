"""Tests of the simulated engine on the virtual clock."""

import pytest
import simpy

from bulrushgrade import work
from bulrushgrade_standins import enginemodel


class _EngineBench:
    """One engine, and the times of its jobs' progress."""

    def __init__(self, role=work.Role.MIXED):
        self.env = simpy.Environment()
        self.engine = self.make(role)
        self.times = {}

    def make(self, role):
        return enginemodel.Engine(
            env=self.env, address=role.value, zone="z", role=role
        )

    def job(self, name, prompt, output, *, priority=0, target=None, prefix=()):
        def record_time(what):
            return lambda: self.times.setdefault((name, what), self.env.now)

        return enginemodel.Job(
            request_id=name, prompt_tokens=prompt, output_tokens=output,
            prefix=prefix, priority=priority, decode_engine=target,
            on_prefilled=record_time("read"),
            on_first_token=record_time("first"),
            on_done=record_time("done"), on_failed=record_time("failed"),
        )  # fmt: skip


def test_job_takes_prefill_and_decode_time():
    bench = _EngineBench(work.Role.MIXED)
    assert bench.engine.submit(bench.job("a", 5120, 101))
    bench.env.run()
    chunk_s = 512 / enginemodel.PREFILL_TOKENS_PER_S + enginemodel.STEP_S
    first = bench.times["a", "first"]
    assert first == pytest.approx(10 * chunk_s, rel=0.01)
    step_s = enginemodel.STEP_S + enginemodel.STEP_S_PER_REQUEST
    took = bench.times["a", "done"] - first
    assert took == pytest.approx(100 * step_s, rel=0.01)


def test_prefill_slows_decodes_and_urgent_goes_first():
    alone, beside = _EngineBench(), _EngineBench()
    for bench in (alone, beside):
        bench.engine.submit(bench.job("a", 100, 200))
    beside.engine.submit(beside.job("long", 16000, 10, priority=1))
    beside.engine.submit(beside.job("chat", 500, 10, priority=0))
    alone.env.run()
    beside.env.run()
    assert beside.times["a", "done"] > 1.3 * alone.times["a", "done"]
    assert beside.times["chat", "first"] < beside.times["long", "first"]


def test_prefix_is_prefilled_once():
    bench = _EngineBench(work.Role.MIXED)
    prefix = tuple(range(60))
    bench.engine.submit(bench.job("a", 4000, 2, prefix=prefix))
    bench.env.run()
    cold_s = bench.env.now
    again = bench.job("b", 4000, 2, prefix=prefix)
    bench.engine.submit(again)
    bench.env.run()
    assert again.cached_tokens == 3840
    assert bench.env.now - cold_s < 0.2 * cold_s


def test_roles_reject_other_work_and_transfer_cache():
    bench = _EngineBench(work.Role.PREFILL)
    decoder = bench.make(work.Role.DECODE)
    assert not bench.engine.submit(bench.job("a", 100, 10))
    assert not decoder.submit(bench.job("b", 100, 10))
    assert bench.engine.submit(bench.job("c", 4000, 10, target=decoder))
    bench.env.run()
    assert bench.times["c", "first"] > bench.times["c", "read"]


def test_role_change_drains_before_change_time():
    bench = _EngineBench(work.Role.MIXED)
    bench.engine.submit(bench.job("a", 1000, 100))
    bench.engine.change_role(work.Role.DECODE)
    assert not bench.engine.submit(bench.job("b", 10, 1))
    bench.env.run()
    assert ("a", "failed") not in bench.times
    assert bench.engine.role is work.Role.DECODE
    assert bench.env.now == pytest.approx(
        bench.times["a", "done"] + enginemodel.ROLE_CHANGE_S, abs=0.01
    )


def test_crashed_engine_fails_jobs_and_reports_progress():
    bench = _EngineBench(work.Role.MIXED)
    job = bench.job("a", 100, 1000)
    bench.engine.submit(job)
    bench.env.run(until=2.0)
    bench.engine.crash()
    assert bench.times["a", "failed"] == 2.0
    assert 80 < job.tokens_done < 140
    assert not bench.engine.submit(bench.job("b", 10, 1))
