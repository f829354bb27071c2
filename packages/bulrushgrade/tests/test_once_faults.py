"""State-machine test of once-only requests over a faulty log.

Daemons read late, lose answers, are paused between the permission to start
and the write, and are killed. Appends fail, are delayed or are duplicated, and
old records are trimmed. The simulated endpoint records each run.
"""

import collections
import itertools

import attrs
from hypothesis import stateful
from hypothesis import strategies as st
from returns.result import Failure
from returns.result import Success

from bulrushgrade import fakelog
from bulrushgrade import once
from bulrushgrade import oncedecision
from bulrushgrade import oncelog

# Limits close to each other, so that a run of the machine exceeds them all.
LIMITS = oncelog.OnceLimits(
    start_limit_s=4.0, run_limit_s=16.0, key_life_s=60.0, retention_s=200.0
)
RATES = st.sampled_from([0.95, 1.0, 1.05])
DAEMONS = st.integers(0, 2)
BACK = st.sampled_from([0, 0, 0, 1])
LIMITS_OF_READS = st.sampled_from([0, 1, 2, 500])
DELIVERIES = st.sampled_from(
    [fakelog.Delivery.STORED] * 2 + list(fakelog.Delivery)
)
STORED = fakelog.Delivery.STORED


@attrs.define(kw_only=True)
class Request:
    """A request that one daemon is handling."""

    key: str
    claim_id: str
    state: str = "claimed"


class SimulatedLog(fakelog.FaultyLog):
    """The simulated time, the log and the runs of the endpoint."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.runs = collections.defaultdict(list)
        self.done = {}
        self.ended = set()

    def append(self, append):
        message = oncelog.CODEC.parse(append.body).unwrap()
        if isinstance(message, oncelog.Done):
            if message.claim_id not in self.ended:
                self.done[message.key] = message.answer
            self.ended.add(message.claim_id)
        return super().append(append)

    def store_delayed(self):
        sent_at, append = self.in_flight[0]
        message = oncelog.CODEC.parse(append.body).unwrap()
        # Claims may be in flight for any time, outcomes for at most half of a
        # key's lifetime.
        late = self.now - sent_at > LIMITS.key_life_s / 2
        if late and isinstance(message, oncelog.Done):
            self.drop_next()
        else:
            self.store_next(self.now)

    def run(self, key):
        """Runs a key at the endpoint, at most once per key lifetime."""
        last = self.runs[key][-1] if self.runs[key] else -1e9
        # Half of the lifetime is shorter than the lifetime by any daemon's
        # clock.
        assert self.now - last > LIMITS.key_life_s / 2, "the key ran twice"
        self.runs[key].append(self.now)
        body = f"{key} {len(self.runs[key])}".encode()
        return oncelog.Answer(status=200, content_type="t", body=body)


class Daemon:
    """One daemon with its own clock."""

    serial = itertools.count()

    def __init__(self, *, log, rate):
        name = f"d{next(self.serial)}"
        ids = itertools.count()
        self.log, self.rate = log, rate
        self.origin = rate * log.now
        self.paused = False
        self.requests = []
        self.once = once.OnceShard(
            shard=0,
            runner=name,
            limits=LIMITS,
            new_id=lambda: f"{name}-{next(ids)}",
        )

    @property
    def clock(self):
        return self.rate * self.log.now - self.origin

    def read(self, limit=500):
        page = self.log.read("once.0", self.once.next_offset, limit=limit)
        self.once.apply_page(page, self.clock)

    def accept(self, key, delivery):
        """Handles a new or repeated request with a key from a caller."""
        claimed = self.once.claim(key=key, digest=key, now=self.clock)
        if isinstance(claimed, Success):
            append = claimed.unwrap()
            self.requests.append(Request(key=key, claim_id=append.record_id))
            if self.log.deliver(append, delivery, self.log.now):
                self.once.append_failed(append.record_id)
        return claimed

    def serve(self, delivery, write_fault):
        """Advances each request by one step."""
        for request in list(self.requests):
            decision = self.once.decide(
                key=request.key,
                digest=request.key,
                now=self.clock,
                claim_id=request.claim_id,
            )
            if isinstance(decision, oncedecision.Run):
                if self.once.start(request.claim_id, self.clock):
                    request.state = "started"
                if write_fault == "pause":
                    self.paused = True
                    return
                self.write(request, delivery, write_fault)
            elif isinstance(decision, oncedecision.Late):
                append = self.once.abandon(request.claim_id, self.clock)
                self.log.deliver(append, delivery, self.log.now)
                self.requests.remove(request)
            elif not isinstance(decision, oncedecision.Pending):
                self.requests.remove(request)

    def write(self, request, delivery, write_fault):
        self.requests.remove(request)
        if write_fault == "refused":
            append = self.once.abandon(request.claim_id, self.clock)
        else:
            answer = self.log.run(request.key)
            append = self.once.finish(
                request.claim_id, answer=answer, known=True, now=self.clock
            )
        if append is not None:
            self.log.deliver(append, delivery, self.log.now)

    def wake(self, *, in_time):
        self.paused = False
        for request in list(self.requests):
            if request.state == "started" and in_time:
                self.write(request, STORED, "well")


class OnceMachine(stateful.RuleBasedStateMachine):
    """A key runs at most once, and duplicates get the same answer."""

    @stateful.initialize(rates=st.tuples(RATES, RATES, RATES))
    def start(self, rates):
        self.log = SimulatedLog()
        self.daemons = [Daemon(log=self.log, rate=rate) for rate in rates]
        self.paused_at = {}
        self.read_everywhere()
        self.serial = 1

    def key(self, back):
        return f"key {max(0, self.serial - back)}"

    @stateful.rule()
    def next_key(self):
        self.serial += 1

    @stateful.rule(
        step_s=st.sampled_from([0.1, 1.0, 3.0, 4.1, 21.0, 33.0, 64.0, 64.0]),
        all_read=st.booleans(),
    )
    def advance_time(self, step_s, all_read):
        if all_read:
            self.read_everywhere()
        self.log.now += step_s

    @stateful.rule(which=DAEMONS, back=BACK, delivery=DELIVERIES)
    def accept(self, which, back, delivery):
        if not self.daemons[which].paused:
            self.daemons[which].accept(self.key(back), delivery)

    @stateful.rule(deliveries=st.tuples(DELIVERIES, DELIVERIES, DELIVERIES))
    def accept_everywhere(self, deliveries):
        for which, delivery in enumerate(deliveries):
            self.accept(which, 0, delivery)

    @stateful.rule(which=DAEMONS, limit=LIMITS_OF_READS)
    def read(self, which, limit):
        if not self.daemons[which].paused:
            self.daemons[which].read(limit)

    @stateful.rule()
    def read_everywhere(self):
        for which in range(3):
            self.read(which, 500)

    @stateful.rule(
        order=st.permutations(range(3)),
        limits=st.tuples(*[LIMITS_OF_READS] * 3),
        delivery=DELIVERIES,
        write_fault=st.sampled_from(["well", "well", "refused", "pause"]),
    )
    def serve_everywhere(self, order, limits, delivery, write_fault):
        for which in order:
            self.serve(which, delivery, write_fault, limits[which])

    def serve(self, which, delivery, write_fault, limit):
        daemon = self.daemons[which]
        if daemon.paused:
            return
        daemon.read(limit)
        daemon.serve(delivery, write_fault)
        for append in daemon.once.due(daemon.clock):
            self.log.deliver(append, delivery, self.log.now)
        if daemon.paused:
            self.paused_at[which] = self.log.now

    @stateful.rule(which=DAEMONS, back=BACK)
    def request_without_a_fault(self, which, back):
        key, daemon = self.key(back), self.daemons[which]
        if not daemon.paused:
            daemon.read()
            claimed = daemon.accept(key, STORED)
            if isinstance(claimed, Failure):
                self.check_answer(key, claimed.failure())
            daemon.read()
            daemon.serve(STORED, "well")

    def check_answer(self, key, decision):
        if isinstance(decision, oncedecision.Duplicate):
            assert decision.answer == self.log.done[key], "another answer"

    @stateful.rule(which=DAEMONS)
    def pause(self, which):
        if not self.daemons[which].paused:
            self.daemons[which].paused = True
            self.paused_at[which] = self.log.now

    @stateful.rule()
    def wake_everywhere(self):
        # The endpoint closes a connection that is idle for 10 s.
        for which, daemon in enumerate(self.daemons):
            paused_s = self.log.now - self.paused_at.get(which, -1e9)
            daemon.wake(in_time=paused_s < 10.0)

    @stateful.rule(which=DAEMONS, rate=RATES)
    def kill_and_replace(self, which, rate):
        self.daemons[which] = Daemon(log=self.log, rate=rate)
        self.read(which, 500)

    @stateful.precondition(lambda self: self.log.in_flight)
    @stateful.rule()
    def delayed_append_is_stored(self):
        self.log.store_delayed()

    @stateful.rule()
    def trim(self):
        self.log.trim_older("once.0", self.log.now - LIMITS.retention_s)


TestOnceMachine = OnceMachine.TestCase
