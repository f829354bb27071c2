"""Tests of the exchange of sums in the messages that carry loads."""

import math

import fakes
import gossipscene
import msgspec
import pytest

from bulrushgrade import peersums
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import sumexchange


def add_table(host, own, *, max_entries=16, interval_s=1.0, ttl_s=10.0):
    """Adds a table to a host of the scene; returns it."""
    table = peersums.SumTable(ttl_s=ttl_s, width=2)
    host.gossip.sums.add(
        "t",
        table=table,
        read_own=lambda now: own,
        max_entries=max_entries,
        interval_s=interval_s,
    )
    return table


def make(count, zones, **limits):
    """Returns hosts that each have a vector for one key of their own."""
    reactor, timers, net, hosts = gossipscene.make(count=count, zones=zones)
    tables = {}
    for host in hosts:
        own = {"all": (1.0, 0.25), f"k{host.port}": (2.0, -1.0)}
        tables[host] = (add_table(host, own, **limits), own)
    return reactor, timers, net, tables


def totals(tables, key, now):
    return [table.total(key, own.get(key), now) for table, own in tables]


@pytest.mark.parametrize(("count", "zones"), [(1, 1), (9, 3), (79, 4)])
def test_all_hosts_have_the_sum_of_all(count, zones):
    reactor, timers, _, tables = make(count, zones)
    reactor.pump([0.1] * 80)
    found = totals(tables.values(), "all", timers.now)
    assert found == [(count, count / 4)] * count
    found = totals(tables.values(), "k1", timers.now)
    assert found == [(2.0, -1.0)] * count


def test_a_killed_host_expires_and_its_members_count_once_again():
    """Guards against sums of lost hosts, and those of an aggregator's group.

    Its members choose another aggregator while the others still have the sum
    of the lost one.
    """
    reactor, timers, net, tables = make(79, 4)
    reactor.pump([0.1] * 80)
    killed = max(tables, key=lambda host: net.sent_bytes[host.port])
    net.lost.add(killed.port)
    del tables[killed]
    reactor.pump([0.1] * 120)
    assert totals(tables.values(), "all", timers.now) == [(78, 19.5)] * 78


def test_sums_survive_lost_messages():
    """A later round advertises the same keys again."""
    reactor, timers, net, tables = make(9, 3)
    reactor.pump([0.1] * 20)
    net.cut = True
    reactor.pump([0.1] * 10)
    net.cut = False
    reactor.pump([0.1] * 20)
    assert totals(tables.values(), "all", timers.now) == [(9, 2.25)] * 9


@pytest.mark.parametrize(
    ("period_s", "sizes"),
    [
        (0.125, [16, 16, 13, 0, 0, 0, 0, 0, 16, 16, 13, 0]),
        # As many per second if messages are further apart.
        (1.5, [16, 29, 45, 45]),
    ],
)
def test_messages_carry_some_keys_in_turn(period_s, sizes):
    """Guards against messages that grow with the number of engines."""
    reactor, timers, _ = fakes.make_timers()
    exchange = sumexchange.SumExchange(timers=timers)
    own = {f"k{n}": (n, 0.0) for n in range(45)}
    exchange.add(
        "t",
        table=peersums.SumTable(ttl_s=10.0, width=2),
        read_own=lambda now: own,
        max_entries=16,
        interval_s=1.0,
    )
    rounds = []
    for _ in sizes:
        exchange.begin_round()
        rounds.append(exchange.make_group().get("t", []))
        reactor.advance(period_s)
    assert [len(entries) for entries in rounds] == sizes
    sent = [entry for entries in rounds[:3] for entry in entries]
    assert dict(sent) == {f"k{n}": [100 * n, 0] for n in range(45)}


def test_without_tables_nothing_is_sent_or_read():
    reactor, _, net, hosts = gossipscene.make(count=3)
    table = add_table(hosts[0], {"k": (1.0, 1.0)})
    reactor.pump([0.1] * 20)
    assert hosts[1].gossip.sums.make_group() == {}
    assert hosts[1].gossip.sums.dump() == {}
    assert not table.keys(0.0)


class EarlierLoad(msgspec.Struct, array_like=True, tag="load"):
    """The load message of the version before."""

    peer: str
    number: int
    engines: gatewaymessages.EngineLoads
    kept: gatewaymessages.CacheChanges = {}
    may_order: bool = True
    limits: gatewaymessages.EndpointLimitNews = []
    leaving: list[gatewaymessages.DrainNews] = []
    version: int = 0
    is_cut: bool = False
    parts: gatewaymessages.PartNews | None = None


def test_messages_are_read_by_the_version_before_and_the_reverse():
    """Guards against hosts that lose each other while they are upgraded."""
    load = gatewaymessages.Load(
        peer="h/1", number=7, engines={}, version=3, sums={"t": [("k", [1, 2])]}
    )
    data = gatewaymessages.serialize(load)
    assert gatewaymessages.parse(data) == load
    earlier = msgspec.msgpack.decode(data, type=EarlierLoad)
    assert (earlier.number, earlier.version) == (7, 3)
    found = gatewaymessages.parse(msgspec.msgpack.encode(earlier))
    assert (found.number, found.sums) == (7, {})


def test_an_unknown_table_is_ignored():
    reactor, timers, _ = fakes.make_timers()
    exchange = sumexchange.SumExchange(timers=timers)
    table = peersums.SumTable(ttl_s=10.0, width=2)
    exchange.add(
        "t",
        table=table,
        read_own=lambda now: {},
        max_entries=1,
        interval_s=math.inf,
    )
    sums = {"t": [("k", [150, -25])], "u": [("k", [1])]}
    message = gatewaymessages.GroupLoad(
        peer="h/1", number=1, engines={}, sums=sums
    )
    exchange.merge(message)
    assert table.total("k", None, timers.now) == (1.5, -0.25)


def test_a_key_that_is_gone_is_sent_once_with_zeros():
    """Guards against vectors that count twice under two keys.

    A workspace that a host names no longer is part of its sum of the others.
    """
    reactor, timers, _ = fakes.make_timers()
    exchange = sumexchange.SumExchange(timers=timers)
    vectors = {"named": (2.0, 1.0), "others": (3.0, 1.0)}
    exchange.add(
        "t",
        table=peersums.SumTable(ttl_s=10.0, width=2),
        read_own=lambda now: dict(vectors),
        max_entries=16,
        interval_s=1.0,
    )
    table = peersums.SumTable(ttl_s=10.0, width=2)
    sizes = []
    for _ in range(3):
        exchange.begin_round()
        entries = exchange.make_own().get("t", [])
        sizes.append(len(entries))
        table.update_member(
            "m/1",
            {key: tuple(v / 100 for v in values) for key, values in entries},
            timers.now,
        )
        vectors.pop("named", None)
        vectors["others"] = (5.0, 2.0)
        reactor.advance(1.0)
    assert sizes == [2, 2, 1]
    assert table.total("named", None, timers.now) == (0.0, 0.0)
    assert table.total("others", None, timers.now) == (5.0, 2.0)


def test_incorrect_sums_can_be_sent_on():
    """Guards against an exchange that ends since a sum has over 64 bits."""
    reactor, timers, _ = fakes.make_timers()
    exchange = sumexchange.SumExchange(timers=timers)
    exchange.add(
        "t",
        table=peersums.SumTable(ttl_s=10.0, width=2),
        read_own=lambda now: {},
        max_entries=16,
        interval_s=1.0,
    )
    for number in range(3):
        message = gatewaymessages.Load(
            peer=f"m{number}/1",
            number=1,
            engines={},
            sums={"t": [("k", [2**63, -(2**63)])]},
        )
        exchange.merge(
            gatewaymessages.parse(gatewaymessages.serialize(message))
        )
    exchange.begin_round()
    message = gatewaymessages.GroupLoad(
        peer="g/1", number=1, engines={}, sums=exchange.make_group()
    )
    sent = gatewaymessages.parse(gatewaymessages.serialize(message))
    ((key, (high, low)),) = sent.sums["t"]
    assert key == "k" and high > 2**50 and low < -(2**50)


def test_condensed_sums_are_those_of_one_time():
    """Guards against keys that count twice or not at all within a turn.

    The sum of the others includes other keys when the largest ones change.
    """
    reactor, timers, _ = fakes.make_timers()
    exchange = sumexchange.SumExchange(timers=timers)
    table = peersums.SumTable(ttl_s=10.0, width=1)

    def condense(sums, totals, is_fleet):
        largest = max(totals, key=lambda key: totals[key])
        others = sum(sums[key][0] for key in sums if key != largest)
        return {largest: sums[largest], "others": (others,)}

    exchange.add(
        "t",
        table=table,
        read_own=lambda now: {},
        max_entries=1,
        interval_s=1.0,
        condense=condense,
    )
    table.update_member("m/1", {"a": (2.0,), "b": (1.0,)}, timers.now)
    sent = {}
    for _ in range(2):
        exchange.begin_round()
        sent |= dict(exchange.make_fleet()["t"])
        table.update_member("m/1", {"b": (3.0,)}, timers.now)
        reactor.advance(0.1)
    assert sent == {"a": [200], "others": [100]}
