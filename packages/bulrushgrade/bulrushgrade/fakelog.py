"""An in-memory log service for tests of programs that embed the library.

`FakeLog` gives the same guarantees as the platform's log and no more: offsets
are in total order within a stream, and streams are trimmed from the front.
Like the platform's log, it stores a repeated append twice. `FaultyLog` adds
failed, delayed and duplicated appends.
"""

import enum

import attrs

from bulrushgrade import record


@attrs.define(kw_only=True)
class _Stream:
    earliest: int = 0
    records: list[record.Record] = attrs.field(factory=list)

    @property
    def end(self) -> int:
        return self.earliest + len(self.records)


class FakeLog:
    """Streams of records in memory."""

    def __init__(self):
        self._streams: dict[str, _Stream] = {}

    def append(self, append: record.Append) -> record.Record:
        """Stores a record and returns it with its offset."""
        stream = self._streams.setdefault(append.stream, _Stream())
        item = record.Record(
            offset=stream.end, record_id=append.record_id, body=append.body
        )
        stream.records.append(item)
        return item

    def read(self, stream: str, start: int, *, limit: int = 500) -> record.Page:
        """Returns records from `start` or from the earliest retained one."""
        kept = self._streams.get(stream, _Stream())
        first = max(start, kept.earliest)
        index = first - kept.earliest
        records = tuple(kept.records[index : index + limit])
        return record.Page(
            records=records,
            next_offset=first + len(records),
            earliest_offset=kept.earliest,
            end_offset=kept.end,
        )

    def trim(self, stream: str, earliest: int) -> None:
        """Deletes the records before an offset."""
        kept = self._streams.setdefault(stream, _Stream())
        earliest = min(earliest, kept.end)
        del kept.records[: max(0, earliest - kept.earliest)]
        kept.earliest = max(kept.earliest, earliest)


class Delivery(enum.Enum):
    """What happens to an append."""

    STORED = "lands"
    REJECTED = "fails, and its writer is told"
    LOST = "fails, and its writer is told nothing"
    DELAYED = "is under way for some time"
    DUPLICATED = "is stored twice"
    DUPLICATED_LATE = "is stored, and once more some time later"


_IMMEDIATE_COPIES = {
    Delivery.STORED: 1,
    Delivery.DUPLICATED: 2,
    Delivery.DUPLICATED_LATE: 1,
}


class FaultyLog(FakeLog):
    """A log whose appends can fail, be delayed or be duplicated."""

    def __init__(self):
        super().__init__()
        self._stored_at: dict[str, list[float]] = {}
        self._in_flight: list[tuple[float, record.Append]] = []

    @property
    def in_flight(self) -> list[tuple[float, record.Append]]:
        """Appends that are not stored yet, with the times they were sent."""
        return self._in_flight

    def deliver(
        self, append: record.Append, delivery: Delivery, now: float
    ) -> bool:
        """Handles an append as `delivery` says.

        Returns:
            Whether the writer is told that the append failed.
        """
        for _ in range(_IMMEDIATE_COPIES.get(delivery, 0)):
            self._store(append, now)
        if delivery in (Delivery.DELAYED, Delivery.DUPLICATED_LATE):
            self._in_flight.append((now, append))
        return delivery is Delivery.REJECTED

    def store_next(self, now: float) -> None:
        """Stores the append that has been in flight the longest."""
        self._store(self._in_flight.pop(0)[1], now)

    def drop_next(self) -> None:
        """Drops the append that has been in flight the longest."""
        self._in_flight.pop(0)

    def trim_older(self, stream: str, limit: float) -> None:
        """Deletes the records that were stored before a time."""
        times = self._stored_at.get(stream, [])
        self.trim(stream, sum(1 for at in times if at < limit))

    def _store(self, append: record.Append, now: float) -> None:
        self._stored_at.setdefault(append.stream, []).append(now)
        self.append(append)
