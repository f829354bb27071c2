"""Where work goes: prompt-prefix affinity against predicted wait.

Each way to place a piece of work gets a score in seconds: its own predicted
time, what it takes from answers beside it, and by how much it misses its
limits. The smallest score wins, but for a draw among near-equals.
"""

from collections.abc import Iterator
import enum
import random

import attrs

from bulrushgrade import admission
from bulrushgrade import load
from bulrushgrade import pool
from bulrushgrade import work

NEAR_S = 0.02
NEAR_PART = 0.1
NEAR_READINGS = 0.5
"""Predictions this near to the best are equal, as far as stale data can
tell; two of them are drawn and the better taken. What a message from a peer
may not have told yet is a reading like this one, so for a long reading more
is equal. Without it nine hosts sent twenty readings to one idle engine."""

PREFILL_AHEAD_S = 1.0
"""Reading that may wait inside an engine: enough to keep it busy between two
decisions, and little enough that the order of deadlines here still counts."""

TRANSFER_S = 0.03
TRANSFER_S_PER_TOKEN = 2e-6
"""Moving a KV cache from engine to engine, until measured."""

HARM = 0.3
"""Weight of the time that reading takes from answers that run beside it."""

LATE_WEIGHT = 10.0
"""Weight of predicted lateness: an option in time goes before any that is
not, unless it costs others many times as much."""

LATE_TOLERANCE_S = 0.3
"""Predicted lateness at which work is not placed: it would end late and take
the time of work that can be in time. A little is borne, as predictions err."""

KV_PART = 0.95
"""Part of the KV cache that is given out: an engine that runs out evicts a
running answer and computes it again."""


@attrs.frozen(kw_only=True)
class PlacementRequest:
    """What is to be placed.

    Attributes:
        work: The work.
        short: Whether it goes before long readings inside an engine.
        avoid: Endpoints that it must not go to.
        tokens_done: Tokens of its answer that are already there.
    """

    work: work.Work
    short: bool
    avoid: frozenset[str] = frozenset()
    tokens_done: int = 0

    @property
    def answer_tokens(self) -> int:
        """Tokens that are still to be generated."""
        return max(0, self.work.output_tokens - self.tokens_done)


class BlockedReason(enum.Enum):
    """What there is no room for."""

    NO_PREFILL_ROOM = "reading"
    NO_DECODE_ROOM = "answering"
    LATE = "late"


@attrs.frozen(kw_only=True)
class Option:
    """One way to place work, with its predicted times.

    Attributes:
        endpoint: Where the prompt is read.
        decode: Where the answer is generated; the same or another.
        uncached_tokens: Prompt tokens that have to be read.
        ahead_tokens: Tokens read before its answer, its own included.
        first_token_s: Predicted seconds to the first token.
        step_s: Predicted seconds between tokens.
        finish_s: Predicted seconds to the end.
        late_s: By how many seconds it is predicted to miss a deadline.
        score: What is compared; smaller is better.
    """

    endpoint: load.EndpointLoad
    decode: load.EndpointLoad
    uncached_tokens: float
    ahead_tokens: float
    first_token_s: float
    step_s: float
    finish_s: float
    late_s: float = 0.0
    score: float

    def to_placed(
        self, item: work.Work, tokens_done: int, priority: int
    ) -> work.Placed:
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
            priority=priority,
        )


def uncached_tokens(among: pool.Pool, item: work.Work, tokens_done: int) -> int:
    """Returns what the best holder of its prefix would have to read."""
    hits = among.prefixes.find(item.prefix)
    cached = max(hits.values(), default=0) * work.BLOCK_TOKENS
    return max(0, item.prompt_tokens + tokens_done - cached)


def choose(
    among: pool.Pool, ask: PlacementRequest, *, rng: random.Random, now: float
) -> Option | BlockedReason:
    """Picks where work goes.

    Args:
        among: The endpoints that can do it.
        ask: The work.
        rng: Draws among near-equals.
        now: The present time.

    Returns:
        The best option, which may still be late, or what there is no room
        for while every endpoint is full or out.
    """
    hits = among.prefixes.find(ask.work.prefix)
    readers = [
        reader
        for reader in _healthy(among.prefillers(ask.work, hits), ask, now)
        if _has_room(reader, ask) and _may_read(among, reader, ask)
    ]
    options = [
        option
        for reader in readers
        for option in _options(among, ask, reader, hits, now)
    ]
    if not options:
        return (
            BlockedReason.NO_DECODE_ROOM
            if readers
            else BlockedReason.NO_PREFILL_ROOM
        )
    best = min(option.score for option in options)
    reading_s = among.cost_model.prefill_s(ask.work.prompt_tokens)
    limit = best * (1.0 + NEAR_PART) + NEAR_S + NEAR_READINGS * reading_s
    near = [option for option in options if option.score <= limit]
    if len(near) > 2:
        near = rng.sample(near, 2)
    chosen = min(near, key=lambda option: option.score)
    if chosen.late_s > LATE_TOLERANCE_S:
        return BlockedReason.LATE
    return chosen


def record_placement(
    among: pool.Pool, item: work.Work, option: Option, now: float
) -> None:
    """Notes what an endpoint will have cached, and a probe's start."""
    among.prefixes.add(item.prefix, option.endpoint.endpoint.address)
    for each in (option.endpoint, option.decode):
        if each.health.ejected_until is not None:
            each.health.start_probe(now)


def _options(
    among: pool.Pool,
    ask: PlacementRequest,
    reader: load.EndpointLoad,
    hits: dict[str, int],
    now: float,
) -> Iterator[Option]:
    if not ask.work.model:
        yield _plain(among, reader)
        return
    cached = hits.get(reader.endpoint.address, 0) * work.BLOCK_TOKENS
    reading = ask.work.prompt_tokens + ask.tokens_done
    uncached = max(float(reading - cached), 1.0)
    # As for reading: with no engine for answers left, the reader goes on.
    alone = not among.has_decoders
    if alone or reader.endpoint.role is not work.Role.PREFILL:
        yield _predict(among, ask, reader, reader, uncached, now)
    if not reader.endpoint.moves_kv:
        return
    for decoder in _healthy(among.decoders(), ask, now):
        moves = decoder is not reader and decoder.endpoint.moves_kv
        if moves and _has_room(decoder, ask):
            yield _predict(among, ask, reader, decoder, uncached, now)


def _plain(among: pool.Pool, endpoint: load.EndpointLoad) -> Option:
    finish = among.cost_model.plain_s * endpoint.first_token_ratio
    crowd = endpoint.total.running / max(1, endpoint.endpoint.slots)
    return Option(
        endpoint=endpoint,
        decode=endpoint,
        uncached_tokens=0.0,
        ahead_tokens=0.0,
        first_token_s=finish,
        step_s=0.0,
        finish_s=finish,
        score=finish * (1.0 + crowd),
    )


def _predict(
    among: pool.Pool,
    ask: PlacementRequest,
    reader: load.EndpointLoad,
    decoder: load.EndpointLoad,
    uncached: float,
    now: float,
) -> Option:
    model, item = among.cost_model, ask.work
    ahead = _backlog(reader, ask) + uncached
    first = model.first_token_s(ahead) * reader.first_token_ratio
    harm = 0.0
    if reader.endpoint.role is work.Role.MIXED:
        reading_s = model.prefill_s(uncached) * reader.first_token_ratio
        harm = HARM * reading_s * reader.total.running
    if decoder is not reader:
        first += TRANSFER_S + TRANSFER_S_PER_TOKEN * item.prompt_tokens
    step = model.step_s(decoder.total.running + 1) * decoder.step_ratio
    finish = first + ask.answer_tokens * step
    limit = item.between_tokens_s
    over = max(0.0, step / limit - 1.0) if limit else 0.0
    late = max(0.0, admission.lateness_s(item, first, finish, now))
    return Option(
        endpoint=reader,
        decode=decoder,
        uncached_tokens=uncached,
        ahead_tokens=ahead,
        first_token_s=first,
        step_s=step,
        finish_s=finish,
        late_s=late,
        score=finish + harm + LATE_WEIGHT * (over + late),
    )


def _backlog(reader: load.EndpointLoad, ask: PlacementRequest) -> float:
    total = reader.total
    return total.short_tokens if ask.short else total.prefill_tokens


def _healthy(
    items: list[load.EndpointLoad], ask: PlacementRequest, now: float
) -> list[load.EndpointLoad]:
    """Returns those that are not to be avoided, and not ejected.

    Where all of them are ejected, all are tried: a request that has failed
    at one endpoint of two is better tried at the other, which was slow or
    failed a while ago, than not at all.
    """
    allowed = [item for item in items if item.endpoint.address not in ask.avoid]
    return [item for item in allowed if item.placeable(now)] or allowed


def _has_room(item: load.EndpointLoad, ask: PlacementRequest) -> bool:
    if not item.limit.admits(item.total.running):
        return False
    capacity, held = item.kv_capacity_tokens, item.total.kv_tokens
    need = ask.work.prompt_tokens + ask.work.output_tokens
    return not capacity or not held or held + need <= KV_PART * capacity


def _may_read(
    among: pool.Pool, reader: load.EndpointLoad, ask: PlacementRequest
) -> bool:
    waiting_s = among.cost_model.prefill_s(_backlog(reader, ask))
    return waiting_s * reader.first_token_ratio <= PREFILL_AHEAD_S
