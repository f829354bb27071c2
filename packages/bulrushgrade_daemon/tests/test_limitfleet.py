"""Tests of fleets whose endpoints limit the requests of all hosts."""

import limitfleet
import pytest

from bulrushgrade import endpointlimits

LIMIT_PER_S = 3.5
OFFERED_PER_S = 40.0
SETTLE_S = 5.0

NOTICE_S = 3.0
"""Time from the first statement of a limit until all hosts must keep it."""

WINDOW_S = 4.0
MIN_USE = 0.8
"""Fraction of its limit that an endpoint is to get while callers press."""

MAX_REFUSAL_S = limitfleet.TARGET_S / 4
"""Time in which a request that can't be served must be refused: what it may
wait for room at most."""

SLACK_S = 0.02


def max_in_window(limit):
    """Returns the requests that an endpoint may get in any window."""
    return 1.5 * limit * WINDOW_S + 5


def make(hosts=9, zones=4, limits=(LIMIT_PER_S,), **options):
    """Returns a fleet whose hosts know each other, with pressing callers."""
    fleet = limitfleet.LimitFleet(
        hosts=hosts,
        zones=zones,
        limits=limits,
        offered_per_s=OFFERED_PER_S,
        **options,
    )
    fleet.run(SETTLE_S)
    fleet.press()
    fleet.run(NOTICE_S)
    return fleet


def check_limit(fleet, since, until=None, limit=LIMIT_PER_S, id="e0"):
    endpoint = fleet.endpoints[id]
    most = endpoint.most_in_window(since, until or fleet.now, WINDOW_S)
    assert most <= max_in_window(limit)


def use_of(fleet, since, limit=LIMIT_PER_S, id="e0"):
    """Returns the fraction of its limit that an endpoint got."""
    count = fleet.endpoints[id].count(since, fleet.now)
    return count / (limit * (fleet.now - since))


@pytest.mark.parametrize(("hosts", "zones"), [(6, 4), (9, 4), (63, 3)])
@pytest.mark.parametrize("limit", [0.5, 3.5, 20.0])
def test_limit_is_kept_and_used_at_every_size(hosts, zones, limit):
    """Guards against shares that are useless, or add up to a multiple."""
    fleet = make(hosts=hosts, zones=zones, limits=[limit, None])
    since = fleet.now
    fleet.run(12.0)
    check_limit(fleet, since, limit=limit)
    assert use_of(fleet, since, limit) >= MIN_USE
    ended = [r for r in fleet.requests if r.status is not None]
    assert {r.status for r in ended} == {200}


def test_callers_above_all_limits_are_refused_at_once():
    """Guards against callers who wait for room that there won't be."""
    fleet = make(limits=[LIMIT_PER_S] * 2, urgent_fraction=0.1)
    since = fleet.now
    fleet.run(15.0)
    for id in fleet.endpoints:
        check_limit(fleet, since, id=id)
        assert use_of(fleet, since, id=id) >= MIN_USE
    ended = [r for r in fleet.requests if r.status and r.arrived_at > since]
    refused = [r for r in ended if r.status == "refused"]
    assert refused
    for request in refused:
        assert request.ended_at - request.arrived_at <= MAX_REFUSAL_S + SLACK_S
        assert request.retry_s > 0

    def served(priority):
        chosen = [r.status == 200 for r in ended if r.priority == priority]
        return sum(chosen) / len(chosen)

    # 4 urgent requests a second fit into the limits of 7.
    assert served(0) > 3 * served(1)


def test_urgent_callers_find_room_where_others_press():
    """Guards against permits that are gone whenever an urgent request comes."""
    fleet = make(limits=[LIMIT_PER_S] * 9, urgent_fraction=0.2)
    since = fleet.now
    fleet.run(12.0)
    # 8 urgent requests a second where 31 are accepted.
    urgent = [
        r.status == 200
        for r in fleet.requests
        if r.priority == 0 and r.status and r.arrived_at > since
    ]
    assert sum(urgent) >= 0.95 * len(urgent)
    for id in fleet.endpoints:
        check_limit(fleet, since, id=id)
        assert use_of(fleet, since, id=id) >= MIN_USE


def test_limit_is_kept_while_hosts_restart_in_turn():
    """Guards against owners that restart, and successors that grant twice."""
    fleet = make()
    since = fleet.now
    for port in (1, 2, 3, 4, 5, 6, 7, 8, 9):
        fleet.start(port)
        fleet.run(2.0)
    check_limit(fleet, since)
    fleet.run(5.0)
    since = fleet.now
    fleet.run(10.0)
    assert use_of(fleet, since) >= MIN_USE


def test_limit_is_kept_while_most_hosts_end_and_come_back():
    """Guards against survivors and returning hosts that both grant."""
    fleet = make()
    since = fleet.now
    for port in range(1, 7):
        fleet.hosts[port].end()
    fleet.run(3.0)
    for port in range(1, 7):
        fleet.start(port)
    fleet.run(10.0)
    check_limit(fleet, since)
    since = fleet.now
    fleet.run(10.0)
    check_limit(fleet, since)
    assert use_of(fleet, since) >= MIN_USE


@pytest.mark.parametrize("minority", [1, 4])
def test_limit_is_kept_by_both_sides_of_a_partition(minority):
    """Guards against sides that each grant a whole limit."""
    fleet = make()
    since = fleet.now
    fleet.cut({port: 1 for port in range(1, minority + 1)})
    fleet.run(20.0)
    check_limit(fleet, since)
    fleet.cut({})
    fleet.run(8.0)
    check_limit(fleet, since)
    since = fleet.now
    fleet.run(8.0)
    assert use_of(fleet, since) >= MIN_USE


def test_limit_is_kept_and_used_while_datagrams_are_lost():
    """Guards against news and replies that are lost."""
    fleet = make(loss=0.05)
    since = fleet.now
    fleet.run(15.0)
    check_limit(fleet, since)
    assert use_of(fleet, since) >= MIN_USE


def test_limit_that_moves_is_kept_at_its_new_value():
    """Guards against hosts that keep the limit of before."""
    fleet = make(limits=[20.0, None])
    endpoint = fleet.endpoints["e0"]
    endpoint.limit = 2.0
    fleet.run(NOTICE_S)
    since = fleet.now
    fleet.run(10.0)
    check_limit(fleet, since, limit=2.0)
    endpoint.limit = 15.0
    fleet.run(NOTICE_S)
    since = fleet.now
    fleet.run(8.0)
    assert use_of(fleet, since, 15.0) >= MIN_USE


def test_endpoint_is_used_fully_after_its_limit_has_ended():
    """Guards against limits that outlive their endpoint's pressure."""
    fleet = make(limits=[2.0, None], hosts=63, zones=3)
    endpoint = fleet.endpoints["e0"]
    endpoint.limit = None
    fleet.run(NOTICE_S)
    since = fleet.now
    fleet.run(5.0)
    assert endpoint.count(since, fleet.now) >= 0.3 * OFFERED_PER_S * 5.0
    assert not any(len(h.limits.limited()) for h in fleet.hosts.values())


def test_restarted_endpoint_is_not_held_to_its_former_limit():
    """Guards against limits that outlive the endpoint that stated them."""
    fleet = make(limits=[2.0, None])
    endpoint = fleet.endpoints["e0"]
    fleet.restart_endpoint("e0", away_s=2.0)
    endpoint.limit = None
    fleet.run(NOTICE_S + 2.0)
    since = fleet.now
    fleet.run(5.0)
    assert endpoint.count(since, fleet.now) >= 0.3 * OFFERED_PER_S * 5.0


def test_limit_of_a_restarted_endpoint_is_kept():
    """Guards against an endpoint that is back under its id and pressed."""
    fleet = make(limits=[2.0, None])
    fleet.restart_endpoint("e0", away_s=2.0)
    fleet.run(2.0 + 1.0 + NOTICE_S)
    since = fleet.now
    fleet.run(10.0)
    check_limit(fleet, since, limit=2.0)
    assert use_of(fleet, since, 2.0) >= MIN_USE


def test_failing_endpoint_at_its_limit_gets_no_more_by_retries():
    """Guards against retries on top of the requests that are accepted."""
    fleet = make(limits=[LIMIT_PER_S, LIMIT_PER_S])
    for endpoint in fleet.endpoints.values():
        endpoint.failing = 0.6
    since = fleet.now
    fleet.run(12.0)
    for id in fleet.endpoints:
        check_limit(fleet, since, id=id)


def test_endpoint_that_accepts_nothing_is_tried_now_and_then():
    """Guards against a limit of zero whose end no host would ever see."""
    fleet = make(limits=[0.0, None])
    since = fleet.now
    fleet.run(20.0)
    endpoint = fleet.endpoints["e0"]
    assert 1 <= endpoint.count(since, fleet.now) <= 8
    endpoint.limit = None
    fleet.run(8.0)
    since = fleet.now
    fleet.run(3.0)
    assert endpoint.count(since, fleet.now) >= OFFERED_PER_S * 0.3 * 3.0


def test_new_host_knows_the_limits_before_it_is_told_by_an_endpoint():
    """Guards against hosts that start and know nothing of a limit."""
    fleet = make()
    fleet.start(1)
    fleet.run(1.0)
    # An endpoint's id and its start time.
    assert fleet.hosts[1].limits.limited() == [("e0", 0)]


def test_idle_limit_expires_everywhere():
    fleet = make()
    fleet.cut({})
    for host in fleet.hosts.values():
        host.forwarder.handle = lambda caller: None
    fleet.run(endpointlimits.LIMIT_TTL_S + 5.0)
    assert not any(len(h.limits.limited()) for h in fleet.hosts.values())


@pytest.mark.parametrize("limit", [3.5, 20.0])
@pytest.mark.parametrize("ports", [[2], [1, 2, 3, 4]], ids=["one", "four"])
def test_limit_is_kept_while_hosts_hear_others_and_are_not_heard(ports, limit):
    """Guards against an owner that grants on after others have replaced it."""
    fleet = make(limits=[limit])
    since = fleet.now
    fleet.mute(ports)
    fleet.run(25.0)
    fleet.mute([])
    fleet.run(8.0)
    check_limit(fleet, since, limit=limit)
    since = fleet.now
    fleet.run(8.0)
    assert use_of(fleet, since, limit) >= MIN_USE
