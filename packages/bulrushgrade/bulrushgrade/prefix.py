"""Which engines should have which prompt blocks in their caches."""

import collections

MAX_HOLDERS = 3
"""Engines looked at because they hold a prefix."""

MAX_INDEXED_BLOCKS = 60_000
"""Blocks remembered a pool, about 100 bytes each."""


class PrefixIndex:
    """Which endpoints should have which prompt blocks in their caches."""

    def __init__(self):
        self._holders: collections.OrderedDict[int, dict[str, None]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._holders)

    def add(self, prefix: tuple[int, ...], address: str) -> None:
        """Notes that an endpoint reads these blocks."""
        for block in prefix:
            holders = self._holders.setdefault(block, {})
            holders.pop(address, None)
            holders[address] = None
            self._holders.move_to_end(block)
        while len(self._holders) > MAX_INDEXED_BLOCKS:
            self._holders.popitem(last=False)

    def discard(self, block: int, address: str) -> None:
        """Notes that an endpoint has evicted a block."""
        self._holders.get(block, {}).pop(address, None)

    def find(self, prefix: tuple[int, ...]) -> dict[str, int]:
        """Returns how many leading blocks the best holders have.

        Who holds a block holds those before it, but for evictions not heard
        of, so the longest known part is found by halving, and holders of
        shorter parts at its quarters: a few look-ups for any length.
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
