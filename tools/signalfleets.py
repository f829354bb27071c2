"""Emulates fleets whose endpoints leave or ask for pauses; prints figures.

Usage: python tools/signalfleets.py [HOSTS ...]
"""

import pathlib
import sys
import time

# The emulation is shared with the tests.
_ROOT = pathlib.Path(__file__).parents[1]
sys.path.insert(0, str(_ROOT / "packages/bulrushgrade_daemon/tests"))

import limitfleet  # noqa: E402

SIZES = ((6, 4), (9, 4), (63, 3), (195, 6))
"""Numbers of hosts and availability zones."""

ENDPOINTS = 9
SLOTS = 6
QUEUE = 6
WORK_S = 0.2
BACKOFF_S = 3.0
NOTICE_S = 0.5
SETTLE_S = 6.0
REFUSING_S = 9.0
MEASUREMENT_S = 24.0
CAPACITY_PER_S = ENDPOINTS * SLOTS / WORK_S
"""Requests per second that all endpoints can work on, 270."""

SCENES = {
    "three of nine refuse for 9 s": (0.55, 3, 0),
    "all of nine refuse for 9 s": (0.55, 9, 0),
    "a fifth more requests than room": (1.2, 0, 0),
    "three of nine leave": (0.55, 0, 3),
}
"""Offered load as a part of the capacity, endpoints that refuse, and that
leave."""


def simulate(hosts, zones, scene, reads_signals):
    """Simulates one scene and prints a row."""
    began = time.perf_counter()
    load, refusing, leaving = scene
    fleet = limitfleet.LimitFleet(
        hosts=hosts,
        zones=zones,
        limits=[None] * ENDPOINTS,
        offered_per_s=load * CAPACITY_PER_S,
        urgent_fraction=0.2,
        reads_signals=reads_signals,
    )
    endpoints = list(fleet.endpoints.values())
    for endpoint in endpoints:
        endpoint.work_s, endpoint.backoff_s = WORK_S, BACKOFF_S
        endpoint.slots, endpoint.queue = SLOTS, QUEUE
    fleet.run(SETTLE_S)
    fleet.press()
    fleet.run(2.0)
    since = fleet.now
    for endpoint in endpoints[:refusing]:
        endpoint.refuses_until = since + REFUSING_S
    for endpoint in endpoints[:leaving]:
        endpoint.is_leaving = True
    fleet.run(MEASUREMENT_S)
    report(fleet, hosts, since, time.perf_counter() - began, scene)


def report(fleet, hosts, since, took_s, scene):
    """Prints the row of a scene."""
    _, refusing, leaving = scene
    endpoints = list(fleet.endpoints.values())
    until = fleet.now
    requests = [r for r in fleet.requests if since <= r.arrived_at < until - 4]
    refused = sorted(
        r.ended_at - r.arrived_at for r in requests if r.status == "refused"
    )
    late = refused[len(refused) * 99 // 100] if refused else 0.0

    def served(begin, end, priority=None):
        chosen = [
            r.status == 200
            for r in requests
            if begin <= r.arrived_at < end
            and not r.is_returning
            and priority in (None, r.priority)
        ]
        return f"{sum(chosen) / len(chosen):.3f}" if chosen else "-"

    def returned():
        chosen = [r.status == 200 for r in requests if r.is_returning]
        return f"{sum(chosen) / len(chosen):.2f}" if chosen else "-"

    unwanted = max(e.most_in_backoff(NOTICE_S, since) for e in endpoints)
    refusals = sum(
        since <= at < until for e in endpoints for at, _ in e.refusals
    )
    # The first seconds after the endpoints accept requests again.
    resumed_at = since + REFUSING_S
    peak = max(
        (
            e.most_in_window(resumed_at, resumed_at + 5.0, 0.25)
            for e in endpoints[:refusing]
        ),
        default=0,
    )
    sent_on_s = max(
        (e.last_after_leaving_s() for e in endpoints[:leaving]), default=0.0
    )
    done = sum(r.status == 200 for r in requests) / (until - 4 - since)
    print(
        f"{hosts} | {'after' if fleet.reads_signals else 'before'} |"
        f" {unwanted} | {refusals} | {sent_on_s:.2f} s |"
        f" {served(since, since + REFUSING_S)},"
        f" {served(since + REFUSING_S, until)} |"
        f" {served(since, until, 0)}, {served(since, until, 1)} |"
        f" {returned()} | {done:.0f} | {len(refused)}, {late * 1000:.0f} ms |"
        f" {peak} | {took_s:.0f} s",
        flush=True,
    )


def main():
    """Prints the rows of all scenes."""
    chosen = set(map(int, sys.argv[1:]))
    for name, scene in SCENES.items():
        print(f"{name}; {scene[0] * CAPACITY_PER_S:.0f} requests a second")
        print(
            "hosts | code | most of one host in a pause | refusals by endpoints"
            " | sent on after a drain | served in the first 9 s, later |"
            " urgent, others | served on return | served a second |"
            " callers refused, in | most in 0.25 s after the pause | took"
        )
        for hosts, zones in SIZES:
            if chosen and hosts not in chosen:
                continue
            for reads_signals in (False, True):
                simulate(hosts, zones, scene, reads_signals)


if __name__ == "__main__":
    main()
