"""The requests of a replay, and the metrics of a run."""

from typing import Any

import attrs

from bulrushgrade import work
from bulrushgrade_standins import enginemodel
from bulrushgrade_standins import trace as traces


@attrs.define(kw_only=True, eq=False)
class Call:
    """One request in a replay.

    Attributes:
        outcome: ``complete``, ``refused``, ``failed``, ``left`` (the caller
            disconnected at its deadline), or empty while in progress.
    """

    request: traces.Request
    host: "Host"
    work: work.Work
    job: enginemodel.Job | None = None
    tokens_done: int = 0
    attempts: int = 0
    first_at: float | None = None
    ended_at: float | None = None
    outcome: str = ""

    @property
    def step_s(self) -> float | None:
        """Mean time between tokens of a complete answer, in seconds."""
        if self.outcome != "complete" or self.request.output_tokens < 2:
            return None
        decode_s = self.ended_at - self.first_at
        return decode_s / (self.request.output_tokens - 1)

    @property
    def on_time(self) -> bool:
        """Whether the answer is complete and met all its deadlines."""
        if self.outcome != "complete":
            return False
        request = self.request
        first = request.first_token_s
        if first is not None and self.first_at - request.at_s > first:
            return False
        limit = request.between_tokens_s
        if limit is not None and (self.step_s or 0.0) > limit:
            return False
        return self.ended_at <= request.at_s + request.deadline_s


@attrs.define(kw_only=True, eq=False)
class Host:
    """An entry host: a scheduling policy and its own view of the fleet."""

    name: str
    policy: Any
    view: dict[str, work.Endpoint]
    calls: dict[str, Call] = attrs.field(factory=dict)
    poll_at: float | None = None


@attrs.frozen(kw_only=True)
class Outcome:
    """The results of a replay.

    Attributes:
        trace: The replayed trace.
        calls: Every request, in order of arrival.
        role_changes: How many role changes were ordered.
        away_s: Seconds that engines were unavailable for role changes.
        retries: Attempts made after one that had started.
        rejections: Attempts made after one that an engine did not start.
        dumps: Dumps of the hosts' state at the end.
    """

    trace: traces.Trace
    calls: tuple[Call, ...]
    role_changes: int
    away_s: float
    retries: int
    rejections: int
    dumps: tuple[dict[str, Any], ...]


def summarize(outcome: Outcome) -> dict[str, float]:
    """Returns the metrics of a run, with times in seconds."""
    start = outcome.trace.header.scored_from_s
    calls = [c for c in outcome.calls if c.request.at_s >= start]
    span = outcome.trace.header.duration_s - start
    firsts = sorted(
        c.first_at - c.request.at_s for c in calls if c.first_at is not None
    )
    steps = sorted(c.step_s for c in calls if c.step_s is not None)
    good = sum(c.on_time for c in calls)
    return {
        "offered": len(calls),
        "goodput_per_s": good / span,
        "on_time": good / max(1, len(calls)),
        "refused": sum(c.outcome == "refused" for c in calls),
        "late": sum(
            c.outcome in ("left", "failed")
            or (c.outcome == "complete" and not c.on_time)
            for c in calls
        ),
        "p95_first_s": _percentile(firsts, 0.95),
        "p95_between_s": _percentile(steps, 0.95),
        "role_changes": outcome.role_changes,
        "retries": outcome.retries,
        "turned_away": outcome.rejections,
    }


def _percentile(values: list[float], part: float) -> float:
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(part * len(values)))]
