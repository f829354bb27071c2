"""An order of engines for a prompt that all daemons work out alike."""

import attrs
import xxhash

from bulrushgrade import directory
from bulrushgrade import prompt as prompt_module

HOME_TOKENS = 1000
"""Prompts whose shared parts have fewer tokens have no home: reading those
anywhere takes some milliseconds, less than a queue."""


@attrs.frozen(kw_only=True)
class Ranked:
    """Engines in a prompt's order, by what they do.

    Attributes:
        readers: Those that only read.
        generating: Those that generate.
        home: Where the prompt's shared part is read first, at one that only
            reads where there is one; None where the part is short.
    """

    readers: list[directory.Registration]
    generating: list[directory.Registration]
    home: directory.Registration | None


def rank_by_role(
    prompt: prompt_module.Prompt, engines: list[directory.Registration]
) -> Ranked:
    """Returns engines in an order that all daemons work out alike."""
    readers, generating = [], []
    for engine in rank(prompt, engines):
        is_reader = engine.stage is directory.Stage.PREFILL
        (readers if is_reader else generating).append(engine)
    home = None
    if prompt.shared_tokens >= HOME_TOKENS and engines:
        home = (readers or generating)[0]
    return Ranked(readers=readers, generating=generating, home=home)


def rank(
    prompt: prompt_module.Prompt, engines: list[directory.Registration]
) -> list[directory.Registration]:
    """Returns engines in an order that depends on ids alone.

    Rendezvous hashing: an engine that comes or goes moves only the parts that
    it gets or had.
    """
    key = _spread_key(prompt)

    def score(engine: directory.Registration) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}/{engine.id}".encode())

    return sorted(engines, key=score, reverse=True)


def _spread_key(prompt: prompt_module.Prompt) -> str:
    """Returns what decides the order of engines for a prompt.

    Prompts with much in common keep together; all others are spread by what
    only they have.
    """
    if not prompt.parts:
        return ""
    has_home = prompt.shared_tokens >= HOME_TOKENS
    return prompt.parts[0 if has_home else -1].id
