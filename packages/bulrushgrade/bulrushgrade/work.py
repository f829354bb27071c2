"""Requests, endpoints, loads and decisions of the scheduler.

All values are plain data. Times are seconds of the process's monotonic clock;
names that end in ``_s`` are durations in seconds.
"""

import enum

import attrs
import xxhash

BLOCK_TOKENS = 64
"""Tokens per block of a prompt prefix. Smaller blocks cost more hashing without
finding more, as engines cache pages of about this size."""

MAX_PREFIX_BLOCKS = 256
"""Largest number of blocks that are hashed. It bounds the cost of admitting a
very long prompt; the rest of it counts as not cached."""

BYTES_PER_TOKEN = 4
"""Assumed mean bytes of UTF-8 text per token, until an engine reports its
usage."""


class Role(enum.StrEnum):
    """The kind of work that an engine takes."""

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
    """The properties of a request that decisions depend on.

    Attributes:
        request_id: Unique among the requests in progress.
        service: Name of the service document that applies to it.
        team: Team that owns the service.
        model: Requested model or adapter; empty for a plain service.
        prompt_tokens: Length of the prompt in tokens.
        output_tokens: Expected length of the answer in tokens.
        prefix: Hashes of the prompt's leading blocks, see `prefix_blocks`.
        deadline: Time by which the whole answer must reach the caller.
        first_token_deadline: Time by which its first token must, or None.
        between_tokens_s: Largest mean time between tokens, or None.
        priority: Priority of the service; smaller goes first.
        repeatable: Whether it may be retried after it may have run.
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
    """The settings of a service document that decisions depend on.

    Attributes:
        service: The service's name.
        team: Team that owns it.
        share: Guaranteed fraction of the fleet's time, 0 to 1.
        borrow: Whether it may use time that other services leave unused.
        priority: Passed to engines; smaller goes first.
        queue_limit: Largest number of its requests that one host queues.
        max_wait_s: Longest time of a request in the queue.
        max_attempts: Largest number of attempts that may have run, the first
            included.
        retry_ratio: Retries allowed per new request.
        goodput_weight: Weight of a second of an engine's useful work.
        role_change_weight: Weight of a second that a role change costs.
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
    """A model engine or a plain service's endpoint.

    Attributes:
        address: ``IP:PORT``, unique.
        zone: Its availability zone.
        service: Service of the host list to which it belongs.
        model: Loaded model; empty for a plain service.
        adapters: Adapters that it has loaded.
        role: Kind of work that it takes.
        state: Whether it can be given work.
        slots: Largest number of concurrent requests.
        kv_capacity_tokens: Size of its KV cache in tokens; 0 if unknown.
        moves_kv: Whether it can export and import KV cache.
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
    """An engine's load by its own report, `age_s` seconds ago."""

    endpoint: str
    running: int
    queued: int = 0
    prefill_backlog_tokens: int = 0
    kv_used_tokens: int = 0
    kv_capacity_tokens: int = 0
    age_s: float = 0.0


@attrs.frozen(kw_only=True)
class PeerLoad:
    """One host's requests in flight at one endpoint.

    `short_backlog_tokens` is the part of the backlog that goes before long
    prefills.
    """

    endpoint: str
    running: int = 0
    prefill_backlog_tokens: int = 0
    kv_tokens: int = 0
    short_backlog_tokens: int = 0


@attrs.frozen(kw_only=True)
class Demand:
    """Demand on one host for one model since the host's start.

    Refused work is counted too, as it is part of the demand.

    Attributes:
        model: The model.
        prefill_tokens: Prompt tokens that were not cached.
        output_tokens: Expected tokens of the answers.
        kv_token_s: KV cache tokens of the answers times their duration.
        lost_s: Engine seconds of work that was refused because of load.
    """

    model: str
    prefill_tokens: int = 0
    output_tokens: int = 0
    kv_token_s: int = 0
    lost_s: float = 0.0


@attrs.frozen(kw_only=True)
class Placed:
    """The work is to be sent to an endpoint now.

    Attributes:
        request_id: The work's id.
        endpoint: Endpoint that prefills the prompt, and generates the answer
            unless `decode_endpoint` is set.
        decode_endpoint: Endpoint that gets the KV cache and generates the
            answer, or None.
        first_token_s: Predicted seconds until the first token.
        finish_s: Predicted seconds until the end of the answer.
        cached_tokens: Prompt tokens that are expected to be cached there.
        priority: Passed to the endpoint; smaller goes first.
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
    """The work is queued at this host; `Scheduler.poll` returns its decision.

    Attributes:
        request_id: The work's id.
        wait_s: Predicted seconds until it is placed.
    """

    request_id: str
    wait_s: float


class RefusalCode(enum.StrEnum):
    """Reason codes of refusals."""

    OVERLOADED = "overloaded"
    QUEUE_FULL = "queue_full"
    LATE = "late"
    NO_ENDPOINT = "no_endpoint"
    UNKNOWN_SERVICE = "unknown_service"
    RETRY_BUDGET = "retry_budget"
    NOT_REPEATABLE = "not_repeatable"


@attrs.frozen(kw_only=True)
class Refused:
    """The work is refused.

    Attributes:
        request_id: The work's id.
        code: The reason code.
        retry_after_s: Seconds after which the same work could be in time.
        reason: Human-readable reason.
    """

    request_id: str
    code: RefusalCode
    retry_after_s: float
    reason: str


Decision = Placed | Queued | Refused


def estimate_tokens(text: str) -> int:
    """Returns an estimate of a text's tokens, without a tokenizer."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


def prefix_blocks(text: str) -> tuple[int, ...]:
    """Hashes the leading complete blocks of a prompt.

    Each hash covers the prompt up to the end of its block, so that equal hashes
    mean equal prefixes and the longest known prefix can be searched for.

    Args:
        text: The prompt.

    Returns:
        One 64-bit hash per block, at most `MAX_PREFIX_BLOCKS`.
    """
    raw = text.encode()
    size = BLOCK_TOKENS * BYTES_PER_TOKEN
    digest = xxhash.xxh3_64()
    hashes = []
    for index in range(min(len(raw) // size, MAX_PREFIX_BLOCKS)):
        digest.update(raw[index * size : (index + 1) * size])
        hashes.append(digest.intdigest())
    return tuple(hashes)
