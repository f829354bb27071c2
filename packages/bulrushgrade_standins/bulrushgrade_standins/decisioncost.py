"""Measures the cost of one decision by number of endpoints and peers.

Run with ``python -m bulrushgrade_standins.decisioncost``. It measures the CPU
time of this process, so that other load on the machine matters little.
"""

import random
import statistics
import time

from bulrushgrade import scheduler
from bulrushgrade import work

ENDPOINTS = (5, 50, 500)
PEERS = (0, 8)
DECISIONS = 2000
ROUNDS = 3
PROMPT_TOKENS = 1500
SHARED_BLOCKS = 16


def measure(endpoints: int, peers: int) -> dict[str, float]:
    """Returns the cost of one operation of each kind, in microseconds.

    Args:
        endpoints: Number of known engines.
        peers: Number of other hosts that have published their loads.
    """
    core = _make(endpoints, peers)
    return {
        "admit and place": _offer(core, placed=True),
        "admit and queue": _queue(_make(endpoints, peers), endpoints),
        "peer's message": _peer_message(core, endpoints),
        "engine's report": _report(core, endpoints),
    }


def main() -> None:
    """Prints the measurements as a Markdown table."""
    print("| endpoints | peers | " + " | ".join(measure(1, 0)) + " |")
    print("|---|---|" + "---|" * len(measure(1, 0)))
    for endpoints in ENDPOINTS:
        for peers in PEERS:
            runs = [measure(endpoints, peers) for _ in range(ROUNDS)]
            cells = [
                f"{statistics.median(run[name] for run in runs):.0f} us"
                for name in runs[0]
            ]
            row = [str(endpoints), str(peers), *cells]
            print("| " + " | ".join(row) + " |")


def _make(endpoints: int, peers: int) -> scheduler.Scheduler:
    core = scheduler.Scheduler(zone="z", rng=random.Random(1))
    core.set_policies(
        (work.ServicePolicy(service="s", share=1.0, queue_limit=10**6),)
    )
    core.set_endpoints(
        tuple(
            work.Endpoint(
                address=f"e{number}",
                model="m",
                slots=8,
                kv_capacity_tokens=120_000,
            )
            for number in range(endpoints)
        ),
        0.0,
    )
    for peer in range(peers):
        core.peer_load(f"p{peer}", _loads(endpoints, peer), 0.0)
    return core


def _loads(endpoints: int, seed: int) -> tuple[work.PeerLoad, ...]:
    rng = random.Random(seed)
    listed = rng.sample(range(endpoints), min(endpoints, 5))
    return tuple(
        work.PeerLoad(endpoint=f"e{number}", running=rng.randint(0, 1))
        for number in listed
    )


def _work(number: int, deadline: float) -> work.Work:
    shared = tuple(range(number % 50 * 100, number % 50 * 100 + SHARED_BLOCKS))
    return work.Work(
        request_id=f"r{number}",
        service="s",
        model="m",
        prompt_tokens=PROMPT_TOKENS,
        output_tokens=100,
        prefix=shared,
        deadline=deadline,
    )


def _offer(core: scheduler.Scheduler, *, placed: bool) -> float:
    spent = 0.0
    for number in range(DECISIONS):
        item = _work(number, 1e6)
        start = time.process_time()
        decision = core.offer(item, 0.0)
        spent += time.process_time() - start
        if isinstance(decision, work.Placed) != placed:
            raise RuntimeError(f"unexpected {decision}")
        core.cancel(item.request_id, 0.0)
    return spent / DECISIONS * 1e6


def _queue(core: scheduler.Scheduler, endpoints: int) -> float:
    for number in range(endpoints * 8):
        core.offer(_work(number, 1e6), 0.0)
    start = time.process_time()
    for number in range(DECISIONS):
        core.offer(_work(10**6 + number, 1e6), 0.0)
    return (time.process_time() - start) / DECISIONS * 1e6


def _peer_message(core: scheduler.Scheduler, endpoints: int) -> float:
    messages = [_loads(endpoints, number) for number in range(200)]
    start = time.process_time()
    for number in range(DECISIONS):
        core.peer_load("p0", messages[number % 200], 0.0)
    return (time.process_time() - start) / DECISIONS * 1e6


def _report(core: scheduler.Scheduler, endpoints: int) -> float:
    reports = [
        work.LoadReport(endpoint=f"e{number % endpoints}", running=number % 5)
        for number in range(DECISIONS)
    ]
    start = time.process_time()
    for report in reports:
        core.report(report, 0.0)
    return (time.process_time() - start) / DECISIONS * 1e6


if __name__ == "__main__":
    main()
