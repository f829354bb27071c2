"""An index of the prompt blocks that endpoints are expected to have cached."""

import collections

MAX_HOLDERS = 3
"""Largest number of endpoints returned by `PrefixIndex.find`."""

MAX_INDEXED_BLOCKS = 60_000
"""Largest number of blocks in a pool's index, about 100 bytes each."""


class PrefixIndex:
    """An index of prompt blocks by endpoint, limited as an LRU cache."""

    def __init__(self):
        self._holders: collections.OrderedDict[int, dict[str, None]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._holders)

    def add(self, prefix: tuple[int, ...], address: str) -> None:
        """Adds blocks that an endpoint prefills."""
        for block in prefix:
            holders = self._holders.setdefault(block, {})
            holders.pop(address, None)
            holders[address] = None
            self._holders.move_to_end(block)
        while len(self._holders) > MAX_INDEXED_BLOCKS:
            self._holders.popitem(last=False)

    def discard(self, block: int, address: str) -> None:
        """Removes a block that an endpoint has evicted."""
        self._holders.get(block, {}).pop(address, None)

    def find(self, prefix: tuple[int, ...]) -> dict[str, int]:
        """Returns the number of leading blocks that the best endpoints hold.

        An endpoint that holds a block also holds those before it, apart from
        evictions that were not reported. So the longest known prefix is found
        by binary search, and holders of shorter prefixes at quarters of its
        length: a few look-ups for any length.
        """
        known, unknown = 0, len(prefix) + 1
        while unknown - known > 1:
            middle = (known + unknown) // 2
            if self._holders.get(prefix[middle - 1]):
                known = middle
            else:
                unknown = middle
        found: dict[str, int] = {}
        for count in (known, known * 3 // 4, known // 2, known // 4, 1):
            if not 0 < count <= known:
                continue
            for address in reversed(self._holders.get(prefix[count - 1], {})):
                found.setdefault(address, count)
                if len(found) >= MAX_HOLDERS:
                    return found
        return found
