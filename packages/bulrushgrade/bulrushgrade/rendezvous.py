"""Rendezvous hashing: all that know the same names rank them alike."""

from collections.abc import Callable
from collections.abc import Iterable
import heapq

import xxhash


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns names in the order in which they are responsible for a key."""
    return sorted(names, key=_score_by(key), reverse=True)


def pick(key: str, names: Iterable[str], count: int) -> list[str]:
    """Returns the first names for a key.

    Args:
        key: What they are to be responsible for.
        names: All that are known.
        count: How many are picked at most.
    """
    return heapq.nlargest(count, names, key=_score_by(key))


def _score_by(key: str) -> Callable[[str], tuple[int, str]]:
    def score(name: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{key}/{name}".encode()), name

    return score
