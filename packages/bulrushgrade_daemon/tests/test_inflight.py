"""Tests of a request in flight."""

import attrs
import pytest

from bulrushgrade import routing
from bulrushgrade import workspaces
from bulrushgrade_daemon import inflight

ROUTE = routing.Route(
    name="r",
    hostname="h",
    path_prefix="/",
    kind=routing.RequestKind.STREAM,
    resumable=False,
    timeout_s=8.0,
    target_s=0.5,
    gap_s=0.2,
    priority=0,
    max_attempts=1,
    by_prompt=True,
    targets=(routing.Target(service="llm", weight=1.0),),
)


@attrs.define
class Caller:
    """A caller whose request arrived at a given time."""

    arrived_at: float = 10.0


def make(*event_times, route=ROUTE):
    request = inflight.InFlight(
        caller=Caller(), info=None, route=route, service="llm", deadline=18.0
    )
    for at in event_times:
        request.pace.observe_events(at)
    return request


@pytest.mark.parametrize(
    ("times", "late"),
    [
        ((), False),
        ((10.4, 10.5, 10.65), False),
        ((10.6, 10.7), True),
        ((10.2, 10.3, 10.6, 10.7), True),
    ],
)
def test_stream_is_late_by_its_first_event_or_by_a_pause(times, late):
    assert make(*times).is_late is late


def test_route_without_a_gap_has_no_late_pause():
    route = attrs.evolve(ROUTE, gap_s=None)
    assert not make(10.2, 17.0, route=route).is_late


@attrs.define(kw_only=True)
class Sent:
    """A request as a caller sent it."""

    arrived_at: float = 0.0
    address: str = "10.0.0.1"
    method: bytes = b"POST"
    uri: bytes = b"/tag/a"
    body: bytes = b"draft"


def make_fingerprint(caller, workspace=None):
    request = inflight.InFlight(
        caller=caller,
        info=None,
        route=ROUTE,
        service="llm",
        deadline=18.0,
        workspace=workspace,
    )
    return request.fingerprint


def test_callers_retry_has_the_same_fingerprint():
    """A repetition from another address was not recognized."""
    assert make_fingerprint(Sent()) == make_fingerprint(
        Sent(arrived_at=5.0, address="10.0.0.2")
    )
    assert make_fingerprint(Sent()) != make_fingerprint(Sent(body=b""))
    assert make_fingerprint(Sent()) != make_fingerprint(Sent(uri=b"/tag/b"))


def test_same_request_of_another_workspace_is_another():
    one = workspaces.Workspace(name="dealer")
    other = workspaces.Workspace(name="lessor")
    known = make_fingerprint(Sent(), one)
    assert known == make_fingerprint(Sent(address="10.0.0.2"), one)
    assert known != make_fingerprint(Sent(), other)
    assert known != make_fingerprint(Sent())
