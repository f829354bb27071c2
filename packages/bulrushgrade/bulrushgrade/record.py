"""Records of the platform's log service.

The total order of offsets within a stream is the only form of consensus in the
system. Every record has an id chosen by its writer. If the answer to an append
is lost, the writer reads the stream and looks for the id to learn the outcome.
A fold ignores a duplicate of an id.
"""

import attrs


@attrs.frozen(kw_only=True)
class Record:
    """One record as read from a stream.

    Attributes:
        offset: The record's offset in the stream, counted from 0.
        record_id: The unique id chosen by the writer.
        body: The serialized message.
    """

    offset: int
    record_id: str
    body: bytes


@attrs.frozen(kw_only=True)
class Append:
    """A record to be appended to a stream.

    Attributes:
        stream: The stream's name, for example ``documents``.
        record_id: A unique id, which stays the same when the append is retried.
        body: The serialized message.
    """

    stream: str
    record_id: str
    body: bytes


@attrs.frozen(kw_only=True)
class Page:
    """The log service's answer to one read.

    Attributes:
        records: The records in order of offset.
        next_offset: The offset to read next.
        earliest_offset: The oldest offset that is still retained. If it is
            above the requested offset, records were trimmed unread.
        end_offset: One past the newest record at the time of the read.
    """

    records: tuple[Record, ...]
    next_offset: int
    earliest_offset: int
    end_offset: int
