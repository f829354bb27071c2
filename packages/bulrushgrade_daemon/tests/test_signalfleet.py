"""Tests of fleets whose endpoints leave or ask for a time without requests."""

import limitfleet
import pytest

SLOTS = 6
WORK_S = 0.2
ENDPOINTS = 9
CAPACITY_PER_S = ENDPOINTS * SLOTS / WORK_S
BACKOFF_S = 3.0
NOTICE_S = 0.5
"""Time after a refusal until a host must keep the backoff that it asks for."""

MAX_IN_BACKOFF = 2
"""Requests that an endpoint may get from a host in the rest of a backoff."""

DRAIN_S = 2.0
"""Time after an answer that says so until a leaving endpoint gets nothing."""

MAX_REFUSAL_S = limitfleet.TARGET_S / 4
SLACK_S = 0.02


def make(hosts=9, zones=4, load=0.55, **options):
    """Returns a fleet with pressing callers.

    Args:
        hosts: The number of hosts.
        zones: The number of availability zones.
        load: The offered load as a part of what endpoints can do.
        **options: See `LimitFleet`.
    """
    fleet = limitfleet.LimitFleet(
        hosts=hosts,
        zones=zones,
        limits=[None] * ENDPOINTS,
        offered_per_s=load * CAPACITY_PER_S,
        urgent_fraction=0.2,
        **options,
    )
    for endpoint in fleet.endpoints.values():
        endpoint.work_s, endpoint.slots, endpoint.queue = WORK_S, SLOTS, SLOTS
        endpoint.backoff_s = BACKOFF_S
    fleet.run(5.0)
    fleet.press()
    fleet.run(2.0)
    return fleet


def refuse(fleet, count, for_s):
    """Has endpoints refuse all requests for a time."""
    for endpoint in list(fleet.endpoints.values())[:count]:
        endpoint.refuses_until = fleet.now + for_s


def check_backoffs(fleet):
    for endpoint in fleet.endpoints.values():
        assert endpoint.most_in_backoff(NOTICE_S) <= MAX_IN_BACKOFF


def served(fleet, since, until, priority=None):
    """Returns the part of callers' first tries that were served."""
    chosen = [
        request.status == 200
        for request in fleet.requests
        if since <= request.arrived_at < until
        and not request.is_returning
        and priority in (None, request.priority)
    ]
    return sum(chosen) / len(chosen)


@pytest.mark.parametrize(("hosts", "zones"), [(6, 4), (9, 4), (63, 3)])
def test_work_goes_to_endpoints_that_want_it(hosts, zones):
    """Guards against endpoints that get more work for refusing faster."""
    fleet = make(hosts=hosts, zones=zones)
    since = fleet.now
    refuse(fleet, 3, 6.0)
    fleet.run(15.0)
    check_backoffs(fleet)
    # Each host finds out for itself, at each endpoint and after each backoff.
    assert served(fleet, since, since + 6.0) >= 0.95
    assert served(fleet, since + 6.0, fleet.now - 1.0) >= 0.99
    # The others take it without being overloaded.
    others = list(fleet.endpoints.values())[3:]
    assert sum(len(endpoint.refusals) for endpoint in others) <= 3 * hosts


@pytest.mark.parametrize(("hosts", "zones"), [(9, 4), (63, 3)])
def test_hosts_return_one_after_the_other(hosts, zones):
    """Guards against hosts that all return at the same moment."""
    fleet = make(hosts=hosts, zones=zones)
    refuse(fleet, ENDPOINTS, 4.0)
    fleet.run(4.0)
    since = fleet.now
    fleet.run(10.0)
    check_backoffs(fleet)
    # An endpoint can work on 12 requests at a time and 30 a second.
    for endpoint in fleet.endpoints.values():
        assert endpoint.most_in_window(since, fleet.now, 0.2) <= 2 * SLOTS
    refused = sum(
        at > since for e in fleet.endpoints.values() for at, _ in e.refusals
    )
    assert refused <= ENDPOINTS * hosts / 4
    assert served(fleet, since + 6.0, fleet.now - 1.0) >= 0.9


def test_callers_are_refused_at_once_and_told_when_to_return():
    """Guards against callers who wait, or return while nothing has changed."""
    fleet = make()
    refuse(fleet, ENDPOINTS, 6.0)
    since = fleet.now
    fleet.run(6.0)
    refused = [
        request
        for request in fleet.requests
        if request.status == "refused" and request.arrived_at > since + NOTICE_S
    ]
    assert refused
    for request in refused:
        took_s = request.ended_at - request.arrived_at
        assert took_s <= MAX_REFUSAL_S + SLACK_S
        assert request.retry_s > 0
    waits = sorted(request.retry_s for request in refused)
    # On average half of a backoff is left, and the ramp follows.
    assert waits[len(waits) // 2] >= BACKOFF_S / 4


def test_urgent_callers_are_served_where_there_is_not_room_for_all():
    """Guards against endpoints that are pressed beyond what they can do."""
    fleet = make(load=1.3)
    since = fleet.now
    fleet.run(20.0)
    check_backoffs(fleet)
    until = fleet.now - 1.0
    assert served(fleet, since, until, 0) >= served(fleet, since, until, 1)
    done = sum(r.status == 200 for r in fleet.requests if r.arrived_at > since)
    # Each refusal costs a host the endpoint for 3 s, as it asked for.
    assert done >= 0.75 * CAPACITY_PER_S * (until - since)


@pytest.mark.parametrize(("hosts", "zones"), [(9, 4), (63, 3)])
def test_all_hosts_hear_of_a_drain_from_one_another(hosts, zones):
    """Guards against hosts that learn it from the endpoint or the store alone.

    The records keep saying ready.
    """
    fleet = make(hosts=hosts, zones=zones)
    since = fleet.now
    leaving = fleet.endpoints["e0"]
    leaving.is_leaving = True
    fleet.run(2.0)
    arrived = len(leaving.arrivals)
    for host in fleet.hosts.values():
        host.read_endpoints()
    fleet.run(8.0)
    assert leaving.last_after_leaving_s() <= DRAIN_S
    assert len(leaving.arrivals) == arrived
    assert served(fleet, since, fleet.now - 1.0) >= 0.99


def test_drain_is_known_after_a_restart_of_the_host():
    """Guards against a host that has to be told by the endpoint again."""
    fleet = make()
    leaving = fleet.endpoints["e0"]
    leaving.is_leaving = True
    fleet.run(2.0)
    fleet.start(1)
    # All drains that the records don't show are repeated within this time.
    fleet.run(14.0)
    arrived = len(leaving.arrivals)
    fleet.run(5.0)
    assert len(leaving.arrivals) == arrived


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_signals_are_kept_while_datagrams_are_lost_and_hosts_restart(seed):
    """Guards against faults among hosts that cost more than use."""
    fleet = make(loss=0.05, seed=seed)
    leaving = fleet.endpoints["e8"]
    leaving.is_leaving = True
    refuse(fleet, 4, 6.0)
    for port in (1, 4, 7):
        fleet.run(1.5)
        # A restart excuses what the host was told before.
        for endpoint in fleet.endpoints.values():
            endpoint.told_leaving.pop(f"h{port}", None)
            endpoint.refusals = [
                (at, host)
                for at, host in endpoint.refusals
                if host != f"h{port}"
            ]
        fleet.start(port)
    fleet.run(10.0)
    check_backoffs(fleet)
    assert leaving.last_after_leaving_s() <= DRAIN_S
