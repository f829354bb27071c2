"""What placing a prompt costs callers, in answers that become late by it.

Load: long prompts, short ones and streams share engines that do one thing at a
time. Harm: what is best for one request may hold up many others: a prompt read
where answers are generated makes their streams stand still, and a stream that
no longer fits the memory has another one preempted. So each place is judged by
the answers that would be late: the request's own, those beside it, those
behind it. One late answer counts as much as a target of waiting.

All limits are ratios of what routes allow or engines have.
"""

import math

import attrs

FIRST_EVENT_LATE_FROM, FIRST_EVENT_LATE_TO = 0.7, 1.2
"""Expected first event, as a part of its target, between which the chance that
it is late goes from none to certain: what is expected is off by some fifth in
both directions."""

MIN_PAUSE_STDDEV = 0.05
"""Of the allowed pause, that pauses scatter by at least: a gateway that has
seen a few streams only knows no better."""

PREEMPTION_FROM, PREEMPTION_TO = 0.8, 1.0
"""Part of an engine's memory, or of its slots, in use with the new stream,
between which the chance of a preemption goes from none to certain: streams
grow while they run, and what is known of them is a moment old."""

PREEMPTION_COST = 2.0
"""Answers that a preemption makes late: the one that has to be read again and
that which it is read before."""


@attrs.frozen(kw_only=True)
class LatencyTargets:
    """What a request and its service allow.

    Attributes:
        target_s: The request's first event is late after this.
        gap_s: The longest pause in its own events that is not late; None
            where its route names none.
        min_gap_s: The least gap of all routes to the service; None where
            no route names one.
    """

    target_s: float
    gap_s: float | None = None
    min_gap_s: float | None = None


@attrs.frozen(kw_only=True)
class DecodeLoad:
    """What is believed to be generated at an engine, by all daemons.

    Attributes:
        streams: How many answers.
        tokens: What they have in its memory.
        pause_s: The mean pause between their events.
        joined_pause_s: The same with the tokens of the new stream.
        min_pause_s: The same without any.
        memory_tokens: Tokens that fit its memory.
        slots: Requests that it runs at a time.
        stddev_s: Standard deviation of single pauses around the mean.
        events: How many events a stream has in the mean.
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
    """Returns how long a new stream waits for a slot.

    Load: short prompts with long answers come in a burst, and all slots of
    an engine are taken. Harm: what is sent there waits until another answer
    ends, unseen by any queue of readings, and its first event is late.
    """
    beyond = max(0, decode_load.streams + 1 - decode_load.slots)
    return beyond / decode_load.slots * decode_load.events * decode_load.pause_s


def late_probability(
    expected: float, limit: float | None, start: float, end: float
) -> float:
    """Returns the chance that something is late, 0 to 1.

    Args:
        expected: What is expected.
        limit: What is allowed, or None.
        start: Part of the limit up to which it is not late.
        end: Part of the limit from which on it is.
    """
    if not limit:
        return 0.0
    return min(max((expected / limit - start) / (end - start), 0.0), 1.0)


def first_event_late_probability(
    first_event_s: float, latency_targets: LatencyTargets
) -> float:
    """Returns the chance that a first event is late."""
    return late_probability(
        first_event_s,
        latency_targets.target_s,
        FIRST_EVENT_LATE_FROM,
        FIRST_EVENT_LATE_TO,
    )


def saturation(
    decode_load: DecodeLoad, queued_s: float, min_gap_s: float | None
) -> float:
    """Returns how much of what an engine has for streams is taken, 1 for all.

    Args:
        decode_load: What the engine generates.
        queued_s: Reading that waits there.
        min_gap_s: The longest pause that its streams may have, or None.
    """
    occupancy = max(
        decode_load.tokens / decode_load.memory_tokens,
        decode_load.streams / decode_load.slots,
    )
    if not min_gap_s:
        return occupancy
    # What a single stream takes of the pause no other engine could spare it.
    allowed_s = max(
        min_gap_s - decode_load.min_pause_s, MIN_PAUSE_STDDEV * min_gap_s
    )
    used_s = decode_load.pause_s - decode_load.min_pause_s + queued_s
    return max(occupancy, used_s / allowed_s)


def pause_late_probability(
    pause_s: float, stddev_s: float, gap_s: float | None
) -> float:
    """Returns the chance that one pause is longer than allowed, 0 to 1.

    Args:
        pause_s: The pause that is expected.
        stddev_s: Standard deviation around it.
        gap_s: What is allowed, or None.
    """
    if not gap_s:
        return 0.0
    stddev_s = max(stddev_s, MIN_PAUSE_STDDEV * gap_s)
    return 0.5 * math.erfc((gap_s - pause_s) / (stddev_s * math.sqrt(2.0)))


def added_stream_cost(
    decode_load: DecodeLoad, new_tokens: int, latency_targets: LatencyTargets
) -> float:
    """Returns answers that become late where a new stream joins others.

    Args:
        decode_load: What the engine generates.
        new_tokens: What the new stream will have in memory at its end.
        latency_targets: What is allowed.
    """
    stddev_s, gap_s = decode_load.stddev_s, latency_targets.min_gap_s
    own_probability = pause_late_probability(
        decode_load.joined_pause_s, stddev_s, latency_targets.gap_s
    )
    after = pause_late_probability(decode_load.joined_pause_s, stddev_s, gap_s)
    before = pause_late_probability(decode_load.pause_s, stddev_s, gap_s)
    # The others are half through in the mean.
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
    """Returns answers that become late where a prompt is read beside them.

    Args:
        decode_load: What the engine generates.
        queued_s: Reading that waits there already.
        prefill_s: How long this prompt takes to read.
        latency_targets: What is allowed.
    """
    peak_s = decode_load.pause_s + queued_s
    stddev_s, gap_s = decode_load.stddev_s, latency_targets.min_gap_s
    after = pause_late_probability(peak_s + prefill_s, stddev_s, gap_s)
    before = pause_late_probability(peak_s, stddev_s, gap_s)
    # Where the streams stand still already, those that begin meanwhile do so
    # for longer: as many as there are in the time that a stream lasts.
    stream_s = max(decode_load.events * decode_load.pause_s, prefill_s)
    begun = after * prefill_s / stream_s if prefill_s else 0.0
    return decode_load.streams * max(after - before, begun)
