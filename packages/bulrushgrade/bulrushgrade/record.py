"""Records of the platform's log service, as the library sees them.

The total order of offsets within a stream is the only agreement in the
system. Every record carries an id chosen by its writer: an append whose
answer was lost is settled by reading the stream back and looking for the id,
and a fold ignores the second copy of an id.
"""

import attrs


@attrs.frozen(kw_only=True)
class Record:
    """One record as read from a stream.

    Attributes:
        offset: Its place in the stream's total order, counted from 0.
        record_id: The writer's unique id for this record.
        body: The serialized message.
    """

    offset: int
    record_id: str
    body: bytes


@attrs.frozen(kw_only=True)
class Append:
    """A record that some part wants appended.

    Attributes:
        stream: The stream's name, such as ``documents``.
        record_id: A unique id; the same id is kept when an append is retried.
        body: The serialized message.
    """

    stream: str
    record_id: str
    body: bytes


@attrs.frozen(kw_only=True)
class Page:
    """An answer of the log service to one read.

    Attributes:
        records: Records in order of offset.
        next_offset: Where to read next.
        earliest_offset: The oldest offset that is still retained; when it is
            past the offset that was asked for, the stream has been trimmed
            under the reader.
        end_offset: One past the newest record at the time of the read.
    """

    records: tuple[Record, ...]
    next_offset: int
    earliest_offset: int
    end_offset: int
