"""Shares among hosts which prompt parts were at crashes, and which are sound.

Each host sees the crashes and the complete answers of its own requests. Hosts
tell each other of both at once (`partexchange`). Parts at several crashes are
also written to the platform's store, for hosts that start later.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import math
import time
from typing import Any

from bulrushgrade import directory as directory_module
from bulrushgrade import fingerprint
from bulrushgrade import partblame
from bulrushgrade import partledger
from bulrushgrade_daemon import crashwatch
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import partrecords
from bulrushgrade_daemon import recordwriter
from bulrushgrade_daemon import topicreader

MAX_NEW_PARTS = 16
"""Parts of one request at a crash that are taken in unless they were at an
earlier one, so that a caller with many ids can't displace others' parts. Which
ones depends on the endpoint, so that the same are not left out each time."""

MIN_WRITTEN_CRASHES = 2
"""Crashes of a part from which on they are written to the store."""

MAX_CRASHES_BEFORE_RETRY = 1
"""Crashes of a prompt's part up to which a host retries a request. Each further
attempt may crash one more endpoint, with all that it runs."""

MAX_LOGGED_ENDPOINTS = 8

EXPIRE_PERIOD_S = 10.0
"""Interval between searches for crashes beyond the limits of age and number."""


class PartSharing:
    """Keeps the ledger of prompt parts in step with other hosts."""

    name = "partsharing"
    requires = ("timer",)

    def __init__(
        self,
        *,
        timers: Any,
        ledger: partledger.PartLedger,
        writer: recordwriter.RecordWriter,
        owns: Callable[[str], bool],
        leads: Callable[[], bool],
        explain_crashes: Callable[[frozenset[partblame.Incarnation]], None],
        log: decisionlog.DecisionLog,
        unix_clock: Callable[[], float] = time.time,
    ):
        """Creates the service.

        Args:
            timers: The timer service.
            ledger: The known crashes of prompt parts.
            writer: Writes records to the topic of crashes.
            owns: Returns whether this host is the first owner of a key among
                those that are present.
            leads: Returns whether this host is the one that deletes records
                for all.
            explain_crashes: Called with the endpoints whose crashes parts
                explain, when these change.
            log: Gets a line for each part that enters or leaves quarantine.
            unix_clock: Returns the Unix time.
        """
        self._timers = timers
        self._ledger = ledger
        self._writer = writer
        self._owns = owns
        self._leads = leads
        self._explain_crashes = explain_crashes
        self._log = log
        self._unix_clock = unix_clock
        # By part: crashes that this host observed, written again if the store
        # loses them, and those that the store has as far as this host knows.
        self._own: collections.defaultdict[
            bytes, set[partblame.Incarnation]
        ] = collections.defaultdict(set)
        self._stored: collections.defaultdict[
            bytes, set[partblame.Incarnation]
        ] = collections.defaultdict(set)
        self._logged: dict[frozenset[bytes], partblame.Blame] = {}
        self._counts = {
            "crashes": 0,
            "sound": 0,
            "trials": 0,
            "refused": 0,
            "unreadable": 0,
        }
        self._on_site: list[Callable[[partblame.Incarnation, bool], None]] = []
        self._on_crash: list[Callable[[partledger.Key, bool], None]] = []
        self._on_sound: list[Callable[[bytes, bytes, bool], None]] = []
        self._on_quarantine: list[Callable[[], None]] = []
        self._tick: Any = None

    @property
    def ledger(self) -> partledger.PartLedger:
        """The known crashes of prompt parts."""
        return self._ledger

    @property
    def counts(self) -> dict[str, int]:
        """Crashes, sound parts, trials, refusals and unreadable records."""
        return dict(self._counts)

    @property
    def quarantined(self) -> int:
        """Number of quarantined parts or combinations of parts."""
        return len(self._ledger.blames)

    async def start(self) -> None:
        """Starts dropping old crashes."""
        self._tick = self._timers.every(EXPIRE_PERIOD_S, self._expire)

    async def stop(self) -> None:
        """Stops dropping old crashes."""
        if self._tick is not None:
            self._tick.cancel()

    def receive(self, message: Any) -> None:
        """Ignores messages."""

    def dump(self) -> dict[str, Any]:
        """Returns the number of crashes and what is quarantined."""
        return {
            "crashes": len(self._ledger),
            "quarantined": [
                {
                    **_describe(blame),
                    "left_s": round(
                        self._ledger.left_s(blame, self._timers.now)
                    ),
                }
                for blame in self._ledger.blames
            ],
            **{f"{name}_total": n for name, n in self._counts.items()},
        }

    def subscribe(
        self,
        *,
        on_site: Callable[[partblame.Incarnation, bool], None],
        on_crash: Callable[[partledger.Key, bool], None],
        on_sound: Callable[[bytes, bytes, bool], None],
    ) -> None:
        """Has callbacks called with news.

        Args:
            on_site: Called with an endpoint that crashed, and whether this
                host observed it.
            on_crash: The same with a part at a crash.
            on_sound: Called with a part, the runtime at which it is sound, and
                whether this host observed that.
        """
        self._on_site.append(on_site)
        self._on_crash.append(on_crash)
        self._on_sound.append(on_sound)

    def on_quarantine(self, callback: Callable[[], None]) -> None:
        """Has a callback called when more parts are quarantined."""
        self._on_quarantine.append(callback)

    def observe_crash(self, crash: crashwatch.Crash) -> None:
        """Takes in a crash that this host observed."""
        runs_by_part: dict[bytes, list[crashwatch.InterruptedRequest]] = {}
        for run in crash.runs:
            for part in self._select_parts(run, crash.endpoint):
                runs_by_part.setdefault(part, []).append(run)
        runtime = _find_runtime(crash.endpoint)
        site = partblame.CrashSite(
            zone=crash.endpoint.zone, crashed_at=crash.noticed_at
        )
        self._take_in_site(crash.endpoint.incarnation, site, is_own=True)
        for part, runs in runs_by_part.items():
            began = [run.began_at for run in runs if run.began_at is not None]
            times = began or [run.written_at for run in runs]
            found = partblame.PartCrash(
                part=part,
                endpoint=crash.endpoint.incarnation,
                runtime=runtime,
                zone=crash.endpoint.zone,
                has_begun=bool(began),
                first_at=min(times),
                last_at=max(times),
                crashed_at=crash.noticed_at,
                requests=frozenset(
                    _shorten_fingerprint(run.fingerprint) for run in runs
                ),
            )
            self._own[part].add(found.endpoint)
            self._take_in(found, is_own=True)
        self._update()

    def observe_completion(
        self, request: inflight.InFlight, *, began_at: float
    ) -> None:
        """Takes in a whole answer that an endpoint wrote.

        Args:
            request: The request, with the endpoint.
            began_at: When the answer began.
        """
        if not len(self._ledger):
            return
        runtime = _find_runtime(request.endpoint)
        for part in request.part_keys:
            if self._ledger.observe_completion(
                part, runtime, began_at=began_at
            ):
                self._record_sound(part, runtime, is_own=True)
        self._update()

    def merge_crashes(
        self,
        sites: Iterable[tuple[partblame.Incarnation, partblame.CrashSite]],
        crashes: Iterable[partblame.PartCrash],
    ) -> None:
        """Takes in crashes that a peer knows, and the parts that were there."""
        for endpoint, site in sites:
            self._take_in_site(endpoint, site, is_own=False)
        for crash in crashes:
            self._take_in(crash, is_own=False)
        self._update()

    def merge_sound(self, sound: Iterable[tuple[bytes, bytes]]) -> None:
        """Takes in parts that a peer knows to be sound at a runtime."""
        for part, runtime in sound:
            if self._ledger.add_sound(part, runtime):
                self._record_sound(part, runtime, is_own=False)
        self._update()

    def find_blame(self, request: inflight.InFlight) -> partblame.Blame | None:
        """Returns why a request may go to no endpoint at all, or None."""
        if not self._ledger.blames:
            return None
        blame = self._ledger.find_blame(request.shared_part_keys)
        if blame is None or request.trial == blame.parts:
            return None
        return blame

    def withholds(
        self,
        request: inflight.InFlight,
        endpoint: directory_module.Registration,
    ) -> bool:
        """Returns whether a request must not be sent to an endpoint now."""
        is_withheld = self.find_withheld(request)
        return is_withheld is not None and is_withheld(endpoint)

    def find_withheld(
        self, request: inflight.InFlight
    ) -> Callable[[directory_module.Registration], bool] | None:
        """Returns what tells the endpoints that must not get a request.

        None if any endpoint may get it. It may be sent to those whose software
        has completed an answer on each part that is to blame elsewhere.
        """
        if not self._ledger.blames:
            return None
        shared = request.shared_part_keys
        if not self._ledger.is_quarantined(shared):
            return None

        def is_withheld(endpoint: directory_module.Registration) -> bool:
            blame = self._ledger.find_blame(shared, _find_runtime(endpoint))
            return blame is not None and request.trial != blame.parts

        return is_withheld

    def begin_trial(
        self, request: inflight.InFlight, blame: partblame.Blame
    ) -> bool:
        """Lets a request try what is quarantined, if that is due."""
        if not self._owns(min(blame.parts).hex()):
            return False
        if not self._ledger.begin_trial(blame, self._timers.now):
            return False
        request.trial = blame.parts
        self._counts["trials"] += 1
        self._log.note(
            "prompt_parts_trial",
            request=request.info.request_id,
            **_describe(blame),
        )
        return True

    def count_refusal(self, blame: partblame.Blame) -> float:
        """Counts a refused request; returns when it may be tried again."""
        self._counts["refused"] += 1
        now = self._timers.now
        self._ledger.note_refusal(blame, now)
        return self._ledger.left_s(blame, now)

    def may_retry(self, request: inflight.InFlight) -> bool:
        """Returns whether an interrupted request may have another attempt."""
        if not len(self._ledger):
            return True
        suspicions = self._ledger.count_suspicions(request.shared_part_keys)
        return suspicions <= MAX_CRASHES_BEFORE_RETRY

    def apply_records(self, records: Iterable[topicreader.KeyedRecord]) -> None:
        """Applies records of the topic in their order."""
        for record in records:
            self._apply_record(record)
        self._update()

    def apply_snapshot(
        self, records: tuple[topicreader.KeyedRecord, ...]
    ) -> int:
        """Applies the newest record of every key.

        What this host observed and the store lacks is written again.

        Returns:
            The number of crashes that were not known.
        """
        known = len(self._ledger)
        self._stored.clear()
        self.apply_records(records)
        for part in list(self._own):
            self._write_due(part)
        self._writer.flush()
        return max(0, len(self._ledger) - known)

    def _select_parts(
        self,
        run: crashwatch.InterruptedRequest,
        endpoint: directory_module.Registration,
    ) -> list[bytes]:
        """Returns the parts of a request that may have caused a crash."""
        if run.is_prefilling:
            return []
        parts = set(run.shared_part_keys)
        known = [part for part in parts if self._ledger.is_suspect(part)]
        others = sorted(
            parts.difference(known),
            key=lambda part: fingerprint.make_rank(part, endpoint.id),
        )
        return known + others[:MAX_NEW_PARTS]

    def _take_in_site(
        self,
        endpoint: partblame.Incarnation,
        site: partblame.CrashSite,
        *,
        is_own: bool,
    ) -> None:
        if self._ledger.observe_site(endpoint, site):
            for callback in self._on_site:
                callback(endpoint, is_own)

    def _take_in(
        self,
        crash: partblame.PartCrash,
        *,
        is_own: bool,
        known_at: float = math.inf,
    ) -> None:
        if not self._ledger.observe_crash(crash, known_at=known_at):
            return
        self._counts["crashes"] += 1
        for callback in self._on_crash:
            callback((crash.part, crash.endpoint), is_own)
        self._write_due(crash.part)

    def _record_sound(
        self, part: bytes, runtime: bytes, *, is_own: bool
    ) -> None:
        self._counts["sound"] += 1
        for callback in self._on_sound:
            callback(part, runtime, is_own)
        stored = self._stored.get(part, ())
        for endpoint in [e for e in stored if (part, e) not in self._ledger]:
            if is_own or self._leads():
                self._delete((part, endpoint))
        if not self._ledger.is_suspect(part):
            self._own.pop(part, None)

    def _write_due(self, part: bytes) -> None:
        """Writes a part's crashes if it was at several."""
        if self._ledger.count_independent(part) < MIN_WRITTEN_CRASHES:
            return
        for crash in self._ledger.crashes(part):
            endpoint = crash.endpoint
            if endpoint not in self._own.get(part, ()):
                continue
            if endpoint in self._stored[part]:
                continue
            self._stored[part].add(endpoint)
            value = partrecords.write_value(
                crash, now=self._timers.now, unix_s=self._unix_clock()
            )
            self._writer.put(partrecords.write_key((part, endpoint)), value)

    def _delete(self, key: partledger.Key) -> None:
        self._forget(self._stored, key)
        self._writer.put(partrecords.write_key(key), None)

    @staticmethod
    def _forget(
        keys: dict[bytes, set[partblame.Incarnation]], key: partledger.Key
    ) -> None:
        part, endpoint = key
        keys.get(part, set()).discard(endpoint)
        if not keys.get(part):
            keys.pop(part, None)

    def _apply_record(self, record: topicreader.KeyedRecord) -> None:
        key = partrecords.read_key(record.key)
        if record.value is None:
            if key is not None:
                self._forget(self._stored, key)
                self._forget(self._own, key)
                self._ledger.drop(key)
            return
        crash = partrecords.read_crash(
            record, now=self._timers.now, unix_s=self._unix_clock()
        )
        if crash is None:
            self._counts["unreadable"] += 1
            self._log.note("record_unreadable", key=record.key)
            return
        self._stored[key[0]].add(key[1])
        if key in self._ledger:
            return
        self._take_in(crash, is_own=False, known_at=self._timers.now)
        if key not in self._ledger and self._leads():
            # It is known to be sound; a copy of the store brought it back.
            self._delete(key)

    def _update(self) -> None:
        """Makes known what is quarantined now, and writes what waits."""
        before = self._logged
        self._logged = {blame.parts: blame for blame in self._ledger.blames}
        if self._logged != before:
            self._log_changes(before)
            self._explain_crashes(self._ledger.explained)
            if self._logged.keys() - before:
                for callback in self._on_quarantine:
                    callback()
        self._writer.flush()

    def _log_changes(
        self, before: dict[frozenset[bytes], partblame.Blame]
    ) -> None:
        for parts, blame in self._logged.items():
            known = before.get(parts)
            if known is None or known.crashes != blame.crashes:
                self._log.note("prompt_parts_quarantined", **_describe(blame))
        for parts in before.keys() - self._logged:
            suspects = sum(self._ledger.is_suspect(part) for part in parts)
            self._log.note(
                "prompt_parts_released",
                parts=sorted(part.hex() for part in parts),
                still_suspect=suspects,
            )

    def _expire(self) -> None:
        for key in self._ledger.expire(self._timers.now):
            self._forget(self._own, key)
            if key[1] in self._stored.get(key[0], ()) and self._leads():
                self._delete(key)
        self._update()


def _describe(blame: partblame.Blame) -> dict[str, Any]:
    endpoints = sorted(id for id, _ in blame.endpoints)
    return {
        "parts": sorted(part.hex() for part in blame.parts),
        "crashes": blame.crashes,
        "requests": blame.requests,
        "endpoints": endpoints[:MAX_LOGGED_ENDPOINTS],
    }


def _find_runtime(endpoint: directory_module.Registration) -> bytes:
    return partledger.make_runtime(
        service=endpoint.service, software=endpoint.software
    )


def _shorten_fingerprint(fingerprint: str) -> bytes:
    return bytes.fromhex(fingerprint)[: partledger.REQUEST_BYTES]
