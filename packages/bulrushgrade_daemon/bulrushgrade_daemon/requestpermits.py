"""Acquires the permits that one request needs, and what follows if it can't."""

from typing import Any

from bulrushgrade import directory as directory_module
from bulrushgrade import retryshare
from bulrushgrade_daemon import endpointchooser
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import permitservice

MAX_WAIT_FRACTION = 0.25
"""Part of the latency target that a request may wait for room at endpoints that
are all at their limits. The rest is needed to run it."""


class RequestPermits:
    """Acquires permits for requests to endpoints that don't accept all."""

    def __init__(
        self,
        *,
        timers: Any,
        permits: permitservice.PermitService,
        chooser: endpointchooser.EndpointChooser,
    ):
        """Creates an instance.

        Args:
            timers: The timer service.
            permits: The permits of all endpoints.
            chooser: Chooses endpoints.
        """
        self._timers = timers
        self._permits = permits
        self._chooser = chooser
        # The requests with a prefill for decoders whose backoff may go on.
        self._probes: dict[tuple[str, int], inflight.InFlight] = {}

    async def acquire_for_plan(
        self,
        request: inflight.InFlight,
        endpoint: directory_module.Registration,
    ) -> bool:
        """Acquires the permits for a request's plan; returns whether it did.

        The permit of a decoder is reserved before the prefill, which would
        be wasted without it. While its backoff may go on, one prompt at a time
        is prefilled for it.

        Args:
            request: The request.
            endpoint: The endpoint that runs it.
        """
        plan = request.plan
        if plan is None or plan.prefill is None:
            return await self.acquire(request, endpoint)
        if not self._may_prefill_for(request, endpoint):
            request.avoid |= {endpoint.incarnation}
            return False
        if not self._has_reservation(request, endpoint):
            request.reservation = None
            if not await self.acquire(
                request,
                endpoint,
                use_within_s=permitservice.RESERVATION_TTL_S,
            ):
                return False
            if self._permits.needs_permit(endpoint):
                request.reservation = (endpoint, request.permit)
        return await self.acquire(request, plan.prefill)

    async def acquire(
        self,
        request: inflight.InFlight,
        endpoint: directory_module.Registration,
        *,
        use_within_s: float = permitservice.PERMIT_TTL_S,
    ) -> bool:
        """Acquires the permit to send a request; returns whether it did.

        Args:
            request: The request.
            endpoint: The endpoint that it is sent to.
            use_within_s: How long the permit is to last.
        """
        request.permit = permitservice.Permit()
        if not self._permits.needs_permit(endpoint):
            return True
        waited_s = self._timers.now - request.caller.arrived_at
        max_wait_s = 0.0
        if not self._chooser.has_unlimited_alternative(request, endpoint):
            max_wait_s = MAX_WAIT_FRACTION * request.route.target_s - waited_s
        need = permitservice.Need(
            urgency=request.urgency,
            waited_s=waited_s,
            max_wait_s=max(0.0, max_wait_s),
            max_return_s=self._max_return_s(request),
            use_within_s=use_within_s,
        )
        acquired = await self._permits.acquire(endpoint, need)
        if isinstance(acquired, permitservice.Denial):
            request.observe_denial(acquired.retry_s)
            return False
        request.permit = acquired
        return True

    def release(self, request: inflight.InFlight) -> None:
        """Lets other requests have prompts prefilled for the same decoder."""
        for incarnation, probe in list(self._probes.items()):
            if probe is request:
                del self._probes[incarnation]

    def _may_prefill_for(
        self,
        request: inflight.InFlight,
        decoder: directory_module.Registration,
    ) -> bool:
        """Returns whether a prompt may be prefilled for a decoder."""
        self.release(request)
        incarnation = decoder.incarnation
        if incarnation not in self._permits.unconfirmed():
            return True
        if incarnation in self._probes:
            return False
        self._probes[incarnation] = request
        return True

    def use_reservation(
        self, request: inflight.InFlight
    ) -> directory_module.Registration | None:
        """Returns the decoder that is reserved for a request, or None."""
        if request.reservation is None:
            return None
        decoder, permit = request.reservation
        request.reservation = None
        is_valid = permit.is_valid(self._timers.now)
        if not is_valid or not self._chooser.is_usable(request, decoder):
            return None
        request.permit = permit
        return decoder

    def note_refusal(self, request: inflight.InFlight) -> None:
        """Sets when the caller should return if no endpoint has room."""
        if request.permit_retry_s is None:
            request.permit_retry_s = self._chooser.book_return_s(
                request, self._max_return_s(request)
            )

    def _has_reservation(
        self,
        request: inflight.InFlight,
        decoder: directory_module.Registration,
    ) -> bool:
        if request.reservation is None:
            return False
        reserved, permit = request.reservation
        is_same = reserved.incarnation == decoder.incarnation
        return is_same and permit.is_valid(self._timers.now)

    def _max_return_s(self, request: inflight.InFlight) -> float:
        """Returns how long a caller may stay away before its next try."""
        left_s = request.left_s(self._timers.now)
        return left_s * retryshare.MAX_WAIT_FRACTION
