"""Tests of fleets of engines that state limits or ask for pauses."""

import enginescene
import pytest

BACKOFF_S = 3.0
NOTICE_S = 0.5
MAX_IN_BACKOFF = 2
MAX_WASTED = 0.05
"""Part of the prefills that no decoder takes: those that are under way when
decoders refuse, and those that the first refusals find out with."""


def make(hosts=9, zones=4, **options):
    """Returns a fleet whose engines have room, with pressing callers."""
    fleet = enginescene.EngineFleet(
        hosts=hosts,
        zones=zones,
        prefillers=4,
        decoders=5,
        short_per_s=82.0,
        long_per_s=13.7,
        **options,
    )
    fleet.run(6.0)
    fleet.press()
    fleet.run(4.0)
    return fleet


def refuse(fleet, *ids, for_s):
    for id in ids:
        engine = fleet.endpoints[id]
        engine.refuses_until = fleet.now + for_s
        engine.backoff_s = BACKOFF_S


def in_time(fleet, since, priority):
    chosen = [
        request.is_in_time
        for request in fleet.requests
        if request.priority == priority
        and since <= request.arrived_at < fleet.now - 3.0
        and not request.is_returning
    ]
    return sum(chosen) / len(chosen)


def count_wasted(fleet):
    """Returns the part of the prefills that no decoder took."""
    engines = fleet.endpoints.values()
    prefills = sum(len(engine.prefills) for engine in engines)
    return 1 - sum(engine.taken for engine in engines) / prefills


@pytest.mark.parametrize("seed", [1, 2])
def test_engines_that_refuse_cost_neither_callers_nor_prefills(seed):
    """Guards against engines that refuse and look idle for it.

    Two of five decoders and a prefiller refuse everything for 9 s.
    """
    fleet = make(seed=seed)
    since = fleet.now
    refuse(fleet, "e0", "e4", "e5", for_s=9.0)
    fleet.run(16.0)
    for engine in fleet.endpoints.values():
        assert engine.most_in_backoff(NOTICE_S) <= MAX_IN_BACKOFF
    assert count_wasted(fleet) <= MAX_WASTED
    assert in_time(fleet, since, enginescene.SHORT) >= 0.85
    assert in_time(fleet, since, enginescene.LONG) >= 0.75
    # A pause of some seconds is no reason to change a role.
    assert not any(engine.orders for engine in fleet.endpoints.values())


def test_nothing_is_prefilled_while_all_decoders_refuse():
    """Guards against prefills that no decoder takes."""
    fleet = make()
    refuse(fleet, "e4", "e5", "e6", "e7", "e8", for_s=9.0)
    fleet.run(1.0)
    before = sum(len(e.prefills) for e in fleet.endpoints.values())
    fleet.run(8.0)
    decodes = sum(
        at > fleet.now - 8.0
        for engine in fleet.endpoints.values()
        for at, _ in engine.refusals
    )
    prefills = sum(len(e.prefills) for e in fleet.endpoints.values()) - before
    # Each host finds out by a request whether a backoff has ended; some of
    # these are long prompts.
    assert prefills <= decodes
    refused = [
        request
        for request in fleet.requests
        if request.status == "refused" and request.arrived_at > fleet.now - 8.0
    ]
    for request in refused:
        assert request.retry_s > 0


def test_limits_of_decoders_leave_the_other_engines_in_their_roles():
    """Guards against a role that gives up engines which do all of its work."""
    fleet = make()
    since = fleet.now
    fleet.endpoints["e4"].limit = 4.6
    fleet.endpoints["e5"].limit = 3.9
    fleet.run(16.0)
    assert in_time(fleet, since, enginescene.SHORT) >= 0.9
    assert in_time(fleet, since, enginescene.LONG) >= 0.9
    assert not any(engine.orders for engine in fleet.endpoints.values())
