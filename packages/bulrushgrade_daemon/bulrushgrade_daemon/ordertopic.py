"""The topic of orders on the platform's store, and who listens to it."""

from collections.abc import Awaitable
from collections.abc import Callable

import attrs
from returns.result import Result

from bulrushgrade_daemon import orderrecords
from bulrushgrade_daemon import storeepoch
from bulrushgrade_daemon import topicreader


@attrs.frozen(kw_only=True)
class Moved:
    """A conditional append failed: the topic has records not yet read.

    Attributes:
        end: The offset at which the topic ends.
        epoch: The store's epoch, see `storeepoch`.
    """

    end: int
    epoch: int = storeepoch.UNSTATED


@attrs.frozen(kw_only=True)
class OrderRecords:
    """Records of the topic of orders.

    Attributes:
        first: The offset of the first one.
        contents: Their contents, in order.
        end: The offset at which the topic ends.
        epoch: The store's epoch, see `storeepoch`.
    """

    first: int
    contents: tuple[bytes, ...]
    end: int
    epoch: int = storeepoch.UNSTATED


@attrs.frozen(kw_only=True)
class Appended:
    """A record that the store has acknowledged.

    Attributes:
        offset: Its offset.
        epoch: The store's epoch, see `storeepoch`.
    """

    offset: int
    epoch: int = storeepoch.UNSTATED


@attrs.frozen(kw_only=True)
class OrderTopic:
    """The topic of orders on the platform's store.

    Attributes:
        read: Returns all records at or after an offset. The first one has a
            later offset if records were dropped. `RecordsDropped` means that
            the topic ends before that offset.
        append: Appends a record, on condition that the topic ends at an
            offset.
    """

    read: Callable[
        [int],
        Awaitable[
            Result[
                OrderRecords,
                topicreader.StoreAway | topicreader.RecordsDropped,
            ]
        ],
    ]
    append: Callable[
        [bytes, int],
        Awaitable[Result[Appended, Moved | topicreader.StoreAway]],
    ]


@attrs.frozen(kw_only=True)
class TopicListener:
    """Callbacks of a part that follows the topic of orders.

    Attributes:
        on_record: Called with each decodable record, its number and the epoch
            in which it was written, in the order of the topic; including this
            host's own.
        on_gap: Called when records were dropped before they were read, or
            can't be decoded.
        on_loss: Called when the store has lost records. The topic is read
            again from its begin, before the next action.
    """

    on_record: Callable[[orderrecords.NumberedRecord], None]
    on_gap: Callable[[], None] = lambda: None
    on_loss: Callable[[], None] = lambda: None
