"""Tests of a daemon's bounds on answers that never end."""

import itertools

import badanswers
import pytest
from returns.result import Failure
from test_engine import CALL as ENGINE_CALL
from test_engine import EVENT
from test_plain import CALL as PLAIN_CALL
from test_plain import STREAM
from twisted.internet import defer
from twisted.internet import testing
from twisted.python import failure

from bulrushgrade import engineorder
from bulrushgrade import orderlog
from bulrushgrade_daemon import answerwatch
from bulrushgrade_daemon import engine
from bulrushgrade_daemon import hostlist
from bulrushgrade_daemon import logclient
from bulrushgrade_daemon import orders
from bulrushgrade_daemon import plain

ADDRESS = "10.0.0.1:80"
ORDER = engineorder.Order(
    order_id="o1",
    engine=ADDRESS,
    wanted=orderlog.Wanted(role="mixed", model="m", version="1"),
    number=1,
)
DONE = EVENT + b"data: [DONE]\n\n"


def run_stream(reactor):
    stream = engine.EngineStream(on_event=lambda event: True)
    return engine.EngineClient(reactor=reactor).run_stream(ENGINE_CALL, stream)


def read_hosts(reactor):
    options = {"timers": None, "period_s": 1.0, "on_hosts": None}
    return hostlist.HostListReader(
        reactor=reactor, address=ADDRESS, **options
    )._read()


CALLS = {
    "plain": lambda reactor: plain.PlainClient(reactor=reactor).send(
        PLAIN_CALL, timeout_s=3.0
    ),
    "prefill": lambda reactor: engine.EngineClient(reactor=reactor).prefill(
        ENGINE_CALL, timeout_s=3.0
    ),
    "load": lambda reactor: engine.EngineClient(reactor=reactor).read_load(
        ADDRESS
    ),
    "order": lambda reactor: orders.OrderClient(reactor=reactor).send(
        ORDER, lambda: True
    ),
    "log": lambda reactor: logclient.LogClient(
        reactor=reactor, address=ADDRESS
    ).read("s", 0),
    "hosts": read_hosts,
    "stream": run_stream,
}
SMALL = [
    *itertools.product(CALLS, badanswers.HEADS),
    *itertools.product(("prefill", "load", "order"), badanswers.BODIES),
    *itertools.product(("prefill", "load", "stream"), badanswers.ERRORS),
]
ENDLESS = badanswers.HEADS | badanswers.BODIES | badanswers.ERRORS


class Exchange:
    """A call of a client to an endpoint."""

    def __init__(self, call):
        self.reactor = testing.MemoryReactorClock()
        self.found = []
        defer.Deferred.fromCoroutine(CALLS[call](self.reactor)).addBoth(
            self.found.append
        )
        factory = self.reactor.tcpClients[-1][2]
        self.flood = badanswers.Flood(factory.buildProtocol(None))

    def is_lost(self):
        """Returns whether the call had no usable answer, and may have run."""
        (found,) = self.found
        lost = engine.Lost | Failure | failure.Failure
        return isinstance(found, lost) or found is engineorder.Reply.LOST


@pytest.mark.parametrize(("call", "name"), SMALL)
def test_head_or_small_body_without_end_is_bounded(call, name):
    """Guards against answers that fill the memory, on pooled connections too.

    An error and a report are small, and so is the answer to a prefill.
    """
    exchange = Exchange(call)
    exchange.flood.send_endlessly(*ENDLESS[name])
    exchange.flood.check_is_bounded()
    assert exchange.is_lost()


@pytest.mark.parametrize("call", ["plain", "log", "hosts"])
def test_large_body_is_bounded(monkeypatch, call):
    """Guards against answers of services and the log without end."""
    monkeypatch.setattr(plain, "MAX_ANSWER_BYTES", 1_000_000)
    monkeypatch.setattr(logclient, "MAX_ANSWER_BYTES", 1_000_000)
    monkeypatch.setattr(hostlist, "MAX_LIST_BYTES", 1_000_000)
    exchange = Exchange(call)
    exchange.flood.send_endlessly(*badanswers.BODIES["chunked"])
    assert exchange.flood.is_closed
    assert exchange.flood.sent_bytes <= 1_200_000
    assert exchange.is_lost()


@pytest.mark.parametrize("call", [*CALLS][:-1])
def test_body_that_is_late_is_closed(call):
    """A call timed out, and its connection read on until the other end.

    The answer that nobody waited for was collected in memory.
    """
    exchange = Exchange(call)
    exchange.flood.send(badanswers.OK + badanswers.END)
    exchange.flood.send(b"x")
    assert not exchange.flood.is_closed
    exchange.reactor.advance(5.0)
    assert exchange.is_lost()
    assert exchange.flood.is_closed


@pytest.mark.parametrize("repeated", [b"x", b"data: x\n\n"])
def test_bytes_after_the_end_marker_are_bounded(repeated):
    """Guards against engines that go on after a stream has ended."""
    exchange = Exchange("stream")
    exchange.flood.send(STREAM)
    exchange.flood.send(DONE)
    assert exchange.found == [engine.Ended()]
    exchange.flood.send(b"", repeated)
    assert exchange.flood.is_closed
    assert exchange.flood.sent_bytes <= 4 * badanswers.READ_BYTES


@pytest.mark.parametrize(
    ("head", "is_closed"),
    [
        (STREAM, True),
        (
            badanswers.OK + b"Content-Length: %d\r\n\r\n" % len(DONE),
            False,
        ),
    ],
)
def test_only_a_stream_without_an_end_is_closed(head, is_closed):
    """Guards against connections that an engine keeps for ever.

    Those of whole streams are pooled.
    """
    exchange = Exchange("stream")
    exchange.flood.send(head)
    exchange.flood.send(DONE)
    assert exchange.found == [engine.Ended()]
    exchange.reactor.advance(engine.CONTROL_TIMEOUT_S + 0.1)
    assert exchange.flood.is_closed is is_closed


@pytest.mark.parametrize("sent", [b"", DONE])
def test_stream_over_a_bound_is_logged_with_its_engine(sent):
    """Guards against a body's transport, which doesn't name its peer.

    The error that it caused hid why the stream had ended.
    """
    lines = []
    notes = list(answerwatch._notes)
    answerwatch.set_log(lambda event, **fields: lines.append(fields))
    try:
        exchange = Exchange("stream")
        exchange.flood.send(STREAM + sent)
        exchange.flood.send(b"", b"x")
    finally:
        answerwatch._notes[:] = notes
    limit = "remainder_bytes" if sent else "event_bytes"
    assert [line["limit"] for line in lines] == [limit]
    found = engine.Ended() if sent else engine.Lost(reason="event too large")
    assert exchange.found == [found]
    assert exchange.flood.is_closed
