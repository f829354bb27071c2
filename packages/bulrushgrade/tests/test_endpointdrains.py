"""Tests of endpoints that state that they are leaving."""

from bulrushgrade import endpointdrains

E1 = ("e1", 0)


def test_earliest_statement_counts():
    """Guards against a drain whose time begins anew with each answer."""
    drains = endpointdrains.EndpointDrains()
    assert drains.observe(E1, 10.0)
    assert not drains.observe(E1, 12.0)
    assert drains.since(E1) == 10.0
    assert not drains.observe(E1, 9.0)
    assert drains.since(E1) == 9.0


def test_drain_belongs_to_one_incarnation():
    """Guards against a restarted endpoint that is taken to leave again."""
    drains = endpointdrains.EndpointDrains()
    drains.observe(E1, 10.0)
    assert drains.since(("e1", 5)) is None


def test_drain_is_kept_while_its_endpoint_is_known():
    """Guards against endpoints that leave for minutes and are used again."""
    drains = endpointdrains.EndpointDrains()
    drains.observe(E1, 10.0)
    late = 10.0 + 100 * endpointdrains.FORGET_S
    drains.forget(late, lambda endpoint: True)
    assert drains.since(E1) == 10.0
    drains.forget(10.0 + endpointdrains.FORGET_S / 2, lambda endpoint: False)
    assert drains.since(E1) == 10.0
    drains.forget(late, lambda endpoint: False)
    assert len(drains) == 0
