"""Work, endpoints and their loads, as the decisions under load see them.

All values are plain data. Times are absolute seconds of the deciding
process's monotonic clock, except for names that end in ``_s``.
"""

import enum

import attrs
import xxhash

BLOCK_TOKENS = 64
"""Tokens to one block of a prompt prefix; smaller blocks cost more hashing
without finding more, as engines cache whole pages of about this size."""

MAX_PREFIX_BLOCKS = 256
"""Blocks hashed at most: bounds the cost of one admission for a caller that
sends a book; what follows counts as not cached."""

BYTES_PER_TOKEN = 4
"""Mean bytes of UTF-8 text to a token, until an engine's usage says more."""


class Role(enum.StrEnum):
    """What kind of work an engine takes."""

    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"


class EndpointState(enum.StrEnum):
    """Whether an endpoint can be given work."""

    SERVING = "serving"
    LEAVING = "leaving"
    CHANGING = "changing"
    DOWN = "down"


@attrs.frozen(kw_only=True)
class Work:
    """One request of a caller, as far as decisions need to know it.

    Attributes:
        request_id: Unique among the requests that are in progress.
        service: The service document that it falls under.
        team: The member team that owns the service.
        model: The model or adapter asked for; empty for a plain service.
        prompt_tokens: Length of the prompt.
        output_tokens: Expected length of the answer.
        prefix: Hashes of the prompt's leading blocks, see `prefix_blocks`.
        deadline: When the whole answer has to be with the caller.
        first_token_deadline: When its first token has to be, or None.
        between_tokens_s: Longest mean time between tokens, or None.
        priority: Smaller is sooner among services, see `ServicePolicy`.
        repeatable: Whether it may be tried again after it may have run.
    """

    request_id: str
    service: str
    team: str = ""
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix: tuple[int, ...] = ()
    deadline: float
    first_token_deadline: float | None = None
    between_tokens_s: float | None = None
    priority: int = 0
    repeatable: bool = True


@attrs.frozen(kw_only=True)
class ServicePolicy:
    """What a service document says to the decisions.

    Attributes:
        service: The service's name.
        team: The member team that owns it.
        share: Guaranteed part of the fleet's time, 0 to 1.
        borrow: Whether it may use time that other services leave unused.
        priority: Passed to engines; smaller is sooner.
        queue_limit: Requests that one host queues for it at most.
        max_wait_s: Seconds that a request waits in the queue at most.
        max_attempts: Attempts a request that may have run, the first counted.
        retry_ratio: Retries allowed to each fresh request.
        goodput_weight: Worth of a second of an engine's useful work.
        role_change_weight: Price of a second that a role change costs.
    """

    service: str
    team: str = ""
    share: float = 0.0
    borrow: bool = True
    priority: int = 0
    queue_limit: int = 256
    max_wait_s: float = 600.0
    max_attempts: int = 3
    retry_ratio: float = 0.1
    goodput_weight: float = 1.0
    role_change_weight: float = 1.0


@attrs.frozen(kw_only=True)
class Endpoint:
    """A model engine or a plain service's endpoint, as the view has it.

    Attributes:
        address: ``IP:PORT``, unique.
        zone: Its availability zone.
        service: The service of the host list that it belongs to.
        model: The loaded model; empty for a plain service.
        adapters: Adapters that it has loaded besides.
        role: What kind of work it takes.
        state: Whether it can be given work.
        slots: Requests that it runs at once at most.
        kv_capacity_tokens: Tokens of KV cache; 0 means that it is not known.
        moves_kv: Whether it exports and imports KV cache.
    """

    address: str
    zone: str = ""
    service: str = ""
    model: str = ""
    adapters: frozenset[str] = frozenset()
    role: Role = Role.MIXED
    state: EndpointState = EndpointState.SERVING
    slots: int = 64
    kv_capacity_tokens: int = 0
    moves_kv: bool = True


@attrs.frozen(kw_only=True)
class LoadReport:
    """An engine's own figures, of `age_s` seconds ago."""

    endpoint: str
    running: int
    queued: int = 0
    prefill_backlog_tokens: int = 0
    kv_used_tokens: int = 0
    kv_capacity_tokens: int = 0
    age_s: float = 0.0


@attrs.frozen(kw_only=True)
class PeerLoad:
    """What one host has in flight at one endpoint.

    `short_backlog_tokens` are those of the backlog that are read first.
    """

    endpoint: str
    running: int = 0
    prefill_backlog_tokens: int = 0
    kv_tokens: int = 0
    short_backlog_tokens: int = 0


@attrs.frozen(kw_only=True)
class Demand:
    """What callers have asked one host for since its start, one model.

    Refused work counts as well: what is turned away is demand too.

    Attributes:
        model: The model.
        prefill_tokens: Prompt tokens that were not cached.
        output_tokens: Tokens of the answers, as expected.
        kv_token_s: KV memory of the answers times how long they hold it.
        lost_s: Engine seconds of the work that was refused for load.
    """

    model: str
    prefill_tokens: int = 0
    output_tokens: int = 0
    kv_token_s: int = 0
    lost_s: float = 0.0


@attrs.frozen(kw_only=True)
class Placed:
    """The work goes to an endpoint now.

    Attributes:
        request_id: The work's id.
        endpoint: Where the prompt is read, and the answer generated unless
            `decode_endpoint` says otherwise.
        decode_endpoint: Where the KV cache is moved to and the answer
            generated, or None.
        first_token_s: Predicted seconds until the first token.
        finish_s: Predicted seconds until the end of the answer.
        cached_tokens: Prompt tokens that the endpoint should have cached.
        priority: Passed to the endpoint; smaller is sooner.
    """

    request_id: str
    endpoint: str
    decode_endpoint: str | None = None
    first_token_s: float = 0.0
    finish_s: float = 0.0
    cached_tokens: int = 0
    priority: int = 0


@attrs.frozen(kw_only=True)
class Queued:
    """The work waits at this host; `Scheduler.poll` will settle it.

    Attributes:
        request_id: The work's id.
        wait_s: Predicted seconds until it is placed.
    """

    request_id: str
    wait_s: float


class RefusalCode(enum.StrEnum):
    """Why work is refused; nothing of it has run at any endpoint."""

    OVERLOADED = "overloaded"
    QUEUE_FULL = "queue_full"
    LATE = "late"
    NO_ENDPOINT = "no_endpoint"
    UNKNOWN_SERVICE = "unknown_service"
    RETRY_BUDGET = "retry_budget"
    NOT_REPEATABLE = "not_repeatable"


@attrs.frozen(kw_only=True)
class Refused:
    """The work is not run here.

    Attributes:
        request_id: The work's id.
        code: The kind of reason.
        retry_after_s: When the same work could be in time, in seconds.
        reason: For a person.
    """

    request_id: str
    code: RefusalCode
    retry_after_s: float
    reason: str


Decision = Placed | Queued | Refused


def estimate_tokens(text: str) -> int:
    """Returns about how many tokens a text has, without a tokenizer."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


def prefix_blocks(text: str) -> tuple[int, ...]:
    """Hashes the leading whole blocks of a prompt.

    Each hash covers everything up to the end of its block, so that an equal
    hash means an equal prefix, and the longest known one is found by
    walking back from the last.

    Args:
        text: The prompt.

    Returns:
        One 64-bit hash a whole block, `MAX_PREFIX_BLOCKS` at most.
    """
    raw = text.encode()
    size = BLOCK_TOKENS * BYTES_PER_TOKEN
    digest = xxhash.xxh3_64()
    hashes = []
    for index in range(min(len(raw) // size, MAX_PREFIX_BLOCKS)):
        digest.update(raw[index * size : (index + 1) * size])
        hashes.append(digest.intdigest())
    return tuple(hashes)
