"""Failures that must not affect callers thanks to messages between peers."""

import signal

import processes
import scene


def _list_all(cluster, engine, daemons):
    """Sets the host list to one engine and some daemons."""
    usual = {
        "zone": "metter-hall",
        "region": "coastal-plain",
        "state": "live",
    }
    hosts = [
        {
            "address": daemon.ready["callers"],
            "kind": "entry",
            "service": "",
            "peer": _dump(daemon, "peers")["address"],
            **usual,
        }
        for daemon in daemons
    ]
    hosts.append(
        {
            "address": engine.address,
            "kind": "engine",
            "service": "assistant",
            **usual,
        }
    )
    answer = processes.call("PUT", cluster.hosts, "/hosts", {"hosts": hosts})
    assert answer.code == 200


def _dump(daemon, service):
    return processes.call("GET", daemon.ready["admin"], f"/dump/{service}").json


def test_daemon_that_starts_while_the_log_is_away_serves(tmp_path):
    # Hosts are replaced during a long outage of the log. A new one can get the
    # accepted documents only from running daemons, one of which is paused and
    # does not respond. Otherwise ever fewer hosts would serve callers.
    with processes.running() as started:
        cluster = scene.Scene(started=started, directory=tmp_path)
        engine = started.standin("engine", "--speed", "4")
        old = [cluster.start_daemon() for _ in range(2)]
        _list_all(cluster, engine, old)
        for daemon in old:
            scene.wait_ready(daemon, engines=1)
        scene.fault(cluster.log, outage=True)
        old[0].send(signal.SIGSTOP)
        new = cluster.start_daemon()
        callers = scene.wait_ready(new, engines=1)
        scene.assert_whole(
            scene.stream_many(callers, ["a", "b"], max_tokens=5), 5
        )
        assert (
            _dump(new, "documents")["accepted"]
            == (_dump(old[1], "documents")["accepted"])
        )
        assert not _dump(new, "log")["reachable"]


def test_loads_of_a_killed_daemon_are_forgotten(tmp_path):
    # A daemon that reported work at an engine is killed before it reports its
    # end. If the report did not expire, the engine would seem busy permanently
    # and get less work.
    with processes.running() as started:
        cluster = scene.Scene(started=started, directory=tmp_path)
        engine = started.standin("engine", "--step-s", "0.1")
        one, two = daemons = [cluster.start_daemon() for _ in range(2)]
        _list_all(cluster, engine, daemons)
        for daemon in daemons:
            scene.wait_ready(daemon, engines=1)

        def running_seen_by_two():
            loads = _dump(two, "placing")["scheduler"]["endpoints"]
            return loads[engine.address]["running"]

        def kill(count):
            if count == 1:
                processes.wait_for(lambda: running_seen_by_two() >= 1)
                one.send(signal.SIGKILL)

        answer = scene.stream(
            one.ready["callers"], "a", max_tokens=100, on_token=kill
        )
        assert not answer.whole
        processes.wait_for(lambda: running_seen_by_two() == 0)
