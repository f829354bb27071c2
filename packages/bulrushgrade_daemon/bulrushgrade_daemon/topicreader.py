"""Interface for reading keyed topics of the platform's store."""

from collections.abc import Awaitable
from collections.abc import Callable

import attrs
from returns.result import Result

from bulrushgrade_daemon import storeepoch

MAX_KEY_BYTES = 255
"""Maximum size of a key, in UTF-8."""


@attrs.frozen(kw_only=True)
class KeyedRecord:
    """A record of a key.

    Attributes:
        key: The key.
        value: The content, or None if the key was deleted.
        offset: The record's offset in its topic.
    """

    key: str
    value: bytes | None
    offset: int = 0


@attrs.frozen(kw_only=True)
class Position:
    """A place in a topic, up to which its records are known.

    Attributes:
        epoch: The store's epoch in which the offset was read.
        offset: Offset of the first record that is not known.
    """

    epoch: int
    offset: int


@attrs.frozen(kw_only=True)
class Listing:
    """The latest record of every key.

    Attributes:
        records: One per key.
        end: Offset after these records.
        epoch: The store's epoch, see `storeepoch`.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    epoch: int = storeepoch.UNSTATED


@attrs.frozen(kw_only=True)
class Batch:
    """Consecutive records of a topic.

    Attributes:
        records: In order; a key may occur more than once.
        end: Offset after these records.
        epoch: The store's epoch, see `storeepoch`.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    epoch: int = storeepoch.UNSTATED


@attrs.frozen(kw_only=True)
class StoreAway:
    """A request to the store that got no usable response.

    Attributes:
        reason: What failed, for logs.
    """

    reason: str


@attrs.frozen(kw_only=True)
class RecordsDropped:
    """The store does not have the records after an offset.

    They are no longer retained, or the topic ends before that offset.

    Attributes:
        epoch: The store's epoch, see `storeepoch`.
    """

    epoch: int = storeepoch.UNSTATED


@attrs.frozen(kw_only=True)
class KeyedReader:
    """Reads one topic.

    Attributes:
        read_all: Returns the latest record of every key.
        read_after: Returns the records from an offset on, waiting up to the
            given seconds for the first one.
    """

    read_all: Callable[[], Awaitable[Result[Listing, StoreAway]]]
    read_after: Callable[
        [int, float],
        Awaitable[Result[Batch, StoreAway | RecordsDropped]],
    ]
