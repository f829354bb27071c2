"""Rendezvous hashing: everyone with the same set of names ranks them alike."""

from collections.abc import Callable
from collections.abc import Iterable
import heapq

import xxhash


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns names in order of their responsibility for a key."""
    return sorted(names, key=_score_by(key), reverse=True)


def pick(key: str, names: Iterable[str], count: int) -> list[str]:
    """Returns the names with the highest ranks for a key.

    Args:
        key: The key.
        names: All known names.
        count: Maximum number of names to return.
    """
    return heapq.nlargest(count, names, key=_score_by(key))


def _score_by(key: str) -> Callable[[str], tuple[int, str]]:
    def score(name: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{key}/{name}".encode()), name

    return score
