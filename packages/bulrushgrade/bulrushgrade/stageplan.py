"""When an engine should change between reading prompts and generating.

Load: the mix of long prompts and long answers moves, or engines of one role
are lost, so that one side is short of engines while the other has room. Harm:
prompts wait and are refused, or streams stand still and are preempted, with
idle engines beside. A change takes an engine away for seconds, so it is made
only for a pressure that outlasts it, and only where the other side will still
have room without the engine: it goes both ways, and the room that one way asks
for is less than what the other way calls crowded, so that no engine goes back
and forth.
"""

import math

import attrs

from bulrushgrade import directory

READ_PRESSURE = 0.5
"""Mean wait at the engines that read, in targets of the slowest route, from
which on there are too few of them: half of the time to a first event is gone
before its prompt is read."""

CROWDED = 0.8
"""Mean saturation of the engines that generate from which on there are too few
of them: what is known is a moment old, and streams grow while they run."""

ROOM = CROWDED / 2
"""Mean saturation that the engines that go on generating may have without the
one that changes: a burst doubles what is generated."""

MOST = 2.0
"""Crowding, and wait in the same targets, that one engine counts with at most.
An engine that hangs or was lost shows more the longer it lasts, and would call
for a change by itself."""

MISSED_LESS = 0.5
"""Wait at the engines that read, in the same targets and without the one that
changes, against the saturation that it is to end: an answer is late by a wait
of one target as it is by a saturation of one, and half of that may be wrong."""

SMOOTH_CHANGES = 1.0
"""Time constant of both means, in changes of role: a pressure that passes
sooner is over before a change that it asks for, and loads that alternate
faster than an engine can change change nothing."""

LEAST_GENERATING = 3
"""In any fleet, or all but one. With two, one that crashes while the other
leaves or changes ends all answers for the seconds that a change back
takes."""

ENGINES_A_CHANGE = 4
"""Engines for each change that may be under way: one at a time would take
longer than the load that asks for it where there are many."""

RETRY_CHECKS = 2
"""Checks after an order that was not taken, before another engine is tried."""


@attrs.frozen(kw_only=True)
class EngineView:
    """What is known of one engine.

    Attributes:
        engine: The engine.
        wait_s: How long the least urgent work would wait there.
        saturation: How much of its memory, its slots or the pause that routes
            allow is taken, whichever is most; 1 for all of it.
    """

    engine: directory.Registration
    wait_s: float
    saturation: float


@attrs.frozen(kw_only=True)
class ServiceView:
    """What is known of one service's engines.

    Attributes:
        service: The service.
        engines: Those that may be used.
        target_s: The longest target of its routes.
        change_s: How long a change of role takes.
        settle_s: After it, until the new role is known everywhere.
    """

    service: str
    engines: tuple[EngineView, ...]
    target_s: float
    change_s: float
    settle_s: float


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

    def __init__(self, *, check_s: float):
        """Makes a plan that has seen nothing.

        Args:
            check_s: Between two calls of `propose`.
        """
        self._check_s = check_s
        self._wait_s = 0.0
        self._crowding = 0.0
        self._seen_at: float | None = None
        self._quiet_until = 0.0
        self._skip_until: dict[str, float] = {}

    @property
    def wait_s(self) -> float:
        """The smoothed mean wait at the engines that read."""
        return self._wait_s

    @property
    def saturation(self) -> float:
        """The smoothed mean saturation of the engines that generate."""
        return self._crowding

    def note_change(self, view: ServiceView, now: float) -> None:
        """Notes that a change was ordered; the next waits until it settled.

        Args:
            view: What the change was proposed from.
            now: The present time in seconds.
        """
        at_a_time = max(1, len(view.engines) // ENGINES_A_CHANGE)
        settled_s = view.change_s + view.settle_s
        self._quiet_until = now + settled_s / at_a_time
        if at_a_time == 1:
            # The queues of before say nothing of the fleet as it is now.
            self._wait_s = 0.0

    def note_refusal(self, engine: str, view: ServiceView, now: float) -> None:
        """Notes that an engine did not take an order.

        It may have crashed, or carry out another one.
        """
        self._quiet_until = now + RETRY_CHECKS * self._check_s
        skip_s = view.change_s + view.settle_s
        self._skip_until[engine] = now + skip_s

    def propose(self, view: ServiceView, now: float) -> StageChange | None:
        """Returns the change that should be made now, or None."""
        readers = _of_stage(view, directory.Stage.PREFILL)
        makers = _of_stage(view, directory.Stage.DECODE)
        self._smooth(view, readers, makers, now)
        if now < self._quiet_until:
            return None
        if not makers and len(readers) > 1:
            return self._to_generating(readers, "none generates", now)
        if self._may_read_more(view, readers, makers):
            reason = f"prompts wait {self._wait_s:.2f} s"
            return self._to_reading(makers, reason, now)
        if self._may_generate_more(view, len(readers)):
            reason = f"generating engines are taken to {self._crowding:.2f}"
            return self._to_generating(readers, reason, now)
        return None

    def _may_read_more(
        self,
        view: ServiceView,
        readers: list[EngineView],
        makers: list[EngineView],
    ) -> bool:
        """Returns whether generating engines can give one up to reading."""
        count = len(makers)
        if count <= max(1, min(LEAST_GENERATING, len(readers) + count - 1)):
            return False
        if self._wait_s <= READ_PRESSURE * view.target_s:
            return False
        # Crowded at this moment is crowded, whatever it was before.
        saturation = max(self._crowding, _mean_crowding(makers))
        return saturation * count / (count - 1) <= ROOM

    def _may_generate_more(self, view: ServiceView, readers: int) -> bool:
        """Returns whether reading engines can give one up to generating."""
        if readers < 2 or self._crowding <= CROWDED:
            return False
        # Queues grow faster than the work that each of the others gets.
        wait_s = self._wait_s * (readers / (readers - 1)) ** 2
        return wait_s <= MISSED_LESS * self._crowding * view.target_s

    def _to_reading(
        self, makers: list[EngineView], reason: str, now: float
    ) -> StageChange | None:
        def load(view: EngineView) -> tuple[float, float, str]:
            return view.saturation, view.wait_s, view.engine.id

        stage = directory.Stage.PREFILL
        return self._change(sorted(makers, key=load), stage, reason, now)

    def _to_generating(
        self, readers: list[EngineView], reason: str, now: float
    ) -> StageChange | None:
        def load(view: EngineView) -> tuple[float, str]:
            return view.wait_s, view.engine.id

        stage = directory.Stage.DECODE
        return self._change(sorted(readers, key=load), stage, reason, now)

    def _change(
        self,
        ranked: list[EngineView],
        stage: directory.Stage,
        reason: str,
        now: float,
    ) -> StageChange | None:
        for view in ranked:
            if self._skip_until.get(view.engine.id, 0.0) <= now:
                return StageChange(
                    engine=view.engine, stage=stage, reason=reason
                )
        return None

    def _smooth(
        self,
        view: ServiceView,
        readers: list[EngineView],
        makers: list[EngineView],
        now: float,
    ) -> None:
        before, self._seen_at = self._seen_at, now
        if before is None:
            return
        constant_s = max(SMOOTH_CHANGES * view.change_s, now - before)
        weight = 1.0 - math.exp((before - now) / constant_s)
        longest_s = MOST * view.target_s
        wait_s = _mean(
            [min(engine.wait_s, longest_s) for engine in readers or makers]
        )
        saturation = _mean_crowding(makers)
        self._wait_s += weight * (wait_s - self._wait_s)
        self._crowding += weight * (saturation - self._crowding)


def _of_stage(view: ServiceView, stage: directory.Stage) -> list[EngineView]:
    return [found for found in view.engines if found.engine.stage is stage]


def _mean_crowding(makers: list[EngineView]) -> float:
    return _mean([min(engine.saturation, MOST) for engine in makers])


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0
