"""Tests that refusals agree with what the endpoints really ran."""

import concurrent.futures
import http.client
import signal

import processes
import pytest
import scene

_TOKENS = 10
# The shorter deadline in the scene's document.
_URGENT_S = 4.0


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """Two engines, two plain services behind link proxies, and a daemon."""
    with processes.running() as started:
        engines = [
            started.standin("engine", "--speed", "20", "--queue", "4")
            for _ in range(2)
        ]
        plains = [started.standin("plain") for _ in range(2)]
        links = [started.standin("link", plain.address) for plain in plains]
        made = scene.Scene(
            started=started, directory=tmp_path_factory.mktemp("settings")
        )
        made.shown = (
            tuple(engine.address for engine in engines),
            tuple(link.address for link in links),
        )
        made.list_hosts(*made.shown)
        made.daemon = made.start_daemon()
        made.callers = scene.wait_ready(made.daemon, engines=2)
        made.engines, made.plains, made.links = engines, plains, links
        yield made


@pytest.fixture(autouse=True)
def _clear_faults(fleet):
    yield
    for process in (*fleet.engines, *fleet.plains):
        scene.fault(process.address)
    for link in fleet.links:
        scene.fault(link.ready["admin"])
    fleet.list_hosts(*fleet.shown)


def _ran_at_engines(fleet):
    addresses = [engine.address for engine in fleet.engines]
    return {run["request"] for run in scene.read_runs(*addresses)}


def _check_truth(fleet, answers):
    """Checks each "not run" against the ledgers; returns the values seen."""
    ran = _ran_at_engines(fleet)
    for answer in answers:
        assert answer.whole or answer.ran in ("not_run", "unknown"), answer
        if answer.ran == "not_run":
            assert answer.request_id not in ran
            assert answer.error["retry_after_s"] > 0
    return {answer.ran for answer in answers}


@pytest.mark.parametrize(
    "faults",
    [
        {"refuse": True},
        {"silent": True},
        {"die_after": 0},
        {"die_after": 3},
        {"silent_after": 2},
    ],
    ids=lambda faults: "-".join(map(str, *faults.items())),
)
def test_not_run_is_true_when_all_engines_fail(fleet, faults):
    # A team repeats its request if it was told that nothing ran, so that has to
    # be true. The engines refuse, crash or go silent, before or after they
    # started, so that every retry fails too.
    name = "all-" + "-".join(map(str, *faults.items()))
    for engine in fleet.engines:
        scene.fault(engine.address, **faults)
    ids = [f"{name}-{number}" for number in range(4)]
    answers = scene.stream_many(fleet.callers, ids, max_tokens=_TOKENS)
    assert not any(answer.whole for answer in answers)
    said = _check_truth(fleet, answers)
    if faults == {"refuse": True}:
        assert said == {"not_run"}


def test_prefilled_request_has_run(tmp_path):
    # One engine runs the prefill, and another, which should decode with its KV
    # cache, refuses. As the first one has run, "not run" would be false.
    with processes.running() as started:
        made = scene.Scene(started=started, directory=tmp_path)
        roles = ("prefill", "decode")
        engines = [started.standin("engine", "--role", role) for role in roles]
        made.list_hosts(tuple(engine.address for engine in engines))
        callers = scene.wait_ready(made.start_daemon(), engines=2)
        scene.fault(engines[1].address, refuse=True)
        answer = scene.stream(callers, "read", max_tokens=_TOKENS, urgent=True)
        assert scene.read_runs(engines[0].address)
        assert answer.ran == "unknown"
        scene.fault(engines[1].address)
        answers = scene.stream_many(callers, ["again"], max_tokens=_TOKENS)
        scene.assert_whole(answers, _TOKENS)


def test_given_up_requests_are_answered_at_once(fleet):
    # Far more requests arrive than the engines can serve in time. Those that
    # can't be served must be refused with a retry delay, at once or as soon as
    # they can't meet their deadline, not after it. The others must get complete
    # answers in time.
    for engine in fleet.engines:
        scene.fault(engine.address, slow_factor=40)
    ids = [f"flood-{number}" for number in range(80)]
    answers = scene.stream_many(fleet.callers, ids, max_tokens=60, urgent=True)
    _check_truth(fleet, answers)
    assert max(answer.took_s for answer in answers) < _URGENT_S + 1.0
    whole = [answer for answer in answers if answer.whole]
    scene.assert_whole(whole, 60)
    refused = [answer for answer in answers if not answer.whole]
    assert whole and refused
    # An answer takes more than half of this deadline, so a request that has not
    # started by then can't be in time.
    not_begun = [a for a in refused if a.ran == "not_run"]
    late = [a for a in not_begun if a.took_s >= _URGENT_S / 2]
    assert not late
    # A request that was refused on arrival must not have waited.
    on_arrival = [a for a in not_begun if a.error["code"] == "overloaded"]
    assert all(a.took_s < 1.0 for a in on_arrival)


def _book(fleet, request_id):
    """Sends a booking; returns the status and what it says about the run."""
    try:
        answer = processes.call(
            "POST",
            fleet.callers,
            f"/services/ledger/{request_id}",
            {"slot": 1},
            X_Request_Id=request_id,
        )
    except (OSError, http.client.HTTPException):
        return 0, "unknown"
    if answer.code == 200:
        assert answer.json["path"] == f"/{request_id}"
        return 200, "ran"
    return answer.code, answer.json["error"]["ran"]


def _count_runs(fleet, request_id):
    addresses = [plain.address for plain in fleet.plains]
    runs = scene.read_runs(*addresses)
    return sum(run["request"] == request_id for run in runs)


def _check_booking(fleet, request_id, said):
    count = _count_runs(fleet, request_id)
    assert count <= 1
    if said == "not_run":
        assert count == 0
    if said == "ran":
        assert count == 1


@pytest.mark.parametrize(
    "fault", ["die_before", "die_after", "silent", "wrong_attempt", "refuse"]
)
def test_booking_runs_at_most_once(fleet, fault):
    # Guards against double bookings. The service crashes before or after the
    # booking, goes silent, gives another request's answer or refuses. Only
    # after a refusal may the other endpoint be tried.
    for plain in fleet.plains:
        scene.fault(plain.address, **{fault: True}, times=1)
    ids = [f"{fault}-{number}" for number in range(4)]
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        outcomes = list(pool.map(lambda one: _book(fleet, one), ids))
    for request_id, (_, said) in zip(ids, outcomes, strict=True):
        _check_booking(fleet, request_id, said)
    if fault == "refuse":
        assert {code for code, _ in outcomes} == {200}


@pytest.mark.parametrize("fault", ["cut", "silent"])
def test_booking_over_a_broken_link(fleet, fault):
    # The network between host and service resets each connection or drops all
    # packets. A request that was never written is "not run"; for all others the
    # outcome is unknown.
    for link in fleet.links:
        scene.fault(link.ready["admin"], **{fault: True})
    request_id = f"link-{fault}"
    code, said = _book(fleet, request_id)
    assert code != 200
    for link in fleet.links:
        scene.fault(link.ready["admin"])
    _check_booking(fleet, request_id, said)


def test_killed_service_is_not_run_and_booked_elsewhere(fleet):
    # A service's host has crashed, but the host list still shows it. No byte of
    # a booking reaches it, so another endpoint may run the booking.
    plain = fleet.started.standin("plain")
    gone = plain.address
    live = fleet.plains[0].address
    fleet.list_hosts(plains=(gone, live))
    processes.wait_for(lambda: _lists(fleet, gone))
    plain.send(signal.SIGKILL)
    plain.wait()
    ids = [f"killed-{number}" for number in range(6)]
    assert {_book(fleet, request_id) for request_id in ids} == {(200, "ran")}
    assert [_count_runs(fleet, request_id) for request_id in ids] == [1] * 6


def _lists(fleet, address):
    admin = fleet.daemon.ready["admin"]
    dump = processes.call("GET", admin, "/dump/hostlist").json
    return address in str(dump)
