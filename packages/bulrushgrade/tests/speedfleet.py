"""Emulates hosts that send prompts to engines of different speeds.

Each host rarely meets a given engine. All hosts see the engines' queues, with
the durations that the senders expect.
"""

import heapq
import itertools
import random
import statistics

from test_directory import make

from bulrushgrade import directory
from bulrushgrade import enginefleet
from bulrushgrade import engineload
from bulrushgrade import enginespeeds
from bulrushgrade import prefillqueue
from bulrushgrade import prefilltimes
from bulrushgrade import routing

TRAITS = routing.EngineTraits(
    slots=12,
    memory_tokens=400_000,
    token_bytes=18_432,
    link_bytes_per_s=22.5e9,
    kv_handle_ttl_s=5.0,
    stage_change_s=3.0,
    event_tokens=10,
)
TOKENS, USUAL_S, LATENCY_S = 4_000, 0.1, 0.03
CANDIDATES = 6
MODE = prefilltimes.PrefillMode.DISAGGREGATED


class Engine:
    """Prefills one prompt after another."""

    def __init__(self, id, speed):
        self.registration = make(id, stage=directory.Stage.PREFILL)
        self.speed = speed
        self.free_at = 0.0
        self.queue = prefillqueue.PrefillQueue()
        self.prompts = 0


class Fleet:
    """Hosts with measurements of their own, which they share or not."""

    def __init__(self, *, speeds, hosts=60, shares=True, seed=1):
        self.rng = random.Random(seed)
        self.engines = [Engine(f"e{n}", s) for n, s in enumerate(speeds)]
        self.speeds = [
            enginespeeds.make_speeds(ttl_s=60.0) if shares else None
            for _ in range(hosts)
        ]
        self.hosts = [enginefleet.EngineFleet(speeds=s) for s in self.speeds]
        self.changes = []
        self.now, self._next_update = 0.0, 1.0
        self._events = []
        self._numbers = itertools.count()
        # Relative error of each expected time to the response, by speed.
        self.errors = {}

    def run(self, seconds, *, per_s):
        """Sends prompts to the engines of least expected time."""
        end = self.now + seconds
        while self.now < end:
            self.now += self.rng.expovariate(per_s)
            while self._events and self._events[0][0] <= self.now:
                self._answer(*heapq.heappop(self._events)[2:])
            if self.now >= self._next_update:
                self._next_update += 1.0
                self._share()
            self._send(self.rng.choice(self.hosts))

    def error(self, speed):
        return statistics.median(self.errors[speed])

    def measure(self, seconds, *, per_s):
        """Returns the prompts per engine by speed."""
        self.errors = {engine.speed: [] for engine in self.engines}
        for engine in self.engines:
            engine.prompts = 0
        self.run(seconds, per_s=per_s)
        return {
            speed: statistics.mean(
                e.prompts for e in self.engines if e.speed == speed
            )
            for speed in self.errors
        }

    def _send(self, host):
        def expected(engine):
            load = host.load(engine.registration, TRAITS)
            wait_s = engine.queue.wait_s(self.now, urgency=0)
            stage = engine.registration.stage
            return wait_s, load.prefill_s(TOKENS, 0, stage)

        candidates = self.rng.sample(self.engines, CANDIDATES)
        engine = min(candidates, key=lambda e: sum(expected(e)))
        wait_s, prefill_s = expected(engine)
        sent = engineload.PendingPrefill(
            expected_s=prefill_s,
            sent_at=self.now,
            tokens=TOKENS,
            wait_s=wait_s,
            latency_s=host.times.latency_s(MODE),
            mode=MODE,
        )
        host.load(engine.registration, TRAITS).begin(sent)
        engine.queue.add(sent, sent.queue_entry)
        took_s = engine.speed * USUAL_S * self.rng.uniform(0.95, 1.05)
        engine.free_at = max(engine.free_at, self.now) + took_s
        engine.prompts += 1
        answered = (engine.free_at + LATENCY_S, next(self._numbers))
        heapq.heappush(self._events, (*answered, host, engine, sent))

    def _answer(self, host, engine, sent):
        engine.queue.remove(sent, self.now)
        load = host.load(engine.registration, TRAITS)
        load.answered(sent, engine.registration.stage, self.now)
        took_s = self.now - sent.sent_at
        self.errors.setdefault(engine.speed, []).append(
            sent.expected_total_s / took_s - 1.0
        )

    def _share(self):
        if self.speeds[0] is None:
            return
        live = [engine.registration.incarnation for engine in self.engines]
        own = []
        for speeds in self.speeds:
            speeds.own.decay(self.now)
            own.append(speeds.own.vectors())
        for n, (host, speeds) in enumerate(
            zip(self.hosts, self.speeds, strict=True)
        ):
            for other, vectors in enumerate(own):
                if other != n:
                    speeds.table.update_group(f"h{other}", vectors, self.now)
            self.changes += speeds.fleet.update({"llm": live}, own[n], self.now)
            host.correct_times("llm")
