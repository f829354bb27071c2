"""Tests of the index of engines that were recently sent a part."""

import attrs

from bulrushgrade import prefixindex
from bulrushgrade import prompt as prompt_module

PARTS = (
    prompt_module.PromptPart(id="p", tokens=9_000),
    prompt_module.PromptPart(id="q", tokens=500),
)
COMING = prefixindex.PrefixHolder(
    engine="e", state=prefixindex.HolderState.COMING, parts=PARTS
)
KEPT = attrs.evolve(COMING, state=prefixindex.HolderState.KEPT)
GONE = attrs.evolve(COMING, state=prefixindex.HolderState.GONE)


def test_part_is_found_once_it_is_sent():
    index = prefixindex.PrefixIndex()
    assert index.find("p", 0.0) == []
    index.update(COMING, 0.0)
    assert index.find("p", 0.1) == [COMING]
    index.update(KEPT, 0.4)
    assert index.find("p", 0.5) == [KEPT]
    assert index.find("q", 0.5) == []


def test_part_that_was_not_prefilled_is_removed():
    # The engine refused the prompt or died. Other requests would wait for a
    # part that never becomes available.
    index = prefixindex.PrefixIndex()
    index.update(COMING, 0.0)
    index.update(GONE, 0.2)
    index.update(GONE, 0.3)
    assert index.find("p", 0.3) == []


def test_entries_expire_after_their_ttl():
    index = prefixindex.PrefixIndex()
    index.update(KEPT, 0.0)
    assert index.find("p", prefixindex.ENTRY_TTL_S) == []
    index.update(attrs.evolve(KEPT, engine="f"), 1.0)
    index.forget(prefixindex.ENTRY_TTL_S)
    assert len(index) == 1
    index.forget(prefixindex.ENTRY_TTL_S + 1.0)
    assert len(index) == 0


def test_prompts_with_a_short_common_prefix_have_separate_entries():
    """A third of all long prompts begin with the same few hundred tokens.

    Indexed by those, each prompt that was sent to an engine replaced the entry
    of the one before, so that only the last of many was found during its
    prefill.
    """
    begin = prompt_module.PromptPart(id="begin", tokens=512)
    index = prefixindex.PrefixIndex()
    for name in ("d1", "d2"):
        rest = prompt_module.PromptPart(id=name, tokens=4_900)
        index.update(attrs.evolve(COMING, parts=(begin, rest)), 0.0)
    assert len(index.find("d1", 0.1)) == len(index.find("d2", 0.1)) == 1
    assert index.find("begin", 0.1) == []
