"""Requests in progress at endpoints, and learning from their timing."""

import attrs

from bulrushgrade import lane
from bulrushgrade import load
from bulrushgrade import placement
from bulrushgrade import pool
from bulrushgrade import work

LATE_START_FACTOR = 2.0
LATE_START_S = 0.3
"""A wait for the first token of this many times the prediction, and of at least
this many seconds, counts as queueing inside the engine. A shorter one is within
the error of the prediction."""

MAX_BACKLOG_FRACTION = 0.1
"""Prefill speed is learned only from requests whose prompt met a backlog of at
most this fraction of it. The backlog of an engine is known from old messages: a
line through such points is too flat (errors in x), and prefill looks three
times as cheap as it is."""

PEER_MESSAGE_DELAY_S = 0.5
"""Delay after which peers' messages about an earlier time have arrived."""

RATIO_SMOOTHING = 0.1
"""Smoothing factor of one answer in an endpoint's speed: it follows a change
within about ten answers, while a single outlier changes it little."""

MIN_PACE_INTERVAL_S = 0.5
"""Minimum time between two measurements of an answer's pace. A longer one
delays the refusal of queued work that can't be in time."""

MAX_RATIO = 20.0
"""Upper bound of a ratio, so that one stalled answer doesn't dominate."""


@attrs.define(kw_only=True, eq=False)
class Progress:
    """A request in progress at an endpoint.

    Attributes:
        item: The request as it was queued.
        pool: The pool that it was placed in.
        option: The option by which it was placed.
        placed_at: Time of the placement.
        ahead_tokens: Tokens to be prefilled before its first token, its own
            included.
        running: Requests at its decode endpoint, this one included.
        prefill_load: Load on its endpoint until the prefill has ended.
        decode_load: Load on its decode endpoint until its end.
        is_prefilled: Whether the prefill has ended.
        prefill_took_s: Seconds from the placement to the end of the prefill.
        first_at: Time of its first token.
        tokens: Number of tokens so far.
        pace_measured_at: Time of the last measurement of its pace.
        pace_measured_tokens: Number of tokens at that time.
    """

    item: lane.QueuedWork
    pool: pool.Pool
    option: placement.Option
    placed_at: float
    ahead_tokens: float
    running: float
    prefill_load: load.Amount
    decode_load: load.Amount
    is_prefilled: bool = False
    prefill_took_s: float | None = None
    first_at: float | None = None
    tokens: int = 0
    pace_measured_at: float = 0.0
    pace_measured_tokens: int = 0


def start(
    item: lane.QueuedWork,
    pool: pool.Pool,
    option: placement.Option,
    now: float,
) -> Progress:
    """Returns the state of a request that is placed now; adds no load."""
    split = option.decode is not option.endpoint
    prompt = float(item.work.prompt_tokens)
    tokens = option.uncached_tokens
    prefill_load = load.Amount(
        1.0 if split else 0.0,
        tokens,
        prompt if split else 0.0,
        tokens if item.lane is lane.LaneName.SHORT else 0.0,
    )
    return Progress(
        item=item,
        pool=pool,
        option=option,
        placed_at=now,
        ahead_tokens=option.ahead_tokens,
        running=option.decode.total.running + 1.0,
        prefill_load=prefill_load,
        decode_load=load.Amount(1.0, 0.0, prompt + item.work.output_tokens),
    )


def learn_first_token(progress: Progress, now: float) -> None:
    """Learns from the time that a prefill took."""
    if not progress.item.work.model:
        return
    prefiller = progress.option.endpoint
    model = progress.pool.cost_model
    elapsed_s = now - progress.placed_at
    predicted = model.first_token_s(progress.ahead_tokens)
    progress.prefill_took_s = elapsed_s
    ratio = _ratio(elapsed_s, predicted)
    prefiller.first_token_ratio += RATIO_SMOOTHING * (
        ratio - prefiller.first_token_ratio
    )
    late = elapsed_s > max(LATE_START_FACTOR * predicted, LATE_START_S)
    prefiller.limit.observe(late=late, running=prefiller.total.running, now=now)


def learn_prefill(progress: Progress, cached_tokens: int) -> float:
    """Learns the prefill speed, once the cached tokens are known.

    Args:
        progress: A complete request.
        cached_tokens: Prompt tokens that the engine had cached.

    Returns:
        Prefilled tokens minus expected ones.
    """
    item = progress.item
    input_tokens = item.work.prompt_tokens + item.tokens_done
    prefilled_tokens = max(1.0, float(input_tokens - cached_tokens))
    expected = progress.option.uncached_tokens
    ahead = progress.ahead_tokens - expected
    if (
        progress.prefill_took_s is not None
        and ahead <= MAX_BACKLOG_FRACTION * prefilled_tokens
    ):
        start = progress.placed_at
        end = start + progress.prefill_took_s + PEER_MESSAGE_DELAY_S
        foreign_tokens = progress.option.endpoint.foreign_prefill_tokens(
            start, end
        )
        if foreign_tokens <= MAX_BACKLOG_FRACTION * prefilled_tokens:
            first = progress.pool.cost_model.first
            first.learn_clipped(
                ahead + prefilled_tokens, progress.prefill_took_s
            )
    return prefilled_tokens - expected


def learn_pace(progress: Progress, count: int, now: float) -> float | None:
    """Learns from the tokens of an answer in progress.

    An engine that turned slow completes its first answer when that is already
    late, so its pace is measured while the answer is generated.

    Returns:
        Observed to predicted time between tokens, or None if that says
        nothing about the engine's health.
    """
    progress.tokens = count
    elapsed = now - progress.pace_measured_at
    if progress.first_at is None or elapsed < MIN_PACE_INTERVAL_S:
        return None
    tokens = max(count - progress.pace_measured_tokens, 1)
    progress.pace_measured_at, progress.pace_measured_tokens = now, count
    decoder = progress.option.decode
    running = max(decoder.total.running, 1.0)
    ratio = _ratio(elapsed / tokens, progress.pool.cost_model.step_s(running))
    decoder.step_ratio += RATIO_SMOOTHING * (ratio - decoder.step_ratio)
    # On a mixed engine a concurrent prefill slows the answers down. Taken as
    # bad health, that would eject the mixed engines.
    is_mixed = decoder.endpoint.role is work.Role.MIXED
    return None if is_mixed and decoder.total.prefill_tokens else ratio


def learn_completion(progress: Progress, now: float) -> float | None:
    """Learns from a complete answer.

    Returns:
        Observed to predicted time of a plain service's answer; None for a
        model, whose pace was measured during the answer.
    """
    model = progress.pool.cost_model
    decoder = progress.option.decode
    if not progress.item.work.model:
        took = now - progress.placed_at
        ratio = _ratio(took, model.plain_s)
        model.learn_plain(took)
        decoder.first_token_ratio += RATIO_SMOOTHING * (
            ratio - decoder.first_token_ratio
        )
        return ratio
    if progress.first_at is not None and progress.tokens > 1:
        step_s = (now - progress.first_at) / (progress.tokens - 1)
        if decoder.health.ejected_until is None:
            model.step.learn(progress.running, step_s)
    return None


def _ratio(observed: float, predicted: float) -> float:
    return min(observed / max(predicted, 1e-4), MAX_RATIO)
