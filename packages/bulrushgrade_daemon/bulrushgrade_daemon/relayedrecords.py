"""Records that hosts relay, and the replies that carry them."""

import math

import attrs

from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import topicreader


@attrs.frozen(kw_only=True)
class RelayedRecords:
    """Records that another host relayed.

    Attributes:
        records: The records in order.
        end: Offset after these records.
        as_of: When the store had no other records than these, in seconds.
        regained_at: When that host regained the store, or None.
        has_more: Whether to query again at once.
    """

    records: tuple[topicreader.KeyedRecord, ...]
    end: int
    as_of: float
    regained_at: float | None
    has_more: bool


def decode_reply(
    reply: gatewaymessages.RecordReply, queried_at: float
) -> RelayedRecords:
    """Returns the records of a reply.

    Args:
        reply: The reply.
        queried_at: When its query was sent, in seconds.
    """
    regained_at = None
    if reply.regained_ms is not None:
        regained_at = queried_at - reply.regained_ms / 1000
    return RelayedRecords(
        records=tuple(
            topicreader.KeyedRecord(key=key, value=value, offset=offset)
            for offset, key, value in reply.records
        ),
        end=reply.end,
        as_of=queried_at - reply.age_ms / 1000,
        regained_at=regained_at,
        has_more=reply.has_more,
    )


def to_ms(seconds: float) -> int:
    """Returns whole milliseconds, rounded up."""
    return math.ceil(seconds * 1000)
