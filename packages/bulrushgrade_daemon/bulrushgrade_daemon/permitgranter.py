"""Grants the permits for the endpoints that this host owns.

The owner of an endpoint is the first host that rendezvous hashing picks by its
id. Hosts that see the same peers find the same owner. Where they don't for a
moment, a host that has become the owner waits before it grants.
"""

import collections
from collections.abc import Callable
from collections.abc import Hashable
from typing import Any

import attrs

from bulrushgrade import endpointlimits
from bulrushgrade import fleetmembers
from bulrushgrade import hostshare
from bulrushgrade import permits as permits_module
from bulrushgrade_daemon import claimqueues
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import fleetview
from bulrushgrade_daemon import ratelimits

NOT_OWNER_PAUSE_S = 0.1
"""Time for which an endpoint is not used if the queried host does not take
itself for its owner. Hosts agree again with one of the next messages."""

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
class _Owner:
    """The owner of an endpoint's permits in this host's view.

    Attributes:
        name: The owner.
        grants_from: When it begins to grant, if it is this host.
    """

    name: str
    grants_from: float


@attrs.frozen(kw_only=True)
class Contacts:
    """Functions that tell which hosts there are.

    Attributes:
        find_owners: Returns the owners of an endpoint; the first one grants
            its permits.
        present: Returns the daemons that are present, this one included.
        in_contact: Returns those of them that hear this one.
        find_voters: Returns those of them that take this one for the owner of
            an endpoint's permits; this one among them if it does so itself.
        announced: Returns the other hosts that have announced themselves.
        knows_peers: Returns whether these have been read since the start.
    """

    find_owners: Callable[[str], list[str]]
    present: Callable[[], list[str]]
    in_contact: Callable[[], list[str]]
    find_voters: Callable[[str], list[str]]
    announced: Callable[[], list[str]]
    knows_peers: Callable[[], bool]

    @classmethod
    def of_fleet(
        cls,
        find_fleet: Callable[[], fleetview.FleetView],
        *,
        announced: Callable[[], list[str]],
        knows_peers: Callable[[], bool],
    ) -> "Contacts":
        """Returns the contacts that a view of the fleet tells.

        Args:
            find_fleet: Returns the view.
            announced: See the attribute.
            knows_peers: See the attribute.
        """
        return cls(
            find_owners=lambda id: find_fleet().find_owners(id),
            present=lambda: find_fleet().present,
            in_contact=lambda: find_fleet().in_contact(),
            find_voters=lambda id: find_fleet().find_voters(id),
            announced=announced,
            knows_peers=knows_peers,
        )


class PermitGranter:
    """The claims for the endpoints that this host owns."""

    def __init__(
        self,
        *,
        timers: Any,
        own_name: str,
        limits: ratelimits.RateLimits,
        contacts: Contacts,
        counts: collections.Counter[str],
        log: decisionlog.DecisionLog,
    ):
        """Creates a granter without claims.

        Args:
            timers: The timer service.
            own_name: This daemon's name among its peers.
            limits: The limits that endpoints state.
            contacts: Tells which hosts there are.
            counts: Counts the permits that are granted.
            log: Gets a line for each change of an owner.
        """
        self._timers = timers
        self._own_name = own_name
        self._limits = limits
        self._contacts = contacts
        self._counts = counts
        self._log = log
        self._share = hostshare.HostShare()
        self._seen: list[str] = []
        self._view_changed_at = timers.now
        self._owners: dict[endpointlimits.Incarnation, _Owner] = {}
        # The hosts that take this one for an endpoint's owner. Finding them
        # takes too long for each claim, so they are kept until the next check.
        self._voters: dict[str, frozenset[str]] = {}

        def observe_grant() -> None:
            counts["granted"] += 1

        self._queues = claimqueues.ClaimQueues(
            timers=timers,
            make_queue=lambda endpoint: permits_module.PermitQueue(
                per_s=self._rate_per_s(endpoint), now=timers.now
            ),
            rate_per_s=self._rate_per_s,
            observe_grant=observe_grant,
        )

    def stop(self) -> None:
        """Cancels all timers."""
        self._queues.stop()

    def dump(self) -> dict[str, Any]:
        """Returns the queues, and the part of limits that is granted."""
        return {
            "queues": self._queues.dump(),
            "fraction": round(self._share.fraction(self._timers.now), 3),
        }

    def find_owner(self, endpoint: endpointlimits.Incarnation) -> str:
        """Returns the daemon that grants the permits for an endpoint."""
        return self._owner(endpoint).name

    def submit(
        self,
        endpoint: endpointlimits.Incarnation,
        claim: permits_module.Claim,
        decide: claimqueues.Decide,
    ) -> None:
        """Decides on a claim now or later.

        Args:
            endpoint: The endpoint that the permit is for.
            claim: The claim.
            decide: Called with the decision, once unless it is withdrawn.
        """
        now = self._timers.now
        if self._limits.limit_of(endpoint) is None:
            decide(permits_module.Decision(key=claim.key, granted=True))
            return
        pause_s = self._pause_s(endpoint, now)
        if pause_s > 0:
            self._counts["not_owner"] += 1
            decision = permits_module.Decision(
                key=claim.key, granted=False, open_s=pause_s, retry_s=pause_s
            )
            decide(decision)
            return
        self._queues.submit(endpoint, claim, decide)

    def _pause_s(
        self, endpoint: endpointlimits.Incarnation, now: float
    ) -> float:
        """Returns how long this host grants no permits for an endpoint."""
        owner = self._owner(endpoint)
        if owner.name != self._own_name or not self._contacts.knows_peers():
            return NOT_OWNER_PAUSE_S
        return max(0.0, owner.grants_from - now)

    def withdraw(
        self, endpoint: endpointlimits.Incarnation, key: Hashable
    ) -> None:
        """Drops a claim that is not needed any more."""
        self._queues.withdraw(endpoint, key)

    def check(self) -> None:
        """Checks for changed owners and lost peers; called periodically."""
        now, present = self._timers.now, self._contacts.present()
        if present != self._seen:
            self._seen = list(present)
            self._view_changed_at = now
        self._share.update(
            map(fleetmembers.host_of, self._contacts.in_contact()),
            self._contacts.announced(),
            now,
        )
        self._voters.clear()
        limited = set(self._limits.limited())
        for endpoint in limited:
            self._owner(endpoint)
        for endpoint in self._owners.keys() - limited:
            del self._owners[endpoint]
        for endpoint in self._queues.endpoints:
            self._check_queue(endpoint, endpoint in limited)

    def _rate_per_s(self, endpoint: endpointlimits.Incarnation) -> float:
        """Returns the rate that this side grants."""
        per_s = max(self._limits.limit_of(endpoint) or 0.0, MIN_RATE_PER_S)
        return per_s * self._fraction(endpoint)

    def _fraction(self, endpoint: endpointlimits.Incarnation) -> float:
        """Returns the part of an endpoint's limit that this host grants."""
        id = endpoint[0]
        voters = self._voters.get(id)
        if voters is None:
            names = self._contacts.find_voters(id)
            voters = frozenset(map(fleetmembers.host_of, names))
            self._voters[id] = voters
        return self._share.fraction(self._timers.now, voters)

    def _owner(self, endpoint: endpointlimits.Incarnation) -> _Owner:
        """Returns an endpoint's owner, and notes if it has changed."""
        now = self._timers.now
        name = self._contacts.find_owners(endpoint[0])[0]
        known = self._owners.get(endpoint)
        if known is not None and known.name == name:
            return known
        if known is None:
            grants_from = self._view_changed_at + JOIN_S
        elif known.name in self._contacts.present():
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
            present=len(self._contacts.present()),
            fraction=round(self._fraction(endpoint), 3),
        )
        return owner

    def _check_queue(
        self, endpoint: endpointlimits.Incarnation, is_limited: bool
    ) -> None:
        """Ends a queue whose limit has ended or that another host owns now."""
        is_own = is_limited and self._owner(endpoint).name == self._own_name
        if is_own:
            return
        self._queues.close(endpoint, grants=not is_limited)
