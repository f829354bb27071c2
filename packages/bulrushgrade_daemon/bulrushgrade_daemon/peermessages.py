"""Messages between the peers service and other services of a daemon."""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from bulrushgrade import membership
from bulrushgrade import publication
from bulrushgrade import subset
from bulrushgrade import work

# How many daemons one that is not listed yet turns to.
PEERS_TO_ASK = 8


@attrs.frozen(kw_only=True)
class Peer:
    """Another daemon that shares endpoints with this one.

    Attributes:
        address: Its address for daemons, IP:PORT.
        shared: Addresses of the endpoints that both are tied to.
    """

    address: str
    shared: frozenset[str]


@attrs.frozen(kw_only=True)
class SetPeers:
    """Replaces the peers, after a newer host list.

    Attributes:
        peers: All of them.
    """

    peers: tuple[Peer, ...]


@attrs.frozen(kw_only=True)
class ShareWithdrawn:
    """Tells peers which endpoints this daemon places no new work on.

    Attributes:
        endpoints: All of them, as addresses.
    """

    endpoints: frozenset[str]


@attrs.frozen(kw_only=True)
class AskSnapshot:
    """Asks peers for the accepted documents until one answers."""


@attrs.frozen(kw_only=True)
class AnswerSnapshot:
    """Answers a peer that asked for the accepted documents.

    Attributes:
        reply_to: As it came with the request.
        snapshot: The state of the fold of the documents stream.
    """

    reply_to: bytes
    snapshot: publication.Snapshot


@attrs.frozen(kw_only=True)
class Listeners:
    """Who hears what peers say.

    Attributes:
        on_loads: Called with a peer's address and all that it has in flight.
        on_demands: Called with a peer's address and what it was asked for.
        on_snapshot_request: Called with where the answer goes; it is sent as
            `AnswerSnapshot`.
        on_snapshot: Called with each snapshot that peers answer.
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
    """Returns the peers of a daemon by the present subsets.

    Args:
        subsets: The subsets, updated with the same hosts.
        hosts: The listed hosts.
        own_address: The address of this daemon as the list shows it.
    """
    peer_addresses = {host.address: host.peer for host in hosts if host.peer}
    if own_address not in peer_addresses:
        # The list lags: a daemon that has just started is not on it, but has
        # to ask somebody for the accepted documents.
        chosen = subset.rank(own_address, peer_addresses.values(), PEERS_TO_ASK)
        return tuple(Peer(address=a, shared=frozenset()) for a in chosen)
    return tuple(
        Peer(address=peer_addresses[address], shared=shared)
        for address, shared in sorted(subsets.find_peers(own_address).items())
        if address in peer_addresses
    )
