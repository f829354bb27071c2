"""Messages between daemons about their loads, and the state kept of peers.

Peers' messages only make placement decisions more current; no invariant
depends on them. A lost, late or repeated message therefore costs at most a
worse choice of endpoint.
"""

from collections.abc import Iterable

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade import codec
from bulrushgrade import errors
from bulrushgrade import publication
from bulrushgrade import work

# Number of earlier incarnations remembered per peer, to drop messages of a
# process that has been replaced. Late messages arrive within seconds, in which
# no host restarts eight times.
MAX_RETIRED_INCARNATIONS = 8


@attrs.frozen(kw_only=True)
class Header:
    """Identifies a message and its order among its sender's messages.

    Attributes:
        sender: The sender's address in the host list.
        incarnation: A random number that the sender's process chose at start.
        sequence: A number that increases with each message of the process.
    """

    sender: str
    incarnation: int
    sequence: int


@attrs.frozen(kw_only=True)
class Loads:
    """The sender's requests in flight; endpoints without any are omitted.

    The columns have equal lengths. Rows as objects would repeat every field
    name and triple the size of the message that is sent most often.

    Attributes:
        header: The message header.
        endpoints: Addresses of endpoints.
        running: Requests in flight on each.
        prefill_backlog_tokens: Prompt tokens that each has yet to prefill.
        short_backlog_tokens: The part of the backlog that is prefilled first.
        kv_tokens: Tokens of KV cache that the requests use on each.
    """

    header: Header
    endpoints: tuple[str, ...]
    running: tuple[int, ...]
    prefill_backlog_tokens: tuple[int, ...]
    short_backlog_tokens: tuple[int, ...]
    kv_tokens: tuple[int, ...]


@attrs.frozen(kw_only=True)
class Withdrawn:
    """The endpoints on which the sender places no new work.

    Attributes:
        header: The message header.
        endpoints: The complete list, so that the next message makes up for a
            lost one.
    """

    header: Header
    endpoints: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Demands:
    """The demand of the sender's callers, as input for the role plan.

    Attributes:
        header: The message header.
        demands: Counters since the sender's start, one entry per model.
    """

    header: Header
    demands: tuple[work.Demand, ...]


@attrs.frozen(kw_only=True)
class SnapshotRequest:
    """A request of a starting daemon for the accepted documents.

    Attributes:
        header: The message header.
    """

    header: Header


@attrs.frozen(kw_only=True)
class SnapshotReply:
    """The accepted documents of a daemon.

    Attributes:
        header: The message header.
        snapshot: The state folded from the documents stream.
    """

    header: Header
    snapshot: publication.Snapshot


State = Loads | Withdrawn | Demands
Message = State | SnapshotRequest | SnapshotReply

CODEC = codec.Codec(
    kinds=(Loads, Withdrawn, Demands, SnapshotRequest, SnapshotReply)
)


def make_loads(header: Header, loads: Iterable[work.PeerLoad]) -> Loads:
    """Returns a message with the given loads; idle endpoints are omitted."""
    busy = [x for x in loads if x != work.PeerLoad(endpoint=x.endpoint)]
    return Loads(
        header=header,
        endpoints=tuple(load.endpoint for load in busy),
        running=tuple(load.running for load in busy),
        prefill_backlog_tokens=tuple(x.prefill_backlog_tokens for x in busy),
        short_backlog_tokens=tuple(x.short_backlog_tokens for x in busy),
        kv_tokens=tuple(load.kv_tokens for load in busy),
    )


def read_loads(message: Loads) -> tuple[work.PeerLoad, ...]:
    """Returns the loads in a message, one per endpoint."""
    columns = zip(
        message.endpoints,
        message.running,
        message.prefill_backlog_tokens,
        message.short_backlog_tokens,
        message.kv_tokens,
        strict=True,
    )
    return tuple(
        work.PeerLoad(
            endpoint=endpoint,
            running=running,
            prefill_backlog_tokens=backlog,
            short_backlog_tokens=short,
            kv_tokens=kv_tokens,
        )
        for endpoint, running, backlog, short, kv_tokens in columns
    )


def parse_message(raw: bytes) -> Result[Message, errors.BadRecord]:
    """Returns the message parsed from bytes, or the reason for a failure."""
    try:
        parsed = CODEC.parse(raw)
    except (TypeError, RecursionError) as error:
        # The kind is not a text, or brackets are nested too deeply. Otherwise
        # anything that can reach the peer port could crash the daemon with
        # one such message.
        return Failure(errors.BadRecord(reason=str(error)))
    return parsed.bind(_check_columns)


def serialize_message(message: Message) -> bytes:
    """Returns a message serialized to bytes."""
    return CODEC.serialize(message)


def _check_columns(message: Message) -> Result[Message, errors.BadRecord]:
    if not isinstance(message, Loads):
        return Success(message)
    checked = (
        message.running,
        message.prefill_backlog_tokens,
        message.kv_tokens,
    )
    if any(len(column) != len(message.endpoints) for column in checked):
        return Failure(errors.BadRecord(reason="columns of unequal length"))
    # A negative load would make a busy engine look idle to all peers.
    if any(value < 0 for column in checked for value in column):
        return Failure(errors.BadRecord(reason="negative load"))
    return Success(message)


@attrs.define(kw_only=True)
class _Peer:
    """The known state of one sender."""

    incarnation: int
    retired: tuple[int, ...] = ()
    sequences: dict[type, int] = attrs.field(factory=dict)
    withdrawn: frozenset[str] = frozenset()


class PeerView:
    """The newest message and the withdrawn endpoints of each peer."""

    def __init__(self):
        self._peers: dict[str, _Peer] = {}

    @property
    def senders(self) -> tuple[str, ...]:
        """The peers that have sent a message, sorted."""
        return tuple(sorted(self._peers))

    def accept(self, message: State) -> Result[None, errors.StalePeerMessage]:
        """Accepts a message unless a newer one arrived before it.

        Clocks of different hosts are never compared, so incarnations have no
        inherent order: an unknown one is newer, and a replaced one stays
        rejected.
        """
        header = message.header
        peer = self._peers.get(header.sender)
        if peer is None:
            peer = _Peer(incarnation=header.incarnation)
            self._peers[header.sender] = peer
        if header.incarnation in peer.retired or (
            header.incarnation == peer.incarnation
            and header.sequence <= peer.sequences.get(type(message), -1)
        ):
            return Failure(
                errors.StalePeerMessage(
                    sender=header.sender, sequence=header.sequence
                )
            )
        if header.incarnation != peer.incarnation:
            retired = (peer.incarnation, *peer.retired)
            peer = _Peer(
                incarnation=header.incarnation,
                retired=retired[:MAX_RETIRED_INCARNATIONS],
            )
            self._peers[header.sender] = peer
        # Sequence numbers are kept per kind of message: a late message may
        # still be the newest of its kind when another kind is further ahead.
        peer.sequences[type(message)] = header.sequence
        if isinstance(message, Withdrawn):
            peer.withdrawn = frozenset(message.endpoints)
        return Success(None)

    def keep(self, senders: Iterable[str]) -> None:
        """Drops the state of all other peers."""
        kept = set(senders)
        self._peers = {s: p for s, p in self._peers.items() if s in kept}

    def find_unconfirmed(
        self, endpoint: str, peers: Iterable[str]
    ) -> tuple[str, ...]:
        """Returns the peers that may still place work on an endpoint.

        A peer that has sent no message counts as unconfirmed. The caller must
        bound the wait, since a disconnected peer never confirms; the endpoint
        is then protected by its own refusal.
        """
        return tuple(
            sorted(
                peer
                for peer in peers
                if peer not in self._peers
                or endpoint not in self._peers[peer].withdrawn
            )
        )

    def dump(self) -> dict[str, object]:
        """Returns the view for operators, ready for JSON."""
        return {
            sender: {
                "incarnation": peer.incarnation,
                "sequence": max(peer.sequences.values(), default=None),
                "withdrawn": sorted(peer.withdrawn),
            }
            for sender, peer in sorted(self._peers.items())
        }
