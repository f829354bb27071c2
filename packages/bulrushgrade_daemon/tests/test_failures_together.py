"""Combinations of two failures, with real processes."""

import re
import signal
import time

import control
import processes
import pytest
import scene

from bulrushgrade import publication

# Orders change adapters instead of roles, so the engine can serve any request.
_ADAPTERS = ("fir",)


@pytest.fixture
def cluster(tmp_path):
    with processes.running() as started:
        yield control.Cluster(started=started, directory=tmp_path)


def _start(cluster, count, *options):
    """Starts daemons and an engine; returns once a daemon holds the lease."""
    engine = cluster.started.standin("engine", *options)
    daemons = [cluster.start_daemon() for _ in range(count)]
    cluster.list_hosts(daemons, [engine.address])
    holder = control.wait_holder(daemons)
    others = [d for d in daemons if d is not holder]
    for daemon in daemons:
        scene.wait_ready(daemon, engines=1)
    return engine.address, holder, others


def _wait_served(daemon):
    callers = daemon.ready["callers"]
    processes.wait_for(
        lambda: scene.stream(callers, "served", max_tokens=5).whole
    )


def test_holder_frozen_while_the_log_is_away(cluster):
    # During an order the log becomes unavailable and the holder is paused. The
    # other daemon can't take over, but must use the engine, which completes
    # its change, although nobody can record that. When the log is back, the
    # other daemon takes over and ends the order. Then the first resumes with
    # an expired lease, an old order and an old response.
    engine, first, (second,) = _start(
        cluster, 2, "--overlap", "--change-s", "1"
    )
    term = control.read_group(first)["term"]
    order_id = cluster.append_intent(engine, "mixed", term, adapters=_ADAPTERS)
    processes.wait_for(lambda: control.read_orders(engine))
    scene.fault(cluster.log, outage=True)
    first.send(signal.SIGSTOP)
    frozen_s = time.monotonic()
    control.sleep_until(frozen_s + 2 * control.TTL_S)
    assert not control.read_group(second)["acting"]
    _wait_served(second)
    scene.fault(cluster.log)
    control.wait_holder([second])
    control.wait_settled(second, engine, "mixed", order_id=order_id)
    first.send(signal.SIGCONT)
    processes.wait_for(lambda: not control.read_group(first)["unfinished"])
    assert control.find_holders([first, second]) == [second]
    assert {o["order_id"] for o in control.read_orders(engine)} == {order_id}
    control.assert_no_overlap(engine)
    print(f"\n{_count_appends(cluster)}")


def test_daemon_killed_during_a_change_whose_engine_crashes(cluster):
    # An engine crashes during a change, and so does the daemon that ordered
    # it. The engine restarts in its old role and has lost the order; the next
    # holder must find it on the log and send it again.
    engine, first, (second,) = _start(cluster, 2, "--change-s", "1")
    scene.fault(engine, crash_changes=1, down_s=0.5)
    term = control.read_group(first)["term"]
    order_id = cluster.append_intent(engine, "mixed", term, adapters=_ADAPTERS)
    processes.wait_for(lambda: control.read_orders(engine))
    first.send(signal.SIGKILL)
    control.wait_settled(second, engine, "mixed", order_id=order_id)
    orders = control.read_orders(engine)
    assert [each["outcome"] for each in orders] == ["crashed", "done"]
    assert {each["order_id"] for each in orders} == {order_id}
    assert orders[1]["term"] > orders[0]["term"]
    control.assert_no_overlap(engine)
    _wait_served(second)


def _read_revision(daemon):
    accepted = control.dump(daemon, "documents")["accepted"]
    return accepted["assistant"]["revision"]


def _wait_revision(daemons, revision):
    processes.wait_for(
        lambda: all(_read_revision(d) == revision for d in daemons)
    )


def _start_race(cluster, tmp_path, name, base, text):
    """Starts two publishes of the same base revision at the same time."""
    commands = []
    for number in range(2):
        file = tmp_path / f"{name}-{number}.ini"
        seconds = f"whole_answer_s = {3 + number}{name}"
        file.write_text(re.sub(r"(?m)^whole_answer_s = 20$", seconds, text))
        commands.append(
            cluster.start_command(
                "publish", str(file), "--base", str(base), "--json"
            )
        )
    return commands


def test_rolling_restart_during_a_publish_race(cluster, tmp_path):
    # Hosts are replaced one by one while operators publish concurrently. Of two
    # publishes one must be accepted, no host may revert to a replaced revision,
    # and new hosts must start with the documents of all others.
    engine, holder, others = _start(cluster, 2)
    daemons = [holder, *others]
    body = cluster.read(publication.STREAM)[1]["body"]
    text = publication.parse_message(body.encode()).unwrap().text
    base = _read_revision(holder)
    for number in range(2):
        commands = _start_race(cluster, tmp_path, str(number), base, text)
        new = cluster.start_daemon()
        cluster.list_hosts([*daemons, new], [engine])
        scene.wait_ready(new, engines=1)
        assert _read_revision(new) >= base
        old, daemons[number] = daemons[number], new
        old.send(signal.SIGTERM)
        ends = [control.finish(each) for each in commands]
        assert sorted(end.code for end in ends) == [0, 1]
        (base,) = [e.json["revision"] for e in ends if e.code == 0]
        assert old.wait() == 0
        _wait_revision(daemons, base)
    digests = {control.dump(d, "documents")["digest"] for d in daemons}
    assert len(digests) == 1
    control.wait_holder(daemons)


def _count_appends(cluster):
    """Counts the control stream's records by kind."""
    kinds: dict[str, int] = {}
    for item in cluster.read(control.STREAM):
        kind = item["body"].split('"')[3]
        kinds[kind] = kinds.get(kind, 0) + 1
    return kinds


def test_appends_at_rest_and_in_failover(cluster):
    # The log accepts a few hundred appends a second from all hosts together. An
    # idle group must append only its renewals, and a failover one or two claims
    # plus the records of its orders, not a burst from every candidate.
    _, first, (second,) = _start(cluster, 2)
    start_s = time.monotonic()
    before = _count_appends(cluster)
    control.sleep_until(start_s + 3.0)
    rest = _count_appends(cluster)
    rate = (rest["Renew"] - before.get("Renew", 0)) / 3.0
    first.send(signal.SIGKILL)
    control.wait_holder([second])
    after = _count_appends(cluster)
    print(f"\nat rest {rate:.2f} renewals a second; {before} {rest} {after}")
    assert rate <= 3 / control.TTL_S + 0.5
    assert rest.keys() <= {"Claim", "Renew"}
    assert after["Claim"] - rest["Claim"] <= 2
