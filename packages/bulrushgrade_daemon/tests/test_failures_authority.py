"""Lease holders that crash, freeze or lose the log, with real processes."""

import signal
import time

import control
import processes
import pytest
import scene

# Added to the lease's times in bounds on measured times, for a busy machine.
# Clocks need no allowance, as all processes share the machine's.
_MARGIN_S = 6.0


@pytest.fixture
def cluster(tmp_path):
    with processes.running() as started:
        yield control.Cluster(started=started, directory=tmp_path)


def _start(cluster, count, *options, fencing=True, change_s=0.8):
    """Starts daemons and one engine; returns once a daemon holds the lease."""
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
    """Returns whether an engine is carrying out an order."""
    return any(
        each["order_id"] == order_id and each["until_s"] is None
        for each in control.read_orders(engine)
    )


@pytest.mark.parametrize("fencing", [True, False])
def test_holder_frozen_in_mid_order(cluster, fencing):
    # A holder is paused for longer than its lease while an engine carries out
    # its order. The second holder completes that order, writes the intent of
    # another and crashes; a third sends it. When the first resumes, its state
    # says that it holds the lease and that its order is unfinished. The engine
    # accepts any order, also during a change, so only the holders can prevent
    # overlapping orders.
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
    # The lease is free only once that of the frozen holder has expired, and is
    # taken over soon after.
    assert control.TTL_S - control.GUARD_S < lost_s < control.TTL_S + _MARGIN_S
    assert control.find_holders([first, third]) == [third]
    print(f"\nno holder for {lost_s:.2f} s after a freeze")


def test_killed_holder_leaves_an_intent(cluster):
    # A holder crashes between writing the intent of an order and sending it.
    # The engine would stay out of use unless the next holder took the order
    # over under its own term.
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
    # A holder is paused while its order waits for a response, and when it
    # resumes it has no network, so it can't read that another holder took
    # over. By its own clock it must stop before it sends the order again.
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
    # Its first send has timed out; from now on it could send the order again.
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
    # The network delays an order until after its holder has crashed and the
    # next holder's order was carried out. The engine refuses the late order by
    # its fencing number.
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
    # Two daemons start while the host list has neither, so each considers
    # itself the only candidate and both claim at once; responses to claims are
    # lost. The order on the log decides: only one holds the lease and sends
    # the order that a crashed holder left.
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
    # An engine crashes during a change, restarts in its old role and has lost
    # the order. Unless the order is sent again the engine stays out of use; if
    # it is sent too early it is lost as well.
    engine, holder, _ = _start(cluster, 1, change_s=0.4)
    scene.fault(engine, crash_changes=1, down_s=0.5)
    order_id = _order(cluster, holder, engine, "prefill")
    control.wait_settled(holder, engine, "prefill")
    held = control.read_orders(engine)
    assert [each["outcome"] for each in held] == ["crashed", "done"]
    assert {each["order_id"] for each in held} == {order_id}
    control.assert_no_overlap(engine)


def test_log_away_for_longer_than_the_lease(cluster):
    # During an outage of the log no daemon can prove that it holds the lease,
    # so roles stay unchanged and callers are served as before. Once the log is
    # back a holder is found and orders are carried out again.
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
    # A host is stopped on purpose, as in each deployment. It must release the
    # lease, so that the next holder doesn't wait until it expires.
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
    # A new host starts after the log has trimmed the holder's claim, so it
    # can't know who holds the lease. It must neither act beside the holder nor
    # wait forever once that has crashed.
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
