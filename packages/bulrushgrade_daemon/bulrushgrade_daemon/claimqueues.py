"""Decides on claims for the permits of endpoints, now or later."""

from collections.abc import Callable
from collections.abc import Hashable
from typing import Any

import attrs

from bulrushgrade import endpointlimits
from bulrushgrade import permits as permits_module

MIN_WAKEUP_S = 0.001
"""Minimum time until waiting claims are checked again. Timers may fire a little
early, when the next permit is not quite earned."""

Decide = Callable[[permits_module.Decision], None]
"""Called with the decision on a claim."""


class ClaimQueues:
    """One queue of claims for each endpoint, and the timers that serve them."""

    def __init__(
        self,
        *,
        timers: Any,
        make_queue: Callable[
            [endpointlimits.Incarnation], permits_module.PermitQueue
        ],
        rate_per_s: Callable[[endpointlimits.Incarnation], float],
        observe_grant: Callable[[], None],
    ):
        """Creates an instance without queues.

        Args:
            timers: The timer service.
            make_queue: Returns an empty queue for an endpoint.
            rate_per_s: Returns the current rate of an endpoint's permits.
            observe_grant: Called with each permit that is granted.
        """
        self._timers = timers
        self._make_queue = make_queue
        self._rate_per_s = rate_per_s
        self._observe_grant = observe_grant
        self._queues: dict[
            endpointlimits.Incarnation, permits_module.PermitQueue
        ] = {}
        self._wakeups: dict[endpointlimits.Incarnation, Any] = {}
        # The claims that wait.
        self._claimants: dict[Hashable, Decide] = {}

    @property
    def endpoints(self) -> list[endpointlimits.Incarnation]:
        """The endpoints that have a queue."""
        return list(self._queues)

    def stop(self) -> None:
        """Cancels all timers."""
        for wakeup in self._wakeups.values():
            wakeup.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns the rate and the number of waiting claims by endpoint."""
        return {
            endpoint[0]: {"per_s": queue.per_s, "waiting": len(queue)}
            for endpoint, queue in self._queues.items()
        }

    def submit(
        self,
        endpoint: endpointlimits.Incarnation,
        claim: permits_module.Claim,
        decide: Decide,
    ) -> None:
        """Decides on a claim now or later.

        Args:
            endpoint: The endpoint that the permit is for.
            claim: The claim.
            decide: Called with the decision, once unless it is withdrawn.
        """
        self._claimants[claim.key] = decide
        queue = self._update_queue(endpoint)
        self._apply(endpoint, queue.submit(claim, self._timers.now))

    def withdraw(
        self, endpoint: endpointlimits.Incarnation, key: Hashable
    ) -> None:
        """Drops a claim that is not needed any more."""
        self._claimants.pop(key, None)
        queue = self._queues.get(endpoint)
        if queue is not None:
            queue.withdraw(key)

    def update(self, endpoint: endpointlimits.Incarnation) -> None:
        """Applies an endpoint's current rate to its queue."""
        queue = self._update_queue(endpoint)
        self._apply(endpoint, queue.decide(self._timers.now))

    def close(
        self, endpoint: endpointlimits.Incarnation, *, grants: bool
    ) -> None:
        """Ends a queue.

        Args:
            endpoint: The endpoint.
            grants: Whether the waiting claims are granted, else denied.
        """
        queue = self._queues.pop(endpoint, None)
        if queue is None:
            return
        decisions = queue.close(self._timers.now)
        if grants:
            decisions = [attrs.evolve(one, granted=True) for one in decisions]
        self._apply(endpoint, decisions)

    def _update_queue(
        self, endpoint: endpointlimits.Incarnation
    ) -> permits_module.PermitQueue:
        """Returns an endpoint's queue with its current rate."""
        queue = self._queues.get(endpoint)
        if queue is None:
            queue = self._make_queue(endpoint)
            self._queues[endpoint] = queue
        queue.set_rate(self._rate_per_s(endpoint), self._timers.now)
        return queue

    def _apply(
        self,
        endpoint: endpointlimits.Incarnation,
        decisions: list[permits_module.Decision],
    ) -> None:
        """Passes decisions on and schedules the next ones."""
        for decision in decisions:
            decide = self._claimants.pop(decision.key, None)
            if decision.granted:
                self._observe_grant()
            if decide is not None:
                decide(decision)
        wakeup = self._wakeups.pop(endpoint, None)
        if wakeup is not None:
            wakeup.cancel()
        queue = self._queues.get(endpoint)
        due_s = None if queue is None else queue.next_due_s(self._timers.now)
        if due_s is not None:
            self._wakeups[endpoint] = self._timers.after(
                max(due_s, MIN_WAKEUP_S), lambda: self._wake(endpoint)
            )

    def _wake(self, endpoint: endpointlimits.Incarnation) -> None:
        self._wakeups.pop(endpoint, None)
        if endpoint in self._queues:
            self.update(endpoint)
