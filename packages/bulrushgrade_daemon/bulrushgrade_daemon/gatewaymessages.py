"""Datagrams among gateways.

Every message fits one datagram and may be lost, late or come twice. Those
with records of the store tell their age; all others only serve to find better
places for prompts.
"""

import msgspec

from bulrushgrade import directory
from bulrushgrade import prefixindex

EngineLoads = dict[str, tuple[dict[int, int], int, int]]
"""What somebody has at each engine: milliseconds of reading that wait by
urgency, streams, and their tokens."""

CacheChanges = dict[str, list[tuple[str, int]]]
"""What changed in engines' caches: parts with the tokens that are kept now."""


class Load(msgspec.Struct, array_like=True, tag="load"):
    """What a daemon has waiting, to the one that adds up for it.

    Attributes:
        peer: Who says it; another one after each start.
        number: Grows from each of its messages to the next.
        engines: What it has.
        kept: What changed in the caches that it follows.
        may_order: Whether it could order engines to change their roles.
    """

    peer: str
    number: int
    engines: EngineLoads
    kept: CacheChanges = {}
    may_order: bool = True


class GroupLoad(msgspec.Struct, array_like=True, tag="group_load"):
    """What a group of daemons has together, to those that add up for others.

    Attributes:
        peer: Who adds up for the group.
        number: Grows from each of its messages to the next.
        engines: What they have.
        kept: What changed in the caches that they follow.
        may_order: Whether the sender could order engines to change roles.
        is_passed_on: Whether a member of another group passed it on to the
            one that adds up for it.
    """

    peer: str
    number: int
    engines: EngineLoads
    kept: CacheChanges = {}
    may_order: bool = True
    is_passed_on: bool = False


class FleetLoad(msgspec.Struct, array_like=True, tag="fleet_load"):
    """What all daemons have together, to the members of a group.

    Attributes:
        peer: Who adds up for the group.
        number: Grows from each of its messages to the next.
        your_number: The receiver's last message that is in it.
        engines: What all have.
        kept: What changed in engines' caches.
    """

    peer: str
    number: int
    your_number: int
    engines: EngineLoads
    kept: CacheChanges = {}


class GroupMembers(msgspec.Struct, array_like=True, tag="group_members"):
    """A part of the list of those that are in a group.

    Attributes:
        peer: Who adds up for the group.
        part: Which part of the list this is, from 0.
        number: Grows from each list to the next.
        names: Those that are there.
        unable: Those of them that could not order engines about.
    """

    peer: str
    part: int
    number: int
    names: list[str]
    unable: list[str]


class WaitQuery(msgspec.Struct, array_like=True, tag="wait_query"):
    """Asks how long a prompt would wait at engines.

    Attributes:
        peer: Who queries.
        number: Its own number of the question.
        engines: The engines' ids.
        urgency: The prompt's; 0 is read first.
    """

    peer: str
    number: int
    engines: list[str]
    urgency: int


class WaitReply(msgspec.Struct, array_like=True, tag="wait_reply"):
    """Answers a question.

    Attributes:
        peer: Who answers.
        number: The question's number.
        waits_ms: How long a prompt would wait, by engine.
    """

    peer: str
    number: int
    waits_ms: dict[str, int]


class Begun(msgspec.Struct, array_like=True, tag="begun"):
    """Says that a prompt was sent to an engine.

    Attributes:
        peer: Who sent it.
        number: Its own number of the prompt.
        engine: The engine's id.
        reading_ms: How long reading it should take by itself.
        latency_ms: From the end of that to the beginning of its answer.
        urgency: 0 is read first.
    """

    peer: str
    number: int
    engine: str
    reading_ms: int
    latency_ms: int
    urgency: int


class Ended(msgspec.Struct, array_like=True, tag="ended"):
    """Says that a prompt was read or given up.

    Attributes:
        peer: Who had sent it.
        number: Its own number of the prompt.
        engine: The engine's id.
    """

    peer: str
    number: int
    engine: str


class HolderQuery(msgspec.Struct, array_like=True, tag="holder_query"):
    """Asks which engines were lately sent a shared part.

    Attributes:
        peer: Who queries.
        number: Its own number of the question.
        part: The part's id.
    """

    peer: str
    number: int
    part: str


class HolderUpdate(msgspec.Struct, array_like=True, tag="holder_update"):
    """Says that an engine was sent parts, has read them, or did not.

    Attributes:
        engine: The engine's id.
        state: How far it is.
        parts: In order, with their tokens.
    """

    engine: str
    state: prefixindex.HolderState
    parts: list[tuple[str, int]]


class HolderReply(msgspec.Struct, array_like=True, tag="holder_reply"):
    """Answers a question about a part.

    Attributes:
        peer: Who answers.
        number: The question's number.
        holders: Engines with what they were sent.
    """

    peer: str
    number: int
    holders: list[HolderUpdate]


class RoleChangeNotice(msgspec.Struct, array_like=True, tag="role_change"):
    """Says that an engine was ordered to change its role.

    Attributes:
        engine: The engine's id.
        stage: Its new role.
        change_ms: How long the change takes by itself.
    """

    engine: str
    stage: directory.Stage
    change_ms: int


class RecordQuery(msgspec.Struct, array_like=True, tag="record_query"):
    """Asks for what is known of a topic on the platform's store.

    Attributes:
        peer: Who queries.
        number: Its own number of the question.
        topic: The topic's name among the hosts.
        offset: Where the records begin that it has not seen.
    """

    peer: str
    number: int
    topic: str
    offset: int


class RecordReply(msgspec.Struct, array_like=True, tag="record_reply"):
    """Relays records of a topic.

    Attributes:
        peer: Who answers.
        number: The question's number.
        topic: The topic's name among the hosts.
        records: Offset, key and value of each; no value where the key was
            dropped.
        end: Where the records after these begin.
        has_more: Whether there are more that did not fit or are not kept.
        age_ms: Since the store had no other records than these.
        regained_ms: Since that host had the store back, or None.
    """

    peer: str
    number: int
    topic: str
    records: list[tuple[int, str, bytes | None]]
    end: int
    has_more: bool
    age_ms: int
    regained_ms: int | None = None


class RecordNotice(msgspec.Struct, array_like=True, tag="record_notice"):
    """Says that a topic has new records.

    Attributes:
        topic: The topic's name among the hosts.
        end: Where the records after these begin.
    """

    topic: str
    end: int


class WindowCounts(msgspec.Struct, array_like=True):
    """Requests that began in a window.

    Attributes:
        window: The window's number.
        counts: Requests by workspace.
        is_whole: Whether the daemon counts no more in it.
    """

    window: int
    counts: dict[str, int]
    is_whole: bool


class UsageCounts(msgspec.Struct, array_like=True, tag="usage_counts"):
    """What a daemon has counted, to the one that reports it.

    Attributes:
        peer: Who counted.
        windows: Each window that the receiver may still need.
    """

    peer: str
    windows: list[WindowCounts]


class UsageTaken(msgspec.Struct, array_like=True, tag="usage_taken"):
    """Replies to counts.

    Attributes:
        peer: Who has them.
        windows: Those that need not be sent again.
        number: Of the receiver's last record as the one that reports; 0
            where it does not report.
    """

    peer: str
    windows: list[int]
    number: int


class UsageReporter(msgspec.Struct, array_like=True, tag="usage_reporter"):
    """Says who reports; the largest number is the newest.

    Attributes:
        peer: Who reports.
        number: Of its last record.
    """

    peer: str
    number: int


Message = (
    Load
    | GroupLoad
    | FleetLoad
    | GroupMembers
    | WaitQuery
    | WaitReply
    | Begun
    | Ended
    | HolderQuery
    | HolderReply
    | HolderUpdate
    | RoleChangeNotice
    | RecordQuery
    | RecordReply
    | RecordNotice
    | UsageCounts
    | UsageTaken
    | UsageReporter
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def serialize(message: Message) -> bytes:
    """Returns a message's datagram."""
    return _encoder.encode(message)


def parse(datagram: bytes) -> Message | None:
    """Returns a datagram's message, or None where it is none."""
    try:
        return _decoder.decode(datagram)
    except msgspec.DecodeError:
        return None
