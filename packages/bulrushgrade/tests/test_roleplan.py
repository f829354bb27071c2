"""Tests of the role plan."""

from bulrushgrade import roleplan
from bulrushgrade import work

PREFILL, DECODE, MIXED = work.Role.PREFILL, work.Role.DECODE, work.Role.MIXED


def _view(roles, at, **states):
    return roleplan.GroupView(
        at=at,
        endpoints=tuple(
            work.Endpoint(
                address=f"e{number}",
                model="m",
                role=role,
                state=states.get(f"e{number}", work.EndpointState.SERVING),
            )
            for number, role in enumerate(roles)
        ),
        prefill_tokens_per_s=8000.0,
        decode_tokens_per_s=1000.0,
    )


def _feed(plan, steps, *, start=0.0, lost=1.0):
    """Feeds ten-second steps of demand in engines; returns the end time."""
    plan.observe("h", work.Demand(model="m"), start)
    now, prefilled, decoded, refused = start, 0.0, 0.0, 0.0
    for prefill_demand, decode_demand in steps:
        for _ in range(5):
            now += 2.0
            prefilled += prefill_demand * 8000.0 * 2.0
            decoded += decode_demand * 1000.0 * 2.0
            refused += lost * 2.0
            demand = work.Demand(
                model="m", prefill_tokens=round(prefilled),
                output_tokens=round(decoded), lost_s=refused,
            )  # fmt: skip
            plan.observe("h", demand, now - 0.1)
    return now


FLEET = (PREFILL, MIXED, DECODE, DECODE, DECODE)


def test_lasting_shift_to_reading_changes_one_engine():
    plan = roleplan.RolePlan()
    now = _feed(plan, [(3.5, 0.8)] * 6)
    change = plan.propose(_view(FLEET, now), now)
    assert change.role is PREFILL
    assert change.endpoint in ("e2", "e3", "e4")
    plan.record_change(change, now)
    assert plan.propose(_view(FLEET, now + 1.0), now + 1.0) is None


def test_swing_shorter_than_the_short_window_changes_nothing():
    plan = roleplan.RolePlan()
    now = _feed(plan, [(1.0, 2.0)] * 6 + [(3.5, 0.8)] * 2)
    assert plan.propose(_view(FLEET, now), now) is None


def test_demand_without_loss_changes_nothing():
    plan = roleplan.RolePlan()
    now = _feed(plan, [(3.5, 0.8)] * 6, lost=0.0)
    assert plan.propose(_view(FLEET, now), now) is None


def test_dearer_role_changes_need_a_greater_loss():
    cheap = roleplan.RolePlan(role_change_weight=0.3)
    dear = roleplan.RolePlan(role_change_weight=9.0)
    now = _feed(cheap, [(3.5, 0.8)] * 6, lost=0.4)
    _feed(dear, [(3.5, 0.8)] * 6, lost=0.4)
    assert cheap.propose(_view(FLEET, now), now) is not None
    assert dear.propose(_view(FLEET, now), now) is None


def test_stale_view_or_change_under_way_is_not_acted_on():
    plan = roleplan.RolePlan()
    now = _feed(plan, [(3.5, 0.8)] * 6)
    stale = _view(FLEET, now - roleplan.MAX_VIEW_AGE_S - 0.1)
    assert plan.propose(stale, now) is None
    changing = _view(FLEET, now, e0=work.EndpointState.CHANGING)
    assert plan.propose(changing, now) is None


def test_withdrawn_engine_does_not_hold_up_the_plan():
    """Guards against roles that freeze while an engine is withdrawn.

    The engine stays ``leaving`` in the host list. If that counts as a change
    in progress, no role changes any more, and callers are refused beside idle
    engines of the wrong role.
    """
    plan = roleplan.RolePlan()
    now = _feed(plan, [(3.5, 0.8)] * 6)
    view = _view(FLEET, now, e4=work.EndpointState.LEAVING)
    assert plan.propose(view, now) is not None


def test_floor_keeps_two_engines_that_decode():
    plan = roleplan.RolePlan()
    now = _feed(plan, [(5.0, 0.2)] * 6, lost=3.0)
    fleet = (PREFILL, PREFILL, PREFILL, DECODE, DECODE)
    change = plan.propose(_view(fleet, now), now)
    assert change is None or change.role is MIXED
