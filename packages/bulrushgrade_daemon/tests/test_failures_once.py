"""Requests with a key and daemons that crash at each step, in real processes.

The plain stand-in writes every run to its ledger before it processes it. Each
key must have at most one run, and a retry must get the first answer or a
correct statement of the outcome.
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
# The delay of the log's responses: longer than it takes to see that the claim
# is stored and to kill the daemon, and shorter than the append timeout.
_LOG_DELAY_S = 1.7


class _Deployment:
    """Some daemons and a plain service that takes a while per request."""

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
        """Sends a request with a key; returns None if the connection broke."""
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
        """Calls `post` in a thread."""
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
    """Asserts a 409 for a claimed key whose outcome is unknown."""
    assert answer.code == 409, answer.body
    error = answer.json["error"]
    assert error["code"] in ("running", "outcome_unknown")
    assert error["ran"] == "unknown"


def _retry(deployment, number):
    """Sends the request again, and once more if told when to retry."""
    answer = deployment.post(number)
    if answer.code != 409:
        return answer
    _assert_under_way(answer)
    assert answer.json["error"]["code"] == "running"
    time.sleep(answer.json["error"]["retry_after_s"])
    return deployment.post(number)


def test_same_key_at_several_daemons_at_once(cluster):
    # A client retries early and the load balancer sends each attempt to another
    # host, so the same request reaches three daemons at once.
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
    # A client gets its answer and at once sends the same request to another
    # host. The log no longer responds, so that host has not read the outcome
    # and still considers the key running. It must say so and when to retry, and
    # give the first answer once the log is back.
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
    # The log does not respond, so the claim is not stored, and the host
    # crashes. A retry through another host is the first run.
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
    # The claim is stored, and the host crashes before it has written anything
    # to the service. Other hosts can't know that, so none may run the request.
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
    # The host crashes after the service has started to process the request. A
    # retry must not run it a second time.
    deployment = _Deployment(cluster=cluster)
    lost = deployment.start_post(0)
    processes.wait_for(lambda: deployment.runs)
    deployment.kill(0)
    assert lost.result() is None
    _assert_under_way(deployment.post(1))
    assert len(deployment.runs) == 1


def test_killed_before_the_outcome_is_stored(cluster):
    # The caller has its answer, and the host crashes before the outcome is
    # stored. Another host can't give that answer and must not run the request
    # again.
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
    # The log stored the claim but its response is lost. The daemon reads its
    # claim back and runs the request, and another host replays the answer.
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
    # During an outage of the log no host can claim. Callers must be told at
    # once that nothing ran and when to retry; then the same key runs once.
    deployment = _Deployment(cluster=cluster)
    scene.fault(cluster.log, outage=True)
    for number in range(4):
        start_s = time.monotonic()
        answer = deployment.post(number % 2)
        took_s = time.monotonic() - start_s
        assert (answer.code, answer.json["error"]["ran"]) == (503, "not_run")
        assert int(answer.headers["retry-after"]) >= 1
        # The first at each host may have to detect that the log is unavailable.
        assert took_s < 3.0
        print(f"\nrefused after {took_s:.3f} s without the log")
    assert deployment.runs == []
    scene.fault(cluster.log)
    processes.wait_for(lambda: deployment.post(0).code == 200)
    assert len(deployment.runs) == 1


def test_requests_without_a_key_run_at_most_once(cluster):
    # A service whose requests must not be repeated closes the connection after
    # it has processed one. Without a key there is no record to look up, so the
    # daemon must not retry and must report that the outcome is unknown.
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
    # Each request with a key waits for the log. Measures the added latency.
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
