"""Where work goes: prompt-prefix affinity against predicted wait.

Candidates are the engines that hold the longest part of the prompt, the one
that all hosts agree on for a prompt that nobody has seen, and a few of the
least loaded. Their number is bounded, and the orders are kept sorted, so that
a placement costs the logarithm of the number of endpoints.
"""

import bisect
import collections
import random

import attrs
import sortedcontainers
import xxhash

from bulrushgrade import admission
from bulrushgrade import cost
from bulrushgrade import ejection
from bulrushgrade import load
from bulrushgrade import work

MAX_HOLDERS = 3
"""Engines looked at because they hold a prefix."""

SAMPLES = 4
"""Least loaded engines looked at, drawn from `POOL_PART` of them."""

POOL_PART = 4
"""One in so many endpoints counts as least loaded. Many hosts see the same
order on stale data: if all took its first, they would herd onto it."""

NEAR_S = 0.02
NEAR_PART = 0.1
"""Predictions this near to the best are equal, as far as stale data can
tell; two of them are drawn and the better taken."""

PREFIX_LIMIT = 60_000
"""Blocks remembered a pool, about 100 bytes each."""

PREFILL_AHEAD_S = 0.6
"""Reading that may wait inside an engine: enough to keep it busy between two
decisions, and little enough that the order of deadlines here still counts."""

TRANSFER_S = 0.03
TRANSFER_S_PER_TOKEN = 2e-6
"""Moving a KV cache from engine to engine, until measured."""

RING_POINTS = 16
"""Points of each endpoint on the hash ring."""

HARM = 0.3
"""Weight of the time that reading takes from answers that run beside it."""

KV_PART = 0.95
"""Part of the KV cache that is given out: an engine that runs out evicts a
running answer and computes it again."""


@attrs.frozen(kw_only=True)
class Option:
    """One way to place work, with its predicted times.

    Attributes:
        endpoint: Where the prompt is read.
        decode: Where the answer is generated; the same or another.
        uncached_tokens: Prompt tokens that have to be read.
        first_token_s: Predicted seconds to the first token.
        step_s: Predicted seconds between tokens.
        finish_s: Predicted seconds to the end.
        score: What is compared; smaller is better.
    """

    endpoint: load.EndpointLoad
    decode: load.EndpointLoad
    uncached_tokens: float
    first_token_s: float
    step_s: float
    finish_s: float
    score: float

    def placed(self, item: work.Work, tokens_done: int) -> work.Placed:
        """Returns the decision that tells of this option."""
        split = self.decode is not self.endpoint
        cached = item.prompt_tokens + tokens_done - self.uncached_tokens
        return work.Placed(
            request_id=item.request_id,
            endpoint=self.endpoint.endpoint.address,
            decode_endpoint=self.decode.endpoint.address if split else None,
            first_token_s=self.first_token_s,
            finish_s=self.finish_s,
            cached_tokens=max(0, round(cached)),
        )


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
        while len(self._holders) > PREFIX_LIMIT:
            self._holders.popitem(last=False)

    def discard(self, block: int, address: str) -> None:
        """Notes that an endpoint has evicted a block."""
        self._holders.get(block, {}).pop(address, None)

    def find(self, prefix: tuple[int, ...]) -> dict[str, int]:
        """Returns how many leading blocks the best holders have."""
        found: dict[str, int] = {}
        for index in range(len(prefix) - 1, -1, -1):
            for address in reversed(self._holders.get(prefix[index], {})):
                found.setdefault(address, index + 1)
                if len(found) >= MAX_HOLDERS:
                    return found
        return found


class Pool:
    """The endpoints that can do the same work."""

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self.loads: dict[str, load.EndpointLoad] = {}
        self.model = cost.CostModel()
        self.prefixes = PrefixIndex()
        self._keys: dict[str, tuple[float, float]] = {}
        self._readers = sortedcontainers.SortedList()
        self._decoders = sortedcontainers.SortedList()
        self._ring: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self.loads)

    def put(self, item: load.EndpointLoad) -> None:
        """Adds an endpoint or takes in that its description changed."""
        address = item.endpoint.address
        if address not in self.loads:
            for point in range(RING_POINTS):
                seed = f"{address}/{point}".encode()
                bisect.insort(
                    self._ring, (xxhash.xxh3_64_intdigest(seed), address)
                )
        self.loads[address] = item
        self.refresh(address)

    def drop(self, address: str) -> None:
        """Takes an endpoint out."""
        self._unsort(address)
        del self.loads[address]
        self._ring = [point for point in self._ring if point[1] != address]

    def refresh(self, address: str) -> None:
        """Sorts an endpoint anew after its load changed."""
        self._unsort(address)
        item = self.loads[address]
        if item.endpoint.state is not work.EndpointState.SERVING:
            return
        total = item.total
        reading = total.prefill_tokens * item.first_ratio + total.running
        running = (total.running + 1.0) * item.step_ratio
        self._keys[address] = (reading, running)
        if item.endpoint.role is not work.Role.DECODE:
            self._readers.add((reading, address))
        if item.endpoint.role is not work.Role.PREFILL:
            self._decoders.add((running, address))

    def serving(self) -> int:
        """Returns how many endpoints are in service."""
        return len(self._keys)

    def fellows(self, role: work.Role) -> list[ejection.Health]:
        """Returns the health of all endpoints in service with this role."""
        return [
            item.health
            for item in self.loads.values()
            if item.endpoint.role is role
            and item.endpoint.state is work.EndpointState.SERVING
        ]

    def uncached_tokens(self, item: work.Work, tokens_done: int) -> int:
        """Returns what the best holder of its prefix would have to read."""
        hits = self.prefixes.find(item.prefix)
        cached = max(hits.values(), default=0) * work.BLOCK_TOKENS
        return max(0, item.prompt_tokens + tokens_done - cached)

    def note_placed(self, item: work.Work, option: Option, now: float) -> None:
        """Notes what an endpoint will have cached, and a probe's start."""
        self.prefixes.add(item.prefix, option.endpoint.endpoint.address)
        for each in (option.endpoint, option.decode):
            if each.health.ejected_until is not None:
                each.health.start_probe(now)

    def choose(
        self,
        item: work.Work,
        *,
        avoid: frozenset[str] = frozenset(),
        tokens_done: int = 0,
        now: float,
    ) -> Option | None:
        """Picks where work goes.

        Args:
            item: The work.
            avoid: Endpoints that it must not go to.
            tokens_done: Tokens of its answer that are already there.
            now: The present time.

        Returns:
            The best option, which may still be late, or None while every
            endpoint is full or out.
        """
        hits = self.prefixes.find(item.prefix)
        options = [
            option
            for address in self._reader_candidates(item, hits)
            if address not in avoid
            for option in self._options(
                item, self.loads[address], hits, avoid, tokens_done, now
            )
        ]
        if not options:
            return None
        best = min(option.score for option in options)
        near = [
            option
            for option in options
            if option.score <= best * (1.0 + NEAR_PART) + NEAR_S
        ]
        if len(near) > 2:
            near = self._rng.sample(near, 2)
        return min(near, key=lambda option: option.score)

    def _options(self, item, reader, hits, avoid, tokens_done, now):
        if not reader.placeable(now) or not self._has_room(reader, item):
            return
        cached = hits.get(reader.endpoint.address, 0) * work.BLOCK_TOKENS
        reading = item.prompt_tokens + tokens_done
        uncached = max(float(reading - cached), 0.0 if not reading else 1.0)
        if not self._may_read(reader):
            return
        answer = max(0, item.output_tokens - tokens_done)
        if reader.endpoint.role is not work.Role.PREFILL:
            yield self._predict(item, reader, reader, uncached, answer, now)
        if not item.model or not reader.endpoint.moves_kv:
            return
        for address in self._sample(self._decoders):
            decoder = self.loads[address]
            if (
                decoder is not reader
                and address not in avoid
                and decoder.endpoint.moves_kv
                and decoder.placeable(now)
                and self._has_room(decoder, item)
            ):
                yield self._predict(
                    item, reader, decoder, uncached, answer, now
                )

    def _predict(self, item, reader, decoder, uncached, answer, now):
        if not item.model:
            ratio = reader.first_ratio
            finish = self.model.plain_s * ratio
            crowd = reader.total.running / max(1, reader.endpoint.slots)
            score = finish * (1.0 + crowd)
            return Option(
                endpoint=reader, decode=reader, uncached_tokens=0.0,
                first_token_s=finish, step_s=0.0, finish_s=finish, score=score,
            )  # fmt: skip
        ahead = reader.total.prefill_tokens + uncached
        first = self.model.first_token_s(ahead) * reader.first_ratio
        reading_s = self.model.prefill_s(uncached) * reader.first_ratio
        harm = 0.0
        if reader.endpoint.role is work.Role.MIXED:
            harm = HARM * reading_s * reader.total.running
        if decoder is not reader:
            first += TRANSFER_S + TRANSFER_S_PER_TOKEN * item.prompt_tokens
        step = self.model.step_s(decoder.total.running + 1) * decoder.step_ratio
        finish = first + answer * step
        limit = item.between_tokens_s
        over = max(0.0, step / limit - 1.0) if limit else 0.0
        late = admission.late_by_s(item, first, finish, now)
        score = finish + harm + 10.0 * over + 10.0 * max(0.0, late)
        return Option(
            endpoint=reader, decode=decoder, uncached_tokens=uncached,
            first_token_s=first, step_s=step, finish_s=finish, score=score,
        )  # fmt: skip

    def _has_room(self, item: load.EndpointLoad, new: work.Work) -> bool:
        if not item.limit.admits(item.total.running):
            return False
        capacity = item.kv_capacity_tokens
        need = new.prompt_tokens + new.output_tokens
        held = item.total.kv_tokens
        return not capacity or not held or held + need <= KV_PART * capacity

    def _may_read(self, item: load.EndpointLoad) -> bool:
        waiting = item.total.prefill_tokens
        return self.model.prefill_s(waiting) * item.first_ratio <= (
            PREFILL_AHEAD_S
        )

    def _reader_candidates(self, item, hits):
        found = dict.fromkeys(a for a in hits if a in self.loads)
        if item.prefix and self._ring:
            index = bisect.bisect(self._ring, (item.prefix[0], ""))
            found[self._ring[index % len(self._ring)][1]] = None
        found.update(dict.fromkeys(self._sample(self._readers)))
        return [
            address
            for address in found
            if self.loads[address].endpoint.role is not work.Role.DECODE
        ]

    def _sample(self, order) -> list[str]:
        part = min(len(order), max(SAMPLES, len(order) // POOL_PART))
        if part <= SAMPLES:
            return [address for _, address in order[:part]]
        picked = self._rng.sample(range(part), SAMPLES)
        return [order[index][1] for index in picked]

    def _unsort(self, address: str) -> None:
        keys = self._keys.pop(address, None)
        if keys is not None:
            self._readers.discard((keys[0], address))
            self._decoders.discard((keys[1], address))
