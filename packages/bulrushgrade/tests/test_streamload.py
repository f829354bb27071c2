"""Tests of the streams at an engine."""

from bulrushgrade import streamload


def test_streams_hold_prompt_and_generated_tokens():
    load = streamload.StreamLoad()
    one = streamload.Stream(prompt_tokens=1_000)
    two = streamload.Stream(prompt_tokens=500)
    load.begin(one)
    load.begin(two)
    load.record_events(one, 2, event_tokens=10, now=0.0)
    assert (load.running, load.tokens) == (2, 1_520)
    load.end(one)
    load.end(one)
    assert (load.running, load.tokens) == (1, 500)


def test_pause_is_divided_by_event_count():
    load = streamload.StreamLoad()
    stream = streamload.Stream(prompt_tokens=1_000)
    load.begin(stream)

    def note(count, now):
        return load.record_events(stream, count, event_tokens=10, now=now)

    assert note(1, 1.0) is None
    assert note(1, 1.5) == 0.5
    assert note(2, 2.5) == 0.5


def test_event_after_the_end_adds_no_tokens():
    load = streamload.StreamLoad()
    stream = streamload.Stream(prompt_tokens=1_000)
    load.begin(stream)
    load.end(stream)
    load.record_events(stream, 1, event_tokens=10, now=0.0)
    assert load.tokens == 0
