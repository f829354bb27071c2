"""Emulates fleets whose endpoints limit their requests, and prints figures.

Usage: python tools/limitedfleets.py [HOSTS ...]
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

LIMIT_PER_S = 3.5
OFFERED_PER_S = 40.0
SETTLE_S = 6.0
NOTICE_S = 3.0
"""Time from the first statement of a limit until all hosts must keep it."""

MEASUREMENT_S = 20.0
WINDOW_S = 4.0

SCENES = {
    "one of two endpoints limited": [LIMIT_PER_S, None],
    "the only endpoint limited": [LIMIT_PER_S],
    "all of nine endpoints limited": [LIMIT_PER_S] * 9,
}


def simulate(hosts, zones, limits):
    """Simulates one scene and prints a row."""
    began = time.perf_counter()
    fleet = limitfleet.LimitFleet(
        hosts=hosts,
        zones=zones,
        limits=limits,
        offered_per_s=OFFERED_PER_S,
        urgent_fraction=0.2,
    )
    fleet.run(SETTLE_S)
    fleet.press()
    fleet.run(NOTICE_S)
    since = fleet.now
    fleet.run(MEASUREMENT_S)
    until = fleet.now
    limited = [e for e in fleet.endpoints.values() if e.limit is not None]
    per_s = [e.count(since, until) / MEASUREMENT_S for e in limited]
    most = max(e.most_in_window(since, until, WINDOW_S) for e in limited)
    requests = [r for r in fleet.requests if since <= r.arrived_at < until - 1]
    refused = sorted(
        r.ended_at - r.arrived_at for r in requests if r.status == "refused"
    )
    late = refused[len(refused) * 99 // 100] if refused else 0.0

    def served(chosen):
        found = [r.status == 200 for r in requests if chosen(r)]
        return f"{sum(found) / len(found):.2f}" if found else "-"

    print(
        f"{hosts} | {min(per_s):.2f} to {max(per_s):.2f} |"
        f" {most} of {1.5 * LIMIT_PER_S * WINDOW_S + 5:.0f} |"
        f" {served(lambda r: r.priority == 0 and not r.is_returning)},"
        f" {served(lambda r: r.priority == 1 and not r.is_returning)} |"
        f" {served(lambda r: r.is_returning)} | {len(refused)},"
        f" {late * 1000:.0f} ms | {time.perf_counter() - began:.0f} s"
    )


def main():
    """Prints the rows of all scenes."""
    chosen = set(map(int, sys.argv[1:]))
    for name, limits in SCENES.items():
        print(f"{name}, {LIMIT_PER_S} a second each, {OFFERED_PER_S} offered")
        print(
            "hosts | requests/s at a limited endpoint | most in 4 s |"
            " served: urgent, others | served on return |"
            " refused, in | took"
        )
        for hosts, zones in SIZES:
            if not chosen or hosts in chosen:
                simulate(hosts, zones, limits)


if __name__ == "__main__":
    main()
