"""Requests with a key, whose daemons die at each step, with real processes.

The plain stand-in enters every run in its ledger before it works on it. For
a key there must be at most one, and whoever asks again is told the first
answer or the truth.
"""

import concurrent.futures
import http.client
import signal
import statistics
import time

import control
import processes
import pytest
import scene

_WORK_S = 0.4
# The log's answers come late by this much: longer than it takes to see that
# the claim stands and to kill the daemon, and below the append's timeout.
_LOG_DELAY_S = 1.7


class _Deployment:
    """Two daemons and a plain service that takes its time."""

    def __init__(self, *, cluster, count=2, work_s=_WORK_S):
        self.cluster = cluster
        service = cluster.started.standin("plain", "--work-s", str(work_s))
        self.service = service.address
        self.daemons = [cluster.start_daemon() for _ in range(count)]
        cluster.list_hosts(self.daemons, (), [self.service])
        self.callers = [scene.wait_ready(d) for d in self.daemons]
        for daemon in self.daemons:
            processes.wait_for(lambda d=daemon: _is_caught_up(d))
        self.pool = concurrent.futures.ThreadPoolExecutor(16)

    def post(self, number, key="wedding", body="rings"):
        """Books with a key at a daemon; None where the connection broke."""
        headers = {"Idempotency_Key": key}
        try:
            return processes.call(
                "POST",
                self.callers[number],
                "/services/ledger/book",
                body,
                **headers,
            )
        except (OSError, http.client.HTTPException):
            return None

    def start_post(self, number):
        """Books at a daemon in a thread."""
        return self.pool.submit(self.post, number)

    def kill(self, number):
        self.daemons[number].send(signal.SIGKILL)
        self.daemons[number].wait()

    @property
    def runs(self):
        return scene.read_runs(self.service)

    def count_records(self):
        return processes.call("GET", self.cluster.log, "/counts").json[
            "records"
        ]


def _is_caught_up(daemon):
    shards = control.dump(daemon, "claims")["shards"]
    return all(shard["caught_up"] for shard in shards)


def _count_claimed(daemon):
    return control.dump(daemon, "claims")["counts"]["claimed"]


@pytest.fixture
def cluster(tmp_path):
    with processes.running() as started:
        yield control.Cluster(started=started, directory=tmp_path)


def _assert_under_way(answer):
    """A true 409: somebody has the key, and nobody can say how it ended."""
    assert answer.code == 409, answer.body
    error = answer.json["error"]
    assert error["code"] in ("running", "outcome_unknown")
    assert error["ran"] == "unknown"


def _retry(deployment, number):
    """Books again as a client does that comes back once when told to."""
    answer = deployment.post(number)
    if answer.code != 409:
        return answer
    _assert_under_way(answer)
    assert answer.json["error"]["code"] == "running"
    time.sleep(answer.json["error"]["retry_after_s"])
    return deployment.post(number)


def test_same_key_at_several_daemons_at_once(cluster):
    # A client that lost patience, and a balancer that sends each try to
    # another host: the same booking reaches three daemons in one moment.
    deployment = _Deployment(cluster=cluster, count=3)
    asked = [deployment.start_post(number % 3) for number in range(12)]
    answers = [each.result() for each in asked]
    assert len(deployment.runs) == 1
    first = [answer for answer in answers if answer.code == 200]
    assert first
    for answer in answers:
        if answer.code == 200:
            assert answer.body == first[0].body
        else:
            _assert_under_way(answer)
    again = _retry(deployment, 1)
    assert (again.code, again.body) == (200, first[0].body)
    assert again.headers["x-idempotent-replay"] == "true"
    other = deployment.post(2, body="cake")
    assert (other.code, other.json["error"]["code"]) == (422, "key_conflict")
    assert len(deployment.runs) == 1


def test_retry_before_the_outcome_is_read(cluster):
    # A client gets its answer and asks another host for it in the same
    # moment. That host has not read the outcome, as the log has gone silent,
    # and still takes the key for running. It says so and when to come back;
    # once the log is back it gives the first answer.
    deployment = _Deployment(cluster=cluster)
    asked = deployment.start_post(0)
    processes.wait_for(lambda: len(deployment.runs) == 1)
    scene.fault(cluster.log, silent=True)
    first = asked.result()
    assert first.code == 200
    early = deployment.post(1)
    _assert_under_way(early)
    assert early.json["error"]["code"] == "running"
    scene.fault(cluster.log)
    processes.wait_for(lambda: deployment.post(1).code == 200)
    again = deployment.post(1)
    assert again.body == first.body
    assert again.headers["x-idempotent-replay"] == "true"
    assert len(deployment.runs) == 1


def test_killed_before_the_claim_is_stored(cluster):
    # The log does not answer, so the claim never got there, and the host
    # dies. The retry through another host is the first that runs.
    deployment = _Deployment(cluster=cluster)
    scene.fault(cluster.log, silent=True)
    lost = deployment.start_post(0)
    host = deployment.daemons[0]
    processes.wait_for(lambda: _count_claimed(host) == 1)
    deployment.kill(0)
    assert lost.result() is None
    scene.fault(cluster.log)
    assert deployment.runs == []
    processes.wait_for(lambda: deployment.post(1).code == 200)
    assert len(deployment.runs) == 1


def test_killed_after_the_claim(cluster):
    # The claim stands, and the host dies before it has written anything to
    # the service. Nobody can know that, so nobody may run it for it.
    deployment = _Deployment(cluster=cluster)
    before = deployment.count_records()
    scene.fault(cluster.log, slow_s=_LOG_DELAY_S)
    lost = deployment.start_post(0)
    processes.wait_for(lambda: deployment.count_records() > before)
    deployment.kill(0)
    assert lost.result() is None
    scene.fault(cluster.log)
    processes.wait_for(lambda: deployment.post(1).code == 409)
    _assert_under_way(deployment.post(1))
    assert deployment.runs == []


def test_killed_after_the_write(cluster):
    # The service has begun to work on the booking when the host dies. The
    # retry must not book a second time.
    deployment = _Deployment(cluster=cluster)
    lost = deployment.start_post(0)
    processes.wait_for(lambda: deployment.runs)
    deployment.kill(0)
    assert lost.result() is None
    _assert_under_way(deployment.post(1))
    assert len(deployment.runs) == 1


def test_killed_before_the_outcome_is_stored(cluster):
    # The caller has its answer, and the host dies before the log knows of
    # it. Another host can't give that answer, but it must not book again.
    deployment = _Deployment(cluster=cluster)
    asked = deployment.start_post(0)
    processes.wait_for(lambda: deployment.runs)
    scene.fault(cluster.log, lose_requests=1000, stream="once.")
    assert asked.result().code == 200
    deployment.kill(0)
    scene.fault(cluster.log)
    _assert_under_way(deployment.post(1))
    assert len(deployment.runs) == 1


def test_claim_whose_answer_was_lost(cluster):
    # The log took the claim and its answer is lost. The daemon reads its
    # claim back, runs it, and another host replays the answer.
    deployment = _Deployment(cluster=cluster)
    scene.fault(cluster.log, lose_answers=1, stream="once.")
    first = deployment.post(0)
    assert first.code == 200, first.body

    def replayed():
        answer = deployment.post(1)
        return answer if answer.code == 200 else None

    second = processes.wait_for(replayed)
    assert second.body == first.body
    assert len(deployment.runs) == 1


def test_log_unavailable(cluster):
    # Nobody can claim while the log is out. Callers are told at once that
    # nothing ran and when to come back; then the same key runs once.
    deployment = _Deployment(cluster=cluster)
    scene.fault(cluster.log, outage=True)
    for number in range(4):
        start_s = time.monotonic()
        answer = deployment.post(number % 2)
        took_s = time.monotonic() - start_s
        assert (answer.code, answer.json["error"]["ran"]) == (503, "not_run")
        assert int(answer.headers["retry-after"]) >= 1
        # The first at each host may have to find out that the log is away.
        assert took_s < 3.0
        print(f"\nrefused after {took_s:.3f} s without the log")
    assert deployment.runs == []
    scene.fault(cluster.log)
    processes.wait_for(lambda: deployment.post(0).code == 200)
    assert len(deployment.runs) == 1


def test_requests_without_a_key_run_at_most_once(cluster):
    # A service whose posts may not be repeated breaks the connection after
    # it has booked. Without a key there is nothing to look up later, so the
    # caller is told that nobody knows, and the daemon does not try again.
    deployment = _Deployment(cluster=cluster)
    scene.fault(deployment.service, die_after=True)
    answer = processes.call(
        "POST",
        deployment.callers[0],
        "/services/ledger/book",
        "rings",
    )
    assert answer.code >= 500
    assert answer.json["error"]["ran"] == "unknown"
    assert len(deployment.runs) == 1


def test_added_latency_of_a_claim(cluster):
    # Bookings with a key wait for the log; callers pay that on each request.
    deployment = _Deployment(cluster=cluster, work_s=0.0)

    def measure(keyed):
        taken = []
        for number in range(50):
            headers = {"Idempotency_Key": f"n-{number}"} if keyed else {}
            start_s = time.monotonic()
            answer = processes.call(
                "POST",
                deployment.callers[0],
                "/services/ledger/book",
                "rings",
                **headers,
            )
            taken.append(time.monotonic() - start_s)
            assert answer.code == 200
        return statistics.median(taken), max(taken)

    plain, keyed = measure(False), measure(True)
    assert len(deployment.runs) == 100
    added_s = keyed[0] - plain[0]
    print(f"\na claim adds {added_s * 1000:.1f} ms at the median")
    print(f"longest {plain[1]:.3f} s without, {keyed[1]:.3f} s with a key")
    assert added_s < 0.5
