"""Follows the newest record of each key of a topic on the platform's store.

The whole list is read once, then the records after it. Where the store has
dropped what comes next, the whole list is read again. Every read has a time
limit and a connection of its own: a store that went silent in a read shows
within that limit, and the next read meets it as it is then.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Failure
from returns.result import Result
from twisted.internet import defer

from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import task

RETRY_S = 0.25
"""Between two reads while the store fails: soon enough to be up to date well
within any bound after its return, and four calls a second at most."""


@attrs.frozen(kw_only=True)
class KeyedRecord:
    """The newest record of a key.

    Attributes:
        key: The key.
        value: What it holds, or None where the key was dropped.
    """

    key: str
    value: bytes | None


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
class StoreAway:
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

    read_all: Callable[[], Awaitable[Result[Listing, StoreAway]]]
    read_after: Callable[
        [int, float], Awaitable[Result[Batch, StoreAway | RecordsDropped]]
    ]


class Follower:
    """Keeps a listener up to date with one topic."""

    requires = ("timer",)

    def __init__(
        self,
        *,
        name: str,
        timers: Any,
        reader: KeyedReader,
        wait_s: float,
        pause_s: float,
        on_all: Callable[[tuple[KeyedRecord, ...]], None],
        on_records: Callable[[tuple[KeyedRecord, ...]], None],
        log: decisionlog.DecisionLog,
        on_broken: Callable[[str], None],
    ):
        """Makes the service.

        Args:
            name: The service's name, for logs and dumps.
            timers: The timer service.
            reader: Reads the topic.
            wait_s: How long a read may wait for a record.
            pause_s: Between two reads. A topic that changes all the time is
                read at this pace instead of with each change.
            on_all: Takes the whole list.
            on_records: Takes records in their order.
            log: Gets a line when the store is lost or regained.
            on_broken: Called with the reason where an invariant is broken.
        """
        self.name = name
        self._timers = timers
        self._reader = reader
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._on_all = on_all
        self._on_records = on_records
        self._log = log
        self._on_broken = on_broken
        self._next: int | None = None
        self._read_at: float | None = None
        self._lost_at: float | None = None
        self._regained_at: float | None = None
        self._reads = 0
        self._running: Any = None
        self._stopping = False

    @property
    def known(self) -> bool:
        """Whether the whole list has been read once."""
        return self._read_at is not None

    @property
    def reaches(self) -> bool:
        """Whether the last read was answered."""
        return self.known and self._lost_at is None

    @property
    def age_s(self) -> float | None:
        """Seconds since the last good read, or None before the first."""
        if self._read_at is None:
            return None
        return self._timers.now - self._read_at

    @property
    def regained_at(self) -> float | None:
        """When the store last came back, in seconds; None if never lost."""
        return self._regained_at

    @property
    def counts(self) -> dict[str, int]:
        """Reads since the start."""
        return {"reads": self._reads}

    async def start(self) -> None:
        """Begins to read."""
        self._running = task.spawn(
            self._run(), name=self.name, on_broken=self._on_broken
        )

    async def stop(self) -> None:
        """Reads no more."""
        self._stopping = True
        if self._running is not None:
            self._running.cancel()

    def receive(self, message: Any) -> None:
        """Takes no messages."""

    def dump(self) -> dict[str, Any]:
        """Returns how far it has read."""
        return {"next": self._next, "age_s": self.age_s, "reads": self._reads}

    async def _run(self) -> None:
        try:
            await self._read_on()
        except defer.CancelledError:
            # A read that ends as cancelled when nobody cancelled it would end
            # the follower without a word, and everything would go on by what
            # was known then. A restarted process reads all anew.
            if not self._stopping:
                self._on_broken(f"{self.name}: a read ended as cancelled")

    async def _read_on(self) -> None:
        while True:
            began = self._timers.now
            failed = await self._read_once()
            took_s = self._timers.now - began
            pause_s = RETRY_S if failed else self._pause_s - took_s
            if pause_s > 0:
                await self._timers.sleep(pause_s)

    async def _read_once(self) -> bool:
        self._reads += 1
        if self._next is None:
            read = await self._reader.read_all()
            take = self._on_all
        else:
            read = await self._reader.read_after(self._next, self._wait_s)
            take = self._on_records
        if isinstance(read, Failure):
            self._note_failure(read.failure())
            return True
        found = read.unwrap()
        self._note_success()
        self._next = found.end
        take(found.records)
        return False

    def _note_failure(self, failure: StoreAway | RecordsDropped) -> None:
        if isinstance(failure, RecordsDropped):
            self._log.note(
                "topic_read_again", follower=self.name, dropped_at=self._next
            )
            self._next = None
            return
        if self._lost_at is None:
            self._lost_at = self._timers.now
            self._log.note(
                "dependency_lost",
                dependency="store",
                follower=self.name,
                reason=failure.reason,
                age_s=self.age_s,
            )

    def _note_success(self) -> None:
        self._read_at = self._timers.now
        if self._lost_at is not None:
            self._log.note(
                "dependency_regained",
                dependency="store",
                follower=self.name,
                away_s=round(self._timers.now - self._lost_at, 3),
            )
            self._lost_at = None
            self._regained_at = self._timers.now
