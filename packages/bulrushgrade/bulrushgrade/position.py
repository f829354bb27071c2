"""A reader's position in a stream and the gaps it has encountered.

The platform trims old records. A reader that was offline for longer than the
retention period, or that starts on an old stream, can't read the beginning.
Folds must know this, since a trimmed record may determine how a later one is
to be interpreted.
"""

import enum

import attrs

from bulrushgrade import record


class Arrival(enum.Enum):
    """How a record's offset relates to the records read before."""

    REPEATED = "repeated"
    NEXT = "next"
    GAP = "gap"


@attrs.define(kw_only=True)
class Position:
    """A reader's position in one stream.

    Attributes:
        next_offset: The offset to read next.
        origin: All records from this offset up to `next_offset` have been
            read. If it is above 0, the records before it were trimmed unread.
        caught_up: Whether a page has reached the end of the stream without a
            gap since then.
    """

    next_offset: int = 0
    origin: int = 0
    caught_up: bool = False

    def open_page(self, page: record.Page) -> bool:
        """Starts a page.

        Returns:
            Whether records after the last page were trimmed unread.
        """
        if page.earliest_offset <= self.next_offset:
            return False
        self._jump(page.earliest_offset)
        return True

    def advance(self, offset: int) -> Arrival:
        """Moves past the record at an offset, which is being read."""
        if offset < self.next_offset:
            return Arrival.REPEATED
        arrival = Arrival.NEXT
        if offset > self.next_offset:
            self._jump(offset)
            arrival = Arrival.GAP
        self.next_offset = offset + 1
        return arrival

    def close_page(self, page: record.Page) -> None:
        """Ends a page and checks whether it reached the end of the stream."""
        if self.next_offset >= page.end_offset:
            self.caught_up = True

    def _jump(self, offset: int) -> None:
        self.origin = self.next_offset = offset
        self.caught_up = False
