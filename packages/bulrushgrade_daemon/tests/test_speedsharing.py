"""Tests of the sharing of engines' speeds among hosts."""

import math

import fakes
import gossipscene
import msgspec

from bulrushgrade import directory
from bulrushgrade import speedsamples
from bulrushgrade_daemon import enginework
from bulrushgrade_daemon import gatewaysettings
from bulrushgrade_daemon import speedsharing

FEATURES = gatewaysettings.Features(
    enabled=frozenset({gatewaysettings.ENDPOINT_SPEEDS})
)
SPEEDS = {f"e{n}": (0.6, 1.0, 1.6)[n % 3] for n in range(6)}


def make_directory():
    known = directory.Directory(leaving_use_s=1.0)
    for id in SPEEDS:
        engine = directory.Registration(
            id=id,
            born_ms=1,
            service="llm",
            host="127.0.0.1",
            port=1,
            zone="z1",
            slots=12,
            state=directory.EndpointState.READY,
            cold_s=0.0,
            stage=directory.Stage.DECODE,
            sequence=1,
        )
        known.put(engine, now=0.0)
    return known


def share(timers, host, features=FEATURES):
    """Returns the sharing of a host, and the speeds that it knows."""
    work = enginework.EngineWork(
        timers=timers,
        table=lambda: None,
        endpoints=make_directory(),
        peers=host.loads,
        index=None,
        speeds=speedsharing.make_speeds(features),
    )
    found = speedsharing.SpeedSharing(
        timers=timers,
        work=work,
        sums=host.gossip.sums,
        log=host.lines.make(),
    )
    return found, work.speeds


def test_all_hosts_know_an_engine_that_each_rarely_meets():
    reactor, timers, _, hosts = gossipscene.make(count=79, zones=4)
    shares = [share(timers, host) for host in hosts]
    for second in range(6):
        for n, (_, speeds) in enumerate(shares):
            for id, ratio in SPEEDS.items():
                if (n + second) % 6 == int(id[1:]):
                    speeds.own.observe(
                        (id, 1),
                        speedsamples.Kind.PAUSE,
                        expected=0.1,
                        observed=0.1 * ratio,
                    )
        reactor.pump([0.1] * 10)
        for sharing, _ in shares:
            sharing.update()
    usual = math.prod(SPEEDS.values()) ** (1 / len(SPEEDS))
    for sharing, speeds in shares:
        assert sharing.known_engines == len(SPEEDS)
        assert sharing.uneven_services == 1
        for id, ratio in SPEEDS.items():
            found = speeds.fleet.factor((id, 1), speedsamples.Kind.PAUSE)
            assert abs(found - ratio / usual) < 0.05
    sharing, _ = shares[0]
    assert sharing.counts == {"uneven": 1, "changed": 4}
    assert sharing.dump()["services"]["llm"]["is_uneven"]
    assert b'"engine_speeds_uneven"' in hosts[0].lines.text
    assert hosts[0].lines.text.count(b'"engine_speed_changed"') == 4


def test_a_host_without_the_feature_shares_nothing():
    reactor, timers, _ = fakes.make_timers()
    _, _, _, [host] = gossipscene.make(count=1)
    none = gatewaysettings.Features()
    sharing, speeds = share(timers, host, none)
    sharing.update()
    assert speeds is None
    assert host.gossip.sums.dump() == {}
    assert (sharing.counts, sharing.dump()) == ({}, {})
    assert (sharing.known_engines, sharing.uneven_services) == (0, 0)


def test_a_message_is_small_however_many_engines_there_are():
    """Guards against messages that grow with the number of engines."""
    _, timers, _ = fakes.make_timers()
    _, _, _, [host] = gossipscene.make(count=1)
    _, speeds = share(timers, host)
    for n in range(1_800):
        for kind in speedsamples.Kind:
            speeds.own.observe((f"i-{n}", 1), kind, expected=1.0, observed=1.6)
    host.gossip.sums.begin_round()
    sums = host.gossip.sums.make_group()
    assert len(sums[speedsharing.TABLE]) == speedsharing.MAX_ENGINES
    assert len(msgspec.msgpack.encode(sums)) < 450
