"""Selects the endpoints and peers of this host from the host list.

At the target size no state is broadcast to every host: a host places work
only on the endpoints that it is connected to, and receives loads only from
hosts that share one of them. At today's size the selection is a full mesh.
"""

from collections.abc import Callable
from typing import Any

from bulrushgrade import membership
from bulrushgrade import subset
from bulrushgrade_daemon import documents
from bulrushgrade_daemon import peermessages


class Mesh:
    """Works out the ties again with each host list."""

    name = "mesh"
    requires = ("hostlist", "peers", "placing", "fleet", "documents")

    def __init__(
        self,
        *,
        kernel: Any,
        zone: str,
        region: str,
        own_address: Callable[[], str],
        own_peer_address: Callable[[], str],
    ):
        """Makes the service.

        Args:
            kernel: Passes on the lists and the peers.
            zone: This host's availability zone.
            region: The region of that zone.
            own_address: Returns the address for callers.
            own_peer_address: Returns the address for peers.
        """
        self._kernel = kernel
        self._zone = zone
        self._region = region
        self._own_address = own_address
        self._own_peer_address = own_peer_address
        self._subsets = subset.EndpointSubsets()
        self._hosts: tuple[membership.Host, ...] = ()
        self._connected: frozenset[str] = frozenset()

    @property
    def hosts(self) -> tuple[membership.Host, ...]:
        """The listed hosts, this one included in any case."""
        return self._hosts

    @property
    def listed_address(self) -> str:
        """This host's address as the list shows it."""
        peer = self._own_peer_address()
        for host in self._hosts:
            if host.peer == peer:
                return host.address
        return self._own_address()

    async def start(self) -> None:
        """Needs nothing opened."""

    async def stop(self) -> None:
        """Has nothing open."""

    def receive(self, message: Any) -> None:
        """Takes lists of hosts."""
        if isinstance(message, membership.HostList):
            self._update(message)

    def dump(self) -> dict[str, Any]:
        """Returns the endpoints that this host is connected to."""
        return {"own": self.listed_address, "tied": sorted(self._connected)}

    def _update(self, message: membership.HostList) -> None:
        hosts = message.hosts
        peer = self._own_peer_address()
        if not any(host.peer == peer for host in hosts):
            # The list lags behind a host that has just started, or that the
            # list service has lost sight of. It serves what the balancer
            # sends all the same, so it needs ties of its own.
            hosts = (*hosts, self._make_own_host())
        self._hosts = hosts
        self._subsets.update(hosts)
        self._connected = self._subsets.get_endpoints(self.listed_address)
        connected_list = membership.HostList(
            version=message.version,
            hosts=tuple(h for h in hosts if h.address in self._connected),
        )
        for name in ("placing", "fleet"):
            self._kernel.send(name, connected_list)
        live = tuple(
            host.address
            for host in membership.select_live(hosts)
            if host.kind is membership.Kind.ENTRY
        )
        self._kernel.send(
            "documents",
            documents.LiveDaemons(own_address=self.listed_address, live=live),
        )
        peers = peermessages.list_peers(
            self._subsets, hosts, self.listed_address
        )
        self._kernel.send("peers", peermessages.SetPeers(peers=peers))

    def _make_own_host(self) -> membership.Host:
        return membership.Host(
            address=self._own_address(),
            kind=membership.Kind.ENTRY,
            service="",
            zone=self._zone,
            region=self._region,
            state=membership.ListedState.LIVE,
            peer=self._own_peer_address(),
        )
