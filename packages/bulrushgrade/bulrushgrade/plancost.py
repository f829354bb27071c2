"""Estimates what placing a prompt costs, as the number of answers made late.

Engines do one thing at a time, and long prompts, short prompts and streams
share them. The best place for one request may delay many others: a prompt
prefilled on a decoder stalls the streams of that engine, and a stream that no
longer fits into memory causes another one to be preempted. So each placement is
rated by the expected number of late answers: the request's own, those generated
at the same engine and those queued behind it. One late answer costs as much as
waiting for the latency target.

All limits are relative to the targets of the routes or to the capacity of the
engines.
"""

import math

import attrs

FIRST_EVENT_LATE_FROM, FIRST_EVENT_LATE_TO = 0.7, 1.2
"""Range of the expected time to the first event, relative to its target, in
which the probability of being late rises from 0 to 1. Estimates are off by
about a fifth in both directions."""

MIN_PAUSE_STDDEV = 0.05
"""Minimum standard deviation of pauses, as a fraction of the allowed pause. A
gateway that has seen only a few streams would underestimate it."""

PREEMPTION_FROM, PREEMPTION_TO = 0.8, 1.0
"""Range of the fraction of an engine's memory or slots in use, including the
new stream, in which the probability of a preemption rises from 0 to 1. Streams
grow while they run, and load information is slightly out of date."""

PREEMPTION_COST = 2.0
"""Number of answers that a preemption makes late: the preempted one, which has
to be prefilled again, and the one that this prefill delays."""


@attrs.frozen(kw_only=True)
class LatencyTargets:
    """Latency targets of a request and its service.

    Attributes:
        target_s: Time after which the first event is late.
        gap_s: Longest pause between the request's events that is not late; None
            if its route sets no limit.
        min_gap_s: Smallest gap_s of all routes to the service; None if no
            route sets a limit.
    """

    target_s: float
    gap_s: float | None = None
    min_gap_s: float | None = None


@attrs.frozen(kw_only=True)
class DecodeLoad:
    """Estimated streams of all daemons at one engine.

    Attributes:
        streams: Number of streams.
        tokens: Tokens that they occupy in the engine's memory.
        pause_s: Mean pause between their events.
        joined_pause_s: Mean pause once a new stream has joined.
        min_pause_s: Mean pause with no tokens in memory.
        memory_tokens: Capacity of the engine's memory in tokens.
        slots: Maximum number of concurrent requests.
        stddev_s: Standard deviation of single pauses around the mean.
        events: Mean number of events of a stream.
    """

    streams: int
    tokens: int
    pause_s: float
    joined_pause_s: float
    memory_tokens: int
    slots: int
    min_pause_s: float = 0.0
    stddev_s: float = 0.0
    events: float = 1.0


def slot_wait_s(decode_load: DecodeLoad) -> float:
    """Returns how long a new stream waits for a free slot.

    When a burst of short prompts with long answers fills all slots of an
    engine, a new request waits until another answer ends. The prefill queue
    doesn't show this wait, so without it the first event would be late
    unexpectedly.
    """
    beyond = max(0, decode_load.streams + 1 - decode_load.slots)
    return beyond / decode_load.slots * decode_load.events * decode_load.pause_s


def late_probability(
    expected: float, limit: float | None, start: float, end: float
) -> float:
    """Returns the probability that a value exceeds its limit, 0 to 1.

    Args:
        expected: The expected value.
        limit: The allowed value, or None.
        start: Fraction of the limit up to which the probability is 0.
        end: Fraction of the limit from which the probability is 1.
    """
    if not limit:
        return 0.0
    return min(max((expected / limit - start) / (end - start), 0.0), 1.0)


def first_event_late_probability(
    first_event_s: float, latency_targets: LatencyTargets
) -> float:
    """Returns the probability that a first event is late."""
    return late_probability(
        first_event_s,
        latency_targets.target_s,
        FIRST_EVENT_LATE_FROM,
        FIRST_EVENT_LATE_TO,
    )


def saturation(
    decode_load: DecodeLoad, queued_s: float, min_gap_s: float | None
) -> float:
    """Returns the fraction of an engine's decode capacity in use; 1 is full.

    Args:
        decode_load: The streams at the engine.
        queued_s: Seconds of prefill that are queued there.
        min_gap_s: The longest pause that its streams may have, or None.
    """
    occupancy = max(
        decode_load.tokens / decode_load.memory_tokens,
        decode_load.streams / decode_load.slots,
    )
    if not min_gap_s:
        return occupancy
    # The pause of a single stream is the same at every engine, so only the rest
    # of the allowed pause is capacity.
    allowed_s = max(
        min_gap_s - decode_load.min_pause_s, MIN_PAUSE_STDDEV * min_gap_s
    )
    used_s = decode_load.pause_s - decode_load.min_pause_s + queued_s
    return max(occupancy, used_s / allowed_s)


def pause_late_probability(
    pause_s: float, stddev_s: float, gap_s: float | None
) -> float:
    """Returns the probability that one pause is too long, 0 to 1.

    Args:
        pause_s: The expected pause.
        stddev_s: Its standard deviation.
        gap_s: The longest allowed pause, or None.
    """
    if not gap_s:
        return 0.0
    stddev_s = max(stddev_s, MIN_PAUSE_STDDEV * gap_s)
    return 0.5 * math.erfc((gap_s - pause_s) / (stddev_s * math.sqrt(2.0)))


def added_stream_cost(
    decode_load: DecodeLoad, new_tokens: int, latency_targets: LatencyTargets
) -> float:
    """Returns the expected number of answers that a new stream makes late.

    Args:
        decode_load: The streams at the engine.
        new_tokens: Tokens of the new stream in memory when it ends.
        latency_targets: The targets of the request and its service.
    """
    stddev_s, gap_s = decode_load.stddev_s, latency_targets.min_gap_s
    own_probability = pause_late_probability(
        decode_load.joined_pause_s, stddev_s, latency_targets.gap_s
    )
    after = pause_late_probability(decode_load.joined_pause_s, stddev_s, gap_s)
    before = pause_late_probability(decode_load.pause_s, stddev_s, gap_s)
    # On average, half of the events of the other streams are still to come.
    each_probability = min(1.0, (after - before) * decode_load.events / 2)
    preemption_probability = late_probability(
        max(
            (decode_load.tokens + new_tokens) / decode_load.memory_tokens,
            (decode_load.streams + 1) / decode_load.slots,
        ),
        1.0,
        PREEMPTION_FROM,
        PREEMPTION_TO,
    )
    own_probability = min(1.0, own_probability * decode_load.events)
    return (
        own_probability
        + decode_load.streams * each_probability
        + PREEMPTION_COST * preemption_probability
    )


def local_prefill_cost(
    decode_load: DecodeLoad,
    queued_s: float,
    prefill_s: float,
    latency_targets: LatencyTargets,
) -> float:
    """Returns the expected number of streams that a local prefill makes late.

    Args:
        decode_load: The streams at the engine.
        queued_s: Seconds of prefill that are queued there already.
        prefill_s: Duration of the prefill of this prompt.
        latency_targets: The targets of the request and its service.
    """
    peak_s = decode_load.pause_s + queued_s
    stddev_s, gap_s = decode_load.stddev_s, latency_targets.min_gap_s
    after = pause_late_probability(peak_s + prefill_s, stddev_s, gap_s)
    before = pause_late_probability(peak_s, stddev_s, gap_s)
    # If the streams are stalled already, this prefill extends the stall for
    # streams that begin meanwhile: as many as there are now, per duration of a
    # stream.
    stream_s = max(decode_load.events * decode_load.pause_s, prefill_s)
    begun = after * prefill_s / stream_s if prefill_s else 0.0
    return decode_load.streams * max(after - before, begun)
