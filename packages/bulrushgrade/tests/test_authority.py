"""State-machine tests of leases and orders over a faulty log.

Each process has a clock with its own rate, reads late, loses answers, is
paused and killed. Appends fail, are delayed or are duplicated, and records are
trimmed. The test checks invariants against the simulated time and a log that
is never trimmed.
"""

import itertools

from hypothesis import stateful
from hypothesis import strategies as st

from bulrushgrade import fakeengine
from bulrushgrade import fakeholder
from bulrushgrade import fakelog
from bulrushgrade import lease
from bulrushgrade import leaselog
from bulrushgrade import order
from bulrushgrade import orderlog

# Almost no stagger, so that only the guard prevents two holders at once.
LEASE_TIMES = lease.LeaseTimes(stagger_s=0.01)
# Short times, so that a run exceeds all of them. The pause allowance exceeds
# the engines' read timeout by the difference between the clocks' rates.
ORDER_TIMES = order.OrderTimes(
    pause_allowance_s=12.0, change_limit_s=6.0, refresh_s=10.0
)
READ_TIMEOUT_S = 11.0
RETENTION_S = 40.0
# Just below the largest rate difference that the guard has to cover.
RATE_ERROR = LEASE_TIMES.guard_s / LEASE_TIMES.ttl_s - 0.001
ROLES = [
    orderlog.Wanted(role=role, model="m", version="1")
    for role in ("mixed", "prefill", "decode")
]
NAMES = st.sampled_from(["checks", "ignores"])
DELIVERIES = st.sampled_from(
    [fakelog.Delivery.STORED] * 2 + list(fakelog.Delivery)
)
STORED = fakelog.Delivery.STORED
WHICH = st.integers(0, 2)
RATES = st.sampled_from([1 - RATE_ERROR, 1.0, 1 + RATE_ERROR])


class ReferenceLog(fakelog.FaultyLog):
    """A log that folds every stored record, including trimmed ones."""

    def __init__(self):
        super().__init__()
        self.leases = leaselog.LeaseFold()
        self.orders = orderlog.OrderFold()
        self.terms = [None]

    def append(self, append):
        item = super().append(append)
        self.leases.apply(item)
        self.orders.apply(item, self.leases.term)
        self.terms.append(self.leases.term)
        return item


class AuthorityMachine(stateful.RuleBasedStateMachine):
    """Leases: at most one valid holder, and no reader has a wrong term."""

    @stateful.initialize(rates=st.tuples(RATES, RATES, RATES))
    def start(self, rates):
        self.now = 0.0
        self.serial = itertools.count()
        self.log = ReferenceLog()
        self.engines = [
            fakeengine.FakeEngine(
                name=name,
                fencing=name == "checks",
                initial=ROLES[0],
                change_s=1.0,
                read_timeout_s=READ_TIMEOUT_S,
                on_change=lambda order, busy: self.check_order(order, busy),
            )
            for name in ("checks", "ignores")
        ]
        self.paused = set()
        self.holders = [self.new_holder(*item) for item in enumerate(rates)]

    def new_holder(self, rank, rate):
        return fakeholder.FakeHolder(
            name=f"p{next(self.serial)}",
            log=self.log,
            rank=rank,
            engines=self.engines,
            lease_times=LEASE_TIMES,
            order_times=ORDER_TIMES,
            rate=rate,
            started_at=self.now - 7.0 * rank,
        )

    @property
    def unpaused(self):
        return [h for h in self.holders if h not in self.paused]

    @property
    def current_holders(self):
        return [h for h in self.holders if h.holds_lease(self.now)]

    def step_all(self, step_s, *, but=()):
        self.now += step_s
        for holder in self.unpaused:
            if holder not in but:
                holder.step(self.now)
                holder.write(self.now)
                self.check_one_holder()

    @stateful.rule(
        step_s=st.sampled_from([0.1, 0.5, 1.0, 2.0, 5.0, 6.1, 9.0, 31.0])
    )
    def advance_time(self, step_s):
        self.now += step_s

    @stateful.rule(turns=st.integers(1, 20))
    def run_without_faults(self, turns):
        for _ in range(turns):
            self.step_all(0.5)

    @stateful.rule(still_reads=st.booleans())
    def holder_is_cut_off(self, still_reads=False):
        self.now += LEASE_TIMES.renew_every_s
        cut_off = [
            holder for holder in self.current_holders if holder in self.unpaused
        ]
        for holder in cut_off:
            holder.step(self.now, limit=0)
        for step_s in [0.1, 5.8] + [0.1] * 8:
            self.step_all(step_s, but=cut_off)
            for holder in cut_off if still_reads else ():
                holder.read(self.now)
                self.check_one_holder()

    @stateful.rule(
        which=WHICH,
        delivery=DELIVERIES,
        lag_s=st.sampled_from([0.0, 1.0, 3.0]),
        limit=st.sampled_from([0, 1, 2, 500]),
    )
    def step_one(self, which, delivery, lag_s, limit):
        if self.holders[which] in self.unpaused:
            self.holders[which].step(
                self.now, delivery=delivery, lag_s=lag_s, limit=limit
            )

    @stateful.rule(deliveries=st.tuples(DELIVERIES, DELIVERIES, DELIVERIES))
    def race(self, deliveries):
        for which, delivery in enumerate(deliveries):
            self.step_one(which, delivery, 0.0, 0)

    @stateful.rule(which=WHICH)
    def pause(self, which):
        self.paused.add(self.holders[which])

    @stateful.rule(which=WHICH)
    def wake(self, which):
        self.paused.discard(self.holders[which])
        self.holders[which].finish_write(self.now)

    @stateful.rule(which=WHICH, rate=RATES)
    def kill_and_replace(self, which, rate):
        self.paused.discard(self.holders[which])
        self.holders[which] = self.new_holder(which, rate)

    @stateful.rule(which=WHICH, rate=RATES, delivery=DELIVERIES)
    def stop_and_replace(self, which, rate, delivery):
        holder = self.holders[which]
        if holder in self.unpaused:
            release = holder.lease.retire(holder.clock(self.now))
            if release is not None:
                holder.append(release, delivery, self.now)
            self.kill_and_replace(which, rate)

    @stateful.precondition(lambda self: self.log.in_flight)
    @stateful.rule()
    def delayed_append_is_stored(self):
        self.log.store_next(self.now)

    @stateful.rule(keep=st.integers(0, 3))
    def trim(self, keep):
        self.log.trim("control.g", len(self.log.terms) - 1 - keep)

    def check_order(self, order, busy):
        due = self.log.orders.unfinished.get(order.engine)
        assert due and due.order_id == order.order_id, "late order"
        assert not busy, "two orders at once"

    @stateful.invariant()
    def check_one_holder(self):
        assert len(self.current_holders) <= 1, "two acting holders"
        for holder in self.current_holders:
            assert holder.lease.term == self.log.leases.term

    @stateful.invariant()
    def check_terms(self):
        for holder in self.holders:
            if holder.lease.fold.is_term_known:
                known = self.log.terms[holder.lease.next_offset]
                assert holder.lease.fold.term == known, "a wrong term"

    def teardown(self):
        if hasattr(self, "log"):
            for which in range(3):
                self.wake(which)
            self.run_without_faults(60)
            assert len(self.current_holders) == 1, "no holder"


class OrderMachine(AuthorityMachine):
    """Orders: engines accept only the order that is unfinished on the log.

    Records are trimmed by age. An unfinished order is appended again well
    within the retention period, so it is trimmed only if there was no holder
    for all of that time. New readers then rely on the engine's report.
    """

    @stateful.initialize(rates=st.tuples(RATES, RATES, RATES))
    def start(self, rates):
        self.trimmed_ids = set()
        super().start(rates)
        self.run_without_faults(30)

    @stateful.rule(
        name=NAMES,
        role=st.sampled_from(ROLES),
        delivery=DELIVERIES,
        write_fault=st.sampled_from(["well", "answer lost", "pause", "pause"]),
    )
    def holder_orders(self, name, role, delivery, write_fault):
        for holder in self.current_holders:
            if holder not in self.unpaused:
                continue
            holder.propose(name, role, self.now, delivery=delivery)
            if write_fault != "pause":
                holder.write(self.now, lose_answer=write_fault == "answer lost")
            elif holder.begin_write(self.now):
                self.paused.add(holder)

    @stateful.rule(which=WHICH)
    def write_without_reading(self, which):
        if self.holders[which] in self.unpaused:
            self.holders[which].write(self.now)

    @stateful.rule(
        name=NAMES,
        roles=st.permutations(ROLES),
        write_fault=st.sampled_from(["answer lost", "pause"]),
        turns=st.sampled_from([1, 4, 40]),
        wakes=st.booleans(),
    )
    def holder_changes_in_a_write(self, name, roles, write_fault, turns, wakes):
        old = [
            which
            for which in range(3)
            if self.holders[which].holds_lease(self.now)
        ]
        self.holder_orders(name, roles[0], STORED, write_fault)
        self.holder_is_cut_off()
        self.run_without_faults(turns)
        self.holder_orders(name, roles[1], STORED, "well")
        for which in old if wakes else ():
            self.wake(which)
            self.write_without_reading(which)

    @stateful.rule(engine=st.integers(0, 1))
    def crash(self, engine):
        self.engines[engine].crash(self.now)

    @stateful.rule(keep=st.just(0))
    def trim(self, keep):
        self.log.trim_older("control.g", self.now - RETENTION_S)
        earliest = self.log.read("control.g", 0, limit=0).earliest_offset
        for due in self.log.orders.unfinished.values():
            if due.number < earliest:
                self.trimmed_ids.add(due.order_id)

    def teardown(self):
        if hasattr(self, "log"):
            for _ in range(5):
                super().teardown()
            left = {x.order_id for x in self.log.orders.unfinished.values()}
            assert left <= self.trimmed_ids, "an order never ends"


TestAuthorityMachine = AuthorityMachine.TestCase
TestOrderMachine = OrderMachine.TestCase
