"""Tests of a daemon's bounds on answers that never end."""

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

from bulrushgrade import answerlimits
from bulrushgrade import engineorder
from bulrushgrade import orderlog
from bulrushgrade_daemon import engine
from bulrushgrade_daemon import hostlist
from bulrushgrade_daemon import logclient
from bulrushgrade_daemon import orders
from bulrushgrade_daemon import plain

MAX_SENT_BYTES = 2 * answerlimits.MAX_HEAD_BYTES + 2 * badanswers.READ_BYTES
MAX_KEPT_BYTES = 400_000


def send_plain(reactor):
    return plain.PlainClient(reactor=reactor).send(PLAIN_CALL, timeout_s=3.0)


def prefill(reactor):
    client = engine.EngineClient(reactor=reactor)
    return client.prefill(ENGINE_CALL, timeout_s=3.0)


def read_load(reactor):
    return engine.EngineClient(reactor=reactor).read_load("10.0.0.1:80")


def run_stream(reactor):
    stream = engine.EngineStream(on_event=lambda event: True)
    return engine.EngineClient(reactor=reactor).run_stream(ENGINE_CALL, stream)


def read_log(reactor):
    client = logclient.LogClient(reactor=reactor, address="10.0.0.1:80")
    return client.read("s", 0)


def send_order(reactor):
    order = engineorder.Order(
        order_id="o1",
        engine="10.0.0.1:80",
        wanted=orderlog.Wanted(role="mixed", model="m", version="1"),
        number=1,
    )
    return orders.OrderClient(reactor=reactor).send(order, lambda: True)


def read_hosts(reactor):
    reader = hostlist.HostListReader(
        reactor=reactor,
        timers=None,
        address="10.0.0.1:80",
        period_s=1.0,
        on_hosts=None,
    )
    return reader._read()


def is_lost(found):
    """Returns whether a call had no usable answer, and may have run."""
    is_failed = isinstance(found, engine.Lost | Failure | failure.Failure)
    return is_failed or found is engineorder.Reply.LOST


class Exchange:
    """A call of a client to an endpoint."""

    def __init__(self, call):
        self.reactor = testing.MemoryReactorClock()
        self.found = []
        defer.Deferred.fromCoroutine(call(self.reactor)).addBoth(
            self.found.append
        )
        factory = self.reactor.tcpClients[-1][2]
        self.flood = badanswers.Flood(factory.buildProtocol(None))

    def send(self, head, repeated):
        self.flood.send(head)
        self.flood.send(b"", repeated)


CALLS = [send_plain, prefill, read_load, run_stream, read_log, send_order]
SMALL = [prefill, read_load, send_order]


@pytest.mark.parametrize("name", badanswers.HEADS)
@pytest.mark.parametrize("call", CALLS)
def test_head_without_end_is_bounded(call, name):
    """Guards against heads that fill the memory, on pooled connections too."""
    exchange = Exchange(call)
    exchange.flood.send(*badanswers.HEADS[name])
    assert exchange.flood.is_closed
    assert 0 < exchange.flood.sent_bytes <= MAX_SENT_BYTES
    assert exchange.flood.kept_bytes <= MAX_KEPT_BYTES
    (found,) = exchange.found
    assert is_lost(found)


@pytest.mark.parametrize("name", badanswers.BODIES | badanswers.ERRORS)
@pytest.mark.parametrize("call", SMALL)
def test_small_body_is_bounded(call, name):
    """Guards against prefill answers and reports that fill the memory."""
    exchange = Exchange(call)
    exchange.send(*(badanswers.BODIES | badanswers.ERRORS)[name])
    assert exchange.flood.is_closed
    assert 0 < exchange.flood.sent_bytes <= MAX_SENT_BYTES
    assert exchange.flood.kept_bytes <= MAX_KEPT_BYTES
    assert is_lost(exchange.found[0])


@pytest.mark.parametrize("name", badanswers.ERRORS)
def test_error_answer_to_a_stream_is_bounded(name):
    """Guards against error answers that fill the memory."""
    exchange = Exchange(run_stream)
    exchange.send(*badanswers.ERRORS[name])
    assert exchange.flood.is_closed
    assert 0 < exchange.flood.sent_bytes <= MAX_SENT_BYTES
    assert isinstance(exchange.found[0], engine.Lost)


@pytest.mark.parametrize(
    ("call", "limit"),
    [
        (send_plain, "MAX_ANSWER_BYTES"),
        (read_log, "MAX_ANSWER_BYTES"),
        (read_hosts, "MAX_LIST_BYTES"),
    ],
)
def test_large_body_is_bounded(monkeypatch, call, limit):
    """Guards against answers of services and the log without end."""
    for module in (plain, logclient, hostlist):
        if hasattr(module, limit):
            monkeypatch.setattr(module, limit, 1_000_000)
    exchange = Exchange(call)
    exchange.send(*badanswers.BODIES["chunked"])
    assert exchange.flood.is_closed
    assert exchange.flood.sent_bytes <= 1_200_000
    assert is_lost(exchange.found[0])


@pytest.mark.parametrize(
    "call", [send_plain, prefill, read_load, read_log, send_order, read_hosts]
)
def test_body_that_is_late_is_closed(call):
    """A call timed out, and its connection read on until the other end.

    The answer that nobody waited for was collected in memory.
    """
    exchange = Exchange(call)
    exchange.flood.send(badanswers.OK + badanswers.END)
    exchange.flood.send(b"x")
    assert not exchange.flood.is_closed
    exchange.reactor.advance(5.0)
    assert is_lost(exchange.found[0])
    assert exchange.flood.is_closed


@pytest.mark.parametrize("repeated", [b"x", b"data: x\n\n"])
def test_bytes_after_the_end_marker_are_bounded(repeated):
    """Guards against engines that go on after a stream has ended."""
    exchange = Exchange(run_stream)
    exchange.flood.send(STREAM)
    exchange.flood.send(EVENT + b"data: [DONE]\n\n")
    assert exchange.found == [engine.Ended()]
    exchange.flood.send(b"", repeated)
    assert exchange.flood.is_closed
    assert exchange.flood.sent_bytes <= 4 * badanswers.READ_BYTES


def test_stream_that_stays_open_after_its_end_marker_is_closed():
    """Guards against connections that an engine keeps for ever."""
    exchange = Exchange(run_stream)
    exchange.flood.send(STREAM)
    exchange.flood.send(EVENT + b"data: [DONE]\n\n")
    assert not exchange.flood.is_closed
    exchange.reactor.advance(engine.CONTROL_TIMEOUT_S + 0.1)
    assert exchange.flood.is_closed


def test_connection_of_a_whole_stream_is_kept():
    """Guards against a bound on time that closes pooled connections."""
    exchange = Exchange(run_stream)
    body = EVENT + b"data: [DONE]\n\n"
    head = badanswers.OK + b"Content-Length: %d\r\n\r\n" % len(body)
    exchange.flood.send(head)
    exchange.flood.send(body)
    assert exchange.found == [engine.Ended()]
    exchange.reactor.advance(engine.CONTROL_TIMEOUT_S + 0.1)
    assert not exchange.flood.is_closed
