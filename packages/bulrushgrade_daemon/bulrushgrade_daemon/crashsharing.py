"""Shares among all hosts which requests were at endpoints that crashed.

What a host sees counts for itself at once, and goes to a topic on the
platform's store, from which all others, those too that start later, have it.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import attrs
from returns.result import Failure
from returns.result import Result
from twisted.internet import defer

from bulrushgrade import crashledger
from bulrushgrade_daemon import crashrecords
from bulrushgrade_daemon import crashwatch
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import task
from bulrushgrade_daemon import topicreader

WRITE_PAUSE_S = 0.1
"""Between two writes, in which what comes from one failure is gathered."""

CLEAR_PAUSE_S = 2.0
"""In which involvements that don't count any more are gathered: most requests
that met a crash run to their end soon after it, each at its time."""

RETRY_S = 0.5
"""Between two writes while the store is away."""

MOST_A_WRITE = 256
"""Records in a write, far below what the store takes."""

MOST_WAITING = 1024
"""Records that wait to be written. Beyond these only what is told of requests
that were at a crash before is taken."""

EXPIRE_PERIOD_S = 10.0
"""Between two searches for what is too old or too much."""

Record = tuple[str, bytes | None]
"""A key and what it is to hold; None drops it."""


@attrs.frozen(kw_only=True)
class CrashTopic:
    """The topic of involvements on the platform's store.

    Attributes:
        reader: Reads it.
        write: Writes the newest records of several keys.
    """

    reader: topicreader.KeyedReader
    write: Callable[
        [Iterable[Record]],
        Awaitable[Result[None, topicreader.StoreUnavailable]],
    ]


class CrashSharing:
    """Ties the ledger of crashes to the topic."""

    name = "crashsharing"
    requires = ("timer",)

    def __init__(
        self,
        *,
        timers: Any,
        ledger: crashledger.CrashLedger,
        write: Callable[
            [Iterable[Record]],
            Awaitable[Result[None, topicreader.StoreUnavailable]],
        ],
        leads: Callable[[], bool],
        log: decisionlog.DecisionLog,
        on_broken: Callable[[str], None],
    ):
        """Makes the service.

        Args:
            timers: The timer service.
            ledger: What is known of crashes.
            write: Writes records to the topic.
            leads: Returns whether this host is the one to drop old records.
            log: Gets a line for each request that is, or is no longer.
            on_broken: Called with the reason where an invariant is broken.
        """
        self._timers = timers
        self._ledger = ledger
        self._write = write
        self._leads = leads
        self._log = log
        self._on_broken = on_broken
        # The blamed requests with their crashes, as they were logged.
        self._logged: dict[str, int] = {}
        # What this host saw, to be written again where the store has lost it.
        self._own: dict[crashledger.Key, crashledger.Involvement] = {}
        # The oldest first; None drops the record.
        self._waiting: dict[
            crashledger.Key, crashledger.Involvement | None
        ] = {}
        self._counts = {"written": 0, "failed": 0, "left_out": 0}
        self._unreadable = 0
        self._tick: Any = None
        self._delayed: Any = None
        self._writing: defer.Deferred | None = None

    @property
    def counts(self) -> dict[str, int]:
        """Records written, writes that failed, involvements left out."""
        return {**self._counts, "unreadable": self._unreadable}

    @property
    def quarantined(self) -> int:
        """Requests that are quarantined."""
        now = self._timers.now
        return sum(
            self._ledger.is_quarantined(fingerprint, now)
            for fingerprint in self._ledger.blamed
        )

    async def start(self) -> None:
        """Begins to drop what is old."""
        self._tick = self._timers.every(EXPIRE_PERIOD_S, self._expire)

    async def stop(self) -> None:
        """Writes nothing any more."""
        if self._tick is not None:
            self._tick.cancel()
        if self._delayed is not None:
            self._delayed.cancel()
        if self._writing is not None:
            self._writing.cancel()

    def receive(self, message: Any) -> None:
        """Takes no messages."""

    def dump(self) -> dict[str, Any]:
        """Returns what is known and what is to be written."""
        now = self._timers.now
        return {
            "sightings": len(self._ledger),
            "waiting": len(self._waiting),
            "quarantined": {
                fingerprint: round(self._ledger.left_s(fingerprint, now))
                for fingerprint in sorted(self._ledger.blamed)
            },
            **self.counts,
        }

    def take_crash(self, crash: crashwatch.Crash) -> None:
        """Takes a crash that this host saw."""
        now = self._timers.now
        for run in crash.runs:
            involvement = crashledger.Involvement(
                fingerprint=run.fingerprint,
                caller=run.caller_id,
                endpoint=crash.endpoint.incarnation,
                zone=crash.endpoint.zone,
                has_begun=run.ran_s is not None,
            )
            if involvement.key in self._ledger:
                continue
            is_first = not self._ledger.involvements(run.fingerprint)
            self._ledger.add_involvement(involvement, now=now)
            if is_first and len(self._waiting) >= MOST_WAITING:
                self._counts["left_out"] += 1
                continue
            self._own[involvement.key] = involvement
            self._waiting[involvement.key] = involvement
        self._note_changes()
        self._begin_to_write()

    def note_whole(self, fingerprint: str) -> None:
        """Notes that a request has run to its end."""
        for key in self._ledger.clear(fingerprint):
            self._own.pop(key, None)
            self._waiting[key] = None
        self._note_changes()
        self._begin_to_write()

    def take_records(
        self, records: tuple[topicreader.KeyedRecord, ...]
    ) -> None:
        """Takes records of the topic in their order."""
        for record in records:
            self._take_record(record)
        self._note_changes()

    def take_all(self, records: tuple[topicreader.KeyedRecord, ...]) -> None:
        """Takes the newest record of every key.

        What this host saw and the store does not have is written again.
        """
        self.take_records(records)
        listed = {record.key for record in records if record.value is not None}
        for key, involvement in self._own.items():
            if crashrecords.write_key(key) not in listed:
                self._waiting.setdefault(key, involvement)
        self._begin_to_write()

    def _take_record(self, record: topicreader.KeyedRecord) -> None:
        if record.value is None:
            key = crashrecords.read_key(record.key)
            if key is not None:
                self._ledger.drop(key)
                self._own.pop(key, None)
            return
        involvement = crashrecords.read_involvement(record)
        if involvement is None:
            self._unreadable += 1
            self._log.note("record_unreadable", key=record.key)
        else:
            self._ledger.add_involvement(involvement, now=self._timers.now)

    def _note_changes(self) -> None:
        before, now = self._logged, self._timers.now
        self._logged = {
            fingerprint: len(self._ledger.involvements(fingerprint))
            for fingerprint in self._ledger.blamed
        }
        for fingerprint, crashes in self._logged.items():
            if before.get(fingerprint) == crashes:
                continue
            involvements = self._ledger.involvements(fingerprint)
            self._log.note(
                "request_quarantined",
                fingerprint=fingerprint,
                endpoints=[
                    involvement.endpoint[0] for involvement in involvements
                ],
                zones=sorted(self._ledger.zones(fingerprint)),
                waited_at=sum(not s.has_begun for s in involvements),
                for_s=round(self._ledger.left_s(fingerprint, now)),
            )
        for fingerprint in before.keys() - self._logged:
            self._log.note("request_released", fingerprint=fingerprint)

    def _expire(self) -> None:
        dropped = self._ledger.expire(self._timers.now)
        for key in dropped:
            self._own.pop(key, None)
            self._waiting.pop(key, None)
        if dropped and self._leads():
            self._waiting.update(dict.fromkeys(dropped))
        self._note_changes()
        self._begin_to_write()

    def _begin_to_write(self) -> None:
        """Has what waits written, drops alone a while later."""
        if self._writing is not None or not self._waiting:
            return
        if any(self._waiting.values()):
            self._write_now()
        elif self._delayed is None:
            self._delayed = self._timers.after(CLEAR_PAUSE_S, self._write_now)

    def _write_now(self) -> None:
        if self._delayed is not None:
            self._delayed.cancel()
            self._delayed = None
        if self._writing is None:
            self._writing = task.spawn(
                self._write_waiting(),
                name=self.name,
                on_broken=self._on_broken,
            )

    async def _write_waiting(self) -> None:
        try:
            is_written = await self._write_some()
            while any(self._waiting.values()) or not is_written:
                await self._timers.sleep(
                    WRITE_PAUSE_S if is_written else RETRY_S
                )
                is_written = await self._write_some()
            await self._timers.sleep(WRITE_PAUSE_S)
        finally:
            self._writing = None
        self._begin_to_write()

    async def _write_some(self) -> bool:
        batch = dict(list(self._waiting.items())[:MOST_A_WRITE])
        for key in batch:
            del self._waiting[key]
        written = await self._write(
            [
                (
                    crashrecords.write_key(key),
                    None if found is None else crashrecords.write_value(found),
                )
                for key, found in batch.items()
            ]
        )
        if isinstance(written, Failure):
            self._counts["failed"] += 1
            # What has come since of the same keys is newer.
            self._waiting = batch | self._waiting
            return False
        self._counts["written"] += len(batch)
        return True
