"""Prints the measured cost slopes on which docs/CAPACITY.md is based.

Run it from the root of the repository with the packages installed:
``python tools/slopes.py``. It takes about two minutes, mostly waiting, opens
sockets on loopback only and exits by itself. Times depend on the machine;
sizes in bytes do not.
"""

from collections.abc import Sequence
import platform

import decisionslopes
import logslopes
import meshslopes
import processslopes
import slope


def print_slopes(slopes: Sequence[slope.Slope]) -> None:
    """Prints the slope, intercept and measured points of each cost."""
    for measured in slopes:
        intercept, rate = slope.fit(measured.points)
        points = "  ".join(f"{x:g}: {y:.4g}" for x, y in measured.points)
        print(f"{measured.name}")
        print(
            f"    {rate:.4g} {measured.unit}, base {intercept:.4g}   ({points})"
        )


def print_rows(heading: str, rows: Sequence[dict[str, object]]) -> None:
    """Prints each row as one line of names and values under a heading."""
    print(f"\n{heading}")
    for row in rows:
        print(
            "    " + ", ".join(f"{key} {value}" for key, value in row.items())
        )


def main() -> None:
    """Runs all measurements and prints the results."""
    print(f"Python {platform.python_version()} on {platform.machine()}")
    print_rows("A process at rest", processslopes.measure_processes())
    print("\nMembership and subsets")
    print_slopes(meshslopes.measure_host_lists())
    print_rows("The mesh by size", meshslopes.measure_meshes())
    print_rows("Other subsets at the target", meshslopes.measure_subsets())
    print("\nPeers")
    print_slopes(meshslopes.measure_messages())
    print_slopes(meshslopes.measure_demands())
    print_slopes(processslopes.measure_sockets())
    print("\nDocuments")
    print_slopes(logslopes.measure_documents())
    print("\nAuthority and once-only claims")
    print_slopes(logslopes.measure_leases())
    print_slopes(logslopes.measure_claims())
    print("\nDecisions and metrics")
    print_slopes(decisionslopes.measure_decisions())
    print_slopes(decisionslopes.measure_metrics())


if __name__ == "__main__":
    main()
