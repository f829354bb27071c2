"""Endpoints that turned this host away and asked it to send nothing for a time.

A backoff is addressed to one host: the endpoint may accept requests of others.
So hosts don't exchange backoffs.
"""

from collections.abc import Iterable

import attrs

from bulrushgrade import endpointlimits

MAX_BACKOFF_S = 60.0
"""Longest time that an endpoint is not used at its own request. A false value
would otherwise take it out of service for good; an endpoint that means it
repeats it when it is tried again."""


@attrs.frozen(kw_only=True)
class Backoff:
    """A time in which an endpoint wants no requests from this host.

    Attributes:
        since: When it first asked for this, while it was in use.
        until: When the time ends.
    """

    since: float
    until: float


class EndpointBackoffs:
    """The backoffs that endpoints asked for, by incarnation."""

    def __init__(self):
        self._known: dict[endpointlimits.Incarnation, Backoff] = {}

    def items(self) -> Iterable[tuple[endpointlimits.Incarnation, Backoff]]:
        """Returns all backoffs, also ended ones that are not yet dropped."""
        return self._known.items()

    def find(self, endpoint: endpointlimits.Incarnation) -> Backoff | None:
        """Returns an endpoint's last backoff, which may have ended."""
        return self._known.get(endpoint)

    def left_s(self, endpoint: endpointlimits.Incarnation, now: float) -> float:
        """Returns how long an endpoint still wants no requests."""
        known = self._known.get(endpoint)
        return 0.0 if known is None else max(0.0, known.until - now)

    def observe(
        self,
        endpoint: endpointlimits.Incarnation,
        stated_s: float,
        now: float,
    ) -> bool:
        """Takes in the time that an answer asks for; returns whether it is new.

        Each answer counts by itself, as the endpoint may mean each: a later
        one that asks for less does not end the time of an earlier one.

        Args:
            endpoint: The endpoint that answered.
            stated_s: Seconds from now.
            now: The current time.
        """
        until = now + min(stated_s, MAX_BACKOFF_S)
        known = self._known.get(endpoint)
        is_active = known is not None and known.until > now
        if is_active and until <= known.until:
            return False
        since = known.since if is_active else now
        self._known[endpoint] = Backoff(since=since, until=until)
        return not is_active

    def expire(self, now: float) -> list[endpointlimits.Incarnation]:
        """Drops backoffs that have ended, and returns their endpoints."""
        ended = [e for e, known in self._known.items() if known.until <= now]
        for endpoint in ended:
            del self._known[endpoint]
        return ended
