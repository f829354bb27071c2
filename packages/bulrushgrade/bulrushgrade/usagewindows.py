"""How many requests of each workspace began to run, by window of time.

Each daemon counts for itself and sends its counts to the one that reports. A
window is reported once: what is to be sent is recorded in the topic of orders
before it is sent, and whoever sends it later repeats what was recorded. A
window of which records may have been dropped unread is not reported anew.
"""

from collections.abc import Iterable
import math

import attrs

Counts = dict[str, int]
"""Requests by the name of their workspace."""

SETTLE_S = 1.0
"""After a window's end until a daemon's counts are whole: requests that began
in it are counted with the head of their answer."""

WAIT_FRACTION = 0.5
"""Of the time in which a report is due, for which counts of daemons that have
not sent theirs are waited for."""

RETRY_S = 1.0
"""Before a report that was not accepted is sent again."""

RETENTION_FACTOR = 4.0
"""Times within which reports are due, for which windows are remembered."""


@attrs.frozen(kw_only=True)
class UsageRecord:
    """What is to be reported of a window.

    Attributes:
        holder: The incarnation of the host that reports it.
        window: The window's number, counted from 1970.
        counts: What is reported.
        accepted: Windows whose reports are known to have been accepted.
    """

    holder: str
    window: int
    counts: Counts
    accepted: tuple[int, ...] = ()


@attrs.frozen(kw_only=True)
class ReporterRecord:
    """Says who reports from now on.

    Attributes:
        holder: The incarnation of the host that reports.
    """

    holder: str


@attrs.frozen(kw_only=True)
class WindowSchedule:
    """How time is divided.

    Attributes:
        window_s: The length of a window.
        late_s: How long after its end a window's report is due.
    """

    window_s: float
    late_s: float

    def number(self, at: float) -> int:
        """Returns the number of the window of a moment, in true time."""
        return math.floor(at / self.window_s)

    def end(self, window: int) -> float:
        """Returns when a window ends, in true time."""
        return (window + 1) * self.window_s

    def is_settled(self, window: int, now: float) -> bool:
        """Returns whether a daemon has counted what began in a window."""
        return now >= self.end(window) + SETTLE_S

    def is_in_time(self, window: int, now: float) -> bool:
        """Returns whether a window's report is not late yet."""
        return now <= self.end(window) + self.late_s

    def oldest_retained(self, now: float) -> int:
        """Returns the oldest window that is remembered."""
        return self.number(now - RETENTION_FACTOR * self.late_s)


class UsageMeter:
    """What one daemon counts."""

    def __init__(self, *, windows: WindowSchedule):
        """Makes a meter that has counted nothing.

        Args:
            windows: How time is divided.
        """
        self._windows = windows
        self._counts: dict[int, Counts] = {}

    def note(self, workspace: str, at: float) -> None:
        """Counts a request that began to run at a moment of true time."""
        counts = self._counts.setdefault(self._windows.number(at), {})
        counts[workspace] = counts.get(workspace, 0) + 1

    def counts(self, window: int) -> Counts:
        """Returns what was counted in a window."""
        return dict(self._counts.get(window, {}))

    def forget(self, now: float) -> None:
        """Drops windows that are not remembered any more."""
        oldest = self._windows.oldest_retained(now)
        for window in [w for w in self._counts if w < oldest]:
            del self._counts[window]


@attrs.define(kw_only=True)
class _DaemonCounts:
    """What one daemon sent of a window."""

    counts: Counts
    is_whole: bool


class UsageReports:
    """Which windows were reported, and what is to be reported next."""

    def __init__(
        self, *, holder: str, windows: WindowSchedule, started_at: float
    ):
        """Makes a state in which nothing was reported.

        Args:
            holder: This daemon's incarnation.
            windows: How time is divided.
            started_at: When this daemon started, in true time.
        """
        self._holder = holder
        self._windows = windows
        self._first = windows.number(started_at)
        self._recorded: dict[int, Counts] = {}
        self._accepted: set[int] = set()
        self._attempted_at: dict[int, float] = {}
        # Windows that began before may have records that nobody can read.
        self._complete_from = -math.inf
        self._sent: dict[int, dict[str, _DaemonCounts]] = {}

    @property
    def accepted(self) -> int:
        """Windows whose report was accepted and that are remembered."""
        return len(self._accepted)

    def take_record(self, record: UsageRecord) -> None:
        """Takes a record; the first of a window is the one that counts."""
        self._recorded.setdefault(record.window, record.counts)
        self._accepted.update(record.accepted)

    def note_gap(self, now: float) -> None:
        """Notes that records were dropped unread."""
        self._complete_from = now

    def record_attempt(self, window: int, now: float) -> None:
        """Notes that a window's report was sent, or was to be."""
        self._attempted_at[window] = now

    def note_accepted(self, window: int) -> None:
        """Notes that the platform has a window's report."""
        self._accepted.add(window)

    def take_counts(
        self, daemon: str, window: int, counts: Counts, *, is_whole: bool
    ) -> bool:
        """Takes what a daemon counted; what it sends later replaces it.

        Args:
            daemon: Its incarnation.
            window: The window's number.
            counts: What it has counted so far.
            is_whole: Whether it counts no more in that window.

        Returns:
            Whether it need not send that window again.
        """
        if window in self._recorded:
            return True
        sent = self._sent.setdefault(window, {})
        known = sent.get(daemon)
        if known is None or not known.is_whole or is_whole:
            sent[daemon] = _DaemonCounts(counts=counts, is_whole=is_whole)
        return is_whole

    def next_record(
        self, now: float, daemons: Iterable[str]
    ) -> UsageRecord | None:
        """Returns what is to be sent now, or None.

        Args:
            now: The present moment of true time.
            daemons: Those that are there.
        """
        expected = set(daemons)
        windows = range(
            self._windows.oldest_retained(now), self._windows.number(now)
        )
        due = [w for w in windows if self._is_due(w, now, expected)]
        if not due:
            return None
        # Those that can still be in time go before those that are late.
        in_time = [w for w in due if self._windows.is_in_time(w, now)]
        window = (in_time or due)[0]
        counts = self._recorded.get(window)
        if counts is None:
            counts = self._sum_counts(window)
        return self._make_record(window, counts)

    def forget(self, now: float) -> None:
        """Drops windows that are not remembered any more."""
        oldest = self._windows.oldest_retained(now)
        self._accepted = {w for w in self._accepted if w >= oldest}
        self._recorded = {
            w: counts for w, counts in self._recorded.items() if w >= oldest
        }
        self._sent = {w: sent for w, sent in self._sent.items() if w >= oldest}
        self._attempted_at = {
            w: at for w, at in self._attempted_at.items() if w >= oldest
        }

    def _is_due(self, window: int, now: float, expected: set[str]) -> bool:
        if window in self._accepted:
            return False
        if now - self._attempted_at.get(window, -math.inf) < RETRY_S:
            return False
        if window in self._recorded:
            return True
        end = self._windows.end(window)
        if end - self._windows.window_s < self._complete_from:
            return False
        sent = self._sent.get(window, {})
        if window < self._first and not sent:
            return False
        if not self._windows.is_settled(window, now):
            return False
        whole = {daemon for daemon, one in sent.items() if one.is_whole}
        waited = now >= end + WAIT_FRACTION * self._windows.late_s
        return waited or expected <= whole

    def _sum_counts(self, window: int) -> Counts:
        total: Counts = {}
        for one in self._sent.get(window, {}).values():
            for workspace, count in one.counts.items():
                total[workspace] = total.get(workspace, 0) + count
        return total

    def _make_record(self, window: int, counts: Counts) -> UsageRecord:
        return UsageRecord(
            holder=self._holder,
            window=window,
            counts=counts,
            accepted=tuple(sorted(self._accepted)),
        )
