"""Whether a prompt can begin to be answered in time, and who goes first.

Load: more long prompts than the engines can read. Harm: every one of them
waits until its caller leaves or its deadline cuts it, and the reading that was
done for it is lost to those that could have been served. So what can't begin
in time is refused when it arrives, before it has cost anything, and its caller
can come back when the queue is shorter.
"""

from bulrushgrade import placementplan
from bulrushgrade import routing

FIRST_EVENT_FRACTION = 0.6
"""Of the time that is left, in which the first event has to come: the other
events need the rest. A stream that is cut at its deadline has cost as much as
one that was served."""

WAIT_FRACTION = 0.4
"""Of the caller's patience that a prompt may wait for others. The rest is for
reading the prompt itself, up to the largest: with longer queues only small
prompts would still begin in time, and the large ones never."""

MIN_RELATIVE_SIZE, MAX_RELATIVE_SIZE = 0.8, 1.5
"""Bounds of a prompt's size, against the mean, by which its wait is scaled.
Prompts of all sizes arrive at the same queue, but a large one that is refused
and comes back has used up more of the time that it needs; with one limit for
all, half as many of the largest tenth were served as of all."""


def lateness_s(
    plan: placementplan.Plan, *, left_s: float, patience_s: float
) -> float:
    """Returns how much too late the first event is expected; 0 or less is not.

    Args:
        plan: The best plan there is.
        left_s: Until the request's deadline.
        patience_s: How much longer its caller waits for the first event.
    """
    first_event_s = plan.first_event_s + plan.delay_s
    late_s = first_event_s - min(left_s * FIRST_EVENT_FRACTION, patience_s)
    size = min(max(plan.relative_size, MIN_RELATIVE_SIZE), MAX_RELATIVE_SIZE)
    wait_s = plan.wait_s + plan.delay_s
    return max(late_s, wait_s - patience_s * WAIT_FRACTION * size)


def choose_urgency(
    plan: placementplan.Plan,
    *,
    route: routing.Route,
    lowest_urgency: int,
    waited_s: float,
) -> int:
    """Returns how soon engines should take a prompt.

    Load: more long prompts come for some seconds than the engines can read.
    Harm: in the order of arrival all of them wait as long as the queue, and
    all are late, those included that come when half of it is done. So one
    that will be late lets all others go first: as many as can be in time are,
    and the late ones have the rest.
    Only the least urgent kind of the service does so: the others take little
    time from anyone, and would be passed by work that is less urgent than they
    are, until their callers left.

    Args:
        plan: Where it goes.
        route: Its route.
        lowest_urgency: Of all routes to the service.
        waited_s: Since it came.
    """
    if route.urgency < lowest_urgency:
        return route.urgency
    if waited_s + plan.first_event_s <= route.target_s:
        return route.urgency
    return routing.LOWEST_URGENCY
