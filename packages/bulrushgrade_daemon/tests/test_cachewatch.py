"""Tests of following engines' caches."""

import fakes
from returns.result import Failure
from test_directory import make as make_registration

from bulrushgrade import directory
from bulrushgrade import enginecache
from bulrushgrade_daemon import cachewatch
from bulrushgrade_daemon import outbound

ENGINE = make_registration("p1", stage=directory.Stage.PREFILL)
KEPT = enginecache.CacheChange(part="a", tokens=5000)


def found(epoch="1", end=3, lost=False, changes=(KEPT,)):
    return cachewatch.CacheChanges(
        epoch=epoch, end=end, lost=lost, changes=changes
    )


class Room:
    """Whether engines limit their requests, and have room for a read."""

    def __init__(self):
        self.is_limited = False
        self.has_room = True

    async def may_read(self, engine):
        return self.has_room


def make(*answers, room=None):
    room = room or Room()
    reactor, timers, broken = fakes.make_timers()
    read = fakes.Answers(*answers)
    applied = []

    def apply(engine, changes, *, reset):
        applied.append((engine.id, changes, reset))

    engines = [ENGINE]
    watch = cachewatch.CacheWatch(
        timers=timers,
        engines=lambda: engines,
        read=read,
        open_client=None,
        apply=apply,
        needs_permit=lambda engine: room.is_limited,
        may_read=room.may_read,
        guard=lambda engine: None,
        on_broken=broken.append,
    )
    fakes.run(watch.start())
    return reactor, read, applied, engines


def test_changes_are_read_from_where_the_last_ended():
    reactor, read, applied, _ = make(found(end=3), found(end=9, changes=()))
    reactor.pump([0.25] * 6)
    assert [since for _, since, *_ in read.calls][:2] == [0, 3]
    assert applied[0] == ("p1", (KEPT,), False)


def test_gap_resets_the_known_cache():
    reactor, _, applied, _ = make(found(), found(end=90, lost=True))
    reactor.pump([0.25] * 6)
    assert [reset for _, _, reset in applied[:2]] == [False, True]


def test_first_read_keeps_what_another_daemon_advertised():
    """The daemon that followed an engine dies, and this one takes over.

    The engine dropped its oldest changes long ago, but this daemon knows them
    from the other one.
    """
    reactor, _, applied, _ = make(found(lost=True))
    reactor.pump([0.25] * 2)
    assert applied[0][2] is False


def test_restarted_engine_is_read_from_the_start():
    reactor, read, applied, _ = make(found(), found(epoch="2", end=1))
    reactor.pump([0.25] * 8)
    assert ("p1", (), True) in applied
    assert [since for _, since, *_ in read.calls][:3] == [0, 3, 0]


def test_unresponsive_engine_is_read_less_often():
    failure = Failure(outbound.CallFailed(written=True, reason="timeout"))
    reactor, read, _, _ = make(failure)
    reactor.pump([0.25] * 16)
    assert len(read.calls) <= 3


def test_removed_engine_is_not_read():
    reactor, read, _, engines = make(found())
    reactor.pump([0.25] * 2)
    engines.clear()
    asked = len(read.calls)
    reactor.pump([0.25] * 8)
    assert len(read.calls) == asked


def test_limited_engine_is_read_seldom_and_only_if_it_has_room():
    """Guards against reads that take up what an engine accepts."""
    room = Room()
    reactor, read, _, _ = make(found(), room=room)
    reactor.pump([0.25] * 40)
    assert len(read.calls) >= 15
    room.is_limited = True
    before = len(read.calls)
    reactor.pump([0.25] * 40)
    assert 3 <= len(read.calls) - before <= 6
    room.has_room = False
    reactor.pump([0.25] * 10)
    before = len(read.calls)
    reactor.pump([0.25] * 40)
    assert len(read.calls) == before
