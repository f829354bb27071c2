"""What one daemon believes of an engine: its queue, its speed, its cache.

A daemon sees its own requests only. Three signs tell it how long new work
would wait: the work it has sent there that has not been read, how much longer
than expected recent answers took, and how long the oldest unanswered request
is overdue. The last one grows by itself, so that an engine that went silent is
avoided before anything times out.
"""

import math

import attrs

from bulrushgrade import directory
from bulrushgrade import enginecache
from bulrushgrade import prompt as prompt_module
from bulrushgrade import readqueue
from bulrushgrade import readtimes

DECODE_SPEED = 0.5
"""An engine that generates reads at half that speed, between tokens."""

DELAY_DECAY_S = 1.0
"""In which an observed delay loses two thirds of its weight. Queues of a few
requests empty in about a second."""

DELAY_WEIGHT = 0.5
"""Of a new observation of the delay: two or three tell a queue from a single
long prompt before it."""

OWN_READINGS = 3
"""Readings of an engine from which on its own speed is used, and before which
that of all engines: speeds within a fleet differ by a third."""


@attrs.define(kw_only=True, eq=False)
class Reading:
    """A request of this daemon that an engine is to read or to take over.

    Attributes:
        expected_s: How long it should keep the engine busy.
        since: When it was sent.
        tokens: How many tokens it should have to read.
        wait_s: How long it should wait before.
        latency_s: From the end of that work to the beginning of the answer.
        fetch_s: The part of the work in which cached parts are fetched.
        way: Whether and where it is read.
        parts: Shared parts that the engine will then have.
    """

    expected_s: float
    since: float
    tokens: int
    wait_s: float = 0.0
    latency_s: float = 0.0
    fetch_s: float = 0.0
    way: readtimes.Way = readtimes.Way.IN_PLACE
    parts: tuple[prompt_module.PromptPart, ...] = ()

    @property
    def due_s(self) -> float:
        """How long it should take in all, from its sending."""
        return self.wait_s + self.expected_s + self.latency_s

    @property
    def is_calm(self) -> bool:
        """Whether it met hardly any other work, as far as is known."""
        own_s = self.expected_s + self.latency_s
        return self.wait_s <= readtimes.CALM_SHARE * own_s


class EngineLoad:
    """One incarnation of an engine."""

    def __init__(
        self, *, memory_tokens: int, times: readtimes.ReadTimes | None = None
    ):
        """Makes the load of an engine that nothing is known of.

        Args:
            memory_tokens: Tokens that fit its memory.
            times: What is known of all engines of its service.
        """
        self._cache = enginecache.EngineCache(memory_tokens=memory_tokens)
        self._times = times or readtimes.ReadTimes()
        self._speed = readtimes.Speed()
        self._queue = readqueue.ReadQueue()
        self._readings: dict[Reading, None] = {}
        self._delay_s = 0.0
        self._delay_at = 0.0

    @property
    def cache(self) -> enginecache.EngineCache:
        """What it should have in its prefix cache."""
        return self._cache

    @property
    def readings(self) -> int:
        """Requests of this daemon that have not begun to answer."""
        return len(self._readings)

    def tokens_per_s(self, stage: directory.Stage | None) -> float:
        """Returns how fast it reads in a role."""
        speed = self._times.speed
        if self._speed.readings >= OWN_READINGS:
            speed = self._speed
        if stage is directory.Stage.PREFILL:
            return speed.tokens_per_s
        return speed.tokens_per_s * DECODE_SPEED

    def queued_s(self, now: float) -> float:
        """Returns the seconds of reading that this daemon has there."""
        return self._queue.wait_s(now)

    def known_wait_s(self, now: float, queued_s: float) -> float:
        """Returns how long new work would wait, where the queue is known.

        Args:
            now: The present time in seconds.
            queued_s: What is left to be read there, of all daemons.
        """
        return max(queued_s, self._overdue_s(now))

    def wait_s(self, now: float, *, others_s: float = 0.0) -> float:
        """Returns how long new work would wait before it is read.

        Args:
            now: The present time in seconds.
            others_s: Seconds of reading that other daemons have there.
        """
        unknown_s = self._delay_s * math.exp(
            -(now - self._delay_at) / DELAY_DECAY_S
        )
        queued_s = self._queue.wait_s(now) + others_s
        return max(queued_s + unknown_s, self._overdue_s(now))

    def begin(self, reading: Reading) -> None:
        """Notes a request that was sent there."""
        self._readings[reading] = None
        self._queue.add(
            reading,
            reading.expected_s,
            reading.since,
            latency_s=reading.latency_s,
        )
        self._cache.expect(reading.parts, reading.since)

    def answered(
        self, reading: Reading, stage: directory.Stage | None, now: float
    ) -> None:
        """Notes that a request has begun to answer."""
        if reading not in self._readings:
            return
        del self._readings[reading]
        self._queue.remove(reading, now)
        self._cache.keep(reading.parts)
        took_s = now - reading.since
        self._note_delay(max(0.0, took_s - reading.due_s), now)
        if reading.is_calm:
            self._learn(reading, took_s - reading.wait_s, stage)

    def dropped(self, reading: Reading, now: float) -> None:
        """Notes that a request ended without an answer."""
        if self._readings.pop(reading, self) is not self:
            self._queue.remove(reading, now)
            self._cache.give_up(reading.parts)

    def _overdue_s(self, now: float) -> float:
        if not self._readings:
            return 0.0
        oldest = next(iter(self._readings))
        return now - oldest.since - oldest.due_s

    def _note_delay(self, delay_s: float, now: float) -> None:
        faded_s = self._delay_s * math.exp(
            -(now - self._delay_at) / DELAY_DECAY_S
        )
        self._delay_s = faded_s + DELAY_WEIGHT * (delay_s - faded_s)
        self._delay_at = now

    def _learn(
        self, reading: Reading, own_s: float, stage: directory.Stage | None
    ) -> None:
        if reading.tokens <= readtimes.SHORT_TOKENS:
            seen_s = own_s - reading.expected_s
            self._times.note_latency(reading.way, seen_s)
        if reading.tokens == 0:
            return
        read_s = max(own_s - reading.latency_s - reading.fetch_s, 0.0)
        if stage is not directory.Stage.PREFILL:
            read_s *= DECODE_SPEED
        for speed in (self._times.speed, self._speed):
            speed.note(reading.tokens, read_s)
