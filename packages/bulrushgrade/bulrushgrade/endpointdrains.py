"""Endpoints that state in their answers that they are leaving.

An endpoint also registers that it leaves, but that record may arrive many
seconds later, as the store may be unavailable. Hosts exchange what they
observe, so the same drain may be reported several times and in any order. A
drain holds until the endpoint has ended: an endpoint that leaves does not
become ready again, and a restarted one is another incarnation.
"""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from bulrushgrade import endpointlimits

FORGET_S = 60.0
"""Time after which a drain is dropped if its endpoint is not known any more. A
registration that was removed may return within this time."""


@attrs.frozen(kw_only=True)
class Drain:
    """What is known of an endpoint that leaves.

    Attributes:
        since: The earliest time at which it is known to have stated this.
        confirmed_at: The latest time.
    """

    since: float
    confirmed_at: float


class EndpointDrains:
    """The endpoints that state that they are leaving, by incarnation."""

    def __init__(self):
        self._known: dict[endpointlimits.Incarnation, Drain] = {}
        self._ids: frozenset[str] = frozenset()

    @property
    def ids(self) -> frozenset[str]:
        """The ids of these endpoints, of any incarnation.

        Most endpoints are not among them, which is faster to find out here
        where thousands are checked for each request.
        """
        return self._ids

    def __len__(self) -> int:
        return len(self._known)

    def items(self) -> Iterable[tuple[endpointlimits.Incarnation, Drain]]:
        """Returns all drains."""
        return self._known.items()

    def since(self, endpoint: endpointlimits.Incarnation) -> float | None:
        """Returns since when an endpoint is leaving, None if it isn't."""
        known = self._known.get(endpoint)
        return None if known is None else known.since

    def observe(
        self, endpoint: endpointlimits.Incarnation, as_of: float
    ) -> bool:
        """Takes in a statement of an endpoint; returns whether it is news.

        Args:
            endpoint: The endpoint.
            as_of: When it stated that it is leaving.
        """
        known = self._known.get(endpoint)
        if known is None:
            self._known[endpoint] = Drain(since=as_of, confirmed_at=as_of)
            self._ids |= {endpoint[0]}
            return True
        self._known[endpoint] = Drain(
            since=min(known.since, as_of),
            confirmed_at=max(known.confirmed_at, as_of),
        )
        return False

    def forget(
        self,
        now: float,
        is_known: Callable[[endpointlimits.Incarnation], bool],
    ) -> None:
        """Drops drains of endpoints that have ended, to bound memory.

        Args:
            now: The current time.
            is_known: Returns whether an incarnation is still remembered.
        """
        for endpoint, drain in list(self._known.items()):
            is_old = now - drain.confirmed_at >= FORGET_S
            if is_old and not is_known(endpoint):
                del self._known[endpoint]
        self._ids = frozenset(id for id, _ in self._known)
