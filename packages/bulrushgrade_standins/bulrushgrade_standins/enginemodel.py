"""A fake model engine on a virtual clock, for the replay of traces.

It keeps what decisions under load can feel: a queue in order of priority,
continuous batching in which reading a prompt slows the answers that run
beside it, limited KV memory, a prefix cache, roles that take seconds to
change. Rates are constant between events, so that one request costs a few
events however long its answer is.
"""

import collections
from collections.abc import Callable
import heapq
import itertools

import attrs
import simpy

from bulrushgrade import work

PREFILL_TOKENS_PER_S = 8000.0
"""Reading speed of an engine that does nothing else."""

CHUNK_TOKENS = 512
"""Tokens that a mixed engine reads in one step beside its answers."""

STEP_S = 0.015
STEP_S_PER_REQUEST = 0.0004
"""Time of a decode step, and what each running request adds."""

MIXED_SLOTS = 48
DECODE_SLOTS = 64
"""Requests at once; a mixed engine keeps memory for its chunks."""

KV_CAPACITY_TOKENS = 120_000
CACHE_BLOCKS = 1500
CHANGE_S = 6.0
TRANSFER_S = 0.02
TRANSFER_S_PER_TOKEN = 1e-6


@attrs.define(kw_only=True, eq=False)
class Job:
    """One attempt of a request at one engine.

    Attributes:
        request: The trace's request.
        prompt_tokens: Tokens to hold, with those of an earlier attempt.
        output_tokens: Tokens to generate.
        priority: Smaller is read sooner.
        decode_at: The engine that generates, or None for this one.
        on_read: Called when the prompt has been read.
        on_first: Called at the first token.
        on_done: Called at the end.
        on_failed: Called when the engine is lost or refuses.
    """

    request_id: str
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[int, ...]
    priority: int
    decode_at: "Engine | None"
    on_read: Callable[[], None]
    on_first: Callable[[], None]
    on_done: Callable[[], None]
    on_failed: Callable[[], None]
    unread: float = 0.0
    end_at: float = 0.0
    at: "Engine | None" = None
    ended: bool = False
    tokens_done: int = 0
    cached_tokens: int = 0

    @property
    def kv_tokens(self) -> int:
        """KV memory that it holds from its start to its end."""
        return self.prompt_tokens + self.output_tokens


class Engine:
    """One engine, driven by simpy's clock."""

    def __init__(
        self,
        *,
        env: simpy.Environment,
        address: str,
        zone: str,
        role: work.Role,
    ):
        self._env = env
        self.address = address
        self.zone = zone
        self.role = role
        self.state = work.EndpointState.SERVING
        self.slow = 1.0
        self.changes = 0
        self.away_s = 0.0
        self._numbers = itertools.count()
        self._queue: list[tuple[int, int, Job]] = []
        self._reading: Job | None = None
        self._imports: collections.deque[Job] = collections.deque()
        self._answers: list[tuple[float, int, Job]] = []
        self._holding: dict[Job, None] = {}
        self._kv = 0
        self._decoded = 0.0
        self._at = 0.0
        self._version = 0
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._next_role: work.Role | None = None
        self.on_changed: Callable[[], None] = lambda: None

    @property
    def slots(self) -> int:
        """Requests that it runs at once at most."""
        mixed = self.role is work.Role.MIXED
        return MIXED_SLOTS if mixed else DECODE_SLOTS

    @property
    def jobs(self) -> int:
        """Requests that are here, waiting or running."""
        return len(self._holding) + len(self._queue) + len(self._imports)

    def submit(self, job: Job) -> bool:
        """Takes a request, or returns False when it doesn't start it."""
        if self.state is not work.EndpointState.SERVING:
            return False
        if self.role is work.Role.DECODE:
            return False
        if self.role is work.Role.PREFILL and job.decode_at is None:
            return False
        job.at = self
        heapq.heappush(self._queue, (job.priority, next(self._numbers), job))
        self._wake()
        return True

    def cancel(self, job: Job) -> None:
        """Drops a request wherever it is here."""
        job.ended = True
        self._advance()
        if job in self._holding:
            self._free(job)
            if self._reading is job:
                self._reading = None
            self._answers = [a for a in self._answers if a[2] is not job]
            heapq.heapify(self._answers)
        self._wake()

    def lose(self) -> None:
        """Ends at once, with all that it had."""
        self._advance()
        self.state = work.EndpointState.DOWN
        failed = [job for _, _, job in self._queue]
        failed += [*self._imports, *self._holding]
        for _, _, job in self._answers:
            job.tokens_done = self.generated(job)
        self._queue, self._answers = [], []
        self._imports.clear()
        self._holding.clear()
        self._cache.clear()
        self._reading = None
        self._kv = 0
        self._version += 1
        for job in failed:
            self._fail(job)

    def come_back(self) -> None:
        """Serves again, with an empty cache."""
        self.state = work.EndpointState.SERVING
        self._at = self._env.now

    def leave(self) -> None:
        """Finishes what it has and takes nothing new."""
        self.state = work.EndpointState.LEAVING

    def change_role(self, role: work.Role) -> None:
        """Drains, is away for its change time, and serves in a new role."""
        self.state = work.EndpointState.LEAVING
        self.changes += 1
        self._next_role = role
        self._maybe_change()

    def set_slow(self, factor: float) -> None:
        """Makes every step take this many times as long."""
        self._advance()
        self.slow = factor
        self._wake()

    def generated(self, job: Job) -> int:
        """Returns how many tokens of an answer have been generated."""
        self._advance()
        left = max(0.0, job.end_at - self._decoded)
        return max(0, int(job.output_tokens - left))

    def load(self) -> work.LoadReport:
        """Returns its present figures."""
        self._advance()
        unread = sum(
            job.unread or job.prompt_tokens for _, _, job in self._queue
        )
        if self._reading is not None:
            unread += self._reading.unread
        return work.LoadReport(
            endpoint=self.address,
            running=len(self._holding),
            queued=len(self._queue) + len(self._imports),
            prefill_backlog_tokens=round(unread),
            kv_used_tokens=self._kv,
            kv_capacity_tokens=KV_CAPACITY_TOKENS,
        )

    def _fail(self, job: Job) -> None:
        if not job.ended:
            job.ended = True
            job.on_failed()

    def _import(self, job: Job) -> None:
        if job.ended:
            return
        if self.state is work.EndpointState.DOWN:
            self._fail(job)
            return
        job.at = self
        self._imports.append(job)
        self._wake()

    def _maybe_change(self) -> None:
        if self._next_role is None or self.jobs:
            return
        role, self._next_role = self._next_role, None
        self.state = work.EndpointState.CHANGING
        self.away_s += CHANGE_S
        self._later(CHANGE_S, lambda: self._changed(role))

    def _changed(self, role: work.Role) -> None:
        if self.state is work.EndpointState.CHANGING:
            self.role = role
            self.come_back()
            self.on_changed()

    def _later(self, delay_s: float, callback: Callable[[], None]) -> None:
        event = self._env.timeout(delay_s)
        event.callbacks.append(lambda _: callback())

    # Progress between events.

    def _step_s(self) -> float:
        step = STEP_S + STEP_S_PER_REQUEST * len(self._answers)
        if self._reading is not None:
            step += CHUNK_TOKENS / PREFILL_TOKENS_PER_S
        return step * self.slow

    def _read_rate(self) -> float:
        if self.role is work.Role.PREFILL:
            return PREFILL_TOKENS_PER_S / self.slow
        return CHUNK_TOKENS / self._step_s()

    def _advance(self) -> None:
        elapsed = self._env.now - self._at
        self._at = self._env.now
        if elapsed <= 0.0:
            return
        if self._answers:
            self._decoded += elapsed / self._step_s()
        if self._reading is not None:
            self._reading.unread -= elapsed * self._read_rate()

    def _wake(self) -> None:
        """Brings all up to now, starts what can start, plans the next event."""
        self._advance()
        self._finish_due()
        self._start_due()
        self._version += 1
        version = self._version
        delays = []
        if self._answers:
            left = self._answers[0][0] - self._decoded
            delays.append(left * self._step_s())
        if self._reading is not None:
            delays.append(self._reading.unread / self._read_rate())
        if delays:
            delay = max(min(delays), 0.0) + 1e-7
            self._later(delay, lambda: self._tick(version))
        self._maybe_change()

    def _tick(self, version: int) -> None:
        if version == self._version:
            self._wake()

    def _finish_due(self) -> None:
        while self._answers and self._answers[0][0] <= self._decoded + 1e-6:
            job = heapq.heappop(self._answers)[2]
            self._free(job)
            job.ended = True
            job.on_done()
        job = self._reading
        if job is not None and job.unread <= 1e-3:
            self._reading = None
            self._store(job.prefix)
            job.on_read()
            if job.decode_at is None:
                self._answer(job)
            else:
                self._free(job)
                delay = TRANSFER_S + TRANSFER_S_PER_TOKEN * job.prompt_tokens
                target = job.decode_at
                self._later(delay, lambda: target._import(job))

    def _answer(self, job: Job) -> None:
        job.end_at = self._decoded + max(job.output_tokens - 1, 0)
        heapq.heappush(self._answers, (job.end_at, next(self._numbers), job))
        job.on_first()

    def _fits(self, job: Job) -> bool:
        room = self._kv + job.kv_tokens <= KV_CAPACITY_TOKENS
        return len(self._holding) < self.slots and (room or not self._holding)

    def _start_due(self) -> None:
        while self._imports and (
            self._imports[0].ended or self._fits(self._imports[0])
        ):
            job = self._imports.popleft()
            if not job.ended:
                self._hold(job)
                self._answer(job)
        self._preempt()
        while self._reading is None and self._queue:
            job = self._queue[0][2]
            if job.ended:
                heapq.heappop(self._queue)
                continue
            if job not in self._holding and not self._fits(job):
                return
            heapq.heappop(self._queue)
            if job not in self._holding:
                self._hold(job)
                job.cached_tokens = self._cached(job)
                job.unread = max(1.0, job.prompt_tokens - job.cached_tokens)
            self._reading = job

    def _preempt(self) -> None:
        """A sooner priority is read first, from the next chunk on."""
        job = self._reading
        if job is None or not self._queue:
            return
        if self._queue[0][0] < job.priority and self._fits(self._queue[0][2]):
            self._reading = None
            heapq.heappush(
                self._queue, (job.priority, -next(self._numbers), job)
            )

    def _hold(self, job: Job) -> None:
        self._holding[job] = None
        self._kv += job.kv_tokens

    def _free(self, job: Job) -> None:
        del self._holding[job]
        self._kv -= job.kv_tokens

    def _cached(self, job: Job) -> int:
        count = 0
        for block in job.prefix:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            count += 1
        return count * work.BLOCK_TOKENS

    def _store(self, prefix: tuple[int, ...]) -> None:
        for block in prefix:
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > CACHE_BLOCKS:
            self._cache.popitem(last=False)
