"""What other daemons say of their loads, and how far it is believed.

Peers' messages make placement fresher and never truer: nothing that must
hold rests on one. A lost, late or repeated message therefore costs a worse
choice of endpoint and no more.
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

# How many earlier incarnations of a peer are remembered, to drop messages of
# a process that has been replaced. Late messages come within seconds, and no
# host restarts eight times in that.
MAX_RETIRED_INCARNATIONS = 8


@attrs.frozen(kw_only=True)
class Header:
    """Where a message stands among its sender's messages.

    Attributes:
        sender: The sender's address as the host list shows it.
        incarnation: A random number that the sender's process drew once.
        sequence: Goes up with each message of the process.
    """

    sender: str
    incarnation: int
    sequence: int


@attrs.frozen(kw_only=True)
class Loads:
    """What the sender has in flight; endpoints without any are left out.

    The columns have equal lengths. Rows as objects would repeat every field
    name and triple the bytes of the message that is sent most.

    Attributes:
        header: The place among the sender's messages.
        endpoints: Addresses of endpoints.
        running: Requests in flight on each.
        prefill_backlog_tokens: Prompt tokens that each has yet to read.
        short_backlog_tokens: Those of the backlog that are read first.
        kv_tokens: Tokens of KV cache that the requests take up on each.
    """

    header: Header
    endpoints: tuple[str, ...]
    running: tuple[int, ...]
    prefill_backlog_tokens: tuple[int, ...]
    short_backlog_tokens: tuple[int, ...]
    kv_tokens: tuple[int, ...]


@attrs.frozen(kw_only=True)
class Withdrawn:
    """The endpoints that the sender places no new work on.

    Attributes:
        header: The place among the sender's messages.
        endpoints: All of them, so that a lost message is mended by the next.
    """

    header: Header
    endpoints: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Demands:
    """What callers have asked the sender for, for the plan of roles.

    Attributes:
        header: The place among the sender's messages.
        demands: Counters since the sender's start, one entry a model.
    """

    header: Header
    demands: tuple[work.Demand, ...]


@attrs.frozen(kw_only=True)
class SnapshotRequest:
    """A starting daemon asks for the accepted documents.

    Attributes:
        header: The place among the sender's messages.
    """

    header: Header


@attrs.frozen(kw_only=True)
class SnapshotReply:
    """The accepted documents of a daemon.

    Attributes:
        header: The place among the sender's messages.
        snapshot: The state of its fold of the documents stream.
    """

    header: Header
    snapshot: publication.Snapshot


State = Loads | Withdrawn | Demands
Message = State | SnapshotRequest | SnapshotReply

CODEC = codec.Codec(
    kinds=(Loads, Withdrawn, Demands, SnapshotRequest, SnapshotReply)
)


def make_loads(header: Header, loads: Iterable[work.PeerLoad]) -> Loads:
    """Returns the message of some loads; idle endpoints are left out."""
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
    """Returns the loads in a message, one an endpoint."""
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
    """Returns the message in some bytes, or why there is none."""
    try:
        parsed = CODEC.parse(raw)
    except (TypeError, RecursionError) as error:
        # A kind that is no text, or brackets nested without end. Whatever can
        # reach the peers' port could stop the daemon with one such message.
        return Failure(errors.BadRecord(reason=str(error)))
    return parsed.bind(_check_columns)


def serialize_message(message: Message) -> bytes:
    """Returns the bytes of a message."""
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
    # A load below zero would make a busy engine look idle to all its peers.
    if any(value < 0 for column in checked for value in column):
        return Failure(errors.BadRecord(reason="a load below zero"))
    return Success(message)


@attrs.define(kw_only=True)
class _Peer:
    """What is known of one sender."""

    incarnation: int
    retired: tuple[int, ...] = ()
    sequences: dict[type, int] = attrs.field(factory=dict)
    withdrawn: frozenset[str] = frozenset()


class PeerView:
    """How far each peer has been heard, and what it has withdrawn."""

    def __init__(self):
        self._peers: dict[str, _Peer] = {}

    @property
    def senders(self) -> tuple[str, ...]:
        """The peers that have been heard, sorted."""
        return tuple(sorted(self._peers))

    def accept(self, message: State) -> Result[None, errors.StalePeerMessage]:
        """Takes a message, unless a newer one has overtaken it.

        Clocks of two hosts are never compared, so incarnations have no order
        of their own: one that has not been seen is the newer, and one that
        has been left behind stays behind.
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
        # Counted a kind of message: a late one of one kind may still be the
        # newest of its kind when the other kind has gone ahead.
        peer.sequences[type(message)] = header.sequence
        if isinstance(message, Withdrawn):
            peer.withdrawn = frozenset(message.endpoints)
        return Success(None)

    def keep(self, senders: Iterable[str]) -> None:
        """Forgets every peer but these."""
        kept = set(senders)
        self._peers = {s: p for s, p in self._peers.items() if s in kept}

    def find_unconfirmed(
        self, endpoint: str, peers: Iterable[str]
    ) -> tuple[str, ...]:
        """Returns the peers that may still place work on an endpoint.

        A peer that was never heard counts as placing: its silence is no
        word. Its owner must bound the wait, since a peer that is cut off
        never confirms; the endpoint's own refusal is what then protects.
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
        """Returns the view for a person, ready for JSON."""
        return {
            sender: {
                "incarnation": peer.incarnation,
                "sequence": max(peer.sequences.values(), default=None),
                "withdrawn": sorted(peer.withdrawn),
            }
            for sender, peer in sorted(self._peers.items())
        }
