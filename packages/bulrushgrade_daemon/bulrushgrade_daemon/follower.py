"""Follows the latest record of each key of a topic on the platform's store.

The latest record of every key is read once, then the records after that. If
the store no longer retains the next records, everything is read again, and so
it is if the store has returned from an older copy: an offset means a record
only in the epoch in which it was read. Until then the known records stay in
force.

Every read has a time limit and its own connection: a store that stops
responding is detected within that limit, and the next read isn't affected.

Most hosts get the records, with their age, from another host of their
availability zone. They read the store only if that host fails to reply or its
records are too old.
"""

from collections.abc import Callable
import random
from typing import Any

import attrs
from returns.result import Failure
from twisted.internet import defer

from bulrushgrade_daemon import abandonableread
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import reloadschedule
from bulrushgrade_daemon import sharedtopic
from bulrushgrade_daemon import storeepoch
from bulrushgrade_daemon import task
from bulrushgrade_daemon import topicjournal
from bulrushgrade_daemon import topicprobes
from bulrushgrade_daemon import topicreader

RETRY_S = 0.25
"""Pause between reads while the store fails: short enough to be up to date well
within any bound after its return, and at most four calls per second."""

MIN_INTERVAL_S = 0.05
"""Least interval between updates. Without it a host whose source also has
records of the greatest allowed age would query in a busy loop."""

SOURCE_CHECK_S = 1.0
"""Interval between checks whether the host that relays records is gone. Records
that are valid for longer than that would otherwise be renewed by no host of the
zone until the next query."""

MAX_BATCHES = 16
"""Limit of consecutive batches from another host. A host that is further behind
reads the store."""

ApplyListing = Callable[[tuple[topicreader.KeyedRecord, ...]], int | None]
"""Applies the latest record of every key; returns the number of changes, if
they are counted."""


class Follower:
    """Service that passes on the records of one topic as they come."""

    requires = ("timer",)

    def __init__(
        self,
        *,
        name: str,
        timers: Any,
        rng: random.Random,
        epoch: storeepoch.StoreEpoch,
        reader: topicreader.KeyedReader,
        wait_s: float,
        pause_s: float,
        shared: sharedtopic.SharedTopic,
        on_all: ApplyListing,
        on_records: Callable[[tuple[topicreader.KeyedRecord, ...]], None],
        log: decisionlog.DecisionLog,
        on_broken: Callable[[str], None],
        probes: topicprobes.TopicProbes | None = None,
    ):
        """Makes the service.

        Args:
            name: The service's name, for logs and dumps.
            timers: The timer service.
            rng: Random number generator.
            epoch: The store's epoch.
            reader: Reads the topic.
            wait_s: How long a read may wait for a record.
            pause_s: Pause between two reads. It limits the rate of reads of a
                topic that changes all the time.
            shared: Exchanges records with other hosts that follow the topic.
            on_all: Called with the latest record of every key; returns the
                number of changes.
            on_records: Called with new records in order.
            log: Logs when the store is lost or regained.
            on_broken: Called with the reason if an invariant is broken.
            probes: Limits reads of a store that fails, if they are limited.
        """
        self.name = name
        self._timers = timers
        self._epoch = epoch
        self._reader = reader
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._shared = shared
        self._on_all = on_all
        self._on_records = on_records
        self._log = log
        self._on_broken = on_broken
        self._probes = probes or topicprobes.TopicProbes(
            topic=name, shared=shared, host=None
        )
        self._position: topicreader.Position | None = None
        # Where to go on at another host, in an epoch not read as a whole yet.
        self._joined: topicreader.Position | None = None
        # Set whenever the position is not valid.
        self._reload = reloadschedule.ReloadSchedule(
            name=name,
            max_age_s=self._probes.limit_spread(wait_s + pause_s),
            timers=timers,
            rng=rng,
            log=log,
        )
        # When the store had no other records than those known here.
        self._as_of: float | None = None
        self._lost_at: float | None = None
        self._regained_at: float | None = None
        self._reads = 0
        self._reloads = 0
        self._running: Any = None
        self._poll = abandonableread.AbandonableRead()
        self._wakeup: defer.Deferred | None = None
        # Checks the source of records while this follower sleeps.
        self._check: Any = None
        self._stopping = False
        shared.on_notice = self._handle_notice
        shared.on_queried = self._wake
        shared.on_offer = self._handle_offer
        self._probes.subscribe(self._wake)
        epoch.subscribe(self._handle_epoch)

    @property
    def has_loaded(self) -> bool:
        """Whether the topic has been read as a whole once."""
        return self._as_of is not None

    @property
    def reaches_store(self) -> bool:
        """Whether this host's last read of the store succeeded."""
        return self.has_loaded and self._lost_at is None

    @property
    def age_s(self) -> float | None:
        """Age of the records in seconds, or None before the first read."""
        if self._as_of is None:
            return None
        return self._timers.now - self._as_of

    @property
    def regained_at(self) -> float | None:
        """When the store was last regained, or None if it was never lost."""
        return self._regained_at

    @property
    def counts(self) -> dict[str, int]:
        """Counts of reads of the store and of relayed records."""
        return {
            "reads": self._reads,
            "reloads": self._reloads,
            **self._shared.counts,
            **self._probes.counts,
        }

    async def start(self) -> None:
        """Starts reading."""
        self._running = task.spawn(
            self._run(), name=self.name, on_broken=self._on_broken
        )

    async def stop(self) -> None:
        """Stops reading."""
        self._stopping = True
        if self._running is not None:
            self._running.cancel()

    def receive(self, message: Any) -> None:
        """Ignores messages."""

    def dump(self) -> dict[str, Any]:
        """Returns the position, age and source of the records, and counts."""
        position = self._position
        return {
            "epoch": None if position is None else position.epoch,
            "next": None if position is None else position.offset,
            "reload_in_s": self._reload.due_in_s,
            "age_s": self.age_s,
            "source": self._shared.source,
            **self.counts,
            **self._probes.dump(),
        }

    async def _run(self) -> None:
        try:
            await self._read_loop()
        except defer.CancelledError:
            # A read that ends as cancelled although nobody cancelled it would
            # silently end the follower, and its records would become stale.
            # A restarted process reads everything again.
            if not self._stopping:
                self._on_broken(f"{self.name}: a read ended as cancelled")

    async def _read_loop(self) -> None:
        while True:
            await self._sleep(await self._update())

    async def _update(self) -> float:
        """Reads new records; returns the seconds until the next read."""
        if self._reload.due_in_s == 0.0:
            if self._probe_delay_s() <= 0 and await self._read_all():
                return self._pause_s
            if await self._join_relay():
                return self._limit_to_probe(self._remaining_validity_s())
            return self._limit_to_probe(RETRY_S)
        next_s = RETRY_S if self._reload.is_set else await self._follow()
        due_s = self._reload.due_in_s
        return next_s if due_s is None else max(MIN_INTERVAL_S, due_s)

    async def _follow(self) -> float:
        """Reads the records after the position, from a host or the store."""
        # A host that has lost the store keeps trying to read it, so that it
        # notices when the store is reachable again.
        is_lost = self._lost_at is not None
        if is_lost or self._shared.reads_store:
            wait_s = (
                0.0
                if is_lost or self._probes.is_failing
                else self._wait_s * self._shared.interval_factor
            )
            if self._probe_delay_s() <= 0 and await self._read_after(wait_s):
                return self._time_to_next_read_s(self._pause_s)
            return self._limit_to_probe(
                self._remaining_validity_s()
                if await self._read_relayed()
                else RETRY_S
            )
        if await self._read_relayed():
            return self._remaining_validity_s()
        if self._reload.is_set:
            return RETRY_S
        # Without waiting: others may relay the next records.
        if self._probe_delay_s() <= 0 and await self._read_after(0.0):
            return self._time_to_next_read_s(self._wait_s + self._pause_s)
        return self._limit_to_probe(RETRY_S)

    def _probe_delay_s(self) -> float:
        """Returns the seconds until the store may be read; 0 for now."""
        return self._probes.delay_s(
            has_loaded=self.has_loaded, is_whole=self._reload.is_set
        )

    def _limit_to_probe(self, seconds: float) -> float:
        """Returns the time to sleep, at most until a read is due again."""
        if not self._probes.is_limiting:
            return seconds
        return min(
            seconds,
            self._shared.sources.query_interval_s,
            max(MIN_INTERVAL_S, self._probe_delay_s()),
        )

    def _time_to_next_read_s(self, pause_s: float) -> float:
        pause_s *= self._shared.interval_factor
        return self._as_of + pause_s - self._timers.now

    def _remaining_validity_s(self) -> float:
        """Returns the seconds until the relayed records are too old."""
        max_age_s = self._wait_s + self._pause_s
        return max(MIN_INTERVAL_S, self._as_of + max_age_s - self._timers.now)

    async def _sleep(self, seconds: float) -> None:
        """Sleeps until woken, or until the source of records is gone."""
        if seconds <= 0:
            return
        self._wakeup = defer.Deferred()
        subscription = self._timers.after(seconds, self._wake)
        self._schedule_check()
        try:
            await self._wakeup
        finally:
            subscription.cancel()
            self._check.cancel()
            self._wakeup = None

    def _schedule_check(self) -> None:
        self._check = self._timers.after(SOURCE_CHECK_S, self._check_source)

    def _check_source(self) -> None:
        if self._shared.sources.drop_gone():
            self._wake()
        else:
            self._schedule_check()

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.called:
            self._wakeup.callback(None)

    def _handle_notice(self, noticed: topicreader.Position) -> None:
        known = self._position
        if (
            known is not None
            and noticed.epoch == known.epoch
            and noticed.offset > known.offset
        ):
            self._wake()

    def _handle_offer(self) -> None:
        """Uses that another host has read the store again."""
        self._probes.hear_return()
        self._wake()

    def _handle_epoch(self, epoch: int) -> None:
        """Schedules a whole read, as the store has returned from a copy."""
        if self._position is None or self._position.epoch == epoch:
            return
        self._regained_at = self._timers.now
        self._probes.hear_return()
        self._schedule_reload()
        self._wake()
        # The new epoch may be that of the poll's own answer.
        self._timers.after(0.0, self._poll.abandon)

    def _schedule_reload(self) -> None:
        self._reload.set(
            self._position,
            epoch=self._epoch.value,
            is_spread=not (
                self._shared.reads_store or self._probes.reads_first
            ),
        )

    async def _read_relayed(self) -> bool:
        """Gets records from another host; returns whether it got all."""
        for _ in range(MAX_BATCHES):
            position = self._position
            if self._reload.is_set:
                return False
            relayed = await self._shared.query(position)
            if relayed is None or self._reload.is_set:
                return False
            if relayed.end < position.offset and relayed.as_of > self._as_of:
                # The topic may have become shorter; the store knows.
                return False
            if not relayed.has_more:
                self._as_of = max(self._as_of, relayed.as_of)
                self._probes.hear_fresh()
            self._update_regained_at(relayed.regained_at)
            self._apply(relayed.records, max(position.offset, relayed.end))
            if not relayed.has_more:
                return True
        return False

    async def _join_relay(self) -> bool:
        """Gets the records of a new epoch while the store can't be read.

        They are those since the other host's whole read. What only that read
        had found follows with the own one.
        """
        epoch = self._epoch.value
        if self._position is None or self._position.epoch == epoch:
            return False
        if self._joined is None or self._joined.epoch != epoch:
            self._joined = topicreader.Position(
                epoch=epoch, offset=topicjournal.FROM_RESTART
            )
        for _ in range(MAX_BATCHES):
            relayed = await self._shared.query(self._joined)
            if relayed is None:
                return False
            self._joined = attrs.evolve(self._joined, offset=relayed.end)
            self._on_records(relayed.records)
            if not relayed.has_more:
                self._as_of = max(self._as_of, relayed.as_of)
                return True
        return False

    async def _read_all(self) -> bool:
        began_at = self._begin_read()
        read = await self._reader.read_all()
        if isinstance(read, Failure):
            return self._record_failure(read.failure())
        listing = read.unwrap()
        if not self._is_newest(listing.epoch):
            return False
        is_return = self._record_success(began_at)
        before = self._position
        self._position = topicreader.Position(
            epoch=listing.epoch, offset=listing.end
        )
        self._joined = None
        self._reload.clear()
        self._shared.restart(
            listing, as_of=began_at, regained_at=self._regained_at
        )
        if is_return:
            self._shared.offer()
        changes = self._on_all(listing.records)
        if before is not None:
            self._reloads += 1
            self._log.always(
                "topic_reloaded",
                follower=self.name,
                epoch=listing.epoch,
                before=before.epoch,
                dropped_at=before.offset,
                end=listing.end,
                records=len(listing.records),
                changes=changes,
            )
        return True

    async def _read_after(self, wait_s: float) -> bool:
        began_at, position = self._begin_read(), self._position
        read = await self._poll.run(
            self._reader.read_after(position.offset, wait_s)
        )
        if read is None:
            self._probes.cancel()
            return False
        if isinstance(read, Failure):
            return self._record_failure(read.failure())
        batch = read.unwrap()
        if not self._is_newest(batch.epoch) or batch.epoch != position.epoch:
            return False
        if batch.end < position.offset:
            self._schedule_reload()
            return False
        # A waiting read returns with the first record. One that waited in full
        # and is empty shows that no record came until its end.
        waited_in_full = self._timers.now - began_at >= wait_s
        is_empty = not batch.records and batch.end == position.offset
        as_of = began_at + wait_s if is_empty and waited_in_full else began_at
        is_return = self._record_success(as_of)
        self._apply(batch.records, batch.end)
        if is_return:
            self._shared.offer()
        return True

    def _is_newest(self, epoch: int) -> bool:
        """Returns whether an answer states the newest epoch.

        One that states an older epoch, or none although one is known, counts
        as a failed read.
        """
        if epoch > self._epoch.value:
            self._epoch.observe(epoch)
        if epoch == self._epoch.value:
            self._probes.succeed()
            return True
        reason = f"epoch {epoch}, known {self._epoch.value}"
        return self._record_failure(topicreader.StoreAway(reason=reason))

    def _apply(
        self, records: tuple[topicreader.KeyedRecord, ...], end: int
    ) -> None:
        self._position = attrs.evolve(self._position, offset=end)
        self._shared.extend(
            records, end, as_of=self._as_of, regained_at=self._regained_at
        )
        self._on_records(records)

    def _begin_read(self) -> float:
        self._reads += 1
        self._probes.begin()
        return self._timers.now

    def _record_failure(
        self, failure: topicreader.StoreAway | topicreader.RecordsDropped
    ) -> bool:
        if isinstance(failure, topicreader.RecordsDropped):
            if self._is_newest(failure.epoch):
                self._schedule_reload()
            return False
        self._probes.fail()
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

    def _record_success(self, as_of: float) -> bool:
        """Returns whether the records were too old for other hosts before."""
        is_old = self._shared.is_too_old(self.age_s)
        is_return = is_old and (
            self._lost_at is not None or self._shared.sources.is_stale
        )
        self._as_of = as_of
        self._shared.sources.note_reply()
        if self._lost_at is not None:
            self._log.note(
                "dependency_regained",
                dependency="store",
                follower=self.name,
                away_s=round(self._timers.now - self._lost_at, 3),
            )
            self._lost_at = None
            self._regained_at = self._timers.now
        return is_return

    def _update_regained_at(self, at: float | None) -> None:
        """Applies the time at which the relaying host regained the store."""
        if at is not None and at > (self._regained_at or 0.0):
            self._regained_at = at
