"""Messages of the stream ``documents`` and the state derived from them."""

from collections.abc import Iterable
from typing import Any

import attrs
import msgspec
from returns.result import Failure
from returns.result import Result
import xxhash

from bulrushgrade import codec
from bulrushgrade import errors

STREAM = "documents"

# Verdicts retained per service. They resolve publishes whose response was lost
# and identify late duplicates of a record. Both happen within minutes, and a
# service has a few changes a day. With 670 services, full histories add at most
# a few MB to a checkpoint.
MAX_VERDICTS = 32

# Name under which verdicts on publishes by non-owners are kept together, so
# that they can't evict an owner's verdicts.
UNOWNED = ""
MAX_UNOWNED_VERDICTS = 256

# Names and ids stay in the state for a long time, so they are bounded. The
# project's own publishers never write longer ones.
MAX_NAME_CHARS = 64
MAX_RECORD_ID_CHARS = 128
MAX_MESSAGE_CHARS = 400

# More parts than a checkpoint of the largest supported deployment needs.
MAX_PARTS = 4096


@attrs.frozen(kw_only=True)
class Publish:
    """A team's request to replace a service's accepted document.

    Attributes:
        service: The service, or `document.FLEET`.
        team: The publishing team.
        base_offset: Offset of the revision that the text was edited from, None
            for a first publish.
        text: The document.
        validation: Number of the rules to validate it by.
    """

    service: str
    team: str
    base_offset: int | None
    text: str
    validation: int


@attrs.frozen(kw_only=True)
class Verdict:
    """The result of a publish, identical on every daemon.

    Attributes:
        record_id: The publish's record id.
        offset: The publish's offset; if accepted, also the revision number.
        service: The service that the publish names.
        team: The team that the publish names.
        base_offset: Offset of the revision that it was edited from.
        code: ``accepted``, or an error code.
        message: The human-readable reason. Its wording may differ between
            releases, so it is not part of the digest.
        beaten_by: Offset of the accepted revision if the publish was refused
            for being based on another one, else None.
    """

    record_id: str
    offset: int
    service: str
    team: str
    base_offset: int | None
    code: str
    message: str = ""
    beaten_by: int | None = None

    @property
    def accepted(self) -> bool:
        """Whether the publish became the accepted revision."""
        return self.code == "accepted"


@attrs.frozen(kw_only=True)
class Revision:
    """An accepted document.

    Attributes:
        offset: The publish's offset, which is the revision number.
        record_id: The publish's record id.
        team: The team that published it.
        text: The document.
        validation: Number of the rules that it was validated by.
    """

    offset: int
    record_id: str
    team: str
    text: str
    validation: int


@attrs.frozen(kw_only=True)
class ServiceState:
    """The registry's state for one service.

    Attributes:
        service: The service, or `UNOWNED`.
        accepted: The accepted revision, or None if there is none yet.
        verdicts: The newest verdicts, oldest first.
    """

    service: str
    accepted: Revision | None = None
    verdicts: tuple[Verdict, ...] = ()


@attrs.frozen(kw_only=True)
class Snapshot:
    """The registry's complete state.

    Attributes:
        next_offset: Every record before this offset is applied.
        digest: Digest of the states, as computed by `digest_states`.
        states: The services' states, sorted by service.
    """

    next_offset: int
    digest: str
    states: tuple[ServiceState, ...]


@attrs.frozen(kw_only=True)
class Checkpoint:
    """One part of a snapshot that is stored in the log.

    It allows a reader to start after older records have been trimmed.

    Attributes:
        checkpoint_id: Identifies the checkpoint; the same for all its parts.
        part: This part's number, from 0.
        parts: The number of parts.
        next_offset: The snapshot's `next_offset`.
        digest: Digest of the complete snapshot's states.
        states: The states in this part.
    """

    checkpoint_id: str
    part: int
    parts: int
    next_offset: int
    digest: str
    states: tuple[ServiceState, ...]


@attrs.frozen(kw_only=True)
class CheckpointAge:
    """The age of the last checkpoint, exchanged between daemons.

    Attributes:
        first_offset: The offset of the checkpoint's earliest part.
        next_offset: The checkpoint's `next_offset`.
        age_s: Seconds since the sender, or a peer that reported to it, first
            read the checkpoint.
    """

    first_offset: int
    next_offset: int
    age_s: float


_ENCODER = msgspec.json.Encoder()

CODEC = codec.Codec(kinds=[Publish, Checkpoint, Snapshot, CheckpointAge])


def parse_message(body: bytes) -> Result[Any, errors.BadRecord]:
    """Parses a record's body and checks the size limits of its message.

    An exception here would crash every daemon, and again at each restart until
    the record is trimmed. Every team can write to the stream, so malformed
    input is returned as a failure.
    """
    try:
        read = CODEC.parse(body)
    except (TypeError, RecursionError) as error:
        return Failure(errors.BadRecord(reason=str(error)))
    if isinstance(read, Failure):
        return read
    message = read.unwrap()
    if isinstance(message, Publish):
        names = (message.service, message.team)
        if max(map(len, names)) > MAX_NAME_CHARS:
            return Failure(errors.BadRecord(reason="name too long"))
    if isinstance(message, Checkpoint) and not (
        0 <= message.part < message.parts <= MAX_PARTS
    ):
        return Failure(errors.BadRecord(reason="part out of range"))
    return read


def digest_state(state: ServiceState) -> int:
    """Returns a digest of one service's state, without verdict messages."""
    verdicts = [
        (v.record_id, v.offset, v.service, v.team, v.base_offset, v.code)
        for v in state.verdicts
    ]
    replacements = [v.beaten_by for v in state.verdicts]
    content = (state.service, state.accepted, verdicts, replacements)
    return xxhash.xxh3_128_intdigest(_ENCODER.encode(content))


def digest_states(digests: Iterable[int]) -> str:
    """Combines the digests of the services' states into one.

    The sum is independent of order and cheap to recompute from cached digests
    when one service changes.
    """
    return f"{sum(digests) % (1 << 128):032x}"
