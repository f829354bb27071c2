"""Fake timers, logs and calls for tests."""

import json

from returns.result import Failure
from returns.result import Success
from twisted.internet import defer
from twisted.internet import task

from bulrushgrade import partledger
from bulrushgrade_daemon import clock
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import ordertopic
from bulrushgrade_daemon import partsharing
from bulrushgrade_daemon import permitservice
from bulrushgrade_daemon import recordwriter


def make_timers():
    """Returns a fake clock, a running timer service and its failures."""
    reactor = task.Clock()
    broken = []
    timers = clock.TimerService(
        reactor=reactor, on_broken=broken.append, clock=reactor.seconds
    )
    defer.Deferred.fromCoroutine(timers.start())
    return reactor, timers, broken


class EventRecorder:
    """Records the events of a decision log."""

    def __init__(self):
        self.text = b""

    def write(self, line):
        self.text += line
        return len(line)

    def make(self):
        return decisionlog.DecisionLog(host="h", write=self.write)

    def count(self, event):
        return self.text.count(f'"event":"{event}"'.encode())

    def read(self, event):
        """Returns the lines of an event."""
        lines = [json.loads(line) for line in self.text.splitlines()]
        return [line for line in lines if line["event"] == event]


class Permits:
    """Permits for endpoints without a limit, unless a test closes some."""

    def __init__(self):
        # Seconds until each endpoint at its limit has room, by its id.
        self.closed = {}
        # Seconds for which endpoints want nothing, by their ids.
        self.backoffs_s = {}
        self.unconfirmed_ids = set()
        self.needs = []

    def is_limited(self, endpoint):
        return endpoint.id in self.closed

    def needs_permit(self, endpoint):
        return endpoint.id in self.closed or endpoint.id in self.backoffs_s

    def backing_off(self):
        return frozenset((id, 1) for id in self.backoffs_s)

    def unconfirmed(self):
        return frozenset((id, 1) for id in self.unconfirmed_ids)

    def closed_s(self, endpoint, urgency):
        return self.closed.get(endpoint.id, 0.0)

    def book_return_s(self, endpoints, *, urgency, max_return_s):
        waits = self.closed | self.backoffs_s
        waits_s = [waits.get(e.id) for e in endpoints]
        return min((s for s in waits_s if s is not None), default=None)

    async def acquire(self, endpoint, need):
        self.needs.append((endpoint.id, need))
        if self.closed_s(endpoint, need.urgency) > 0:
            return permitservice.Denial(retry_s=self.closed[endpoint.id])
        return permitservice.Permit()


def make_order_records(first, contents, *, end=None, epoch=0):
    """Returns a read of the topic of orders; it ends with these records."""
    return ordertopic.OrderRecords(
        first=first,
        contents=tuple(contents),
        end=first + len(contents) if end is None else end,
        epoch=epoch,
    )


class Appends:
    """Appends to the topic of orders: acknowledged, or as given in order.

    The last given answer is repeated.
    """

    def __init__(self, *answers, epoch=0):
        self.answers = list(answers)
        self.epoch = epoch
        self.calls = []

    async def __call__(self, content, at):
        self.calls.append((content, at))
        if not self.answers:
            return Success(ordertopic.Appended(offset=at, epoch=self.epoch))
        if len(self.answers) > 1:
            return self.answers.pop(0)
        return self.answers[0]


def run(coroutine):
    """Starts a coroutine."""
    return defer.Deferred.fromCoroutine(coroutine)


class Answers:
    """An async callable that returns given answers in order.

    The last answer is repeated.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    async def __call__(self, *arguments):
        self.calls.append(arguments)
        answer = self.answers[0]
        if len(self.answers) > 1:
            self.answers.pop(0)
        if isinstance(answer, Failure | Success):
            return answer
        return Success(answer)


async def _discard_records(records):
    return Success(None)


def make_parts(
    timers,
    *,
    log=None,
    write=_discard_records,
    owns=lambda key: True,
    leads=lambda: True,
    explain_crashes=lambda endpoints: None,
    unix_clock=lambda: 1.7e9,
):
    """Returns what knows prompt parts at crashes, on a topic of its own."""
    writer = recordwriter.RecordWriter(
        name="parts", timers=timers, write=write, on_broken=print
    )
    return partsharing.PartSharing(
        timers=timers,
        ledger=partledger.PartLedger(),
        writer=writer,
        owns=owns,
        leads=leads,
        explain_crashes=explain_crashes,
        log=log or EventRecorder().make(),
        unix_clock=unix_clock,
    )
