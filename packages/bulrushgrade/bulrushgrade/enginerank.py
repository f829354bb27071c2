"""An order of engines for a prompt that is the same at all daemons."""

import functools

import attrs
import xxhash

from bulrushgrade import directory
from bulrushgrade import prompt as prompt_module
from bulrushgrade import routing

CACHED_ORDERS = 64
"""Number of cached orders. Engines are ranked up to three times for one
request: for the query, the plan and the handover."""


@attrs.frozen(kw_only=True)
class RankedEngines:
    """Engines in a prompt's order, by role.

    Attributes:
        prefillers: Engines that only prefill.
        decoders: Engines that generate.
        preferred: The engine that prefills the prompt's shared part first: one
            that only prefills if there is any; None if the shared part is
            short.
    """

    prefillers: list[directory.Registration]
    decoders: list[directory.Registration]
    preferred: directory.Registration | None


def rank_by_role(
    prompt: prompt_module.Prompt,
    engines: list[directory.Registration],
    traits: routing.EngineTraits,
) -> RankedEngines:
    """Returns the engines by role, in an order that all daemons agree on."""
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

    With rendezvous hashing, an engine that is added or removed changes the
    placement of only those parts that it gets or had.
    """
    ids = tuple([engine.id for engine in engines])
    order = _order(_rank_key(prompt, traits), ids)
    return [engines[place] for place in order]


@functools.lru_cache(maxsize=CACHED_ORDERS)
def _order(key: str, ids: tuple[str, ...]) -> list[int]:
    """Returns the indexes of ids in their order for a key."""
    scores = [xxhash.xxh3_64_intdigest(f"{key}/{id}".encode()) for id in ids]
    return sorted(range(len(ids)), key=scores.__getitem__, reverse=True)


def _rank_key(
    prompt: prompt_module.Prompt, traits: routing.EngineTraits
) -> str:
    """Returns the key that determines the order of engines for a prompt.

    Prompts that have long shared parts in common get the same key. All others
    are distributed by their own part.
    """
    if prompt.shared_tokens >= traits.long_tokens:
        return prompt.anchor.id
    return prompt.parts[-1].id if prompt.parts else ""
