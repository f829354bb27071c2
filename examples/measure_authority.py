"""Measures leases and once-only claims, and prints figures for the docs.

Times without a holder are simulated: candidates tick every 0.1 s, and appends
take effect after 20 ms and are read 50 ms later. Costs are measured as elapsed
time on this machine.
"""

import itertools
import random
import time
import tracemalloc

from bulrushgrade import fakelog
from bulrushgrade import lease
from bulrushgrade import leaselog
from bulrushgrade import once
from bulrushgrade import oncelog
from bulrushgrade import order
from bulrushgrade import orderlog
from bulrushgrade import record

TICK_S = 0.1
APPEND_S = 0.02
READ_S = 0.05
TRIALS = 200
KEYS = 20_000
STEPS = 20_000


class _Group:
    """Three candidates of one group that share a log with delays."""

    def __init__(self, *, times: lease.LeaseTimes, rng: random.Random):
        serial = itertools.count()
        self.now = 0.0
        self.log = fakelog.FakeLog()
        self.in_transit: list = []
        self.append_counts: dict[str, int] = {}
        self.running = [
            lease.Lease(
                group="g",
                holder=f"c{rank}",
                rank=rank,
                times=times,
                new_id=lambda: str(next(serial)),
            )
            for rank in range(3)
        ]
        self.next_tick = [rng.uniform(0, TICK_S) for _ in range(3)]

    def run_until(self, end: float, *, until_held: bool = False) -> None:
        while self.now < end:
            self.now += 0.01
            while self.in_transit and self.in_transit[0][0] <= self.now:
                self.log.append(self.in_transit.pop(0)[1])
            for index, view in enumerate(self.running):
                if self.now >= self.next_tick[index]:
                    self.next_tick[index] += TICK_S
                    self._run_step(view)
            if until_held and self.holder is not None:
                return

    def _run_step(self, view: lease.Lease) -> None:
        page = self.log.read(view.stream, view.next_offset)
        view.apply_page(page, self.now)
        for append in view.tick(self.now):
            self.send(append)

    def send(self, append: record.Append) -> None:
        kind = type(leaselog.CODEC.parse(append.body).unwrap()).__name__
        self.append_counts[kind] = self.append_counts.get(kind, 0) + 1
        self.in_transit.append((self.now + APPEND_S + READ_S, append))

    @property
    def holder(self) -> lease.Lease | None:
        holders = (v for v in self.running if v.holds_lease(self.now))
        return next(holders, None)


def _measure_failover(ttl_s: float, planned: bool) -> tuple[float, float, int]:
    times = lease.LeaseTimes(ttl_s=ttl_s, renew_every_s=ttl_s / 3)
    gaps, claims = [], 0
    for seed in range(TRIALS):
        rng = random.Random(seed)
        group = _Group(times=times, rng=rng)
        group.run_until(ttl_s + rng.uniform(0, ttl_s))
        removed, lost_at = group.holder, group.now
        if planned:
            group.send(removed.retire(group.now))
        group.next_tick.pop(group.running.index(removed))
        group.running.remove(removed)
        claims -= group.append_counts["Claim"]
        group.run_until(group.now + 10 * ttl_s, until_held=True)
        claims += group.append_counts["Claim"]
        gaps.append(group.now - lost_at)
    gaps.sort()
    return gaps[TRIALS // 2], gaps[-1], claims / TRIALS


def _make_records(messages, codec) -> list[record.Record]:
    return [
        record.Record(
            offset=n, record_id=f"r{n}", body=codec.serialize(message)
        )
        for n, message in enumerate(messages)
    ]


def _cost_us(apply, items) -> float:
    start = time.perf_counter()
    for item in items:
        apply(item)
    return (time.perf_counter() - start) / len(items) * 1e6


def _lease_costs() -> None:
    renewals = (
        leaselog.Renew(holder="c", term=0, after_offset=n) for n in range(STEPS)
    )
    claim = leaselog.Claim(holder="c", after_offset=-1)
    items = _make_records(itertools.chain([claim], renewals), leaselog.CODEC)
    fold = leaselog.LeaseFold()
    print(f"LeaseFold, a renewal: {_cost_us(fold.apply, items):.1f} us")
    view = lease.Lease(
        group="g",
        holder="x",
        rank=0,
        times=lease.LeaseTimes(),
        new_id=str,
    )
    order_tracker = order.OrderTracker(
        authority=view, times=order.OrderTimes(), new_id=str
    )
    cost = _cost_us(lambda item: order_tracker.apply(item, 0.0), items)
    print(f"OrderTracker with its Lease, a renewal: {cost:.1f} us")
    cost = _cost_us(lambda now: view.holds_lease(now), [0.0] * STEPS)
    print(f"Lease.holds_lease: {cost:.2f} us")


def _order_costs() -> None:
    wanted = orderlog.Wanted(role="prefill", model="m", version="1")
    intents = (
        orderlog.Intent(
            engine=f"e{n % 9}",
            order_id=str(n),
            wanted=wanted,
            term=0,
            after_offset=n - 1,
        )
        for n in range(STEPS)
    )
    fold = orderlog.OrderFold()
    items = _make_records(intents, orderlog.CODEC)
    cost = _cost_us(lambda item: fold.apply(item, 0), items)
    print(f"OrderFold, an intent: {cost:.1f} us")


def _once_costs(answer_bytes: int) -> None:
    limits = oncelog.OnceLimits(answer_memory_bytes=2**30)
    claims = [
        oncelog.Claim(
            key=oncelog.scoped_key(
                service="booking-ledger", idempotency_key=f"{n:036d}"
            ),
            digest=f"{n:064x}",
            runner="10.0.0.1:9000",
            run_limit_s=60.0,
        )
        for n in range(KEYS)
    ]
    outcomes = [
        oncelog.Done(
            key=claim.key,
            claim_id=f"r{n}",
            digest=claim.digest,
            known=True,
            answer=oncelog.Answer(
                status=200,
                content_type="application/json",
                body=bytes(answer_bytes),
            ),
        )
        for n, claim in enumerate(claims)
    ]
    claims = _make_records(claims, oncelog.CODEC)
    outcomes = _make_records(outcomes, oncelog.CODEC)
    once_shard = once.OnceShard(shard=0, runner="x", limits=limits, new_id=str)
    claim_us = _cost_us(lambda item: once_shard.fold.apply(item, 0.0), claims)
    done_us = _cost_us(lambda item: once_shard.fold.apply(item, 0.0), outcomes)
    tracemalloc.start()
    fold = oncelog.OnceFold(limits=limits)
    for item in claims + outcomes:
        fold.apply(item, 0.0)
    retained_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(
        f"OnceFold, answers of {answer_bytes} bytes: claim {claim_us:.1f} us, "
        f"done {done_us:.1f} us, {retained_bytes / KEYS:.0f} bytes a key"
    )


def main() -> None:
    """Runs all measurements and prints the figures."""
    for ttl_s in (3.0, 6.0, 12.0):
        for planned in (False, True):
            median, worst, claims = _measure_failover(ttl_s, planned)
            how = "planned stop" if planned else "kill or freeze"
            print(
                f"TTL {ttl_s:.0f} s, {how}: without a holder "
                f"p50 {median:.2f} s, max {worst:.2f} s, "
                f"claims {claims:.2f} a failover"
            )
    group = _Group(times=lease.LeaseTimes(), rng=random.Random(1))
    group.run_until(20.0)
    before = dict(group.append_counts)
    group.run_until(120.0)
    rates = {k: (n - before[k]) / 100.0 for k, n in group.append_counts.items()}
    print(f"appends a second a group at rest: {rates}")
    _lease_costs()
    _order_costs()
    _once_costs(0)
    _once_costs(200)


if __name__ == "__main__":
    main()
