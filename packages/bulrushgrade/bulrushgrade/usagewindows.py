"""Counts and reports the requests that each workspace started, by time window.

Each daemon counts its own requests and sends the counts to the daemon that
reports. A window is reported with one set of counts: the report is recorded in
the topic of orders before it is sent, and a daemon that sends it again repeats
the record. A window whose records may have been dropped unread is not reported
with new counts.

The store may lose records that it has acknowledged, after their reports were
sent. Daemons that know of a report tell the one that reports, which records it
again with the same counts. A window whose report may be lost, and is known to
no daemon, is not reported. Each record says from which window on the topic has
all reports, so that a daemon that starts later leaves the others out too.
"""

from collections.abc import Iterable
import math

import attrs

Counts = dict[str, int]
"""Number of requests by workspace name."""

SETTLE_S = 1.0
"""Time after a window's end until a daemon's counts are complete. A request is
counted only when the header of its answer arrives."""

WAIT_FRACTION = 0.5
"""Fraction of the time until a report is due for which counts of other daemons
are awaited."""

RETRY_S = 1.0
"""Time before a report that was not accepted is sent again."""

RETENTION_FACTOR = 4.0
"""Retention of windows, as a multiple of the time until reports are due."""


@attrs.frozen(kw_only=True)
class UsageRecord:
    """The recorded report of a window.

    Attributes:
        holder: The incarnation of the reporting host.
        window: The window's number, counted from the Unix epoch.
        counts: The reported counts.
        accepted: Windows whose reports are known to have been accepted.
        complete_from: The first window from which on the topic has all
            reports that were recorded; the writer knows of none that is
            missing.
    """

    holder: str
    window: int
    counts: Counts
    accepted: tuple[int, ...] = ()
    complete_from: int = 0


@attrs.frozen(kw_only=True)
class ReporterRecord:
    """A change of the reporting host.

    Attributes:
        holder: The incarnation of the host that reports from now on.
        complete_from: See `UsageRecord`.
    """

    holder: str
    complete_from: int = 0


@attrs.frozen(kw_only=True)
class WindowSchedule:
    """Numbers, ends and deadlines of consecutive time windows.

    Attributes:
        window_s: The length of a window.
        late_s: Time after a window's end until its report is due.
    """

    window_s: float
    late_s: float

    def number(self, at: float) -> int:
        """Returns the number of the window that contains a wall-clock time."""
        return math.floor(at / self.window_s)

    def end(self, window: int) -> float:
        """Returns the wall-clock time at which a window ends."""
        return (window + 1) * self.window_s

    def is_settled(self, window: int, now: float) -> bool:
        """Returns whether a daemon's own counts of a window are complete."""
        return now >= self.end(window) + SETTLE_S

    def is_in_time(self, window: int, now: float) -> bool:
        """Returns whether a window's report can still be in time."""
        return now <= self.end(window) + self.late_s

    def oldest_retained(self, now: float) -> int:
        """Returns the number of the oldest retained window."""
        return self.number(now - RETENTION_FACTOR * self.late_s)


class UsageMeter:
    """Counts one daemon's requests by window and workspace."""

    def __init__(self, *, windows: WindowSchedule):
        """Creates a meter without counts.

        Args:
            windows: The time windows.
        """
        self._windows = windows
        self._counts: dict[int, Counts] = {}

    def count_request(self, workspace: str, at: float) -> None:
        """Counts a request that started at a wall-clock time."""
        counts = self._counts.setdefault(self._windows.number(at), {})
        counts[workspace] = counts.get(workspace, 0) + 1

    def counts(self, window: int) -> Counts:
        """Returns the counts of a window."""
        return dict(self._counts.get(window, {}))

    def forget(self, now: float) -> None:
        """Drops windows that are no longer retained."""
        oldest = self._windows.oldest_retained(now)
        for window in [w for w in self._counts if w < oldest]:
            del self._counts[window]


@attrs.define(kw_only=True)
class _DaemonCounts:
    """The counts that one daemon sent for a window."""

    counts: Counts
    is_whole: bool


@attrs.define(kw_only=True)
class _Report:
    """The report of a window, as far as it is known.

    Attributes:
        counts: The reported counts.
        epoch: The store's epoch in which it was recorded; 0 if unknown.
        is_in_topic: Whether the topic of orders has it.
    """

    counts: Counts
    epoch: int
    is_in_topic: bool


class UsageReports:
    """Tracks the reports of windows and selects the next one to send."""

    def __init__(
        self, *, holder: str, windows: WindowSchedule, started_at: float
    ):
        """Creates a state without reports.

        Args:
            holder: This daemon's incarnation.
            windows: The time windows.
            started_at: The wall-clock time at which this daemon started.
        """
        self._holder = holder
        self._windows = windows
        self._first = windows.number(started_at)
        self._reports: dict[int, _Report] = {}
        self._accepted: set[int] = set()
        self._attempted_at: dict[int, float] = {}
        # What was known of earlier windows is forgotten.
        self._forgotten_before = 0
        # Earlier windows may have records that were dropped unread.
        self._read_from = 0
        # Earlier windows may have reports that the store has lost.
        self._kept_from = 0
        # By how many windows this daemon's clock was behind those of others
        # when it dated the two above.
        self._behind = 0
        # From this window on, the topic has all reports, as its records say.
        self._complete_from: int | None = None
        self._sent: dict[int, dict[str, _DaemonCounts]] = {}

    @property
    def accepted(self) -> int:
        """The number of retained windows whose report was accepted."""
        return len(self._accepted)

    @property
    def known(self) -> dict[int, Counts]:
        """The counts of the windows whose reports are known."""
        return {w: report.counts for w, report in self._reports.items()}

    @property
    def doubtful_before(self) -> int:
        """Earlier windows may have a report that is not known."""
        kept_from = self._kept_from + self._behind
        if self._complete_from is not None:
            kept_from = min(kept_from, self._complete_from)
        return max(self._read_from + self._behind, kept_from)

    def apply_record(self, record: UsageRecord, epoch: int = 0) -> bool:
        """Applies a record; the first one of a window counts.

        A record of a later epoch counts more: its writer knew that the store
        had lost records, and an earlier one may be of a writer that did not.

        Args:
            record: The record.
            epoch: The store's epoch in which it was written; 0 if unknown.

        Returns:
            Whether the counts differ from a report that was known.
        """
        self._accepted.update(record.accepted)
        found = _Report(counts=record.counts, epoch=epoch, is_in_topic=True)
        known = self._reports.setdefault(record.window, found)
        if known.counts == record.counts:
            known.is_in_topic = True
            return False
        if epoch > known.epoch:
            self._reports[record.window] = found
        return True

    def apply_completeness(
        self, complete_from: int, *, is_current: bool
    ) -> None:
        """Applies what a record says of the topic.

        Args:
            complete_from: The first window from which on the topic has all
                reports.
            is_current: Whether it was written in the store's present epoch.
        """
        if not is_current:
            return
        known = self._complete_from
        if known is None or complete_from < known:
            self._complete_from = complete_from

    def learn_report(self, window: int, counts: Counts, epoch: int) -> None:
        """Stores a report that another daemon knows of.

        Args:
            window: The window.
            counts: The counts that were reported.
            epoch: The store's epoch in which it was recorded.
        """
        self._reports.setdefault(
            window, _Report(counts=counts, epoch=epoch, is_in_topic=False)
        )

    def observe_window(self, window: int, now: float) -> None:
        """Processes a window that another daemon takes for begun.

        It shows that this daemon's clock is behind, so that what it dates by
        this clock is too early.

        Args:
            window: The window's number.
            now: The current wall-clock time by this daemon's clock.
        """
        behind_s = window * self._windows.window_s - now
        if behind_s > SETTLE_S:
            behind = math.ceil(behind_s / self._windows.window_s)
            self._behind = max(self._behind, behind)

    def record_gap(self, now: float) -> None:
        """Records that some records were dropped unread."""
        self._read_from = self._first_after(now)

    def record_loss(self, now: float, *, knows_all: bool) -> None:
        """Records that the store has lost records.

        Args:
            now: The current wall-clock time.
            knows_all: Whether this daemon knows all reports that were
                recorded before.
        """
        for report in self._reports.values():
            report.is_in_topic = False
        if not knows_all:
            self._kept_from = self._first_after(now)
            self._complete_from = None

    def record_attempt(self, window: int, now: float) -> None:
        """Records an attempt to send a window's report."""
        self._attempted_at[window] = now

    def record_acceptance(self, window: int) -> None:
        """Records that the platform accepted a window's report."""
        self._accepted.add(window)

    def store_counts(
        self, daemon: str, window: int, counts: Counts, *, is_whole: bool
    ) -> bool:
        """Stores a daemon's counts; later ones replace earlier ones.

        Args:
            daemon: The daemon's incarnation.
            window: The window's number.
            counts: Its counts so far.
            is_whole: Whether its counts of that window are final.

        Returns:
            Whether the daemon need not send that window again.
        """
        if window in self._reports:
            return True
        sent = self._sent.setdefault(window, {})
        known = sent.get(daemon)
        if known is None or not known.is_whole or is_whole:
            sent[daemon] = _DaemonCounts(counts=counts, is_whole=is_whole)
        return is_whole

    def next_record(
        self, now: float, daemons: Iterable[str]
    ) -> UsageRecord | None:
        """Returns the report to send now, or None.

        Args:
            now: The current wall-clock time.
            daemons: The daemons that are present.
        """
        expected = set(daemons)
        oldest = max(self._windows.oldest_retained(now), self._forgotten_before)
        windows = range(oldest, self._windows.number(now))
        due = [w for w in windows if self._is_due(w, now, expected)]
        if not due:
            return None
        # Reports that can still be in time go before late ones.
        in_time = [w for w in due if self._windows.is_in_time(w, now)]
        window = (in_time or due)[0]
        report = self._reports.get(window)
        counts = self._sum_counts(window) if report is None else report.counts
        return UsageRecord(
            holder=self._holder,
            window=window,
            counts=counts,
            accepted=tuple(sorted(self._accepted)),
            complete_from=self.complete_from(now),
        )

    def complete_from(self, now: float) -> int:
        """Returns the first window from which on the topic has all reports.

        Args:
            now: The current wall-clock time.
        """
        missing = [w for w in self._reports if self._is_missing(w, now)]
        return max([self.doubtful_before, *(w + 1 for w in missing)])

    def forget(self, now: float) -> None:
        """Drops windows that are no longer retained.

        They are not reported any more, also if the clock is set back.
        """
        oldest = self._windows.oldest_retained(now)
        self._forgotten_before = max(self._forgotten_before, oldest)
        self._accepted = {w for w in self._accepted if w >= oldest}
        self._reports = {
            w: report for w, report in self._reports.items() if w >= oldest
        }
        self._sent = {w: sent for w, sent in self._sent.items() if w >= oldest}
        self._attempted_at = {
            w: at for w, at in self._attempted_at.items() if w >= oldest
        }

    def _first_after(self, now: float) -> int:
        """Returns the first window that begins after now, by this clock."""
        return self._windows.number(now) + 1

    def _is_missing(self, window: int, now: float) -> bool:
        """Returns whether a report has to be recorded again.

        Only for windows that daemons still count for: a host that starts has
        no counts of older ones, and reports none of them.
        """
        report = self._reports[window]
        return not report.is_in_topic and self._windows.is_in_time(window, now)

    def _is_due(self, window: int, now: float, expected: set[str]) -> bool:
        if now - self._attempted_at.get(window, -math.inf) < RETRY_S:
            return False
        if window in self._reports:
            is_accepted = window in self._accepted
            return not is_accepted or self._is_missing(window, now)
        if window in self._accepted or window < self.doubtful_before:
            return False
        sent = self._sent.get(window, {})
        if window < self._first and not sent:
            return False
        if not self._windows.is_settled(window, now):
            return False
        whole = {daemon for daemon, one in sent.items() if one.is_whole}
        end = self._windows.end(window)
        waited = now >= end + WAIT_FRACTION * self._windows.late_s
        return waited or expected <= whole

    def _sum_counts(self, window: int) -> Counts:
        total: Counts = {}
        for one in self._sent.get(window, {}).values():
            for workspace, count in one.counts.items():
                total[workspace] = total.get(workspace, 0) + count
        return total
