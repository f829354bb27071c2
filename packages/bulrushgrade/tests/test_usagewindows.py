"""Tests of counting requests by window and reporting each window."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from bulrushgrade import usagewindows

WINDOWS = usagewindows.WindowSchedule(window_s=5.0, late_s=10.0)


def make(holder="a", started_at=100.0):
    return usagewindows.UsageReports(
        holder=holder, windows=WINDOWS, started_at=started_at
    )


def test_meter_counts_by_window_and_workspace():
    meter = usagewindows.UsageMeter(windows=WINDOWS)
    for at in (100.0, 104.99, 105.0):
        meter.count_request("dealer", at)
    meter.count_request("lessor", 101.0)
    assert meter.counts(20) == {"dealer": 2, "lessor": 1}
    assert meter.counts(21) == {"dealer": 1}
    meter.forget(100.0 + 5.0 + usagewindows.RETENTION_FACTOR * WINDOWS.late_s)
    assert (meter.counts(20), meter.counts(21)) == ({}, {"dealer": 1})


def test_window_is_reported_once_all_daemons_have_sent_theirs():
    reports = make()
    reports.store_counts("a", 20, {"dealer": 2}, is_whole=True)
    assert reports.next_record(106.5, ["a", "b"]) is None
    reports.store_counts("b", 20, {"dealer": 1, "lessor": 1}, is_whole=True)
    found = reports.next_record(106.5, ["a", "b"])
    assert (found.window, found.counts) == (20, {"dealer": 3, "lessor": 1})


def test_silent_daemon_does_not_delay_a_report():
    """Guards against a lost host that makes every report late."""
    reports = make()
    reports.store_counts("a", 20, {"dealer": 2}, is_whole=True)
    reports.store_counts("b", 20, {"dealer": 1}, is_whole=False)
    waits_s = usagewindows.WAIT_FRACTION * WINDOWS.late_s
    assert reports.next_record(105.0 + waits_s - 0.1, ["a", "b"]) is None
    found = reports.next_record(105.0 + waits_s, ["a", "b"])
    assert found.counts == {"dealer": 3}


def test_later_counts_replace_earlier_ones_and_late_copies_do_not():
    reports = make()
    reports.store_counts("a", 20, {"dealer": 1}, is_whole=False)
    assert reports.store_counts("a", 20, {"dealer": 3}, is_whole=True)
    reports.store_counts("a", 20, {"dealer": 1}, is_whole=False)
    found = reports.next_record(107.0, ["a"])
    assert found.counts == {"dealer": 3}


def test_successor_repeats_exactly_what_was_recorded():
    """Guards against two reports of one window with different counts."""
    recorded = usagewindows.UsageRecord(
        holder="b", window=20, counts={"dealer": 7}
    )
    reports = make()
    reports.apply_record(recorded)
    assert reports.store_counts("a", 20, {"dealer": 9}, is_whole=True)
    found = reports.next_record(107.0, ["a"])
    assert (found.window, found.counts) == (20, {"dealer": 7})
    reports.apply_record(
        usagewindows.UsageRecord(holder="c", window=20, counts={"dealer": 1})
    )
    assert reports.next_record(107.0, ["a"]).counts == {"dealer": 7}
    reports.record_acceptance(20)
    assert reports.next_record(107.0, ["a"]) is None


def test_successor_repeats_only_what_may_not_have_been_accepted():
    """Guards against new reports that wait for repetitions of old ones."""
    reports = make()
    for window in (20, 21, 22):
        reports.apply_record(
            usagewindows.UsageRecord(
                holder="b",
                window=window,
                counts={"dealer": window},
                accepted=tuple(range(20, window)),
            )
        )
    assert reports.next_record(117.0, ["a"]).window == 22
    reports.record_acceptance(22)
    assert reports.next_record(117.0, ["a"]) is None


def test_rejected_report_does_not_delay_others():
    reports = make()
    for window in (20, 21):
        reports.store_counts("a", window, {"dealer": 1}, is_whole=True)
    reports.apply_record(reports.next_record(112.0, ["a"]))
    reports.record_attempt(20, 112.0)
    assert reports.next_record(112.1, ["a"]).window == 21
    reports.apply_record(reports.next_record(112.1, ["a"]))
    reports.record_acceptance(21)
    later = 112.0 + usagewindows.RETRY_S
    assert reports.next_record(later, ["a"]).window == 20


def test_report_that_can_be_in_time_goes_before_one_that_is_late():
    reports = make()
    for window in (20, 21):
        reports.store_counts("a", window, {"dealer": 1}, is_whole=True)
    assert reports.next_record(114.0, ["a"]).window == 20
    assert reports.next_record(116.0, ["a"]).window == 21


def test_window_whose_record_may_be_lost_is_not_reported_anew():
    """Guards against a different report after the store dropped its history."""
    reports = make()
    reports.record_gap(106.0)
    for window in (20, 21, 22):
        reports.store_counts("a", window, {"dealer": 1}, is_whole=True)
    assert reports.next_record(111.5, ["a"]) is None
    assert reports.next_record(116.5, ["a"]).window == 22


def test_windows_before_the_start_are_reported_only_with_counts():
    reports = make(started_at=120.0)
    assert reports.next_record(121.0, ["a"]) is None
    reports.store_counts("b", 22, {"dealer": 1}, is_whole=True)
    assert reports.next_record(121.0, ["b"]).window == 22
    reports.apply_record(reports.next_record(121.0, ["b"]))
    reports.record_acceptance(22)
    # A window after the daemon's start is reported even if it has no requests.
    reports.store_counts("a", 24, {}, is_whole=True)
    assert reports.next_record(126.5, ["a"]).counts == {}


class ReportsMachine(stateful.RuleBasedStateMachine):
    """Daemons report in turn from one log, and some reports are lost.

    All reports of a window must have the same counts.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.log = []
        self.reports = {name: make(name) for name in "abc"}
        self.read = dict.fromkeys("abc", 0)
        self.sent = {}

    @stateful.rule(step=st.floats(0.1, 6.0))
    def wait(self, step):
        self.now += step

    @stateful.rule(
        to=st.sampled_from("abc"),
        by=st.sampled_from("abc"),
        count=st.integers(0, 5),
        is_whole=st.booleans(),
    )
    def count(self, to, by, count, is_whole):
        window = WINDOWS.number(self.now) - 1
        self.reports[to].store_counts(
            by, window, {"dealer": count}, is_whole=is_whole
        )

    @stateful.rule(name=st.sampled_from("abc"))
    def restart(self, name):
        self.reports[name] = make(name, self.now)
        self.read[name] = 0

    @stateful.rule(
        name=st.sampled_from("abc"),
        is_sent=st.booleans(),
        is_answered=st.booleans(),
    )
    def report(self, name, is_sent, is_answered):
        reports = self.reports[name]
        for record in self.log[self.read[name] :]:
            reports.apply_record(record)
        record = reports.next_record(self.now, [name])
        if record is not None:
            self.log.append(record)
            reports.apply_record(record)
        self.read[name] = len(self.log)
        if record is None or not is_sent:
            return
        self.sent.setdefault(record.window, []).append(record.counts)
        if is_answered:
            reports.record_acceptance(record.window)

    @stateful.invariant()
    def window_has_one_report(self):
        for counts in self.sent.values():
            assert all(found == counts[0] for found in counts)


TestReportsMachine = ReportsMachine.TestCase
TestReportsMachine.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
