"""Tests of ejecting and probing endpoints."""

from bulrushgrade import ejection


def _fleet(count):
    fleet = [ejection.Health() for _ in range(count)]
    for health in fleet:
        for _ in range(10):
            health.observe(1.0)
    return fleet


def test_slow_endpoint_is_ejected_probed_and_restored():
    """One engine of four answers four times slower, so a quarter is late.

    It is ejected. The first probe is still slow, so it stays ejected for
    longer; the next one is as fast as the others.
    """
    fleet = _fleet(4)
    slow = fleet[0]
    for _ in range(30):
        slow.observe(4.0)
    assert ejection.update(slow, fleet, 0.0)
    assert not slow.usable(ejection.BASE_EJECTION_S - 0.1)
    assert slow.usable(ejection.BASE_EJECTION_S)
    slow.start_probe(5.0)
    assert not slow.usable(5.1)
    slow.observe(4.0)
    assert ejection.update(slow, fleet, 6.0)
    assert not slow.usable(6.0 + ejection.BASE_EJECTION_S)
    slow.start_probe(16.0)
    slow.observe(1.0)
    assert not ejection.update(slow, fleet, 17.0)
    assert slow.usable(17.0)


def test_at_most_half_are_ejected_for_failures():
    fleet = _fleet(6)
    for health in fleet:
        for _ in range(ejection.CONSECUTIVE_FAILURES):
            health.record_failure()
        ejection.update(health, fleet, 0.0)
    out = [health for health in fleet if not health.usable(0.0)]
    assert len(out) == 3


def test_at_most_a_third_are_ejected_for_slowness():
    fleet = _fleet(9)
    for health in fleet[:4]:
        for _ in range(30):
            health.observe(10.0)
        ejection.update(health, fleet, 0.0)
    out = [health for health in fleet if not health.usable(0.0)]
    assert len(out) == 3


def test_one_of_two_is_ejected_when_dead_but_not_when_slow():
    slow, dead = _fleet(2), _fleet(2)
    for _ in range(30):
        slow[0].observe(10.0)
        dead[0].record_failure()
    assert not ejection.update(slow[0], slow, 0.0)
    assert ejection.update(dead[0], dead, 0.0)


def test_lost_probe_is_followed_by_another():
    fleet = _fleet(4)
    for _ in range(ejection.CONSECUTIVE_FAILURES):
        fleet[0].record_failure()
    ejection.update(fleet[0], fleet, 0.0)
    fleet[0].start_probe(5.0)
    assert fleet[0].usable(5.0 + ejection.MAX_EJECTION_S)
