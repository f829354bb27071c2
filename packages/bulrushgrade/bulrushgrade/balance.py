"""Which endpoint gets a request: load, zone and recent failures.

Load: many daemons send to the same few endpoints, each seeing its own
requests only; some endpoints are slow or fail while they say they are well.
Harm: work queues at one endpoint while another idles, or keeps going where
it fails. What an endpoint says of its health is not used; what requests met
there is.
"""

from collections.abc import Iterable
import random

import attrs

from bulrushgrade import directory

Incarnation = tuple[str, int]

EJECT_FAILURES = 2
"""Failures in a row that take an endpoint out: one alone may be the request's
own fault, three more would each cost a caller its answer."""

EJECT_BASE_S = 1.0
"""How long the first ejection lasts; doubled by each one that follows."""

EJECT_MAX_S = 8.0
"""The longest ejection. An endpoint that came back is found out by then."""

SLOW_FACTOR = 3.0
"""An endpoint that takes this many times as long as the best of its service
is used only where the others are loaded as many times as much."""

LATENCY_WEIGHT = 0.2
"""Of each new observation in the running mean of an endpoint's latency."""


@attrs.define(kw_only=True)
class EndpointLoad:
    """What this daemon knows of one incarnation from its own requests.

    Attributes:
        open: Requests under way.
        failures: In a row, without a success between.
        ejections: In a row.
        ejected_until: When it may be tried again.
        latency_s: Running mean of answered requests; 0 before the first.
    """

    open: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    latency_s: float = 0.0


class Balancer:
    """Follows requests at endpoints and picks the next one."""

    def __init__(self, *, zone: str, rng: random.Random):
        """Makes a balancer that has seen nothing.

        Args:
            zone: The availability zone of this daemon.
            rng: Breaks ties.
        """
        self._zone = zone
        self._rng = rng
        self._loads: dict[Incarnation, EndpointLoad] = {}

    def load(self, incarnation: Incarnation) -> EndpointLoad:
        """Returns what is known of an incarnation."""
        return self._loads.setdefault(incarnation, EndpointLoad())

    def begin(self, incarnation: Incarnation) -> None:
        """Notes that a request goes to an endpoint."""
        self.load(incarnation).open += 1

    def end(self, incarnation: Incarnation) -> None:
        """Notes that a request is no longer there."""
        self.load(incarnation).open -= 1

    def succeeded(self, incarnation: Incarnation, latency_s: float) -> None:
        """Notes an answer and how long it took to begin."""
        load = self.load(incarnation)
        load.failures = 0
        load.ejections = 0
        if load.latency_s == 0.0:
            load.latency_s = latency_s
        load.latency_s += LATENCY_WEIGHT * (latency_s - load.latency_s)

    def failed(
        self, incarnation: Incarnation, *, now: float, is_certain: bool = False
    ) -> bool:
        """Notes a failure; returns whether it ejects the endpoint.

        Args:
            incarnation: Who failed.
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

    def forget(self, live: Iterable[Incarnation]) -> None:
        """Drops what is known of incarnations that are gone and idle."""
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

        Ejected ones are left out unless all are: a wrong ejection must not
        refuse what an endpoint would have served. So are zones in which
        endpoints crashed under the request: where a zone fails, it is served
        in another. Those in `avoid` failed this very request and are left out
        always.
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
