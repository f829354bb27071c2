"""The endpoints that can do the same work, ordered by load.

The orders are kept sorted and one placement looks at few candidates, so that
its cost grows with the logarithm of the number of endpoints.
"""

import bisect
import random

import sortedcontainers
import xxhash

from bulrushgrade import cost
from bulrushgrade import ejection
from bulrushgrade import load
from bulrushgrade import prefix
from bulrushgrade import work

MAX_LEAST_LOADED = 4
"""Number of least loaded engines among the candidates of one placement."""

LEAST_LOADED_DIVISOR = 4
"""One in this many endpoints counts as least loaded, and candidates are drawn
from those. Many hosts see the same order on stale data: if all took its first
endpoint, that one would be overloaded."""

POINTS_PER_ENDPOINT = 16
"""Number of points of each endpoint on the consistent-hashing ring."""


class Pool:
    """The endpoints that can do the same work."""

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self.loads: dict[str, load.EndpointLoad] = {}
        self.cost_model = cost.CostModel()
        self.prefixes = prefix.PrefixIndex()
        self._sort_keys: dict[str, tuple[float, float]] = {}
        self._by_prefill_load = sortedcontainers.SortedList()
        self._by_decode_load = sortedcontainers.SortedList()
        self._ring: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self.loads)

    def put(self, item: load.EndpointLoad) -> None:
        """Adds an endpoint, or updates it after its description changed."""
        address = item.endpoint.address
        if address not in self.loads:
            for point in range(POINTS_PER_ENDPOINT):
                seed = f"{address}/{point}".encode()
                bisect.insort(
                    self._ring, (xxhash.xxh3_64_intdigest(seed), address)
                )
        self.loads[address] = item
        self.refresh(address)

    def drop(self, address: str) -> None:
        """Removes an endpoint."""
        self._remove_from_orders(address)
        del self.loads[address]
        self._ring = [point for point in self._ring if point[1] != address]

    def refresh(self, address: str) -> None:
        """Updates an endpoint's place in the orders after its load changed."""
        self._remove_from_orders(address)
        item = self.loads[address]
        if item.endpoint.state is not work.EndpointState.SERVING:
            return
        total = item.total
        prefill_load = (
            total.prefill_tokens * item.first_token_ratio + total.running
        )
        running = (total.running + 1.0) * item.step_ratio
        self._sort_keys[address] = (prefill_load, running)
        if item.endpoint.role is not work.Role.DECODE:
            self._by_prefill_load.add((prefill_load, address))
        if item.endpoint.role is not work.Role.PREFILL:
            self._by_decode_load.add((running, address))

    def serving(self) -> int:
        """Returns the number of serving endpoints."""
        return len(self._sort_keys)

    @property
    def has_decoders(self) -> bool:
        """Whether an engine that generates answers is serving."""
        return bool(self._by_decode_load)

    @property
    def step_ratio(self) -> float:
        """Observed to predicted time between tokens, at the fastest engine.

        At least 1: a fast engine may still have no capacity left.
        """
        ratios = (self.loads[a].step_ratio for _, a in self._by_decode_load)
        return max(1.0, min(ratios, default=1.0))

    def cohort(self, role: work.Role) -> list[ejection.Health]:
        """Returns the health of all serving endpoints with this role."""
        return [
            self.loads[address].health
            for address in self._sort_keys
            if self.loads[address].endpoint.role is role
        ]

    def uncached_tokens(self, item: work.Work, tokens_done: int) -> int:
        """Returns the tokens to prefill where most of its prefix is cached."""
        hits = self.prefixes.find(item.prefix)
        cached = max(hits.values(), default=0) * work.BLOCK_TOKENS
        return max(0, item.prompt_tokens + tokens_done - cached)

    def prefillers(
        self, item: work.Work, hits: dict[str, int]
    ) -> list[load.EndpointLoad]:
        """Returns the candidates for the prefill of a prompt.

        They are the endpoints that have cached its prefix, the endpoint to
        which consistent hashing maps the prefix on every host, and some of the
        least loaded ones.

        Args:
            item: The work.
            hits: Number of leading blocks of its prefix by endpoint.
        """
        # A role is what an engine does best, not all that it can do. When every
        # prefill engine is lost, slow answers are better than none.
        if not self._by_prefill_load:
            return self.decoders()
        found = dict.fromkeys(a for a in hits if a in self.loads)
        if item.prefix and self._ring:
            index = bisect.bisect(self._ring, (item.prefix[0], ""))
            found[self._ring[index % len(self._ring)][1]] = None
        found.update(dict.fromkeys(self._sample(self._by_prefill_load)))
        return [
            self.loads[address]
            for address in found
            if self.loads[address].endpoint.role is not work.Role.DECODE
        ]

    def decoders(self) -> list[load.EndpointLoad]:
        """Returns the candidates for generating the answer after a prefill."""
        return [self.loads[a] for a in self._sample(self._by_decode_load)]

    def _sample(self, order) -> list[str]:
        part = min(
            len(order),
            max(MAX_LEAST_LOADED, len(order) // LEAST_LOADED_DIVISOR),
        )
        if part <= MAX_LEAST_LOADED:
            return [address for _, address in order[:part]]
        picked = self._rng.sample(range(part), MAX_LEAST_LOADED)
        return [order[index][1] for index in picked]

    def _remove_from_orders(self, address: str) -> None:
        keys = self._sort_keys.pop(address, None)
        if keys is not None:
            self._by_prefill_load.discard((keys[0], address))
            self._by_decode_load.discard((keys[1], address))
