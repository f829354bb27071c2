"""Prompts known by their parts and sizes instead of their text."""

from collections.abc import Sequence

import attrs


@attrs.frozen(kw_only=True)
class PromptPart:
    """A run of tokens that other prompts may begin with as well.

    Attributes:
        id: The same for the same tokens.
        tokens: How many there are.
    """

    id: str
    tokens: int


def anchor(shared: Sequence[PromptPart]) -> PromptPart | None:
    """Returns the shared part that decides where a prompt is best read.

    It is the longest. The first may be a few hundred tokens that a third of
    all prompts begin with: were prompts kept together by that one, they would
    all have the same few engines in common, in one fleet one of six engines
    twice as full as the others, and no engine would keep what is long.

    Args:
        shared: The shared parts in order.
    """
    return max(shared, key=lambda part: part.tokens, default=None)


@attrs.frozen(kw_only=True)
class Prompt:
    """What a request for a model engine says of its work.

    Attributes:
        model: The model's name.
        parts: In order; the last one belongs to the request or its session.
        prompt_tokens: Tokens to read in all.
        output_tokens: Tokens to generate at most.
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
        """The shared part that decides where it is best read, or None."""
        return anchor(self.shared_parts)

    @property
    def shared_tokens(self) -> int:
        """How many tokens the shared parts have."""
        return sum(part.tokens for part in self.shared_parts)
