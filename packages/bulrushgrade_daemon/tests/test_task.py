"""Tests of running coroutines, and of cancelling them at any moment."""

import gc
import random

import fakes
import pytest
from returns.result import Failure
from returns.result import Success
from test_crashcheck import E1
from test_endpointconnector import PEER
from test_endpointconnector import Scene as ConnectorScene
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol
from twisted.internet import task as twisted_task
from twisted.logger import globalLogPublisher

from bulrushgrade_daemon import crashcheck
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import recordwriter
from bulrushgrade_daemon import task
from bulrushgrade_daemon import topicreader

CASES = 400
KINDS = (
    "judge",
    "verify",
    "check",
    "connect",
    "open for a peer",
    "fetch",
    "write",
    "nested",
)
MAX_STEPS = 12


@pytest.fixture
def unhandled():
    """The errors of Deferreds that nothing handled."""
    found = []

    def observe(event):
        if event.get("log_failure") is not None:
            found.append(event["log_failure"].getTraceback())

    globalLogPublisher.addObserver(observe)
    yield found
    globalLogPublisher.removeObserver(observe)


def spawn(work):
    """Runs a coroutine; returns it, its results and why it is broken."""
    broken, results = [], []
    running = task.spawn(work, name="test", on_broken=broken.append)
    running.addCallback(results.append)
    return running, results, broken


async def wait(deferred):
    return await deferred


def test_results_are_in_order():
    first, second = defer.Deferred(), defer.Deferred()
    _, results, _ = spawn(task.gather([wait(first), wait(second)]))
    second.callback(2)
    assert results == []
    first.callback(1)
    assert results == [[1, 2]]


def test_nothing_to_run_ends_at_once():
    _, results, _ = spawn(task.gather([]))
    assert results == [[]]


def test_cancellation_cancels_all_and_is_no_broken_invariant(unhandled):
    """A peer gave a relayed connection up, and the whole process ended."""
    pending = [defer.Deferred() for _ in range(3)]
    running, results, broken = spawn(task.gather(map(wait, pending)))
    pending[0].callback(None)
    running.cancel()
    assert broken == [] and results == [None]
    assert all(one.called for one in pending)
    gc.collect()
    assert unhandled == []


def test_cancellation_is_not_lost_on_work_that_ends_with_a_result():
    """Work that returns its cancellation as a value let its owner go on."""

    async def swallow(deferred):
        try:
            await deferred
        except defer.CancelledError:
            return "cancelled"

    went_on = []

    async def own():
        await task.gather([swallow(defer.Deferred())])
        went_on.append(True)

    running, _, broken = spawn(own())
    running.cancel()
    assert went_on == broken == []


def test_error_is_reported_once_and_only_after_all_have_ended(unhandled):
    """Guards against broken invariants that nothing reports."""
    first, second, third = (defer.Deferred() for _ in range(3))
    _, _, broken = spawn(task.gather([wait(first), wait(second), wait(third)]))
    first.errback(ValueError("first"))
    second.errback(KeyError("second"))
    assert broken == []
    third.callback(None)
    assert len(broken) == 1 and "ValueError" in broken[0]
    gc.collect()
    assert unhandled == []


def test_timeout_of_gathered_work_is_a_timeout(unhandled):
    clock = twisted_task.Clock()
    gathered = fakes.run(task.gather([wait(defer.Deferred())]))
    ended = []
    gathered.addTimeout(1.0, clock).addErrback(lambda f: ended.append(f.type))
    clock.advance(1.0)
    assert ended == [defer.TimeoutError]
    gc.collect()
    assert unhandled == []


def make_nested(rng, pending, depth=0):
    """Returns a coroutine that runs others, which may run others in turn."""

    async def run():
        for _ in range(rng.randint(1, 2)):
            if depth < 3 and rng.random() < 0.6:
                parts = range(rng.randint(1, 3))
                await task.gather(
                    make_nested(rng, pending, depth + 1) for _ in parts
                )
            else:
                pending.append(defer.Deferred())
                await pending[-1]

    return run()


def make_writer(scene, rng, pending):
    """Returns a writer of records to a store that answers late."""

    async def write(records):
        pending.append(defer.Deferred())
        await pending[-1]
        if rng.random() < 0.3:
            return Failure(topicreader.StoreAway(reason="timeout"))
        return Success(None)

    writer = recordwriter.RecordWriter(
        name="w", timers=scene.timers, write=write, on_broken=None
    )
    for number in range(rng.randint(1, 3)):
        writer.put(str(number), rng.choice((b"x", None)))
    return writer


def start(kind, rng, pending):
    """Starts a kind of task; returns it and the scene of its connections."""
    scene = ConnectorScene(peers=(PEER, "h3/1", "h4/1"))
    connector = scene.connector
    if kind == "judge":
        work = connector.may_judge(E1, scene.timers.now)
    elif kind == "verify":
        work = connector._verify(E1)
    elif kind == "check":
        work = crashcheck.CrashCheck(
            timers=scene.timers,
            connector=connector,
            endpoints=connector._endpoints,
        ).find_crash(E1)
    elif kind == "connect":
        work = connector.connect(E1, prefers_relay=rng.random() < 0.5)
    elif kind == "open for a peer":
        work = connector.open_for_peer(E1, protocol.Protocol)
    elif kind == "write":
        work = make_writer(scene, rng, pending)._write_waiting()
    elif kind == "fetch":
        work = outbound.fetch(
            scene.reactor,
            "10.0.0.1",
            80,
            outbound.OutboundRequest(method=b"GET", uri=b"/", headers=[]),
            connect_timeout_s=0.3,
            timeout_s=1.0,
            max_bytes=100,
        )
    else:
        work = make_nested(rng, pending)
    return scene, spawn(work)


def step(rng, scene, pending):
    """Has one of the things that a task waits for end, in some way."""
    connectors = scene.reactor.connectors
    choices = [lambda: scene.clock.advance(rng.choice((0.01, 0.3, 1.0)))]
    if connectors:
        one = connectors.pop(rng.randrange(len(connectors)))
        choices += [
            lambda: one.fail(error.TimeoutError()),
            lambda: one.fail(error.ConnectionRefusedError()),
        ]
    if pending:
        waited = pending.pop(rng.randrange(len(pending)))
        choices = [lambda: waited.called or waited.callback(None)]
    rng.choice(choices)()


@pytest.mark.parametrize("kind", KINDS)
def test_cancelled_tasks_end_no_process(kind, unhandled):
    """Cancels tasks at any of their awaits, beside other ends.

    A cancellation that came back as another error ended the process, and the
    others of its kind were reported as errors that nothing handled.
    """
    for seed in range(CASES):
        rng, pending = random.Random(f"{kind} {seed}"), []
        scene, (running, _, broken) = start(kind, rng, pending)
        for _ in range(rng.randrange(MAX_STEPS)):
            step(rng, scene, pending)
        running.cancel()
        for _ in range(MAX_STEPS):
            step(rng, scene, pending)
        assert broken == [], (seed, broken)
        assert running.called, seed
    gc.collect()
    assert unhandled == []
