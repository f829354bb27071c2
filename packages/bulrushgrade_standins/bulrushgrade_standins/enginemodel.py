"""A simulated model engine on a virtual clock, for replaying traces.

It models what affects scheduling under load: a priority queue, continuous
batching in which a prefill slows the decodes in the same batch, limited KV
memory, a prefix cache, and role changes that take seconds. Rates are constant
between events, so one request costs a few events however long its answer is.
"""

import collections
from collections.abc import Callable
import heapq
import itertools

import attrs
import simpy

from bulrushgrade import work

PREFILL_TOKENS_PER_S = 8000.0
"""Prefill rate of an engine that does nothing else."""

CHUNK_TOKENS = 512
"""Tokens that a mixed engine prefills in one step next to its decodes."""

STEP_S = 0.015
STEP_S_PER_REQUEST = 0.0004
"""Duration of a decode step, and what each running request adds to it."""

MIXED_SLOTS = 48
DECODE_SLOTS = 64
"""Concurrent requests; a mixed engine reserves memory for its chunks."""

KV_CAPACITY_TOKENS = 120_000
CACHE_BLOCKS = 1500
ROLE_CHANGE_S = 6.0
TRANSFER_S = 0.02
TRANSFER_S_PER_TOKEN = 1e-6


@attrs.define(kw_only=True, eq=False)
class Job:
    """One attempt of a request at one engine.

    Attributes:
        request_id: The id of the request in the trace.
        prompt_tokens: Tokens of the prompt and of earlier attempts.
        output_tokens: Tokens to generate.
        priority: A smaller value is prefilled sooner.
        decode_engine: The engine that decodes, or None for the one that
            prefills.
        on_prefilled: Called when the prompt has been prefilled.
        on_first_token: Called at the first token.
        on_done: Called when the last token has been generated.
        on_failed: Called when an engine with the job is lost.
    """

    request_id: str
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[int, ...]
    priority: int
    decode_engine: "Engine | None"
    on_prefilled: Callable[[], None]
    on_first_token: Callable[[], None]
    on_done: Callable[[], None]
    on_failed: Callable[[], None]
    unprefilled_tokens: float = 0.0
    end_at: float = 0.0
    current_engine: "Engine | None" = None
    ended: bool = False
    tokens_done: int = 0
    cached_tokens: int = 0

    @property
    def kv_tokens(self) -> int:
        """KV memory that the job occupies from start to end."""
        return self.prompt_tokens + self.output_tokens


class Engine:
    """One engine, driven by the clock of simpy."""

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
        self.slow_factor = 1.0
        self.changes = 0
        self.away_s = 0.0
        self._numbers = itertools.count()
        self._queue: list[tuple[int, int, Job]] = []
        self._prefilling: Job | None = None
        self._imports: collections.deque[Job] = collections.deque()
        self._decoding: list[tuple[float, int, Job]] = []
        self._admitted: dict[Job, None] = {}
        self._kv_used_tokens = 0
        self._decode_steps = 0.0
        self._updated_at = 0.0
        self._timer_version = 0
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._next_role: work.Role | None = None
        self.on_changed: Callable[[], None] = lambda: None

    @property
    def slots(self) -> int:
        """The maximum number of concurrent requests."""
        mixed = self.role is work.Role.MIXED
        return MIXED_SLOTS if mixed else DECODE_SLOTS

    @property
    def jobs(self) -> int:
        """The number of requests at the engine, waiting or running."""
        return len(self._admitted) + len(self._queue) + len(self._imports)

    def submit(self, job: Job) -> bool:
        """Queues a request; returns False if the engine rejects it."""
        if self.state is not work.EndpointState.SERVING:
            return False
        if self.role is work.Role.DECODE:
            return False
        if self.role is work.Role.PREFILL and job.decode_engine is None:
            return False
        job.current_engine = self
        heapq.heappush(self._queue, (job.priority, next(self._numbers), job))
        self._update()
        return True

    def cancel(self, job: Job) -> None:
        """Removes a request, whether it waits or runs."""
        job.ended = True
        self._advance()
        if job in self._admitted:
            self._release(job)
            if self._prefilling is job:
                self._prefilling = None
            self._decoding = [a for a in self._decoding if a[2] is not job]
            heapq.heapify(self._decoding)
        self._update()

    def crash(self) -> None:
        """Goes down at once and fails all its requests."""
        self._advance()
        self.state = work.EndpointState.DOWN
        failed = [job for _, _, job in self._queue]
        failed += [*self._imports, *self._admitted]
        for _, _, job in self._decoding:
            job.tokens_done = self.generated(job)
        self._queue, self._decoding = [], []
        self._imports.clear()
        self._admitted.clear()
        self._cache.clear()
        self._prefilling = None
        self._kv_used_tokens = 0
        self._timer_version += 1
        for job in failed:
            self._fail(job)

    def resume_serving(self) -> None:
        """Serves again after a crash or a role change."""
        self.state = work.EndpointState.SERVING
        self._updated_at = self._env.now

    def start_draining(self) -> None:
        """Finishes its requests and rejects new ones."""
        self.state = work.EndpointState.LEAVING

    def change_role(self, role: work.Role) -> None:
        """Drains, is unavailable for a while, and serves in a new role."""
        self.state = work.EndpointState.LEAVING
        self.changes += 1
        self._next_role = role
        self._change_role_if_idle()

    def set_slow_factor(self, factor: float) -> None:
        """Sets the factor on the duration of every step."""
        self._advance()
        self.slow_factor = factor
        self._update()

    def generated(self, job: Job) -> int:
        """Returns how many tokens have been generated for a request."""
        self._advance()
        left = max(0.0, job.end_at - self._decode_steps)
        return max(0, int(job.output_tokens - left))

    def load(self) -> work.LoadReport:
        """Returns the current load."""
        self._advance()
        unprefilled_tokens = sum(
            job.unprefilled_tokens or job.prompt_tokens
            for _, _, job in self._queue
        )
        if self._prefilling is not None:
            unprefilled_tokens += self._prefilling.unprefilled_tokens
        return work.LoadReport(
            endpoint=self.address,
            running=len(self._admitted),
            queued=len(self._queue) + len(self._imports),
            prefill_backlog_tokens=round(unprefilled_tokens),
            kv_used_tokens=self._kv_used_tokens,
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
        job.current_engine = self
        self._imports.append(job)
        self._update()

    def _change_role_if_idle(self) -> None:
        if self._next_role is None or self.jobs:
            return
        role, self._next_role = self._next_role, None
        self.state = work.EndpointState.CHANGING
        self.away_s += ROLE_CHANGE_S
        self._call_later(ROLE_CHANGE_S, lambda: self._finish_role_change(role))

    def _finish_role_change(self, role: work.Role) -> None:
        if self.state is work.EndpointState.CHANGING:
            self.role = role
            self.resume_serving()
            self.on_changed()

    def _call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        event = self._env.timeout(delay_s)
        event.callbacks.append(lambda _: callback())

    # Progress between events

    def _step_s(self) -> float:
        step = STEP_S + STEP_S_PER_REQUEST * len(self._decoding)
        if self._prefilling is not None:
            step += CHUNK_TOKENS / PREFILL_TOKENS_PER_S
        return step * self.slow_factor

    def _prefill_rate(self) -> float:
        if self.role is work.Role.PREFILL:
            return PREFILL_TOKENS_PER_S / self.slow_factor
        return CHUNK_TOKENS / self._step_s()

    def _advance(self) -> None:
        elapsed = self._env.now - self._updated_at
        self._updated_at = self._env.now
        if elapsed <= 0.0:
            return
        if self._decoding:
            self._decode_steps += elapsed / self._step_s()
        if self._prefilling is not None:
            self._prefilling.unprefilled_tokens -= (
                elapsed * self._prefill_rate()
            )

    def _update(self) -> None:
        """Advances the state to now, starts jobs, schedules the next event."""
        self._advance()
        self._finish_due()
        self._start_due()
        self._timer_version += 1
        version = self._timer_version
        delays = []
        if self._decoding:
            left = self._decoding[0][0] - self._decode_steps
            delays.append(left * self._step_s())
        if self._prefilling is not None:
            delays.append(
                self._prefilling.unprefilled_tokens / self._prefill_rate()
            )
        if delays:
            delay = max(min(delays), 0.0) + 1e-7
            self._call_later(delay, lambda: self._tick(version))
        self._change_role_if_idle()

    def _tick(self, version: int) -> None:
        if version == self._timer_version:
            self._update()

    def _finish_due(self) -> None:
        while (
            self._decoding and self._decoding[0][0] <= self._decode_steps + 1e-6
        ):
            job = heapq.heappop(self._decoding)[2]
            self._release(job)
            job.ended = True
            job.on_done()
        job = self._prefilling
        if job is not None and job.unprefilled_tokens <= 1e-3:
            self._prefilling = None
            self._cache_prefix(job.prefix)
            job.on_prefilled()
            if job.decode_engine is None:
                self._start_decode(job)
            else:
                self._release(job)
                delay = TRANSFER_S + TRANSFER_S_PER_TOKEN * job.prompt_tokens
                target = job.decode_engine
                self._call_later(delay, lambda: target._import(job))

    def _start_decode(self, job: Job) -> None:
        job.end_at = self._decode_steps + max(job.output_tokens - 1, 0)
        heapq.heappush(self._decoding, (job.end_at, next(self._numbers), job))
        job.on_first_token()

    def _fits(self, job: Job) -> bool:
        has_memory = self._kv_used_tokens + job.kv_tokens <= KV_CAPACITY_TOKENS
        return len(self._admitted) < self.slots and (
            has_memory or not self._admitted
        )

    def _start_due(self) -> None:
        while self._imports and (
            self._imports[0].ended or self._fits(self._imports[0])
        ):
            job = self._imports.popleft()
            if not job.ended:
                self._admit(job)
                self._start_decode(job)
        self._preempt()
        while self._prefilling is None and self._queue:
            job = self._queue[0][2]
            if job.ended:
                heapq.heappop(self._queue)
                continue
            if job not in self._admitted and not self._fits(job):
                return
            heapq.heappop(self._queue)
            if job not in self._admitted:
                self._admit(job)
                job.cached_tokens = self._match_prefix(job)
                job.unprefilled_tokens = max(
                    1.0, job.prompt_tokens - job.cached_tokens
                )
            self._prefilling = job

    def _preempt(self) -> None:
        """Interrupts the current prefill for a more urgent job."""
        job = self._prefilling
        if job is None or not self._queue:
            return
        if self._queue[0][0] < job.priority and self._fits(self._queue[0][2]):
            self._prefilling = None
            heapq.heappush(
                self._queue, (job.priority, -next(self._numbers), job)
            )

    def _admit(self, job: Job) -> None:
        self._admitted[job] = None
        self._kv_used_tokens += job.kv_tokens

    def _release(self, job: Job) -> None:
        del self._admitted[job]
        self._kv_used_tokens -= job.kv_tokens

    def _match_prefix(self, job: Job) -> int:
        count = 0
        for block in job.prefix:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            count += 1
        return count * work.BLOCK_TOKENS

    def _cache_prefix(self, prefix: tuple[int, ...]) -> None:
        for block in prefix:
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > CACHE_BLOCKS:
            self._cache.popitem(last=False)
