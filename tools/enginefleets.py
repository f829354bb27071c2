"""Emulates engines that state limits or ask for pauses, and prints figures.

Usage: python tools/enginefleets.py [HOSTS ...]
"""

import pathlib
import sys

# The emulation is shared with the tests.
_ROOT = pathlib.Path(__file__).parents[1]
sys.path.insert(0, str(_ROOT / "packages/bulrushgrade_daemon/tests"))

import enginescene  # noqa: E402

from bulrushgrade_daemon import endpointchooser  # noqa: E402

SIZES = ((6, 4), (9, 4), (63, 3), (195, 6))
"""Numbers of hosts and availability zones."""

PREFILLERS, DECODERS = 4, 5
SHORT_PER_S, LONG_PER_S = 82.0, 13.7
LIMITS_PER_S = {"e4": 4.6, "e5": 3.9}
REFUSING = ("e4", "e5", "e0")
BACKOFF_S = 3.0
REFUSING_S = 9.0
SETTLE_S = 6.0
LOAD_S = 5.0
MEASUREMENT_S = 30.0


def set_nothing(fleet):
    """Leaves the engines as they are."""


def set_limits(fleet):
    """Has two of five decoders state a limit."""
    for id, per_s in LIMITS_PER_S.items():
        fleet.endpoints[id].limit = per_s


def set_refusals(fleet):
    """Has two decoders and a prefiller refuse and ask for backoffs."""
    for id in REFUSING:
        engine = fleet.endpoints[id]
        engine.refuses_until = fleet.now + REFUSING_S
        engine.backoff_s = BACKOFF_S


def plan_with_all_engines(chooser):
    """Has engines with a limit count for their role when roles are planned."""
    return lambda service, fleet, now: chooser._usable(service, now)


SCENES = (
    ("no limit", set_nothing, True, False),
    ("two decoders limited, they count for their role", set_limits, True, True),
    ("two decoders limited", set_limits, True, False),
    ("two decoders, a prefiller refuse, unread", set_refusals, False, False),
    ("two decoders, a prefiller refuse", set_refusals, True, False),
)
"""Name, what happens, whether hosts read backoffs, and whether engines with a
limit count for their role."""


def simulate(hosts, zones, scene, seed):
    """Simulates one scene and prints a row."""
    name, happen, reads_signals, counts_limited = scene
    fleet = enginescene.EngineFleet(
        hosts=hosts,
        zones=zones,
        prefillers=PREFILLERS,
        decoders=DECODERS,
        short_per_s=SHORT_PER_S,
        long_per_s=LONG_PER_S,
        reads_signals=reads_signals,
        seed=seed,
    )
    if counts_limited:
        for host in fleet.hosts.values():
            chooser: endpointchooser.EndpointChooser = host.chooser
            chooser._live_engines = plan_with_all_engines(chooser)
    fleet.run(SETTLE_S)
    fleet.press()
    fleet.run(LOAD_S)
    since = fleet.now
    happen(fleet)
    fleet.run(MEASUREMENT_S)
    report(fleet, hosts, name, since)


def report(fleet, hosts, name, since):
    """Prints the row of a scene."""
    until = fleet.now - 6.0
    cells = []
    for priority in (enginescene.SHORT, enginescene.LONG):
        found = [
            request
            for request in fleet.requests
            if request.priority == priority
            and since <= request.arrived_at < until
        ]
        tries = [request for request in found if not request.is_returning]
        in_time = sum(request.is_in_time for request in found) / len(tries)
        refused = sum(r.status == "refused" for r in found) / len(tries)
        cells.append(f"{in_time:.3f}, {refused:.3f}")
    engines = fleet.endpoints.values()
    prefills = sum(at >= since for e in engines for at in e.prefills)
    taken = sum(engine.taken for engine in engines)
    wasted = sum(len(engine.prefills) for engine in engines) - taken
    orders = sum(len(engine.orders) for engine in engines)
    most = max(e.most_in_backoff(0.5, since) for e in engines)
    limited = [e for e in engines if e.limit is not None]
    used = ", ".join(
        f"{e.count(since + 3, fleet.now) / (fleet.now - since - 3):.1f}"
        for e in limited
    )
    print(
        f"{hosts} | {name} | {cells[0]} | {cells[1]} | {orders} |"
        f" {wasted} of {prefills} | {most} | {used or '-'}",
        flush=True,
    )


def main():
    """Prints the rows of all scenes."""
    chosen = set(map(int, sys.argv[1:])) or {hosts for hosts, _ in SIZES}
    print(
        "hosts | engines | short: in time, refused | long: the same |"
        " role changes | prefills that no decoder took | most of one host in a"
        " backoff | requests/s at engines with limits 4.6 and 3.9"
    )
    for hosts, zones in SIZES:
        if hosts in chosen:
            for scene in SCENES:
                simulate(hosts, zones, scene, seed=1)


if __name__ == "__main__":
    main()
