"""Simulates the continuous batching of a model engine in virtual time.

A batch runs in steps. In one step each running sequence whose prompt has been
prefilled yields one token, and prompts are prefilled up to a limit that
depends on the engine's role. A step takes longer with more sequences and
prompt tokens in it, so long prefills and short chats slow each other down as
on a real engine.
"""

import bisect
import collections
import itertools

import attrs
import xxhash

# How many bytes of a prompt's UTF-8 encoding count as one token.
BYTES_PER_TOKEN = 4
# Prefixes are cached and published in blocks of this many tokens.
BLOCK_TOKENS = 64
_MAX_CACHE_EVENTS = 2000
# One in this many cache events is lost, which leaves a gap in the numbering.
_LOST_EVENT_PERIOD = 17


@attrs.frozen(kw_only=True)
class Limits:
    """Speed and capacity of an engine.

    Attributes:
        slots: Maximum number of running sequences.
        queue: Maximum number of waiting sequences; more are rejected.
        kv_capacity_tokens: Tokens of KV cache for running sequences.
        cache_tokens: Tokens of the prefix cache.
        prefill_tokens_per_s: Prompt tokens per second of prefill.
        step_s: Duration of an empty step.
        step_per_sequence_s: Seconds that each decoding sequence adds.
        prefill_step_tokens: Maximum number of prompt tokens in one step, by
            role. A decode engine keeps its steps short; a prefill engine
            prefills fast.
    """

    slots: int = 16
    queue: int = 64
    kv_capacity_tokens: int = 262_144
    cache_tokens: int = 131_072
    prefill_tokens_per_s: float = 8000.0
    step_s: float = 0.02
    step_per_sequence_s: float = 0.0005
    prefill_step_tokens: dict[str, int] = attrs.field(
        factory=lambda: {"prefill": 4096, "mixed": 512, "decode": 64}
    )


@attrs.define(kw_only=True, eq=False)
class Sequence:
    """One request in the batch.

    Attributes:
        prompt: The text of the prompt.
        priority: A smaller value runs sooner.
        max_tokens: Tokens of the whole answer.
        index: Index of the next token, counted from 0.
        prefill_tokens: Tokens left to prefill before the first is yielded.
        cached_tokens: Prompt tokens found in the prefix cache.
        prefill_only: Whether the sequence ends after its prefill.
        dropped: Whether the sequence was removed from the batch.
        prompt_tokens: Length of the prompt.
    """

    prompt: str
    priority: int = 0
    max_tokens: int
    index: int = 0
    prefill_tokens: int = 0
    cached_tokens: int = 0
    prefill_only: bool = False
    dropped: bool = False
    prompt_tokens: int = attrs.field(init=False)

    @prompt_tokens.default
    def _count_prompt_tokens(self) -> int:
        return count_tokens(self.prompt)

    @property
    def size_tokens(self) -> int:
        """KV cache tokens that the sequence occupies at its end."""
        answer = 0 if self.prefill_only else self.max_tokens
        return self.prompt_tokens + answer

    @property
    def done(self) -> bool:
        """Whether the sequence has finished."""
        if self.prefill_only:
            return self.prefill_tokens == 0
        return self.index >= self.max_tokens


def count_tokens(prompt: str) -> int:
    """Returns how many tokens a prompt has."""
    return max(1, -(-len(prompt.encode()) // BYTES_PER_TOKEN))


def hash_prefixes(prompt: str) -> list[str]:
    """Returns the hash of the prompt up to the end of each whole block.

    Hash k is the xxh3_64 of the first 256 * (k + 1) bytes of the prompt's
    UTF-8 encoding, as docs/WIRE.md specifies.
    """
    size = BLOCK_TOKENS * BYTES_PER_TOKEN
    raw = prompt.encode()
    state = xxhash.xxh3_64()
    hashes = []
    for start in range(0, len(raw) - size + 1, size):
        state.update(raw[start : start + size])
        hashes.append(state.hexdigest())
    return hashes


class PrefixCache:
    """The cached prefixes of an engine, with LRU eviction."""

    def __init__(self, *, capacity_tokens: int):
        self._capacity_blocks = capacity_tokens // BLOCK_TOKENS
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._seq = itertools.count()
        self._events: collections.deque[tuple[float, dict]] = collections.deque(
            maxlen=_MAX_CACHE_EVENTS
        )

    def match(self, hashes: list[str]) -> int:
        """Returns how many leading tokens of a prompt are cached."""
        blocks = 0
        for prefix in hashes:
            if prefix not in self._blocks:
                break
            self._blocks.move_to_end(prefix)
            blocks += 1
        return blocks * BLOCK_TOKENS

    def store(self, hashes: list[str], now: float) -> None:
        """Caches the prefixes of a prompt and evicts others if it is full."""
        for prefix in hashes:
            if prefix not in self._blocks:
                self._record_event(now, "stored", prefix)
            self._blocks[prefix] = None
            self._blocks.move_to_end(prefix)
        while len(self._blocks) > self._capacity_blocks:
            prefix, _ = self._blocks.popitem(last=False)
            self._record_event(now, "evicted", prefix)

    def clear(self, now: float) -> None:
        """Evicts all prefixes, as a change of model does."""
        for prefix in self._blocks:
            self._record_event(now, "evicted", prefix)
        self._blocks.clear()

    def read_events(self, start: int, until: float) -> list[dict]:
        """Returns the events from a number on that are not after `until`."""
        return [
            event
            for at, event in self._events
            if at <= until and event["seq"] >= start
        ]

    def _record_event(self, now: float, kind: str, prefix: str) -> None:
        seq = next(self._seq)
        if seq % _LOST_EVENT_PERIOD != _LOST_EVENT_PERIOD - 1:
            event = {"seq": seq, "kind": kind, "prefix": prefix}
            self._events.append((now, event))


class Batch:
    """The running and the waiting sequences of an engine."""

    def __init__(self, *, limits: Limits, cache: PrefixCache):
        self._limits = limits
        self._cache = cache
        self._order = itertools.count()
        self._queued: list[tuple[int, int, Sequence]] = []
        self._running: list[Sequence] = []
        self._kv_used = 0
        self.now = 0.0

    @property
    def running(self) -> int:
        """Number of running sequences."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of waiting sequences."""
        return len(self._queued)

    @property
    def kv_used_tokens(self) -> int:
        """KV cache tokens reserved for the running sequences."""
        return self._kv_used

    @property
    def backlog_tokens(self) -> int:
        """Tokens left to prefill, of running and waiting sequences."""
        waiting = sum(s.prefill_tokens for _, _, s in self._queued)
        return waiting + sum(s.prefill_tokens for s in self._running)

    def add(self, sequence: Sequence) -> bool:
        """Queues a sequence; returns False if there is no room for it."""
        too_large = sequence.size_tokens > self._limits.kv_capacity_tokens
        if too_large or len(self._queued) >= self._limits.queue:
            return False
        entry = (sequence.priority, next(self._order), sequence)
        bisect.insort(self._queued, entry)
        return True

    def remove(self, sequence: Sequence) -> None:
        """Removes a sequence, whether it waits or runs."""
        sequence.dropped = True
        self._queued = [e for e in self._queued if e[2] is not sequence]
        if sequence in self._running:
            self._release(sequence)

    def run(self, role: str, budget_s: float) -> tuple[float, list]:
        """Runs steps until they have used up a time budget.

        Args:
            role: ``prefill``, ``decode`` or ``mixed``.
            budget_s: Seconds to use up; if there is work, at least one step
                runs.

        Returns:
            The seconds used, and for each sequence that made progress the
            sequence, the index of its first new token and the index after
            its last.
        """
        taken_s = 0.0
        first: dict[Sequence, int] = {}
        while taken_s < budget_s:
            self._admit()
            if not self._running:
                break
            taken_s += self._step(role, first)
        return taken_s, [(s, start, s.index) for s, start in first.items()]

    def _admit(self) -> None:
        while self._queued and len(self._running) < self._limits.slots:
            sequence = self._queued[0][2]
            room = self._limits.kv_capacity_tokens - self._kv_used
            if sequence.size_tokens > room:
                return
            self._queued.pop(0)
            self._running.append(sequence)
            self._kv_used += sequence.size_tokens
            self._skip_cached(sequence)

    def _skip_cached(self, sequence: Sequence) -> None:
        """Excludes the cached prefix from the prefill of a sequence."""
        if sequence.prefill_tokens:
            held = self._cache.match(hash_prefixes(sequence.prompt))
            # At least one token has to be prefilled to yield the next.
            skipped = min(held, sequence.prefill_tokens - 1)
            sequence.cached_tokens = skipped
            sequence.prefill_tokens -= skipped

    def _step(self, role: str, first: dict[Sequence, int]) -> float:
        left = self._limits.prefill_step_tokens[role]
        prefilled = decoded = 0
        for sequence in list(self._running):
            if sequence.prefill_tokens:
                chunk = min(left, sequence.prefill_tokens)
                sequence.prefill_tokens -= chunk
                left -= chunk
                prefilled += chunk
                if chunk and not sequence.prefill_tokens:
                    hashes = hash_prefixes(sequence.prompt)
                    self._cache.store(hashes, self.now)
            else:
                first.setdefault(sequence, sequence.index)
                sequence.index += 1
                decoded += 1
            if sequence.done:
                first.setdefault(sequence, sequence.index)
                self._release(sequence)
        return (
            self._limits.step_s
            + decoded * self._limits.step_per_sequence_s
            + prefilled / self._limits.prefill_tokens_per_s
        )

    def _release(self, sequence: Sequence) -> None:
        self._running.remove(sequence)
        self._kv_used -= sequence.size_tokens
