"""Slopes: measured points and the line through them."""

from collections.abc import Callable
import gc
import time
import tracemalloc
from typing import Any

import attrs

REPEATS = 5


@attrs.frozen(kw_only=True)
class Slope:
    """Measured points of one cost.

    Attributes:
        name: What was measured.
        unit: Of the rise, such as ``bytes an entry``.
        points: Pairs of a size and the cost at that size.
    """

    name: str
    unit: str
    points: tuple[tuple[float, float], ...]


def fit(points: tuple[tuple[float, float], ...]) -> tuple[float, float]:
    """Returns base and rise of the line of least squares."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squares = sum((x - mean_x) ** 2 for x, _ in points)
    rate = sum((x - mean_x) * (y - mean_y) for x, y in points) / squares
    return mean_y - rate * mean_x, rate


def time_us(work: Callable[[], Any], *, count: int = 1) -> float:
    """Returns the least processor time of some runs, in us a unit of work.

    Args:
        work: What is run.
        count: How many units one run does.
    """
    best_s = min(_time_s(work) for _ in range(REPEATS))
    return best_s / count * 1e6


def _time_s(work: Callable[[], Any]) -> float:
    started_s = time.process_time()
    work()
    return time.process_time() - started_s


def count_bytes(make: Callable[[], Any]) -> int:
    """Returns the memory that a made object keeps, in bytes."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    retained = make()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return after - before
