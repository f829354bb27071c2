"""Expected content of an engine's prefix cache, as one daemon knows it."""

import collections
from collections.abc import Iterable

import attrs

from bulrushgrade import prompt as prompt_module

PENDING_S = 3.0
"""How long a part is expected to be cached soon after it was sent to an engine.
A prompt that has not been prefilled by then has met a queue that is too long
for further prompts."""

CACHE_FRACTION = 0.8
"""Fraction of an engine's memory that cached parts can be expected to have;
running requests take the rest."""


@attrs.frozen(kw_only=True)
class CacheChange:
    """A change of an engine's cache, as the engine reports it.

    Attributes:
        part: The part's id.
        tokens: Number of its tokens that are cached now; 0 if it was evicted.
    """

    part: str
    tokens: int


class EngineCache:
    """Cached parts of one incarnation of an engine."""

    def __init__(self, *, memory_tokens: int):
        """Initializes an empty cache.

        Args:
            memory_tokens: Capacity of the engine's memory in tokens.
        """
        self._max_tokens = memory_tokens * CACHE_FRACTION
        self._kept: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._kept_tokens = 0
        # Expiry times of parts that are being prefilled, by part id.
        self._pending_until: dict[str, float] = {}

    def expected_tokens(self, prompt: prompt_module.Prompt, now: float) -> int:
        """Returns how many leading tokens will be cached when it is prefilled.

        The engine prefills in order of arrival, so parts that are being
        prefilled now are cached when the prompt is next.
        """
        found = 0
        for part in prompt.shared_parts:
            if self._pending_until.get(part.id, now) > now:
                found += part.tokens
                continue
            kept = min(self._kept.get(part.id, 0), part.tokens)
            found += kept
            if kept < part.tokens:
                break
        return found

    def cached_tokens(self, prompt: prompt_module.Prompt) -> int:
        """Returns how many leading tokens are expected to be cached now."""
        found = 0
        for part in prompt.shared_parts:
            kept = min(self._kept.get(part.id, 0), part.tokens)
            found += kept
            if kept < part.tokens:
                break
        return found

    def apply(self, changes: Iterable[CacheChange], *, reset: bool) -> None:
        """Applies changes that the engine reported.

        Args:
            changes: The changes in order.
            reset: Whether to clear the cache first, after a restart of the
                engine or a gap in its reports.
        """
        if reset:
            self._pending_until.clear()
            self._kept.clear()
            self._kept_tokens = 0
        for change in changes:
            self._keep(change.part, change.tokens)

    def expect(
        self, parts: Iterable[prompt_module.PromptPart], now: float
    ) -> None:
        """Records parts that are being prefilled at the engine."""
        for part in parts:
            self._pending_until[part.id] = now + PENDING_S

    def cancel(self, parts: Iterable[prompt_module.PromptPart]) -> None:
        """Records that parts will not be prefilled at the engine."""
        for part in parts:
            self._pending_until.pop(part.id, None)

    def keep(self, parts: Iterable[prompt_module.PromptPart]) -> None:
        """Records parts that have been prefilled at the engine."""
        for part in parts:
            self._pending_until.pop(part.id, None)
            self._keep(part.id, part.tokens)

    def _keep(self, part: str, tokens: int) -> None:
        self._kept_tokens += tokens - self._kept.pop(part, 0)
        if tokens > 0:
            self._kept[part] = tokens
        while self._kept_tokens > self._max_tokens and self._kept:
            _, dropped = self._kept.popitem(last=False)
            self._kept_tokens -= dropped
