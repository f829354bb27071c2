"""Opens connections to endpoints, directly or by way of a peer.

`bulrushgrade.endpointlinks` decides on the path. One attempt takes one path:
the failure of a link ends it, and the next one takes another path.
"""

import collections
from collections.abc import Callable
import enum
from typing import Any

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade import directory as directory_module
from bulrushgrade import endpointlinks
from bulrushgrade import relaychoice
from bulrushgrade_daemon import connections
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import relayclient
from bulrushgrade_daemon import relayframes
from bulrushgrade_daemon import task

CONNECT_TIMEOUT_S = 0.3
"""Opening a connection takes a round trip of a few milliseconds; a lost first
packet is sent again after 0.2 s or more. If it takes longer, the host is down
or unreachable."""

VERIFIERS = 2
"""Peers that are asked whether they reach an endpoint that this host can't
connect to. Several hosts may have lost the link to the same endpoint."""

CHECK_PERIOD_S = 0.1
"""Interval between checks for due probes."""


class Cause(enum.Enum):
    """Why there is no connection to an endpoint.

    UNREACHED means that the endpoint is down as far as can be known, NO_LINK
    that the path to it failed and another one may work, NO_RELAY that no peer
    is left to ask, and WITHHELD that a peer knows that the endpoint is leaving
    or wants nothing.
    """

    UNREACHED = "unreached"
    NO_LINK = "no_link"
    NO_RELAY = "no_relay"
    WITHHELD = "withheld"


_OF_THE_ENDPOINT = frozenset(
    {
        relayframes.Status.UNREACHED,
        relayframes.Status.LINK_LOST,
        relayframes.Status.UNKNOWN,
    }
)
"""Replies for which a peer is not asked again for the same endpoint, but may be
for others."""


@attrs.frozen(kw_only=True)
class NotConnected:
    """A connection that could not be opened.

    Attributes:
        cause: Why not.
        reason: Text for logs.
        path: How it was tried.
        peer: The peer that was asked, or None.
        is_link_lost: Whether that peer says that others reach the endpoint.
        is_refused: Whether the endpoint refused it.
    """

    cause: Cause
    reason: str
    path: endpointlinks.Path
    peer: str | None = None
    is_link_lost: bool = False
    is_refused: bool = False


@attrs.frozen(kw_only=True)
class Connected:
    """An open connection for one request.

    Attributes:
        client: The connection.
        path: Its path.
        peer: The peer that relays it, or None.
    """

    client: outbound.Client
    path: endpointlinks.Path
    peer: str | None = None


@attrs.frozen(kw_only=True)
class Peers:
    """What the connector needs to know of peers.

    Attributes:
        own_name: This daemon's name among its peers.
        present: Returns the names of the peers that are present and don't say
            that they are cut off themselves.
        find_address: Returns where a peer relays connections, or None.
    """

    own_name: str
    present: Callable[[], list[str]]
    find_address: Callable[[str], tuple[str, int] | None]


class EndpointConnector:
    """Opens connections and probes the links that are lost."""

    name = "endpointconnector"
    requires = ("timer",)

    def __init__(
        self,
        *,
        reactor: Any,
        timers: Any,
        endpoints: directory_module.Directory,
        peers: Peers,
        relays: relaychoice.RelayChoice,
        on_link_lost: Callable[[directory_module.Registration], None],
        on_unreached: Callable[[directory_module.Registration, str], None],
        log: decisionlog.DecisionLog,
        on_broken: Callable[[str], None],
    ):
        """Creates the service.

        Args:
            reactor: The reactor.
            timers: The timer service.
            endpoints: The known endpoints.
            peers: The peers that may relay connections.
            relays: Chooses among them.
            on_link_lost: Called with an endpoint that only peers reach.
            on_unreached: Called with an endpoint that peers don't reach
                either, and why.
            log: Gets a line for each link that is lost or back.
            on_broken: Called with the reason if an invariant is violated.
        """
        self._reactor = reactor
        self._timers = timers
        self._endpoints = endpoints
        self._peers = peers
        self._relays = relays
        self._on_link_lost = on_link_lost
        self._on_unreached = on_unreached
        self._log = log
        self._on_broken = on_broken
        self._links = endpointlinks.EndpointLinks()
        self._was_cut = False
        self._verifying: set[endpointlinks.Incarnation] = set()
        self._counts: collections.Counter[str] = collections.Counter()
        self._tick: Any = None

    @property
    def is_cut(self) -> bool:
        """Whether this host seems to be cut off from all endpoints."""
        return self._links.is_cut

    @property
    def can_connect(self) -> bool:
        """Whether requests may reach endpoints on any path."""
        return not self.is_cut or bool(self._pick_peers(1))

    @property
    def counts(self) -> dict[str, int]:
        """Connections by path and outcome, probes, and losses of links."""
        return dict(self._counts)

    async def start(self) -> None:
        """Starts to probe lost links."""
        self._tick = self._timers.every(CHECK_PERIOD_S, self._probe_due)

    async def stop(self) -> None:
        """Starts no more probes."""
        if self._tick is not None:
            self._tick.cancel()

    def receive(self, message: Any) -> None:
        """Ignores messages."""

    def dump(self) -> dict[str, Any]:
        """Returns the lost links, the relayed connections and the counts."""
        return {
            "is_cut": self.is_cut,
            "lost": sorted(id for id, _ in self._links.lost),
            "relayed": self._relays.open_connections,
            "counts": self.counts,
        }

    async def connect(
        self,
        endpoint: directory_module.Registration,
        *,
        prefers_relay: bool = False,
        may_be_leaving: bool = False,
    ) -> Result[Connected, NotConnected]:
        """Opens a connection for one request; cancelling aborts it.

        Args:
            endpoint: The endpoint.
            prefers_relay: Whether an earlier attempt of the request has met a
                link that failed.
            may_be_leaving: Whether the request helps an endpoint that is
                leaving.
        """
        path = self._links.path(endpoint.incarnation, self._timers.now)
        if prefers_relay and self._may_be_relayed(endpoint):
            path = endpointlinks.Path.RELAYED
        if path is endpointlinks.Path.DIRECT:
            return await self.connect_directly(endpoint)
        peers = self._pick_peers(1, endpoint)
        if peers:
            return await self.connect_by(
                peers[0], endpoint, may_be_leaving=may_be_leaving
            )
        if not self.is_cut:
            return await self.connect_directly(endpoint)
        self._counts["no_relay"] += 1
        return Failure(
            NotConnected(
                cause=Cause.NO_RELAY,
                reason="cut off, and no peer can help",
                path=path,
            )
        )

    async def connect_directly(
        self, endpoint: directory_module.Registration
    ) -> Result[Connected, NotConnected]:
        """Opens a connection for one request over this host's own link.

        Args:
            endpoint: The endpoint.
        """
        path = endpointlinks.Path.DIRECT
        opened = await self.open_direct(endpoint, outbound.Client)
        if not isinstance(opened, Failure):
            return Success(Connected(client=opened.unwrap(), path=path))
        failed = opened.failure()
        cause = Cause.UNREACHED
        if self._may_be_relayed(endpoint) and self._pick_peers(1):
            cause = Cause.NO_LINK
            self._start_verifying(endpoint)
        return Failure(
            NotConnected(
                cause=cause,
                reason=failed.reason,
                path=path,
                is_refused=failed.is_refused,
            )
        )

    async def open_direct(
        self, endpoint: directory_module.Registration, build: Callable[[], Any]
    ) -> Result[Any, connections.ConnectFailed]:
        """Opens a connection over this host's own link.

        Args:
            endpoint: The endpoint.
            build: Returns the protocol of the connection.
        """
        opened = await connections.open_connection(
            self._reactor,
            endpoint.host,
            endpoint.port,
            build,
            timeout_s=CONNECT_TIMEOUT_S,
        )
        self._observe_direct(endpoint, not isinstance(opened, Failure))
        return opened

    async def open_for_peer(
        self, endpoint: directory_module.Registration, build: Callable[[], Any]
    ) -> Result[Any, relayframes.Reply]:
        """Opens a connection for a peer, over this host's own link.

        Args:
            endpoint: The endpoint.
            build: Returns the protocol of the connection.

        Returns:
            The connected protocol, or the reply for the peer.
        """
        if self.is_cut:
            return Failure(relayframes.Reply(status=relayframes.Status.CUT_OFF))
        if endpoint.incarnation in self._links.lost:
            return Failure(
                relayframes.Reply(status=relayframes.Status.LINK_LOST)
            )
        began = self._timers.now
        opened = await self.open_direct(endpoint, build)
        if not isinstance(opened, Failure):
            return opened
        failed = opened.failure()
        status = relayframes.Status.CUT_OFF
        if await self.may_judge(endpoint, began):
            status = relayframes.Status.UNREACHED
            if failed.is_refused:
                # The links of this host may have come back in between.
                opened = await self.open_direct(endpoint, build)
                if not isinstance(opened, Failure):
                    return opened
        return Failure(
            relayframes.Reply(
                status=status,
                reason=failed.reason,
                is_refused=failed.is_refused,
            )
        )

    async def connect_by(
        self,
        peer: str,
        endpoint: directory_module.Registration,
        *,
        may_be_leaving: bool = False,
    ) -> Result[Connected, NotConnected]:
        """Opens a connection by way of a peer.

        Args:
            peer: The peer.
            endpoint: The endpoint.
            may_be_leaving: Whether the request helps an endpoint that is
                leaving.
        """
        self._relays.begin(peer)
        opened = await relayclient.open_relayed(
            self._reactor,
            self._peers.find_address(peer),
            relayframes.Open(
                peer=self._peers.own_name,
                endpoint=endpoint.id,
                born_ms=endpoint.born_ms,
                may_be_leaving=may_be_leaving,
            ),
            on_closed=lambda: self._relays.end(peer),
        )
        if isinstance(opened, Failure):
            return self._handle_not_relayed(peer, endpoint, opened.failure())
        self._counts["relayed"] += 1
        self._relays.succeeded(peer)
        self._relays.observe_reach(
            peer, endpoint.incarnation, True, self._timers.now
        )
        self._observe_relayed(endpoint, peer)
        return Success(
            Connected(
                client=opened.unwrap(),
                path=endpointlinks.Path.RELAYED,
                peer=peer,
            )
        )

    async def may_judge(
        self, endpoint: directory_module.Registration, since: float
    ) -> bool:
        """Returns whether this host's links are sound.

        If so, an endpoint that it can't connect to is down, unless the link to
        just this endpoint is known to be lost. A host that has opened no
        connection since then tries one to another endpoint; where there is no
        other one, the endpoint is taken for the cause.

        Args:
            endpoint: The endpoint that can't be connected to.
            since: When the failed connection attempt began.
        """
        if endpoint.incarnation in self._links.lost:
            return False
        if self._links.last_opened_at >= since:
            return True
        others = [
            other
            for other in self._endpoints.registrations
            if other.incarnation != endpoint.incarnation
        ]
        if not others:
            return True
        opened = await task.gather(
            self._probe(other) for other in others[: endpointlinks.MAX_PROBES]
        )
        return any(opened)

    def pick_judges(self, count: int) -> list[str]:
        """Returns peers that may tell whether they reach an endpoint."""
        return self._pick_peers(count)

    def forget_gone(self) -> None:
        """Drops the state of endpoints that are no longer registered."""
        live = [found.incarnation for found in self._endpoints.registrations]
        self._links.forget(live, self._timers.now)

    def _handle_not_relayed(
        self,
        peer: str,
        endpoint: directory_module.Registration,
        failed: relayclient.NotRelayed,
    ) -> Failure:
        now = self._timers.now
        cause = Cause.NO_LINK
        if failed.status is relayframes.Status.UNREACHED:
            cause = Cause.UNREACHED
            self._links.observe_unreached(endpoint.incarnation, now)
        elif failed.status is relayframes.Status.WITHHELD:
            cause = Cause.WITHHELD
        if cause is Cause.WITHHELD:
            self._relays.observe_reach(
                peer,
                endpoint.incarnation,
                False,
                now,
                for_s=failed.withheld_s or relaychoice.NO_LINK_S,
            )
        elif failed.status in _OF_THE_ENDPOINT:
            self._relays.observe_reach(peer, endpoint.incarnation, False, now)
        elif cause is Cause.NO_LINK:
            self._relays.failed(peer, now)
        self._counts[f"relayed_{cause.value}"] += 1
        return Failure(
            NotConnected(
                cause=cause,
                reason=failed.reason,
                path=endpointlinks.Path.RELAYED,
                peer=peer,
                is_link_lost=failed.status is relayframes.Status.LINK_LOST,
                is_refused=failed.is_refused,
            )
        )

    def _may_be_relayed(self, endpoint: directory_module.Registration) -> bool:
        return self._links.may_be_relayed(
            endpoint.incarnation, self._timers.now
        )

    def _start_verifying(self, endpoint: directory_module.Registration) -> None:
        """Finds out whether an endpoint or the own link to it has failed."""
        if endpoint.incarnation in self._verifying:
            return
        self._verifying.add(endpoint.incarnation)
        task.spawn(
            self._verify(endpoint), name=self.name, on_broken=self._on_broken
        )

    async def _verify(self, endpoint: directory_module.Registration) -> None:
        results = await task.gather(
            self.connect_by(peer, endpoint)
            for peer in self._pick_peers(VERIFIERS, endpoint)
        )
        self._verifying.discard(endpoint.incarnation)
        unreached = None
        for result in results:
            if isinstance(result, Failure):
                failed = result.failure()
                if failed.cause is Cause.UNREACHED:
                    unreached = failed
            else:
                result.unwrap().client.transport.abortConnection()
        is_reached = any(not isinstance(one, Failure) for one in results)
        if unreached is not None and not is_reached:
            self._on_unreached(endpoint, unreached.reason)

    def _pick_peers(
        self,
        count: int,
        endpoint: directory_module.Registration | None = None,
    ) -> list[str]:
        peers = [
            peer
            for peer in self._peers.present()
            if self._peers.find_address(peer) is not None
        ]
        return self._relays.pick(
            peers,
            self._timers.now,
            count,
            endpoint=None if endpoint is None else endpoint.incarnation,
        )

    def _observe_direct(
        self, endpoint: directory_module.Registration, is_open: bool
    ) -> None:
        now = self._timers.now
        if not is_open:
            self._counts["direct_failed"] += 1
            self._links.observe_failed(endpoint.incarnation, now)
        elif self._links.observe_opened(endpoint.incarnation, now):
            self._counts["links_regained"] += 1
            self._log.note(
                "endpoint_link_regained",
                endpoint=endpoint.id,
                born_ms=endpoint.born_ms,
            )
        self._log_cut()

    def _observe_relayed(
        self, endpoint: directory_module.Registration, peer: str
    ) -> None:
        if not self._links.observe_relayed(
            endpoint.incarnation, self._timers.now
        ):
            return
        self._counts["links_lost"] += 1
        self._log.note(
            "endpoint_link_lost",
            endpoint=endpoint.id,
            born_ms=endpoint.born_ms,
            reached_by=peer,
            is_cut=self.is_cut,
        )
        self._on_link_lost(endpoint)

    def _log_cut(self) -> None:
        if self.is_cut == self._was_cut:
            return
        self._was_cut = self.is_cut
        event = "all_links_lost" if self.is_cut else "links_regained"
        self._counts[event] += 1
        self._log.note(
            event,
            lost=len(self._links.lost),
            peers=len(self._peers.present()),
        )

    def _probe_due(self) -> None:
        if not self._links.needs_probes:
            return
        self._relays.forget(self._peers.present(), self._timers.now)
        known = {e.incarnation: e for e in self._endpoints.registrations}
        picked = self._links.pick_probes(known, self._timers.now)
        for endpoint in (known[one] for one in picked if one in known):
            task.spawn(
                self._probe(endpoint),
                name=self.name,
                on_broken=self._on_broken,
            )

    async def _probe(self, endpoint: directory_module.Registration) -> bool:
        """Returns whether a connection can be opened over the own link."""
        self._counts["probes"] += 1
        failed = await connections.find_connect_error(
            self._reactor,
            endpoint.host,
            endpoint.port,
            timeout_s=CONNECT_TIMEOUT_S,
        )
        self._observe_direct(endpoint, failed is None)
        return failed is None
