"""Tests of the lookup of a key's workspace."""

from bulrushgrade import workspaces

DEALER = workspaces.Workspace(name="dealer", priority=3)
LESSOR = workspaces.Workspace(name="lessor")
OLD, NEW, OTHER = (workspaces.digest_key(k) for k in (b"old", b"new", b"x"))
RING = workspaces.KeyRing(keys=[(OLD, DEALER), (NEW, DEALER), (OTHER, LESSOR)])


def test_every_key_of_a_workspace_finds_it():
    assert RING.find(frozenset({OLD})) == DEALER
    assert RING.find(frozenset({NEW})) == DEALER
    assert RING.find(frozenset({OTHER})) == LESSOR
    assert (len(RING), RING.lowest_priority) == (3, 3)


def test_request_without_a_known_key_has_no_workspace():
    unknown = workspaces.digest_key(b"unknown")
    assert RING.find(frozenset()) is workspaces.Denial.MISSING
    assert RING.find(frozenset({unknown})) is workspaces.Denial.UNKNOWN
    both = frozenset({OLD, OTHER})
    assert RING.find(both) is workspaces.Denial.AMBIGUOUS


def test_workspace_without_keys_lets_nobody_in():
    ring = workspaces.KeyRing(keys=[])
    assert ring.find(frozenset({OLD})) is workspaces.Denial.UNKNOWN
    assert ring.lowest_priority == 0


def test_key_appears_in_no_text_of_a_ring():
    """Guards against keys that appear in dumps and logs."""
    shown = repr(vars(RING)) + workspaces.make_key_id(OLD)
    assert "old" not in shown
    assert len(workspaces.make_key_id(OLD)) == workspaces.KEY_ID_DIGITS
