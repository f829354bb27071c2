"""Tests of cutting streams at whole events."""

import hypothesis
from hypothesis import strategies as st

from bulrushgrade import eventstream

EVENTS = [b"id: %d\ndata: %s\n\n" % (n, b"x" * n) for n in range(1, 6)]


def test_half_an_event_is_held_back():
    cutter = eventstream.EventSplitter()
    assert cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert cutter.partial
    assert cutter.last_id == "1"
    assert cutter.feed(b"ta: b\n\n") == b"id: 2\ndata: b\n\n"
    assert not cutter.partial
    assert cutter.events == 2


def test_stream_goes_on_at_another_endpoint():
    """An engine dies in the middle of an event and another goes on.

    Were the half event passed on, the caller would see it joined to the
    first event of the second engine.
    """
    cutter = eventstream.EventSplitter()
    cutter.feed(b"id: 1\ndata: a\n\nid: 2\ndata: ha")
    cutter.drop_partial()
    assert cutter.last_id == "1"
    assert cutter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


def test_lines_may_end_with_carriage_return():
    cutter = eventstream.EventSplitter()
    whole = b"id: 7\r\ndata: a\r\n\r\n"
    assert cutter.feed(whole + b"id") == whole
    assert cutter.last_id == "7"


def test_blank_rest_is_no_partial_event():
    cutter = eventstream.EventSplitter()
    cutter.feed(b"id: 1\ndata: a\n\n\n")
    assert not cutter.partial


def test_event_without_end_overflows():
    cutter = eventstream.EventSplitter()
    cutter.feed(b"x" * (eventstream.MAX_EVENT_BYTES + 1))
    assert cutter.overflowed


@hypothesis.given(cuts=st.lists(st.integers(0, 120), max_size=12))
def test_any_cutting_gives_the_same_events(cuts):
    stream = b"".join(EVENTS)
    places = sorted({min(cut, len(stream)) for cut in cuts} | {len(stream)})
    cutter = eventstream.EventSplitter()
    passed, start = b"", 0
    for place in places:
        passed += cutter.feed(stream[start:place])
        assert stream.startswith(passed)
        start = place
    assert passed == stream
    assert cutter.events == len(EVENTS)
