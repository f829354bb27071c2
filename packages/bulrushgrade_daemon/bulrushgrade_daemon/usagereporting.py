"""Counts what workspaces use and has one host report it.

Each daemon sends its counts of a window, whole and absolute, to the one that
reports until that has all of them; a datagram that gets lost is sent again,
and one that comes twice changes nothing. Who takes over as the one that
reports gets them anew from all that still have them.

Who reports is recorded in the topic of orders, and announced to all with the
record's number. Daemons may disagree for a while on which of them could
report; the largest number settles it, so that all counts go to one place.
"""

from collections.abc import Callable
import math
import time
from typing import Any

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade import usagewindows
from bulrushgrade import wallclock
from bulrushgrade import workspaces
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import fencedactions
from bulrushgrade_daemon import fleetview
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import operatorcalls
from bulrushgrade_daemon import orderrecords
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import task

CHECK_PERIOD_S = 0.5
"""Between two comparisons of clocks, and two looks at what is due."""

SEND_CHECKS = 2
"""Checks between two times that counts are sent. What a daemon that is killed
counted since the last time is lost."""

SILENT_S = 3.5
"""After which one that reports and does not reply counts as gone: some replies
get lost on bad links."""

COLLECT_S = 1.6
"""Before who has just begun to report adds up: all daemons send their counts
anew, one that misses the notice a second later."""


@attrs.frozen(kw_only=True)
class _Reporter:
    """Who reports, as far as a daemon has heard.

    Attributes:
        name: Its incarnation.
        number: Of its last record that is known.
        heard_at: When it was heard.
    """

    name: str
    number: int
    heard_at: float


class UsageReporting:
    """Counts requests, exchanges counts and reports them."""

    name = "usagereporting"
    requires = ("timer", "peerlink")

    def __init__(
        self,
        *,
        timers: Any,
        own_name: str,
        windows: usagewindows.WindowSchedule,
        actions: fencedactions.FencedActions,
        calls: operatorcalls.OperatorCalls,
        fleet: fleetview.FleetView,
        may_order: Callable[[], bool],
        send: Callable[[str, gatewaymessages.Message], bool],
        broadcast: Callable[[gatewaymessages.Message], None],
        log: decisionlog.DecisionLog,
        on_broken: Callable[[str], None],
        time_of_day: Callable[[], float] = time.time,
    ):
        """Makes the service.

        Args:
            timers: The timer service, by a clock that runs through pauses.
            own_name: This daemon's incarnation.
            windows: How time is divided.
            actions: Carries out what only one host at a time may do.
            calls: Reports to the operator.
            fleet: Which daemons are there.
            may_order: Returns whether this daemon could report.
            send: Sends a message to a peer.
            broadcast: Sends a message to all peers.
            log: Gets a line for each report.
            on_broken: Called with the reason where an invariant is broken.
            time_of_day: Returns the seconds since 1970, by a clock that may
                be set.
        """
        self._timers = timers
        self._own_name = own_name
        self._windows = windows
        self._actions = actions
        self._calls = calls
        self._fleet = fleet
        self._may_order = may_order
        self._send = send
        self._broadcast = broadcast
        self._log = log
        self._on_broken = on_broken
        self._time_of_day = time_of_day
        self._time = wallclock.WallClock()
        self._meter = usagewindows.UsageMeter(windows=windows)
        self._note_clock()
        self._first = windows.number(self._now)
        self._reports = usagewindows.UsageReports(
            holder=own_name, windows=windows, started_at=self._now
        )
        # Windows that the one that reports has from this daemon.
        self._taken: set[int] = set()
        self._taken_by: str | None = None
        self._reporter: _Reporter | None = None
        self._began_at = -math.inf
        self._checks = 0
        self._acting = False
        self._outcomes: dict[str, int] = {}
        self._tick: Any = None
        actions.listen(self._take_record, self._note_gap)

    @property
    def counts(self) -> dict[str, int]:
        """Reports by what came of them."""
        return dict(self._outcomes)

    @property
    def reports_itself(self) -> bool:
        """Whether this daemon is the one that reports."""
        reporter = self._reporter
        return reporter is not None and reporter.name == self._own_name

    async def start(self) -> None:
        """Begins to exchange and report."""
        self._tick = self._timers.every(CHECK_PERIOD_S, self._check)

    async def stop(self) -> None:
        """Sends what was counted a last time."""
        if self._tick is not None:
            self._tick.cancel()
        self._send_counts(self._now)

    def dump(self) -> dict[str, Any]:
        """Returns what is known of windows."""
        return {
            "window": self._windows.number(self._now),
            "reporter": self._find_reporter(),
            "accepted": self._reports.accepted,
            **self.counts,
        }

    def note_begun(
        self, workspace: workspaces.Workspace | None, at: float
    ) -> None:
        """Counts a request that an endpoint began to run.

        Args:
            workspace: Whose it is; None counts for nobody.
            at: When, by the steady clock.
        """
        if workspace is not None:
            self._meter.count_request(workspace.name, self._time.time_at(at))

    def receive(self, message: Any) -> None:
        """Takes a peer's counts, its reply to counts, or that it reports."""
        match message:
            case gatewaymessages.UsageCounts():
                self._take_counts(message)
            case gatewaymessages.UsageTaken():
                self._note_reporter(message.peer, message.number)
                if message.peer == self._taken_by:
                    self._taken.update(message.windows)
            case gatewaymessages.UsageReporter():
                self._note_reporter(message.peer, message.number)

    @property
    def _now(self) -> float:
        return self._time.time_at(self._timers.now)

    def _note_clock(self) -> None:
        self._time.add_sample(self._time_of_day(), self._timers.now)

    def _check(self) -> None:
        self._note_clock()
        self._checks += 1
        now = self._now
        self._meter.forget(now)
        self._reports.forget(now)
        if self.reports_itself and not self._may_order():
            self._reporter = None
        if self._find_reporter() != self._own_name:
            if self._checks % SEND_CHECKS == 0:
                self._send_counts(now)
        elif self._may_order() and not self._acting:
            self._act(now)

    # Who reports.

    def _find_reporter(self) -> str:
        """Returns who reports, or who should begin to."""
        reporter = self._reporter
        if reporter is None:
            return self._fleet.find_leader()
        age_s = self._timers.now - reporter.heard_at
        if reporter.name == self._own_name or age_s < SILENT_S:
            return reporter.name
        return self._fleet.find_leader()

    def _note_reporter(self, name: str, number: int) -> None:
        """Notes the number of somebody's last record; 0 if it has none."""
        known = self._reporter
        if number == 0:
            if known is not None and known.name == name:
                self._reporter = None
            return
        if known is None or number >= known.number:
            self._reporter = _Reporter(
                name=name, number=number, heard_at=self._timers.now
            )

    def _announce(self) -> None:
        notice = gatewaymessages.UsageReporter(
            peer=self._own_name, number=self._reporter.number
        )
        self._broadcast(notice)

    # Counts on their way to the one that reports.

    def _send_counts(self, now: float) -> None:
        reporter = self._find_reporter()
        if reporter == self._own_name:
            return
        if reporter != self._taken_by:
            self._taken_by = reporter
            self._taken.clear()
        self._taken = {
            w for w in self._taken if w >= self._windows.oldest_retained(now)
        }
        sent = [
            gatewaymessages.WindowCounts(
                window=window,
                counts=self._meter.counts(window),
                is_whole=self._windows.is_settled(window, now),
            )
            for window in self._open_windows(now)
            if window not in self._taken
        ]
        self._send(
            reporter,
            gatewaymessages.UsageCounts(peer=self._own_name, windows=sent),
        )

    def _open_windows(self, now: float) -> list[int]:
        """Returns the windows that the one that reports may still need.

        Those that ended before this daemon's start are left out: it knows
        nothing of them, which is not that nothing began.
        """
        newest = self._windows.number(now)
        oldest = max(
            self._first, self._windows.number(now - self._windows.late_s)
        )
        return list(range(oldest, newest + 1))

    def _take_counts(self, message: gatewaymessages.UsageCounts) -> None:
        taken = [
            one.window
            for one in message.windows
            if self._reports.store_counts(
                message.peer,
                one.window,
                one.counts,
                is_whole=one.is_whole,
            )
        ]
        number = self._reporter.number if self.reports_itself else 0
        self._send(
            message.peer,
            gatewaymessages.UsageTaken(
                peer=self._own_name, windows=taken, number=number
            ),
        )

    # Reports.

    def _act(self, now: float) -> None:
        for window in self._open_windows(now):
            self._reports.store_counts(
                self._own_name,
                window,
                self._meter.counts(window),
                is_whole=self._windows.is_settled(window, now),
            )
        if not self.reports_itself:
            work = self._begin()
        elif self._next_record() is not None:
            work = self._report()
        else:
            return
        self._acting = True
        task.spawn(work, name=self.name, on_broken=self._on_broken)

    def _next_record(self) -> usagewindows.UsageRecord | None:
        """Returns what to report now, from all counts that can be had."""
        began_s = self._timers.now - self._began_at
        if began_s < COLLECT_S:
            return None
        return self._reports.next_record(self._now, self._fleet.present)

    async def _begin(self) -> None:
        """Becomes the one that reports."""

        async def make() -> (
            usagewindows.ReporterRecord | fencedactions.Withheld
        ):
            # Somebody's record may have come to light just now.
            if self._find_reporter() != self._own_name:
                return fencedactions.Withheld(reason="another host reports")
            return usagewindows.ReporterRecord(holder=self._own_name)

        async def send(
            record: orderrecords.OrderRecord, permit: fencedactions.Permit
        ) -> Result[None, outbound.CallFailed]:
            return Success(None)

        try:
            begun = await self._actions.perform(make, send)
        finally:
            self._acting = False
        if isinstance(begun, Failure):
            return
        self._began_at = self._timers.now
        self._log.note("usage_reporter", reporter=self._own_name)
        self._announce()

    async def _report(self) -> None:
        record: usagewindows.UsageRecord | None = None

        async def make() -> usagewindows.UsageRecord | fencedactions.Withheld:
            nonlocal record
            if not self.reports_itself:
                return fencedactions.Withheld(reason="another host reports")
            record = self._next_record()
            if record is None:
                return fencedactions.Withheld(reason="reported meanwhile")
            return record

        try:
            sent = await self._actions.perform(make, self._calls.report_usage)
        finally:
            self._acting = False
        if isinstance(sent, Failure):
            outcome = sent.failure().reason
        else:
            outcome = sent.unwrap().value
            if sent.unwrap() is operatorcalls.CallOutcome.TAKEN:
                self._reports.record_acceptance(record.window)
        self._outcomes[outcome] = self._outcomes.get(outcome, 0) + 1
        if record is None:
            return
        self._reports.record_attempt(record.window, self._now)
        if self.reports_itself:
            self._announce()
        self._log.note(
            "usage_report",
            window=record.window,
            requests=sum(record.counts.values()),
            workspaces=len(record.counts),
            age_s=round(self._now - self._windows.end(record.window), 3),
            end=self._actions.end,
            outcome=outcome,
        )

    def _take_record(
        self, record: orderrecords.OrderRecord, number: int
    ) -> None:
        match record:
            case usagewindows.UsageRecord():
                self._reports.apply_record(record)
                self._note_reporter(record.holder, number)
            case usagewindows.ReporterRecord():
                self._note_reporter(record.holder, number)

    def _note_gap(self) -> None:
        self._reports.record_gap(self._now)
