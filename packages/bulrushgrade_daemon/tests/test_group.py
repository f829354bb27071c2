"""Tests of the control of one group, with a fake order tracker."""

import types

from returns.result import Success

from bulrushgrade import record
from bulrushgrade import work
from bulrushgrade_daemon import engine
from bulrushgrade_daemon import group

ADDRESS = "127.0.0.1:9001"


class _OrderTracker:
    def __init__(self):
        self.proposed = []
        self.fold = types.SimpleNamespace(unfinished={})
        self.authority = types.SimpleNamespace(
            holds_lease=lambda now: True,
            tick=lambda now: (),
            append_failed=None,
        )
        self.append_failed = None

    def draining_without_order(self):
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
    tracker, appended = _OrderTracker(), []
    made = group.Group(
        name="assistant.coastal-plain",
        parts=group.GroupParts(
            order_tracker=tracker,
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
    return made, tracker, appended


def test_engine_left_draining_by_a_lost_holder_returns_to_service():
    # A holder asks an engine to drain for a role change and crashes before it
    # gives the order. Nothing else would end the drain, and the group would
    # lack one engine permanently.
    made, tracker, appended = _group([ADDRESS])
    made.tick(1.0)
    made.tick(group.UNORDERED_DRAIN_TIMEOUT_S)
    assert tracker.proposed == []
    made.tick(1.0 + group.UNORDERED_DRAIN_TIMEOUT_S)
    assert tracker.proposed == [(ADDRESS, "decode")]
    assert len(appended) == 1


def test_engine_that_the_platform_drains_is_left_alone():
    made, tracker, _ = _group([])
    made.tick(1.0)
    made.tick(2.0 + group.UNORDERED_DRAIN_TIMEOUT_S)
    assert tracker.proposed == []


def test_names_and_numbers_of_a_group():
    assert group.parse_group("pack-llm.tr-marmara") == (
        "pack-llm",
        "tr-marmara",
    )
    load = engine.EngineLoad(
        role="mixed", model="m", state="serving", order_id="o", term=7
    )
    assert group.make_engine_report(load).number == 7
