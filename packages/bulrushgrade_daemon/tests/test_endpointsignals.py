"""Tests of what endpoints state of themselves in their answers."""

import fakes
from test_directory import make as make_registration

from bulrushgrade import directory
from bulrushgrade import endpointlimits
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import endpointsignals
from bulrushgrade_daemon import ratelimits

E1 = make_registration("e1")
RUN = endpointlimits.AnswerKind.RUN


class Scene:
    """The signals that one host takes in."""

    def __init__(self):
        self.clock, self.timers, _ = fakes.make_timers()
        self.lines = fakes.EventRecorder()
        log = self.lines.make()
        self.directory = directory.Directory(leaving_use_s=1.0)
        self.directory.put(E1, now=0.0)
        self.limits = ratelimits.RateLimits(timers=self.timers, log=log)
        self.signals = endpointsignals.EndpointSignals(
            timers=self.timers,
            limits=self.limits,
            directory=lambda: self.directory,
            log=log,
        )
        fakes.run(self.signals.start())

    def answer(self, *, kind=RUN, endpoint=E1, **verdict):
        fields = {"request_id": "q1", "not_run": False, "misdirected": False}
        self.signals.observe_answer(
            endpoint,
            dialect.Verdict(**(fields | verdict)),
            kind=kind,
            sent_at=self.timers.now,
            request_id="q1",
        )


def test_news_are_logged_once_and_what_is_sent_in_spite_of_them():
    """Guards against days whose lines don't tell what a host knew."""
    scene = Scene()
    scene.signals.count_sent(E1, "first")
    for _ in range(3):
        scene.answer(is_leaving=True, backoff_s=3.0)
    assert scene.lines.count("endpoint_leaving") == 1
    assert scene.lines.count("endpoint_backoff") == 1
    scene.signals.count_sent(E1, "prefill")
    scene.clock.advance(endpointsignals.REPORT_PERIOD_S)
    assert scene.lines.count("unwanted_endpoint_sends") == 1
    assert b'"prefill":1' in scene.lines.text
    counts = scene.signals.counts
    assert counts == {"leaving": 1, "backoff": 3, "unwanted": 1}


def test_answer_of_another_endpoint_says_nothing():
    """Guards against statements of whoever has the address now."""
    scene = Scene()
    scene.answer(misdirected=True, is_leaving=True, backoff_s=3.0)
    assert scene.signals.counts == {}


def test_invalid_statements_are_logged_and_do_no_harm():
    """Guards against a date or a negative number that is taken for a time."""
    scene = Scene()
    scene.answer(invalid_signals=(("backoff", "-3"), ("leaving", "maybe")))
    assert scene.lines.count("endpoint_signal_invalid") == 2
    assert scene.signals.counts == {"invalid": 2}


def test_answers_to_calls_of_the_system_count():
    """Guards against reads and orders whose answers nobody reads for this."""
    scene = Scene()
    guard = scene.signals.guard(E1)
    guard.begin("read")
    guard.observe(
        dialect.Verdict(
            request_id=None, not_run=True, misdirected=False, backoff_s=2.0
        )
    )
    assert scene.lines.count("endpoint_backoff") == 1
    assert b'"source":"control"' in scene.lines.text
