"""Endpoints that turned this host away and asked it to send nothing for a time.

A backoff is addressed to one host: the endpoint may accept requests of others.
So hosts don't exchange backoffs.

All hosts that an endpoint turned away could return to it at the same moment,
and it would turn them away again. So each host resumes slowly, from no requests
to the rate that the endpoint accepted from it before, and then beyond that. The
sum over all hosts rises in the same way, whatever their number.

An endpoint that refuses requests again after it had accepted some is given
less: it has less room than all hosts want.
"""

from collections.abc import Iterable
import math

import attrs

from bulrushgrade import endpointlimits

MAX_BACKOFF_S = 60.0
"""Longest time that an endpoint is not used at its own request. A false value
would otherwise take it out of service for good; an endpoint that means it
repeats it when it is tried again."""

RAMP_S = 2.0
"""Time after a backoff in which the rate of requests rises to the accepted one.
Within it, an endpoint that still refuses turns away some of the requests, not
all."""

DOUBLING_S = 5.0
"""Time in which the rate doubles from then on. A faster rise has endpoints
without room refuse requests again and again, each time for a whole backoff; a
slower one leaves room unused after others have ended."""

RECOVERY_S = 20.0
"""Time after a backoff for which the rate is bounded. By then it is 12 times
the accepted one."""

RATE_MEMORY_S = 3.0
"""Time constant of the mean rate of accepted requests."""

MIN_RATE_WINDOW_S = 0.5
"""Shortest time to compute a rate from."""

DECREASE = 0.7
"""Factor on the rate after an endpoint has refused requests again."""

MIN_TOTAL_PER_S = 3.0
"""Lower bound of the accepted rate, for all hosts together. An endpoint that
had accepted nothing of late would otherwise never be tried."""


@attrs.define(kw_only=True)
class AcceptedRate:
    """The mean rate of requests that an endpoint accepted from this host.

    Attributes:
        began_at: When counting began.
        at: The time of the last request.
        count: The requests until then, older ones with less weight.
    """

    began_at: float
    at: float
    count: float = 0.0

    def add(self, now: float) -> None:
        """Counts an accepted request."""
        self.count = self._count_at(now) + 1.0
        self.at = now

    def read(self, now: float) -> float:
        """Returns the rate per second."""
        passed_s = max(MIN_RATE_WINDOW_S, now - self.began_at)
        window_s = RATE_MEMORY_S * -math.expm1(-passed_s / RATE_MEMORY_S)
        return self._count_at(now) / window_s

    def _count_at(self, now: float) -> float:
        return self.count * math.exp((self.at - now) / RATE_MEMORY_S)


@attrs.define(kw_only=True)
class Backoff:
    """A time in which an endpoint wants no requests from this host.

    Attributes:
        since: When it asked for this, while it was in use.
        until: When the time ends.
        accepted_per_s: The rate that it accepted before.
        has_accepted: Whether it has accepted a request since the end.
    """

    since: float
    until: float
    accepted_per_s: float
    has_accepted: bool = False


class EndpointBackoffs:
    """The backoffs that endpoints asked for, by incarnation."""

    def __init__(self):
        self._known: dict[endpointlimits.Incarnation, Backoff] = {}
        self._accepted: dict[endpointlimits.Incarnation, AcceptedRate] = {}

    def items(self) -> Iterable[tuple[endpointlimits.Incarnation, Backoff]]:
        """Returns all backoffs, also ended ones until the recovery is over."""
        return self._known.items()

    def find(self, endpoint: endpointlimits.Incarnation) -> Backoff | None:
        """Returns an endpoint's last backoff, or None if it has recovered."""
        return self._known.get(endpoint)

    def active(self, now: float) -> frozenset[endpointlimits.Incarnation]:
        """Returns the endpoints that want no requests now."""
        return frozenset(
            endpoint
            for endpoint, known in self._known.items()
            if known.until > now
        )

    def unconfirmed(self, now: float) -> frozenset[endpointlimits.Incarnation]:
        """Returns the endpoints that may still want no requests.

        No request shows yet that their backoff has ended.
        """
        return frozenset(
            endpoint
            for endpoint, known in self._known.items()
            if now - known.until < RECOVERY_S and not known.has_accepted
        )

    def left_s(self, endpoint: endpointlimits.Incarnation, now: float) -> float:
        """Returns how long an endpoint still wants no requests."""
        known = self._known.get(endpoint)
        return 0.0 if known is None else max(0.0, known.until - now)

    def resume_per_s(
        self, endpoint: endpointlimits.Incarnation, now: float, *, hosts: int
    ) -> float | None:
        """Returns the rate at which this host may resume its requests now.

        Args:
            endpoint: The endpoint.
            now: The current time.
            hosts: The number of hosts.

        Returns:
            The rate per second, None if it is not bounded.
        """
        known = self._known.get(endpoint)
        if known is None or now - known.until >= RECOVERY_S:
            return None
        return _rise(base_per_s(known, hosts), max(0.0, now - known.until))

    def observe_accepted(
        self, endpoint: endpointlimits.Incarnation, sent_at: float, now: float
    ) -> None:
        """Takes in that an endpoint accepted a request.

        Args:
            endpoint: The endpoint.
            sent_at: When the request was sent.
            now: The current time.
        """
        rate = self._accepted.get(endpoint)
        if rate is None:
            rate = AcceptedRate(began_at=sent_at, at=now)
            self._accepted[endpoint] = rate
        rate.add(now)
        known = self._known.get(endpoint)
        if known is not None and sent_at >= known.until:
            known.has_accepted = True

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
        if known is not None and known.until > now:
            known.until = max(known.until, until)
            return False
        self._known[endpoint] = Backoff(
            since=now,
            until=until,
            accepted_per_s=self._find_accepted_rate(endpoint, now),
        )
        return True

    def _find_accepted_rate(
        self, endpoint: endpointlimits.Incarnation, now: float
    ) -> float:
        """Returns the rate to resume with after a backoff that begins now."""
        rate = self._accepted.get(endpoint)
        per_s = 0.0 if rate is None else rate.read(now)
        before = self._known.get(endpoint)
        if before is None or now - before.until >= RECOVERY_S:
            return per_s
        if not before.has_accepted:
            # It still refused everything, which says nothing about the rate.
            return before.accepted_per_s
        per_s = max(per_s, before.accepted_per_s)
        refused_per_s = _rise(before.accepted_per_s, now - before.until)
        return min(per_s, max(DECREASE * refused_per_s, per_s / 2))

    def expire(self, now: float) -> list[endpointlimits.Incarnation]:
        """Drops what is over; returns the endpoints that have recovered."""
        recovered = [
            endpoint
            for endpoint, known in self._known.items()
            if now - known.until >= RECOVERY_S
        ]
        for endpoint in recovered:
            del self._known[endpoint]
        for endpoint, rate in list(self._accepted.items()):
            if now - rate.at >= RECOVERY_S:
                del self._accepted[endpoint]
        return recovered


def _rise(accepted_per_s: float, passed_s: float) -> float:
    """Returns the rate at a time after the end of a backoff."""
    if passed_s < RAMP_S:
        return accepted_per_s * passed_s / RAMP_S
    return accepted_per_s * 2 ** ((passed_s - RAMP_S) / DOUBLING_S)


def base_per_s(backoff: Backoff, hosts: int) -> float:
    """Returns the rate that a host reaches at the end of the ramp."""
    return max(backoff.accepted_per_s, MIN_TOTAL_PER_S / max(1, hosts))


def count_ramp(backoff: Backoff, hosts: int, now: float) -> float:
    """Returns the requests that the ramp allows from its begin until now.

    Those after the ramp are not counted: a host that sent nothing for so long
    must not send them all at once.
    """
    passed_s = min(max(0.0, now - backoff.until), RAMP_S)
    return base_per_s(backoff, hosts) * passed_s**2 / (2 * RAMP_S)
