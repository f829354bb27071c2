"""Tests of streams of model engines, by how they and their connections end."""

from test_plain import CLOSED
from test_plain import RESET
from test_plain import STREAM
from test_plain import answer
from twisted.internet import defer
from twisted.internet import testing

from bulrushgrade_daemon import engine

CALL = engine.EngineCall(
    attempt_id="a1",
    request_id="r1",
    address="10.0.0.1:80",
    path="/v1/completions",
    body={},
)
EVENT = b'data: {"id":"a1","index":0,"choices":[{"text":"x"}]}\n\n'


def run(*parts, ended):
    """Returns the events and the outcome of a stream."""
    reactor = testing.MemoryReactorClock()
    events, outcomes = [], []

    def receive(event):
        events.append(event)
        return True

    stream = engine.EngineStream(on_event=receive)
    defer.Deferred.fromCoroutine(
        engine.EngineClient(reactor=reactor).run_stream(CALL, stream)
    ).addBoth(outcomes.append)
    answer(reactor, STREAM, *parts, ended=ended)
    return len(events), outcomes[0]


def test_stream_that_ends_with_its_connection_is_whole():
    """A stream comes with neither a length nor chunks."""
    assert run(EVENT, b"data: [DONE]\n\n", ended=CLOSED) == (1, engine.Ended())


def test_stream_that_ends_within_an_event_is_lost():
    """An engine closes its connection in order, but within an event."""
    for part in (EVENT[:20], EVENT[:-1], b"data: [DONE]\n"):
        events, outcome = run(EVENT, part, ended=CLOSED)
        assert events == 1
        assert isinstance(outcome, engine.Lost)


def test_stream_whose_connection_is_reset_is_lost():
    """An engine crashes between two events."""
    events, outcome = run(EVENT, ended=RESET)
    assert events == 1
    assert isinstance(outcome, engine.Lost)
