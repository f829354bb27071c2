"""A log service in memory, for the tests of those who embed the library.

It keeps what the platform's log promises, a total order of offsets in each
stream and trimming from the front, and nothing more: like the platform's, it
stores a repeated append twice. Outages, lost answers and lagging readers are
up to the test, which decides what to call and what to tell.
"""

import attrs

from bulrushgrade import record


@attrs.define(kw_only=True)
class _Stream:
    earliest: int = 0
    records: list[record.Record] = attrs.field(factory=list)

    @property
    def end(self) -> int:
        return self.earliest + len(self.records)


class ModelLog:
    """Streams of records in memory."""

    def __init__(self):
        self._streams: dict[str, _Stream] = {}

    def append(self, append: record.Append) -> int:
        """Stores a record and returns its offset."""
        stream = self._streams.setdefault(append.stream, _Stream())
        offset = stream.end
        stream.records.append(
            record.Record(
                offset=offset, record_id=append.record_id, body=append.body
            )
        )
        return offset

    def read(self, stream: str, start: int, *, limit: int = 500) -> record.Page:
        """Returns records from `start`, or from the earliest retained one."""
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
        """Drops the records before an offset."""
        kept = self._streams.setdefault(stream, _Stream())
        earliest = min(earliest, kept.end)
        del kept.records[: max(0, earliest - kept.earliest)]
        kept.earliest = max(kept.earliest, earliest)
