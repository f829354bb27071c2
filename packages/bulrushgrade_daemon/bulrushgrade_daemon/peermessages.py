"""Messages between the peers service and other services of a daemon."""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from bulrushgrade import membership
from bulrushgrade import publication
from bulrushgrade import subset
from bulrushgrade import work

# How many peers a daemon that is not on the host list yet connects to.
PEERS_TO_ASK = 8


@attrs.frozen(kw_only=True)
class Peer:
    """Another daemon that shares endpoints with this one.

    Attributes:
        address: Its address for peers, IP:PORT.
        shared: Addresses of the endpoints that both are connected to.
    """

    address: str
    shared: frozenset[str]


@attrs.frozen(kw_only=True)
class SetPeers:
    """Replaces the peers after a new host list.

    Attributes:
        peers: The complete set.
    """

    peers: tuple[Peer, ...]


@attrs.frozen(kw_only=True)
class ShareWithdrawn:
    """Tells peers which endpoints this daemon places no new work on.

    Attributes:
        endpoints: The addresses of all such endpoints.
    """

    endpoints: frozenset[str]


@attrs.frozen(kw_only=True)
class AskSnapshot:
    """Asks peers for the accepted documents until one answers."""


@attrs.frozen(kw_only=True)
class AnswerSnapshot:
    """Answers a peer that asked for the accepted documents.

    Attributes:
        reply_to: The routing id that came with the request.
        snapshot: The state folded from the documents stream.
    """

    reply_to: bytes
    snapshot: publication.Snapshot


@attrs.frozen(kw_only=True)
class Listeners:
    """Callbacks for the messages of peers.

    Attributes:
        on_loads: Called with a peer's address and its work in flight.
        on_demands: Called with a peer's address and its callers' demand.
        on_snapshot_request: Called with the routing id of the requester, for
            the `AnswerSnapshot` that answers it.
        on_snapshot: Called with each snapshot that a peer sends.
    """

    on_loads: Callable[[str, tuple[work.PeerLoad, ...]], None]
    on_demands: Callable[[str, tuple[work.Demand, ...]], None]
    on_snapshot_request: Callable[[bytes], None]
    on_snapshot: Callable[[publication.Snapshot], None]


def list_peers(
    subsets: subset.EndpointSubsets,
    hosts: Iterable[membership.Host],
    own_address: str,
) -> tuple[Peer, ...]:
    """Returns the peers that a daemon shares endpoints with.

    Args:
        subsets: The subsets, updated with the same hosts.
        hosts: The listed hosts.
        own_address: The address of this daemon on the host list.
    """
    peer_addresses = {host.address: host.peer for host in hosts if host.peer}
    if own_address not in peer_addresses:
        # As the host list lags, it lacks a daemon that has just started, which
        # still needs peers to request the accepted documents from.
        chosen = subset.rank(own_address, peer_addresses.values(), PEERS_TO_ASK)
        return tuple(Peer(address=a, shared=frozenset()) for a in chosen)
    return tuple(
        Peer(address=peer_addresses[address], shared=shared)
        for address, shared in sorted(subsets.find_peers(own_address).items())
        if address in peer_addresses
    )
