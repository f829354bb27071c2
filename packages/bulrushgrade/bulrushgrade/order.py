"""Orders from the holder of a lease to its engines.

`OrderTracker` processes a control stream for its candidate's `lease.Lease` and
for the orders on it. It tells its owner which records to append and which
orders to write. An order is written only while the lease is valid, after its
intent was read back, and until the engine reports that it has completed it.
"""

from collections.abc import Callable
import math

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade import engineorder
from bulrushgrade import errors
from bulrushgrade import lease
from bulrushgrade import orderlog
from bulrushgrade import position
from bulrushgrade import record


@attrs.frozen(kw_only=True)
class OrderTimes:
    """Timing parameters of orders, in seconds.

    Attributes:
        pause_allowance_s: Additional delay before a new holder's first order
            to an engine that does not check fencing tokens, and before the
            next order to it after an answer was lost. It must exceed the
            engine's read timeout plus the longest time that a segment is in
            flight, so that a late write of a paused process reaches a closed
            connection.
        resend_s: Interval between two writes of one order.
        change_limit_s: Time allowed for an engine to carry out an order that
            it accepted. It is written again only after that, or once the
            engine is down: an engine with a late report would change twice.
        retry_s: Interval between two appends of one record.
        refresh_s: Age at which the intent of an unfinished order is appended
            again. It must be far below the log's retention, so that every
            new reader finds the intent.
    """

    pause_allowance_s: float = 30.0
    resend_s: float = 2.0
    change_limit_s: float = 30.0
    retry_s: float = 0.5
    refresh_s: float = 600.0


@attrs.define(kw_only=True)
class _Engine:
    """What this process knows about an engine.

    Attributes:
        fencing: Whether the engine rejects orders with old fencing tokens.
        seen: The engine's last report.
        seen_at: When that report was received.
        open_writes: The number of writes that have not ended yet.
        write_after: The earliest time of the next write.
        lost_at: When a write last ended without an answer.
        append: An intent or outcome that has not been read back yet.
        append_term: The term in which that record was made.
        append_at: When it was last returned to the owner.
        intent_at: When a record of this process was last read back.
    """

    fencing: bool
    seen: engineorder.EngineReport | None = None
    seen_at: float = 0.0
    open_writes: int = 0
    write_after: float = -math.inf
    lost_at: float = -math.inf
    append: record.Append | None = None
    append_term: int | None = None
    append_at: float = 0.0
    intent_at: float = 0.0


class OrderTracker:
    """The orders of one group of engines, as seen by one candidate."""

    def __init__(
        self,
        *,
        authority: lease.Lease,
        times: OrderTimes,
        new_id: Callable[[], str],
    ):
        """Creates a tracker without engines.

        Args:
            authority: The candidate's lease. The tracker passes on to it what
                it reads from the stream.
            times: The timing parameters.
            new_id: Returns a unique id for a record or an order.
        """
        self._lease = authority
        self._times = times
        self._new_id = new_id
        self._position = position.Position()
        self._fold = orderlog.OrderFold()
        self._engines: dict[str, _Engine] = {}
        self._append_engine: dict[str, str] = {}
        self._held_term: int | None = None
        self._held_since = 0.0

    @property
    def authority(self) -> lease.Lease:
        """The candidate's lease."""
        return self._lease

    @property
    def fold(self) -> orderlog.OrderFold:
        """The state derived from the records, the same for all readers."""
        return self._fold

    @property
    def next_offset(self) -> int:
        """The offset to read next."""
        return self._position.next_offset

    def set_engine(self, engine: str, *, fencing: bool) -> None:
        """Adds an engine or changes whether it checks fencing tokens."""
        state = self._engines.setdefault(engine, _Engine(fencing=fencing))
        state.fencing = fencing

    def remove_engine(self, engine: str) -> None:
        """Removes an engine that has left the fleet."""
        state = self._engines.pop(engine, None)
        if state is not None and state.append is not None:
            del self._append_engine[state.append.record_id]

    def observe(
        self, engine: str, seen: engineorder.EngineReport, now: float
    ) -> None:
        """Processes an engine's report of its own state."""
        state = self._engines.get(engine)
        if state is None:
            return
        state.seen, state.seen_at = seen, now
        if seen.state == "down":
            state.write_after = min(
                state.write_after, now + self._times.resend_s
            )

    def apply_page(self, page: record.Page, now: float) -> None:
        """Processes a page of the control stream, also for the lease."""
        if self._position.open_page(page):
            self._fold.skip_to(self._position.origin)
        for item in page.records:
            self.apply(item, now)
        self._position.close_page(page)
        self._lease.apply_page(attrs.evolve(page, records=()), now)

    def apply(self, item: record.Record, now: float) -> None:
        """Processes a record of the control stream, also for the lease."""
        arrival = self._position.advance(item.offset)
        if arrival is position.Arrival.REPEATED:
            return
        if arrival is position.Arrival.GAP:
            self._fold.skip_to(self._position.origin)
        self._lease.apply(item, now)
        if self._lease.term != self._held_term:
            self._held_term, self._held_since = self._lease.term, now
        self._fold.apply(item, self._lease.fold.term)
        state = self._engines.get(self._append_engine.pop(item.record_id, ""))
        if state is not None:
            state.append, state.intent_at = None, now

    def placeable(self, engine: str) -> bool:
        """Returns whether requests may be placed on an engine.

        An engine that crashed during a change may be in either state or
        neither. It gets no requests until it is serving and its order ended.
        """
        state = self._engines.get(engine)
        return (
            state is not None
            and state.seen is not None
            and state.seen.state == "serving"
            and engine not in self._fold.unfinished
            and state.append is None
        )

    def draining_without_order(self) -> tuple[str, ...]:
        """Returns engines that are draining without an unfinished order.

        A holder that loses its lease between the drain request and the order
        leaves an engine like this. An order for its current role and model
        puts it back into service. The owner must exclude engines that the
        platform is draining.
        """
        return tuple(
            name
            for name, state in self._engines.items()
            if state.seen is not None
            and state.seen.state == "draining"
            and state.append is None
            and name not in self._fold.unfinished
        )

    def propose(
        self, engine: str, wanted: orderlog.Wanted, now: float
    ) -> Result[record.Append, errors.OrderRefused]:
        """Creates the intent of a new order.

        Returns:
            The intent to append, which `due` repeats until it is read back,
            or why no order can be made now.
        """
        state = self._engines.get(engine)
        if state is None:
            return Failure(errors.OrderRefused(reason="unknown engine"))
        if not self._lease.holds_lease(now):
            return Failure(errors.OrderRefused(reason="not the holder"))
        if engine in self._fold.unfinished or state.append is not None:
            return Failure(errors.OrderRefused(reason="order unfinished"))
        if not state.fencing and now < self._safe_write_time():
            return Failure(errors.OrderRefused(reason="last holder may write"))
        if not self._has_fresh_report(state):
            return Failure(errors.OrderRefused(reason="engine not seen"))
        # The delay before a rewrite of the last order doesn't apply here.
        state.write_after = -math.inf
        order_id = self._new_id()
        return Success(self._add_intent(engine, order_id, wanted, now))

    def due(self, now: float) -> tuple[record.Append, ...]:
        """Returns the records to append; call it at each tick."""
        found = []
        for name, state in self._engines.items():
            append = self._find_due_append(name, state, now)
            if append is not None:
                found.append(append)
        return tuple(found)

    def append_failed(self, record_id: str) -> None:
        """Records that an append is known not to have taken effect."""
        state = self._engines.get(self._append_engine.pop(record_id, ""))
        if state is not None:
            state.append = None

    def sendable(self, now: float) -> tuple[engineorder.Order, ...]:
        """Returns the orders to write now.

        The owner first opens a connection for each order, then calls
        `may_send` again in the event-loop turn in which it writes.
        """
        orders = (
            engineorder.Order(
                engine=name,
                order_id=order.order_id,
                number=order.number,
                wanted=order.wanted,
            )
            for name, order in self._fold.unfinished.items()
        )
        return tuple(o for o in orders if self.may_send(o, now))

    def may_send(self, order: engineorder.Order, now: float) -> bool:
        """Returns whether an order may be written in this event-loop turn."""
        state = self._engines.get(order.engine)
        current = self._fold.unfinished.get(order.engine)
        if state is None or current is None or not self._lease.holds_lease(now):
            return False
        if current.number != order.number or current.term != self._lease.term:
            return False
        if self._is_done(state, current):
            return False
        if state.open_writes or now < state.write_after:
            return False
        return state.fencing or now >= self._safe_write_time()

    def sent(self, order: engineorder.Order, now: float) -> None:
        """Records that an order's first byte is written in this turn.

        Each call must be followed by a call of `answered`, at the latest when
        the owner gives up and closes the connection.
        """
        state = self._engines.get(order.engine)
        if state is not None:
            state.open_writes += 1
            state.write_after = now + self._times.resend_s

    def answered(
        self, order: engineorder.Order, reply: engineorder.Reply, now: float
    ) -> None:
        """Records how the write of an order ended."""
        state = self._engines.get(order.engine)
        if state is None:
            return
        state.open_writes = max(0, state.open_writes - 1)
        if reply is engineorder.Reply.LOST:
            state.lost_at = now
        elif reply is engineorder.Reply.ACCEPTED:
            state.write_after = now + self._times.change_limit_s

    def _has_fresh_report(self, state: _Engine) -> bool:
        return (
            state.seen is not None
            and state.seen.state in ("serving", "draining")
            and state.seen_at >= self._held_since
        )

    def _is_done(self, state: _Engine, order: orderlog.Unfinished) -> bool:
        seen = state.seen
        if seen is None or seen.state != "serving":
            return False
        if seen.order_id != order.order_id:
            return False
        # The engine may have carried out the last holder's order. It rejects
        # late writes of that holder only after it has received a fencing
        # token of this term, so the order is written again first.
        return not state.fencing or seen.number > order.term

    def _safe_write_time(self) -> float:
        # The last holder may have been paused between its check and its write.
        # Without fencing, waiting until it can't arrive is the only protection.
        return self._held_since + self._times.pause_allowance_s

    def _find_due_append(
        self, name: str, state: _Engine, now: float
    ) -> record.Append | None:
        if state.append is not None:
            if state.append_term != self._lease.term:
                # The record belongs to a lost term. It has no effect after
                # the next claim, and has been read already if it precedes it.
                self.append_failed(state.append.record_id)
            elif now >= state.append_at + self._times.retry_s:
                state.append_at = now
                return state.append
            return None
        order = self._fold.unfinished.get(name)
        if order is None or not self._lease.holds_lease(now):
            return None
        if order.term != self._lease.term or (
            now >= state.intent_at + self._times.refresh_s
        ):
            return self._add_intent(name, order.order_id, order.wanted, now)
        if self._is_done(state, order) and self._is_settled(state, now):
            return self._add_outcome(
                name, order.order_id, state.seen.current, now
            )
        return None

    def _is_settled(self, state: _Engine, now: float) -> bool:
        # A write whose answer was lost may still be in flight. It would take
        # effect after the next order unless the engine checks fencing tokens.
        if state.open_writes:
            return False
        if state.fencing:
            return True
        lost_until = state.lost_at + self._times.pause_allowance_s
        return now >= max(lost_until, self._safe_write_time())

    def _add_intent(
        self,
        engine: str,
        order_id: str,
        wanted: orderlog.Wanted,
        now: float,
    ) -> record.Append:
        message = orderlog.Intent(
            engine=engine,
            order_id=order_id,
            wanted=wanted,
            term=self._lease.term,
            after_offset=self._position.next_offset - 1,
        )
        return self._track_append(engine, message, now)

    def _add_outcome(
        self, engine: str, order_id: str, seen: orderlog.Wanted, now: float
    ) -> record.Append:
        message = orderlog.Outcome(
            engine=engine,
            order_id=order_id,
            seen=seen,
            term=self._lease.term,
        )
        return self._track_append(engine, message, now)

    def _track_append(
        self,
        engine: str,
        message: orderlog.Intent | orderlog.Outcome,
        now: float,
    ) -> record.Append:
        state = self._engines[engine]
        state.append = record.Append(
            stream=self._lease.stream,
            record_id=self._new_id(),
            body=orderlog.CODEC.serialize(message),
        )
        state.append_term, state.append_at = message.term, now
        self._append_engine[state.append.record_id] = engine
        return state.append
