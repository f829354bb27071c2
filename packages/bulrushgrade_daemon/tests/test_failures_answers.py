"""Failures in the middle of answers, with real processes."""

import http.client
import itertools
import json
import signal
import threading

import processes
import pytest
import scene

# Enough that each of two engines gets some of the requests sent at once.
_AT_ONCE = 6
_SLOW_TOKENS = 40


def _start_fleet(started, directory, *options):
    """Starts two engines, the second behind a link, and a daemon."""
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
    """A fast fleet for faults that an engine brings about by itself."""
    directory = tmp_path_factory.mktemp("settings")
    with processes.running() as started:
        yield _start_fleet(started, directory, "--speed", "20")


@pytest.fixture
def slow_fleet(tmp_path):
    """A fresh fleet whose streams last for seconds, to be broken meanwhile."""
    with processes.running() as started:
        yield _start_fleet(started, tmp_path)


@pytest.fixture
def _clear_faults(fleet):
    yield
    for engine in fleet.engines:
        scene.fault(engine.address)


def _ask_at_once(fleet, name, max_tokens=12, at_once=_AT_ONCE):
    ids = [f"{name}-{number}" for number in range(at_once)]
    return scene.stream_many(fleet.callers, ids, max_tokens=max_tokens)


def _ask_until_hit(fleet, name, **faults):
    """Asks until the fault of the first engine has hit one attempt.

    Placement may leave that engine aside for a while after earlier faults.
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
    # A tenant's answer would stop at some word. An engine dies after so many
    # tokens, up to all of them but the end marker; the rest has to come from
    # the other engine, with no token missing and none twice.
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
    # A caller would take a cut answer for the whole one, see words twice, or
    # get another's grade. The engine ends an answer early in good form,
    # repeats an event, answers under another attempt's id or goes silent.
    name = "broken-" + "-".join(map(str, *faults.items()))
    _ask_until_hit(fleet, name, **faults)


@pytest.mark.usefixtures("_clear_faults")
def test_unstreamed_answer_is_resumed_and_whole(fleet):
    # The same for a caller who waits for the whole answer in one piece.
    for engine in fleet.engines:
        scene.fault(engine.address, die_after=5, attempts=1)
    body = {"model": "model", "prompt": "one piece", "max_tokens": 12}
    answer = processes.call("POST", fleet.callers, scene.COMPLETIONS, body)
    text = answer.json["choices"][0]["text"]
    assert text == "".join(scene.expected("one piece", 12))
    assert answer.json["usage"]["completion_tokens"] == 12


class _Streams:
    """Answers under way in another thread, some at each engine."""

    def __init__(self, fleet, name, at_once=_AT_ONCE):
        self._fleet = fleet
        self._name = name
        self._answers = []
        self._thread = threading.Thread(target=self._run, args=(at_once,))
        self._thread.start()

    def wait_begun(self, engine):
        """Waits until the engine runs one of them."""

        def begun():
            runs = scene.read_runs(engine.address)
            return any(run["request"].startswith(self._name) for run in runs)

        processes.wait_for(begun)

    def read(self):
        """Returns the answers once all have ended."""
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
    # Answers under way at one engine stop in the middle. The network between
    # resets the connections, drops everything, or has lost track of the open
    # connections while new ones work: nothing more comes on those, ever.
    streams = _Streams(slow_fleet, "link")
    streams.wait_begun(slow_fleet.engines[1])
    scene.fault(slow_fleet.link.ready["admin"], **faults)
    _check_all_whole(streams)


def test_pooled_connection_gone_silent(slow_fleet):
    # The first caller after a quiet second would wait for ever: the kept
    # connection to the engine looks open, but something between has
    # forgotten it. A new connection works.
    scene.assert_whole(_ask_at_once(slow_fleet, "before"), 12)
    scene.fault(slow_fleet.link.ready["admin"], silence_open=True)
    scene.assert_whole(_ask_at_once(slow_fleet, "after"), 12)


def test_killed_engine_with_many_answers_under_way(slow_fleet):
    # The host of an engine dies with many answers under way; all of them go
    # on at the other engine.
    streams = _Streams(slow_fleet, "killed", at_once=16)
    streams.wait_begun(slow_fleet.engines[0])
    slow_fleet.engines[0].send(signal.SIGKILL)
    _check_all_whole(streams, at_once=16)


def test_frozen_engine_wakes_up_later(slow_fleet):
    # An engine is stopped in the middle of its answers, which go on at the
    # other one, and wakes up with old tokens still to send. They must reach
    # nobody, and the engine must drop what nobody waits for.
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
    # A portal user closes the page; the engine must not go on for nobody.
    connection = http.client.HTTPConnection(slow_fleet.callers, timeout=10)
    body = {"model": "model", "prompt": "gone", "max_tokens": 400}
    headers = {"Content-Type": "application/json", "X-Request-Id": "gone"}
    raw = json.dumps({**body, "stream": True})
    connection.request("POST", scene.COMPLETIONS, raw, headers)
    assert connection.getresponse().readline().startswith(b"data: ")
    connection.close()
    addresses = [engine.address for engine in slow_fleet.engines]

    def read_generating():
        # Where one engine reads the prompt for another, its part is done.
        runs = scene.read_runs(*addresses)
        return [run for run in runs if not run["attempt"].endswith("p")]

    processes.wait_for(lambda: all(run["ended"] for run in read_generating()))
    ends = [run["ended"] for run in read_generating()]
    assert ends
    assert set(ends) <= {"cancelled", "cut"}
