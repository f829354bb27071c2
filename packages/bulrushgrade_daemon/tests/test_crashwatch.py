"""Tests of detecting endpoints that crash with requests."""

import attrs
import fakes
import pytest
from test_directory import make as make_registration
from test_inflight import ROUTE
from twisted.internet import defer

from bulrushgrade import prompt as prompt_module
from bulrushgrade_daemon import crashwatch
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import inflight

ENGINE = make_registration("e1", born_ms=7)


@attrs.frozen(kw_only=True)
class Caller:
    """A caller with the fields that a fingerprint is computed from."""

    arrived_at: float = 0.0
    address: str = "10.0.0.1"
    method: bytes = b"POST"
    uri: bytes = b"/tag/a"
    path: bytes = b"/tag/a"
    body: bytes = b"draft"


def make_request(id, *, body=b"draft", began_at=None, endpoint=ENGINE):
    request = inflight.InFlight(
        caller=Caller(body=body),
        info=dialect.RequestInfo(
            request_id=id, deadline_s=3.0, prompt=None, last_event_id=None
        ),
        route=ROUTE,
        service="llm",
        deadline=3.0,
    )
    request.endpoint = endpoint
    request.answer_began_at = began_at
    return request


class Scene:
    """A watch whose checks end as the test specifies."""

    def __init__(self):
        self.clock, timers, self.broken = fakes.make_timers()
        self.connect_error: str | None = "ConnectionRefusedError"
        self.leaving: set[str] = set()
        self.checked: list[str] = []
        self.crashes: list[crashwatch.Crash] = []
        self.check_blocker: defer.Deferred | None = None
        self.lines = fakes.EventRecorder()
        self.watch = crashwatch.CrashWatch(
            timers=timers,
            check=self._check,
            is_leaving=lambda endpoint: endpoint.id in self.leaving,
            on_crash=self.crashes.append,
            log=self.lines.make(),
            on_broken=self.broken.append,
        )

    async def _check(self, endpoint):
        self.checked.append(endpoint.id)
        if self.check_blocker is not None:
            await self.check_blocker
        return self.connect_error

    def run_check(self):
        self.clock.advance(crashwatch.CHECK_DELAY_S)


def test_requests_of_one_crash_are_reported_together_after_one_check():
    scene = Scene()
    scene.clock.advance(1.0)
    scene.watch.observe_broken_answer(make_request("r1", began_at=0.9))
    scene.watch.observe_broken_answer(make_request("r2", body=b""))
    scene.run_check()
    (crash,) = scene.crashes
    assert scene.checked == ["e1"]
    assert crash.endpoint == ENGINE
    first, second = crash.runs
    assert (first.request_id, second.request_id) == ("r1", "r2")
    assert first.observed_at - first.began_at == pytest.approx(0.1)
    assert second.began_at is None
    (line,) = scene.lines.read("endpoint_crashed")
    assert [run["ran_s"] for run in line["runs"]] == [0.1, None]
    assert first.fingerprint != second.fingerprint
    assert first.fingerprint.encode() in scene.lines.text
    assert b'"path":"/tag/a"' in scene.lines.text
    assert scene.watch.counts == {"checks": 1, "crashes": 1, "requests": 2}


def test_answer_that_breaks_during_the_check_is_included():
    scene = Scene()
    scene.check_blocker = defer.Deferred()
    scene.watch.observe_broken_answer(make_request("r1"))
    scene.run_check()
    scene.watch.observe_broken_answer(make_request("r2"))
    scene.check_blocker.callback(None)
    (crash,) = scene.crashes
    assert len(crash.runs) == 2


def test_truncated_answer_of_a_live_endpoint_is_no_crash():
    """An endpoint truncates an answer; its request was counted as harmful."""
    scene = Scene()
    scene.connect_error = None
    scene.watch.observe_broken_answer(make_request("r1", began_at=0.0))
    scene.run_check()
    assert scene.checked == ["e1"]
    assert scene.crashes == []


def test_end_of_a_draining_endpoint_is_no_crash():
    """A draining endpoint ends during a request, which got the blame."""
    scene = Scene()
    scene.leaving.add("e1")
    scene.watch.observe_broken_answer(make_request("r1", began_at=0.0))
    scene.run_check()
    assert scene.checked == []


def test_request_waits_until_its_endpoint_is_checked():
    """It was retried at a fourth engine before its third crash was known."""
    scene = Scene()
    scene.check_blocker = defer.Deferred()
    scene.watch.observe_broken_answer(make_request("r1"))
    waiting = fakes.run(scene.watch.wait_for_check(ENGINE))
    scene.run_check()
    assert not waiting.called
    scene.check_blocker.callback(None)
    assert waiting.called
    assert len(scene.crashes) == 1


def test_slow_check_delays_no_request():
    scene = Scene()
    scene.check_blocker = defer.Deferred()
    scene.watch.observe_broken_answer(make_request("r1"))
    waiting = fakes.run(scene.watch.wait_for_check(ENGINE))
    scene.clock.advance(crashwatch.MAX_CHECK_WAIT_S)
    assert waiting.called
    scene.check_blocker.callback(None)
    assert len(scene.crashes) == 1
    assert scene.broken == []


def test_endpoint_without_a_pending_check_needs_no_wait():
    scene = Scene()
    assert fakes.run(scene.watch.wait_for_check(ENGINE)).called


def test_requests_reported_for_one_crash_are_limited():
    scene = Scene()
    for number in range(crashwatch.MAX_RUNS + 10):
        scene.watch.observe_broken_answer(make_request(f"r{number}"))
    scene.run_check()
    (crash,) = scene.crashes
    assert len(crash.runs) == crashwatch.MAX_RUNS


def test_lines_of_crashes_tell_the_prompts_apart():
    """No line told what different requests at crashes had in common."""
    scene = Scene()
    request = make_request("r1", began_at=0.0)
    request.info = attrs.evolve(request.info, prompt=make_prompt("a1", "b2"))
    scene.watch.observe_broken_answer(request)
    scene.run_check()
    (line,) = scene.lines.read("endpoint_crashed")
    (run,) = line["runs"]
    assert run["parts"] == ["a1", "b2"]
    assert run["model"] == "m"
    assert run["prefilling"] is False


def make_prompt(*ids):
    parts = tuple(prompt_module.PromptPart(id=id, tokens=10) for id in ids)
    return prompt_module.Prompt(
        model="m", parts=parts, prompt_tokens=10 * len(ids), output_tokens=5
    )
