"""Tests of the order of engines for a prompt."""

import collections

from planscene import TRAITS
from test_directory import make

from bulrushgrade import directory
from bulrushgrade import enginerank
from bulrushgrade import prompt as prompt_module

ENGINES = [make(f"e{n}", stage=directory.Stage.DECODE) for n in range(6)]


def make_prompt(*shared):
    parts = (*shared, prompt_module.PromptPart(id="own", tokens=6_000))
    return prompt_module.Prompt(
        model="m",
        parts=parts,
        prompt_tokens=sum(part.tokens for part in parts),
        output_tokens=100,
    )


def test_prompts_with_a_short_common_prefix_are_spread_over_all_engines():
    """Long prompts begin with one of three short parts, followed by a long one.

    Ranked by the short part, all of them would share three engines, whose
    memories overflow while others stay half empty, and callers' streams would
    stall.
    """
    first = collections.Counter()
    for number in range(600):
        prompt = make_prompt(
            prompt_module.PromptPart(id=f"begin{number % 3}", tokens=512),
            prompt_module.PromptPart(id=f"long{number}", tokens=4_900),
        )
        first[enginerank.rank(prompt, ENGINES, TRAITS)[0].id] += 1
    assert len(first) == len(ENGINES)
    assert max(first.values()) < 2 * min(first.values())


def test_prompts_with_the_same_long_part_share_an_order():
    orders = {
        tuple(
            engine.id
            for engine in enginerank.rank(
                make_prompt(
                    prompt_module.PromptPart(id="begin", tokens=512),
                    prompt_module.PromptPart(id="long", tokens=4_900),
                    prompt_module.PromptPart(id=f"more{number}", tokens=200),
                ),
                ENGINES,
                TRAITS,
            )
        )
        for number in range(20)
    }
    assert len(orders) == 1
