"""Tracks this host's own links to endpoints.

A connection that can't be opened shows that the endpoint is down or that the
link to it is. One host alone can't tell which: another host that opens a
connection to the endpoint shows that the link is lost. Requests go by way of
such a host until the link is back.

A host that can't open connections to several endpoints, and opened none
meanwhile, takes its own links for the cause.
"""

from collections.abc import Iterable
import enum
import math

import attrs

Incarnation = tuple[str, int]

MIN_CUT_ENDPOINTS = 2
"""Number of endpoints in a row that a host can't connect to, without success
at any other one, from which on it counts as cut off from all."""

PROBE_PERIOD_S = 0.25
"""Interval between probes of one link at first; it doubles with each failed
one."""

MAX_PROBE_PERIOD_S = 2.0
"""Maximum of that interval: a link that is back is noticed within this time."""

MAX_PROBES = 4
"""Probes that are due at the same time; more would be a burst of connections
where a host has links to many endpoints."""

RESTORE_S = 0.5
"""Time for which probes of a lost link must succeed until it is used again. It
doubles each time that the link is lost again."""

MAX_RESTORE_S = 8.0
"""Maximum of that time."""

RELAPSE_S = 30.0
"""Time since a link was used again after which a new loss of it counts as the
first one."""

UNREACHED_TTL_S = 1.0
"""How long it counts that peers don't reach an endpoint either. Meanwhile
requests to it are not sent by way of peers."""


class Path(enum.Enum):
    """How a request reaches its endpoint.

    DIRECT means over this host's own link, RELAYED by way of a peer.
    """

    DIRECT = "direct"
    RELAYED = "relayed"


@attrs.define(kw_only=True)
class _Link:
    """A link on which the last connection attempt failed, or that was lost.

    Attributes:
        is_lost: Whether a peer has reached the endpoint since.
        opened_since: Since when all connection attempts succeed, or None.
        next_probe_at: Time of the next probe.
        probe_period_s: Interval to the probe after that.
        unreached_until: Up to this time, peers don't reach the endpoint.
        restore_s: Time for which probes have to succeed.
        restored_at: When the link was last used again.
    """

    is_lost: bool = False
    opened_since: float | None = None
    next_probe_at: float
    probe_period_s: float = PROBE_PERIOD_S
    unreached_until: float = -math.inf
    restore_s: float = RESTORE_S
    restored_at: float = -math.inf

    @property
    def is_failing(self) -> bool:
        """Whether the last connection attempt failed."""
        return self.opened_since is None


class EndpointLinks:
    """The links to endpoints that are lost or may be."""

    def __init__(self):
        """Creates the state of a host all of whose links are sound."""
        self._links: dict[Incarnation, _Link] = {}
        # Endpoints that could not be connected to since the last connection
        # was opened, and those to which the last attempt succeeded.
        self._failing: set[Incarnation] = set()
        self._sound: set[Incarnation] = set()
        self._last_opened_at = -math.inf
        # When endpoints were probed while this host was cut off.
        self._probed_at: dict[Incarnation, float] = {}

    @property
    def is_cut(self) -> bool:
        """Whether this host seems to be cut off from all endpoints."""
        return len(self._failing) >= MIN_CUT_ENDPOINTS

    @property
    def needs_probes(self) -> bool:
        """Whether any link may have to be probed."""
        return any(
            link.is_lost or link.is_failing for link in self._links.values()
        )

    @property
    def last_opened_at(self) -> float:
        """When a connection to any endpoint was last opened."""
        return self._last_opened_at

    @property
    def lost(self) -> list[Incarnation]:
        """The endpoints that only peers reach."""
        return [key for key, link in self._links.items() if link.is_lost]

    def path(self, endpoint: Incarnation, now: float) -> Path:
        """Returns how the next request to an endpoint is to be sent."""
        link = self._links.get(endpoint)
        if link is None or not (link.is_lost or link.is_failing):
            return Path.RELAYED if self.is_cut else Path.DIRECT
        if link.is_lost or now >= link.unreached_until:
            return Path.RELAYED
        return Path.DIRECT

    def may_be_relayed(self, endpoint: Incarnation, now: float) -> bool:
        """Returns whether peers may reach an endpoint."""
        link = self._links.get(endpoint)
        return link is None or link.is_lost or now >= link.unreached_until

    def observe_opened(self, endpoint: Incarnation, now: float) -> bool:
        """Takes in that a connection was opened; returns if that ends a loss.

        Args:
            endpoint: The endpoint.
            now: The current time in seconds.
        """
        if self.is_cut:
            # The other links are probably back as well.
            for link in self._links.values():
                link.next_probe_at = now
                link.probe_period_s = PROBE_PERIOD_S
        self._last_opened_at = now
        self._sound.add(endpoint)
        self._failing.clear()
        self._probed_at.clear()
        link = self._links.get(endpoint)
        if link is None:
            return False
        if link.opened_since is None:
            link.opened_since = now
            link.probe_period_s = PROBE_PERIOD_S
            link.next_probe_at = now + PROBE_PERIOD_S
        if not link.is_lost:
            return False
        if now - link.opened_since < link.restore_s:
            return False
        link.is_lost = False
        link.restored_at = now
        return True

    def observe_failed(self, endpoint: Incarnation, now: float) -> None:
        """Takes in that no connection could be opened."""
        self._sound.discard(endpoint)
        link = self._links.get(endpoint)
        # A link that has failed before says nothing of the others, unless none
        # of them is sound.
        if link is None or not link.is_failing or not self._sound:
            self._failing.add(endpoint)
        if link is None:
            self._links[endpoint] = _Link(next_probe_at=now + PROBE_PERIOD_S)
            return
        if not link.is_failing:
            link.next_probe_at = now + PROBE_PERIOD_S
        link.opened_since = None

    def observe_relayed(self, endpoint: Incarnation, now: float) -> bool:
        """Takes in that a peer reached an endpoint.

        Args:
            endpoint: The endpoint.
            now: The current time in seconds.

        Returns:
            Whether this shows that the link of this host is lost.
        """
        link = self._links.get(endpoint)
        if link is None or link.is_lost or not link.is_failing:
            return False
        link.is_lost = True
        link.unreached_until = -math.inf
        if now - link.restored_at < RELAPSE_S:
            link.restore_s = min(2 * link.restore_s, MAX_RESTORE_S)
        else:
            link.restore_s = RESTORE_S
        return True

    def observe_unreached(self, endpoint: Incarnation, now: float) -> None:
        """Takes in that a peer with sound links doesn't reach an endpoint."""
        self._failing.discard(endpoint)
        link = self._links.get(endpoint)
        if link is not None:
            link.unreached_until = now + UNREACHED_TTL_S

    def pick_probes(
        self, known: Iterable[Incarnation], now: float
    ) -> list[Incarnation]:
        """Returns the endpoints whose links are to be probed now.

        A host that is cut off probes one endpoint after the other, also those
        that it has not tried yet: the first one that it reaches shows that its
        links are back.

        Args:
            known: All endpoints.
            now: The current time in seconds.
        """
        if self.is_cut:
            return self._pick_next_probe(known, now)
        due = [
            (link.next_probe_at, endpoint)
            for endpoint, link in self._links.items()
            if link.next_probe_at <= now and (link.is_lost or link.is_failing)
        ]
        picked = [endpoint for _, endpoint in sorted(due)[:MAX_PROBES]]
        for endpoint in picked:
            link = self._links[endpoint]
            link.next_probe_at = now + link.probe_period_s
            if link.is_failing:
                link.probe_period_s = min(
                    2 * link.probe_period_s, MAX_PROBE_PERIOD_S
                )
        return picked

    def _pick_next_probe(
        self, known: Iterable[Incarnation], now: float
    ) -> list[Incarnation]:
        picked = min(
            known,
            key=lambda one: self._probed_at.get(one, -math.inf),
            default=None,
        )
        if picked is None:
            return []
        if now - self._probed_at.get(picked, -math.inf) < PROBE_PERIOD_S:
            return []
        self._probed_at[picked] = now
        return [picked]

    def forget(self, live: Iterable[Incarnation], now: float) -> None:
        """Drops the state of endpoints that are gone and of sound links."""
        kept = set(live)
        self._failing &= kept
        self._sound &= kept
        self._probed_at = {
            endpoint: at
            for endpoint, at in self._probed_at.items()
            if endpoint in kept
        }
        self._links = {
            endpoint: link
            for endpoint, link in self._links.items()
            if endpoint in kept
            and (
                link.is_lost
                or link.is_failing
                or now - link.restored_at < RELAPSE_S
            )
        }
