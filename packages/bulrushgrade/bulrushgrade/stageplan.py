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

PREFILL_WAIT_THRESHOLD = 0.5
"""Mean wait at the engines that read, in targets of the slowest route, from
which on there are too few of them: half of the time to a first event is gone
before its prompt is read."""

SATURATION_THRESHOLD = 0.8
"""Mean saturation of the engines that generate from which on there are too few
of them: what is known is a moment old, and streams grow while they run."""

MAX_REMAINING_SATURATION = SATURATION_THRESHOLD / 2
"""Mean saturation that the engines that go on generating may have without the
one that changes: a burst doubles what is generated."""

MAX_ENGINE_LOAD = 2.0
"""Crowding, and wait in the same targets, that one engine counts with at most.
An engine that hangs or was lost shows more the longer it lasts, and would call
for a change by itself."""

MAX_WAIT_PER_SATURATION = 0.5
"""Wait at the engines that read, in the same targets and without the one that
changes, against the saturation that it is to end: an answer is late by a wait
of one target as it is by a saturation of one, and half of that may be wrong."""

SMOOTHING_CHANGES = 1.0
"""Time constant of both means, in changes of role: a pressure that passes
sooner is over before a change that it asks for, and loads that alternate
faster than an engine can change change nothing."""

MIN_DECODE_ENGINES = 3
"""In any fleet, or all but one. With two, one that crashes while the other
leaves or changes ends all answers for the seconds that a change back
takes."""

ENGINES_PER_CHANGE = 4
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
        self._saturation = 0.0
        self._seen_at: float | None = None
        self._paused_until = 0.0
        self._skip_until: dict[str, float] = {}

    @property
    def wait_s(self) -> float:
        """The smoothed mean wait at the engines that read."""
        return self._wait_s

    @property
    def saturation(self) -> float:
        """The smoothed mean saturation of the engines that generate."""
        return self._saturation

    def note_change(self, view: ServiceView, now: float) -> None:
        """Notes that a change was ordered; the next waits until it settled.

        Args:
            view: What the change was proposed from.
            now: The present time in seconds.
        """
        at_a_time = max(1, len(view.engines) // ENGINES_PER_CHANGE)
        settled_s = view.change_s + view.settle_s
        self._paused_until = now + settled_s / at_a_time
        if at_a_time == 1:
            # The queues of before say nothing of the fleet as it is now.
            self._wait_s = 0.0

    def note_refusal(self, engine: str, view: ServiceView, now: float) -> None:
        """Notes that an engine did not take an order.

        It may have crashed, or carry out another one.
        """
        self._paused_until = now + RETRY_CHECKS * self._check_s
        skip_s = view.change_s + view.settle_s
        self._skip_until[engine] = now + skip_s

    def propose(self, view: ServiceView, now: float) -> StageChange | None:
        """Returns the change that should be made now, or None."""
        prefillers = _of_stage(view, directory.Stage.PREFILL)
        decoders = _of_stage(view, directory.Stage.DECODE)
        self._smooth(view, prefillers, decoders, now)
        if now < self._paused_until:
            return None
        if not decoders and len(prefillers) > 1:
            return self._propose_decoder(prefillers, "none generates", now)
        if self._can_add_prefiller(view, prefillers, decoders):
            reason = f"prompts wait {self._wait_s:.2f} s"
            return self._propose_prefiller(decoders, reason, now)
        if self._can_add_decoder(view, len(prefillers)):
            reason = f"generating engines are taken to {self._saturation:.2f}"
            return self._propose_decoder(prefillers, reason, now)
        return None

    def _can_add_prefiller(
        self,
        view: ServiceView,
        prefillers: list[EngineView],
        decoders: list[EngineView],
    ) -> bool:
        """Returns whether generating engines can give one up to reading."""
        count = len(decoders)
        if count <= max(
            1, min(MIN_DECODE_ENGINES, len(prefillers) + count - 1)
        ):
            return False
        if self._wait_s <= PREFILL_WAIT_THRESHOLD * view.target_s:
            return False
        # Crowded at this moment is crowded, whatever it was before.
        saturation = max(self._saturation, _mean_saturation(decoders))
        return saturation * count / (count - 1) <= MAX_REMAINING_SATURATION

    def _can_add_decoder(self, view: ServiceView, prefillers: int) -> bool:
        """Returns whether reading engines can give one up to generating."""
        if prefillers < 2 or self._saturation <= SATURATION_THRESHOLD:
            return False
        # Queues grow faster than the work that each of the others gets.
        wait_s = self._wait_s * (prefillers / (prefillers - 1)) ** 2
        return (
            wait_s <= MAX_WAIT_PER_SATURATION * self._saturation * view.target_s
        )

    def _propose_prefiller(
        self, decoders: list[EngineView], reason: str, now: float
    ) -> StageChange | None:
        def load(view: EngineView) -> tuple[float, float, str]:
            return view.saturation, view.wait_s, view.engine.id

        stage = directory.Stage.PREFILL
        return self._pick_engine(sorted(decoders, key=load), stage, reason, now)

    def _propose_decoder(
        self, prefillers: list[EngineView], reason: str, now: float
    ) -> StageChange | None:
        def load(view: EngineView) -> tuple[float, str]:
            return view.wait_s, view.engine.id

        stage = directory.Stage.DECODE
        return self._pick_engine(
            sorted(prefillers, key=load), stage, reason, now
        )

    def _pick_engine(
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
        prefillers: list[EngineView],
        decoders: list[EngineView],
        now: float,
    ) -> None:
        before, self._seen_at = self._seen_at, now
        if before is None:
            return
        constant_s = max(SMOOTHING_CHANGES * view.change_s, now - before)
        weight = 1.0 - math.exp((before - now) / constant_s)
        longest_s = MAX_ENGINE_LOAD * view.target_s
        wait_s = _mean(
            [min(engine.wait_s, longest_s) for engine in prefillers or decoders]
        )
        saturation = _mean_saturation(decoders)
        self._wait_s += weight * (wait_s - self._wait_s)
        self._saturation += weight * (saturation - self._saturation)


def _of_stage(view: ServiceView, stage: directory.Stage) -> list[EngineView]:
    return [found for found in view.engines if found.engine.stage is stage]


def _mean_saturation(decoders: list[EngineView]) -> float:
    return _mean(
        [min(engine.saturation, MAX_ENGINE_LOAD) for engine in decoders]
    )


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0
