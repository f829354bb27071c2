"""An upper bound for any policy on a trace, and the best fixed role splits."""

from collections.abc import Iterator

from bulrushgrade import work
from bulrushgrade_standins import enginemodel
from bulrushgrade_standins import trace as traces

BEST_BATCH = enginemodel.DECODE_SLOTS
FLUID_WINDOW_S = 10.0


def cost_s(request: traces.Request, cached_tokens: int) -> float:
    """Returns the engine seconds of a request at the best batch size."""
    step = enginemodel.STEP_S + enginemodel.STEP_S_PER_REQUEST * BEST_BATCH
    prefill_load = request.prompt_tokens - cached_tokens
    return (
        prefill_load / enginemodel.PREFILL_TOKENS_PER_S
        + request.output_tokens * step / BEST_BATCH
    )


def capacity_bound(trace: traces.Trace) -> int:
    """Returns an upper bound on the scored requests answered in time.

    It assumes that every engine serves from the first scored second until the
    last deadline, at its best batch size and with all prefixes cached that
    have been seen before, and that the cheapest requests come first. The bound
    is loose: it ignores waiting, memory and the order of arrival.
    """
    seen: set[tuple[str, int]] = set()
    costs = []
    start = trace.header.scored_from_s
    max_deadline_s = 0.0
    for request in trace.requests:
        cached = all(part in seen for part in request.prefix)
        seen.update(request.prefix)
        if request.at_s >= start:
            shared = sum(tokens for _, tokens in request.prefix)
            costs.append(cost_s(request, shared if cached else 0))
            max_deadline_s = max(max_deadline_s, request.deadline_s)
    span = trace.header.duration_s - start + max_deadline_s
    left = len(trace.header.engines) * span
    count = 0
    for cost in sorted(costs):
        left -= cost
        if left < 0.0:
            break
        count += 1
    return count


def best_splits(trace: traces.Trace, count: int) -> list[tuple[work.Role, ...]]:
    """Returns the fixed role splits that serve the demand of a trace best.

    Args:
        trace: The trace, which is known in advance.
        count: How many splits to return, best first.
    """
    demands = list(_windows(trace))
    engines = len(trace.header.engines)
    ranked = sorted(
        (_unserved_demand(split, demands), split) for split in _splits(engines)
    )
    return [
        (work.Role.PREFILL,) * p
        + (work.Role.DECODE,) * d
        + (work.Role.MIXED,) * (engines - p - d)
        for _, (p, d) in ranked[:count]
    ]


def _splits(engines: int) -> Iterator[tuple[int, int]]:
    for p in range(engines + 1):
        for d in range(engines + 1 - p):
            if p < engines and d < engines:
                yield p, d


def _windows(trace: traces.Trace) -> Iterator[tuple[float, float, int]]:
    sums: dict[int, list[float]] = {}
    step = enginemodel.STEP_S + enginemodel.STEP_S_PER_REQUEST * 24
    for request in trace.requests:
        window = sums.setdefault(int(request.at_s / FLUID_WINDOW_S), [0.0] * 2)
        shared = sum(tokens for _, tokens in request.prefix)
        prefill_load = request.prompt_tokens - shared
        window[0] += prefill_load / enginemodel.PREFILL_TOKENS_PER_S
        window[1] += request.output_tokens * step / 24
    for prefill_load, decode_load in sums.values():
        yield (
            prefill_load / FLUID_WINDOW_S,
            decode_load / FLUID_WINDOW_S,
            len(trace.header.engines),
        )


def _unserved_demand(split: tuple[int, int], demands) -> float:
    p, d = split
    total = 0.0
    for prefill_load, decode_load, engines in demands:
        over = max(0.0, prefill_load / 0.8 - p) + max(
            0.0, decode_load / 0.8 - d
        )
        total += max(0.0, over - 0.8 * (engines - p - d))
    return total
