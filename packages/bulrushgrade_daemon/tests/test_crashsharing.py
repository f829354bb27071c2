"""Tests of sharing involvements in crashes among hosts."""

import fakes
from returns.result import Failure
from returns.result import Success
from test_crashledger import involve
from test_crashrecords import make_record
from test_directory import make as make_registration

from bulrushgrade import crashledger
from bulrushgrade_daemon import crashrecords
from bulrushgrade_daemon import crashsharing
from bulrushgrade_daemon import crashwatch
from bulrushgrade_daemon import recordwriter
from bulrushgrade_daemon import topicreader

AWAY = Failure(topicreader.StoreAway(reason="silent"))


def make_crash(endpoint, *requests, zone="z1"):
    return crashwatch.Crash(
        endpoint=make_registration(endpoint, zone=zone),
        runs=tuple(
            crashwatch.InterruptedRequest(
                fingerprint=request,
                caller_id="c1",
                request_id="r",
                path="/a",
                observed_at=0.1,
                began_at=0.0,
                written_at=0.0,
            )
            for request in requests
        ),
        reason="refused",
    )


class Topic:
    """The records of a topic, which may be unreachable."""

    def __init__(self):
        self.records: dict[str, bytes] = {}
        self.batches: list[list[recordwriter.Record]] = []
        self.is_away = False

    async def write(self, records):
        if self.is_away:
            return AWAY
        self.batches.append(list(records))
        for key, value in records:
            if value is None:
                self.records.pop(key, None)
            else:
                self.records[key] = value
        return Success(None)

    def list(self):
        return tuple(
            topicreader.KeyedRecord(key=key, value=value)
            for key, value in self.records.items()
        )


class Host:
    """One host that shares involvements by a topic."""

    def __init__(self, *, topic=None, leads=True):
        self.clock, timers, self.broken = fakes.make_timers()
        self.topic = topic or Topic()
        self.ledger = crashledger.CrashLedger()
        self.lines = fakes.EventRecorder()
        self.sharing = crashsharing.CrashSharing(
            timers=timers,
            ledger=self.ledger,
            writer=recordwriter.RecordWriter(
                name="crashsharing",
                timers=timers,
                write=self.topic.write,
                on_broken=self.broken.append,
            ),
            leads=lambda: leads,
            log=self.lines.make(),
        )
        fakes.run(self.sharing.start())

    def pass_time(self, seconds):
        while seconds > 0:
            step = min(seconds, recordwriter.WRITE_PAUSE_S)
            self.clock.advance(step)
            seconds -= step


def test_crash_counts_at_once_and_is_written():
    host = Host()
    host.sharing.observe_crash(make_crash("e1", "bad", "good"))
    assert len(host.ledger) == 2
    assert len(host.topic.records) == 2
    host.sharing.observe_crash(make_crash("e1", "bad"))
    host.pass_time(5.0)
    assert len(host.topic.batches) == 1
    assert host.sharing.counts["written"] == 2


def test_crashes_seen_by_different_hosts_add_up():
    """Each host saw one crash of a request, and none counted three."""
    one = Host()
    other = Host(topic=one.topic)
    one.sharing.observe_crash(make_crash("e1", "bad", zone="z1"))
    other.sharing.observe_crash(make_crash("e2", "bad", zone="z2"))
    one.sharing.apply_records(one.topic.list())
    one.sharing.observe_crash(make_crash("e3", "bad", zone="z3"))
    assert one.sharing.quarantined == 1
    one.pass_time(1.0)
    other.sharing.apply_records(one.topic.list())
    assert other.sharing.quarantined == 1
    assert other.lines.count("request_quarantined") == 1
    assert other.sharing.dump()["quarantined"] == {
        "bad": round(crashledger.QUARANTINE_S)
    }


def test_starting_host_loads_the_snapshot():
    one = Host()
    for number in range(3):
        crash = make_crash(f"e{number}", "bad", zone=f"z{number}")
        one.sharing.observe_crash(crash)
        one.pass_time(1.0)
    started = Host(topic=one.topic)
    started.sharing.apply_snapshot(one.topic.list())
    assert started.ledger.blamed == {"bad"}
    assert started.topic.batches == one.topic.batches


def test_simultaneous_crashes_are_written_in_one_batch():
    host = Host()
    for number in range(10):
        host.sharing.observe_crash(make_crash(f"e{number}", f"r{number}"))
    host.pass_time(recordwriter.WRITE_PAUSE_S)
    assert [len(batch) for batch in host.topic.batches] == [1, 9]


def test_crash_is_written_when_the_store_is_back():
    host = Host()
    host.topic.is_away = True
    host.sharing.observe_crash(make_crash("e1", "bad"))
    host.pass_time(3.0)
    assert host.topic.records == {}
    host.topic.is_away = False
    host.pass_time(recordwriter.RETRY_S)
    assert len(host.topic.records) == 1
    assert host.sharing.counts["failed"] > 1
    assert host.broken == []


def test_pending_records_are_bounded_while_the_store_is_away():
    """A zone and the store fail together; pending records grew without bound.

    Records of a request that was at an earlier crash are kept beyond the bound.
    """
    host = Host()
    host.sharing.observe_crash(make_crash("e0", "bad", zone="z0"))
    host.pass_time(1.0)
    host.topic.is_away = True
    for number in range(crashsharing.MAX_WAITING + 100):
        host.sharing.observe_crash(make_crash("e1", f"r{number}"))
    host.sharing.observe_crash(make_crash("e2", "bad", zone="z2"))
    waiting = host.sharing.dump()["waiting"]
    assert waiting <= crashsharing.MAX_WAITING + 1
    assert host.sharing.counts["left_out"] == 100
    host.topic.is_away = False
    host.pass_time(5.0)
    key = crashrecords.write_key(("bad", ("e2", 1)))
    assert key in host.topic.records
    assert all(
        len(batch) <= recordwriter.MAX_WRITE_RECORDS
        for batch in host.topic.batches
    )


def test_completed_request_is_cleared_on_all_hosts():
    one = Host()
    other = Host(topic=one.topic)
    one.sharing.observe_crash(make_crash("e1", "good"))
    other.sharing.apply_records(one.topic.list())
    other.sharing.observe_completion("good")
    assert len(other.ledger) == 0
    other.pass_time(recordwriter.DELETE_PAUSE_S)
    assert one.topic.records == {}
    key = crashrecords.write_key(("good", ("e1", 1)))
    dropped = topicreader.KeyedRecord(key=key, value=None)
    one.sharing.apply_records((dropped,))
    assert len(one.ledger) == 0


def test_deletions_are_batched_and_delay_no_crash():
    """Each request that was at a crash and then completed cost a store call.

    While deletions were batched, a new crash had to wait behind them.
    """
    host = Host()
    host.sharing.observe_crash(make_crash("e1", *map(str, range(9))))
    host.pass_time(1.0)
    for number in range(9):
        host.sharing.observe_completion(str(number))
        host.pass_time(0.1)
    assert len(host.topic.batches) == 1
    host.sharing.observe_crash(make_crash("e2", "bad"))
    assert len(host.topic.batches) == 2
    assert len(host.topic.records) == 1
    host.pass_time(recordwriter.DELETE_PAUSE_S * 2)
    assert len(host.topic.batches) == 2


def test_quarantined_request_that_completes_is_released():
    host = Host()
    for number in range(3):
        host.sharing.observe_crash(
            make_crash(f"e{number}", "list", zone=f"z{number}")
        )
    host.sharing.observe_completion("list")
    assert host.sharing.quarantined == 0
    assert host.lines.count("request_released") == 1
    host.pass_time(5.0)
    assert host.topic.records == {}


def test_involvement_that_the_store_lost_is_written_again():
    """The store comes back without the last seconds of a topic."""
    host = Host()
    host.sharing.observe_crash(make_crash("e1", "bad"))
    host.topic.records.clear()
    host.pass_time(1.0)
    host.sharing.apply_snapshot(())
    host.pass_time(1.0)
    assert len(host.topic.records) == 1


def test_involvement_that_is_being_written_is_not_written_again():
    host = Host()
    host.topic.is_away = True
    host.sharing.observe_crash(make_crash("e1", "bad"))
    host.sharing.apply_snapshot(())
    assert host.sharing.counts["written_again"] == 0


def test_cleared_involvements_that_a_copy_has_are_deleted_again():
    """The store returned from a copy that has involvements of a request again.

    The request had completed. It was quarantined on all hosts until then.
    """
    one, leader = Host(leads=False), Host(leads=True)
    other = Host(leads=False)
    for number in range(3):
        one.sharing.observe_crash(
            make_crash(f"e{number}", "good", zone=f"z{number}")
        )
        one.pass_time(1.0)
    copy = one.topic.list()
    one.sharing.observe_completion("good")
    one.pass_time(5.0)
    for host in (leader, other):
        host.sharing.apply_records(copy)
        host.sharing.apply_records(
            tuple(
                topicreader.KeyedRecord(key=record.key, value=None)
                for record in copy
            )
        )
    for host in (one, leader, other):
        host.topic.records = {r.key: r.value for r in copy}
        host.topic.batches.clear()
        host.sharing.apply_snapshot(copy)
        assert host.sharing.quarantined == 0
        host.pass_time(5.0)
    assert (one.topic.records, leader.topic.records) == ({}, {})
    assert one.lines.read("crash_records_again")[0]["deleted"] == 3
    # Not all hosts of the fleet write.
    assert other.topic.batches == []


def test_cleared_involvement_that_another_host_writes_again_is_deleted():
    """Guards against a host that did not read the deletion before its loss."""
    host = Host(leads=False)
    host.sharing.observe_crash(make_crash("e1", "good"))
    host.pass_time(1.0)
    again = host.topic.list()
    host.sharing.observe_completion("good")
    host.pass_time(5.0)
    host.topic.records = {r.key: r.value for r in again}
    host.sharing.apply_records(again)
    assert len(host.ledger) == 0
    host.pass_time(5.0)
    assert host.topic.records == {}


def test_memory_of_cleared_involvements_is_bounded():
    host = Host()
    host.sharing.observe_crash(make_crash("e1", "first"))
    host.pass_time(1.0)
    copy = host.topic.list()
    host.sharing.observe_completion("first")
    for number in range(crashsharing.MAX_CLEARED):
        key = crashrecords.write_key((f"r{number}", ("e1", 1)))
        dropped = topicreader.KeyedRecord(key=key, value=None)
        host.sharing.apply_records((dropped,))
    host.sharing.apply_records(copy)
    assert len(host.ledger) == 1


def test_only_the_leader_deletes_old_records():
    for leads in (True, False):
        host = Host(leads=leads)
        host.sharing.observe_crash(make_crash("e1", "good"))
        host.pass_time(crashledger.CRASH_TTL_S + crashsharing.EXPIRE_PERIOD_S)
        assert len(host.ledger) == 0
        assert len(host.topic.records) == (0 if leads else 1)


def test_unreadable_record_is_counted_and_ignored():
    host = Host()
    host.sharing.apply_records(
        (
            topicreader.KeyedRecord(key="odd", value=b"x"),
            topicreader.KeyedRecord(key="odd", value=None),
            make_record(involve("good", "e1")),
        )
    )
    assert len(host.ledger) == 1
    assert host.sharing.counts["unreadable"] == 1
    assert host.lines.count("record_unreadable") == 1


def test_renewed_quarantine_is_logged_with_its_duration():
    host = Host()
    for number in range(3):
        host.sharing.observe_crash(
            make_crash(f"e{number}", "bad", zone=f"z{number}")
        )
    host.pass_time(crashledger.QUARANTINE_S + 1.0)
    assert host.sharing.quarantined == 0
    host.sharing.observe_crash(make_crash("e9", "bad", zone="z9"))
    assert host.sharing.quarantined == 1
    assert host.lines.count("request_quarantined") == 2
    longer_s = round(2 * crashledger.QUARANTINE_S)
    assert f'"for_s":{longer_s}'.encode() in host.lines.text
