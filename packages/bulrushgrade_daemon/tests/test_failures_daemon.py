"""Daemons killed and frozen, and the platform away, with real processes."""

import signal
import threading

import processes
import pytest
import scene

_TOKENS = 40
# Times as long for each token.
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
    """Starts four streams; returns their answers to be and the thread."""
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


def test_killed_daemon_gives_no_answer_for_a_whole_one(made):
    # An entry host dies with answers under way. Their callers must see that
    # these are cut; the engines stop working on them; and a new daemon in
    # its place serves from the log alone. The engines are slow, so that none
    # can be done before the kill however late that comes.
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


def test_frozen_daemon_goes_on_with_its_answers(made):
    # A host is paused for some seconds with answers under way and wakes up.
    # Its callers have waited and get the rest, with no token twice.
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
    # Log and host list are down, mute or answer rubbish for long. Nobody who
    # asks an entry host that has served before may notice.
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
