"""Acquires permits for requests to endpoints that don't accept all of them.

An endpoint that is leaving or backs off gets none. After a backoff, this host
grants its own permits for a while. For an endpoint that states a limit, the
owner of the endpoint grants the permits of all hosts. A host that gets no
reply from it has no permit: it serves the request at another endpoint or
refuses it.
"""

import collections
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
import functools
import itertools
from typing import Any

import attrs
from twisted.internet import defer

from bulrushgrade import directory as directory_module
from bulrushgrade import endpointlimits
from bulrushgrade import permits as permits_module
from bulrushgrade import routing
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import endpointsignals
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import peerqueries
from bulrushgrade_daemon import permitgranter
from bulrushgrade_daemon import ratelimits
from bulrushgrade_daemon import recoverypermits

CHECK_PERIOD_S = 0.1
"""Interval between checks for changed owners and lost peers."""

PERMIT_TTL_S = 0.5
"""Time within which a permit must be used. One that a slow host used later
would add to the permits of that time."""

RESERVATION_TTL_S = 1.5
"""The same for the decode of a prompt that is prefilled first. Most prefills
are faster; a longer time would allow too many requests in some seconds."""

REPLY_TIMEOUT_S = 0.1
"""Time limit for a reply of an owner that decides at once. Replies take a few
milliseconds; a lost one costs a request this time."""

NO_REPLY_PAUSE_S = 0.25
"""Time for which an endpoint is not used after its owner did not reply, so that
not every request waits for a reply."""


@attrs.frozen(kw_only=True)
class Need:
    """What a request needs a permit for.

    Attributes:
        urgency: Its urgency; 0 goes first.
        waited_s: Time since its caller sent it.
        max_wait_s: How long it may wait for a permit; 0 if it is served
            elsewhere otherwise.
        max_return_s: How long its caller may stay away after a refusal.
        use_within_s: How long the permit is to last.
    """

    urgency: int
    waited_s: float = 0.0
    max_wait_s: float = 0.0
    max_return_s: float = 0.0
    use_within_s: float = PERMIT_TTL_S


@attrs.frozen(kw_only=True)
class Permit:
    """Allows one request to an endpoint.

    Attributes:
        use_by: When it expires; None for an endpoint without a limit.
    """

    use_by: float | None = None

    def is_valid(self, now: float) -> bool:
        """Returns whether the request may be sent now."""
        return self.use_by is None or now <= self.use_by


@attrs.frozen(kw_only=True)
class Denial:
    """No request may be sent to an endpoint.

    Attributes:
        retry_s: Time after which the caller may expect a permit, None if it is
            found only once the request is refused.
    """

    retry_s: float | None = None


@attrs.frozen(kw_only=True)
class _Closure:
    """An endpoint without permits.

    Attributes:
        until: When it may have permits again.
        urgency: Requests of this urgency and less urgent ones get none.
        returns_until: Up to this time, callers were told to return.
    """

    until: float
    urgency: int
    returns_until: float


class PermitService:
    """The permits that this host needs, and those that it grants."""

    name = "permits"
    requires = ("timer", "ratelimits")

    def __init__(
        self,
        *,
        timers: Any,
        own_name: str,
        limits: ratelimits.RateLimits,
        signals: endpointsignals.EndpointSignals,
        contacts: permitgranter.Contacts,
        send: Callable[[str, gatewaymessages.Message], bool],
        log: decisionlog.DecisionLog,
    ):
        """Creates the service.

        Args:
            timers: The timer service.
            own_name: This daemon's name among its peers.
            limits: The limits that endpoints state.
            signals: What else endpoints state of themselves.
            contacts: Tells which hosts there are.
            send: Sends a message to a peer; returns whether its address is
                known.
            log: Gets a line for each change of an owner.
        """
        self._timers = timers
        self._own_name = own_name
        self._limits = limits
        self._signals = signals
        self._contacts = contacts
        self._send = send
        self._queries = peerqueries.PeerQueries(
            timers=timers, send=send, timeout_s=REPLY_TIMEOUT_S
        )
        self._closures: dict[endpointlimits.Incarnation, _Closure] = {}
        self._numbers = itertools.count(1)
        self._counts: collections.Counter[str] = collections.Counter()
        self._granter = permitgranter.PermitGranter(
            timers=timers,
            own_name=own_name,
            limits=limits,
            contacts=contacts,
            counts=self._counts,
            log=log,
        )
        self._recovery = recoverypermits.RecoveryPermits(
            timers=timers,
            own_name=own_name,
            backoffs=signals.backoffs,
            count_hosts=lambda: len(contacts.present()),
            counts=self._counts,
        )
        self._tick: Any = None

    @property
    def counts(self) -> dict[str, int]:
        """Permits got, denied and missed here, and those granted to all."""
        return dict(self._counts)

    async def start(self) -> None:
        """Starts to check for changed owners."""
        self._tick = self._timers.every(CHECK_PERIOD_S, self._check)

    async def stop(self) -> None:
        """Stops all timers."""
        if self._tick is not None:
            self._tick.cancel()
        self._granter.stop()
        self._recovery.stop()

    def receive(self, message: Any) -> None:
        """Handles a peer's query, reply or withdrawal."""
        match message:
            case gatewaymessages.PermitQuery():
                self._handle_query(message)
            case gatewaymessages.PermitReply():
                self._queries.handle_reply(message)
            case gatewaymessages.PermitWithdrawal():
                endpoint = (message.endpoint, message.born_ms)
                key = (message.peer, message.claim)
                self._granter.withdraw(endpoint, key)

    def dump(self) -> dict[str, Any]:
        """Returns the queues of this owner, closed endpoints and counts."""
        now = self._timers.now
        return {
            **self._granter.dump(),
            "recovering": self._recovery.dump(),
            "closed": {
                endpoint[0]: round(closure.until - now, 3)
                for endpoint, closure in self._closures.items()
                if closure.until > now
            },
            "counts": self.counts,
        }

    def is_limited(self, endpoint: directory_module.Registration) -> bool:
        """Returns whether an endpoint states a limit."""
        return self._limits.limit_of(endpoint.incarnation) is not None

    def needs_permit(self, endpoint: directory_module.Registration) -> bool:
        """Returns whether not all requests to an endpoint may be sent."""
        return (
            self.is_limited(endpoint)
            or self._signals.backoff_left_s(endpoint) > 0
            or self._recovery.needs_permit(endpoint.incarnation)
        )

    def backing_off(self) -> frozenset[endpointlimits.Incarnation]:
        """Returns the endpoints that want nothing from this host now."""
        return self._signals.backoffs.active(self._timers.now)

    def unconfirmed(self) -> frozenset[endpointlimits.Incarnation]:
        """Returns the endpoints whose backoff may not have ended yet."""
        return self._signals.backoffs.unconfirmed(self._timers.now)

    def closed_s(
        self, endpoint: directory_module.Registration, urgency: int
    ) -> float:
        """Returns how long a request of an urgency gets no permit."""
        closure = self._closures.get(endpoint.incarnation)
        if closure is None or urgency < closure.urgency:
            return 0.0
        if not self.needs_permit(endpoint):
            return 0.0
        return max(0.0, closure.until - self._timers.now)

    async def acquire(
        self, endpoint: directory_module.Registration, need: Need
    ) -> Permit | Denial:
        """Returns a permit for one request to an endpoint, or a denial.

        Args:
            endpoint: The endpoint.
            need: What the permit is for.
        """
        if not self.needs_permit(endpoint):
            return Permit()
        if self._signals.backoff_left_s(endpoint) > 0:
            return Denial()
        if self._recovery.needs_permit(endpoint.incarnation):
            decision = await self._claim_recovery(endpoint, need)
            if not decision.granted:
                self._close(endpoint.incarnation, decision, need.urgency)
                return Denial()
        if not self.is_limited(endpoint):
            return Permit(use_by=self._timers.now + need.use_within_s)
        owner = self._granter.find_owner(endpoint.incarnation)
        if owner == self._own_name:
            decision = await self._claim_here(endpoint, need)
        else:
            decision = await self._claim_at(owner, endpoint, need)
        now = self._timers.now
        self._counts["got" if decision.granted else "denied"] += 1
        if decision.granted:
            return Permit(use_by=now + need.use_within_s)
        self._close(endpoint.incarnation, decision, need.urgency)
        return Denial(retry_s=decision.retry_s)

    async def acquire_spare(
        self, endpoint: directory_module.Registration
    ) -> bool:
        """Returns whether a request of the system itself may be sent.

        It gets what callers' requests leave.
        """
        need = Need(urgency=routing.LOWEST_URGENCY)
        return isinstance(await self.acquire(endpoint, need), Permit)

    def book_return_s(
        self,
        endpoints: Iterable[directory_module.Registration],
        urgency: int,
        max_return_s: float,
    ) -> float | None:
        """Returns when a caller that is refused here should return.

        Args:
            endpoints: The endpoints that may serve the request.
            urgency: The urgency of the request.
            max_return_s: How long the caller may stay away.

        Returns:
            The time in seconds, or None if no endpoint is at its limit or
            backs off.
        """
        endpoints = list(endpoints)
        found = (
            self._book_return_to_limited(endpoints, max_return_s),
            self._recovery.book_return_s(
                (e.incarnation for e in endpoints),
                urgency=urgency,
                max_return_s=max_return_s,
            ),
        )
        return min((one for one in found if one is not None), default=None)

    def _book_return_to_limited(
        self,
        endpoints: list[directory_module.Registration],
        max_return_s: float,
    ) -> float | None:
        """Returns when a caller should return to endpoints at their limits.

        All hosts refuse callers until the next permit, so this host has its
        callers return at its part of the rate. The owner sets the times of
        those for which it was asked.
        """
        now = self._timers.now
        closed = [e.incarnation for e in endpoints if self.is_limited(e)]
        closed = [e for e in closed if e in self._closures]
        if not closed:
            return None
        endpoint = min(closed, key=lambda e: self._closures[e].returns_until)
        closure = self._closures[endpoint]
        per_s = max(
            self._limits.limit_of(endpoint) or 0.0, permitgranter.MIN_RATE_PER_S
        )
        from_at = max(now, closure.until, closure.returns_until)
        return_at = from_at + len(self._contacts.present()) / per_s
        if return_at <= now + max_return_s:
            self._closures[endpoint] = attrs.evolve(
                closure, returns_until=return_at
            )
        return return_at - now

    def _close(
        self,
        endpoint: endpointlimits.Incarnation,
        decision: permits_module.Decision,
        urgency: int,
    ) -> None:
        """Has an endpoint not used for requests of an urgency for a time."""
        now = self._timers.now
        known = self._closures.get(endpoint)
        if known is not None and known.until > now:
            urgency = min(urgency, known.urgency)
        self._closures[endpoint] = _Closure(
            until=now + decision.open_s,
            urgency=urgency,
            returns_until=now + decision.retry_s,
        )

    # Permits that this host needs.

    async def _claim_here(
        self, endpoint: directory_module.Registration, need: Need
    ) -> permits_module.Decision:
        return await self._claim_from(self._granter, endpoint, need)

    async def _claim_recovery(
        self, endpoint: directory_module.Registration, need: Need
    ) -> permits_module.Decision:
        decision = await self._claim_from(self._recovery, endpoint, need)
        open_s = min(decision.open_s, recoverypermits.MAX_CLOSED_S)
        return attrs.evolve(decision, open_s=open_s, retry_s=0.0)

    async def _claim_from(
        self,
        source: permitgranter.PermitGranter | recoverypermits.RecoveryPermits,
        endpoint: directory_module.Registration,
        need: Need,
    ) -> permits_module.Decision:
        """Claims a permit that this host grants."""
        key = (self._own_name, next(self._numbers))
        decided: defer.Deferred = defer.Deferred()
        claim = _make_claim(key, need, self._timers.now)
        source.submit(endpoint.incarnation, claim, decided.callback)
        try:
            return await decided
        except defer.CancelledError:
            source.withdraw(endpoint.incarnation, key)
            raise

    async def _claim_at(
        self,
        owner: str,
        endpoint: directory_module.Registration,
        need: Need,
    ) -> permits_module.Decision:
        claim = next(self._numbers)
        make_query = functools.partial(
            gatewaymessages.PermitQuery,
            self._own_name,
            claim=claim,
            endpoint=endpoint.id,
            born_ms=endpoint.born_ms,
            limit=self._limits.encode(endpoint.incarnation),
            urgency=need.urgency,
            waited_ms=round(need.waited_s * 1000),
            max_wait_ms=round(need.max_wait_s * 1000),
            max_return_ms=round(need.max_return_s * 1000),
        )
        replies = []
        try:
            replies = await self._queries.query(
                {owner: make_query},
                timeout_s=REPLY_TIMEOUT_S + need.max_wait_s,
            )
        finally:
            if not replies:
                withdrawal = gatewaymessages.PermitWithdrawal(
                    peer=self._own_name,
                    claim=claim,
                    endpoint=endpoint.id,
                    born_ms=endpoint.born_ms,
                )
                self._send(owner, withdrawal)
        if not replies:
            self._counts["no_reply"] += 1
            decision = permits_module.Decision(
                key=claim,
                granted=False,
                open_s=NO_REPLY_PAUSE_S,
                retry_s=NO_REPLY_PAUSE_S,
            )
            self._close(endpoint.incarnation, decision, urgency=0)
            return decision
        (reply,) = replies
        self._limits.merge(endpoint.incarnation, reply.limit, peer=owner)
        return permits_module.Decision(
            key=claim,
            granted=reply.granted,
            open_s=reply.open_ms / 1000,
            retry_s=reply.retry_ms / 1000,
        )

    # Permits that this host grants.

    def _handle_query(self, query: gatewaymessages.PermitQuery) -> None:
        endpoint = (query.endpoint, query.born_ms)
        self._limits.merge(endpoint, query.limit, peer=query.peer)
        need = Need(
            urgency=query.urgency,
            waited_s=query.waited_ms / 1000,
            max_wait_s=query.max_wait_ms / 1000,
            max_return_s=query.max_return_ms / 1000,
        )

        def reply(decision: permits_module.Decision) -> None:
            message = gatewaymessages.PermitReply(
                peer=self._own_name,
                number=query.number,
                granted=decision.granted,
                open_ms=round(decision.open_s * 1000),
                retry_ms=round(decision.retry_s * 1000),
                limit=self._limits.encode(endpoint),
            )
            self._send(query.peer, message)

        claim = _make_claim((query.peer, query.claim), need, self._timers.now)
        self._granter.submit(endpoint, claim, reply)

    def _check(self) -> None:
        self._granter.check()
        self._recovery.check()
        now = self._timers.now
        self._closures = {
            endpoint: closure
            for endpoint, closure in self._closures.items()
            if max(closure.until, closure.returns_until) > now
        }


def _make_claim(key: Hashable, need: Need, now: float) -> permits_module.Claim:
    return permits_module.Claim(
        key=key,
        urgency=need.urgency,
        arrived_at=now - need.waited_s,
        wait_until=now + need.max_wait_s,
        return_by=now + need.max_return_s,
    )
