"""Tests of a reader's position in a stream."""

from bulrushgrade import position
from bulrushgrade import record


def _page(*, earliest, end):
    return record.Page(
        records=(), next_offset=end, earliest_offset=earliest, end_offset=end
    )


def test_a_gap_moves_the_origin_and_ends_being_caught_up():
    place = position.Position()
    assert not place.open_page(_page(earliest=0, end=0))
    place.close_page(_page(earliest=0, end=0))
    assert place.caught_up
    assert place.advance(0) is position.Arrival.NEXT
    assert place.advance(0) is position.Arrival.REPEATED
    assert place.open_page(_page(earliest=5, end=9))
    assert (place.origin, place.next_offset, place.caught_up) == (5, 5, False)
    assert place.advance(7) is position.Arrival.GAP
    assert (place.origin, place.next_offset) == (7, 8)
