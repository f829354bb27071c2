"""Records of once-only requests, and what they say about each key.

Records of the stream ``once.SHARD`` decide who may run a request that must
not be repeated: the first `Claim` of a key in order of offset. `Done` records
the answer, `Abandon` certifies that the claim was not run and never will be,
and lets a later claim of the key run.
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

# Copies of abandoned claims are told by their ids. More than this many tries
# of one key within its life are a caller in a loop; an id that is forgotten
# can only block its key until the key's life is over, never run it.
MAX_ABANDONED = 32


@attrs.frozen(kw_only=True)
class Answer:
    """An answer small enough to be kept on the log.

    Attributes:
        status: The HTTP status.
        content_type: Of the body.
        body: The whole body.
    """

    status: int
    content_type: str
    body: bytes


@attrs.frozen(kw_only=True)
class Claim:
    """Asks to run a key; its record id names the claim.

    Attributes:
        key: The service's name and the caller's idempotency key.
        digest: Of the request, so that another request under the same key is
            told apart.
        runner: The claiming daemon's name, for people.
        run_limit_s: How long after its start limit the runner may take; past
            it without an outcome, the outcome is unknown.
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
        known: False where the runner can't tell whether it took effect.
        answer: The answer, or None where it was too large to keep.
    """

    key: str
    claim_id: str
    digest: str
    known: bool
    answer: Answer | None


@attrs.frozen(kw_only=True)
class Abandon:
    """Certifies that a claim was not run and never will be.

    Attributes:
        key: The claim's key.
        claim_id: The claim's record id.
    """

    key: str
    claim_id: str


CODEC = codec.Codec(kinds=(Claim, Done, Abandon))


def shard_of(key: str, *, shards: int) -> int:
    """Returns the shard of a key.

    The number of shards must stay the same for as long as a key lives: two
    daemons with different numbers would claim one key on two streams.
    """
    return xxhash.xxh3_64_intdigest(key.encode()) % shards


def scoped_key(*, service: str, idempotency_key: str) -> str:
    """Returns the key on the log, apart for each service."""
    return f"{service}\n{idempotency_key}"


def digest_of(*, method: str, path: str, body: bytes) -> str:
    """Returns a digest by which two requests count as the same."""
    start = f"{method} {path}\n".encode()
    return hashlib.sha256(start + body).hexdigest()


@attrs.frozen(kw_only=True)
class OnceLimits:
    """Times and sizes of once-only work.

    Attributes:
        start_limit_s: A claim that was not started this long after it was
            sent is never started. It bounds what a paused winner can do.
        run_limit_s: How long a started request may take.
        key_life_s: How long a key is remembered after its last record; far
            above the two limits, so that no key is forgotten, and claimed
            anew, while its first claim may still start or run.
        retention_s: How long the log keeps records; far above the key's life,
            so that a daemon that starts reads all that it has to know.
        retry_s: Time between tries to append an outcome.
        answer_bytes: Answers with larger bodies are not kept.
        answer_memory_bytes: Bound on the bodies of all kept answers.
    """

    start_limit_s: float = 5.0
    run_limit_s: float = 60.0
    key_life_s: float = 900.0
    retention_s: float = 3600.0
    retry_s: float = 0.5
    answer_bytes: int = 4096
    answer_memory_bytes: int = 16 * 2**20

    def __attrs_post_init__(self):
        # A factor of two covers the difference of clocks' rates and the lag
        # of readers many times over.
        if 2 * (self.start_limit_s + self.run_limit_s) > self.key_life_s:
            raise errors.BrokenInvariantError("a key could outlive its life")
        if 2 * self.key_life_s > self.retention_s:
            raise errors.BrokenInvariantError("a key could outlive the log")


class State(enum.Enum):
    """What the log says about a key."""

    CLAIMED = "claimed"
    ABANDONED = "abandoned"
    DONE = "done"


@attrs.define(kw_only=True)
class Entry:
    """What is remembered of a key.

    Attributes:
        state: What the log says.
        claim_id: The claim that has the key, or had it last.
        digest: Of that claim's request.
        claimed_at: When this process read that claim.
        run_limit_s: As in `Claim`.
        known: As in `Done`.
        answer: As in `Done`; dropped early when memory is short.
        abandoned: Ids of the claims given up.
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
    """What one shard's records say, for as long as keys live."""

    def __init__(self, *, limits: OnceLimits):
        """Makes an empty fold."""
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
        """Bytes of the answers' bodies kept now."""
        return self._answer_bytes

    def find(self, key: str) -> Entry | None:
        """Returns what is known of a key, if anything."""
        return self._entries.get(key)

    def expire(self, now: float) -> None:
        """Forgets the keys whose life is over."""
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if now < entry.touched_at + self._limits.key_life_s:
                return
            del self._entries[key]
            self._drop_answer(key)

    def apply(self, item: record.Record, now: float) -> None:
        """Takes the next record of the stream."""
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
        # Whatever its effect, a record of the key keeps it from being
        # forgotten: a reader that ignored a claim must not claim the key
        # itself while another reader may have let that claim run.
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
        # Only the runner of an effective claim writes this. So it tells that
        # the key was run even where this reader missed the claim or saw only
        # a second copy of an earlier one.
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
        # Another claim's outcome: its daemon had forgotten the key before
        # this one did. The later answer is the one that all give from now on.
        entry.state = State.DONE
        entry.claim_id = message.claim_id
        entry.digest = message.digest
        entry.known = message.known
        entry.answer = None
        self._drop_answer(message.key)
        if message.answer is not None:
            self._store_answer(message.key, entry, message.answer)

    def _apply_abandon(self, message: Abandon, now: float) -> None:
        # It may stand before its claim, when the claim's append was slow and
        # its runner gave up meanwhile: the id is noted in any case.
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
