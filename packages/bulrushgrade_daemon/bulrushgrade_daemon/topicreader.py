"""What reading a keyed topic of the platform's store takes and gives."""

from collections.abc import Awaitable
from collections.abc import Callable

import attrs
from returns.result import Result


@attrs.frozen(kw_only=True)
class KeyedRecord:
    """A record of a key.

    Attributes:
        key: The key.
        value: What it holds, or None where the key was dropped.
        offset: Where it stands in its topic.
    """

    key: str
    value: bytes | None
    offset: int = 0


@attrs.frozen(kw_only=True)
class Listing:
    """The newest record of every key.

    Attributes:
        records: One a key.
        end: Where the records after these begin.
    """

    records: tuple[KeyedRecord, ...]
    end: int


@attrs.frozen(kw_only=True)
class Batch:
    """Records in their order.

    Attributes:
        records: May name a key more than once.
        end: Where the next ones begin.
    """

    records: tuple[KeyedRecord, ...]
    end: int


@attrs.frozen(kw_only=True)
class StoreUnavailable:
    """A read that got no answer of use.

    Attributes:
        reason: For logs.
    """

    reason: str


@attrs.frozen(kw_only=True)
class RecordsDropped:
    """The records after an offset are no longer kept."""


@attrs.frozen(kw_only=True)
class KeyedReader:
    """Reads one topic.

    Attributes:
        read_all: Returns the newest record of every key.
        read_after: Returns the records from an offset on; waits up to the
            seconds given for the first one.
    """

    read_all: Callable[[], Awaitable[Result[Listing, StoreUnavailable]]]
    read_after: Callable[
        [int, float],
        Awaitable[Result[Batch, StoreUnavailable | RecordsDropped]],
    ]
