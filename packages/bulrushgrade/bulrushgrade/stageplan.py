"""When an engine should change between reading prompts and generating.

Load: long prompts come in bursts, and the engines that read are too few for
them while those that generate have room; or the engines that generate are
lost and nobody can answer. Harm: prompts are refused, or everything is, with
idle engines beside. A change takes an engine away for seconds, so it is made
only for pressure that lasts, one at a time, and never takes the last engines
that generate.
"""

import math

import attrs

from bulrushgrade import directory

PRESSURE_S = 0.4
"""Mean wait at the reading engines that counts as pressure: half of the time
in which a long prompt's first event is due."""

SMOOTH_S = 0.7
"""Time constant of that mean. A single large prompt passes through in less; a
burst that is worth a change lasts longer than the change."""

GENERATING_SHARE = 0.25
"""Of the engines that go on generating at least. One generates for some four
that read: a prompt takes tens of times as long to read as a token to make."""

LEAST_GENERATING = 3
"""In any fleet, or all but one. With two, one that crashes while the other
leaves or changes ended all answers for the seconds that a change back takes:
686 requests of one day."""

RETRY_S = 0.5
"""After an order that was not taken, before another engine is tried."""

SKIP_S = 5.0
"""How long an engine is left alone that did not take an order; it may have
crashed, or carry out another one."""

ENGINES_A_CHANGE = 8
"""Engines for each change that may be under way: in a larger fleet a change
moves a smaller part of it, and one at a time would take longer than the load
that asks for it. At 45 engines prompts were refused for 16 s while three
changes were made."""

SETTLE_S = 2.0
"""Beside the change itself, before the next one: until an engine's new role
is known everywhere and the queues show what it brought."""


@attrs.frozen(kw_only=True)
class StageChange:
    """A change that should be made.

    Attributes:
        engine: The engine.
        stage: Its new role.
        reason: For logs.
    """

    engine: directory.Registration
    stage: directory.Stage
    reason: str


class StagePlan:
    """Watches the engines of one service."""

    def __init__(self):
        self._wait_s = 0.0
        self._seen_at: float | None = None
        self._quiet_until = 0.0
        self._skip_until: dict[str, float] = {}

    @property
    def wait_s(self) -> float:
        """The smoothed mean wait at the reading engines."""
        return self._wait_s

    def note_change(self, now: float, change_s: float, engines: int) -> None:
        """Notes that a change was ordered; none follows until it settled.

        Args:
            now: The present time in seconds.
            change_s: How long the change takes.
            engines: How many there are.
        """
        share = min(1.0, ENGINES_A_CHANGE / max(engines, 1))
        self._quiet_until = now + share * (change_s + SETTLE_S)
        if share == 1.0:
            self._wait_s = 0.0

    def note_refusal(self, engine: str, now: float) -> None:
        """Notes that an engine did not take an order."""
        self._quiet_until = now + RETRY_S
        self._skip_until[engine] = now + SKIP_S

    def propose(
        self,
        engines: list[directory.Registration],
        waits_s: dict[str, float],
        *,
        now: float,
    ) -> StageChange | None:
        """Returns the change that should be made now, or None.

        Args:
            engines: Those that may be used.
            waits_s: How long new work would wait at each, by id.
            now: The present time in seconds.
        """
        readers = [e for e in engines if e.stage is directory.Stage.PREFILL]
        makers = [e for e in engines if e.stage is directory.Stage.DECODE]
        self._smooth(readers, waits_s, now)
        if now < self._quiet_until:
            return None
        needed = _needed(len(readers) + len(makers))
        if not makers and len(readers) > 1:
            stage, reason = directory.Stage.DECODE, "none generates"
            return self._change(readers, waits_s, stage, reason, now)
        if self._wait_s > PRESSURE_S and len(makers) > needed:
            stage = directory.Stage.PREFILL
            reason = f"prompts wait {self._wait_s:.2f} s"
            return self._change(makers, waits_s, stage, reason, now)
        return None

    def _change(
        self,
        engines: list[directory.Registration],
        waits_s: dict[str, float],
        stage: directory.Stage,
        reason: str,
        now: float,
    ) -> StageChange | None:
        able = [e for e in engines if self._skip_until.get(e.id, 0.0) <= now]
        if not able:
            return None
        idlest = min(able, key=lambda e: (waits_s.get(e.id, 0.0), e.id))
        return StageChange(engine=idlest, stage=stage, reason=reason)

    def _smooth(
        self,
        readers: list[directory.Registration],
        waits_s: dict[str, float],
        now: float,
    ) -> None:
        seen_s = 0.0
        if readers:
            seen_s = sum(waits_s.get(e.id, 0.0) for e in readers) / len(readers)
        if self._seen_at is not None:
            weight = 1.0 - math.exp(-(now - self._seen_at) / SMOOTH_S)
            self._wait_s += weight * (seen_s - self._wait_s)
        self._seen_at = now


def _needed(engines: int) -> int:
    """Returns how many engines have to generate."""
    least = min(LEAST_GENERATING, engines - 1)
    return max(least, math.ceil(engines * GENERATING_SHARE))
