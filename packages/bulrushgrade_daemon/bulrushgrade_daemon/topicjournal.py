"""The newest records of a topic, kept so that they can be relayed.

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

RECORD_HEAD_BYTES = 16
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
class _Newest:
    """The newest record of a key, late copies left out."""

    said: RecordState
    is_gone: bool = False


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
        self._begin = 0
        self._end: int | None = None
        self._kept: collections.deque[topicreader.KeyedRecord] = (
            collections.deque()
        )
        self._newest: dict[str, _Newest] = {}
        self._held_back: dict[str, topicreader.KeyedRecord] = {}

    def restart(self, listing: topicreader.Listing) -> None:
        """Begins anew after the whole list was read."""
        self._begin = self._end = listing.end
        self._kept.clear()
        self._held_back.clear()
        if not self._keeps_records:
            return
        self._newest = {
            record.key: _Newest(said=self._extract_state(record))
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
            self._begin = self._end = end
            return bool(records)
        kept_before = len(self._kept)
        for record in records:
            self._take(record)
        self._end = end
        is_news = len(self._kept) > kept_before
        while len(self._kept) > MAX_RECORDS:
            self._drop_oldest()
        return is_news

    def read_after(self, offset: int, *, max_bytes: int) -> JournalSlice:
        """Returns the records from an offset on.

        Args:
            offset: Where the reader goes on.
            max_bytes: What they may take together.
        """
        if self._end is None or offset < self._begin:
            return JournalSlice(records=(), end=offset, has_more=True)
        found: list[topicreader.KeyedRecord] = []
        room = max_bytes
        for record in self._kept:
            if record.offset < offset:
                continue
            room -= _size(record)
            if room < 0:
                return JournalSlice(
                    records=tuple(found), end=record.offset, has_more=True
                )
            found.append(record)
        return JournalSlice(records=tuple(found), end=self._end, has_more=False)

    def _take(self, record: topicreader.KeyedRecord) -> None:
        said = None
        if record.value is not None:
            said = self._extract_state(record)
            if self._is_repeated(record.key, said):
                self._newest[record.key].said = said
                self._held_back[record.key] = record
                return
        # Who gets the new record has to know how far the key's counter was:
        # a late copy of a heartbeat would otherwise look newer than it is.
        held_back = self._held_back.pop(record.key, None)
        if held_back is not None:
            self._kept.append(attrs.evolve(held_back, offset=record.offset))
        self._kept.append(record)
        self._note(record.key, said)

    def _is_repeated(self, key: str, said: RecordState) -> bool:
        newest = self._newest.get(key)
        return (
            newest is not None
            and not newest.is_gone
            and newest.said.content == said.content
            and newest.said.order < said.order
        )

    def _note(self, key: str, said: RecordState | None) -> None:
        newest = self._newest.get(key)
        if said is None:
            if newest is not None:
                newest.is_gone = True
        elif (
            newest is None
            or newest.said.order < said.order
            or (newest.said.order == said.order and not newest.is_gone)
        ):
            self._newest[key] = _Newest(said=said)

    def _drop_oldest(self) -> None:
        record = self._kept.popleft()
        self._begin = record.offset + 1
        newest = self._newest.get(record.key)
        if record.value is None and newest is not None and newest.is_gone:
            del self._newest[record.key]


def _size(record: topicreader.KeyedRecord) -> int:
    value_bytes = len(record.value) if record.value is not None else 0
    return RECORD_HEAD_BYTES + len(record.key.encode()) + value_bytes
