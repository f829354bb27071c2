"""Measures how a cost grows with a size, and fits a line to it."""

from collections.abc import Callable
import gc
import time
import tracemalloc
from typing import Any

import attrs

REPEATS = 5


@attrs.frozen(kw_only=True)
class Slope:
    """Measured costs at several sizes.

    Attributes:
        name: What was measured.
        unit: The unit of the slope, such as ``bytes an entry``.
        points: Pairs of a size and the cost at that size.
    """

    name: str
    unit: str
    points: tuple[tuple[float, float], ...]


def fit(points: tuple[tuple[float, float], ...]) -> tuple[float, float]:
    """Returns the intercept and slope of the least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squares = sum((x - mean_x) ** 2 for x, _ in points)
    rate = sum((x - mean_x) * (y - mean_y) for x, y in points) / squares
    return mean_y - rate * mean_x, rate


def time_us(work: Callable[[], Any], *, count: int = 1) -> float:
    """Returns the minimum CPU time of several runs, in us per unit of work.

    Args:
        work: The function to run.
        count: The number of units of work that one run does.
    """
    best_s = min(_time_s(work) for _ in range(REPEATS))
    return best_s / count * 1e6


def _time_s(work: Callable[[], Any]) -> float:
    started_s = time.process_time()
    work()
    return time.process_time() - started_s


def count_bytes(make: Callable[[], Any]) -> int:
    """Returns the memory that a created object retains, in bytes."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    retained = make()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return after - before
