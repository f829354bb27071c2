"""Counts requests by workspace and reports the counts from one host.

Each daemon sends its complete, absolute counts of a window to the reporter
until the reporter acknowledges them. A lost datagram is sent again, and a
duplicate changes nothing. A new reporter receives the counts again from all
daemons that still have them.

The reporter is recorded in the topic of orders, and announced to all daemons
with the record's number. Daemons may disagree for a while on which of them are
able to report; the largest number wins, so that all counts go to one daemon.

Before a report is sent, the daemons that are next in line to report get it too.
If the store loses its record, they and all that read it before tell whoever
reports then, see `bulrushgrade.usagereports`.
"""

from collections.abc import Callable
import math
import time
from typing import Any

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade import usagereports
from bulrushgrade import usagewindows
from bulrushgrade import wallclock
from bulrushgrade import workspaces
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import fencedactions
from bulrushgrade_daemon import fleetview
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import operatorcalls
from bulrushgrade_daemon import orderrecords
from bulrushgrade_daemon import ordertopic
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import storeepoch
from bulrushgrade_daemon import task

CHECK_PERIOD_S = 0.5
"""Time between two clock samples, and between two checks for due reports."""

CHECKS_PER_SEND = 2
"""Number of checks per send of counts. A daemon that is killed loses the counts
since its last send."""

REPORTER_TIMEOUT_S = 3.5
"""Time without a reply after which the reporter counts as gone. It allows for a
few replies that get lost on bad links."""

COLLECTION_S = 1.6
"""Time for which a new reporter collects counts. All daemons send them again; a
daemon that missed the notice does so a second later."""

SUCCESSORS = 2
"""Daemons that get each report: one of them may be killed with the reporter."""

MAX_REPORTS_SENT = 2
"""Reports in one message, so that it stays small. The newest go first: only
they can be in time."""


@attrs.frozen(kw_only=True)
class _Reporter:
    """The reporter that a daemon knows of.

    Attributes:
        name: The reporter's incarnation.
        number: The number of its last known record.
        last_contact_at: When it was last heard from.
    """

    name: str
    number: int
    last_contact_at: float


class UsageReporting:
    """Counts requests, exchanges the counts with peers and reports them."""

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
        """Creates the service.

        Args:
            timers: The timer service; its clock runs during pauses.
            own_name: This daemon's incarnation.
            windows: The time windows in which usage is counted.
            actions: Performs actions that only one host at a time may do.
            calls: Calls to the operator's API.
            fleet: Knows which daemons are present.
            may_order: Returns whether this daemon is able to report.
            send: Sends a message to a peer.
            broadcast: Sends a message to all peers.
            log: Receives a line for each report.
            on_broken: Called with the reason when an invariant is broken.
            time_of_day: Returns the Unix time; its clock may be set.
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
        self._sample_clock()
        self._first_window = windows.number(self._now)
        self._reports = usagereports.UsageReports(
            holder=own_name, windows=windows, started_at=self._now
        )
        # Windows of this daemon whose counts the reporter acknowledged.
        self._acknowledged: set[int] = set()
        self._acknowledged_by: str | None = None
        # Windows whose reports the reporter may not know, since the store may
        # have lost their records.
        self._untold: set[int] = set()
        self._reporter: _Reporter | None = None
        self._reporter_since = -math.inf
        self._checks = 0
        self._action_running = False
        self._outcomes: dict[str, int] = {}
        self._tick: Any = None
        actions.listen(
            ordertopic.TopicListener(
                on_record=self._apply_record,
                on_gap=self._record_gap,
                on_loss=self._record_loss,
            )
        )

    @property
    def counts(self) -> dict[str, int]:
        """Number of reports by outcome."""
        return dict(self._outcomes)

    @property
    def is_reporter(self) -> bool:
        """Whether this daemon is the reporter."""
        reporter = self._reporter
        return reporter is not None and reporter.name == self._own_name

    async def start(self) -> None:
        """Starts to exchange and report counts."""
        self._tick = self._timers.every(CHECK_PERIOD_S, self._check)

    async def stop(self) -> None:
        """Sends the counts a last time."""
        if self._tick is not None:
            self._tick.cancel()
        self._send_counts(self._now)

    def dump(self) -> dict[str, Any]:
        """Returns the current window, the reporter and the outcome counts."""
        return {
            "window": self._windows.number(self._now),
            "reporter": self._find_reporter(),
            "accepted": self._reports.accepted,
            "reports": sorted(self._reports.known),
            "doubtful_before": self._reports.doubtful_before,
            "untold": sorted(self._untold),
            **self.counts,
        }

    def record_run_start(
        self, workspace: workspaces.Workspace | None, at: float
    ) -> None:
        """Counts a request that an endpoint started to run.

        Args:
            workspace: The request's workspace; None is not counted.
            at: When the run started, by the clock of the timer service.
        """
        if workspace is not None:
            self._meter.count_request(workspace.name, self._time.time_at(at))

    def receive(self, message: Any) -> None:
        """Handles a peer's counts, acknowledgement or notice as reporter."""
        match message:
            case gatewaymessages.UsageCounts():
                self._receive_counts(message)
            case gatewaymessages.UsageTaken():
                self._observe_reporter(message.peer, message.number)
                if message.peer == self._acknowledged_by:
                    self._acknowledged.update(message.windows)
                    self._untold.difference_update(message.reports)
            case gatewaymessages.UsageReporter():
                self._observe_reporter(message.peer, message.number)

    @property
    def _now(self) -> float:
        return self._time.time_at(self._timers.now)

    def _sample_clock(self) -> None:
        self._time.add_sample(self._time_of_day(), self._timers.now)

    def _check(self) -> None:
        self._sample_clock()
        self._checks += 1
        now = self._now
        self._meter.forget(now)
        self._reports.forget(now)
        if self.is_reporter and not self._may_order():
            self._reporter = None
        if self._find_reporter() != self._own_name:
            if self._checks % CHECKS_PER_SEND == 0:
                self._send_counts(now)
        elif self._may_order() and not self._action_running:
            self._start_action(now)

    # Choice of the reporter.

    def _find_reporter(self) -> str:
        """Returns the reporter, or the daemon that should become it."""
        reporter = self._reporter
        if reporter is None:
            return self._fleet.find_leader()
        age_s = self._timers.now - reporter.last_contact_at
        if reporter.name == self._own_name or age_s < REPORTER_TIMEOUT_S:
            return reporter.name
        return self._fleet.find_leader()

    def _observe_reporter(self, name: str, number: int) -> None:
        """Takes in a daemon's last record number; 0 if it is no reporter."""
        self._actions.observe_number(number)
        known = self._reporter
        if number == 0:
            if known is not None and known.name == name:
                self._reporter = None
            return
        if known is None or number >= known.number:
            self._reporter = _Reporter(
                name=name, number=number, last_contact_at=self._timers.now
            )

    def _announce(self) -> None:
        notice = gatewaymessages.UsageReporter(
            peer=self._own_name, number=self._reporter.number
        )
        self._broadcast(notice)

    # Sending counts to the reporter.

    def _send_counts(self, now: float) -> None:
        reporter = self._find_reporter()
        if reporter == self._own_name:
            return
        if reporter != self._acknowledged_by:
            self._acknowledged_by = reporter
            self._acknowledged.clear()
            self._untold = set(self._reports.known)
        self._acknowledged = {
            w
            for w in self._acknowledged
            if w >= self._windows.oldest_retained(now)
        }
        sent = [
            gatewaymessages.WindowCounts(
                window=window,
                counts=self._meter.counts(window),
                is_whole=self._windows.is_settled(window, now),
            )
            for window in self._open_windows(now)
            if window not in self._acknowledged
        ]
        self._send(
            reporter,
            gatewaymessages.UsageCounts(
                peer=self._own_name,
                windows=sent,
                reports=self._reports_to_tell(),
                number=self._actions.highest_number,
                epoch=self._actions.epoch,
                complete_from=self._reports.complete_from(now),
            ),
        )

    def _reports_to_tell(self) -> list[gatewaymessages.WindowReport]:
        known = self._reports.known
        self._untold &= known.keys()
        newest = sorted(self._untold, reverse=True)[:MAX_REPORTS_SENT]
        return [self._make_report(w, known[w]) for w in newest]

    def _make_report(
        self, window: int, counts: usagewindows.Counts
    ) -> gatewaymessages.WindowReport:
        return gatewaymessages.WindowReport(
            window=window, counts=counts, epoch=self._actions.epoch
        )

    def _open_windows(self, now: float) -> list[int]:
        """Returns the windows whose counts the reporter may still need.

        Windows that ended before this daemon's start are left out: it has no
        counts of them, which must not be reported as zero usage.
        """
        newest = self._windows.number(now)
        oldest = max(
            self._first_window, self._windows.number(now - self._windows.late_s)
        )
        return list(range(oldest, newest + 1))

    def _receive_counts(self, message: gatewaymessages.UsageCounts) -> None:
        received = [
            entry.window
            for entry in message.windows
            if self._reports.store_counts(
                message.peer,
                entry.window,
                entry.counts,
                is_whole=entry.is_whole,
            )
        ]
        self._actions.observe_number(message.number)
        newest = max((entry.window for entry in message.windows), default=0)
        # What a host whose clock is behind calls complete may not be.
        is_behind = (
            self._windows.end(newest) < self._now - usagewindows.SETTLE_S
        )
        if message.complete_from is not None and not is_behind:
            self._apply_completeness(message.complete_from, message.epoch)
        for entry in message.windows:
            self._reports.observe_window(entry.window, self._now)
        for report in message.reports:
            self._reports.learn_report(
                report.window, report.counts, report.epoch
            )
        # Those of orders too, which are not announced.
        number = self._actions.highest_number if self.is_reporter else 0
        self._send(
            message.peer,
            gatewaymessages.UsageTaken(
                peer=self._own_name,
                windows=received,
                number=number,
                reports=[report.window for report in message.reports],
            ),
        )

    # Reports.

    def _start_action(self, now: float) -> None:
        for window in self._open_windows(now):
            self._reports.store_counts(
                self._own_name,
                window,
                self._meter.counts(window),
                is_whole=self._windows.is_settled(window, now),
            )
        if not self.is_reporter:
            work = self._become_reporter()
        elif self._next_record() is not None:
            work = self._report()
        else:
            return
        self._action_running = True
        task.spawn(work, name=self.name, on_broken=self._on_broken)

    def _next_record(self) -> usagewindows.UsageRecord | None:
        """Returns the record to report now; None while counts are collected."""
        reporter_for_s = self._timers.now - self._reporter_since
        if reporter_for_s < COLLECTION_S:
            return None
        return self._reports.next_record(self._now, self._fleet.present)

    async def _become_reporter(self) -> None:
        """Records this daemon as the reporter."""

        async def make() -> (
            usagewindows.ReporterRecord | fencedactions.Withheld
        ):
            # The read before this call may have found another reporter.
            if self._find_reporter() != self._own_name:
                return fencedactions.Withheld(reason="another host reports")
            return usagewindows.ReporterRecord(
                holder=self._own_name,
                complete_from=self._reports.complete_from(self._now),
            )

        async def send(
            record: orderrecords.OrderRecord, permit: fencedactions.Permit
        ) -> Result[None, outbound.CallFailed]:
            return Success(None)

        try:
            recorded = await self._actions.perform(make, send)
        finally:
            self._action_running = False
        if isinstance(recorded, Failure):
            return
        self._reporter_since = self._timers.now
        self._log.note("usage_reporter", reporter=self._own_name)
        self._announce()

    async def _report(self) -> None:
        record: usagewindows.UsageRecord | None = None

        async def make() -> usagewindows.UsageRecord | fencedactions.Withheld:
            nonlocal record
            if not self.is_reporter:
                return fencedactions.Withheld(reason="another host reports")
            record = self._next_record()
            if record is None:
                return fencedactions.Withheld(reason="reported meanwhile")
            return record

        async def send(
            record: usagewindows.UsageRecord, permit: fencedactions.Permit
        ) -> Result[operatorcalls.CallOutcome, outbound.CallFailed]:
            self._tell_successors(record)
            return await self._calls.report_usage(record, permit)

        try:
            sent = await self._actions.perform(make, send)
        finally:
            self._action_running = False
        if isinstance(sent, Failure):
            outcome = sent.failure().reason
        else:
            outcome = sent.unwrap().value
            if sent.unwrap() is operatorcalls.CallOutcome.ACCEPTED:
                self._reports.record_acceptance(record.window)
        self._outcomes[outcome] = self._outcomes.get(outcome, 0) + 1
        if record is None:
            return
        self._reports.record_attempt(record.window, self._now)
        if self.is_reporter:
            self._announce()
        self._log.note(
            "usage_report",
            window=record.window,
            requests=sum(record.counts.values()),
            workspaces=len(record.counts),
            complete_from=record.complete_from,
            age_s=round(self._now - self._windows.end(record.window), 3),
            end=self._actions.end,
            outcome=outcome,
        )

    def _tell_successors(self, record: usagewindows.UsageRecord) -> None:
        message = gatewaymessages.UsageCounts(
            peer=self._own_name,
            windows=[],
            reports=[self._make_report(record.window, record.counts)],
        )
        others = sorted(n for n in self._fleet.present if n != self._own_name)
        for name in others[:SUCCESSORS]:
            self._send(name, message)

    # The topic of orders.

    def _apply_record(self, numbered: orderrecords.NumberedRecord) -> None:
        record = numbered.record
        if not isinstance(
            record, usagewindows.UsageRecord | usagewindows.ReporterRecord
        ):
            return
        if not 0 < numbered.epoch < self._actions.epoch:
            # The writer of an earlier one may be gone; if not, it is heard.
            self._observe_reporter(record.holder, numbered.number)
        self._apply_completeness(record.complete_from, numbered.epoch)
        if not isinstance(record, usagewindows.UsageRecord):
            return
        self._reports.observe_window(record.window, self._now)
        if self._reports.apply_record(record, numbered.epoch):
            self._log.note(
                "usage_report_differs",
                window=record.window,
                holder=record.holder,
                number=numbered.number,
                epoch=numbered.epoch,
            )

    def _apply_completeness(self, complete_from: int, epoch: int) -> None:
        # Epoch 0 can't tell a statement from before a loss from a later one.
        is_current = 0 < epoch == self._actions.epoch
        self._reports.apply_completeness(complete_from, is_current=is_current)

    def _record_gap(self) -> None:
        self._reports.record_gap(self._now)

    def _record_loss(self) -> None:
        # Another host reports only after it has been the reporter for the
        # time in which it collects counts.
        alone_until = self._actions.alone_until + COLLECTION_S
        knows_all = self._timers.now < alone_until
        self._reports.record_loss(self._now, knows_all=knows_all)
        self._untold = set(self._reports.known)
        is_first = self._actions.epoch == storeepoch.UNSTATED
        if is_first and not self._untold:
            # This host starts; nothing that it knew of is lost.
            return
        self._log.note(
            "usage_reports_lost",
            knows_all=knows_all,
            doubtful_before=self._reports.doubtful_before,
            reports=sorted(self._reports.known),
        )
