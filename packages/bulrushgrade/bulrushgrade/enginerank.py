"""An order of engines for a prompt that all daemons work out alike."""

import xxhash

from bulrushgrade import directory
from bulrushgrade import prompt as prompt_module

HOME_TOKENS = 1000
"""Prompts whose shared parts have fewer tokens have no home: reading those
anywhere takes some milliseconds, less than a queue."""


def find_home(
    prompt: prompt_module.Prompt, engines: list[directory.Registration]
) -> directory.Registration | None:
    """Returns the engine where a prompt's shared part is read first.

    One that only reads, where there is one.
    """
    if prompt.shared_tokens < HOME_TOKENS or not engines:
        return None
    readers = [e for e in engines if e.stage is directory.Stage.PREFILL]
    return rank(prompt, readers or engines)[0]


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
