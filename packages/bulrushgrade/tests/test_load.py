"""Tests of combining own, peers' and reported load."""

from bulrushgrade import load
from bulrushgrade import work


def _load():
    endpoint = work.Endpoint(address="e", model="m")
    return load.EndpointLoad(endpoint=endpoint)


def _report(running, age_s, **more):
    return work.LoadReport(endpoint="e", running=running, age_s=age_s, **more)


def test_stale_idle_report_does_not_hide_own_requests():
    item = _load()
    item.add_own(load.Amount(running=3.0), 10.0)
    item.apply_report(_report(0, 1.0), 10.2)
    assert item.total.running == 3.0


def test_report_of_known_work_is_not_counted_again():
    item = _load()
    item.add_own(load.Amount(running=3.0), 8.0)
    item.set_peer("p", load.Amount(running=2.0), 8.0)
    item.apply_report(_report(5, 1.0), 10.0)
    assert item.total.running == 5.0


def test_peer_heard_after_the_report_is_not_counted_twice():
    """A peer's message about its work arrives after the engine's report of it.

    Counted as unattributed and as the peer's, the work made one busy engine
    look twice as busy to every host, and callers were refused beside idle
    engines.
    """
    item = _load()
    item.add_own(load.NO_LOAD, 9.0)
    item.set_peer("p", load.Amount(running=4.0), 9.8)
    item.apply_report(_report(4, 0.5), 10.0)
    assert item.total.running == 4.0


def test_report_adds_work_of_unheard_hosts():
    item = _load()
    item.add_own(load.Amount(running=1.0), 5.0)
    item.apply_report(_report(6, 0.5, prefill_backlog_tokens=900), 10.0)
    assert item.total.running == 6.0
    assert item.total.prefill_tokens == 900.0
    item.apply_report(_report(9, 60.0), 10.5)
    assert item.total.running == 6.0


def test_new_role_resets_learned_ratios():
    item = _load()
    item.step_ratio = 3.0
    changed = work.Endpoint(address="e", model="m", role=work.Role.DECODE)
    item.update_endpoint(changed)
    assert item.step_ratio == 1.0
