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
    """Selects endpoints and peers again with each host list."""

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
            kernel: Passes the selection to other services.
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
        """The hosts on the host list, always including this one."""
        return self._hosts

    @property
    def listed_address(self) -> str:
        """This host's address on the host list."""
        peer = self._own_peer_address()
        for host in self._hosts:
            if host.peer == peer:
                return host.address
        return self._own_address()

    async def start(self) -> None:
        """Does nothing: the host list arrives as a message."""

    async def stop(self) -> None:
        """Does nothing: no resources are open."""

    def receive(self, message: Any) -> None:
        """Handles new host lists."""
        if isinstance(message, membership.HostList):
            self._update(message)

    def dump(self) -> dict[str, Any]:
        """Returns the endpoints that this host is connected to."""
        return {"own": self.listed_address, "tied": sorted(self._connected)}

    def _update(self, message: membership.HostList) -> None:
        hosts = message.hosts
        peer = self._own_peer_address()
        if not any(host.peer == peer for host in hosts):
            # The list lacks a host that has just started or that the list
            # service has lost. The load balancer still sends requests to it,
            # so it needs endpoints too.
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
