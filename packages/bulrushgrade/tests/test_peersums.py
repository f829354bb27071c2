"""Tests of the sums over all hosts of vectors by key."""

import pytest

from bulrushgrade import peersums


def make(ttl_s=10.0):
    return peersums.SumTable(ttl_s=ttl_s, width=2)


def test_each_vector_counts_once():
    table = make()
    table.update_member("m/1", {"k": (1.0, 2.0)}, 0.0)
    table.update_member("m/1", {"other": (9.0, 9.0)}, 0.0)
    table.update_group("g/1", {"k": (4.0, 0.5)}, 0.0)
    assert table.group_sum("k", (0.5, 0.0), 1.0) == (1.5, 2.0)
    assert table.total("k", (0.5, 0.0), 1.0) == (5.5, 2.5)
    # The fleet's sum includes all of them.
    table.update_fleet({"k": (7.0, 3.0)}, 1.0)
    assert table.total("k", (0.5, 0.0), 1.0) == (7.0, 3.0)
    assert table.total("unknown", (0.5, 0.0), 1.0) == (0.5, 0.0)
    assert table.keys(1.0) == {"k", "other"}
    assert table.has_fleet(1.0) and not table.has_fleet(11.0)
    table.clear_fleet()
    assert not table.has_fleet(1.0)
    assert table.total("k", None, 1.0) == (5.0, 2.5)


def test_a_sender_that_changes_its_group_counts_once():
    """Guards against twice the weight after a change of the aggregator."""
    table = make()
    table.update_group("h/1", {"k": (1.0, 1.0)}, 0.0)
    table.update_member("h/1", {"k": (1.0, 1.0)}, 0.1)
    assert table.total("k", None, 0.1) == (1.0, 1.0)
    table.update_group("h/1", {"k": (3.0, 3.0)}, 0.2)
    assert table.group_sum("k", None, 0.2) == (0.0, 0.0)
    assert table.total("k", None, 0.2) == (3.0, 3.0)


def test_old_entries_are_neither_used_nor_kept():
    table = make()
    for at in (0.0, 8.0):
        table.update_member("m/1", {f"k{at}": (1.0, 1.0)}, at)
        table.update_group("g/1", {f"k{at}": (1.0, 1.0)}, at)
        table.update_fleet({f"f{at}": (1.0, 1.0)}, at)
    assert table.total("k0.0", None, 10.0) == (0.0, 0.0)
    assert table.keys(10.0) == {"k8.0", "f8.0"}
    table.expire(10.0, silent_s=5.0)
    # As if the entries were young again: expired ones are gone.
    assert table.keys(-5.0) == {"k8.0", "f8.0"}


@pytest.mark.parametrize("leave", ["drop", "silence"])
def test_vectors_of_a_lost_host_are_dropped(leave):
    """Guards against members of a lost aggregator that count twice."""
    table = make()
    table.update_member("m/1", {"k": (1.0, 1.0)}, 0.0)
    table.update_group("g/1", {"k": (2.0, 2.0)}, 0.0)
    table.update_group("g/2", {"k": (4.0, 4.0)}, 0.0)
    table.update_group("g/2", {}, 2.0)
    if leave == "drop":
        table.drop("m/1")
        table.drop("g/1")
    else:
        table.expire(2.0, silent_s=1.5)
    assert table.total("k", None, 2.0) == (4.0, 4.0)


def test_vectors_of_another_width_are_ignored():
    """Guards against messages of a version with another format."""
    table = make()
    table.update_member("m/1", {"k": (1.0,), "l": (1.0, 2.0)}, 0.0)
    table.update_fleet({"k": (1.0, 2.0, 3.0)}, 0.0)
    assert table.keys(0.0) == {"l"}
