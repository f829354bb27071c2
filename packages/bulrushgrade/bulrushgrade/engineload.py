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
from bulrushgrade import linearfit
from bulrushgrade import pausemodel
from bulrushgrade import peerloads
from bulrushgrade import prompt as prompt_module
from bulrushgrade import readqueue
from bulrushgrade import readtimes
from bulrushgrade import streamload

DECODE_SPEED = 0.5
"""An engine that generates reads at half that speed, between tokens."""

DELAY_DECAY_S = 1.0
"""In which an observed delay loses two thirds of its weight. Queues of a few
requests empty in about a second."""

DELAY_WEIGHT = 0.5
"""Of a new observation of the delay: two or three tell a queue from a single
long prompt before it."""


@attrs.define(kw_only=True, eq=False)
class Reading:
    """A request of this daemon that an engine is to read or to take over.

    Attributes:
        expected_s: How long it should keep the engine busy.
        since: When it was sent.
        tokens: How many tokens it should have to read.
        cached_tokens: Those before them, which it should have.
        wait_s: How long it should wait before.
        latency_s: From the end of that work to the beginning of the answer.
        urgency: 0 is read first.
        fetch_s: The part of the work in which cached parts are fetched.
        way: Whether and where it is read.
        parts: Shared parts that the engine will then have.
    """

    expected_s: float
    since: float
    tokens: int
    cached_tokens: int = 0
    wait_s: float = 0.0
    latency_s: float = 0.0
    urgency: int = 0
    fetch_s: float = 0.0
    way: readtimes.Way = readtimes.Way.IN_PLACE
    parts: tuple[prompt_module.PromptPart, ...] = ()

    @property
    def due_s(self) -> float:
        """How long it should take in all, from its sending."""
        return self.wait_s + self.expected_s + self.latency_s

    @property
    def queue_entry(self) -> readqueue.Entry:
        """What waits there for as long as it is not read."""
        return readqueue.Entry(
            seconds=self.expected_s,
            latency_s=self.latency_s,
            urgency=self.urgency,
            added_at=self.since,
        )

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
        self._read_factor = readtimes.new_factor()
        self._queue = readqueue.ReadQueue()
        self._streams = streamload.StreamLoad()
        self._pause_factor = pausemodel.new_factor()
        self._readings: dict[Reading, None] = {}
        self._delay_s = 0.0
        self._delay_at = 0.0

    @property
    def cache(self) -> enginecache.EngineCache:
        """What it should have in its prefix cache."""
        return self._cache

    @property
    def streams(self) -> streamload.StreamLoad:
        """The streams that this daemon has running there."""
        return self._streams

    @property
    def pause_factor(self) -> linearfit.Factor:
        """How much longer its streams' pauses are than elsewhere."""
        return self._pause_factor

    @property
    def is_idle(self) -> bool:
        """Whether this daemon has nothing there."""
        return not self._readings and not self._streams.running

    def share(self, now: float) -> peerloads.EngineShare:
        """Returns what this daemon has there, for its peers."""
        return peerloads.EngineShare(
            queued_s=self._queue.by_urgency(now),
            streams=self._streams.running,
            tokens=self._streams.tokens,
        )

    @property
    def readings(self) -> int:
        """Requests of this daemon that have not begun to answer."""
        return len(self._readings)

    def read_s(
        self, tokens: int, cached_tokens: int, stage: directory.Stage | None
    ) -> float:
        """Returns how long it reads in a role.

        Args:
            tokens: Tokens to be read.
            cached_tokens: Those before them, which it has.
            stage: Its role.
        """
        usual_s = self._times.read_s(tokens, cached_tokens)
        return self._read_factor.value * usual_s / _read_speed(stage)

    def known_wait_s(self, now: float, queued_s: float) -> float:
        """Returns how long new work would wait, where the queue is known.

        Args:
            now: The present time in seconds.
            queued_s: What is left to be read there, of all daemons.
        """
        return max(queued_s, self._overdue_s(now))

    def wait_s(
        self, now: float, *, urgency: int, others_s: float = 0.0
    ) -> float:
        """Returns how long new work would wait before it is read.

        Args:
            now: The present time in seconds.
            urgency: Of the new work.
            others_s: Seconds of reading of that urgency or more that other
                daemons have there.
        """
        unknown_s = self._delay_s * math.exp(
            -(now - self._delay_at) / DELAY_DECAY_S
        )
        queued_s = self._queue.wait_s(now, urgency=urgency) + others_s
        return max(queued_s + unknown_s, self._overdue_s(now))

    def begin(self, reading: Reading) -> None:
        """Notes a request that was sent there."""
        self._readings[reading] = None
        self._queue.add(reading, reading.queue_entry)
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
        # Work that nobody here knew of makes a reading longer, never shorter:
        # one that was faster than expected teaches even if it had to wait.
        own_s = reading.expected_s + reading.latency_s
        if reading.is_calm or took_s < own_s:
            self._learn(reading, took_s, stage)

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
        self, reading: Reading, took_s: float, stage: directory.Stage | None
    ) -> None:
        if reading.tokens <= readtimes.SHORT_TOKENS:
            self._times.note_latency(reading.way, took_s - reading.expected_s)
        tokens, cached_tokens = reading.tokens, reading.cached_tokens
        if took_s < reading.expected_s + reading.latency_s:
            # The engine may have more of the shared parts than is known here,
            # and would look many times as fast. It has none of what is the
            # prompt's own: that was read in this time, if not more.
            shared_tokens = sum(part.tokens for part in reading.parts)
            cached_tokens = max(cached_tokens, shared_tokens)
            tokens += reading.cached_tokens - cached_tokens
        if tokens <= 0:
            return
        read_s = max(took_s - reading.latency_s - reading.fetch_s, 0.0)
        if tokens < reading.tokens and read_s >= self.read_s(
            tokens, cached_tokens, stage
        ):
            return
        self._times.note_read(
            tokens,
            cached_tokens,
            read_s * _read_speed(stage),
            self._read_factor,
        )


def _read_speed(stage: directory.Stage | None) -> float:
    return 1.0 if stage is directory.Stage.PREFILL else DECODE_SPEED
