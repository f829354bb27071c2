"""Tests of a gateway's bounds on answers that never end."""

import types

import badanswers
import fakes
import pytest
from returns.result import Success
from test_endpointcalls import E1
from test_endpointcalls import Scene
from test_inflight import make as make_inflight
from twisted.internet import error

from bulrushgrade import answerlimits
from bulrushgrade import attempts
from bulrushgrade import eventstream
from bulrushgrade_daemon import answerforwarding
from bulrushgrade_daemon import answerwatch
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import relayclient
from bulrushgrade_daemon import relayframes

FIELDS = [(b"host", b"e1")]
REQUEST = outbound.OutboundRequest(method=b"GET", uri=b"/", headers=FIELDS)
ENDLESS = badanswers.HEADS | badanswers.FRAMINGS | badanswers.BODIES
BODIES = badanswers.FRAMINGS | badanswers.ERRORS
LOST, BROKEN = attempts.Outcome.LOST, attempts.Outcome.BROKEN_STREAM
DIALECT = types.SimpleNamespace(write_answer_fields=lambda headers: [])


class Caller:
    """A caller that takes an answer at once."""

    is_disconnected = False
    is_finished = False
    taken_bytes = 0

    def set_producer(self, producer):
        """Pauses nothing."""

    def write(self, data):
        self.taken_bytes += len(data)

    def finish_stream(self, *answer):
        self.is_finished = True

    def set_head(self, status, fields, length):
        """Takes the head."""

    answer = finish_stream


def make_request(sent):
    """Returns a request whose endpoint has sent the head of its answer."""
    return types.SimpleNamespace(
        caller=Caller(),
        endpoint_answer=sent,
        history=attempts.AttemptHistory(),
        splitter=eventstream.EventSplitter(),
    )


def forward_events(request):
    return answerforwarding.forward_events(
        request,
        DIALECT,
        on_begin=lambda: None,
        on_arrival=lambda: None,
        on_events=lambda count: None,
    )


def forward_whole(request):
    return answerforwarding.forward_whole(request, DIALECT, lambda: None)


def read_failure(request):
    return answerforwarding.read_failure(request, DIALECT)


def begin(head):
    """Sends a request; returns it, the endpoint and what came of it."""
    client = outbound.Client()
    flood = badanswers.Flood(client)
    found = []
    fakes.run(outbound.send_on(client, REQUEST)).addBoth(found.append)
    flood.send(head)
    return make_request(found[0].unwrap()), flood


def forward(kind, head, repeated, up_to=badanswers.FLOOD_BYTES):
    """Returns the request, the endpoint and the ends of an attempt."""
    request, flood = begin(head)
    ended = []
    fakes.run(kind(request)).addBoth(ended.append)
    flood.send(b"", repeated, up_to)
    return request, flood, ended


def fetch(head, repeated):
    """Returns what came of a call of the host's own, and the endpoint."""
    clock, _, _ = fakes.make_timers()
    client = outbound.Client()
    flood = badanswers.Flood(client)

    async def open_client():
        return Success(client)

    found = []
    fakes.run(
        outbound.fetch_on(
            clock, open_client, REQUEST, timeout_s=1.0, max_bytes=1_000
        )
    ).addBoth(found.append)
    flood.send(head, repeated)
    return found, flood


@pytest.mark.parametrize("name", ENDLESS)
def test_answer_to_a_call_is_bounded(name):
    """Guards against heads and bodies that fill the memory.

    The reason in the log must not only say that a connection was lost.
    """
    found, flood = fetch(*ENDLESS[name])
    flood.check_is_bounded()
    failed = found[0].failure()
    assert failed.written
    assert failed.reason == answerlimits.describe(failed.limit)


@pytest.mark.parametrize("name", badanswers.HEADS)
def test_head_that_a_peer_relays_is_bounded(name):
    """Guards against endpoints that are bounded on the direct path only."""
    client = outbound.Client()
    relayed = relayclient.RelayedConnection(
        inner=client, wanted=relayframes.Open(peer="h", endpoint="e", born_ms=1)
    )
    flood = badanswers.Flood(relayed)
    opened = relayframes.Reply(status=relayframes.Status.OPENED)
    flood.send(relayframes.encode_reply(opened))
    found = []
    fakes.run(outbound.send_on(client, REQUEST)).addBoth(found.append)
    head, repeated = badanswers.HEADS[name]
    block = repeated * (badanswers.READ_BYTES // len(repeated))
    flood.send(
        relayframes.make_frame(relayframes.FrameKind.DATA, head + block),
        relayframes.make_frame(relayframes.FrameKind.DATA, block),
    )
    flood.check_is_bounded()
    assert found[0].failure().limit is not None


@pytest.mark.parametrize(
    ("kind", "name", "outcome"),
    [
        *((read_failure, n, LOST) for n in badanswers.ERRORS),
        *((forward_events, n, BROKEN) for n in badanswers.FRAMINGS),
    ],
)
def test_body_without_end_or_content_is_bounded(kind, name, outcome):
    """Guards against errors that fill the memory, and endless chunk sizes.

    The endpoint has not crashed, so no prompt may be suspected.
    """
    request, flood, ended = forward(kind, *BODIES[name])
    flood.check_is_bounded()
    assert ended[0].outcome is outcome
    assert not ended[0].connection_lost
    assert not request.caller.is_finished


def test_event_without_end_is_bounded():
    """Guards against an event that fills the memory."""
    request, flood, ended = forward(
        forward_events, badanswers.OK + badanswers.END, b"data: x"
    )
    most = eventstream.MAX_EVENT_BYTES + 2 * badanswers.READ_BYTES
    assert flood.sent_bytes <= most
    assert ended[0].outcome is BROKEN
    assert ended[0].reason == "event_bytes over the limit"
    assert not ended[0].connection_lost
    assert request.caller.taken_bytes == 0


@pytest.mark.parametrize("kind", [forward_whole, forward_events])
def test_forwarded_body_is_bounded(monkeypatch, kind):
    """Guards against an answer that goes on for as long as its deadline."""
    monkeypatch.setattr(answerlimits, "MAX_FORWARDED_BYTES", 1_000_000)
    head, _ = badanswers.BODIES["unframed"]
    request, flood, ended = forward(kind, head, b"data: x\n\n")
    assert flood.is_closed
    assert flood.sent_bytes <= 1_000_000 + 2 * badanswers.READ_BYTES
    assert request.caller.taken_bytes <= 1_000_000
    assert not request.caller.is_finished
    assert ended[0].reason == "body_bytes over the limit"


def test_long_stream_in_small_chunks_is_forwarded():
    """Guards against bounds that ordinary answers exceed."""
    request, flood, ended = forward(
        forward_events,
        badanswers.OK + badanswers.CHUNKED + badanswers.END,
        b"1\r\nx\r\n2\r\n\n\n\r\n",
        up_to=400_000,
    )
    assert not flood.is_closed
    assert request.caller.taken_bytes > 90_000
    flood.send(b"0\r\n\r\n", up_to=500_000)
    assert ended == [None]
    assert request.caller.is_finished


def test_answer_cut_off_after_its_content_is_not_whole():
    """Guards against answers whose framing says that more was to come."""
    for kind in (forward_whole, forward_events):
        for head, body in (
            (badanswers.OK + b"Content-Length: 99\r\n\r\n", b"data: x\n\n"),
            (
                badanswers.OK + badanswers.CHUNKED + badanswers.END,
                b"9\r\ndata: x\n\n\r\n",
            ),
        ):
            request, flood = begin(head)
            ended = []
            fakes.run(kind(request)).addBoth(ended.append)
            flood.send(body)
            flood.end(error.ConnectionDone())
            assert isinstance(ended[0], inflight.AttemptEnd)
            assert ended[0].connection_lost
            assert not request.caller.is_finished


class Calls(Scene):
    """Calls to an endpoint that answers without end."""

    def __init__(self):
        super().__init__()
        self.calls._dialect = types.SimpleNamespace(
            write_fields=lambda headers, forwarding: FIELDS,
            read_verdict=lambda status, headers: dialect.Verdict(
                request_id=None, not_run=False, misdirected=False
            ),
            read_prefilled=lambda body: None,
        )

    def start(self, call):
        """Starts a call; returns its end and the endpoint."""
        request = make_inflight()
        request.caller = types.SimpleNamespace(
            method=b"POST", uri=b"/", requestHeaders=None, body=b"x"
        )
        request.info = dialect.RequestInfo(
            request_id="q1", deadline_s=3.0, prompt=None, last_event_id=None
        )
        ended = []
        fakes.run(call(self.calls)(request, E1)).addBoth(ended.append)
        (connector,) = self.reactor.connectors
        return ended, badanswers.Flood(connector.build())


@pytest.mark.parametrize("name", badanswers.HEADS)
def test_attempt_without_a_whole_head_is_lost(name):
    """Guards against requests that count as not run, and are repeated."""
    ended, flood = Calls().start(
        lambda calls: lambda request, to: calls.run(request, to, None)
    )
    flood.send(*badanswers.HEADS[name])
    flood.check_is_bounded()
    assert ended[0].outcome is attempts.Outcome.LOST
    assert not ended[0].connection_lost


@pytest.mark.parametrize("name", badanswers.BODIES | badanswers.ERRORS)
def test_answer_to_a_prefill_is_bounded(name):
    """Guards against prefill answers that fill the memory."""
    ended, flood = Calls().start(lambda calls: calls.prefill)
    flood.send_endlessly(*(badanswers.BODIES | badanswers.ERRORS)[name])
    flood.check_is_bounded()
    assert ended[0].outcome is attempts.Outcome.UNREAD
    assert not ended[0].connection_lost


def test_exceeded_bounds_are_counted_and_logged():
    """Guards against endpoints whose faults leave no trace."""
    lines = fakes.EventRecorder()
    answerwatch.set_log(lines.make().note)
    before = answerwatch.counts()["head_lines"]
    fetch(*badanswers.HEADS["header lines"])
    assert answerwatch.counts()["head_lines"] == before + 1
    (line,) = lines.read("answer_over_limit")
    assert line["limit"] == "head_lines"
    assert line["peer"] == "192.168.1.1:54321"
