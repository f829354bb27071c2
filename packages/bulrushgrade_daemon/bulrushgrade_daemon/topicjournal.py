"""Buffer of the latest records of a topic, for relaying them.

Most records of a topic that endpoints write to are heartbeats: only their
counter differs from the previous record. Relaying all of them would cost more
than the saved reads, so the latest heartbeat of a key is suppressed until the
key's state changes.
"""

import collections
from collections.abc import Callable
from collections.abc import Hashable

import attrs

from bulrushgrade_daemon import topicreader

MAX_RECORDS = 256
"""Limit of buffered records. Hosts query about once per second; one that is
further behind reads the store."""

FROM_RESTART = -1
"""Stands for the offset after the records of the last whole read."""

RECORD_OVERHEAD_BYTES = 16
"""Size of a record in a message without its key and value."""


@attrs.frozen(kw_only=True)
class RecordState:
    """The state that a record describes.

    Attributes:
        content: The state without what changes with each heartbeat.
        order: Increases with each heartbeat of a key.
    """

    content: Hashable
    order: tuple[int, ...] = ()


ExtractState = Callable[[topicreader.KeyedRecord], RecordState]
"""Returns the state of a record that has a value."""


@attrs.define(kw_only=True)
class _Latest:
    """The latest state of a key; delayed duplicates of records don't count."""

    state: RecordState
    is_deleted: bool = False


@attrs.frozen(kw_only=True)
class JournalSlice:
    """Records from an offset on.

    Attributes:
        records: The records in order. A heartbeat that was suppressed has the
            offset of the record that follows it here.
        end: Offset after these records.
        has_more: Whether there are records that did not fit, or that are no
            longer retained.
    """

    records: tuple[topicreader.KeyedRecord, ...]
    end: int
    has_more: bool


class TopicJournal:
    """Buffers the records of one topic without its heartbeats."""

    def __init__(
        self, *, extract_state: ExtractState, keeps_records: bool = True
    ):
        """Makes an empty journal.

        Args:
            extract_state: Returns a record's state, by which heartbeats are
                recognized.
            keeps_records: Whether records may be retained; those with secrets
                may not.
        """
        self._extract_state = extract_state
        self._keeps_records = keeps_records
        self._start_offset = 0
        self._restart_offset = 0
        self._end_offset: int | None = None
        self._records: collections.deque[topicreader.KeyedRecord] = (
            collections.deque()
        )
        self._latest: dict[str, _Latest] = {}
        self._suppressed: dict[str, topicreader.KeyedRecord] = {}

    def restart(self, listing: topicreader.Listing) -> None:
        """Starts over after the topic was read as a whole."""
        self._start_offset = self._end_offset = listing.end
        self._restart_offset = listing.end
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
        """Appends records; returns whether one is not just a heartbeat.

        Args:
            records: The records in order.
            end: Offset after these records.
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
            offset: Offset of the first record to return, or `FROM_RESTART`.
            max_bytes: Limit of their total size.
        """
        if offset == FROM_RESTART:
            offset = self._restart_offset
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
        # The receiver of the new record needs the key's last counter, or a
        # delayed duplicate of a heartbeat would look newer than it is.
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
