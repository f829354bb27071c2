"""Tests of leaving endpoints and planned stops, with processes under load."""

import signal
import time

import callerload
import processes
import pytest
import scene

# Lag of the host list in these tests; the list is read every 0.1 s.
_LAG_S = 0.5
# Time from the change of the list to the last new work for a leaving endpoint:
# the lag, a read of the list, and a margin for a busy machine.
_LEAVING_LIMIT_S = _LAG_S + 1.0
_TOKENS = 20


@pytest.fixture
def made(tmp_path):
    with processes.running() as started:
        yield scene.Scene(started=started, directory=tmp_path)


def _start_engines(made, count):
    return [
        made.started.standin("engine", "--speed", "4") for _ in range(count)
    ]


def _list(made, engines, **options):
    made.list_hosts(tuple(engine.address for engine in engines), **options)


def test_leaving_endpoint_gets_no_new_work(made):
    # The platform reclaims an engine, and its host list shows that late. Work
    # in flight there must be finished, but work that is sent there after a few
    # seconds would be interrupted when the engine stops.
    engines = _start_engines(made, 3)
    _list(made, engines)
    daemon = made.start_daemon()
    scene.wait_ready(daemon, engines=3)
    leaving = engines[0].address
    load = callerload.Load(
        daemons=[daemon], callers=6, max_tokens=_TOKENS, name="leaving"
    )
    with load:
        load.wait_answers(12)
        _list(made, engines, leaving=(leaving,), lag_s=_LAG_S)
        changed_s = time.monotonic()
        load.wait_answers(12)
        processes.wait_for(
            lambda: time.monotonic() > changed_s + _LEAVING_LIMIT_S
        )
        load.wait_answers(12)
    scene.assert_whole(load.answers, _TOKENS)
    runs = scene.read_runs(leaving)
    assert {run["ended"] for run in runs} == {"done"}
    assert max(run["at_s"] for run in runs) < changed_s + _LEAVING_LIMIT_S


def test_draining_engine_gets_no_new_requests(made):
    # An engine drains itself, for example before maintenance, while the host
    # list still shows it as live. It refuses new work. Callers must not notice,
    # and because of its own report it must soon get no more attempts.
    engines = _start_engines(made, 2)
    _list(made, engines)
    daemon = made.start_daemon()
    scene.wait_ready(daemon, engines=2)
    load = callerload.Load(
        daemons=[daemon], callers=6, max_tokens=_TOKENS, name="draining"
    )
    address = engines[0].address
    with load:
        load.wait_answers(12)
        processes.call("POST", address, "/drain", {})
        load.wait_answers(30)
        before = processes.call("GET", address, "/ledger").json
        load.wait_answers(30)
        after = processes.call("GET", address, "/ledger").json
    scene.assert_whole(load.answers, _TOKENS)
    assert after["refused"] == before["refused"]
    assert {run["ended"] for run in after["runs"]} == {"done"}


def test_rolling_restart_of_all_engines(made):
    # The engines are replaced one after the other, each stopped by a signal
    # while the host list still shows it as live. No caller may notice: the
    # engine refuses new work as not started and finishes its current work.
    engines = _start_engines(made, 3)
    _list(made, engines)
    daemon = made.start_daemon()
    scene.wait_ready(daemon, engines=3)
    load = callerload.Load(
        daemons=[daemon], callers=6, max_tokens=_TOKENS, name="engines"
    )
    with load:
        for number in range(3):
            load.wait_answers(12)
            (new,) = _start_engines(made, 1)
            old, engines[number] = engines[number], new
            address = new.address
            old.send(signal.SIGTERM)
            _list(made, engines, lag_s=0.3)
            assert old.wait() == 0
            processes.wait_for(lambda at=address: scene.read_runs(at))
        load.wait_answers(12)
    scene.assert_whole(load.answers, _TOKENS)


def test_rolling_restart_of_all_daemons(made):
    # The entry hosts are replaced one after the other while callers send
    # requests through the load balancer, which checks each host's readiness.
    # Each daemon must exit with 0, and no request may be interrupted.
    engines = _start_engines(made, 2)
    _list(made, engines)
    daemons = [made.start_daemon() for _ in range(2)]
    for daemon in daemons:
        scene.wait_ready(daemon, engines=2)
    load = callerload.Load(
        daemons=daemons, callers=6, max_tokens=_TOKENS, name="daemons"
    )
    with load:
        for number in range(2):
            load.wait_answers(12)
            new = made.start_daemon()
            scene.wait_ready(new, engines=2)
            old, daemons[number] = daemons[number], new
            old.send(signal.SIGTERM)
            assert old.wait() == 0
        load.wait_answers(12)
    scene.assert_whole(load.answers, _TOKENS)


def test_stop_serves_what_comes_before_the_balancer_knows(made):
    # The load balancer sends new requests for a moment after a host reported
    # that it is stopping. They must be served, and long ones not interrupted.
    engines = _start_engines(made, 1)
    _list(made, engines)
    daemon = made.start_daemon()
    callers = scene.wait_ready(daemon, engines=1)
    daemon.send(signal.SIGTERM)
    processes.wait_for(lambda: not scene.is_ready(daemon))
    ids = [f"late-{number}" for number in range(4)]
    answers = scene.stream_many(callers, ids, max_tokens=200)
    scene.assert_whole(answers, 200)
    assert daemon.wait() == 0
