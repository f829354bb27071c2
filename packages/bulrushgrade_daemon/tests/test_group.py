"""Tests of one group's turns, with a book of orders that is made up."""

import types

from returns.result import Success

from bulrushgrade import record
from bulrushgrade import work
from bulrushgrade_daemon import engine
from bulrushgrade_daemon import group

ADDRESS = "127.0.0.1:9001"


class _Book:
    def __init__(self):
        self.proposed = []
        self.fold = types.SimpleNamespace(unfinished={})
        self.authority = types.SimpleNamespace(
            acting=lambda now: True, tick=lambda now: (), failed=None
        )
        self.failed = None

    def stranded(self):
        return (ADDRESS,)

    def due(self, now):
        return ()

    def sendable(self, now):
        return ()

    def set_engine(self, address, *, fencing):
        pass

    def observe(self, address, seen, now):
        self.seen = seen

    def propose(self, address, wanted, now):
        self.proposed.append((address, wanted.role))
        return Success(record.Append(stream="s", record_id="r", body=b""))


def _group(live):
    book, appended = _Book(), []
    made = group.Group(
        name="assistant.coastal-plain",
        parts=group.GroupParts(
            book=book,
            append=lambda append, failed: appended.append(append),
            send_order=None,
            ask_drain=None,
            hold=lambda address, held: None,
            capacity=None,
        ),
    )
    endpoint = work.Endpoint(address=ADDRESS, model="model")
    made.set_engines(
        {ADDRESS: endpoint}, fencing={ADDRESS: True}, live=frozenset(live)
    )
    load = engine.EngineLoad(role="decode", model="model", state="draining")
    made.observe(ADDRESS, load, 0.0)
    return made, book, appended


def test_engine_left_draining_by_a_lost_holder_is_brought_back():
    # A group stays one engine short: its holder asked an engine to drain for
    # a change of role and died before the order, so nothing ends the drain.
    made, book, appended = _group([ADDRESS])
    made.tick(1.0)
    made.tick(group.STRANDED_S)
    assert book.proposed == []
    made.tick(1.0 + group.STRANDED_S)
    assert book.proposed == [(ADDRESS, "decode")]
    assert len(appended) == 1


def test_engine_that_the_platform_drains_is_left_alone():
    made, book, _ = _group([])
    made.tick(1.0)
    made.tick(2.0 + group.STRANDED_S)
    assert book.proposed == []


def test_names_and_numbers_of_a_group():
    assert group.parse_group("pack-llm.tr-marmara") == (
        "pack-llm",
        "tr-marmara",
    )
    load = engine.EngineLoad(
        role="mixed", model="m", state="serving", order_id="o", term=7
    )
    assert group.seen_of(load).number == 7
