"""Holders that die, freeze or lose the log, with real processes."""

import signal
import time

import control
import processes
import pytest
import scene

# Clocks of one machine run alike; what is measured here has room for a busy
# machine on top of the lease's own times.
_MARGIN_S = 6.0


@pytest.fixture
def cluster(tmp_path):
    with processes.running() as started:
        yield control.Cluster(started=started, directory=tmp_path)


def _start(cluster, count, *options, fencing=True, change_s=0.8):
    """Starts daemons and one engine; returns both once a holder acts."""
    flag = "--fencing" if fencing else "--no-fencing"
    engine = cluster.started.standin(
        "engine", flag, "--change-s", str(change_s), *options
    )
    daemons = [cluster.start_daemon() for _ in range(count)]
    cluster.list_hosts(daemons, [engine.address], fencing=fencing)
    holder = control.wait_holder(daemons)
    others = [d for d in daemons if d is not holder]
    for daemon in daemons:
        scene.wait_ready(daemon, engines=1)
    return engine.address, holder, others


def _order(cluster, holder, engine, role):
    return cluster.append_intent(
        engine, role, control.read_group(holder)["term"]
    )


def _holds_order(engine, order_id):
    """Whether an engine holds an order at this moment."""
    return any(
        each["order_id"] == order_id and each["until_s"] is None
        for each in control.read_orders(engine)
    )


@pytest.mark.parametrize("fencing", [True, False])
def test_holder_frozen_in_mid_order(cluster, fencing):
    # A holder is stopped for several TTLs while an engine carries out its
    # order. The next holder finishes that order, announces another and dies;
    # a third gives it. When the first wakes it believes that it holds the
    # lease, and the order that it knows looks unfinished to it. The engine
    # takes whatever comes, also in the middle of a change, so only the
    # holders can keep orders apart.
    engine, first, rest = _start(
        cluster, 3, "--overlap", fencing=fencing, change_s=1.2
    )
    early = _order(cluster, first, engine, "prefill")
    processes.wait_for(lambda: _holds_order(engine, early))
    first.send(signal.SIGSTOP)
    frozen_s = time.monotonic()
    second = control.wait_holder(rest)
    lost_s = time.monotonic() - frozen_s
    control.wait_settled(second, engine, "prefill")
    term = control.read_group(second)["term"]
    second.send(signal.SIGKILL)
    late = cluster.append_intent(engine, "decode", term)
    (third,) = [daemon for daemon in rest if daemon is not second]
    processes.wait_for(lambda: _holds_order(engine, late))
    first.send(signal.SIGCONT)
    control.wait_settled(third, engine, "decode")
    processes.wait_for(lambda: not control.read_group(first)["unfinished"])
    control.assert_no_overlap(engine)
    held = [each["order_id"] for each in control.read_orders(engine)]
    assert held == [early, late]
    # Nobody acts until the frozen one's lease is over, and soon after it.
    assert control.TTL_S - control.GUARD_S < lost_s < control.TTL_S + _MARGIN_S
    assert control.find_holders([first, third]) == [third]
    print(f"\nno holder for {lost_s:.2f} s after a freeze")


def test_killed_holder_leaves_an_intent(cluster):
    # A holder dies between announcing an order and giving it. Nobody else
    # would ever give that order again, and the engine would stay out of use;
    # the next holder takes it over under its own term.
    engine, first, (second,) = _start(cluster, 2)
    term = control.read_group(first)["term"]
    first.send(signal.SIGKILL)
    killed_s = time.monotonic()
    order_id = cluster.append_intent(engine, "prefill", term)
    control.wait_holder([second])
    lost_s = time.monotonic() - killed_s
    control.wait_settled(second, engine, "prefill")
    (held,) = control.read_orders(engine)
    assert held["order_id"] == order_id
    assert held["term"] > term
    assert lost_s < control.TTL_S + _MARGIN_S
    print(f"\nno holder for {lost_s:.2f} s after a kill")


def test_woken_holder_that_cannot_read_the_log(cluster):
    # A holder is stopped while its order waits for an answer, and when it
    # wakes its network is gone: nothing tells it of the holder that took
    # over meanwhile. Its own clock has to, before it gives the order again.
    options = ("--overlap", "--no-fencing", "--change-s", "0.5")
    engine = cluster.started.standin("engine", *options).address
    link = cluster.started.standin("link", cluster.log)
    first = cluster.start_daemon(log=link.address)
    cluster.list_hosts([first], [engine], fencing=False)
    control.wait_holder([first])
    second = cluster.start_daemon()
    cluster.list_hosts([first, second], [engine], fencing=False)
    for daemon in (first, second):
        scene.wait_ready(daemon, engines=1)
    scene.fault(engine, silent=True)
    order_id = _order(cluster, first, engine, "prefill")
    processes.wait_for(lambda: control.dump(first, "orders")["sending"])
    sent = control.read_group(first)["counts"]["orders_sent"]
    first.send(signal.SIGSTOP)
    scene.fault(link.ready["admin"], silent=True)
    scene.fault(engine)
    control.wait_holder([second])
    control.wait_settled(second, engine, "prefill", order_id=order_id)
    first.send(signal.SIGCONT)
    # Its write is given up; from here on it would write again.
    processes.wait_for(lambda: not control.dump(first, "orders")["sending"])
    turns = control.dump(first, "peers")["sequence"]
    processes.wait_for(
        lambda: control.dump(first, "peers")["sequence"] > turns + 1
    )
    group = control.read_group(first)
    assert group["unfinished"]
    assert not group["acting"]
    assert group["counts"]["orders_sent"] == sent
    control.assert_no_overlap(engine)


def test_late_order_of_a_dead_holder(cluster):
    # The network holds back a holder's order while the holder dies. The next
    # one gives its own order, and then the old one arrives: the engine knows
    # it by its number, and nothing comes of it.
    engine, first, (second,) = _start(cluster, 2)
    term = control.read_group(first)["term"]
    early = _order(cluster, first, engine, "prefill")
    control.wait_settled(first, engine, "prefill")
    first.send(signal.SIGKILL)
    control.wait_holder([second])
    late = _order(cluster, second, engine, "decode")
    control.wait_settled(second, engine, "decode")
    wanted = {"role": "prefill", "model": "model", "version": "1"}
    for order_id, number in ((early, term + 1), ("unheard-of", term + 1)):
        answer = processes.call(
            "POST",
            engine,
            "/orders",
            {"order_id": order_id, "term": number, "wanted": wanted},
        )
        assert (answer.code, answer.json["code"]) == (409, "stale_term")
    held = [each["order_id"] for each in control.read_orders(engine)]
    assert held == [early, late]
    assert control.read_load(engine)["role"] == "decode"


def test_claimants_that_do_not_know_of_each_other(cluster):
    # Two daemons start while the host list shows neither, so each takes
    # itself for the only candidate, and both claim at once; the answer to
    # one claim is lost. The log's order decides: one of them acts, and the
    # order that a dead holder left is given by that one only.
    engine = cluster.started.standin("engine", "--overlap").address
    term = cluster.append_claim()
    order_id = cluster.append_intent(engine, "prefill", term)
    cluster.list_hosts((), [engine])
    scene.fault(cluster.log, lose_answers=2, stream=control.STREAM)
    daemons = [cluster.start_daemon() for _ in range(2)]
    holder = control.wait_holder(daemons)
    (other,) = [d for d in daemons if d is not holder]
    control.wait_settled(holder, engine, "prefill")
    control.assert_no_overlap(engine)
    (held,) = control.read_orders(engine)
    assert held["order_id"] == order_id
    assert control.read_group(other)["counts"]["orders_sent"] == 0
    assert control.find_holders(daemons) == [holder]


def test_engine_crashes_partway_through_a_change(cluster):
    # An engine dies in the middle of a change, comes back as it was before,
    # and has forgotten the order. Without another try it would stay out of
    # use for good; sent too early it would be lost as well.
    engine, holder, _ = _start(cluster, 1, change_s=0.4)
    scene.fault(engine, crash_changes=1, down_s=0.5)
    order_id = _order(cluster, holder, engine, "prefill")
    control.wait_settled(holder, engine, "prefill")
    held = control.read_orders(engine)
    assert [each["outcome"] for each in held] == ["crashed", "done"]
    assert {each["order_id"] for each in held} == {order_id}
    control.assert_no_overlap(engine)


def test_log_away_for_longer_than_the_lease(cluster):
    # The log is out. Roles stay as they are, since nobody can prove that it
    # holds authority, and callers are served as before; an order announced
    # just before goes out once the log is back.
    engine, holder, others = _start(cluster, 2)
    daemons = [holder, *others]
    scene.fault(cluster.log, outage=True)
    away_s = time.monotonic()
    processes.wait_for(lambda: not control.find_holders(daemons))
    assert time.monotonic() - away_s < control.TTL_S + _MARGIN_S
    control.sleep_until(away_s + 2 * control.TTL_S)
    assert not control.find_holders(daemons)
    ids = [f"away-{number}" for number in range(4)]
    scene.assert_whole(
        scene.stream_many(holder.ready["callers"], ids, max_tokens=20), 20
    )
    assert control.read_orders(engine) == []
    scene.fault(cluster.log)
    back_s = time.monotonic()
    now = control.wait_holder(daemons)
    print(f"\na holder {time.monotonic() - back_s:.2f} s after the outage")
    order_id = _order(cluster, now, engine, "prefill")
    control.wait_settled(now, engine, "prefill")
    assert [o["order_id"] for o in control.read_orders(engine)] == [order_id]


def test_planned_stop_hands_over_at_once(cluster):
    # A host is stopped on purpose, as in each deployment. It gives up the
    # lease, so that nobody waits for a TTL to pass.
    _, first, (second,) = _start(cluster, 2)
    first.send(signal.SIGTERM)
    assert first.wait() == 0
    stopped_s = time.monotonic()
    control.wait_holder([second])
    taken_s = time.monotonic() - stopped_s
    records = cluster.read(control.STREAM)
    assert any('"Release"' in record["body"] for record in records)
    print(f"\na holder {taken_s:.2f} s after the planned stop's end")


def test_control_stream_trimmed_under_a_fresh_reader(cluster):
    # The log has trimmed the holder's claim when a new host starts. It can't
    # know who holds the group, and must neither act beside the holder nor
    # wait for ever once that dies.
    engine, first, _ = _start(cluster, 1)
    term = control.read_group(first)["term"]
    end = cluster.read(control.STREAM)[-1]["offset"] + 1
    trim = {"stream": control.STREAM, "offset": end}
    assert processes.call("POST", cluster.log, "/trim", trim).code == 200
    second = cluster.start_daemon()
    scene.wait_ready(second, engines=1)
    cluster.list_hosts([first, second], [engine])
    processes.wait_for(
        lambda: control.read_group(second)["current_term"] == term
    )
    assert control.find_holders([first, second]) == [first]
    first.send(signal.SIGKILL)
    order_id = cluster.append_intent(engine, "prefill", term)
    control.wait_holder([second])
    control.wait_settled(second, engine, "prefill", order_id=order_id)
    control.assert_no_overlap(engine)
