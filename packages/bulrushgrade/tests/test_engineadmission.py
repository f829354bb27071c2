"""Tests of the urgency with which engines handle prompts."""

import heapq

from test_directory import make as make_registration

from bulrushgrade import engineadmission
from bulrushgrade import placementplan
from bulrushgrade import prefillqueue
from bulrushgrade import routing

PREFILL_S = 0.1
TARGET_S = 0.5


def make_route(priority):
    return routing.Route(
        name="r",
        hostname="h",
        path_prefix="/",
        kind=routing.RequestKind.STREAM,
        resumable=False,
        timeout_s=8.0,
        target_s=TARGET_S,
        gap_s=0.2,
        priority=priority,
        max_attempts=1,
        by_prompt=True,
        targets=(),
    )


def make_plan(wait_s):
    return placementplan.Plan(
        decode=make_registration("d1"),
        prefill=None,
        fetch_from=None,
        relative_size=1.0,
        wait_s=wait_s,
        read_tokens=10_000,
        prefill_s=PREFILL_S,
        busy_s=PREFILL_S,
        transfer_s=0.0,
        latency_s=0.0,
        handover_s=0.0,
        first_event_s=wait_s + PREFILL_S,
    )


def choose(wait_s, *, priority=2, waited_s=0.0):
    return engineadmission.choose_urgency(
        make_plan(wait_s),
        route=make_route(priority),
        lowest_urgency=2,
        waited_s=waited_s,
    )


def test_prompts_that_will_be_late_get_lowest_urgency():
    assert choose(0.3) == 2
    assert choose(0.5) == routing.LOWEST_URGENCY
    assert choose(0.3, waited_s=0.2) == routing.LOWEST_URGENCY


def test_more_urgent_routes_keep_their_urgency():
    """Short prompts are late in a burst of long ones.

    Behind all long prompts they were lost, because their callers gave up
    before.
    """
    assert choose(5.0, priority=1) == 1


def simulate_burst(urgency_of):
    """Simulates a burst at one engine; returns how many begin in time.

    For 3 s prompts arrive twice as fast as the engine can prefill them, then
    for 6 s half as fast. It prefills them one after the other, the more urgent
    first.

    Args:
        urgency_of: Returns the urgency for an expected wait.
    """
    arrivals = [0.05 * n for n in range(60)]
    arrivals += [3.0 + 0.2 * n for n in range(30)]
    queue, waiting, free_at, in_time = prefillqueue.PrefillQueue(), [], 0.0, 0

    def prefill_until(now):
        nonlocal free_at, in_time
        while waiting and max(free_at, waiting[0][1]) < now:
            _, arrived_at = heapq.heappop(waiting)
            free_at = max(free_at, arrived_at) + PREFILL_S
            in_time += free_at - arrived_at <= TARGET_S
            queue.remove(arrived_at, free_at)

    for now in arrivals:
        prefill_until(now)
        wait_s = queue.wait_s(now, urgency=2)
        entry = prefillqueue.Entry(
            seconds=PREFILL_S,
            latency_s=0.0,
            urgency=urgency_of(wait_s),
            added_at=now,
        )
        queue.add(now, entry)
        heapq.heappush(waiting, (entry.urgency, now))
    prefill_until(1e9)
    return in_time


def test_burst_is_served_in_time_up_to_capacity():
    """Long prompts arrive twice as fast as they can be prefilled, for 3 s.

    In order of arrival the queue exceeds the target in the first second, and
    all prompts that arrive until it has emptied are late: 77 of 90. If the late
    ones go last, the engine serves the prompts that can be in time: half of the
    burst and all prompts after it, with a tolerance of a tenth.
    """
    can_be_in_time = 30 + 30
    assert simulate_burst(lambda wait_s: 2) < can_be_in_time / 2
    assert simulate_burst(choose) >= 0.9 * can_be_in_time
