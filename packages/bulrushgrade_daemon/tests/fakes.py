"""Fake timers, logs and calls for tests."""

from returns.result import Failure
from returns.result import Success
from twisted.internet import defer
from twisted.internet import task

from bulrushgrade_daemon import clock
from bulrushgrade_daemon import decisionlog


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
