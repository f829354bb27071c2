"""Prompts described by the ids and sizes of their parts, not by their text."""

from collections.abc import Sequence

import attrs

MAX_PART_ID_CHARS = 128
"""Maximum length of a prompt part's id. Hosts send several to each other in one
datagram."""


@attrs.frozen(kw_only=True)
class PromptPart:
    """A sequence of tokens that other prompts may begin with as well.

    Attributes:
        id: Equal for equal tokens.
        tokens: The number of tokens.
    """

    id: str
    tokens: int


def anchor(shared: Sequence[PromptPart]) -> PromptPart | None:
    """Returns the shared part that determines where a prompt is prefilled.

    It is the longest one. The first part may be a few hundred tokens that a
    third of all prompts begin with. If it determined the placement, all these
    prompts would use the same few engines: in one fleet, one of six engines was
    twice as full as the others, and no engine would keep long parts cached.

    Args:
        shared: The shared parts in order.
    """
    return max(shared, key=lambda part: part.tokens, default=None)


@attrs.frozen(kw_only=True)
class Prompt:
    """The prompt of a request to a model engine.

    Attributes:
        model: The model's name.
        parts: The parts in order; the last one belongs to the request or its
            session.
        prompt_tokens: Total number of tokens of the prompt.
        output_tokens: Maximum number of tokens to generate.
    """

    model: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests are likely to begin with."""
        return self.parts[:-1]

    @property
    def anchor(self) -> PromptPart | None:
        """The shared part that determines where it is prefilled, or None."""
        return anchor(self.shared_parts)

    @property
    def shared_tokens(self) -> int:
        """Number of tokens of the shared parts."""
        return sum(part.tokens for part in self.shared_parts)


def normalize_part_id(text: str) -> str:
    """Returns the id of a prompt part in its canonical form.

    Ids are hexadecimal numbers. Engines write them without leading zeros, but
    callers may include these.

    Raises:
        ValueError: The text is no such number, or too long.
    """
    if len(text) > MAX_PART_ID_CHARS:
        raise ValueError("the id of a prompt part is too long")
    return f"{int(text, 16):x}"
