"""Tests of the structured log."""

import json

from bulrushgrade_daemon import decisionlog


class Sink:
    """Accepts bytes until its capacity is used up."""

    def __init__(self, capacity=10**9):
        self.capacity = capacity
        self.received = b""

    def write(self, line):
        if self.capacity <= 0:
            raise BlockingIOError()
        part = line[: self.capacity]
        self.capacity -= len(part)
        self.received += part
        return len(part)

    @property
    def lines(self):
        return [json.loads(line) for line in self.received.splitlines()]


def make(sink, now):
    return decisionlog.DecisionLog(
        host="h1",
        write=sink.write,
        wall_clock=lambda: 12.3456,
        clock=lambda: now[0],
    )


def test_line_holds_the_fields_of_a_decision():
    sink = Sink()
    make(sink, [0.0]).note("refused", request="q1", age_s=0.5)
    (line,) = sink.lines
    assert line == {
        "t": 12.346,
        "host": "h1",
        "event": "refused",
        "request": "q1",
        "age_s": 0.5,
    }


def test_flood_is_bounded_and_counted():
    """An endpoint fails every request of a flood.

    Logging each of them would add load to a host that is already busy.
    """
    sink, now = Sink(), [0.0]
    log = make(sink, now)
    for _ in range(5000):
        log.note("attempt_ended")
    assert len(sink.lines) == decisionlog.BURST_LINES
    assert log.counts["dropped"] == 5000 - decisionlog.BURST_LINES
    now[0] = 1.0
    log.note("attempt_ended")
    assert sink.lines[-1]["lines_dropped"] == log.counts["dropped"]


def test_starts_and_stops_are_never_dropped_for_the_rate():
    sink = Sink()
    log = make(sink, [0.0])
    for _ in range(1000):
        log.note("x")
    log.always("stopping")
    assert sink.lines[-1]["event"] == "stopping"


def test_slow_reader_never_blocks_the_process():
    """The reader of the output stalls, and its pipe is full.

    A blocking write would stop all requests of this host.
    """
    sink, now = Sink(capacity=150), [0.0]
    log = make(sink, now)
    for _ in range(decisionlog.MAX_LINES_QUEUED + 500):
        now[0] += 1.0
        log.note("x")
    assert log.counts["dropped"] > 0
    sink.capacity = 10**9
    log.flush()
    assert len(sink.lines) >= decisionlog.MAX_LINES_QUEUED


def test_closed_reader_is_not_an_error():
    def write(line):
        raise BrokenPipeError()

    log = decisionlog.DecisionLog(host="h", write=write)
    log.always("started")
    log.always("stopped")
    assert log.counts["written"] == 0
