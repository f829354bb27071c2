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

FIRST_FROM, FIRST_TO = 0.7, 1.2
"""Expected first event, as a part of its target, between which the chance that
it is late goes from none to certain: what is expected is off by some fifth in
both directions."""

LEAST_SPREAD = 0.05
"""Of the allowed pause, that pauses scatter by at least: a gateway that has
seen a few streams only knows no better."""

ROOM_FROM, ROOM_TO = 0.8, 1.0
"""Part of an engine's memory, or of its slots, in use with the new stream,
between which the chance of a preemption goes from none to certain: streams
grow while they run, and what is known of them is a moment old."""

PREEMPTED = 2.0
"""Answers that a preemption makes late: the one that has to be read again and
that which it is read before."""


@attrs.frozen(kw_only=True)
class Needs:
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
class Generation:
    """What is believed to be generated at an engine, by all daemons.

    Attributes:
        streams: How many answers.
        tokens: What they have in its memory.
        pause_s: The mean pause between their events.
        pause_after_s: The same with the tokens of the new stream.
        least_pause_s: The same without any.
        memory_tokens: Tokens that fit its memory.
        slots: Requests that it runs at a time.
        spread_s: Standard deviation of single pauses around the mean.
        events: How many events a stream has in the mean.
    """

    streams: int
    tokens: int
    pause_s: float
    pause_after_s: float
    memory_tokens: int
    slots: int
    least_pause_s: float = 0.0
    spread_s: float = 0.0
    events: float = 1.0


def slot_wait_s(there: Generation) -> float:
    """Returns how long a new stream waits for a slot.

    Load: short prompts with long answers come in a burst, and all slots of
    an engine are taken. Harm: what is sent there waits until another answer
    ends, unseen by any queue of readings, and its first event is late.
    """
    beyond = max(0, there.streams + 1 - there.slots)
    return beyond / there.slots * there.events * there.pause_s


def late_share(
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


def first_late(first_s: float, needs: Needs) -> float:
    """Returns the chance that a first event is late."""
    return late_share(first_s, needs.target_s, FIRST_FROM, FIRST_TO)


def saturation(
    there: Generation, queued_s: float, min_gap_s: float | None
) -> float:
    """Returns how much of what an engine has for streams is taken, 1 for all.

    Args:
        there: What the engine generates.
        queued_s: Reading that waits there.
        min_gap_s: The longest pause that its streams may have, or None.
    """
    room = max(there.tokens / there.memory_tokens, there.streams / there.slots)
    if not min_gap_s:
        return room
    # What a single stream takes of the pause no other engine could spare it.
    spare_s = max(min_gap_s - there.least_pause_s, LEAST_SPREAD * min_gap_s)
    taken_s = there.pause_s - there.least_pause_s + queued_s
    return max(room, taken_s / spare_s)


def pause_late(pause_s: float, spread_s: float, gap_s: float | None) -> float:
    """Returns the chance that one pause is longer than allowed, 0 to 1.

    Args:
        pause_s: The pause that is expected.
        spread_s: Standard deviation around it.
        gap_s: What is allowed, or None.
    """
    if not gap_s:
        return 0.0
    spread_s = max(spread_s, LEAST_SPREAD * gap_s)
    return 0.5 * math.erfc((gap_s - pause_s) / (spread_s * math.sqrt(2.0)))


def stream_harm(there: Generation, new_tokens: int, needs: Needs) -> float:
    """Returns answers that become late where a new stream joins others.

    Args:
        there: What the engine generates.
        new_tokens: What the new stream will have in memory at its end.
        needs: What is allowed.
    """
    spread_s, gap_s = there.spread_s, needs.min_gap_s
    own = pause_late(there.pause_after_s, spread_s, needs.gap_s)
    after = pause_late(there.pause_after_s, spread_s, gap_s)
    before = pause_late(there.pause_s, spread_s, gap_s)
    # The others are half through in the mean.
    each = min(1.0, (after - before) * there.events / 2)
    preempted = late_share(
        max(
            (there.tokens + new_tokens) / there.memory_tokens,
            (there.streams + 1) / there.slots,
        ),
        1.0,
        ROOM_FROM,
        ROOM_TO,
    )
    own = min(1.0, own * there.events)
    return own + there.streams * each + PREEMPTED * preempted


def reading_harm(
    there: Generation, queued_s: float, read_s: float, needs: Needs
) -> float:
    """Returns answers that become late where a prompt is read beside them.

    Args:
        there: What the engine generates.
        queued_s: Reading that waits there already.
        read_s: How long this prompt takes to read.
        needs: What is allowed.
    """
    peak_s = there.pause_s + queued_s
    spread_s, gap_s = there.spread_s, needs.min_gap_s
    after = pause_late(peak_s + read_s, spread_s, gap_s)
    before = pause_late(peak_s, spread_s, gap_s)
    # Where the streams stand still already, those that begin meanwhile do so
    # for longer: as many as there are in the time that a stream lasts.
    stream_s = max(there.events * there.pause_s, read_s)
    begun = after * read_s / stream_s if read_s else 0.0
    return there.streams * max(after - before, begun)
