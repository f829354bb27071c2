"""Permits for requests to endpoints that recover from a backoff.

Each host grants its own, as a backoff is addressed to one host. The rate rises
from zero, see `endpointbackoffs`.
"""

import collections
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
from typing import Any

import xxhash

from bulrushgrade import callerreturns
from bulrushgrade import endpointbackoffs
from bulrushgrade import endpointlimits
from bulrushgrade import permits as permits_module
from bulrushgrade_daemon import claimqueues

MIN_RATE_FOR_RESERVE_PER_S = 2.0
"""Rate from which on a permit is left for more urgent requests. At a lower one
it would take so long to earn that the others got none."""

MAX_CLOSED_S = 0.25
"""Longest time for which a denial counts, as the rate rises meanwhile."""

_HASH_RANGE = 2**32


class RecoveryPermits:
    """This host's permits for endpoints whose backoff has ended."""

    def __init__(
        self,
        *,
        timers: Any,
        own_name: str,
        backoffs: endpointbackoffs.EndpointBackoffs,
        count_hosts: Callable[[], int],
        counts: collections.Counter[str],
    ):
        """Creates an instance without claims.

        Args:
            timers: The timer service.
            own_name: This daemon's name among its peers.
            backoffs: The backoffs that endpoints asked for.
            count_hosts: Returns the number of hosts.
            counts: Counts the permits that are granted.
        """
        self._timers = timers
        self._own_name = own_name
        self._backoffs = backoffs
        self._count_hosts = count_hosts
        self._returns = callerreturns.CallerReturns()

        def observe_grant() -> None:
            counts["resumed"] += 1

        self._queues = claimqueues.ClaimQueues(
            timers=timers,
            make_queue=self._make_queue,
            rate_per_s=lambda endpoint: self._rate_per_s(endpoint) or 0.0,
            observe_grant=observe_grant,
        )

    def stop(self) -> None:
        """Cancels all timers."""
        self._queues.stop()

    def dump(self) -> dict[str, Any]:
        """Returns the rate and the number of waiting claims by endpoint."""
        return self._queues.dump()

    def needs_permit(self, endpoint: endpointlimits.Incarnation) -> bool:
        """Returns whether requests to an endpoint need a permit."""
        return self._rate_per_s(endpoint) is not None

    def submit(
        self,
        endpoint: endpointlimits.Incarnation,
        claim: permits_module.Claim,
        decide: claimqueues.Decide,
    ) -> None:
        """Decides on a claim now or later, see `ClaimQueues.submit`."""
        self._queues.submit(endpoint, claim, decide)

    def withdraw(
        self, endpoint: endpointlimits.Incarnation, key: Hashable
    ) -> None:
        """Drops a claim that is not needed any more."""
        self._queues.withdraw(endpoint, key)

    def check(self) -> None:
        """Ends the queues of endpoints that have recovered, or back off again.

        Called periodically.
        """
        now = self._timers.now
        self._returns.forget(now)
        for endpoint in self._queues.endpoints:
            if not self.needs_permit(endpoint):
                self._queues.close(endpoint, grants=True)
            elif self._backoffs.left_s(endpoint, now) > 0:
                self._queues.close(endpoint, grants=False)
            else:
                self._queues.update(endpoint)

    def book_return_s(
        self,
        endpoints: Iterable[endpointlimits.Incarnation],
        *,
        urgency: int,
        max_return_s: float,
    ) -> float | None:
        """Returns when a caller should return to endpoints that back off.

        Args:
            endpoints: The endpoints that may serve the request.
            urgency: The urgency of the request.
            max_return_s: How long the caller may stay away.

        Returns:
            The time in seconds, or None if none of the endpoints backs off.
        """
        now = self._timers.now
        found = [
            (self._find_return_at(endpoint, backoff, urgency), endpoint)
            for endpoint in endpoints
            if (backoff := self._backoffs.find(endpoint)) is not None
        ]
        if not found:
            return None
        at, endpoint = min(found)
        if at <= now + max_return_s:
            self._returns.book(endpoint, urgency=urgency, at=at)
        return at - now

    def _find_return_at(
        self,
        endpoint: endpointlimits.Incarnation,
        backoff: endpointbackoffs.Backoff,
        urgency: int,
    ) -> float:
        """Returns the next time at which an endpoint has room for a caller."""
        now = self._timers.now
        # The permits of the ramp are as many as those of its second half at
        # the full rate.
        open_at = backoff.until + endpointbackoffs.RAMP_S / 2
        return self._returns.find_next(
            endpoint,
            urgency=urgency,
            open_at=max(now, open_at),
            per_s=endpointbackoffs.base_per_s(backoff, self._count_hosts()),
        )

    def _rate_per_s(self, endpoint: endpointlimits.Incarnation) -> float | None:
        return self._backoffs.resume_per_s(
            endpoint, self._timers.now, hosts=self._count_hosts()
        )

    def _make_queue(
        self, endpoint: endpointlimits.Incarnation
    ) -> permits_module.PermitQueue:
        """Returns a queue that holds a part of a permit.

        The parts differ from host to host. With whole permits only, hundreds
        of hosts would send nothing in the ramp, and all of them a moment after.
        """
        key = f"{endpoint[0]}/{self._own_name}"
        part = xxhash.xxh32_intdigest(key.encode()) / _HASH_RANGE
        now, hosts = self._timers.now, self._count_hosts()
        backoff = self._backoffs.find(endpoint)
        per_s = endpointbackoffs.base_per_s(backoff, hosts)
        has_reserve = per_s >= MIN_RATE_FOR_RESERVE_PER_S
        return permits_module.PermitQueue(
            per_s=self._rate_per_s(endpoint),
            now=now,
            permits=part + endpointbackoffs.count_ramp(backoff, hosts, now),
            reserve=permits_module.RESERVE if has_reserve else 0.0,
        )
