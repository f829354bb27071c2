"""Tests of the follower of a topic."""

import fakes
from returns.result import Failure
from returns.result import Success
from twisted.internet import defer

from bulrushgrade_daemon import follower
from bulrushgrade_daemon import sharedtopic
from bulrushgrade_daemon import topicjournal
from bulrushgrade_daemon import topicreader


def record(key, value=b"v"):
    return topicreader.KeyedRecord(key=key, value=value)


def make(read_all, read_after, **changes):
    reactor, timers, broken = fakes.make_timers()
    lines = fakes.EventRecorder()
    shared = sharedtopic.SharedTopic(
        topic="topic",
        own_name="h1/1",
        max_age_s=1.5,
        extract_state=lambda found: topicjournal.RecordState(
            content=found.value
        ),
        rank_hosts=lambda key: ["h1/1"],
        must_read=lambda: False,
        send=lambda peer, message: False,
        timers=timers,
        log=lines.make(),
    )
    taken, whole = [], []
    values = {"wait_s": 1.0, "pause_s": 0.5} | changes
    made = follower.Follower(
        name="topic",
        timers=timers,
        reader=topicreader.KeyedReader(
            read_all=read_all, read_after=read_after
        ),
        shared=shared,
        on_all=whole.append,
        on_records=taken.append,
        log=lines.make(),
        on_broken=broken.append,
        **values,
    )
    fakes.run(made.start())
    made.broken = broken
    return made, reactor, lines, whole, taken


def test_whole_list_then_records_after_it():
    read_all = fakes.Answers(topicreader.Listing(records=(record("a"),), end=7))
    read_after = fakes.Answers(
        topicreader.Batch(records=(record("b"),), end=8),
        topicreader.Batch(records=(), end=8),
    )
    made, reactor, _, whole, taken = make(read_all, read_after)
    reactor.pump([0.5] * 4)
    assert made.has_loaded
    assert [r.key for r in whole[0]] == ["a"]
    assert [r.key for r in taken[0]] == ["b"]
    assert [offset for offset, _ in read_after.calls][:3] == [7, 8, 8]


def test_dropped_records_cause_a_full_reload():
    """The store drops records while a daemon can't reach it.

    The daemon would miss deletions whose records are no longer retained.
    """
    read_all = fakes.Answers(topicreader.Listing(records=(), end=7))
    read_after = fakes.Answers(
        Failure(topicreader.RecordsDropped()),
        topicreader.Batch(records=(), end=7),
    )
    _, reactor, _, whole, _ = make(read_all, read_after)
    reactor.pump([0.5] * 4)
    assert len(whole) == 2


def test_store_outage_is_logged_once_and_retried():
    away = Failure(topicreader.StoreUnavailable(reason="timeout"))
    read_all = fakes.Answers(
        away, away, away, topicreader.Listing(records=(), end=0)
    )
    read_after = fakes.Answers(topicreader.Batch(records=(), end=0))
    made, reactor, lines, _, _ = make(read_all, read_after)
    reactor.pump([0.1] * 5)
    assert not made.has_loaded
    assert lines.count("dependency_lost") == 1
    reactor.pump([0.1] * 10)
    assert made.has_loaded
    assert lines.count("dependency_regained") == 1
    assert made.regained_at is not None


class WaitingReads:
    """Reads that end after their wait, or sooner, without a record."""

    def __init__(self, *, ends_after):
        self.ends_after = ends_after
        self.timers = None

    async def __call__(self, offset, wait_s):
        # The first read begins before there are timers.
        while self.timers is None:
            self.begun = defer.Deferred()
            await self.begun
        await self.timers.sleep(wait_s * self.ends_after)
        return Success(topicreader.Batch(records=(), end=offset))


def follow_waiting(ends_after):
    read_all = fakes.Answers(topicreader.Listing(records=(), end=7))
    reads = WaitingReads(ends_after=ends_after)
    made, reactor, _, _, _ = make(read_all, reads, pause_s=0.0)
    reads.timers = made._timers
    reads.begun.callback(None)
    ages = []
    for _ in range(100):
        reactor.advance(0.05)
        ages.append(made.age_s)
    return ages


def test_an_empty_read_that_waited_in_full_dates_the_view_at_its_end():
    """Guards against views that are too old for relaying half of the time.

    Every host of a zone then read the store itself.
    """
    assert max(follow_waiting(ends_after=1.0)[25:]) < 1.2


def test_an_empty_read_that_ended_early_dates_the_view_at_its_start():
    """Guards against a view that claims to be fresher than it is."""
    ages = follow_waiting(ends_after=0.5)
    assert 0.9 < max(ages[25:]) < 1.2


def test_a_read_that_ends_as_cancelled_is_reported():
    """A read ends as cancelled although nobody cancelled it.

    The follower ended silently, and its gateway used stale records forever.
    """

    async def read_all():
        raise defer.CancelledError()

    made, _, _, _, _ = make(read_all, None)
    assert len(made.broken) == 1


def test_a_stopped_follower_reports_nothing():
    waiting = defer.Deferred()

    async def read_all():
        await waiting

    made, _, _, _, _ = make(read_all, None)
    fakes.run(made.stop())
    assert made.broken == []
