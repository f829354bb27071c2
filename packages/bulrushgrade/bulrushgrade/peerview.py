"""What other daemons say of their loads, and how far it is believed.

Peers' messages make placement fresher and never truer: nothing that must
hold rests on one. A lost, late or repeated message therefore costs a worse
choice of endpoint and no more.
"""

from collections.abc import Iterable
import math

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade import codec
from bulrushgrade import errors

# Loads older than this are left out. An engine's own report covers them by
# then, and counting both would count the same work twice.
MAX_AGE_S = 3.0
# How many earlier incarnations of a peer are remembered, to drop messages of
# a process that has been replaced. Late messages come within seconds, and no
# host restarts eight times in that.
RETIRED_INCARNATIONS = 8


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
        requests: Requests in flight on each.
        prefill_tokens: Prompt tokens not yet known to be read by each.
        decode_tokens: Expected tokens of answer still to come from each.
    """

    header: Header
    endpoints: tuple[str, ...]
    requests: tuple[int, ...]
    prefill_tokens: tuple[int, ...]
    decode_tokens: tuple[int, ...]


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
        offset: The offset of the documents stream that the state is at.
        body: The serialized state, as its fold writes it.
    """

    header: Header
    offset: int
    body: str


Message = Loads | Withdrawn | SnapshotRequest | SnapshotReply

CODEC = codec.Codec(kinds=(Loads, Withdrawn, SnapshotRequest, SnapshotReply))


@attrs.frozen(kw_only=True)
class Load:
    """Work in flight on one endpoint.

    Attributes:
        requests: Requests.
        prefill_tokens: Prompt tokens not yet known to be read.
        decode_tokens: Expected tokens of answer still to come.
    """

    requests: int = 0
    prefill_tokens: int = 0
    decode_tokens: int = 0


def make_loads(header: Header, loads: dict[str, Load]) -> Loads:
    """Returns the message of some loads by endpoint, zero loads left out."""
    rows = [(e, x) for e, x in sorted(loads.items()) if x != Load()]
    return Loads(
        header=header,
        endpoints=tuple(endpoint for endpoint, _ in rows),
        requests=tuple(load.requests for _, load in rows),
        prefill_tokens=tuple(load.prefill_tokens for _, load in rows),
        decode_tokens=tuple(load.decode_tokens for _, load in rows),
    )


def parse_message(raw: bytes) -> Result[Message, errors.BadRecord]:
    """Returns the message in some bytes, or why there is none."""
    return CODEC.parse(raw).bind(_check_columns)


def serialize_message(message: Message) -> bytes:
    """Returns the bytes of a message."""
    return CODEC.serialize(message)


def _check_columns(message: Message) -> Result[Message, errors.BadRecord]:
    if isinstance(message, Loads):
        lengths = {
            len(message.endpoints),
            len(message.requests),
            len(message.prefill_tokens),
            len(message.decode_tokens),
        }
        if len(lengths) != 1:
            reason = "columns of unequal length"
            return Failure(errors.BadRecord(reason=reason))
    return Success(message)


@attrs.define(kw_only=True)
class _Peer:
    """What is known of one sender."""

    incarnation: int
    retired: tuple[int, ...] = ()
    sequences: dict[type, int] = attrs.field(factory=dict)
    loads: dict[str, Load] = attrs.field(factory=dict)
    loads_at: float = -math.inf
    withdrawn: frozenset[str] = frozenset()


class PeerView:
    """The newest word of each peer."""

    def __init__(self):
        self._peers: dict[str, _Peer] = {}

    @property
    def senders(self) -> tuple[str, ...]:
        """The peers that have been heard, sorted."""
        return tuple(sorted(self._peers))

    def accept(
        self, message: Loads | Withdrawn, *, now: float
    ) -> Result[None, errors.StalePeerMessage]:
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
                retired=retired[:RETIRED_INCARNATIONS],
            )
            self._peers[header.sender] = peer
        # Counted a kind of message: a late one of one kind may still be the
        # newest of its kind when the other kind has gone ahead.
        peer.sequences[type(message)] = header.sequence
        if isinstance(message, Withdrawn):
            peer.withdrawn = frozenset(message.endpoints)
        else:
            peer.loads = _tabulate(message)
            peer.loads_at = now
        return Success(None)

    def keep(self, senders: Iterable[str]) -> None:
        """Forgets every peer but these."""
        kept = set(senders)
        self._peers = {s: p for s, p in self._peers.items() if s in kept}

    def sum_load(self, endpoint: str, *, now: float) -> Load:
        """Returns what fresh messages say is in flight on an endpoint."""
        requests = prefill_tokens = decode_tokens = 0
        for peer in self._peers.values():
            load = peer.loads.get(endpoint)
            if load is None or now - peer.loads_at > MAX_AGE_S:
                continue
            requests += load.requests
            prefill_tokens += load.prefill_tokens
            decode_tokens += load.decode_tokens
        return Load(
            requests=requests,
            prefill_tokens=prefill_tokens,
            decode_tokens=decode_tokens,
        )

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

    def dump(self, *, now: float) -> dict[str, object]:
        """Returns the view for a person, ready for JSON."""
        return {
            sender: {
                "incarnation": peer.incarnation,
                "sequence": max(peer.sequences.values(), default=None),
                "loads_age_s": now - peer.loads_at if peer.loads else None,
                "loads": {e: attrs.asdict(x) for e, x in peer.loads.items()},
                "withdrawn": sorted(peer.withdrawn),
            }
            for sender, peer in sorted(self._peers.items())
        }


def _tabulate(message: Loads) -> dict[str, Load]:
    return {
        endpoint: Load(
            requests=requests,
            prefill_tokens=prefill_tokens,
            decode_tokens=decode_tokens,
        )
        for endpoint, requests, prefill_tokens, decode_tokens in zip(
            message.endpoints,
            message.requests,
            message.prefill_tokens,
            message.decode_tokens,
            strict=True,
        )
    }
