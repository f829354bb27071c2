"""What one daemon believes of an engine: its cache, its queue, its speed.

A daemon sees its own requests only. Three signs tell it how long new work
would wait: the work it has sent there that has not begun to answer, how much
longer than expected recent answers took, and how long the oldest unanswered
request is overdue. The last one grows by itself, so that an engine that went
silent is avoided before anything times out.
"""

import collections
from collections.abc import Iterable
import math

import attrs

from bulrushgrade import directory
from bulrushgrade import prompt as prompt_module

START_TOKENS_PER_S = 40_000.0
"""Prompt tokens that an engine which only reads takes in a second, until its
own answers tell: between the two deployments' 36,700 and 48,200."""

DECODE_SPEED = 0.5
"""An engine that generates reads at half that speed, between tokens."""

DELAY_DECAY_S = 1.0
"""In which an observed delay loses two thirds of its weight. Queues of a few
requests empty in about a second."""

DELAY_WEIGHT = 0.5
"""Of a new observation of the delay: two or three tell a queue from a single
long prompt before it."""

RISE, FALL = 0.3, 0.02
"""Weights of an observed speed above and below the believed one. A request
that waited shows a lower speed than the engine has, never a higher one, so
the belief follows the upper edge of what is seen."""

LEARN_TOKENS = 1000
"""Prompts with less to read tell of fixed costs, not of the speed."""

COMING_S = 3.0
"""How long a part that was sent to an engine is expected there. A prompt that
has not been read by then has met a queue that nobody should join."""

CACHE_SHARE = 0.8
"""Of an engine's memory that cached parts can be counted on to have; running
requests take the rest."""


@attrs.frozen(kw_only=True)
class CacheChange:
    """What an engine says that it keeps of a part.

    Attributes:
        part: The part's id.
        tokens: How many of its tokens are kept now; 0 for none.
    """

    part: str
    tokens: int


@attrs.define(kw_only=True, eq=False)
class Reading:
    """A request of this daemon that an engine is to read.

    Attributes:
        expected_s: What its reading alone should take.
        since: When it was sent.
        tokens: How many tokens it should have to read.
        parts: Shared parts that the engine will then have.
    """

    expected_s: float
    since: float
    tokens: int
    parts: tuple[prompt_module.PromptPart, ...] = ()


class EngineLoad:
    """One incarnation of an engine."""

    def __init__(self, *, memory_tokens: int):
        """Makes the load of an engine that nothing is known of.

        Args:
            memory_tokens: Tokens that fit its memory.
        """
        self._cache_tokens = memory_tokens * CACHE_SHARE
        self._cached: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cached_tokens = 0
        # Until when parts are expected that are being read.
        self._coming: dict[str, float] = {}
        self._readings: dict[Reading, None] = {}
        self._delay_s = 0.0
        self._delay_at = 0.0
        self._tokens_per_s = START_TOKENS_PER_S

    @property
    def readings(self) -> int:
        """Requests of this daemon that have not begun to answer."""
        return len(self._readings)

    def tokens_per_s(self, stage: directory.Stage | None) -> float:
        """Returns how fast it reads in a role."""
        if stage is directory.Stage.PREFILL:
            return self._tokens_per_s
        return self._tokens_per_s * DECODE_SPEED

    def expected_tokens(self, prompt: prompt_module.Prompt, now: float) -> int:
        """Returns how many leading tokens it should not have to read.

        It reads in the order of arrival, so what is being read there now is
        in its cache when the prompt's turn comes.
        """
        found = 0
        for part in prompt.shared_parts:
            if self._coming.get(part.id, now) > now:
                found += part.tokens
                continue
            kept = min(self._cached.get(part.id, 0), part.tokens)
            found += kept
            if kept < part.tokens:
                break
        return found

    def cached_tokens(self, prompt: prompt_module.Prompt) -> int:
        """Returns how many leading tokens it should have in its cache."""
        found = 0
        for part in prompt.shared_parts:
            kept = min(self._cached.get(part.id, 0), part.tokens)
            found += kept
            if kept < part.tokens:
                break
        return found

    def apply(self, changes: Iterable[CacheChange], *, anew: bool) -> None:
        """Takes what the engine says of its cache.

        Args:
            changes: In their order.
            anew: Whether what is believed so far is void, after a restart or
                a gap.
        """
        if anew:
            self._coming.clear()
            self._cached.clear()
            self._cached_tokens = 0
        for change in changes:
            self._keep(change.part, change.tokens)

    @property
    def queued_s(self) -> float:
        """Seconds of reading that this daemon has there."""
        return sum(reading.expected_s for reading in self._readings)

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
        age_s = now - self._delay_at
        seen_s = self._delay_s * math.exp(-age_s / DELAY_DECAY_S)
        return max(self.queued_s + others_s, seen_s, self._overdue_s(now))

    def _overdue_s(self, now: float) -> float:
        if not self._readings:
            return 0.0
        oldest = next(iter(self._readings))
        return now - oldest.since - oldest.expected_s

    def begin(self, reading: Reading) -> None:
        """Notes a request that was sent there."""
        self._readings[reading] = None
        self.expect(reading.parts, reading.since)

    def expect(
        self, parts: Iterable[prompt_module.PromptPart], now: float
    ) -> None:
        """Notes parts that are being read there."""
        for part in parts:
            self._coming[part.id] = now + COMING_S

    def keep(self, parts: Iterable[prompt_module.PromptPart]) -> None:
        """Notes parts that have been read there."""
        for part in parts:
            self._coming.pop(part.id, None)
            self._keep(part.id, part.tokens)

    def answered(
        self, reading: Reading, stage: directory.Stage | None, now: float
    ) -> None:
        """Notes that a request has begun to answer."""
        if reading not in self._readings:
            return
        del self._readings[reading]
        self.keep(reading.parts)
        took_s = max(now - reading.since, 1e-4)
        delay_s = max(0.0, took_s - reading.expected_s)
        faded_s = self._delay_s * math.exp(
            -(now - self._delay_at) / DELAY_DECAY_S
        )
        self._delay_s = faded_s + DELAY_WEIGHT * (delay_s - faded_s)
        self._delay_at = now
        if reading.tokens >= LEARN_TOKENS:
            self._learn_speed(reading.tokens / took_s, stage)

    def dropped(self, reading: Reading) -> None:
        """Notes that a request ended without an answer."""
        if self._readings.pop(reading, self) is not self:
            for part in reading.parts:
                self._coming.pop(part.id, None)

    def _learn_speed(self, seen: float, stage: directory.Stage | None) -> None:
        if stage is not directory.Stage.PREFILL:
            seen /= DECODE_SPEED
        weight = RISE if seen > self._tokens_per_s else FALL
        self._tokens_per_s += weight * (seen - self._tokens_per_s)

    def _keep(self, part: str, tokens: int) -> None:
        self._cached_tokens += tokens - self._cached.pop(part, 0)
        if tokens > 0:
            self._cached[part] = tokens
        while self._cached_tokens > self._cache_tokens and self._cached:
            _, dropped = self._cached.popitem(last=False)
            self._cached_tokens -= dropped
