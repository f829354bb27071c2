"""Shares among hosts which requests were at endpoints that crashed.

A host counts what it sees at once and writes it to a topic on the platform's
store. All other hosts read it there, including those that start later.
"""

from collections.abc import Callable
from typing import Any

import attrs

from bulrushgrade import crashledger
from bulrushgrade_daemon import crashrecords
from bulrushgrade_daemon import crashwatch
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import recordwriter
from bulrushgrade_daemon import topicreader

MAX_WAITING = 1024
"""Records waiting to be written. Beyond this number, only involvements of
requests that were at an earlier crash are written."""

MAX_CLEARED = 4096
"""Cleared involvements that are remembered: as many as there may be."""

EXPIRE_PERIOD_S = 10.0
"""Interval between searches for records beyond the limits of age and number."""


@attrs.frozen(kw_only=True)
class CrashTopic:
    """The topic of involvements on the platform's store.

    Attributes:
        reader: Reads it.
        write: Writes the newest records of several keys.
    """

    reader: topicreader.KeyedReader
    write: recordwriter.Write


class CrashSharing:
    """Synchronizes the ledger of crashes with the topic."""

    name = "crashsharing"
    requires = ("timer",)

    def __init__(
        self,
        *,
        timers: Any,
        ledger: crashledger.CrashLedger,
        writer: recordwriter.RecordWriter,
        leads: Callable[[], bool],
        log: decisionlog.DecisionLog,
    ):
        """Creates the service.

        Args:
            timers: The timer service.
            ledger: Requests that were in flight at endpoints that crashed.
            writer: Writes records to the topic.
            leads: Returns whether this host is the one that deletes old
                records.
            log: Gets a line for each request that enters or leaves
                quarantine.
        """
        self._timers = timers
        self._ledger = ledger
        self._writer = writer
        self._leads = leads
        self._log = log
        # Number of crashes of each quarantined request, as last logged.
        self._logged: dict[str, int] = {}
        # Observed by this host; written again if the store loses them.
        self._own: dict[crashledger.Key, crashledger.Involvement] = {}
        # Involvements that were cleared, and whether by this host. A copy of
        # the store may bring them back.
        self._cleared: dict[crashledger.Key, bool] = {}
        self._counts = {
            "left_out": 0,
            "written_again": 0,
            "deleted_again": 0,
        }
        self._unreadable = 0
        self._tick: Any = None

    @property
    def counts(self) -> dict[str, int]:
        """Number of records written, failed writes, records left out."""
        return {
            **self._writer.counts,
            **self._counts,
            "unreadable": self._unreadable,
        }

    @property
    def quarantined(self) -> int:
        """Number of quarantined requests."""
        now = self._timers.now
        return sum(
            self._ledger.is_quarantined(fingerprint, now)
            for fingerprint in self._ledger.blamed
        )

    async def start(self) -> None:
        """Starts dropping old records."""
        self._tick = self._timers.every(EXPIRE_PERIOD_S, self._expire)

    async def stop(self) -> None:
        """Cancels pending writes."""
        if self._tick is not None:
            self._tick.cancel()
        self._writer.stop()

    def receive(self, message: Any) -> None:
        """Ignores messages."""

    def dump(self) -> dict[str, Any]:
        """Returns the state of the ledger and of pending writes."""
        now = self._timers.now
        return {
            "sightings": len(self._ledger),
            "waiting": len(self._writer),
            "quarantined": {
                fingerprint: round(self._ledger.left_s(fingerprint, now))
                for fingerprint in sorted(self._ledger.blamed)
            },
            **self.counts,
        }

    def observe_crash(self, crash: crashwatch.Crash) -> None:
        """Takes in a crash that this host observed."""
        now = self._timers.now
        for run in crash.runs:
            involvement = crashledger.Involvement(
                fingerprint=run.fingerprint,
                caller=run.caller_id,
                endpoint=crash.endpoint.incarnation,
                zone=crash.endpoint.zone,
                has_begun=run.began_at is not None,
            )
            if involvement.key in self._ledger:
                continue
            self._cleared.pop(involvement.key, None)
            is_first = not self._ledger.involvements(run.fingerprint)
            self._ledger.add_involvement(involvement, now=now)
            if is_first and len(self._writer) >= MAX_WAITING:
                self._counts["left_out"] += 1
                continue
            self._own[involvement.key] = involvement
            self._put(involvement)
        self._log_changes()
        self._writer.flush()

    def explain_crashes(
        self, endpoints: frozenset[crashledger.Incarnation]
    ) -> None:
        """Takes in the crashes that have another cause than a request."""
        self._ledger.explained = endpoints
        self._log_changes()

    def observe_completion(self, fingerprint: str) -> None:
        """Clears a request that has completed."""
        for key in self._ledger.clear(fingerprint):
            self._own.pop(key, None)
            self._delete(key)
            self._remember_cleared(key, is_own=True)
        self._log_changes()
        self._writer.flush()

    def apply_records(
        self, records: tuple[topicreader.KeyedRecord, ...]
    ) -> None:
        """Applies records of the topic in their order."""
        for record in records:
            self._apply_record(record)
        self._log_changes()
        self._writer.flush()

    def apply_snapshot(
        self, records: tuple[topicreader.KeyedRecord, ...]
    ) -> int:
        """Applies the newest record of every key.

        Involvements that this host observed and that are missing from the
        store are written again, and those that were cleared are deleted again.

        Returns:
            The number of involvements that were not known.
        """
        known, deleted = len(self._ledger), self._counts["deleted_again"]
        self.apply_records(records)
        listed = {record.key for record in records if record.value is not None}
        missing = [
            involvement
            for key, involvement in self._own.items()
            if (name := crashrecords.write_key(key)) not in listed
            and name not in self._writer
        ]
        for involvement in missing:
            self._put(involvement)
        self._counts["written_again"] += len(missing)
        deleted = self._counts["deleted_again"] - deleted
        if missing or deleted:
            self._log.note(
                "crash_records_again", written=len(missing), deleted=deleted
            )
        self._writer.flush()
        return len(self._ledger) - known

    def _apply_record(self, record: topicreader.KeyedRecord) -> None:
        if record.value is None:
            key = crashrecords.read_key(record.key)
            if key is not None:
                self._ledger.drop(key)
                self._own.pop(key, None)
                is_own = self._cleared.get(key, False)
                self._remember_cleared(key, is_own=is_own)
            return
        involvement = crashrecords.read_involvement(record)
        if involvement is None:
            self._unreadable += 1
            self._log.note("record_unreadable", key=record.key)
        elif involvement.key in self._cleared:
            self._delete_again(involvement.key)
        else:
            self._ledger.add_involvement(involvement, now=self._timers.now)

    def _remember_cleared(self, key: crashledger.Key, *, is_own: bool) -> None:
        self._cleared.pop(key, None)
        self._cleared[key] = is_own
        if len(self._cleared) > MAX_CLEARED:
            del self._cleared[next(iter(self._cleared))]

    def _delete_again(self, key: crashledger.Key) -> None:
        """Deletes a cleared involvement that is back, on one or two hosts."""
        is_responsible = self._cleared[key] or self._leads()
        if is_responsible and crashrecords.write_key(key) not in self._writer:
            self._delete(key)
            self._counts["deleted_again"] += 1

    def _log_changes(self) -> None:
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
            self._writer.discard(crashrecords.write_key(key))
            self._remember_cleared(key, is_own=False)
        if self._leads():
            for key in dropped:
                self._delete(key)
        self._log_changes()
        self._writer.flush()

    def _put(self, involvement: crashledger.Involvement) -> None:
        self._writer.put(
            crashrecords.write_key(involvement.key),
            crashrecords.write_value(involvement),
        )

    def _delete(self, key: crashledger.Key) -> None:
        self._writer.put(crashrecords.write_key(key), None)
