"""Tests of the orders that a holder may make and write."""

from returns.result import Failure

from bulrushgrade import engineorder
from bulrushgrade import errors
from bulrushgrade import fakeengine
from bulrushgrade import fakeholder
from bulrushgrade import fakelog
from bulrushgrade import lease
from bulrushgrade import order
from bulrushgrade import orderlog

MIXED = orderlog.Wanted(role="mixed", model="m", version="1")
PREFILL = orderlog.Wanted(role="prefill", model="m", version="1")
TIMES = order.OrderTimes()
LEASE_S = 5.5


def _group(*, fencing=True, change_s=3.0):
    """Returns a holder, a candidate, their engine and the log."""
    log = fakelog.FaultyLog()
    engine = fakeengine.FakeEngine(
        name="e", fencing=fencing, initial=MIXED, change_s=change_s
    )
    a, b = (
        fakeholder.FakeHolder(name=name, log=log, engines=[engine])
        for name in ("a", "b")
    )
    a.step(0.0)
    return a, b, engine, log


def _refused(reason):
    return Failure(errors.OrderRefused(reason=reason))


def _step_until(holder, end, *, start=0):
    for now in range(start, end + 1, 2):
        holder.step(float(now))


def test_order_is_not_written_before_its_intent_is_read_back():
    a, _, _, log = _group()
    intent = a.order_tracker.propose("e", PREFILL, 0.0).unwrap()
    assert a.order_tracker.sendable(0.0) == ()
    log.append(intent)
    a.read(0.0)
    (found,) = a.order_tracker.sendable(0.0)
    assert (found.wanted, found.number) == (PREFILL, 1)


def test_one_order_at_a_time_until_its_engine_reports_completion():
    a, _, _, _ = _group()
    assert a.propose("e", PREFILL, 0.0)
    a.write(0.0)
    assert a.order_tracker.propose("e", MIXED, 0.0) == _refused(
        "order unfinished"
    )
    a.step(2.9)
    assert a.order_tracker.sendable(2.9) == ()
    assert "e" in a.order_tracker.fold.unfinished
    assert not a.order_tracker.placeable("e")
    a.step(3.0)
    assert a.order_tracker.placeable("e")
    assert a.propose("e", MIXED, 4.0)
    assert a.write(4.0).wanted == MIXED


def test_engine_that_crashed_gets_its_order_again():
    # The engine accepts the order, crashes during the change and restarts in
    # its old state. Without another write it would never be placeable again.
    a, _, engine, _ = _group()
    a.propose("e", PREFILL, 0.0)
    a.write(0.0)
    engine.crash(1.0, down=True)
    a.step(2.0)
    engine.crash(3.0)
    a.step(4.0)
    assert not a.order_tracker.placeable("e")
    assert a.write(4.0).wanted == PREFILL


def test_new_holder_adopts_the_unfinished_order():
    # A dies between its intent and the write of its order. The engine may
    # still receive A's order, so B sends the same one before any other.
    a, b, _, _ = _group()
    a.propose("e", PREFILL, 0.0)
    for now in (1.0, 7.5):
        b.step(now)
        assert b.order_tracker.sendable(now) == ()
    b.step(7.6)
    found = b.write(7.6)
    assert (found.wanted, found.number) == (PREFILL, 3)
    assert found.order_id == a.order_tracker.fold.unfinished["e"].order_id
    assert not a.order_tracker.sendable(7.6)


def test_adopted_order_is_sent_to_an_engine_that_completed_it():
    # The engine carried out A's order, but A died before the outcome. Until
    # the engine accepts B's fencing token, it would accept A's late writes.
    a, b, engine, _ = _group()
    a.propose("e", PREFILL, 0.0)
    old = a.write(0.0)
    for now in (1.0, 7.5, 7.6):
        b.step(now)
    assert not b.order_tracker.placeable("e")
    b.write(7.6)
    stale = engine.receive(old, opened_at=7.6, now=7.6)
    assert stale is engineorder.Reply.STALE
    b.step(7.7)
    assert b.order_tracker.placeable("e")


def test_lapsed_holder_sends_nothing():
    a, _, _, _ = _group()
    a.propose("e", PREFILL, 0.0)
    (found,) = a.order_tracker.sendable(LEASE_S - 0.1)
    assert not a.order_tracker.may_send(found, LEASE_S)


def test_new_holder_waits_before_ordering_an_unfenced_engine():
    a, _, _, _ = _group(fencing=False)
    waits = _refused("last holder may write")
    for now in range(0, 30, 2):
        a.step(float(now))
        assert a.order_tracker.propose("e", PREFILL, float(now)) == waits
    a.step(30.0)
    assert a.propose("e", PREFILL, 30.0)
    assert a.write(30.0)


def test_lost_write_delays_the_outcome_of_an_unfenced_engine():
    a, _, _, _ = _group(fencing=False)
    _step_until(a, 30)
    a.propose("e", PREFILL, 30.0)
    a.write(30.0, lose_answer=True)
    _step_until(a, 58, start=32)
    assert not a.order_tracker.placeable("e")
    a.step(60.0)
    assert a.order_tracker.placeable("e")


def test_pending_intent_is_repeated_then_refreshed():
    a, _, _, log = _group()
    intent = a.order_tracker.propose("e", PREFILL, 0.0).unwrap()
    assert a.order_tracker.due(0.4) == ()
    assert a.order_tracker.due(0.5) == (intent,)
    log.append(intent)
    _step_until(a, 604)
    assert a.order_tracker.fold.unfinished["e"].number > 300


def test_engine_must_report_before_an_order():
    a, b, engine, _ = _group()
    assert b.order_tracker.propose("e", PREFILL, 0.0) == _refused(
        "not the holder"
    )
    engine.crash(1.0, down=True)
    a.step(1.0)
    assert a.order_tracker.propose("e", PREFILL, 1.0) == _refused(
        "engine not seen"
    )


def test_pause_allowance_protects_an_unfenced_engine():
    # A checks its lease just before it expires and is paused before the write.
    # That write is harmful only after B's first order of another kind.
    a, b, _, _ = _group(fencing=False, change_s=0.0)
    _step_until(a, 30)
    a.propose("e", PREFILL, 30.0)
    b.step(30.0)
    (late,) = a.order_tracker.sendable(30.0)
    checked_at = a.lease.expires_at - 0.01
    assert a.order_tracker.may_send(late, checked_at)
    at = 30.0
    while not b.propose("e", MIXED, at):
        at += 0.25
        b.step(at)
        b.write(at)
    remaining_s = at - checked_at
    guards_s = 2 * lease.LeaseTimes().guard_s
    assert remaining_s >= TIMES.pause_allowance_s + guards_s
    assert remaining_s < TIMES.pause_allowance_s + guards_s + 1.0


def test_engine_left_draining_by_a_lost_holder_is_found():
    # A asks the engine to drain and loses its lease before the order. The
    # engine would stay drained forever if the next holder didn't detect it.
    a, _, _, _ = _group()
    assert a.order_tracker.draining_without_order() == ()
    draining = engineorder.EngineReport(
        state="draining", current=MIXED, order_id=""
    )
    a.order_tracker.observe("e", draining, 1.0)
    assert a.order_tracker.draining_without_order() == ("e",)
    assert a.propose("e", MIXED, 1.0)
    assert a.order_tracker.draining_without_order() == ()
