"""Tests of who was lately sent a part."""

import attrs

from bulrushgrade import partbook
from bulrushgrade import prompt as prompt_module

PARTS = (
    prompt_module.PromptPart(id="p", tokens=9_000),
    prompt_module.PromptPart(id="q", tokens=500),
)
COMING = partbook.PartHolder(
    engine="e", state=partbook.PartState.COMING, parts=PARTS
)
KEPT = attrs.evolve(COMING, state=partbook.PartState.KEPT)
GONE = attrs.evolve(COMING, state=partbook.PartState.GONE)


def test_a_part_is_found_from_the_moment_it_is_sent():
    book = partbook.PartBook()
    assert book.find("p", 0.0) == []
    book.note(COMING, 0.0)
    assert book.find("p", 0.1) == [COMING]
    book.note(KEPT, 0.4)
    assert book.find("p", 0.5) == [KEPT]
    assert book.find("q", 0.5) == []


def test_a_part_that_was_not_read_is_gone():
    # The engine refused the prompt or died. Others would wait for a part
    # that never comes.
    book = partbook.PartBook()
    book.note(COMING, 0.0)
    book.note(GONE, 0.2)
    book.note(GONE, 0.3)
    assert book.find("p", 0.3) == []


def test_entries_count_until_caches_were_heard_of():
    book = partbook.PartBook()
    book.note(KEPT, 0.0)
    assert book.find("p", partbook.LIFE_S) == []
    book.note(attrs.evolve(KEPT, engine="f"), 1.0)
    book.forget(partbook.LIFE_S)
    assert len(book) == 1
    book.forget(partbook.LIFE_S + 1.0)
    assert len(book) == 0
