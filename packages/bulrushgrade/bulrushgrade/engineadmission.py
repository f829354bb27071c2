"""Decides whether a prompt can be answered in time and with which urgency.

When more long prompts arrive than the engines can prefill, each of them waits
until its caller gives up or its deadline passes, and the prefill work spent on
it is lost to prompts that could have been served. So a prompt whose response
can't begin in time is refused on arrival, before it has cost anything, and its
caller can retry when the queue is shorter.
"""

from bulrushgrade import placementplan
from bulrushgrade import routing

FIRST_EVENT_FRACTION = 0.6
"""Fraction of the time left until the deadline in which the first event has to
come, because the other events need the rest. A stream that is cut off at its
deadline has cost as much as one that was served."""

WAIT_FRACTION = 0.4
"""Fraction of the caller's patience that a prompt may wait in a queue. The rest
is for the prefill of the prompt itself, up to the largest one. With longer
queues only small prompts could still begin in time, and large ones never."""

MIN_RELATIVE_SIZE, MAX_RELATIVE_SIZE = 0.8, 1.5
"""Bounds of a prompt's relative size by which its allowed wait is scaled.
Prompts of all sizes use the same queue, but a large one that is refused and
retried has used up more of the time that it needs. With one limit for all
sizes, the largest tenth of prompts was served half as often as the average."""


def lateness_s(
    plan: placementplan.Plan, *, left_s: float, patience_s: float
) -> float:
    """Returns by how much the first event is expected to be late.

    A value of 0 or less means that it is in time.

    Args:
        plan: The best plan.
        left_s: Time until the request's deadline.
        patience_s: How much longer the caller waits for the first event.
    """
    first_event_s = plan.first_event_s + plan.delay_s
    late_s = first_event_s - min(left_s * FIRST_EVENT_FRACTION, patience_s)
    size = min(max(plan.relative_size, MIN_RELATIVE_SIZE), MAX_RELATIVE_SIZE)
    wait_s = plan.wait_s + plan.delay_s
    return max(late_s, wait_s - patience_s * WAIT_FRACTION * size)


def is_late(
    plan: placementplan.Plan, *, route: routing.Route, waited_s: float
) -> bool:
    """Returns whether the first event is expected after the route's target.

    Args:
        plan: The plan for the prompt.
        route: Its route.
        waited_s: Time since the request arrived.
    """
    return waited_s + plan.first_event_s > route.target_s


def planned_urgency(
    route: routing.Route, *, lowest_urgency: int, yields: bool
) -> int:
    """Returns the urgency with which a prompt is planned.

    Prompts that exceed their workspace's share let all others go first.
    As in `choose_urgency`, this applies only to the least urgent routes.

    Args:
        route: The prompt's route.
        lowest_urgency: The lowest urgency of all routes to the service.
        yields: Whether it exceeds its workspace's share.
    """
    if yields and route.urgency >= lowest_urgency:
        return routing.LOWEST_URGENCY
    return route.urgency


def choose_urgency(
    plan: placementplan.Plan,
    *,
    route: routing.Route,
    lowest_urgency: int,
    waited_s: float,
) -> int:
    """Returns the urgency with which engines should handle a prompt.

    When more long prompts arrive for some seconds than the engines can prefill
    and they are served in order of arrival, all of them wait as long as the
    queue and all are late, including those that arrive when half of the queue
    has been served. So a prompt that will be late lets all others go first: as
    many prompts as possible are in time, and the late ones get the remaining
    capacity.

    This applies only to the least urgent routes of the service. Prompts of the
    others take little time, and would be overtaken by less urgent work until
    their callers give up.

    Args:
        plan: The plan for the prompt.
        route: Its route.
        lowest_urgency: The lowest urgency of all routes to the service.
        waited_s: Time since the request arrived.
    """
    if route.urgency < lowest_urgency:
        return route.urgency
    if is_late(plan, route=route, waited_s=waited_s):
        return routing.LOWEST_URGENCY
    return route.urgency
