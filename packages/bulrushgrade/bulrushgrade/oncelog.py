"""Records of once-only requests and the state of each key.

Records of the stream ``once.SHARD`` determine which daemon may run a request
that must not be repeated: the writer of the first `Claim` of its key, in order
of offset. `Done` records the answer. `Abandon` states that the claim was not
run and never will be, so that a later claim of the key may run.
"""

import collections
import enum
import hashlib

import attrs
from returns.result import Failure
import xxhash

from bulrushgrade import codec
from bulrushgrade import errors
from bulrushgrade import record

# Number of abandoned claim ids kept per key, by which copies of these claims
# are recognized. Only a caller in a loop exceeds it. A copy whose id was
# dropped can block its key until the key expires, but never run it.
MAX_ABANDONED = 32


@attrs.frozen(kw_only=True)
class Answer:
    """An answer that is small enough to be kept on the log.

    Attributes:
        status: The HTTP status code.
        content_type: The content type of the body.
        body: The complete body.
    """

    status: int
    content_type: str
    body: bytes


@attrs.frozen(kw_only=True)
class Claim:
    """Requests to run a key; the record's id is the claim id.

    Attributes:
        key: The service's name and the caller's idempotency key.
        digest: The digest of the request, to detect a different request with
            the same key.
        runner: The claiming daemon's name, for diagnostics.
        run_limit_s: How long the runner may take after its start limit. If
            there is no outcome by then, the outcome is unknown.
    """

    key: str
    digest: str
    runner: str
    run_limit_s: float


@attrs.frozen(kw_only=True)
class Done:
    """The outcome of a claim that was run.

    Attributes:
        key: The claim's key.
        claim_id: The claim's record id.
        digest: The claim's digest, for readers that missed the claim.
        known: False if the runner doesn't know whether the request took
            effect.
        answer: The answer, or None if it was too large to keep.
    """

    key: str
    claim_id: str
    digest: str
    known: bool
    answer: Answer | None


@attrs.frozen(kw_only=True)
class Abandon:
    """States that a claim was not run and never will be.

    Attributes:
        key: The claim's key.
        claim_id: The claim's record id.
    """

    key: str
    claim_id: str


CODEC = codec.Codec(kinds=(Claim, Done, Abandon))


def shard_of(key: str, *, shards: int) -> int:
    """Returns the shard of a key.

    The number of shards must not change within a key's lifetime: two daemons
    with different numbers would claim the same key on two streams.
    """
    return xxhash.xxh3_64_intdigest(key.encode()) % shards


def scoped_key(*, service: str, idempotency_key: str) -> str:
    """Returns the key that is used on the log, unique per service."""
    return f"{service}\n{idempotency_key}"


def digest_of(*, method: str, path: str, body: bytes) -> str:
    """Returns a digest that is equal for identical requests."""
    start = f"{method} {path}\n".encode()
    return hashlib.sha256(start + body).hexdigest()


@attrs.frozen(kw_only=True)
class OnceLimits:
    """Time and size limits of once-only requests.

    Attributes:
        start_limit_s: How long after it was sent a claim may be started. It
            keeps a daemon that resumes after a pause from starting late.
        run_limit_s: How long a started request may take.
        key_life_s: How long a key is kept after its last record. It must be
            far above the two limits, so that a key can't expire and be
            claimed again while its first claim may still start or run.
        retention_s: How long the log keeps records. It must be far above the
            key's lifetime, so that a starting daemon reads all live keys.
        retry_s: Interval between attempts to append an outcome.
        answer_bytes: Maximum size of the body of an answer that is kept.
        answer_memory_bytes: Maximum total size of the bodies kept in memory.
    """

    start_limit_s: float = 5.0
    run_limit_s: float = 60.0
    key_life_s: float = 900.0
    retention_s: float = 3600.0
    retry_s: float = 0.5
    answer_bytes: int = 4096
    answer_memory_bytes: int = 16 * 2**20

    def __attrs_post_init__(self):
        # A factor of two is far more than the difference between clocks'
        # rates and the lag of readers require.
        if 2 * (self.start_limit_s + self.run_limit_s) > self.key_life_s:
            raise errors.BrokenInvariantError(
                "key_life_s is below 2 * (start_limit_s + run_limit_s)"
            )
        if 2 * self.key_life_s > self.retention_s:
            raise errors.BrokenInvariantError(
                "retention_s is below 2 * key_life_s"
            )


class State(enum.Enum):
    """The state of a key according to the log."""

    CLAIMED = "claimed"
    ABANDONED = "abandoned"
    DONE = "done"


@attrs.define(kw_only=True)
class Entry:
    """What is known about a key.

    Attributes:
        state: The state according to the log.
        claim_id: The claim that owns the key, or the last one that did.
        digest: The digest of that claim's request.
        claimed_at: When this process read that claim.
        run_limit_s: As in `Claim`.
        known: As in `Done`.
        answer: As in `Done`; dropped early when memory runs short.
        abandoned: The ids of abandoned claims.
        touched_at: When this process last read a record of the key.
    """

    state: State
    claim_id: str
    digest: str
    claimed_at: float
    run_limit_s: float
    known: bool = True
    answer: Answer | None = None
    abandoned: tuple[str, ...] = ()
    touched_at: float = 0.0


class OnceFold:
    """The state of one shard's keys, each until it expires."""

    def __init__(self, *, limits: OnceLimits):
        """Creates a fold without keys."""
        self._limits = limits
        self._answer_bytes = 0
        self._entries: collections.OrderedDict[str, Entry] = (
            collections.OrderedDict()
        )
        self._answer_sizes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def answer_bytes(self) -> int:
        """The total size of the kept answers' bodies."""
        return self._answer_bytes

    def find(self, key: str) -> Entry | None:
        """Returns what is known about a key, or None."""
        return self._entries.get(key)

    def expire(self, now: float) -> None:
        """Removes the keys whose lifetime is over."""
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if now < entry.touched_at + self._limits.key_life_s:
                return
            del self._entries[key]
            self._drop_answer(key)

    def apply(self, item: record.Record, now: float) -> None:
        """Processes the next record of the stream."""
        self.expire(now)
        parsed = CODEC.parse(item.body)
        if isinstance(parsed, Failure):
            return
        message = parsed.unwrap()
        if isinstance(message, Claim):
            self._apply_claim(message, item.record_id, now)
        elif isinstance(message, Done):
            self._apply_done(message, now)
        else:
            self._apply_abandon(message, now)
        # Every record of a key extends its lifetime, even one without effect.
        # A reader that ignored a claim must not claim the key itself while
        # that claim may be running for another reader.
        entry = self._entries.get(message.key)
        if entry is not None:
            entry.touched_at = now
            self._entries.move_to_end(message.key)

    def _apply_claim(self, message: Claim, claim_id: str, now: float) -> None:
        entry = self._entries.get(message.key)
        abandoned: tuple[str, ...] = ()
        if entry is not None:
            abandoned = entry.abandoned
            if entry.state is not State.ABANDONED or claim_id in abandoned:
                return
        self._entries[message.key] = Entry(
            state=State.CLAIMED,
            claim_id=claim_id,
            digest=message.digest,
            claimed_at=now,
            run_limit_s=message.run_limit_s,
            abandoned=abandoned,
        )

    def _apply_done(self, message: Done, now: float) -> None:
        # Only the runner of an effective claim writes this record. It proves
        # that the key was run, even if this reader missed the claim or only
        # read a duplicate of an earlier one.
        entry = self._entries.get(message.key)
        if entry is None:
            entry = Entry(
                state=State.DONE,
                claim_id=message.claim_id,
                digest=message.digest,
                claimed_at=now,
                run_limit_s=0.0,
            )
            self._entries[message.key] = entry
        elif entry.state is State.DONE and entry.claim_id == message.claim_id:
            return
        # The outcome of another claim, whose daemon expired the key before
        # this one did. From now on all daemons give the later answer.
        entry.state = State.DONE
        entry.claim_id = message.claim_id
        entry.digest = message.digest
        entry.known = message.known
        entry.answer = None
        self._drop_answer(message.key)
        if message.answer is not None:
            self._store_answer(message.key, entry, message.answer)

    def _apply_abandon(self, message: Abandon, now: float) -> None:
        # It can precede its claim if the claim's append was delayed and its
        # runner gave up in the meantime, so the id is always recorded.
        entry = self._entries.get(message.key)
        if entry is None:
            entry = Entry(
                state=State.ABANDONED,
                claim_id=message.claim_id,
                digest="",
                claimed_at=now,
                run_limit_s=0.0,
            )
            self._entries[message.key] = entry
        elif entry.claim_id == message.claim_id and (
            entry.state is State.CLAIMED
        ):
            entry.state = State.ABANDONED
        if message.claim_id not in entry.abandoned:
            ids = (*entry.abandoned, message.claim_id)
            entry.abandoned = ids[-MAX_ABANDONED:]

    def _store_answer(self, key: str, entry: Entry, answer: Answer) -> None:
        entry.answer = answer
        self._answer_sizes[key] = len(answer.body)
        self._answer_bytes += len(answer.body)
        while self._answer_bytes > self._limits.answer_memory_bytes:
            oldest = next(iter(self._answer_sizes))
            self._entries[oldest].answer = None
            self._drop_answer(oldest)

    def _drop_answer(self, key: str) -> None:
        self._answer_bytes -= self._answer_sizes.pop(key, 0)
