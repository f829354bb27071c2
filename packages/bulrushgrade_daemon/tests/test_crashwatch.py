"""Tests of how endpoints that end with requests are noticed."""

import attrs
import fakes
import pytest
from test_directory import make as make_registration
from test_inflight import ROUTE
from twisted.internet import defer

from bulrushgrade_daemon import crashwatch
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import inflight

ENGINE = make_registration("e1", born_ms=7)


@attrs.frozen(kw_only=True)
class Caller:
    """What a fingerprint is made from."""

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
    """A watch whose checks are answered by the test."""

    def __init__(self):
        self.clock, timers, self.broken = fakes.make_timers()
        self.refusal: str | None = "ConnectionRefusedError"
        self.leaving: set[str] = set()
        self.checked: list[str] = []
        self.crashes: list[crashwatch.Crash] = []
        self.held: defer.Deferred | None = None
        self.lines = fakes.EventRecorder()
        self.watch = crashwatch.CrashWatch(
            timers=timers,
            check=self._check,
            is_leaving=lambda endpoint: endpoint.id in self.leaving,
            take_crash=self.crashes.append,
            log=self.lines.make(),
            on_broken=self.broken.append,
        )

    async def _check(self, endpoint):
        self.checked.append(endpoint.id)
        if self.held is not None:
            await self.held
        return self.refusal

    def settle(self):
        self.clock.advance(crashwatch.GATHER_S)


def test_requests_of_one_crash_are_told_together_after_one_check():
    scene = Scene()
    scene.clock.advance(1.0)
    scene.watch.note(make_request("r1", began_at=0.9))
    scene.watch.note(make_request("r2", body=b""))
    scene.settle()
    (crash,) = scene.crashes
    assert scene.checked == ["e1"]
    assert crash.endpoint == ENGINE
    first, second = crash.runs
    assert (first.request_id, second.request_id) == ("r1", "r2")
    assert first.ran_s == pytest.approx(0.1)
    assert second.ran_s is None
    assert first.fingerprint != second.fingerprint
    assert first.fingerprint.encode() in scene.lines.text
    assert b'"path":"/tag/a"' in scene.lines.text
    assert scene.watch.counts == {"checks": 1, "crashes": 1, "requests": 2}


def test_answer_that_breaks_off_while_its_endpoint_is_checked_is_told_too():
    scene = Scene()
    scene.held = defer.Deferred()
    scene.watch.note(make_request("r1"))
    scene.settle()
    scene.watch.note(make_request("r2"))
    scene.held.callback(None)
    (crash,) = scene.crashes
    assert len(crash.runs) == 2


def test_torn_answer_of_an_endpoint_that_goes_on_is_no_crash():
    """An endpoint tears an answer; its request was taken for harmful."""
    scene = Scene()
    scene.refusal = None
    scene.watch.note(make_request("r1", began_at=0.0))
    scene.settle()
    assert scene.checked == ["e1"]
    assert scene.crashes == []


def test_planned_end_is_no_crash():
    """An endpoint that drains ends with a request; that was to blame."""
    scene = Scene()
    scene.leaving.add("e1")
    scene.watch.note(make_request("r1", began_at=0.0))
    scene.settle()
    assert scene.checked == []


def test_request_waits_until_its_endpoint_is_checked():
    """It was sent on before its third crash was known, to a fourth engine."""
    scene = Scene()
    scene.held = defer.Deferred()
    scene.watch.note(make_request("r1"))
    settled = fakes.run(scene.watch.settle(ENGINE))
    scene.settle()
    assert not settled.called
    scene.held.callback(None)
    assert settled.called
    assert len(scene.crashes) == 1


def test_check_that_takes_long_holds_no_request_up():
    scene = Scene()
    scene.held = defer.Deferred()
    scene.watch.note(make_request("r1"))
    settled = fakes.run(scene.watch.settle(ENGINE))
    scene.clock.advance(crashwatch.SETTLE_S)
    assert settled.called
    scene.held.callback(None)
    assert len(scene.crashes) == 1
    assert scene.broken == []


def test_nobody_waits_for_an_endpoint_that_needs_no_check():
    scene = Scene()
    assert fakes.run(scene.watch.settle(ENGINE)).called


def test_crash_with_very_many_requests_is_told_within_a_limit():
    scene = Scene()
    for number in range(crashwatch.MOST_RUNS + 10):
        scene.watch.note(make_request(f"r{number}"))
    scene.settle()
    (crash,) = scene.crashes
    assert len(crash.runs) == crashwatch.MOST_RUNS
