"""Tests of following a topic."""

import fakes
from returns.result import Failure
from twisted.internet import defer

from bulrushgrade_daemon import follower
from bulrushgrade_daemon import sharedtopic
from bulrushgrade_daemon import topicjournal
from bulrushgrade_daemon import topicreader


def record(key, value=b"v"):
    return topicreader.KeyedRecord(key=key, value=value)


def make(read_all, read_after, **changes):
    reactor, timers, broken = fakes.make_timers()
    lines = fakes.Lines()
    shared = sharedtopic.SharedTopic(
        topic="topic",
        own_name="h1/1",
        view_s=1.5,
        read_essence=lambda found: topicjournal.Essence(content=found.value),
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
    assert made.known
    assert [r.key for r in whole[0]] == ["a"]
    assert [r.key for r in taken[0]] == ["b"]
    assert [offset for offset, _ in read_after.calls][:3] == [7, 8, 8]


def test_dropped_records_bring_the_whole_list_again():
    """The store forgets its history while a daemon is cut off from it.

    What was removed meanwhile has no record any more that would say so.
    """
    read_all = fakes.Answers(topicreader.Listing(records=(), end=7))
    read_after = fakes.Answers(
        Failure(topicreader.RecordsDropped()),
        topicreader.Batch(records=(), end=7),
    )
    _, reactor, _, whole, _ = make(read_all, read_after)
    reactor.pump([0.5] * 4)
    assert len(whole) == 2


def test_store_away_is_told_once_and_tried_again():
    away = Failure(topicreader.StoreAway(reason="timeout"))
    read_all = fakes.Answers(
        away, away, away, topicreader.Listing(records=(), end=0)
    )
    read_after = fakes.Answers(topicreader.Batch(records=(), end=0))
    made, reactor, lines, _, _ = make(read_all, read_after)
    reactor.pump([0.1] * 5)
    assert not made.known
    assert lines.count("dependency_lost") == 1
    reactor.pump([0.1] * 10)
    assert made.known
    assert lines.count("dependency_regained") == 1
    assert made.regained_at is not None


def test_read_that_ends_as_cancelled_is_not_the_silent_end():
    """A read fails as if it had been cancelled, and nobody did.

    The follower ended, and its gateway served for ever by what it knew.
    """

    async def read_all():
        raise defer.CancelledError()

    made, _, _, _, _ = make(read_all, None)
    assert len(made.broken) == 1


def test_stopped_follower_is_not_broken():
    waiting = defer.Deferred()

    async def read_all():
        await waiting

    made, _, _, _, _ = make(read_all, None)
    fakes.run(made.stop())
    assert made.broken == []
