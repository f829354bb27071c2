"""Tests of the limits that endpoints state."""

import fakes
from test_directory import make as make_registration

from bulrushgrade import endpointlimits
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import ratelimits

E1 = make_registration("e1")
RUN = endpointlimits.AnswerKind.RUN


class Scene:
    """One host's rate limits."""

    def __init__(self):
        self.clock, self.timers, _ = fakes.make_timers()
        self.lines = fakes.EventRecorder()
        self.limits = ratelimits.RateLimits(
            timers=self.timers, log=self.lines.make()
        )
        fakes.run(self.limits.start())

    def answer(self, per_s, *, endpoint=E1, invalid=None, **verdict):
        found = {"not_run": False, "misdirected": False} | verdict
        self.limits.observe_answer(
            endpoint,
            dialect.Verdict(
                request_id="q1",
                limit_per_s=per_s,
                invalid_limit=invalid,
                **found,
            ),
            kind=RUN,
            sent_at=self.timers.now,
            request_id="q1",
        )

    @property
    def known(self):
        return self.limits.dump()["limits"].get("e1", {}).get("per_s")


def test_changes_of_a_limit_and_what_is_sent_are_logged():
    """Guards against days whose lines don't tell who exceeded a limit."""
    scene = Scene()
    scene.limits.count_sent(E1, "first")
    scene.answer(3.5)
    scene.answer(3.5)
    assert scene.lines.count("endpoint_limit_changed") == 1
    scene.limits.count_sent(E1, "first")
    scene.limits.count_sent(E1, "repeat")
    scene.clock.advance(ratelimits.REPORT_PERIOD_S)
    assert scene.lines.count("limited_endpoint_sends") == 1
    assert b'"first":1,"repeat":1' in scene.lines.text
    assert scene.limits.counts == {"first": 1, "repeat": 1}
    scene.clock.advance(1.0)
    scene.answer(None)
    assert scene.lines.count("endpoint_limit_changed") == 2
    assert (scene.known, scene.limits.limited_endpoints) == (None, 0)


def test_answers_that_are_not_the_endpoints_own_change_nothing():
    """Guards against limits that a reused address or a refusal ends."""
    scene = Scene()
    scene.answer(9.0, misdirected=True, not_run=True)
    assert scene.known is None
    scene.answer(3.5)
    scene.clock.advance(1.0)
    scene.answer(None, not_run=True)
    scene.answer(None, invalid="many")
    assert scene.known == 3.5
    assert scene.lines.count("endpoint_limit_invalid") == 1
