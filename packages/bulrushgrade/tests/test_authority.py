"""State machines of leases and orders over a log with faults.

Every process has a clock of its own rate, reads late, loses answers, is
paused and killed; appends fail, land late or twice; records are trimmed. The
model knows the true time and the untrimmed log, and judges by these.
"""

import itertools

import attrs
from hypothesis import stateful
from hypothesis import strategies as st

from bulrushgrade import engineorder
from bulrushgrade import lease
from bulrushgrade import leaselog
from bulrushgrade import modellog
from bulrushgrade import order
from bulrushgrade import orderlog
from bulrushgrade import record

# Next to no stagger, so that the guard alone keeps two holders apart.
LEASE_TIMES = lease.LeaseTimes(stagger_s=0.01)
ORDER_TIMES = order.OrderTimes(refresh_s=10.0)
RETENTION_S = 40.0
# The largest difference that the guard has to cover, less a hair.
RATE_ERROR = LEASE_TIMES.guard_s / LEASE_TIMES.ttl_s - 0.001
CHANGE_S = 4.0
READ_TIMEOUT_S = 10.0
ROLES = [
    orderlog.Wanted(role=role, model="m", version="1")
    for role in ("mixed", "prefill", "decode")
]


@attrs.define(kw_only=True)
class Engine:
    """An engine that carries out whatever order it takes."""

    name: str
    fencing: bool
    what: orderlog.Wanted = ROLES[0]
    order_id: str = ""
    number: int = -1
    busy_until: float = 0.0
    history: list = attrs.field(factory=list)

    def take(self, item, world):
        """Takes an order; the untrimmed log must name it as unfinished."""
        if self.fencing and item.number < self.number:
            return engineorder.Reply.STALE
        if item.order_id != self.order_id:
            if self.fencing and world.now < self.busy_until:
                return engineorder.Reply.BUSY
            due = world.orders.unfinished.get(self.name)
            assert due and due.order_id == item.order_id, "late order"
            assert world.now >= self.busy_until, "two orders at once"
            self.what, self.order_id = item.wanted, item.order_id
            self.busy_until = world.now + CHANGE_S
        self.number = max(self.number, item.number)
        self.note(world.now)
        return engineorder.Reply.ACCEPTED

    def crash(self, now):
        """Comes back at once, without a memory of its last order."""
        self.what, self.order_id, self.busy_until = ROLES[0], "", now
        self.note(now)

    def note(self, now):
        state = "changing" if now < self.busy_until else "serving"
        seen = engineorder.Seen(
            state=state,
            now=self.what,
            order_id=self.order_id,
            number=self.number,
        )
        self.history.append((now, seen))

    def report(self, now, lag_s):
        self.note(now)
        del self.history[:-20]
        old = [seen for at, seen in self.history if at <= now - lag_s]
        return old[-1] if old else self.history[0][1]


class World:
    """True time, the log with a copy that is never trimmed, the engines."""

    def __init__(self):
        self.now = 0.0
        self.log = modellog.ModelLog()
        self.leases = leaselog.LeaseFold()
        self.orders = orderlog.OrderFold()
        self.terms = [None]
        self.stored_at = []
        self.under_way = []
        self.engines = {
            "checks": Engine(name="checks", fencing=True),
            "ignores": Engine(name="ignores", fencing=False),
        }

    def store(self, append):
        offset = self.log.append(append)
        item = record.Record(
            offset=offset, record_id=append.record_id, body=append.body
        )
        self.leases.apply(item)
        self.orders.apply(item, self.leases.term)
        self.terms.append(self.leases.term)
        self.stored_at.append(self.now)


class Process:
    """One daemon, with a clock of its own."""

    serial = itertools.count()

    def __init__(self, *, world, rank, rate):
        name = f"p{next(self.serial)}"
        ids = itertools.count()
        self.world, self.rank, self.rate = world, rank, rate
        self.origin = rate * world.now - 7.0 * rank
        self.paused = False
        self.late = None
        self.book = order.OrderBook(
            authority=lease.Lease(
                group="g",
                holder=name,
                rank=rank,
                times=LEASE_TIMES,
                new_id=lambda: f"{name}-{next(ids)}",
            ),
            times=ORDER_TIMES,
            new_id=lambda: f"{name}-{next(ids)}",
        )
        for engine in world.engines.values():
            self.book.set_engine(engine.name, fencing=engine.fencing)

    @property
    def clock(self):
        return self.rate * self.world.now - self.origin

    @property
    def acting(self):
        return self.book.authority.acting(self.clock)

    def read(self, limit):
        page = self.world.log.read(
            "control.g", self.book.next_offset, limit=limit
        )
        self.book.apply_page(page, self.clock)

    def turn(self, *, fate="lands", lag_s=0.0, limit=500):
        """Reads, observes, appends, and orders, with one kind of luck."""
        self.read(limit)
        now = self.clock
        for engine in self.world.engines.values():
            report = engine.report(self.world.now, lag_s)
            self.book.observe(engine.name, report, now)
        for append in (*self.book.authority.tick(now), *self.book.due(now)):
            self.append(append, fate)

    def propose(self, name, role, fate):
        made = self.book.propose(name, ROLES[role], self.clock)
        made.map(lambda append: self.append(append, fate))

    def append(self, append, fate):
        if fate == "fails":
            self.book.authority.failed(append.record_id)
            self.book.failed(append.record_id)
        if fate in ("lands", "lands twice", "lands and again"):
            self.world.store(append)
        if fate == "lands twice":
            self.world.store(append)
        if fate in ("lands late", "lands and again"):
            self.world.under_way.append(append)

    def write(self, luck):
        """Writes one sendable order, perhaps with a pause before the write."""
        found = self.book.sendable(self.clock)
        if not found:
            return
        self.book.sent(found[0], self.clock)
        self.late = (found[0], self.world.now)
        if luck == "pause":
            self.paused = True
        else:
            self.finish_write(lost=luck == "answer lost")

    def finish_write(self, *, lost=False):
        if self.late is None:
            return
        (item, opened_at), self.late = self.late, None
        engine = self.world.engines[item.engine]
        open_s = self.world.now - opened_at
        reply = engineorder.Reply.LOST
        # An engine closes a connection on which nothing comes.
        if engine.fencing or open_s < READ_TIMEOUT_S:
            taken = engine.take(item, self.world)
            reply = reply if lost else taken
        self.book.answered(item, reply, self.clock)


FATES = st.sampled_from(
    ["lands"] * 3
    + ["fails", "vanishes", "lands late", "lands twice", "lands and again"]
)
PROCESSES = st.integers(0, 2)
RATES = st.sampled_from([1 - RATE_ERROR, 1.0, 1 + RATE_ERROR])
STEPS_S = st.sampled_from([0.1, 0.5, 1.0, 2.0, 5.0, 6.1, 9.0, 31.0])


class AuthorityMachine(stateful.RuleBasedStateMachine):
    """Leases: one acting holder at most, and no wrong term believed."""

    @stateful.initialize(rates=st.tuples(RATES, RATES, RATES))
    def start(self, rates):
        self.world = World()
        self.processes = [
            Process(world=self.world, rank=rank, rate=rate)
            for rank, rate in enumerate(rates)
        ]

    @stateful.rule(step_s=STEPS_S)
    def time_passes(self, step_s):
        self.world.now += step_s

    @stateful.rule(turns=st.integers(1, 20))
    def all_goes_well(self, turns):
        for _ in range(turns):
            self.world.now += 0.5
            for process in self.processes:
                if not process.paused:
                    process.turn()
                    self.check_one_holder()

    @stateful.rule()
    def holder_is_cut_off(self):
        cut_off = [p for p in self.processes if p.acting]
        for step_s in [0.1, 5.8] + [0.1] * 8:
            self.world.now += step_s
            for process in self.processes:
                if process not in cut_off and not process.paused:
                    process.turn()
            self.check_one_holder()

    @stateful.rule(
        which=PROCESSES,
        fate=FATES,
        lag_s=st.sampled_from([0.0, 1.0, 3.0]),
        limit=st.sampled_from([0, 1, 2, 500]),
    )
    def one_turn(self, which, fate, lag_s, limit):
        if not self.processes[which].paused:
            self.processes[which].turn(fate=fate, lag_s=lag_s, limit=limit)

    @stateful.rule(which=PROCESSES)
    def pause(self, which):
        self.processes[which].paused = True

    @stateful.rule(which=PROCESSES)
    def wake(self, which):
        self.processes[which].paused = False
        self.processes[which].finish_write()

    @stateful.rule(which=PROCESSES, rate=RATES)
    def kill_and_replace(self, which, rate):
        self.processes[which] = Process(world=self.world, rank=which, rate=rate)

    @stateful.rule(which=PROCESSES, rate=RATES, fate=FATES)
    def stop_and_replace(self, which, rate, fate):
        process = self.processes[which]
        if process.paused or process.late:
            return
        release = process.book.authority.retire(process.clock)
        if release is not None:
            process.append(release, fate)
        self.kill_and_replace(which, rate)

    @stateful.precondition(lambda self: self.world.under_way)
    @stateful.rule()
    def late_append_lands(self):
        self.world.store(self.world.under_way.pop(0))

    @stateful.rule(keep=st.integers(0, 3))
    def trim(self, keep):
        end = len(self.world.stored_at)
        self.world.log.trim("control.g", end - keep)

    @stateful.invariant()
    def check_one_holder(self):
        holders = [p for p in self.processes if p.acting]
        assert len(holders) <= 1, "two acting holders"
        for holder in holders:
            assert holder.book.authority.term == self.world.leases.term

    @stateful.invariant()
    def check_terms(self):
        for process in self.processes:
            fold = process.book.authority.fold
            if fold.judged:
                known = self.world.terms[process.book.next_offset]
                assert fold.term == known, "a wrong term is believed"

    def teardown(self):
        if not hasattr(self, "world"):
            return
        for which in range(3):
            self.wake(which)
        for _ in range(60):
            self.all_goes_well(1)
            for process in self.processes:
                process.write("well")
        assert sum(p.acting for p in self.processes) == 1, "no holder"


class OrderMachine(AuthorityMachine):
    """Orders: engines take none but the one that the log calls unfinished.

    Trimming is by age here: an unfinished order is appended again well within
    the retention.
    """

    @stateful.rule(
        which=PROCESSES,
        name=st.sampled_from(["checks", "ignores"]),
        role=st.integers(0, 2),
        fate=FATES,
    )
    def propose(self, which, name, role, fate):
        if not self.processes[which].paused:
            self.processes[which].propose(name, role, fate)

    @stateful.rule(
        which=PROCESSES,
        luck=st.sampled_from(["well", "answer lost", "pause"]),
    )
    def write(self, which, luck):
        process = self.processes[which]
        if not process.paused:
            process.read(500)
            process.write(luck)

    @stateful.rule(name=st.sampled_from(["checks", "ignores"]))
    def crash(self, name):
        self.world.engines[name].crash(self.world.now)

    @stateful.rule(keep=st.just(0))
    def trim(self, keep):
        old = [
            t for t in self.world.stored_at if t < self.world.now - RETENTION_S
        ]
        self.world.log.trim("control.g", len(old))

    def teardown(self):
        if not hasattr(self, "world"):
            return
        for _ in range(5):
            super().teardown()
        assert self.world.orders.unfinished == {}, "an order never ends"


TestAuthorityMachine = AuthorityMachine.TestCase
TestOrderMachine = OrderMachine.TestCase
