"""What one daemon believes to be in an engine's prefix cache."""

import collections
from collections.abc import Iterable

import attrs

from bulrushgrade import prompt as prompt_module

PENDING_S = 3.0
"""How long a part that was sent to an engine is expected there. A prompt that
has not been read by then has met a queue that nobody should join."""

CACHE_FRACTION = 0.8
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


class EngineCache:
    """The parts at one incarnation of an engine."""

    def __init__(self, *, memory_tokens: int):
        """Makes the cache of an engine that nothing is known of.

        Args:
            memory_tokens: Tokens that fit its memory.
        """
        self._max_tokens = memory_tokens * CACHE_FRACTION
        self._kept: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._kept_tokens = 0
        # Until when parts are expected that are being read.
        self._pending_until: dict[str, float] = {}

    def expected_tokens(self, prompt: prompt_module.Prompt, now: float) -> int:
        """Returns how many leading tokens it should not have to read.

        It reads in the order of arrival, so what is being read there now is
        in its cache when the prompt's turn comes.
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
        """Returns how many leading tokens it should have in its cache."""
        found = 0
        for part in prompt.shared_parts:
            kept = min(self._kept.get(part.id, 0), part.tokens)
            found += kept
            if kept < part.tokens:
                break
        return found

    def apply(self, changes: Iterable[CacheChange], *, reset: bool) -> None:
        """Takes what the engine says of its cache.

        Args:
            changes: In their order.
            reset: Whether what is believed so far is void, after a restart or
                a gap.
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
        """Notes parts that are being read there."""
        for part in parts:
            self._pending_until[part.id] = now + PENDING_S

    def cancel(self, parts: Iterable[prompt_module.PromptPart]) -> None:
        """Notes parts that are not going to be read there."""
        for part in parts:
            self._pending_until.pop(part.id, None)

    def keep(self, parts: Iterable[prompt_module.PromptPart]) -> None:
        """Notes parts that have been read there."""
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
