"""Tests of the use of workspaces in messages."""

import fakes

from bulrushgrade import peersums
from bulrushgrade import workspaceshares
from bulrushgrade_daemon import sumexchange
from bulrushgrade_daemon import usemessages
from bulrushgrade_daemon import usesharing

OTHERS = usemessages.make_key("s", None)


def make_exchange(timers):
    """Returns an exchange with one table, and the table."""
    exchange = sumexchange.SumExchange(timers=timers)
    table = peersums.SumTable(ttl_s=3.0, width=4)
    exchange.add(
        usesharing.TABLE,
        table=table,
        read_own=lambda now: {OTHERS: (1.0, 0.0, 0.0, 0.0)},
        max_entries=usesharing.MAX_ENTRIES,
        interval_s=1.0,
        condense=usemessages.condense,
    )
    return exchange, table


def collect(make, reactor):
    """Returns the entries of the messages of a second."""
    found = {}
    for _ in range(9):
        for key, values in make().get(usesharing.TABLE, []):
            assert key not in found
            found[key] = values
        reactor.advance(0.1)
    return found


def test_messages_name_the_largest_workspaces_and_count_all_once():
    """Guards against messages to members that grow with the workspaces.

    Aggregators name more to each other, as the largest workspaces of a group
    may be others than those of the fleet.
    """
    reactor, timers, _ = fakes.make_timers()
    exchange, table = make_exchange(timers)
    keys = [usemessages.make_key("s", f"w{n}") for n in range(100)]
    entries = {key: (1.0 + n, 1.0, 0.0, 2.0) for n, key in enumerate(keys)}
    table.update_member("m/1", entries, 0.0)
    # The group's smallest workspace is the largest of the fleet.
    table.update_group("g/1", {keys[0]: (500.0, 0.0, 0.0, 0.0)}, 0.0)
    exchange.begin_round()
    fleet = collect(exchange.make_fleet, reactor)
    exchange.begin_round()
    group = collect(exchange.make_group, reactor)
    largest = sorted(keys, key=lambda key: -entries[key][0])
    count = workspaceshares.MAX_NAMED
    assert set(fleet) == {OTHERS, keys[0], *largest[: count - 1]}
    assert set(group) == {OTHERS, keys[0], *largest[: 2 * count - 1]}
    assert fleet[keys[0]][0] == 50100 and group[keys[0]][0] == 100
    whole = 100 * (1 + sum(range(1, 101)))
    assert sum(values[0] for values in group.values()) == whole
    assert sum(values[0] for values in fleet.values()) == whole + 50000


def test_each_service_names_its_own_workspaces():
    """Guards against a service whose largest workspaces are never named."""
    small = {
        usemessages.make_key("t", f"w{n}"): (1.0, 1.0, 0.0, 1.0)
        for n in range(3)
    }
    large = {
        usemessages.make_key("s", f"w{n}"): (9.0, 1.0, 0.0, 1.0)
        for n in range(50)
    }
    sums = large | small
    found = usemessages.condense(sums, sums, True)
    assert small.items() <= found.items()
    assert found[OTHERS] == (34 * 9.0, 34.0, 0.0, 34.0)
