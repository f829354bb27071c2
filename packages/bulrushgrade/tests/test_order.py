"""Tests of what a holder may order, and when."""

import itertools

from returns.result import Failure

from bulrushgrade import engineorder
from bulrushgrade import errors
from bulrushgrade import lease
from bulrushgrade import modellog
from bulrushgrade import order
from bulrushgrade import orderlog

MIXED = orderlog.Wanted(role="mixed", model="m", version="1")
PREFILL = orderlog.Wanted(role="prefill", model="m", version="1")
TIMES = order.OrderTimes()
LEASE_S = 5.5


class Holder:
    """A candidate with a book of one engine, and its daemon's calls."""

    def __init__(self, *, log, name, fencing=True):
        ids = itertools.count()
        authority = lease.Lease(
            group="g",
            holder=name,
            rank=0,
            times=lease.LeaseTimes(),
            new_id=lambda: f"{name}-l{next(ids)}",
        )
        self.log = log
        self.number = -1
        self.book = order.OrderBook(
            authority=authority,
            times=TIMES,
            new_id=lambda: f"{name}-{next(ids)}",
        )
        self.book.set_engine("e", fencing=fencing)

    def turn(self, now, *, seen="", state="serving", what=MIXED):
        self._read(now)
        report = engineorder.Seen(
            state=state, now=what, order_id=seen, number=self.number
        )
        self.book.observe("e", report, now)
        for append in (*self.book.authority.tick(now), *self.book.due(now)):
            self.log.append(append)
        self._read(now)

    def _read(self, now):
        page = self.log.read("control.g", self.book.next_offset)
        self.book.apply_page(page, now)

    def propose(self, now):
        self.log.append(self.book.propose("e", PREFILL, now).unwrap())
        self._read(now)

    def write(self, now, reply=engineorder.Reply.ACCEPTED):
        (found,) = self.book.sendable(now)
        self.book.sent(found, now)
        self.number = found.number
        self.book.answered(found, reply, now)
        return found


def _holder(**settings):
    holder = Holder(log=modellog.ModelLog(), name="a", **settings)
    holder.turn(0.0)
    holder.turn(0.0)
    return holder


def test_no_byte_goes_out_before_the_intent_is_read_back():
    a = _holder()
    intent = a.book.propose("e", PREFILL, 0.0).unwrap()
    assert a.book.sendable(0.0) == ()
    a.log.append(intent)
    a.turn(0.0)
    (found,) = a.book.sendable(0.0)
    assert (found.wanted, found.number) == (PREFILL, 1)


def test_one_order_at_a_time_until_its_engine_is_seen_through():
    a = _holder()
    a.propose(0.0)
    found = a.write(0.0)
    unfinished = errors.OrderRefused(reason="order unfinished")
    assert a.book.propose("e", MIXED, 0.0) == Failure(unfinished)
    assert a.book.sendable(3.0) == ()
    a.turn(3.0, state="changing", seen=found.order_id)
    assert not a.book.placeable("e")
    assert "e" in a.book.fold.unfinished
    a.turn(4.0, seen=found.order_id, what=PREFILL)
    assert a.book.placeable("e")
    assert a.book.propose("e", MIXED, 4.0).unwrap()


def test_engine_that_crashed_gets_its_order_again():
    # The engine takes the order, crashes halfway and comes back as it was.
    # Left alone it would stay out of placement for good.
    a = _holder()
    a.propose(0.0)
    a.write(0.0)
    a.turn(2.0, state="down")
    a.turn(4.0)
    assert not a.book.placeable("e")
    assert a.write(4.0).wanted == PREFILL


def test_new_holder_adopts_the_unfinished_order():
    # A dies between its intent and its order. B takes over; the engine may
    # still get A's order, so B sends the same one, and only then another.
    a = _holder()
    a.propose(0.0)
    b = Holder(log=a.log, name="b")
    for now in (1.0, 8.0, 8.1):
        b.turn(now)
    found = b.write(8.1)
    assert (found.wanted, found.number) == (PREFILL, 3)
    assert found.order_id == a.book.fold.unfinished["e"].order_id
    assert not a.book.sendable(8.1)


def test_lapsed_holder_sends_nothing():
    a = _holder()
    a.propose(0.0)
    (found,) = a.book.sendable(LEASE_S - 0.1)
    assert not a.book.may_send(found, LEASE_S)


def test_new_holder_waits_where_numbers_are_ignored():
    a = _holder(fencing=False)
    waits = errors.OrderRefused(reason="last holder may write")
    for now in range(0, 30, 2):
        a.turn(float(now))
        assert a.book.propose("e", PREFILL, float(now)) == Failure(waits)
    a.turn(30.0)
    a.propose(30.0)
    assert a.write(30.0)


def test_adopted_order_is_sent_though_the_engine_is_through_with_it():
    # A's order was carried out, A died before its outcome. Until the engine
    # has taken B's number, it would take more of what A had under way.
    a = _holder()
    a.propose(0.0)
    old = a.write(0.0)
    b = Holder(log=a.log, name="b")
    b.number = old.number
    for now in (1.0, 8.0, 8.1):
        b.turn(now, seen=old.order_id, what=PREFILL)
    assert not b.book.placeable("e")
    b.write(8.1)
    b.turn(8.2, seen=old.order_id, what=PREFILL)
    assert b.book.placeable("e")


def test_lost_write_delays_the_outcome_where_numbers_are_ignored():
    a = _holder(fencing=False)
    for now in range(0, 31, 2):
        a.turn(float(now))
    a.propose(30.0)
    found = a.write(30.0, engineorder.Reply.LOST)
    for now in range(32, 60, 2):
        a.turn(float(now), seen=found.order_id, what=PREFILL)
    assert not a.book.placeable("e")
    a.turn(60.0, seen=found.order_id, what=PREFILL)
    assert a.book.placeable("e")


def test_intent_under_way_is_repeated_then_refreshed():
    a = _holder()
    intent = a.book.propose("e", PREFILL, 0.0).unwrap()
    assert a.book.due(0.4) == ()
    assert a.book.due(0.5) == (intent,)
    a.log.append(intent)
    for now in range(1, 604, 2):
        a.turn(float(now))
    assert a.book.fold.unfinished["e"].number > 300


def test_engine_must_be_seen_before_an_order():
    a = Holder(log=modellog.ModelLog(), name="a")
    refused = a.book.propose("e", PREFILL, 0.0)
    assert refused == Failure(errors.OrderRefused(reason="not the holder"))
    a.turn(0.0, state="changing")
    refused = a.book.propose("e", PREFILL, 0.0)
    assert refused == Failure(errors.OrderRefused(reason="engine not seen"))
