"""Tests of writing records of a keyed topic."""

import fakes
from test_crashsharing import Topic

from bulrushgrade_daemon import recordwriter


def make_writer():
    clock, timers, broken = fakes.make_timers()
    topic = Topic()
    writer = recordwriter.RecordWriter(
        name="w", timers=timers, write=topic.write, on_broken=broken.append
    )
    return clock, topic, writer


def test_newest_record_of_a_key_is_written_after_an_outage():
    """An older value was written over a newer one that came meanwhile."""
    clock, topic, writer = make_writer()
    topic.is_away = True
    writer.put("a", b"1")
    writer.flush()
    writer.put("a", b"2")
    topic.is_away = False
    clock.advance(recordwriter.RETRY_S)
    assert topic.records == {"a": b"2"}
    assert writer.counts == {"written": 1, "failed": 1, "unwritable": 0}


def test_deletions_wait_for_others_and_hold_no_record_up():
    clock, topic, writer = make_writer()
    for name in "abc":
        writer.put(name, None)
        writer.flush()
    assert topic.batches == []
    writer.put("d", b"1")
    writer.flush()
    assert [len(batch) for batch in topic.batches] == [4]
    writer.put("e", None)
    clock.advance(recordwriter.WRITE_PAUSE_S)
    clock.advance(recordwriter.DELETE_PAUSE_S)
    assert len(writer) == 0


def test_discarded_record_is_not_written():
    _, topic, writer = make_writer()
    writer.put("a", b"1")
    assert "a" in writer
    writer.discard("a")
    writer.flush()
    assert topic.batches == []


def test_key_that_is_too_long_holds_no_other_record_up():
    """Guards against the long id of an endpoint that ends its host."""
    _, topic, writer = make_writer()
    writer.put("ş" * 128, b"1")
    writer.put("a" * 255, b"2")
    writer.flush()
    assert topic.records == {"a" * 255: b"2"}
    assert writer.counts["unwritable"] == 1
