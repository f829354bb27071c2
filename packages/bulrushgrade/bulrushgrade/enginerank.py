"""An order of engines for a prompt that all daemons work out alike."""

import functools

import attrs
import xxhash

from bulrushgrade import directory
from bulrushgrade import prompt as prompt_module
from bulrushgrade import routing

CACHED_ORDERS = 64
"""Orders that are kept: one request is ranked for up to three times, as it is
queried for, planned and handed over."""


@attrs.frozen(kw_only=True)
class RankedEngines:
    """Engines in a prompt's order, by what they do.

    Attributes:
        prefillers: Those that only read.
        decoders: Those that generate.
        preferred: Where the prompt's shared part is read first, at an engine
            that only reads where there is one; None where the part is short.
    """

    prefillers: list[directory.Registration]
    decoders: list[directory.Registration]
    preferred: directory.Registration | None


def rank_by_role(
    prompt: prompt_module.Prompt,
    engines: list[directory.Registration],
    traits: routing.EngineTraits,
) -> RankedEngines:
    """Returns engines in an order that all daemons work out alike."""
    prefillers, decoders = [], []
    for engine in rank(prompt, engines, traits):
        is_prefiller = engine.stage is directory.Stage.PREFILL
        (prefillers if is_prefiller else decoders).append(engine)
    preferred = None
    if prompt.shared_tokens >= traits.long_tokens and engines:
        preferred = (prefillers or decoders)[0]
    return RankedEngines(
        prefillers=prefillers, decoders=decoders, preferred=preferred
    )


def rank(
    prompt: prompt_module.Prompt,
    engines: list[directory.Registration],
    traits: routing.EngineTraits,
) -> list[directory.Registration]:
    """Returns engines in an order that depends on ids alone.

    Rendezvous hashing: an engine that comes or goes moves only the parts that
    it gets or had.
    """
    ids = tuple([engine.id for engine in engines])
    order = _order(_rank_key(prompt, traits), ids)
    return [engines[place] for place in order]


@functools.lru_cache(maxsize=CACHED_ORDERS)
def _order(key: str, ids: tuple[str, ...]) -> list[int]:
    """Returns the places of ids in their order for a key."""
    scores = [xxhash.xxh3_64_intdigest(f"{key}/{id}".encode()) for id in ids]
    return sorted(range(len(ids)), key=scores.__getitem__, reverse=True)


def _rank_key(
    prompt: prompt_module.Prompt, traits: routing.EngineTraits
) -> str:
    """Returns what decides the order of engines for a prompt.

    Prompts with much in common keep together; all others are spread by what
    only they have.
    """
    if prompt.shared_tokens >= traits.long_tokens:
        return prompt.anchor.id
    return prompt.parts[-1].id if prompt.parts else ""
