"""The latest records of a topic, kept so that they can be relayed.

Most records of a topic that endpoints write to are heartbeats: they differ
from the record before in a counter only. Relaying all of them would cost
more than the reads that it saves, so a record that says nothing new is held
back until the next one of its key that does.
"""

import collections
from collections.abc import Callable
from collections.abc import Hashable

import attrs

from bulrushgrade_daemon import topicreader

MAX_RECORDS = 256
"""Records that are kept. Hosts ask every second or so; one that is further
behind reads the store."""

RECORD_OVERHEAD_BYTES = 16
"""What a record takes in a message beside its key and value."""


@attrs.frozen(kw_only=True)
class RecordState:
    """What a record says.

    Attributes:
        content: What counts, without what changes with each heartbeat.
        order: Grows from each heartbeat of a key to the next.
    """

    content: Hashable
    order: tuple[int, ...] = ()


ExtractState = Callable[[topicreader.KeyedRecord], RecordState]
"""Returns what a record with a value says."""


@attrs.define(kw_only=True)
class _Latest:
    """The latest record of a key, late copies left out."""

    state: RecordState
    is_deleted: bool = False


@attrs.frozen(kw_only=True)
class JournalSlice:
    """Records that follow an offset.

    Attributes:
        records: In their order. The offset of one that was held back is that
            of the record that released it.
        end: Where the records after these begin.
        has_more: Whether there are records that did not fit, or that are not
            kept any more.
    """

    records: tuple[topicreader.KeyedRecord, ...]
    end: int
    has_more: bool


class TopicJournal:
    """What was read of one topic."""

    def __init__(
        self, *, extract_state: ExtractState, keeps_records: bool = True
    ):
        """Makes an empty journal.

        Args:
            extract_state: Tells records that say the same.
            keeps_records: Whether records may be kept beyond the moment in
                which they are taken; those with secrets may not.
        """
        self._extract_state = extract_state
        self._keeps_records = keeps_records
        self._start_offset = 0
        self._end_offset: int | None = None
        self._records: collections.deque[topicreader.KeyedRecord] = (
            collections.deque()
        )
        self._latest: dict[str, _Latest] = {}
        self._suppressed: dict[str, topicreader.KeyedRecord] = {}

    def restart(self, listing: topicreader.Listing) -> None:
        """Begins anew after the whole list was read."""
        self._start_offset = self._end_offset = listing.end
        self._records.clear()
        self._suppressed.clear()
        if not self._keeps_records:
            return
        self._latest = {
            record.key: _Latest(state=self._extract_state(record))
            for record in listing.records
            if record.value is not None
        }

    def extend(
        self, records: tuple[topicreader.KeyedRecord, ...], end: int
    ) -> bool:
        """Takes the records that follow; returns whether one says anything.

        Args:
            records: In their order.
            end: Where the next ones begin.
        """
        if not self._keeps_records:
            self._start_offset = self._end_offset = end
            return bool(records)
        count_before = len(self._records)
        for record in records:
            self._add(record)
        self._end_offset = end
        has_news = len(self._records) > count_before
        while len(self._records) > MAX_RECORDS:
            self._drop_oldest()
        return has_news

    def read_after(self, offset: int, *, max_bytes: int) -> JournalSlice:
        """Returns the records from an offset on.

        Args:
            offset: Where the reader goes on.
            max_bytes: What they may take together.
        """
        if self._end_offset is None or offset < self._start_offset:
            return JournalSlice(records=(), end=offset, has_more=True)
        found: list[topicreader.KeyedRecord] = []
        free_bytes = max_bytes
        for record in self._records:
            if record.offset < offset:
                continue
            free_bytes -= _record_bytes(record)
            if free_bytes < 0:
                return JournalSlice(
                    records=tuple(found), end=record.offset, has_more=True
                )
            found.append(record)
        return JournalSlice(
            records=tuple(found), end=self._end_offset, has_more=False
        )

    def _add(self, record: topicreader.KeyedRecord) -> None:
        state = None
        if record.value is not None:
            state = self._extract_state(record)
            if self._is_heartbeat(record.key, state):
                self._latest[record.key].state = state
                self._suppressed[record.key] = record
                return
        # Who gets the new record has to know how far the key's counter was:
        # a late copy of a heartbeat would otherwise look newer than it is.
        suppressed = self._suppressed.pop(record.key, None)
        if suppressed is not None:
            self._records.append(attrs.evolve(suppressed, offset=record.offset))
        self._records.append(record)
        self._update_latest(record.key, state)

    def _is_heartbeat(self, key: str, state: RecordState) -> bool:
        latest = self._latest.get(key)
        return (
            latest is not None
            and not latest.is_deleted
            and latest.state.content == state.content
            and latest.state.order < state.order
        )

    def _update_latest(self, key: str, state: RecordState | None) -> None:
        latest = self._latest.get(key)
        if state is None:
            if latest is not None:
                latest.is_deleted = True
        elif (
            latest is None
            or latest.state.order < state.order
            or (latest.state.order == state.order and not latest.is_deleted)
        ):
            self._latest[key] = _Latest(state=state)

    def _drop_oldest(self) -> None:
        record = self._records.popleft()
        self._start_offset = record.offset + 1
        latest = self._latest.get(record.key)
        if record.value is None and latest is not None and latest.is_deleted:
            del self._latest[record.key]


def _record_bytes(record: topicreader.KeyedRecord) -> int:
    value_bytes = len(record.value) if record.value is not None else 0
    return RECORD_OVERHEAD_BYTES + len(record.key.encode()) + value_bytes
