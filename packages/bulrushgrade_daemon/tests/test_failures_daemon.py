"""Tests of killed and paused daemons and platform outages, with processes."""

import signal
import threading

import processes
import pytest
import scene

_TOKENS = 40
# Factor on the time per token.
_SLOW = 20
_FREEZE_S = 1.5


@pytest.fixture
def made(tmp_path):
    with processes.running() as started:
        fleet = scene.Scene(started=started, directory=tmp_path)
        fleet.engines = [started.standin("engine") for _ in range(2)]
        fleet.list_hosts(tuple(e.address for e in fleet.engines))
        yield fleet


def _stream_meanwhile(callers, name):
    """Starts four streams; returns the list of their answers and a thread."""
    answers = []
    ids = [f"{name}-{number}" for number in range(4)]

    def run():
        answers.extend(scene.stream_many(callers, ids, max_tokens=_TOKENS))

    thread = threading.Thread(target=run)
    thread.start()
    return answers, thread


def _wait_begun(made, count):
    addresses = [engine.address for engine in made.engines]
    processes.wait_for(lambda: len(scene.read_runs(*addresses)) >= count)


def test_killed_daemon_leaves_detectably_incomplete_responses(made):
    # An entry host crashes during streams. The callers must see that their
    # answers are incomplete, the engines must stop working on them, and a new
    # daemon in its place must serve from the log alone. The engines are slow,
    # so that no answer is complete before the kill, however late it happens.
    daemon = made.start_daemon()
    callers = scene.wait_ready(daemon, engines=2)
    for engine in made.engines:
        scene.fault(engine.address, slow_factor=_SLOW)
    answers, thread = _stream_meanwhile(callers, "killed")
    _wait_begun(made, 4)
    daemon.send(signal.SIGKILL)
    thread.join(processes.LIMIT_S)
    assert len(answers) == 4
    assert not any(answer.whole for answer in answers)
    addresses = [engine.address for engine in made.engines]

    def dropped():
        return all(run["ended"] for run in scene.read_runs(*addresses))

    processes.wait_for(dropped)
    assert {r["ended"] for r in scene.read_runs(*addresses)} == {"cut"}
    for engine in made.engines:
        scene.fault(engine.address)
    callers = scene.wait_ready(made.start_daemon(), engines=2)
    again = scene.stream_many(callers, ["again"], max_tokens=_TOKENS)
    scene.assert_whole(again, _TOKENS)


def test_paused_daemon_completes_its_responses_after_resuming(made):
    # A host is paused for some seconds during streams and resumes. Its callers
    # have waited and must get the rest, with no token repeated.
    daemon = made.start_daemon()
    callers = scene.wait_ready(daemon, engines=2)
    answers, thread = _stream_meanwhile(callers, "frozen")
    _wait_begun(made, 4)
    daemon.send(signal.SIGSTOP)
    woken = threading.Timer(_FREEZE_S, daemon.send, [signal.SIGCONT])
    woken.start()
    thread.join(processes.LIMIT_S)
    assert len(answers) == 4
    scene.assert_whole(answers, _TOKENS)


def test_serving_goes_on_without_the_platform(made):
    # The log and the host list are down, silent or return invalid answers for a
    # long time. Callers of an entry host that has served before must not be
    # affected.
    daemon = made.start_daemon()
    callers = scene.wait_ready(daemon, engines=2)
    for fault in ("outage", "silent", "nonsense"):
        for address in (made.log, made.hosts):
            scene.fault(address, **{fault: True})
        for round_ in range(5):
            ids = [f"{fault}-{round_}-{number}" for number in range(4)]
            answers = scene.stream_many(callers, ids, max_tokens=5)
            scene.assert_whole(answers, 5)
        assert scene.is_ready(daemon)
