"""Asks for and grants permits for requests to endpoints that state a limit.

The owner of an endpoint, chosen by rendezvous hashing, grants the permits of
all hosts. A host that gets no answer has no permit: it serves the request at
another endpoint or refuses it.
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
from bulrushgrade import fleetmembers
from bulrushgrade import hostshare
from bulrushgrade import permits as permits_module
from bulrushgrade import routing
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import peerqueries
from bulrushgrade_daemon import ratelimits

MIN_WAKEUP_S = 0.001
"""Minimum time until waiting claims are checked again. Timers may fire a little
early, when the next permit is not quite earned."""

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

NOT_OWNER_PAUSE_S = 0.1
"""The same if the queried host does not take itself for the owner. Hosts agree
again with one of the next messages."""

MIN_RATE_PER_S = 0.25
"""Lower bound of the rate. An endpoint states the end of its limit in an
answer, so one that accepts nothing is still sent a request now and then."""

JOIN_S = 2.0
"""Time from which on a host that has joined grants permits. Until every host
knows it, some still ask the owner before it."""

SUCCESSION_S = 0.5
"""The same for a host that replaces an owner that fell silent. If that owner
is alive, it has lost its peers at about the same time."""


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
        retry_s: Time after which the caller may expect a permit.
    """

    retry_s: float


@attrs.frozen(kw_only=True)
class _Owner:
    """The owner of an endpoint's permits in this host's view.

    Attributes:
        name: The owner.
        grants_from: When it begins to grant, if it is this host.
    """

    name: str
    grants_from: float


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
        find_owners: Callable[[str], list[str]],
        present: Callable[[], list[str]],
        in_contact: Callable[[], list[str]],
        announced: Callable[[], list[str]],
        knows_peers: Callable[[], bool],
        send: Callable[[str, gatewaymessages.Message], bool],
        log: decisionlog.DecisionLog,
    ):
        """Creates the service.

        Args:
            timers: The timer service.
            own_name: This daemon's name among its peers.
            limits: The limits that endpoints state.
            find_owners: Returns the owners of an endpoint; the first one
                grants its permits.
            present: Returns the daemons that are present, this one included.
            in_contact: Returns those of them that hear this one.
            announced: Returns the other hosts that have announced themselves.
            knows_peers: Returns whether these have been read since the start.
            send: Sends a message to a peer; returns whether its address is
                known.
            log: Gets a line for each change of an owner.
        """
        self._timers = timers
        self._own_name = own_name
        self._limits = limits
        self._find_owners = find_owners
        self._present = present
        self._in_contact = in_contact
        self._announced = announced
        self._knows_peers = knows_peers
        self._send = send
        self._log = log
        self._queries = peerqueries.PeerQueries(
            timers=timers, send=send, timeout_s=REPLY_TIMEOUT_S
        )
        self._share = hostshare.HostShare()
        self._seen: list[str] = []
        self._view_changed_at = timers.now
        self._owners: dict[endpointlimits.Incarnation, _Owner] = {}
        self._queues: dict[
            endpointlimits.Incarnation, permits_module.PermitQueue
        ] = {}
        self._wakeups: dict[endpointlimits.Incarnation, Any] = {}
        self._closures: dict[endpointlimits.Incarnation, _Closure] = {}
        # Called with the decision on a claim that waits.
        self._claimants: dict[
            Hashable, Callable[[permits_module.Decision], None]
        ] = {}
        self._numbers = itertools.count(1)
        self._counts: collections.Counter[str] = collections.Counter()
        self._tick: Any = None

    @property
    def counts(self) -> dict[str, int]:
        """Permits got, denied and missed here, and those granted to all."""
        return dict(self._counts)

    async def start(self) -> None:
        """Starts to check for changed owners."""
        self._view_changed_at = self._timers.now
        self._tick = self._timers.every(CHECK_PERIOD_S, self._check)

    async def stop(self) -> None:
        """Stops all timers."""
        if self._tick is not None:
            self._tick.cancel()
        for wakeup in self._wakeups.values():
            wakeup.cancel()

    def receive(self, message: Any) -> None:
        """Handles a peer's query, reply or withdrawal."""
        match message:
            case gatewaymessages.PermitQuery():
                self._handle_query(message)
            case gatewaymessages.PermitReply():
                self._queries.handle_reply(message)
            case gatewaymessages.PermitWithdrawal():
                endpoint = (message.endpoint, message.born_ms)
                self._withdraw(endpoint, (message.peer, message.claim))

    def dump(self) -> dict[str, Any]:
        """Returns the queues of this owner, closed endpoints and counts."""
        now = self._timers.now
        return {
            "queues": {
                endpoint[0]: {"per_s": queue.per_s, "waiting": len(queue)}
                for endpoint, queue in self._queues.items()
            },
            "closed": {
                endpoint[0]: round(closure.until - now, 3)
                for endpoint, closure in self._closures.items()
                if closure.until > now
            },
            "fraction": round(self._share.fraction(now), 3),
            "counts": self.counts,
        }

    def is_limited(self, endpoint: directory_module.Registration) -> bool:
        """Returns whether an endpoint states a limit."""
        return self._limits.limit_of(endpoint.incarnation) is not None

    def closed_s(
        self, endpoint: directory_module.Registration, urgency: int
    ) -> float:
        """Returns how long a request of an urgency gets no permit."""
        closure = self._closures.get(endpoint.incarnation)
        if closure is None or urgency < closure.urgency:
            return 0.0
        if not self.is_limited(endpoint):
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
        if not self.is_limited(endpoint):
            return Permit()
        owner = self._owner(endpoint.incarnation).name
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
        max_return_s: float,
    ) -> float | None:
        """Returns when a caller that is refused here should return.

        All hosts refuse callers until the next permit, so this host has its
        callers return at its part of the rate. The owner sets the times of
        those for which it was asked.

        Args:
            endpoints: The endpoints that may serve the request.
            max_return_s: How long the caller may stay away.

        Returns:
            The time in seconds, or None if no endpoint is at its limit.
        """
        now = self._timers.now
        closed = [e.incarnation for e in endpoints if self.is_limited(e)]
        closed = [e for e in closed if e in self._closures]
        if not closed:
            return None
        endpoint = min(closed, key=lambda e: self._closures[e].returns_until)
        closure = self._closures[endpoint]
        per_s = max(self._limits.limit_of(endpoint) or 0.0, MIN_RATE_PER_S)
        from_at = max(now, closure.until, closure.returns_until)
        return_at = from_at + len(self._present()) / per_s
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
        key = (self._own_name, next(self._numbers))
        decided: defer.Deferred = defer.Deferred()
        self._submit(endpoint.incarnation, key, need, decided.callback)
        try:
            return await decided
        except defer.CancelledError:
            self._withdraw(endpoint.incarnation, key)
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

        self._submit(endpoint, (query.peer, query.claim), need, reply)

    def _submit(
        self,
        endpoint: endpointlimits.Incarnation,
        key: Hashable,
        need: Need,
        decide: Callable[[permits_module.Decision], None],
    ) -> None:
        now = self._timers.now
        if self._limits.limit_of(endpoint) is None:
            decide(permits_module.Decision(key=key, granted=True))
            return
        owner = self._owner(endpoint)
        is_own = owner.name == self._own_name and self._knows_peers()
        if not is_own or now < owner.grants_from:
            pause_s = max(NOT_OWNER_PAUSE_S, owner.grants_from - now)
            if not is_own:
                pause_s = NOT_OWNER_PAUSE_S
            self._counts["not_owner"] += 1
            decide(
                permits_module.Decision(
                    key=key, granted=False, open_s=pause_s, retry_s=pause_s
                )
            )
            return
        claim = permits_module.Claim(
            key=key,
            urgency=need.urgency,
            arrived_at=now - need.waited_s,
            wait_until=now + need.max_wait_s,
            return_by=now + need.max_return_s,
        )
        self._claimants[key] = decide
        self._apply(endpoint, self._queue(endpoint).submit(claim, now))

    def _withdraw(
        self, endpoint: endpointlimits.Incarnation, key: Hashable
    ) -> None:
        self._claimants.pop(key, None)
        queue = self._queues.get(endpoint)
        if queue is not None:
            queue.withdraw(key)

    def _queue(
        self, endpoint: endpointlimits.Incarnation
    ) -> permits_module.PermitQueue:
        now = self._timers.now
        per_s = max(self._limits.limit_of(endpoint) or 0.0, MIN_RATE_PER_S)
        per_s *= self._share.fraction(now)
        queue = self._queues.get(endpoint)
        if queue is None:
            queue = permits_module.PermitQueue(per_s=per_s, now=now)
            self._queues[endpoint] = queue
        else:
            queue.set_rate(per_s, now)
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
                self._counts["granted"] += 1
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
            queue = self._queue(endpoint)
            self._apply(endpoint, queue.decide(self._timers.now))

    # Owners.

    def _owner(self, endpoint: endpointlimits.Incarnation) -> _Owner:
        """Returns an endpoint's owner, and notes if it has changed."""
        now = self._timers.now
        name = self._find_owners(endpoint[0])[0]
        known = self._owners.get(endpoint)
        if known is not None and known.name == name:
            return known
        if known is None:
            grants_from = self._view_changed_at + JOIN_S
        elif known.name in self._present():
            grants_from = now + JOIN_S
        else:
            grants_from = now + SUCCESSION_S
        owner = _Owner(name=name, grants_from=grants_from)
        self._owners[endpoint] = owner
        self._log.note(
            "permit_owner_changed",
            endpoint=endpoint[0],
            born_ms=endpoint[1],
            owner=name,
            before=None if known is None else known.name,
            grants_in_s=round(max(0.0, grants_from - now), 3),
            present=len(self._present()),
            fraction=round(self._share.fraction(now), 3),
        )
        return owner

    def _check(self) -> None:
        now, present = self._timers.now, self._present()
        if present != self._seen:
            self._seen = list(present)
            self._view_changed_at = now
        self._share.update(
            map(fleetmembers.host_of, self._in_contact()),
            self._announced(),
            now,
        )
        limited = set(self._limits.limited())
        for endpoint in limited:
            self._owner(endpoint)
        for endpoint in self._owners.keys() - limited:
            del self._owners[endpoint]
        for endpoint in list(self._queues):
            self._check_queue(endpoint, endpoint in limited)
        self._closures = {
            endpoint: closure
            for endpoint, closure in self._closures.items()
            if max(closure.until, closure.returns_until) > now
        }

    def _check_queue(
        self, endpoint: endpointlimits.Incarnation, is_limited: bool
    ) -> None:
        """Ends a queue whose limit has ended or that another host owns now."""
        is_own = is_limited and self._owner(endpoint).name == self._own_name
        if is_own:
            return
        queue = self._queues.pop(endpoint)
        decisions = queue.close(self._timers.now)
        if not is_limited:
            decisions = [attrs.evolve(one, granted=True) for one in decisions]
        self._apply(endpoint, decisions)
