"""Tests of requests whose endpoints crash."""

import random

import attrs
import fakes
import pytest
from test_crashledger import involve
from test_directory import make as make_registration
from test_inflight import ROUTE
from test_partsharing import make_request as make_part_request
from test_partsharing import make_run
from twisted.internet import defer
from twisted.web import http_headers

from bulrushgrade import attempts
from bulrushgrade import crashledger
from bulrushgrade import partledger
from bulrushgrade import retryshare
from bulrushgrade import routing
from bulrushgrade import streamorigins
from bulrushgrade_daemon import answerforwarding
from bulrushgrade_daemon import crashwatch
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import enginework
from bulrushgrade_daemon import forwarder
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import requestadmission
from bulrushgrade_daemon import requestlog
from bulrushgrade_daemon import requestpermits

ONE = make_registration("e1", zone="z1")
OTHER = make_registration("e2", zone="z2")
SAFE = attrs.evolve(
    ROUTE,
    kind=routing.RequestKind.IDEMPOTENT,
    max_attempts=3,
    by_prompt=False,
)
STREAM = attrs.evolve(SAFE, kind=routing.RequestKind.STREAM, resumable=True)


def make_table(route):
    return routing.RouteTable(
        configuration=routing.Configuration(
            version=1, routes=(route,), services={}, limits=None
        )
    )


LOST = inflight.AttemptEnd(
    outcome=attempts.Outcome.LOST, reason="reset", connection_lost=True
)


class Caller:
    """A caller's request that records its answers."""

    arrived_at = 0.0
    is_disconnected = False
    on_disconnect = None
    address = "10.0.0.1"
    method = b"GET"
    uri = path = b"/a"
    body = b""

    def __init__(self):
        self.requestHeaders = http_headers.Headers({b"host": [b"h"]})
        self.answers = []

    def answer(self, status, fields, body):
        self.answers.append(status)

    def refuse(self, after_s):
        self.answers.append(("refused", after_s))

    def abort_connection(self):
        self.answers.append("cut")

    def set_producer(self, producer):
        """Does nothing; the endpoint is never paused."""

    def set_head(self, status, fields, length):
        self.answers.append(status)

    def write(self, data):
        self.answers.append(data[:1])

    def finish_stream(self):
        self.answers.append("complete")


class Answer:
    """An endpoint's whole answer."""

    status = 200
    headers = http_headers.Headers()

    async def read(self, on_data):
        on_data(b"done")
        return outbound.BodyEnd(whole=True)

    def abort(self):
        """Does nothing; there is no connection."""


class LongAnswer(Answer):
    """An answer that is forwarded before its end, and then breaks off."""

    producer = None

    async def read(self, on_data):
        on_data(b"1" * (answerforwarding.MAX_BUFFERED_BYTES + 1))
        return outbound.BodyEnd(whole=False, reason="reset")


class Events(Answer):
    """A stream whose first events arrive, and which breaks off or ends."""

    producer = None

    def __init__(self, data, *, whole, status=200):
        self._data, self._whole = data, whole
        self.status = status

    async def read(self, on_data):
        on_data(self._data)
        return outbound.BodyEnd(whole=self._whole, reason="reset")


class Watch:
    """Records truncated answers, each taken for a crash if so set."""

    def __init__(self, ledger):
        self._ledger = ledger
        self.checked = []
        self.is_crash = True

    def observe_broken_answer(self, request):
        self.checked.append(request.endpoint.id)
        if self.is_crash:
            endpoint = request.endpoint
            involvement = involve(
                request.fingerprint, endpoint.id, zone=endpoint.zone
            )
            self._ledger.add_involvement(involvement, now=0.0)

    async def wait_for_check(self, endpoint):
        """Returns at once; checks take no time here."""


class Scene:
    """A forwarder whose attempts end as the test specifies."""

    def __init__(self, *ends, route=SAFE, retries_early=False):
        self.clock, timers, self.broken = fakes.make_timers()
        self.prompt = None
        self.ledger = crashledger.CrashLedger()
        self.watch = Watch(self.ledger)
        self.lines = fakes.EventRecorder()
        self.endpoints = [ONE, OTHER, make_registration("e3", zone="z3")]
        self.ends = list(ends)
        table = make_table(route)
        self.sent = []
        self.avoided = []
        self.completed = []
        # The software versions that began streams, and whether that is
        # uncertain.
        self.recorded = []
        self.disputes = False
        self.calls = self.chooser = self
        self.permits = fakes.Permits()
        log = requestlog.RequestLog(
            log=self.lines.make(), now=lambda: timers.now
        )
        fake_dialect = dialect.Dialect(
            read_request_info=lambda headers: dialect.RequestInfo(
                request_id="r1",
                deadline_s=3.0,
                prompt=self.prompt,
                last_event_id=None,
            ),
            write_fields=None,
            read_verdict=None,
            write_answer_fields=lambda headers: [],
            read_prefilled=None,
            free_prefilled=None,
            challenge=(),
        )
        work = enginework.EngineWork(
            timers=timers,
            table=lambda: table,
            endpoints=None,
            peers=None,
            index=None,
        )
        self.parts = fakes.make_parts(timers)
        self.forwarder = forwarder.Forwarder(
            dependencies=forwarder.Dependencies(
                timers=timers,
                admission=requestadmission.RequestAdmission(
                    timers=timers,
                    dialect=fake_dialect,
                    table=lambda: table,
                    ledger=self.ledger,
                    parts=self.parts,
                    ends_in_s=lambda: None,
                    log=log,
                    rng=random.Random(1),
                ),
                dialect=fake_dialect,
                chooser=self,
                work=work,
                calls=self,
                permits=self.permits,
                origins=self,
                crashes=self.watch,
                ledger=self.ledger,
                parts=self.parts,
                observe_completion=self.completed.append,
                log=log,
                rng=random.Random(1),
                on_broken=self.broken.append,
            ),
            make_retry_share=lambda: retryshare.RetryShare(
                ratio=1.0, extra=lambda: 10, window_s=10.0
            ),
            record_run_start=lambda workspace, at: None,
            retries_early=lambda: retries_early,
        )

    @property
    def open_requests(self):
        """The requests in flight."""
        return list(self.forwarder._open)

    def send(self):
        caller = Caller()
        self.forwarder.handle(caller)
        return caller

    # The methods of the endpoint chooser.

    async def query_peers(self, request):
        """Does nothing; there are no peers."""

    def choose(self, request):
        self.avoided.append(request.avoid_zones)
        skipped = [e for e in self.endpoints if e.id in self.denied]
        if len(skipped) == len(self.endpoints):
            return None
        endpoint = self.endpoints[len(self.sent) % len(self.endpoints)]
        while endpoint.id in self.denied:
            endpoint = self.endpoints[self.endpoints.index(endpoint) + 1]
        return endpoint

    @property
    def denied(self):
        """The endpoints that the permits have denied."""
        asked = [id for id, _ in self.permits.needs]
        return {id for id in asked if self.permits.closed[id] > 0}

    def has_room(self, request):
        closed = self.permits.closed | self.permits.backoffs_s
        return len(closed) < len(self.endpoints)

    def has_unlimited_alternative(self, request, endpoint):
        return len(self.permits.closed) < len(self.endpoints)

    def book_return_s(self, request, max_return_s):
        return None

    def explain_no_endpoint(self, request):
        return "no endpoint"

    def observe_success(self, endpoint, latency_s):
        """Does nothing."""

    def begin(self, endpoint):
        """Does nothing."""

    def end(self, endpoint):
        """Does nothing."""

    def observe_failed_attempt(self, request, endpoint, ended):
        """Does nothing; no endpoint is ejected."""

    # The methods of the sharing of origins.

    async def find(self, request):
        return streamorigins.Origin(service="llm", software="v1")

    def record(self, request):
        self.recorded.append(request.origin.software)

    def is_disputed(self, request):
        return self.disputes

    # The methods of `EndpointCalls`.

    async def run(self, request, endpoint, prefilled):
        self.sent.append(endpoint.id)
        ended = self.ends.pop(0)
        if isinstance(ended, Exception):
            raise ended
        return await ended if isinstance(ended, defer.Deferred) else ended


def test_request_is_not_retried_after_its_third_crash():
    """The host that saw three crashes sent the request to a fourth endpoint."""
    scene = Scene(LOST, LOST, LOST)
    caller = scene.send()
    assert scene.sent == ["e1", "e2", "e3"]
    assert caller.answers == [502]
    late = scene.send()
    assert scene.sent == ["e1", "e2", "e3"]
    assert late.answers == [("refused", crashledger.QUARANTINE_S)]
    assert scene.lines.count("request_refused") == 1
    assert scene.forwarder.counts["refused_quarantined"] == 1


def test_crash_sends_a_request_to_another_zone():
    """A zone failed gradually, and its requests were retried within it."""
    scene = Scene(LOST, LOST, LOST)
    scene.send()
    assert scene.avoided == [set(), {"z1"}, {"z1", "z2"}]
    assert scene.send().answers


def test_callers_retry_avoids_the_zones_of_earlier_crashes():
    scene = Scene(LOST, LOST, LOST)
    scene.ledger.add_involvement(
        involve(make_fingerprint(), "e9", zone="z9"), now=0.0
    )
    scene.send()
    assert scene.avoided[0] == {"z9"}


def test_complete_failure_answer_triggers_no_endpoint_check():
    """Endpoints that answered were checked, which cost a connection each."""
    answered = attrs.evolve(LOST, connection_lost=False)
    scene = Scene(answered, answered, answered)
    scene.send()
    assert scene.watch.checked == []


def test_whole_answer_clears_a_quarantined_request():
    """If the answer completes, the request did not cause the crashes."""
    answer = defer.Deferred()
    scene = Scene(answer)
    caller = scene.send()
    for number in range(3):
        scene.ledger.add_involvement(
            involve(make_fingerprint(), f"e{number}", zone=f"z{number}"),
            now=0.0,
        )
    assert caller.answers == []
    answer.callback(Answer())
    assert caller.answers == [200]
    assert scene.completed == [make_fingerprint()]


def test_silent_endpoint_is_checked_when_its_caller_leaves():
    """Engines on vanished hosts closed no connection and went undetected."""
    for silent_s, checked in ((0.5, []), (1.5, ["e1"])):
        scene = Scene(defer.Deferred())
        caller = scene.send()
        scene.clock.advance(silent_s)
        caller.is_disconnected = True
        caller.on_disconnect()
        assert scene.watch.checked == checked


def make_fingerprint():
    """Returns the fingerprint of the request that the scene sends."""
    request = inflight.InFlight(
        caller=Caller(), info=None, route=SAFE, service="llm", deadline=3.0
    )
    return request.fingerprint


def test_unexpected_error_in_a_request_does_not_stop_the_host():
    """A request triggers a fault in the host's code, on every host.

    The process stopped and cut all its requests, and the caller's retry
    stopped the next host.
    """
    scene = Scene(ValueError("unexpected"))
    caller = scene.send()
    assert caller.answers == [502]
    assert scene.broken == []
    assert scene.lines.count("request_broken") == 1
    assert b"unexpected" in scene.lines.text
    assert scene.forwarder.open_requests == 0
    assert scene.forwarder.counts["ended_broken"] == 1


def test_stream_with_an_unexpected_error_is_cut():
    answer = defer.Deferred()
    scene = Scene(answer)
    caller = scene.send()
    (request,) = scene.forwarder._open
    request.history.begun = True
    answer.errback(ValueError("unexpected"))
    assert caller.answers == ["cut"]


def test_request_above_an_endpoints_limit_is_served_elsewhere():
    """Guards against requests to an endpoint that accepts no more of them."""
    scene = Scene(Answer())
    scene.permits.closed = {"e1": 0.4}
    caller = scene.send()
    assert scene.sent == ["e2"]
    assert caller.answers == [200]
    # It does not wait while another endpoint can serve it.
    ((_, need),) = scene.permits.needs
    assert need.max_wait_s == 0


def test_request_above_all_limits_is_refused_with_the_time_to_return():
    """Guards against callers who wait, or return when nothing has changed."""
    scene = Scene()
    scene.permits.closed = {"e1": 0.7, "e2": 0.5, "e3": 0.9}
    caller = scene.send()
    assert scene.sent == []
    assert caller.answers == [("refused", 0.5)]
    waits_s = {need.max_wait_s for _, need in scene.permits.needs}
    target_s = SAFE.target_s
    assert waits_s == {requestpermits.MAX_WAIT_FRACTION * target_s}


def test_retry_needs_a_permit_too():
    """Guards against retries on top of what an endpoint accepts."""
    scene = Scene(LOST, Answer())
    scene.watch.is_crash = False
    scene.permits.closed = {"e2": 0.4}
    caller = scene.send()
    assert scene.sent == ["e1", "e3"]
    assert caller.answers == [200]
    assert [id for id, _ in scene.permits.needs] == ["e2"]


def test_long_answer_that_breaks_off_is_not_joined_with_another():
    """Guards against the second run's answer behind a part of the first."""
    scene = Scene(LongAnswer(), Answer())
    caller = scene.send()
    assert caller.answers == [200, b"1", "cut"]
    assert scene.sent == ["e1"]


TORN = b"id: 1\ndata: a\n\nid: 2"
REST = b"id: 2\ndata: b\n\n"


def test_stream_that_breaks_off_goes_on():
    scene = Scene(
        Events(TORN, whole=False), Events(REST, whole=True), route=STREAM
    )
    caller = scene.send()
    assert caller.answers == [200, b"i", b"i", "complete"]
    # It was recorded before the first byte, and once.
    assert scene.recorded == [""]


def test_stream_of_uncertain_origin_does_not_go_on():
    """Guards against endpoints that came back with other software."""
    scene = Scene(Events(TORN, whole=False), route=STREAM)
    scene.disputes = True
    assert scene.send().answers == [200, b"i", "cut"]


def test_stream_is_not_joined_with_an_error_page():
    """Guards against an answer to the rest that is no events."""
    scene = Scene(
        Events(TORN, whole=False),
        Events(b"not found", whole=True, status=404),
        route=attrs.evolve(STREAM, max_attempts=2),
    )
    assert scene.send().answers == [200, b"i", "cut"]


CRASH_GAP_S = 0.2


def crash_engines(scene, count, *parts):
    """Has endpoints crash with requests of other callers."""
    for number in range(count):
        scene.clock.advance(CRASH_GAP_S)
        at = scene.clock.seconds()
        scene.parts.observe_crash(
            crashwatch.Crash(
                endpoint=make_registration(f"x{number}", zone=f"y{number}"),
                runs=(make_run(number, *parts, at=at),),
                reason="refused",
                noticed_at=at,
            )
        )


def make_prompt(*parts):
    return make_part_request(*parts).info.prompt


def test_request_with_a_quarantined_part_is_refused_at_once():
    """Each new request with the part crashed engines until its own third."""
    scene = Scene(route=STREAM)
    scene.prompt = make_prompt("first", "bad")
    crash_engines(scene, 3, "bad")
    caller = scene.send()
    assert scene.sent == []
    assert caller.answers == [("refused", partledger.TRIAL_DELAYS_S[0])]
    assert scene.forwarder.counts["refused_parts"] == 1
    (line,) = scene.lines.read("request_refused")
    assert line["reason"] == "prompt part quarantined"
    scene.prompt = make_prompt("first", "good")
    scene.ends.append(Events(b"id: 1\n\n", whole=True))
    assert scene.send().answers[-1] == "complete"


@pytest.mark.parametrize(("crashes", "attempts"), [(1, 3), (2, 1)])
def test_request_is_not_retried_after_two_crashes_of_its_part(
    crashes, attempts
):
    """One request crashed engine after engine by its retries."""
    scene = Scene(LOST, LOST, LOST)
    scene.watch.is_crash = False
    scene.prompt = make_prompt("bad")
    crash_engines(scene, crashes, "bad")
    scene.send()
    assert len(scene.sent) == attempts


def test_request_that_waits_at_an_engine_is_withdrawn_with_its_part():
    """Queued requests crashed the engines that returned."""
    scene = Scene(defer.Deferred(), route=STREAM)
    scene.prompt = make_prompt("bad")
    crash_engines(scene, 2, "bad")
    caller = scene.send()
    scene.open_requests[0].written_at = scene.clock.seconds()
    crash_engines(scene, 3, "bad")
    # It was sent, so that it may have run.
    assert caller.answers == [502]
    assert scene.forwarder.open_requests == 0
    assert scene.sent == ["e1"]


def test_request_that_was_not_sent_yet_is_refused_with_its_part():
    scene = Scene(defer.Deferred(), route=STREAM)
    scene.prompt = make_prompt("bad")
    caller = scene.send()
    crash_engines(scene, 3, "bad")
    assert caller.answers == [("refused", partledger.TRIAL_DELAYS_S[0])]


def test_begun_answer_is_not_withdrawn():
    """What has begun shows soon by itself what its parts do."""
    scene = Scene(defer.Deferred(), route=STREAM)
    scene.prompt = make_prompt("bad")
    caller = scene.send()
    (request,) = scene.open_requests
    request.written_at = request.answer_began_at = 0.5
    crash_engines(scene, 3, "bad")
    assert caller.answers == []
    assert scene.forwarder.open_requests == 1


@pytest.mark.parametrize(
    ("answer", "is_sound"),
    [
        (Events(b"id: 1\n\n", whole=True), True),
        (Events(b"", whole=True), False),
        (Events(b"id: 1\n\n", whole=False), False),
        (Events(b"no", whole=True, status=404), False),
    ],
    ids=["whole", "no events", "broken", "error"],
)
def test_only_a_whole_answer_shows_that_a_part_is_sound(answer, is_sound):
    """An error, or the end of a stream that had ended, cleared a part."""
    route = attrs.evolve(STREAM, max_attempts=1)
    scene = Scene(answer, route=route)
    scene.prompt = make_prompt("part")
    crash_engines(scene, 2, "part")
    scene.send()
    (key,) = make_part_request("part").shared_part_keys
    assert scene.parts.ledger.is_suspect(key) is not is_sound
