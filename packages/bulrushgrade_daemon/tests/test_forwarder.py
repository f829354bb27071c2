"""Tests of what becomes of requests whose endpoints crash."""

import random

import attrs
import fakes
from test_crashledger import involve
from test_directory import make as make_registration
from test_inflight import ROUTE
from twisted.internet import defer
from twisted.web import http_headers

from bulrushgrade import attempts
from bulrushgrade import crashledger
from bulrushgrade import retryshare
from bulrushgrade import routing
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import enginework
from bulrushgrade_daemon import forwarder
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import requestadmission
from bulrushgrade_daemon import requestlog

ONE = make_registration("e1", zone="z1")
OTHER = make_registration("e2", zone="z2")
SAFE = attrs.evolve(
    ROUTE,
    kind=routing.RequestKind.IDEMPOTENT,
    max_attempts=3,
    by_prompt=False,
)
TABLE = routing.RouteTable(
    configuration=routing.Configuration(
        version=1, routes=(SAFE,), services={}, limits=None
    )
)
LOST = inflight.AttemptEnd(
    outcome=attempts.Outcome.LOST, reason="reset", broke_off=True
)


class Caller:
    """A caller's request and what it is answered."""

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


class Answer:
    """An endpoint's whole answer."""

    status = 200
    headers = http_headers.Headers()

    async def read(self, on_data):
        on_data(b"done")
        return outbound.BodyEnd(whole=True)

    def abort(self):
        """Has no connection."""


class Watch:
    """Takes note of broken answers; has their endpoints checked."""

    def __init__(self, ledger):
        self._ledger = ledger
        self.noted = []
        self.is_crash = True

    def note(self, request):
        self.noted.append(request.endpoint.id)
        if self.is_crash:
            endpoint = request.endpoint
            involvement = involve(
                request.fingerprint, endpoint.id, zone=endpoint.zone
            )
            self._ledger.add_involvement(involvement, now=0.0)

    async def settle(self, endpoint):
        """Has nothing to wait for."""


class Scene:
    """A forwarder whose attempts end as a test says."""

    def __init__(self, *ends):
        self.clock, timers, self.broken = fakes.make_timers()
        self.ledger = crashledger.CrashLedger()
        self.watch = Watch(self.ledger)
        self.lines = fakes.EventRecorder()
        self.endpoints = [ONE, OTHER, make_registration("e3", zone="z3")]
        self.ends = list(ends)
        self.sent = []
        self.avoided = []
        self.whole = []
        self.calls = self.chooser = self
        log = requestlog.RequestLog(
            log=self.lines.make(), now=lambda: timers.now
        )
        words = dialect.Dialect(
            read_request_info=lambda headers: dialect.RequestInfo(
                request_id="r1",
                deadline_s=3.0,
                prompt=None,
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
            table=lambda: TABLE,
            endpoints=None,
            others=None,
            index=None,
        )
        self.forwarder = forwarder.Forwarder(
            parts=forwarder.Parts(
                timers=timers,
                admission=requestadmission.RequestAdmission(
                    timers=timers,
                    dialect=words,
                    table=lambda: TABLE,
                    ledger=self.ledger,
                    ends_in_s=lambda: None,
                    log=log,
                    rng=random.Random(1),
                ),
                dialect=words,
                chooser=self,
                work=work,
                calls=self,
                crashes=self.watch,
                ledger=self.ledger,
                note_whole=self.whole.append,
                log=log,
                rng=random.Random(1),
                on_broken=self.broken.append,
            ),
            new_share=lambda: retryshare.RetryShare(
                ratio=1.0, extra=lambda: 10, window_s=10.0
            ),
            note_begun=lambda workspace, at: None,
        )

    def send(self):
        caller = Caller()
        self.forwarder.handle(caller)
        return caller

    # What chooses endpoints.

    async def query_peers(self, request):
        """Has no peers."""

    def choose(self, request):
        self.avoided.append(request.avoid_zones)
        return self.endpoints[len(self.sent) % len(self.endpoints)]

    def succeeded(self, endpoint, latency_s):
        """Learns nothing."""

    def begin(self, endpoint):
        """Keeps no count."""

    def end(self, endpoint):
        """Keeps no count."""

    def failed(self, request, endpoint, ended):
        """Ejects nobody."""

    # What sends requests.

    async def run(self, request, endpoint, prefilled):
        self.sent.append(endpoint.id)
        ended = self.ends.pop(0)
        if isinstance(ended, Exception):
            raise ended
        return await ended if isinstance(ended, defer.Deferred) else ended


def test_request_is_not_sent_on_after_its_third_crash():
    """A request was sent to a fourth endpoint by the host that saw three."""
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
    """A zone failed bit by bit, and its requests were moved within it."""
    scene = Scene(LOST, LOST, LOST)
    scene.send()
    assert scene.avoided == [set(), {"z1"}, {"z1", "z2"}]
    assert scene.send().answers


def test_next_try_of_a_caller_avoids_the_zones_of_earlier_ones():
    scene = Scene(LOST, LOST, LOST)
    scene.ledger.add_involvement(
        involve(name_request(), "e9", zone="z9"), now=0.0
    )
    scene.send()
    assert scene.avoided[0] == {"z9"}


def test_answer_that_did_not_break_off_needs_no_check():
    """Endpoints that answered were checked, at the price of a connection."""
    answered = attrs.evolve(LOST, broke_off=False)
    scene = Scene(answered, answered, answered)
    scene.send()
    assert scene.watch.noted == []


def test_answer_under_way_goes_on_and_clears_its_request():
    """Where it ends whole, its request was not to blame."""
    answer = defer.Deferred()
    scene = Scene(answer)
    caller = scene.send()
    for number in range(3):
        scene.ledger.add_involvement(
            involve(name_request(), f"e{number}", zone=f"z{number}"), now=0.0
        )
    assert caller.answers == []
    answer.callback(Answer())
    assert caller.answers == [200]
    assert scene.whole == [name_request()]


def test_silent_endpoint_is_checked_when_its_caller_leaves():
    """Engines whose hosts vanished closed no connection and were not found."""
    for silent_s, noted in ((0.5, []), (1.5, ["e1"])):
        scene = Scene(defer.Deferred())
        caller = scene.send()
        scene.clock.advance(silent_s)
        caller.is_disconnected = True
        caller.on_disconnect()
        assert scene.watch.noted == noted


def name_request():
    """Returns the fingerprint of what a caller of the scene sends."""
    request = inflight.InFlight(
        caller=Caller(), info=None, route=SAFE, service="llm", deadline=3.0
    )
    return request.fingerprint


def test_request_that_breaks_its_own_task_ends_no_host():
    """A request met a fault of the host, and so did each host after it.

    The process ended with all that it served, and the caller's next try took
    the next host.
    """
    scene = Scene(ValueError("unexpected"))
    caller = scene.send()
    assert caller.answers == [502]
    assert scene.broken == []
    assert scene.lines.count("request_broken") == 1
    assert b"unexpected" in scene.lines.text
    assert scene.forwarder.open_requests == 0
    assert scene.forwarder.counts["ended_broken"] == 1


def test_stream_that_breaks_its_own_task_is_cut():
    answer = defer.Deferred()
    scene = Scene(answer)
    caller = scene.send()
    (request,) = scene.forwarder._open
    request.history.begun = True
    answer.errback(ValueError("unexpected"))
    assert caller.answers == ["cut"]
