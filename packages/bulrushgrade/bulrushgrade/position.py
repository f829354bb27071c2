"""How far one reader has read one stream, and what it has missed.

The platform trims old records. A reader that was away for longer than the
retention, or that starts on an old stream, finds the beginning gone. Folds
must know this, since what was trimmed may decide what a later record means.
"""

import enum

import attrs

from bulrushgrade import record


class Arrival(enum.Enum):
    """How a record's offset stands to what was read before."""

    REPEATED = "repeated"
    NEXT = "next"
    GAP = "gap"


@attrs.define(kw_only=True)
class Position:
    """The place of one reader in one stream.

    Attributes:
        next_offset: The offset to read next.
        origin: Everything from this offset to `next_offset` has been read;
            above 0 the records before it were trimmed unread.
        caught_up: True once a page reached the stream's end with no gap
            since.
    """

    next_offset: int = 0
    origin: int = 0
    caught_up: bool = False

    def open_page(self, page: record.Page) -> bool:
        """Starts a page.

        Returns:
            Whether records were trimmed between the last page and this one.
        """
        if page.earliest_offset <= self.next_offset:
            return False
        self._jump(page.earliest_offset)
        return True

    def advance(self, offset: int) -> Arrival:
        """Notes that the record at an offset is being read."""
        if offset < self.next_offset:
            return Arrival.REPEATED
        arrival = Arrival.NEXT
        if offset > self.next_offset:
            self._jump(offset)
            arrival = Arrival.GAP
        self.next_offset = offset + 1
        return arrival

    def close_page(self, page: record.Page) -> None:
        """Ends a page; the reader may have reached the stream's end."""
        if self.next_offset >= page.end_offset:
            self.caught_up = True

    def _jump(self, offset: int) -> None:
        self.origin = self.next_offset = offset
        self.caught_up = False
