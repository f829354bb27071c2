"""A simulated lease holder for tests of programs that embed the library.

`FakeHolder` makes the calls that the owner of a `lease.Lease` and an
`order.OrderTracker` must make, in the required order, against a fake log and
fake engines. Its clock can run at a different rate than the simulated time.
"""

from collections.abc import Iterable
import itertools

import attrs

from bulrushgrade import engineorder
from bulrushgrade import fakeengine
from bulrushgrade import fakelog
from bulrushgrade import lease
from bulrushgrade import order
from bulrushgrade import orderlog
from bulrushgrade import record


@attrs.frozen(kw_only=True)
class _Write:
    order: engineorder.Order
    opened_at: float


class FakeHolder:
    """One candidate for the lease of group ``g``, with its engines."""

    def __init__(
        self,
        *,
        name: str,
        log: fakelog.FaultyLog,
        rank: int = 0,
        engines: Iterable[fakeengine.FakeEngine] = (),
        lease_times: lease.LeaseTimes | None = None,
        order_times: order.OrderTimes | None = None,
        rate: float = 1.0,
        started_at: float = 0.0,
    ):
        """Creates a candidate that has read nothing.

        Args:
            name: The candidate's name, unique to each run.
            log: The log, which is given the simulated time.
            rank: The candidate's position among the candidates.
            engines: The group's engines.
            lease_times: The lease's timing, if not the default.
            order_times: The orders' timing, if not the default.
            rate: Seconds that its clock advances per simulated second.
            started_at: The simulated time at which its clock shows 0.
        """
        serial = itertools.count()
        self._log, self._rate, self._started_at = log, rate, started_at
        self._engines = {engine.name: engine for engine in engines}
        self._write: _Write | None = None
        self.lease = lease.Lease(
            group="g",
            holder=name,
            rank=rank,
            times=lease_times or lease.LeaseTimes(),
            new_id=lambda: f"{name}-{next(serial)}",
        )
        self.order_tracker = order.OrderTracker(
            authority=self.lease,
            times=order_times or order.OrderTimes(),
            new_id=lambda: f"{name}-{next(serial)}",
        )
        for engine in self._engines.values():
            self.order_tracker.set_engine(engine.name, fencing=engine.fencing)

    def clock(self, now: float) -> float:
        """Returns the local clock's reading at a simulated time."""
        return self._rate * (now - self._started_at)

    def holds_lease(self, now: float) -> bool:
        """Returns whether it holds a valid lease by its own clock."""
        return self.lease.holds_lease(self.clock(now))

    def read(self, now: float, *, limit: int = 500) -> None:
        """Reads the next page of the control stream."""
        page = self._log.read(
            self.lease.stream, self.order_tracker.next_offset, limit=limit
        )
        self.order_tracker.apply_page(page, self.clock(now))

    def step(
        self,
        now: float,
        *,
        delivery: fakelog.Delivery = fakelog.Delivery.STORED,
        lag_s: float = 0.0,
        limit: int = 500,
    ) -> None:
        """Reads, polls its engines, appends what is due and reads again."""
        self.read(now, limit=limit)
        clock = self.clock(now)
        for engine in self._engines.values():
            report = engine.report(now, lag_s=lag_s)
            self.order_tracker.observe(engine.name, report, clock)
        for append in (*self.lease.tick(clock), *self.order_tracker.due(clock)):
            self.append(append, delivery, now)
        self.read(now, limit=limit)

    def propose(
        self,
        engine: str,
        wanted: orderlog.Wanted,
        now: float,
        *,
        delivery: fakelog.Delivery = fakelog.Delivery.STORED,
    ) -> bool:
        """Appends an intent; returns whether one could be made."""
        proposed = self.order_tracker.propose(engine, wanted, self.clock(now))
        proposed.map(lambda append: self.append(append, delivery, now))
        self.read(now)
        return proposed.value_or(None) is not None

    def append(
        self, append: record.Append, delivery: fakelog.Delivery, now: float
    ) -> None:
        """Appends a record and reports a failure to its creator."""
        if self._log.deliver(append, delivery, now):
            self.lease.append_failed(append.record_id)
            self.order_tracker.append_failed(append.record_id)

    def begin_write(self, now: float) -> engineorder.Order | None:
        """Opens the write of an order, if one may be written."""
        found = self.order_tracker.sendable(self.clock(now))
        if not found or self._write is not None:
            return None
        self.order_tracker.sent(found[0], self.clock(now))
        self._write = _Write(order=found[0], opened_at=now)
        return found[0]

    def finish_write(self, now: float, *, lose_answer: bool = False) -> None:
        """Completes the write begun by `begin_write`, at any later time."""
        if self._write is None:
            return
        write, self._write = self._write, None
        reply = self._engines[write.order.engine].receive(
            write.order, opened_at=write.opened_at, now=now
        )
        if lose_answer:
            reply = engineorder.Reply.LOST
        self.order_tracker.answered(write.order, reply, self.clock(now))

    def write(
        self, now: float, *, lose_answer: bool = False
    ) -> engineorder.Order | None:
        """Begins and finishes the write of one order, if there is one."""
        begun = self.begin_write(now)
        if begun is not None:
            self.finish_write(now, lose_answer=lose_answer)
        return begun
