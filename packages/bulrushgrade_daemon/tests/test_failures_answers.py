"""Tests of failures during answers, with separate processes."""

import http.client
import itertools
import json
import signal
import threading

import processes
import pytest
import scene

# Enough concurrent requests that each of two engines gets some of them.
_AT_ONCE = 6
_SLOW_TOKENS = 40


def _start_fleet(started, directory, *options):
    """Starts two engines, the second behind a link proxy, and a daemon."""
    engines = [started.standin("engine", *options) for _ in range(2)]
    link = started.standin("link", engines[1].address)
    fleet = scene.Scene(started=started, directory=directory)
    fleet.list_hosts((engines[0].address, link.address))
    fleet.daemon = fleet.start_daemon()
    fleet.callers = scene.wait_ready(fleet.daemon, engines=2)
    fleet.engines, fleet.link = engines, link
    return fleet


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """A fleet of fast engines, for faults that the engines inject."""
    directory = tmp_path_factory.mktemp("settings")
    with processes.running() as started:
        yield _start_fleet(started, directory, "--speed", "20")


@pytest.fixture
def slow_fleet(tmp_path):
    """A new fleet whose streams last for seconds, to interrupt them."""
    with processes.running() as started:
        yield _start_fleet(started, tmp_path)


@pytest.fixture
def _clear_faults(fleet):
    """Clears the faults of a test and has its engine in use again.

    Without an answer in between, each test would fail the probe of an ejected
    engine once more, and the ejections would become longer than a test waits.
    """
    yield
    for engine in fleet.engines:
        scene.fault(engine.address)
    address, rounds = fleet.engines[0].address, itertools.count()
    known = len(scene.read_runs(address))

    def serves():
        _ask_at_once(fleet, f"clear-{known}-{next(rounds)}")
        runs = scene.read_runs(address)[known:]
        return any(run["ended"] == "done" for run in runs)

    processes.wait_for(serves)


def _ask_at_once(fleet, name, max_tokens=12, at_once=_AT_ONCE):
    ids = [f"{name}-{number}" for number in range(at_once)]
    return scene.stream_many(fleet.callers, ids, max_tokens=max_tokens)


def _ask_until_hit(fleet, name, **faults):
    """Sends requests until the first engine's fault has hit an attempt.

    After earlier faults, placement may avoid that engine for a while.
    """
    address = fleet.engines[0].address
    scene.fault(address, **faults, attempts=1)
    rounds = itertools.count()

    def hit():
        answers = _ask_at_once(fleet, f"{name}-{next(rounds)}")
        scene.assert_whole(answers, 12)
        left = processes.call("GET", address, "/fault").json
        return left["attempts"] == 0

    processes.wait_for(hit)


@pytest.mark.usefixtures("_clear_faults")
@pytest.mark.parametrize("sent", range(13))
def test_engine_lost_at_any_token(fleet, sent):
    # Guards against truncated answers. An engine crashes after the given number
    # of tokens, up to all of them without the end marker. The other engine has
    # to continue, with no token missing or repeated.
    _ask_until_hit(fleet, f"lost-at-{sent}", die_after=sent)


@pytest.mark.usefixtures("_clear_faults")
@pytest.mark.parametrize(
    "faults",
    [
        {"truncate_after": 0},
        {"truncate_after": 5},
        {"truncate_after": 12},
        {"wrong_attempt": True},
        {"duplicate_at": 0},
        {"duplicate_at": 7},
        {"duplicate_at": 11},
        {"silent_after": 0},
        {"silent_after": 5},
    ],
    ids=lambda faults: "-".join(map(str, *faults.items())),
)
def test_broken_answers_are_completed(fleet, faults):
    # Guards against truncated answers that look complete, repeated tokens and
    # answers to other requests. The engine ends an answer early in valid form,
    # repeats an event, answers with another attempt's id or goes silent.
    name = "broken-" + "-".join(map(str, *faults.items()))
    _ask_until_hit(fleet, name, **faults)


@pytest.mark.usefixtures("_clear_faults")
def test_unstreamed_answer_is_resumed_and_whole(fleet):
    # Guards against the same for a caller that requests no stream.
    for engine in fleet.engines:
        scene.fault(engine.address, die_after=5, attempts=1)
    body = {"model": "model", "prompt": "one piece", "max_tokens": 12}
    answer = processes.call("POST", fleet.callers, scene.COMPLETIONS, body)
    text = answer.json["choices"][0]["text"]
    assert text == "".join(scene.expected("one piece", 12))
    assert answer.json["usage"]["completion_tokens"] == 12


class _Streams:
    """Streams in progress in another thread, some at each engine."""

    def __init__(self, fleet, name, at_once=_AT_ONCE):
        self._fleet = fleet
        self._name = name
        self._answers = []
        self._thread = threading.Thread(target=self._run, args=(at_once,))
        self._thread.start()

    def wait_begun(self, engine):
        """Waits until the engine has started one of them."""

        def begun():
            runs = scene.read_runs(engine.address)
            return any(run["request"].startswith(self._name) for run in runs)

        processes.wait_for(begun)

    def read(self):
        """Waits until all streams have ended and returns the answers."""
        self._thread.join(processes.LIMIT_S)
        return self._answers

    def _run(self, at_once):
        name, tokens = self._name, _SLOW_TOKENS
        answers = _ask_at_once(self._fleet, name, tokens, at_once)
        self._answers.extend(answers)


def _check_all_whole(streams, at_once=_AT_ONCE):
    answers = streams.read()
    assert len(answers) == at_once
    scene.assert_whole(answers, _SLOW_TOKENS)


@pytest.mark.parametrize(
    "faults",
    [{"cut": True}, {"silent": True}, {"silence_open": True}],
    ids=["cut", "silent", "silence_open"],
)
def test_link_breaks_in_the_middle_of_streams(slow_fleet, faults):
    # Streams from one engine are interrupted. The network resets the
    # connections, drops all packets, or has lost the state of the open
    # connections: new ones work, but no more data arrives on the old ones.
    streams = _Streams(slow_fleet, "link")
    streams.wait_begun(slow_fleet.engines[1])
    scene.fault(slow_fleet.link.ready["admin"], **faults)
    _check_all_whole(streams)


def test_pooled_connection_gone_silent(slow_fleet):
    # Guards against requests that wait forever after an idle second: the pooled
    # connection to the engine looks open, but a middlebox has dropped its
    # state. A new connection works.
    scene.assert_whole(_ask_at_once(slow_fleet, "before"), 12)
    scene.fault(slow_fleet.link.ready["admin"], silence_open=True)
    scene.assert_whole(_ask_at_once(slow_fleet, "after"), 12)


def test_killed_engine_with_many_answers_under_way(slow_fleet):
    # An engine's host crashes during many streams; the other engine has to
    # continue all of them.
    streams = _Streams(slow_fleet, "killed", at_once=16)
    streams.wait_begun(slow_fleet.engines[0])
    slow_fleet.engines[0].send(signal.SIGKILL)
    _check_all_whole(streams, at_once=16)


def test_frozen_engine_wakes_up_later(slow_fleet):
    # An engine is paused during its streams, which the other one continues, and
    # resumes with old tokens left to send. These must reach no caller, and the
    # engine must cancel the attempts that nobody waits for.
    frozen = slow_fleet.engines[0]
    streams = _Streams(slow_fleet, "frozen")
    streams.wait_begun(frozen)
    frozen.send(signal.SIGSTOP)
    answers = streams.read()
    frozen.send(signal.SIGCONT)
    assert len(answers) == _AT_ONCE
    scene.assert_whole(answers, _SLOW_TOKENS)

    def settled():
        runs = scene.read_runs(frozen.address)
        return all(run["ended"] for run in runs)

    processes.wait_for(settled)


def test_caller_that_leaves_frees_its_engine(slow_fleet):
    # A user closes the page; the engine must stop, as nobody reads its tokens.
    connection = http.client.HTTPConnection(slow_fleet.callers, timeout=10)
    body = {"model": "model", "prompt": "gone", "max_tokens": 400}
    headers = {"Content-Type": "application/json", "X-Request-Id": "gone"}
    raw = json.dumps({**body, "stream": True})
    connection.request("POST", scene.COMPLETIONS, raw, headers)
    assert connection.getresponse().readline().startswith(b"data: ")
    connection.close()
    addresses = [engine.address for engine in slow_fleet.engines]

    def read_decode_runs():
        # A prefill for another engine counts as a run that ended with success,
        # so it is left out.
        runs = scene.read_runs(*addresses)
        return [run for run in runs if not run["attempt"].endswith("p")]

    processes.wait_for(lambda: all(run["ended"] for run in read_decode_runs()))
    ends = [run["ended"] for run in read_decode_runs()]
    assert ends
    assert set(ends) <= {"cancelled", "cut"}
