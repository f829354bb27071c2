"""Chooses endpoints by prefix-cache affinity and predicted wait.

Each way to place a request gets a score in seconds: its own predicted time, the
delay that it causes to running answers, and by how much it misses its limits.
The smallest score wins, except for a random draw among near-equal scores.
"""

from collections.abc import Iterator
import enum
import random

import attrs

from bulrushgrade import admission
from bulrushgrade import load
from bulrushgrade import pool
from bulrushgrade import work

TIE_MARGIN_S = 0.02
TIE_MARGIN_FRACTION = 0.1
TIE_MARGIN_PREFILLS = 0.5
"""Scores within this margin of the best count as equal, as stale data can't
tell them apart; two of them are drawn and the better one is taken. A peer may
have sent a prefill as long as this one without having announced it yet, so the
margin grows with the length of the prompt. Without that term nine hosts sent
twenty prefills to one idle engine."""

MAX_PREFILL_BACKLOG_S = 1.0
"""Largest prefill backlog inside an engine. It keeps the engine busy between
two decisions and is short enough that the deadline order of this host's queue
still matters."""

KV_TRANSFER_S = 0.03
KV_TRANSFER_S_PER_TOKEN = 2e-6
"""Assumed time to move a KV cache between engines, as it is not measured yet.
"""

INTERFERENCE_WEIGHT = 0.3
"""Weight of the time that a prefill takes from answers that run on the same
engine."""

LATENESS_WEIGHT = 10.0
"""Weight of predicted lateness. An option that meets its deadlines wins over
one that doesn't, unless it delays others by many times as much."""

LATENESS_TOLERANCE_S = 0.3
"""Work with a larger predicted lateness is not placed: it would miss its
deadline and take engine time from work that can meet its own. A small lateness
is accepted, as predictions have errors."""

MAX_KV_FRACTION = 0.95
"""Fraction of the KV cache that is allocated: an engine that runs out evicts a
running answer and computes it again."""


@attrs.frozen(kw_only=True)
class PlacementRequest:
    """A request to place some work.

    Attributes:
        work: The work.
        short: Whether its prefill goes before long ones inside an engine.
        avoid: Addresses of endpoints to which it must not go.
        tokens_done: Tokens of the answer that were already generated.
    """

    work: work.Work
    short: bool
    avoid: frozenset[str] = frozenset()
    tokens_done: int = 0

    @property
    def answer_tokens(self) -> int:
        """Number of tokens that remain to be generated."""
        return max(0, self.work.output_tokens - self.tokens_done)


class BlockedReason(enum.Enum):
    """Why work can't be placed now."""

    NO_PREFILL_ROOM = "reading"
    NO_DECODE_ROOM = "answering"
    LATE = "late"


@attrs.frozen(kw_only=True)
class Option:
    """One way to place work, with its predicted times.

    Attributes:
        endpoint: Endpoint that prefills the prompt.
        decode: Endpoint that generates the answer; may be the same.
        uncached_tokens: Prompt tokens that have to be prefilled.
        ahead_tokens: Tokens to be prefilled before its first token, its own
            included.
        first_token_s: Predicted seconds to the first token.
        step_s: Predicted seconds between tokens.
        finish_s: Predicted seconds to the end of the answer.
        late_s: Predicted seconds by which it misses a deadline.
        score: Cost in seconds by which options are compared; smaller is better.
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
        """Returns the decision that corresponds to this option."""
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


def uncached_tokens(
    candidates: pool.Pool, item: work.Work, tokens_done: int
) -> int:
    """Returns the tokens to prefill where most of its prefix is cached."""
    hits = candidates.prefixes.find(item.prefix)
    cached = max(hits.values(), default=0) * work.BLOCK_TOKENS
    return max(0, item.prompt_tokens + tokens_done - cached)


def choose(
    candidates: pool.Pool,
    request: PlacementRequest,
    *,
    rng: random.Random,
    now: float,
) -> Option | BlockedReason:
    """Chooses the endpoints for some work.

    Args:
        candidates: The pool of endpoints that can do the work.
        request: The work and how far it has got.
        rng: Source of the draw among near-equal options.
        now: The current time.

    Returns:
        The best option, which may be late by up to `LATENESS_TOLERANCE_S`,
        or the reason why the work can't be placed now.
    """
    hits = candidates.prefixes.find(request.work.prefix)
    usable_prefillers = [
        prefiller
        for prefiller in _usable_endpoints(
            candidates.prefillers(request.work, hits), request, now
        )
        if _has_room(prefiller, request)
        and _accepts_prefill(candidates, prefiller, request)
    ]
    options = [
        option
        for prefiller in usable_prefillers
        for option in _options(candidates, request, prefiller, hits, now)
    ]
    if not options:
        return (
            BlockedReason.NO_DECODE_ROOM
            if usable_prefillers
            else BlockedReason.NO_PREFILL_ROOM
        )
    best = min(option.score for option in options)
    prefill_time_s = candidates.cost_model.prefill_s(request.work.prompt_tokens)
    limit = (
        best * (1.0 + TIE_MARGIN_FRACTION)
        + TIE_MARGIN_S
        + TIE_MARGIN_PREFILLS * prefill_time_s
    )
    near_best = [option for option in options if option.score <= limit]
    if len(near_best) > 2:
        near_best = rng.sample(near_best, 2)
    chosen = min(near_best, key=lambda option: option.score)
    if chosen.late_s > LATENESS_TOLERANCE_S:
        return BlockedReason.LATE
    return chosen


def record_placement(
    candidates: pool.Pool, item: work.Work, option: Option, now: float
) -> None:
    """Records the prefix as cached, and a probe of an ejected endpoint."""
    candidates.prefixes.add(item.prefix, option.endpoint.endpoint.address)
    for each in (option.endpoint, option.decode):
        if each.health.ejected_until is not None:
            each.health.start_probe(now)


def _options(
    candidates: pool.Pool,
    request: PlacementRequest,
    prefiller: load.EndpointLoad,
    hits: dict[str, int],
    now: float,
) -> Iterator[Option]:
    if not request.work.model:
        yield _plain_option(candidates, prefiller)
        return
    cached = hits.get(prefiller.endpoint.address, 0) * work.BLOCK_TOKENS
    input_tokens = request.work.prompt_tokens + request.tokens_done
    uncached = max(float(input_tokens - cached), 1.0)
    # As with prefill in `Pool.prefillers`: when no decode engine is left, the
    # prefill engine generates the answer too.
    no_decoders = not candidates.has_decoders
    if no_decoders or prefiller.endpoint.role is not work.Role.PREFILL:
        yield _engine_option(
            candidates, request, prefiller, prefiller, uncached, now
        )
    if not prefiller.endpoint.moves_kv:
        return
    for decoder in _usable_endpoints(candidates.decoders(), request, now):
        can_import = decoder is not prefiller and decoder.endpoint.moves_kv
        if can_import and _has_room(decoder, request):
            yield _engine_option(
                candidates, request, prefiller, decoder, uncached, now
            )


def _plain_option(candidates: pool.Pool, endpoint: load.EndpointLoad) -> Option:
    finish = candidates.cost_model.plain_s * endpoint.first_token_ratio
    saturation = endpoint.total.running / max(1, endpoint.endpoint.slots)
    return Option(
        endpoint=endpoint,
        decode=endpoint,
        uncached_tokens=0.0,
        ahead_tokens=0.0,
        first_token_s=finish,
        step_s=0.0,
        finish_s=finish,
        score=finish * (1.0 + saturation),
    )


def _engine_option(
    candidates: pool.Pool,
    request: PlacementRequest,
    prefiller: load.EndpointLoad,
    decoder: load.EndpointLoad,
    uncached: float,
    now: float,
) -> Option:
    model, item = candidates.cost_model, request.work
    ahead = _backlog_tokens(prefiller, request) + uncached
    first = model.first_token_s(ahead) * prefiller.first_token_ratio
    interference = 0.0
    if prefiller.endpoint.role is work.Role.MIXED:
        prefill_time_s = model.prefill_s(uncached) * prefiller.first_token_ratio
        interference = (
            INTERFERENCE_WEIGHT * prefill_time_s * prefiller.total.running
        )
    if decoder is not prefiller:
        first += KV_TRANSFER_S + KV_TRANSFER_S_PER_TOKEN * item.prompt_tokens
    step = model.step_s(decoder.total.running + 1) * decoder.step_ratio
    finish = first + request.answer_tokens * step
    limit = item.between_tokens_s
    step_excess = max(0.0, step / limit - 1.0) if limit else 0.0
    late = max(0.0, admission.lateness_s(item, first, finish, now))
    return Option(
        endpoint=prefiller,
        decode=decoder,
        uncached_tokens=uncached,
        ahead_tokens=ahead,
        first_token_s=first,
        step_s=step,
        finish_s=finish,
        late_s=late,
        score=finish + interference + LATENESS_WEIGHT * (step_excess + late),
    )


def _backlog_tokens(
    prefiller: load.EndpointLoad, request: PlacementRequest
) -> float:
    total = prefiller.total
    return total.short_tokens if request.short else total.prefill_tokens


def _usable_endpoints(
    items: list[load.EndpointLoad], request: PlacementRequest, now: float
) -> list[load.EndpointLoad]:
    """Returns the allowed endpoints that are not ejected.

    Where all of them are ejected, all are returned: a request that failed at
    one endpoint of two has a better chance at the other, although that was slow
    or failed a while ago, than without any attempt.
    """
    allowed = [
        item for item in items if item.endpoint.address not in request.avoid
    ]
    return [item for item in allowed if item.placeable(now)] or allowed


def _has_room(item: load.EndpointLoad, request: PlacementRequest) -> bool:
    if not item.limit.admits(item.total.running):
        return False
    capacity, held = item.kv_capacity_tokens, item.total.kv_tokens
    need = request.work.prompt_tokens + request.work.output_tokens
    return not capacity or not held or held + need <= MAX_KV_FRACTION * capacity


def _accepts_prefill(
    candidates: pool.Pool,
    prefiller: load.EndpointLoad,
    request: PlacementRequest,
) -> bool:
    waiting_s = candidates.cost_model.prefill_s(
        _backlog_tokens(prefiller, request)
    )
    return waiting_s * prefiller.first_token_ratio <= MAX_PREFILL_BACKLOG_S
