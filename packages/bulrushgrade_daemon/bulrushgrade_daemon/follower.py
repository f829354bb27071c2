"""Follows the newest record of each key of a topic on the platform's store.

The whole list is read once, then the records after it. Where the store has
dropped what comes next, the whole list is read again. Every read has a time
limit and a connection of its own: a store that went silent in a read shows
within that limit, and the next read meets it as it is then.

Most hosts get the records from another host of their availability zone, with
the age that they have there, and read the store only where that fails or is
too old.
"""

from collections.abc import Callable
from typing import Any

from returns.result import Failure
from twisted.internet import defer

from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import sharedtopic
from bulrushgrade_daemon import task
from bulrushgrade_daemon import topicreader

RETRY_S = 0.25
"""Between two reads while the store fails: soon enough to be up to date well
within any bound after its return, and four calls a second at most."""

MIN_INTERVAL_S = 0.05
"""Between two updates at least, so that a view which is as old as it may be
at the other hosts too does not keep this one busy."""

MAX_BATCHES = 16
"""Of records that another host relays in a row. Who is further behind reads
the store."""


class Follower:
    """Keeps a listener up to date with one topic."""

    requires = ("timer",)

    def __init__(
        self,
        *,
        name: str,
        timers: Any,
        reader: topicreader.KeyedReader,
        wait_s: float,
        pause_s: float,
        shared: sharedtopic.SharedTopic,
        on_all: Callable[[tuple[topicreader.KeyedRecord, ...]], None],
        on_records: Callable[[tuple[topicreader.KeyedRecord, ...]], None],
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
            shared: The way to and from the other hosts that follow it.
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
        self._shared = shared
        self._on_all = on_all
        self._on_records = on_records
        self._log = log
        self._on_broken = on_broken
        self._next_offset: int | None = None
        # When the store was asked for what is known now.
        self._as_of: float | None = None
        self._lost_at: float | None = None
        self._regained_at: float | None = None
        self._reads = 0
        self._running: Any = None
        self._wakeup: defer.Deferred | None = None
        self._stopping = False
        shared.on_notice = self._handle_notice
        shared.on_queried = self._wake

    @property
    def has_loaded(self) -> bool:
        """Whether the whole list has been read once."""
        return self._as_of is not None

    @property
    def reaches_store(self) -> bool:
        """Whether the store answered this host's last read."""
        return self.has_loaded and self._lost_at is None

    @property
    def age_s(self) -> float | None:
        """Seconds since the store was asked, or None before the first read."""
        if self._as_of is None:
            return None
        return self._timers.now - self._as_of

    @property
    def regained_at(self) -> float | None:
        """When the store last came back, in seconds; None if never lost."""
        return self._regained_at

    @property
    def counts(self) -> dict[str, int]:
        """Reads of the store since the start, and what others relayed."""
        return {"reads": self._reads, **self._shared.counts}

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
        return {
            "next": self._next_offset,
            "age_s": self.age_s,
            "source": self._shared.source,
            **self.counts,
        }

    async def _run(self) -> None:
        try:
            await self._read_loop()
        except defer.CancelledError:
            # A read that ends as cancelled when nobody cancelled it would end
            # the follower without a word, and everything would go on by what
            # was known then. A restarted process reads all anew.
            if not self._stopping:
                self._on_broken(f"{self.name}: a read ended as cancelled")

    async def _read_loop(self) -> None:
        while True:
            await self._sleep(await self._update())

    async def _update(self) -> float:
        """Reads what is new; returns the seconds until the next read."""
        if self._next_offset is None:
            is_loaded = await self._read_all()
            return self._pause_s if is_loaded else RETRY_S
        # A host that could not reach the store tries again by itself, so that
        # it knows when it can.
        is_lost = self._lost_at is not None
        if is_lost or self._shared.reads_store:
            wait_s = (
                0.0 if is_lost else self._wait_s * self._shared.interval_factor
            )
            if await self._read_after(wait_s):
                return self._time_to_next_read_s(self._pause_s)
            return (
                self._remaining_validity_s()
                if await self._read_relayed()
                else RETRY_S
            )
        if await self._read_relayed():
            return self._remaining_validity_s()
        # Without a wait: others may relay the next records again.
        if await self._read_after(0.0):
            return self._time_to_next_read_s(self._wait_s + self._pause_s)
        return RETRY_S

    def _time_to_next_read_s(self, pause_s: float) -> float:
        pause_s *= self._shared.interval_factor
        return self._as_of + pause_s - self._timers.now

    def _remaining_validity_s(self) -> float:
        """Returns the seconds in which what was relayed gets too old."""
        max_age_s = self._wait_s + self._pause_s
        return max(MIN_INTERVAL_S, self._as_of + max_age_s - self._timers.now)

    async def _sleep(self, seconds: float) -> None:
        if seconds <= 0:
            return
        self._wakeup = defer.Deferred()
        subscription = self._timers.after(seconds, self._wake)
        try:
            await self._wakeup
        finally:
            subscription.cancel()
            self._wakeup = None

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.called:
            self._wakeup.callback(None)

    def _handle_notice(self, end: int) -> None:
        if self._next_offset is not None and end > self._next_offset:
            self._wake()

    async def _read_relayed(self) -> bool:
        """Takes what another host hands on; returns whether that is all."""
        for _ in range(MAX_BATCHES):
            if self._next_offset is None:
                return False
            relayed = await self._shared.query(self._next_offset)
            if relayed is None:
                return False
            if not relayed.has_more:
                self._as_of = max(self._as_of, relayed.as_of)
            self._update_regained_at(relayed.regained_at)
            self._apply(relayed.records, max(self._next_offset, relayed.end))
            if not relayed.has_more:
                return True
        return False

    async def _read_all(self) -> bool:
        began_at = self._begin_read()
        read = await self._reader.read_all()
        if isinstance(read, Failure):
            return self._record_failure(read.failure())
        listing = read.unwrap()
        self._record_success(began_at)
        self._next_offset = listing.end
        self._shared.restart(listing)
        self._on_all(listing.records)
        return True

    async def _read_after(self, wait_s: float) -> bool:
        began_at = self._begin_read()
        read = await self._reader.read_after(self._next_offset, wait_s)
        if isinstance(read, Failure):
            return self._record_failure(read.failure())
        batch = read.unwrap()
        # A read that waits returns at once with a record, so that one which
        # brings none shows that there was none until its wait was over.
        waited_in_full = self._timers.now - began_at >= wait_s
        is_empty = not batch.records and batch.end == self._next_offset
        as_of = began_at + wait_s if is_empty and waited_in_full else began_at
        self._record_success(as_of)
        self._apply(batch.records, batch.end)
        return True

    def _apply(
        self, records: tuple[topicreader.KeyedRecord, ...], end: int
    ) -> None:
        self._next_offset = end
        self._shared.extend(
            records, end, as_of=self._as_of, regained_at=self._regained_at
        )
        self._on_records(records)

    def _begin_read(self) -> float:
        self._reads += 1
        return self._timers.now

    def _record_failure(
        self, failure: topicreader.StoreUnavailable | topicreader.RecordsDropped
    ) -> bool:
        if isinstance(failure, topicreader.RecordsDropped):
            self._log.note(
                "topic_read_again",
                follower=self.name,
                dropped_at=self._next_offset,
            )
            self._next_offset = None
            return False
        if self._lost_at is None:
            self._lost_at = self._timers.now
            self._log.note(
                "dependency_lost",
                dependency="store",
                follower=self.name,
                reason=failure.reason,
                age_s=self.age_s,
            )
        return False

    def _record_success(self, as_of: float) -> None:
        self._as_of = as_of
        if self._lost_at is not None:
            self._log.note(
                "dependency_regained",
                dependency="store",
                follower=self.name,
                away_s=round(self._timers.now - self._lost_at, 3),
            )
            self._lost_at = None
            self._regained_at = self._timers.now

    def _update_regained_at(self, at: float | None) -> None:
        """Takes when the host that relays records had the store back."""
        if at is not None and at > (self._regained_at or 0.0):
            self._regained_at = at
