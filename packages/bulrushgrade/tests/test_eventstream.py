"""Tests of splitting a stream into events."""

import hypothesis
from hypothesis import strategies as st

from bulrushgrade import eventstream

EVENTS = [b"id: %d\ndata: %s\n\n" % (n, b"x" * n) for n in range(1, 6)]


def test_partial_event_is_held_back():
    splitter = eventstream.EventSplitter()
    assert (
        splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    )
    assert splitter.partial
    assert splitter.last_id == "1"
    assert splitter.feed(b"ta: b\n\n") == b"id: 2\ndata: b\n\n"
    assert not splitter.partial
    assert splitter.events == 2


def test_stream_continues_at_another_endpoint():
    """An engine dies in the middle of an event and another one continues.

    If the partial event were passed on, it would be joined to the first event
    of the second engine.
    """
    splitter = eventstream.EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\nid: 2\ndata: ha")
    splitter.drop_partial()
    assert splitter.last_id == "1"
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


def test_lines_may_end_with_carriage_return():
    splitter = eventstream.EventSplitter()
    whole = b"id: 7\r\ndata: a\r\n\r\n"
    assert splitter.feed(whole + b"id") == whole
    assert splitter.last_id == "7"


def test_trailing_blank_line_is_no_partial_event():
    splitter = eventstream.EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\n\n")
    assert not splitter.partial


def test_event_without_end_overflows():
    splitter = eventstream.EventSplitter()
    splitter.feed(b"x" * (eventstream.MAX_EVENT_BYTES + 1))
    assert splitter.overflowed


@hypothesis.given(cuts=st.lists(st.integers(0, 120), max_size=12))
def test_any_chunking_gives_the_same_events(cuts):
    stream = b"".join(EVENTS)
    offsets = sorted({min(cut, len(stream)) for cut in cuts} | {len(stream)})
    splitter = eventstream.EventSplitter()
    passed, start = b"", 0
    for offset in offsets:
        passed += splitter.feed(stream[start:offset])
        assert stream.startswith(passed)
        start = offset
    assert passed == stream
    assert splitter.events == len(EVENTS)
