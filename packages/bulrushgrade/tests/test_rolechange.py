"""Tests of one engine's role change."""

from bulrushgrade import orderlog
from bulrushgrade import rolechange

MIXED = orderlog.Wanted(role="mixed", model="m", version="1")
PREFILL = orderlog.Wanted(role="prefill", model="m", version="1")
TIMES = rolechange.RoleChangeTimes()
ASK, PROPOSE = rolechange.Action.ASK_DRAIN, rolechange.Action.PROPOSE


def _change(*, can_refuse=True):
    return rolechange.RoleChange(
        engine="e",
        before=MIXED,
        wanted=PREFILL,
        can_refuse=can_refuse,
        times=TIMES,
        now=0.0,
    )


def _load(at, *, requests=0, refusing=True):
    return rolechange.Load(refusing=refusing, requests=requests, measured_at=at)


def test_a_change_from_last_request_to_slow_start():
    change = _change()
    assert change.share(0.0) == 0.0
    assert change.tick(0.0) is None
    change.observe_drops(all_dropped=True, now=1.0)
    assert change.tick(1.0) is ASK
    change.observe_load(_load(1.5, refusing=False))
    assert change.tick(1.5) is None
    change.observe_load(_load(2.0, requests=3))
    assert change.tick(2.0) is None
    change.observe_load(_load(3.0))
    assert change.tick(3.0) is PROPOSE
    change.record_proposal()
    assert change.tick(4.0) is None
    change.observe_outcome(PREFILL, 9.0)
    assert change.share(14.0) == 0.5
    change.tick(19.0)
    assert (change.phase, change.over) == ("done", True)
    assert change.share(19.0) == 1.0


def test_silent_daemon_leaves_it_to_the_engine_to_refuse():
    # One daemon does not confirm that it dropped the engine. It may place work
    # on it at any time, so only the engine's own refusal counts.
    change = _change()
    assert change.tick(4.9) is None
    assert change.tick(5.0) is ASK
    assert change.tick(5.5) is None
    assert change.tick(6.0) is ASK
    change.observe_load(_load(7.0))
    assert change.tick(7.0) is PROPOSE


def test_silent_daemon_and_no_refusal_abort():
    change = _change(can_refuse=False)
    change.tick(5.0)
    assert (change.phase, change.share(5.0)) == ("aborted", 1.0)


def test_own_count_and_old_reports_hold_the_order_back():
    # The engine's report of no work was measured before the last daemon
    # dropped it. An order based on it would cut off that daemon's requests.
    change = _change(can_refuse=False)
    change.observe_load(_load(1.0, refusing=False))
    change.observe_drops(all_dropped=True, now=2.0)
    assert change.tick(2.0) is None
    change.observe_load(_load(3.0, refusing=False))
    change.observe_in_flight(1)
    assert change.tick(3.0) is None
    change.observe_in_flight(0)
    assert change.tick(3.1) is PROPOSE


def test_figures_from_before_the_refusal_hold_the_order_back():
    # The engine reports that it refuses, but its count of no work is older. A
    # request placed in between would be cut off by the order.
    change = _change()
    change.observe_load(_load(1.0))
    assert change.tick(2.0) is None
    change.observe_load(_load(2.5, requests=1))
    assert change.tick(3.0) is None
    change.observe_load(_load(4.0))
    assert change.tick(4.0) is PROPOSE


def test_engine_that_forgot_to_refuse_is_asked_again():
    change = _change()
    change.observe_load(_load(1.0, requests=1))
    assert change.tick(1.0) is None
    change.observe_load(_load(2.0, refusing=False))
    assert change.tick(2.0) is ASK


def test_work_that_does_not_end_is_never_cut():
    refusing = _change()
    refusing.observe_load(_load(1.0, requests=1))
    open_ = _change(can_refuse=False)
    open_.observe_drops(all_dropped=True, now=0.0)
    for now in (1.0, 121.0, 1000.0):
        assert refusing.tick(now) is None
        assert open_.tick(now) is None
    assert (refusing.phase, refusing.overdue(1000.0)) == ("emptying", True)
    assert open_.phase == "aborted"


def test_abort_after_drain_orders_the_way_back():
    change = _change()
    change.observe_drops(all_dropped=True, now=0.0)
    assert change.tick(0.0) is ASK
    change.abort(1.0)
    change.observe_load(_load(2.0))
    assert change.tick(2.0) is PROPOSE
    assert change.target == MIXED


def test_no_abort_once_the_order_is_out():
    change = _change()
    change.observe_load(_load(0.0))
    assert change.tick(0.0) is PROPOSE
    change.record_proposal()
    change.abort(1.0)
    assert (change.phase, change.target) == ("ordering", PREFILL)
    change.hand_over(2.0)
    assert change.over
