"""Tests of what endpoints state of themselves in their answers."""

import fakes
from test_directory import make as make_registration

from bulrushgrade import directory
from bulrushgrade import endpointdrains
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
        self.limits = ratelimits.RateLimits(timers=self.timers, log=log)
        self.signals = endpointsignals.EndpointSignals(
            timers=self.timers,
            limits=self.limits,
            directory=lambda: self.directory,
            log=log,
        )
        self.directory = directory.Directory(
            leaving_use_s=1.0, drains=self.signals.drains
        )
        self.directory.put(E1, now=0.0)
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
    for _ in range(3):
        scene.answer(invalid_signals=(("backoff", "-3"), ("leaving", "maybe")))
    # An endpoint that says it in each answer must not fill the log.
    assert scene.lines.count("endpoint_signal_invalid") == 2
    assert scene.signals.counts == {"invalid": 6}
    scene.answer(invalid_signals=(("backoff", "soon"),))
    assert scene.lines.count("endpoint_signal_invalid") == 3


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


def test_calls_are_withheld_in_a_backoff_and_from_a_leaving_endpoint():
    """Guards against reads and orders that an endpoint does not want."""
    scene = Scene()
    scene.answer(backoff_s=2.0)
    guard = scene.signals.guard(E1)
    assert not guard.begin("order")
    scene.clock.advance(2.1)
    assert guard.begin("order")
    scene.answer(is_leaving=True)
    scene.clock.advance(1.1)
    assert not guard.begin("order")
    # Freeing a prefill helps an engine that is leaving.
    assert scene.signals.guard(E1, may_be_leaving=True).begin("free")
    assert scene.signals.counts["withheld"] == 2


def test_refusals_do_not_count_as_accepted():
    """Guards against a rate that rises with the requests that are refused."""
    scene = Scene()
    for _ in range(20):
        scene.answer(not_run=True)
        scene.clock.advance(0.1)
    scene.answer(not_run=True, backoff_s=1.0)
    assert scene.signals.backoffs.find(E1.incarnation).accepted_per_s == 0.0


def test_restarted_endpoint_has_no_backoff():
    scene = Scene()
    scene.answer(backoff_s=9.0)
    assert scene.signals.backoff_left_s(E1) == 9.0
    again = make_registration("e1", born_ms=2)
    assert scene.signals.backoff_left_s(again) == 0.0


def test_drain_of_a_peer_counts_from_its_time():
    """Guards against a drain that begins anew at each host that hears of it."""
    scene = Scene()
    scene.clock.advance(5.0)
    scene.signals.merge_drain((*E1.incarnation, 700), peer="h2/1")
    assert scene.lines.count("endpoint_leaving") == 1
    assert scene.signals.why_withheld(E1) is None
    scene.clock.advance(0.4)
    assert scene.signals.why_withheld(E1) is endpointsignals.Reason.LEAVING


def test_old_news_of_an_unknown_endpoint_are_dropped():
    """Guards against drains of ended endpoints that go round for ever."""
    scene = Scene()
    old_ms = round(endpointdrains.FORGET_S * 1000)
    scene.signals.merge_drain(("gone", 1, old_ms), peer="h2/1")
    assert scene.lines.count("endpoint_leaving") == 0
    scene.signals.merge_drain((*E1.incarnation, old_ms), peer="h2/1")
    assert scene.lines.count("endpoint_leaving") == 1
