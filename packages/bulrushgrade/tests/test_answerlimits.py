"""Tests of the bounds on answers."""

from bulrushgrade import answerlimits

Limit = answerlimits.Limit


def count_lines(size):
    """Returns how many lines of a size a head may have, and the bound."""
    meter = answerlimits.HeadMeter()
    for number in range(100_000):
        limit = meter.observe_line(size)
        if limit is not None:
            return number, limit
    raise AssertionError("no bound")


def test_head_is_bounded_in_bytes_and_lines():
    """Guards against heads without end, of long lines and of short ones."""
    assert count_lines(16_384) == (4, Limit.HEAD_BYTES)
    assert count_lines(2) == (answerlimits.MAX_HEAD_LINES, Limit.HEAD_LINES)


def test_content_in_chunks_of_one_byte_has_no_bound():
    """Guards against ordinary streams that are taken for malformed."""
    meter = answerlimits.FramingMeter()
    for _ in range(100_000):
        meter.observe_content(1)
        assert meter.observe_received(6) is None


def test_chunk_sizes_of_a_fixed_width_have_no_bound():
    """Servers that pad sizes had answers in small chunks cut off."""
    meter = answerlimits.FramingMeter()
    for _ in range(100_000):
        meter.observe_content(1)
        chunk = b"%016x\r\nx\r\n" % 1
        assert meter.observe_received(len(chunk)) is None


def test_chunk_sizes_without_content_are_bounded():
    """Guards against chunk extensions that are sent without end."""
    meter = answerlimits.FramingMeter()
    received = 0
    while meter.observe_received(1_000) is None:
        received += 1_000
    assert received == 65_000


def test_size_at_the_bound_is_allowed():
    meter = answerlimits.SizeMeter(max_bytes=10, limit=Limit.BODY_BYTES)
    assert meter.observe(10) is None
    assert meter.observe(1) is Limit.BODY_BYTES
    assert meter.exceeded is Limit.BODY_BYTES
