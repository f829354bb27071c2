"""Tests of how hosts share which requests were at crashed endpoints."""

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
from bulrushgrade_daemon import topicreader

AWAY = Failure(topicreader.StoreAway(reason="silent"))


def make_crash(endpoint, *requests, zone="z1"):
    return crashwatch.Crash(
        endpoint=make_registration(endpoint, zone=zone),
        runs=tuple(
            crashwatch.BrokenRun(
                fingerprint=request,
                caller_id="c1",
                request_id="r",
                path="/a",
                ran_s=0.1,
            )
            for request in requests
        ),
        reason="refused",
    )


class Topic:
    """The records of a topic, which may be away."""

    def __init__(self):
        self.records: dict[str, bytes] = {}
        self.batches: list[list[crashsharing.Record]] = []
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
    """One host that shares by a topic."""

    def __init__(self, *, topic=None, leads=True):
        self.clock, timers, self.broken = fakes.make_timers()
        self.topic = topic or Topic()
        self.ledger = crashledger.CrashLedger()
        self.lines = fakes.EventRecorder()
        self.sharing = crashsharing.CrashSharing(
            timers=timers,
            ledger=self.ledger,
            write=self.topic.write,
            leads=lambda: leads,
            log=self.lines.make(),
            on_broken=self.broken.append,
        )
        fakes.run(self.sharing.start())

    def pass_time(self, seconds):
        while seconds > 0:
            step = min(seconds, crashsharing.WRITE_PAUSE_S)
            self.clock.advance(step)
            seconds -= step


def test_crash_counts_at_once_and_is_written():
    host = Host()
    host.sharing.take_crash(make_crash("e1", "bad", "good"))
    assert len(host.ledger) == 2
    assert len(host.topic.records) == 2
    host.sharing.take_crash(make_crash("e1", "bad"))
    host.pass_time(5.0)
    assert len(host.topic.batches) == 1
    assert host.sharing.counts["written"] == 2


def test_hosts_count_one_another_s_crashes():
    """Each host saw one crash of a request, and none knew of three."""
    one = Host()
    other = Host(topic=one.topic)
    one.sharing.take_crash(make_crash("e1", "bad", zone="z1"))
    other.sharing.take_crash(make_crash("e2", "bad", zone="z2"))
    one.sharing.take_records(one.topic.list())
    one.sharing.take_crash(make_crash("e3", "bad", zone="z3"))
    assert one.sharing.quarantined == 1
    one.pass_time(1.0)
    other.sharing.take_records(one.topic.list())
    assert other.sharing.quarantined == 1
    assert other.lines.count("request_quarantined") == 1
    assert other.sharing.dump()["quarantined"] == {
        "bad": round(crashledger.QUARANTINE_S)
    }


def test_host_that_starts_learns_from_the_whole_list():
    one = Host()
    for number in range(3):
        crash = make_crash(f"e{number}", "bad", zone=f"z{number}")
        one.sharing.take_crash(crash)
        one.pass_time(1.0)
    started = Host(topic=one.topic)
    started.sharing.take_all(one.topic.list())
    assert started.ledger.blamed == {"bad"}
    assert started.topic.batches == one.topic.batches


def test_crashes_of_one_moment_are_written_together():
    host = Host()
    for number in range(10):
        host.sharing.take_crash(make_crash(f"e{number}", f"r{number}"))
    host.pass_time(crashsharing.WRITE_PAUSE_S)
    assert [len(batch) for batch in host.topic.batches] == [1, 9]


def test_crash_is_written_when_the_store_is_back():
    host = Host()
    host.topic.is_away = True
    host.sharing.take_crash(make_crash("e1", "bad"))
    host.pass_time(3.0)
    assert host.topic.records == {}
    host.topic.is_away = False
    host.pass_time(crashsharing.RETRY_S)
    assert len(host.topic.records) == 1
    assert host.sharing.counts["failed"] > 1
    assert host.broken == []


def test_great_failure_while_the_store_is_away_stays_within_bounds():
    """A zone failed beside the store; what waited to be written grew on.

    A request that was at a crash before is told of all the same.
    """
    host = Host()
    host.sharing.take_crash(make_crash("e0", "bad", zone="z0"))
    host.pass_time(1.0)
    host.topic.is_away = True
    for number in range(crashsharing.MOST_WAITING + 100):
        host.sharing.take_crash(make_crash("e1", f"r{number}"))
    host.sharing.take_crash(make_crash("e2", "bad", zone="z2"))
    waiting = host.sharing.dump()["waiting"]
    assert waiting <= crashsharing.MOST_WAITING + 1
    assert host.sharing.counts["left_out"] == 100
    host.topic.is_away = False
    host.pass_time(5.0)
    key = crashrecords.write_key(("bad", ("e2", 1)))
    assert key in host.topic.records
    assert all(
        len(batch) <= crashsharing.MOST_A_WRITE for batch in host.topic.batches
    )


def test_request_that_ran_to_its_end_is_forgotten_by_all():
    one = Host()
    other = Host(topic=one.topic)
    one.sharing.take_crash(make_crash("e1", "good"))
    other.sharing.take_records(one.topic.list())
    other.sharing.note_whole("good")
    assert len(other.ledger) == 0
    other.pass_time(crashsharing.CLEAR_PAUSE_S)
    assert one.topic.records == {}
    key = crashrecords.write_key(("good", ("e1", 1)))
    dropped = topicreader.KeyedRecord(key=key, value=None)
    one.sharing.take_records((dropped,))
    assert len(one.ledger) == 0


def test_drops_are_gathered_and_hold_no_crash_up():
    """Each request that met a crash and went on cost a call to the store.

    While drops were gathered, a crash waited behind them.
    """
    host = Host()
    host.sharing.take_crash(make_crash("e1", *map(str, range(9))))
    host.pass_time(1.0)
    for number in range(9):
        host.sharing.note_whole(str(number))
        host.pass_time(0.1)
    assert len(host.topic.batches) == 1
    host.sharing.take_crash(make_crash("e2", "bad"))
    assert len(host.topic.batches) == 2
    assert len(host.topic.records) == 1
    host.pass_time(crashsharing.CLEAR_PAUSE_S * 2)
    assert len(host.topic.batches) == 2


def test_request_that_ends_whole_after_all_is_released():
    host = Host()
    for number in range(3):
        host.sharing.take_crash(
            make_crash(f"e{number}", "list", zone=f"z{number}")
        )
    host.sharing.note_whole("list")
    assert host.sharing.quarantined == 0
    assert host.lines.count("request_released") == 1
    host.pass_time(5.0)
    assert host.topic.records == {}


def test_involvement_that_the_store_lost_is_written_again():
    """The store came back without the last seconds of a topic."""
    host = Host()
    host.sharing.take_crash(make_crash("e1", "bad"))
    host.topic.records.clear()
    host.pass_time(1.0)
    host.sharing.take_all(())
    host.pass_time(1.0)
    assert len(host.topic.records) == 1


def test_one_host_drops_old_records():
    for leads in (True, False):
        host = Host(leads=leads)
        host.sharing.take_crash(make_crash("e1", "good"))
        host.pass_time(crashledger.CRASH_TTL_S + crashsharing.EXPIRE_PERIOD_S)
        assert len(host.ledger) == 0
        assert len(host.topic.records) == (0 if leads else 1)


def test_record_of_another_writer_changes_nothing():
    host = Host()
    host.sharing.take_records(
        (
            topicreader.KeyedRecord(key="odd", value=b"x"),
            topicreader.KeyedRecord(key="odd", value=None),
            make_record(involve("good", "e1")),
        )
    )
    assert len(host.ledger) == 1
    assert host.sharing.counts["unreadable"] == 1
    assert host.lines.count("record_unreadable") == 1


def test_quarantine_that_begins_anew_is_logged_with_its_length():
    host = Host()
    for number in range(3):
        host.sharing.take_crash(
            make_crash(f"e{number}", "bad", zone=f"z{number}")
        )
    host.pass_time(crashledger.QUARANTINE_S + 1.0)
    assert host.sharing.quarantined == 0
    host.sharing.take_crash(make_crash("e9", "bad", zone="z9"))
    assert host.sharing.quarantined == 1
    assert host.lines.count("request_quarantined") == 2
    longer_s = round(2 * crashledger.QUARANTINE_S)
    assert f'"for_s":{longer_s}'.encode() in host.lines.text
