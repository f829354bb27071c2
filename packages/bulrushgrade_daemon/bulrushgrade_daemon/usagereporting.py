"""Counts what workspaces use and has one host report it.

Each daemon sends its counts of a window, whole and absolute, to the one that
reports until that has all of them; a datagram that gets lost is sent again,
and one that comes twice changes nothing. Who takes over as the one that
reports gets them anew from all that still have them.
"""

from collections.abc import Callable
import time
from typing import Any

from returns.result import Failure

from bulrushgrade import truetime
from bulrushgrade import usagewindows
from bulrushgrade import workspaces
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import fencedactions
from bulrushgrade_daemon import fleetview
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import operatorcalls
from bulrushgrade_daemon import orderrecords
from bulrushgrade_daemon import task

CHECK_PERIOD_S = 0.5
"""Between two comparisons of clocks, and two looks at what is due."""

SEND_CHECKS = 2
"""Checks between two times that counts are sent. What a daemon that is killed
counted since the last time is lost."""


class UsageReporting:
    """Counts requests, exchanges counts and reports them."""

    name = "usagereporting"
    requires = ("timer", "peerlink")

    def __init__(
        self,
        *,
        timers: Any,
        own_name: str,
        windows: usagewindows.Windows,
        actions: fencedactions.FencedActions,
        calls: operatorcalls.OperatorCalls,
        fleet: fleetview.FleetView,
        may_order: Callable[[], bool],
        send: Callable[[str, gatewaymessages.Message], bool],
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
        self._log = log
        self._on_broken = on_broken
        self._time_of_day = time_of_day
        self._time = truetime.TrueTime()
        self._meter = usagewindows.UsageMeter(windows=windows)
        self._note_clock()
        self._reports = usagewindows.UsageReports(
            holder=own_name, windows=windows, started_at=self._now
        )
        # Windows that the one that reports has from this daemon.
        self._taken: set[int] = set()
        self._taken_by: str | None = None
        self._checks = 0
        self._reporting = False
        self._outcomes: dict[str, int] = {}
        self._tick: Any = None
        actions.listen(self._take_record, self._note_gap)

    @property
    def counts(self) -> dict[str, int]:
        """Reports by what came of them."""
        return dict(self._outcomes)

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
            "reporter": self._fleet.first_able(),
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
            self._meter.note(workspace.name, self._time.at(at))

    def receive(self, message: Any) -> None:
        """Takes a peer's counts, or that a peer took this daemon's."""
        match message:
            case gatewaymessages.UsageCounts():
                self._take_counts(message)
            case gatewaymessages.UsageTaken():
                if message.peer == self._taken_by:
                    self._taken.update(message.windows)

    @property
    def _now(self) -> float:
        return self._time.at(self._timers.now)

    def _note_clock(self) -> None:
        self._time.note(self._time_of_day(), self._timers.now)

    def _check(self) -> None:
        self._note_clock()
        self._checks += 1
        now = self._now
        self._meter.forget(now)
        self._reports.forget(now)
        if self._fleet.first_able() != self._own_name:
            if self._checks % SEND_CHECKS == 0:
                self._send_counts(now)
        elif self._may_order() and not self._reporting:
            self._report(now)

    # Counts on their way to the one that reports.

    def _send_counts(self, now: float) -> None:
        reporter = self._fleet.first_able()
        if reporter == self._own_name:
            return
        if reporter != self._taken_by:
            self._taken_by = reporter
            self._taken.clear()
        self._taken = {
            w for w in self._taken if w >= self._windows.oldest_kept(now)
        }
        sent = [
            gatewaymessages.WindowCounts(
                window=window,
                counts=self._meter.counts(window),
                is_whole=self._windows.is_settled(window, now),
            )
            for window in self._open_windows(now)
        ]
        self._send(
            reporter,
            gatewaymessages.UsageCounts(peer=self._own_name, windows=sent),
        )

    def _open_windows(self, now: float) -> list[int]:
        """Returns the windows that the one that reports may still need."""
        newest = self._windows.number(now)
        oldest = self._windows.number(now - self._windows.late_s)
        return [w for w in range(oldest, newest + 1) if w not in self._taken]

    def _take_counts(self, message: gatewaymessages.UsageCounts) -> None:
        taken = [
            one.window
            for one in message.windows
            if self._reports.take_counts(
                message.peer,
                one.window,
                one.counts,
                is_whole=one.is_whole,
            )
        ]
        if taken:
            self._send(
                message.peer,
                gatewaymessages.UsageTaken(peer=self._own_name, windows=taken),
            )

    # Reports.

    def _report(self, now: float) -> None:
        for window in self._open_windows(now):
            self._reports.take_counts(
                self._own_name,
                window,
                self._meter.counts(window),
                is_whole=self._windows.is_settled(window, now),
            )
        if self._next_record() is None:
            return
        self._reporting = True
        task.spawn(self._perform(), name=self.name, on_broken=self._on_broken)

    def _next_record(self) -> usagewindows.UsageRecord | None:
        return self._reports.next_record(self._now, self._fleet.there)

    async def _perform(self) -> None:
        record: usagewindows.UsageRecord | None = None

        async def make() -> usagewindows.UsageRecord | fencedactions.Withheld:
            nonlocal record
            record = self._next_record()
            if record is None:
                return fencedactions.Withheld(reason="reported meanwhile")
            return record

        try:
            sent = await self._actions.perform(make, self._calls.report_usage)
        finally:
            self._reporting = False
        if isinstance(sent, Failure):
            outcome = sent.failure().reason
        else:
            outcome = sent.unwrap().value
            if sent.unwrap() is operatorcalls.CallOutcome.TAKEN:
                self._reports.note_accepted(record.window)
        self._outcomes[outcome] = self._outcomes.get(outcome, 0) + 1
        if record is None:
            return
        self._reports.note_tried(record.window, self._now)
        self._log.note(
            "usage_report",
            window=record.window,
            requests=sum(record.counts.values()),
            workspaces=len(record.counts),
            age_s=round(self._now - self._windows.end(record.window), 3),
            end=self._actions.end,
            outcome=outcome,
        )

    def _take_record(self, record: orderrecords.OrderRecord) -> None:
        if isinstance(record, usagewindows.UsageRecord):
            self._reports.take_record(record)

    def _note_gap(self) -> None:
        self._reports.note_gap(self._now)
