"""Chooses the endpoint for a request by load, zone and recent failures.

Many daemons send requests to the same few endpoints, and each sees only its own
requests. Some endpoints are slow or fail although they report that they are
healthy. Without balancing, requests queue at one endpoint while another is
idle, or go on to an endpoint that fails. So the choice ignores what endpoints
report of their health and uses the outcome of requests.
"""

from collections.abc import Iterable
import random

import attrs

from bulrushgrade import directory

Incarnation = tuple[str, int]

EJECT_FAILURES = 2
"""Number of consecutive failures that eject an endpoint. A single failure may
be the request's own fault, and with a higher number each further failure would
cost a caller its answer."""

EJECT_BASE_S = 1.0
"""Duration of the first ejection; it doubles with each consecutive one."""

EJECT_MAX_S = 8.0
"""Maximum duration of an ejection: an endpoint that recovered is noticed within
this time."""

SLOW_FACTOR = 3.0
"""An endpoint whose latency exceeds the lowest one of its service by this
factor has its load multiplied by the ratio of the latencies."""

LATENCY_WEIGHT = 0.2
"""Weight of one observation in the running mean of an endpoint's latency."""


@attrs.define(kw_only=True)
class EndpointLoad:
    """What this daemon knows of one incarnation from its own requests.

    Attributes:
        open: Number of requests in progress.
        failures: Number of consecutive failures.
        ejections: Number of consecutive ejections.
        ejected_until: Time from which it may be tried again.
        latency_s: Running mean of the latency of answered requests; 0 before
            the first.
    """

    open: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    latency_s: float = 0.0


class Balancer:
    """Tracks requests at endpoints and picks the endpoint for the next one."""

    def __init__(self, *, zone: str, rng: random.Random):
        """Initializes a balancer without any observation.

        Args:
            zone: The availability zone of this daemon.
            rng: Random numbers to break ties.
        """
        self._zone = zone
        self._rng = rng
        self._loads: dict[Incarnation, EndpointLoad] = {}

    def load(self, incarnation: Incarnation) -> EndpointLoad:
        """Returns what is known of an incarnation."""
        return self._loads.setdefault(incarnation, EndpointLoad())

    def begin(self, incarnation: Incarnation) -> None:
        """Records that a request is sent to an endpoint."""
        self.load(incarnation).open += 1

    def end(self, incarnation: Incarnation) -> None:
        """Records that a request at an endpoint has ended."""
        self.load(incarnation).open -= 1

    def succeeded(self, incarnation: Incarnation, latency_s: float) -> None:
        """Records an answer and its latency."""
        load = self.load(incarnation)
        load.failures = 0
        load.ejections = 0
        if load.latency_s == 0.0:
            load.latency_s = latency_s
        load.latency_s += LATENCY_WEIGHT * (latency_s - load.latency_s)

    def failed(
        self, incarnation: Incarnation, *, now: float, is_certain: bool = False
    ) -> bool:
        """Records a failure; returns whether it ejects the endpoint.

        Args:
            incarnation: The endpoint that failed.
            now: The present time in seconds.
            is_certain: Whether this failure alone ejects it.
        """
        load = self.load(incarnation)
        load.failures += EJECT_FAILURES if is_certain else 1
        if load.failures < EJECT_FAILURES or now < load.ejected_until:
            return False
        length_s = min(EJECT_BASE_S * 2**load.ejections, EJECT_MAX_S)
        load.ejected_until = now + length_s
        load.ejections += 1
        return True

    def forgive(self, incarnation: Incarnation) -> None:
        """Drops the failures of an endpoint, and ends its ejection."""
        load = self.load(incarnation)
        load.failures = load.ejections = 0
        load.ejected_until = 0.0

    def forget(self, live: Iterable[Incarnation]) -> None:
        """Drops the state of incarnations that are gone and idle."""
        kept = set(live)
        for incarnation, load in list(self._loads.items()):
            if incarnation not in kept and load.open == 0:
                del self._loads[incarnation]

    def eligible(
        self,
        usable: Iterable[directory.Registration],
        *,
        avoid: frozenset[Incarnation],
        avoid_zones: frozenset[str] = frozenset(),
        now: float,
    ) -> list[directory.Registration]:
        """Returns the endpoints that a request may be sent to.

        Ejected endpoints are left out unless all are ejected: a wrong ejection
        must not refuse a request that an endpoint would have served. Zones in
        which endpoints crashed while they worked on the request are left out in
        the same way, so that it is served elsewhere when a zone fails.
        Endpoints in `avoid` failed this very request and are always left out.
        """
        untried = [r for r in usable if r.incarnation not in avoid]
        healthy = [
            r for r in untried if self.load(r.incarnation).ejected_until <= now
        ]
        elsewhere = [r for r in healthy if r.zone not in avoid_zones]
        return elsewhere or healthy or untried

    def pick(
        self,
        usable: Iterable[directory.Registration],
        *,
        avoid: frozenset[Incarnation],
        avoid_zones: frozenset[str] = frozenset(),
        now: float,
    ) -> directory.Registration | None:
        """Returns the endpoint for a request to a plain service, or None."""
        candidates = self.eligible(
            usable, avoid=avoid, avoid_zones=avoid_zones, now=now
        )
        if not candidates:
            return None
        best_s = min(
            (
                load.latency_s
                for r in candidates
                if (load := self.load(r.incarnation)).latency_s > 0
            ),
            default=0.0,
        )
        return min(candidates, key=lambda r: self._cost(r, best_s))

    def _cost(
        self, endpoint: directory.Registration, best_s: float
    ) -> tuple[float, bool, float]:
        load = self.load(endpoint.incarnation)
        utilization = (load.open + 1) / max(endpoint.slots, 1)
        if best_s > 0 and load.latency_s > SLOW_FACTOR * best_s:
            utilization *= load.latency_s / best_s
        return (utilization, endpoint.zone != self._zone, self._rng.random())
