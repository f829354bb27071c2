"""Messages among gateways.

Every message fits one datagram and may be lost, delayed or duplicated.
Messages with records of the store state their age; all others only serve to
choose better engines for prompts.
"""

import msgspec

from bulrushgrade import directory
from bulrushgrade import prefixindex

EngineLoads = dict[str, tuple[dict[int, int], int, int]]
"""Load by engine: milliseconds of queued prefill by urgency, the number of
streams, and their tokens."""

CacheChanges = dict[str, list[tuple[str, int]]]
"""Cache changes by engine: prompt parts with the tokens that are cached now."""


LimitNews = tuple[float | None, int, bool]
"""An endpoint's limit in requests per second or None for none, the age of this
in milliseconds, and whether it was stated in answers to prefills."""

DrainNews = tuple[str, int, int]
"""The id and the start time of an endpoint that is leaving, and for how many
milliseconds it is known to be."""

EndpointLimitNews = list[tuple[str, int, LimitNews]]
"""Limits with the ids and the start times of their endpoints."""


PartAtCrash = tuple[bytes, bytes, bool, int, int, list[bytes]]
"""A prompt part's key, the service and software of the endpoint, whether an
answer on the part had begun, how many milliseconds before the crash the first
and the last one had been begun or sent, and the requests."""


class PartCrashNews(msgspec.Struct, array_like=True):
    """An endpoint that crashed, and prompt parts that were in requests there.

    Attributes:
        endpoint: The endpoint's id.
        born_ms: When it started.
        zone: Its availability zone.
        age_ms: Time since the crash was noticed.
        parts: The parts.
    """

    endpoint: str
    born_ms: int
    zone: str
    age_ms: int
    parts: list[PartAtCrash]


SoundPart = tuple[bytes, bytes]
"""The key of a prompt part and the runtime that completed an answer on it."""


class PartNews(msgspec.Struct, array_like=True):
    """What a daemon knows of prompt parts that were at crashes.

    Attributes:
        crashes: Parts at crashes of endpoints.
        sound: Parts that were at crashes and did not cause them.
    """

    crashes: list[PartCrashNews] = []
    sound: list[SoundPart] = []


SumEntry = tuple[str, list[int]]
"""A key and the values of its vector in hundredths."""

SumNews = dict[str, list[SumEntry]]
"""Vectors that hosts sum, by the table's name; see `sumexchange`."""


class Load(msgspec.Struct, array_like=True, tag="load"):
    """A daemon's load, sent to its aggregator.

    Attributes:
        peer: The sender's name, a new one after each start.
        number: Increases with each message of the sender.
        engines: The sender's load.
        kept: Changes of the caches that it follows.
        may_order: Whether it is able to order engines to change their roles.
        limits: Limits of endpoints that the sender knows.
        leaving: Endpoints that state that they are leaving.
        version: The version of the configuration that it has in force, 0 if
            none.
        is_cut: Whether it seems to be cut off from all endpoints.
        parts: Prompt parts at crashes; None without news.
        sums: Some of the sender's own vectors.
    """

    peer: str
    number: int
    engines: EngineLoads
    kept: CacheChanges = {}
    may_order: bool = True
    limits: EndpointLimitNews = []
    leaving: list[DrainNews] = []
    version: int = 0
    is_cut: bool = False
    parts: PartNews | None = None
    sums: SumNews = {}


class GroupLoad(msgspec.Struct, array_like=True, tag="group_load"):
    """The load of a group of daemons, sent to the aggregators of others.

    Attributes:
        peer: The group's aggregator.
        number: Increases with each message of the sender.
        engines: The group's load.
        kept: Changes of the caches that the group follows.
        may_order: Whether the sender is able to order engines to change their
            roles.
        is_passed_on: Whether a member of another group forwarded it to its
            aggregator.
        limits: Limits of endpoints that the sender knows.
        missing: Hosts that the sender no longer hears, nor any other one that
            it hears.
        leaving: Endpoints that state that they are leaving.
        version: The newest version of the configuration in force in the
            group, 0 if none.
        is_cut: Whether the sender seems to be cut off from all endpoints.
        parts: Prompt parts at crashes; None without news.
        sums: Some of the sums of the group's vectors.
        digest: A digest of the names of the daemons that the sender hears and
            of its own, see `FleetView.digest`; None from earlier versions.
    """

    peer: str
    number: int
    engines: EngineLoads
    kept: CacheChanges = {}
    may_order: bool = True
    is_passed_on: bool = False
    limits: EndpointLimitNews = []
    missing: list[str] = []
    leaving: list[DrainNews] = []
    version: int = 0
    is_cut: bool = False
    parts: PartNews | None = None
    sums: SumNews = {}
    digest: int | None = None


class FleetLoad(msgspec.Struct, array_like=True, tag="fleet_load"):
    """The load of all daemons, sent to the members of a group.

    Attributes:
        peer: The group's aggregator.
        number: Increases with each message of the sender.
        your_number: Number of the receiver's last message that is included.
        engines: The fleet's load.
        kept: Changes of engines' caches.
        limits: Limits of endpoints that the sender knows.
        leaving: Endpoints that state that they are leaving.
        version: The newest version of the configuration in force in the
            fleet, 0 if none.
        parts: Prompt parts at crashes; None without news.
        sums: Some of the sums of all hosts' vectors.
    """

    peer: str
    number: int
    your_number: int
    engines: EngineLoads
    kept: CacheChanges = {}
    limits: EndpointLimitNews = []
    leaving: list[DrainNews] = []
    version: int = 0
    parts: PartNews | None = None
    sums: SumNews = {}


class GroupMembers(msgspec.Struct, array_like=True, tag="group_members"):
    """A part of the member list of a group.

    Attributes:
        peer: The group's aggregator.
        part: Index of this part of the list, from 0.
        number: Increases with each list.
        names: The members.
        unable: The members that are unable to order engines to change their
            roles.
    """

    peer: str
    part: int
    number: int
    names: list[str]
    unable: list[str]


class WaitQuery(msgspec.Struct, array_like=True, tag="wait_query"):
    """Queries the time that a prompt would wait at engines.

    Attributes:
        peer: The sender.
        number: The sender's number of the query.
        engines: The engines' ids.
        urgency: The prompt's urgency; 0 is prefilled first.
    """

    peer: str
    number: int
    engines: list[str]
    urgency: int


class WaitReply(msgspec.Struct, array_like=True, tag="wait_reply"):
    """Replies to a `WaitQuery`.

    Attributes:
        peer: The sender.
        number: The query's number.
        waits_ms: How long a prompt would wait, by engine.
    """

    peer: str
    number: int
    waits_ms: dict[str, int]


class Begun(msgspec.Struct, array_like=True, tag="begun"):
    """Reports that a prompt was sent to an engine.

    Attributes:
        peer: The sender.
        number: The sender's number of the prompt.
        engine: The engine's id.
        reading_ms: Predicted time of the prefill alone.
        latency_ms: Time from the end of the prefill to the first token.
        urgency: The prompt's urgency; 0 is prefilled first.
    """

    peer: str
    number: int
    engine: str
    reading_ms: int
    latency_ms: int
    urgency: int


class Ended(msgspec.Struct, array_like=True, tag="ended"):
    """Reports that a prompt was prefilled or abandoned.

    Attributes:
        peer: The sender, also of the prompt.
        number: The sender's number of the prompt.
        engine: The engine's id.
    """

    peer: str
    number: int
    engine: str


class HolderQuery(msgspec.Struct, array_like=True, tag="holder_query"):
    """Queries the engines that were recently sent a shared prompt part.

    Attributes:
        peer: The sender.
        number: The sender's number of the query.
        part: The part's id.
    """

    peer: str
    number: int
    part: str


class HolderUpdate(msgspec.Struct, array_like=True, tag="holder_update"):
    """Reports whether an engine was sent, has prefilled or lacks parts.

    Attributes:
        engine: The engine's id.
        state: The state of the parts at the engine.
        parts: The parts in order, with their tokens.
    """

    engine: str
    state: prefixindex.HolderState
    parts: list[tuple[str, int]]


class HolderReply(msgspec.Struct, array_like=True, tag="holder_reply"):
    """Replies to a `HolderQuery`.

    Attributes:
        peer: The sender.
        number: The query's number.
        holders: The engines with the parts that they were sent.
    """

    peer: str
    number: int
    holders: list[HolderUpdate]


class RoleChangeNotice(msgspec.Struct, array_like=True, tag="role_change"):
    """Reports that an engine was ordered to change its role.

    Attributes:
        engine: The engine's id.
        stage: Its new role.
        change_ms: Duration of the change alone.
    """

    engine: str
    stage: directory.Stage
    change_ms: int


class RecordQuery(msgspec.Struct, array_like=True, tag="record_query"):
    """Queries a host for new records of a topic of the platform's store.

    Attributes:
        peer: The sender.
        number: The sender's number of the query.
        topic: The topic's name among the hosts.
        offset: Offset of the first record that the sender has not seen.
        epoch: The store's epoch in which the offset was read.
    """

    peer: str
    number: int
    topic: str
    offset: int
    epoch: int = 0


class RecordReply(msgspec.Struct, array_like=True, tag="record_reply"):
    """Replies to a `RecordQuery` with records of a topic.

    Attributes:
        peer: The sender.
        number: The query's number.
        topic: The topic's name among the hosts.
        records: Offset, key and value of each; the value is None if the key
            was deleted.
        end: Offset after these records.
        has_more: Whether there are more that did not fit or are not retained.
        age_ms: Time since the store had no other records than these.
        regained_ms: Time since the sender regained the store, or None.
        epoch: The store's epoch in which the records were read.
    """

    peer: str
    number: int
    topic: str
    records: list[tuple[int, str, bytes | None]]
    end: int
    has_more: bool
    age_ms: int
    regained_ms: int | None = None
    epoch: int = 0


class RecordNotice(msgspec.Struct, array_like=True, tag="record_notice"):
    """Announces new records of a topic.

    Attributes:
        topic: The topic's name among the hosts.
        end: Offset after these records.
        epoch: The store's epoch in which they were read.
    """

    topic: str
    end: int
    epoch: int = 0


class WindowCounts(msgspec.Struct, array_like=True):
    """Counts of the requests that began in a time window.

    Attributes:
        window: The window's number.
        counts: Requests by workspace.
        is_whole: Whether the counts of this daemon are final.
    """

    window: int
    counts: dict[str, int]
    is_whole: bool


class WindowReport(msgspec.Struct, array_like=True):
    """The counts with which a window was reported.

    Attributes:
        window: The window's number.
        counts: Requests by workspace.
        epoch: The newest epoch of the store in which the sender knew of it.
    """

    window: int
    counts: dict[str, int]
    epoch: int


class UsageCounts(msgspec.Struct, array_like=True, tag="usage_counts"):
    """A daemon's request counts, sent to the one that reports usage.

    Attributes:
        peer: The sender, whose counts these are.
        windows: The windows that the receiver may still need.
        reports: Reports whose records the store may have lost.
        number: The highest number of an action that the sender knows of.
        epoch: The store's epoch that the sender knows.
        complete_from: The first window from which on all reports that were
            recorded are in the topic in that epoch, None if that is not known.
    """

    peer: str
    windows: list[WindowCounts]
    reports: list[WindowReport] = []
    number: int = 0
    epoch: int = 0
    complete_from: int | None = None


class UsageTaken(msgspec.Struct, array_like=True, tag="usage_taken"):
    """Acknowledges `UsageCounts`.

    Attributes:
        peer: The sender, which received the counts.
        windows: The windows that need not be sent again.
        number: The highest number of an action that the sender knows of, if
            it is the reporter; else 0.
        reports: The windows whose reports need not be sent again.
    """

    peer: str
    windows: list[int]
    number: int
    reports: list[int] = []


class UsageReporter(msgspec.Struct, array_like=True, tag="usage_reporter"):
    """Announces the daemon that reports usage; the largest number is current.

    Attributes:
        peer: The daemon that reports.
        number: Number of its last record.
    """

    peer: str
    number: int


class PermitQuery(msgspec.Struct, array_like=True, tag="permit_query"):
    """Asks the owner of an endpoint for a permit for one request.

    Attributes:
        peer: The sender.
        number: The sender's number of the query.
        claim: The sender's number of the request.
        endpoint: The endpoint's id.
        born_ms: When the endpoint started.
        limit: The limit that the sender knows, or None.
        urgency: The request's urgency; 0 goes first.
        waited_ms: Time since its caller sent it.
        max_wait_ms: How long it may wait for a permit.
        max_return_ms: How long its caller may stay away after a refusal.
    """

    peer: str
    number: int
    claim: int
    endpoint: str
    born_ms: int
    limit: LimitNews | None
    urgency: int
    waited_ms: int
    max_wait_ms: int
    max_return_ms: int


class PermitReply(msgspec.Struct, array_like=True, tag="permit_reply"):
    """Replies to a `PermitQuery`.

    Attributes:
        peer: The sender.
        number: The query's number.
        granted: Whether the request may be sent.
        open_ms: Time until a request of its urgency may get a permit.
        retry_ms: Time after which the caller of a refused request should
            return.
        limit: The limit that the sender knows, or None.
    """

    peer: str
    number: int
    granted: bool
    open_ms: int
    retry_ms: int
    limit: LimitNews | None


class PermitWithdrawal(
    msgspec.Struct, array_like=True, tag="permit_withdrawal"
):
    """Withdraws a `PermitQuery` that has not been replied to.

    Attributes:
        peer: The sender.
        claim: The sender's number of the request.
        endpoint: The endpoint's id.
        born_ms: When the endpoint started.
    """

    peer: str
    claim: int
    endpoint: str
    born_ms: int


class BackoffNotice(msgspec.Struct, array_like=True, tag="backoff"):
    """Reports that an endpoint wants nothing from the receiver for a time.

    The endpoint said so in an answer that the receiver relayed unread.

    Attributes:
        peer: The sender.
        endpoint: The endpoint's id.
        born_ms: When the endpoint started.
        backoff_ms: For how long.
    """

    peer: str
    endpoint: str
    born_ms: int
    backoff_ms: int


class StreamOrigin(msgspec.Struct, array_like=True, tag="origin"):
    """Tells which software version began a stream.

    Attributes:
        key: The stream's key.
        service: The service that the stream is from; empty if it is not
            certain any more what began it.
        software: The version of the endpoint's software.
        left_ms: For how long its caller may resume it.
    """

    key: bytes
    service: str
    software: str
    left_ms: int


class OriginQuery(msgspec.Struct, array_like=True, tag="origin_query"):
    """Asks what began a stream.

    Attributes:
        peer: The sender.
        number: The sender's number of the query.
        key: The stream's key, None if its caller states none.
        service: The service if it is certain, else None.
    """

    peer: str
    number: int
    key: bytes | None
    service: str | None


class OriginReply(msgspec.Struct, array_like=True, tag="origin_reply"):
    """Replies to an `OriginQuery`.

    Attributes:
        peer: The sender.
        number: The query's number.
        origin: Service and software version that began the stream, None if
            the sender doesn't know.
        is_disputed: Whether it was told of two.
        sole: The only version that has served for as long as the sender knows.
        has_several: Whether it knows of several versions.
        covers: Whether it has known for longer than streams last.
    """

    peer: str
    number: int
    origin: tuple[str, str] | None
    is_disputed: bool
    sole: str | None
    has_several: bool
    covers: bool


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
    | PermitQuery
    | PermitReply
    | PermitWithdrawal
    | BackoffNotice
    | StreamOrigin
    | OriginQuery
    | OriginReply
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def serialize(message: Message) -> bytes:
    """Serializes a message to a datagram."""
    return _encoder.encode(message)


def parse(datagram: bytes) -> Message | None:
    """Parses a datagram; returns None if it is not a message."""
    try:
        return _decoder.decode(datagram)
    except (msgspec.DecodeError, RecursionError):
        return None
