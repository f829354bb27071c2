"""Messages of the stream ``documents`` and the state that they add up to."""

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

# Verdicts kept a service. They settle publishes whose answer was lost and
# make a late second copy of a record harmless, both a matter of minutes; a
# service sees a few changes a day. At 670 services a full history stays below
# a few MB of checkpoint.
MAX_VERDICTS = 32

# Refused publishes by writers that do not own the service they name are kept
# together, so that they can't push out an owner's verdicts.
UNOWNED = ""
MAX_UNOWNED_VERDICTS = 256

# Names and ids stand in the state for long; a record with longer ones was not
# written by our publishers.
MAX_NAME_CHARS = 64
MAX_RECORD_ID_CHARS = 128
MAX_MESSAGE_CHARS = 400

# More parts than any checkpoint of the target's size needs.
MAX_PARTS = 4096


@attrs.frozen(kw_only=True)
class Publish:
    """A team asks that a document take the place of an accepted one.

    Attributes:
        service: The service, or `document.FLEET`.
        team: The publishing team.
        base_offset: Revision that the text was edited from, None for a first.
        text: The document.
        validation: Number of the rules to judge it by.
    """

    service: str
    team: str
    base_offset: int | None
    text: str
    validation: int


@attrs.frozen(kw_only=True)
class Verdict:
    """What became of a publish; the same on every daemon.

    Attributes:
        record_id: The publish's record id.
        offset: Its offset; the revision's number where accepted.
        service: The service that it names.
        team: The team that it names.
        base_offset: The revision that it was edited from.
        code: ``accepted``, or a word for the reason.
        message: The reason for a person. It may read differently in another
            release, so it is no part of the digest.
        beaten_by: The accepted revision that stands instead, if any.
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
        offset: Its publish's offset, which is the revision's number.
        record_id: Its publish's record id.
        team: The team that published it.
        text: The document.
        validation: Number of the rules that it was accepted by.
    """

    offset: int
    record_id: str
    team: str
    text: str
    validation: int


@attrs.frozen(kw_only=True)
class ServiceState:
    """What the fold knows of one service.

    Attributes:
        service: The service, or `UNOWNED`.
        accepted: The accepted revision, None while there is none.
        verdicts: The newest verdicts, oldest first.
    """

    service: str
    accepted: Revision | None = None
    verdicts: tuple[Verdict, ...] = ()


@attrs.frozen(kw_only=True)
class Snapshot:
    """The fold's whole state.

    Attributes:
        next_offset: Every record before this offset is folded in.
        digest: Of the states, by `digest_states`.
        states: Sorted by service.
    """

    next_offset: int
    digest: str
    states: tuple[ServiceState, ...]


@attrs.frozen(kw_only=True)
class Checkpoint:
    """A part of a snapshot on the log, which outlives the records before it.

    Attributes:
        checkpoint_id: The same for all parts.
        part: This part's number, from 0.
        parts: How many there are.
        next_offset: As in the snapshot.
        digest: Of the whole snapshot's states.
        states: This part's states.
    """

    checkpoint_id: str
    part: int
    parts: int
    next_offset: int
    digest: str
    states: tuple[ServiceState, ...]


@attrs.frozen(kw_only=True)
class CheckpointAge:
    """What daemons tell each other of the last checkpoint.

    Attributes:
        first_offset: The offset of its earliest part.
        next_offset: Up to where its state goes.
        age_s: Seconds since the teller read it as new, or more.
    """

    first_offset: int
    next_offset: int
    age_s: float


_ENCODER = msgspec.json.Encoder()

CODEC = codec.Codec(kinds=[Publish, Checkpoint, Snapshot, CheckpointAge])


def parse_message(body: bytes) -> Result[Any, errors.BadRecord]:
    """Returns the message in a record's body, within its limits.

    A record that raised here would stop every daemon, and again at each
    restart, until the log trims it; the stream is open to every team.
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
    """Returns a digest of one service's state, without people's messages."""
    verdicts = [
        (v.record_id, v.offset, v.service, v.team, v.base_offset, v.code)
        for v in state.verdicts
    ]
    replacements = [v.beaten_by for v in state.verdicts]
    content = (state.service, state.accepted, verdicts, replacements)
    return xxhash.xxh3_128_intdigest(_ENCODER.encode(content))


def digest_states(digests: Iterable[int]) -> str:
    """Returns the digest of all states from those of each.

    A sum has no order, so a fold can keep each service's digest and add up
    what changed.
    """
    return f"{sum(digests) % (1 << 128):032x}"
