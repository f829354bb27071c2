"""Writes records of a keyed topic of the platform's store in batches."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from returns.result import Failure
from returns.result import Result
from twisted.internet import defer

from bulrushgrade_daemon import task
from bulrushgrade_daemon import topicreader

WRITE_PAUSE_S = 0.1
"""Interval between writes, to batch records of the same failure."""

DELETE_PAUSE_S = 2.0
"""Delay to batch deletions. What is deleted counts nowhere any more, and most
of it becomes known soon after a failure, each record at a different time."""

RETRY_S = 0.5
"""Interval between attempts to write while the store is unreachable."""

MAX_WRITE_RECORDS = 256
"""Records in one write, far below the limit of the store."""

Record = tuple[str, bytes | None]
"""A key and its value; None deletes the record."""

Write = Callable[
    [Iterable[Record]], Awaitable[Result[None, topicreader.StoreAway]]
]
"""Writes the newest records of several keys."""


class RecordWriter:
    """Writes the newest record of each key until the store has it."""

    def __init__(
        self,
        *,
        name: str,
        timers: Any,
        write: Write,
        on_broken: Callable[[str], None],
    ):
        """Creates a writer without records.

        Args:
            name: Names its task in reports of broken invariants.
            timers: The timer service.
            write: Writes to the topic.
            on_broken: Called with the reason if an invariant is violated.
        """
        self._name = name
        self._timers = timers
        self._write = write
        self._on_broken = on_broken
        # Records to write, the oldest first; None deletes the record.
        self._waiting: dict[str, bytes | None] = {}
        self._counts = {"written": 0, "failed": 0, "unwritable": 0}
        self._delayed: Any = None
        self._writing: defer.Deferred | None = None

    @property
    def counts(self) -> dict[str, int]:
        """Number of records written or unwritable, and of failed writes."""
        return dict(self._counts)

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, key: str) -> bool:
        return key in self._waiting

    def put(self, key: str, value: bytes | None) -> None:
        """Queues a record; `flush` has it written.

        A key that is too long, as the id of an endpoint in it may be, can't be
        written. Other hosts then don't learn of the record.
        """
        if len(key.encode()) > topicreader.MAX_KEY_BYTES:
            self._counts["unwritable"] += 1
            return
        self._waiting[key] = value

    def discard(self, key: str) -> None:
        """Drops a record that waits."""
        self._waiting.pop(key, None)

    def flush(self) -> None:
        """Writes what waits, with a delay if all of it are deletions."""
        if self._writing is not None or not self._waiting:
            return
        if any(self._waiting.values()):
            self._write_now()
        elif self._delayed is None:
            self._delayed = self._timers.after(DELETE_PAUSE_S, self._write_now)

    def stop(self) -> None:
        """Cancels pending writes."""
        if self._delayed is not None:
            self._delayed.cancel()
        if self._writing is not None:
            self._writing.cancel()

    def _write_now(self) -> None:
        if self._delayed is not None:
            self._delayed.cancel()
            self._delayed = None
        if self._writing is None:
            self._writing = task.spawn(
                self._write_waiting(),
                name=self._name,
                on_broken=self._on_broken,
            )

    async def _write_waiting(self) -> None:
        try:
            is_written = await self._write_batch()
            while any(self._waiting.values()) or not is_written:
                await self._timers.sleep(
                    WRITE_PAUSE_S if is_written else RETRY_S
                )
                is_written = await self._write_batch()
            await self._timers.sleep(WRITE_PAUSE_S)
        finally:
            self._writing = None
        self.flush()

    async def _write_batch(self) -> bool:
        batch = dict(list(self._waiting.items())[:MAX_WRITE_RECORDS])
        for key in batch:
            del self._waiting[key]
        written = await self._write(list(batch.items()))
        if isinstance(written, Failure):
            self._counts["failed"] += 1
            # Records of the same keys that were added meanwhile are newer.
            self._waiting = batch | self._waiting
            return False
        self._counts["written"] += len(batch)
        return True
