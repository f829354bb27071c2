"""Decides when an engine changes between prefill and decode.

When the mix of long prompts and long answers shifts, or engines of one stage
are lost, one stage is short of engines while the other has spare capacity.
Prompts then wait and are refused, or streams stall and are preempted, beside
idle engines. A change takes an engine out of service for seconds. It is made
only for a load that lasts longer, and only if the other stage keeps spare
capacity without the engine. The saturation allowed in the stage that gives an
engine up is well below the one at which that stage asks for an engine, so
that no engine changes back and forth.
"""

import math

import attrs

from bulrushgrade import directory

PREFILL_WAIT_THRESHOLD = 0.5
"""Mean wait at the prefill engines, in latency targets of the slowest route,
above which there are too few of them. At 0.5, half of the time to the first
event has passed before prefill starts."""

SATURATION_THRESHOLD = 0.8
"""Mean saturation of the decode engines above which there are too few of them.
It is below 1 because the known state is slightly old and streams use more
memory while they run."""

MAX_REMAINING_SATURATION = SATURATION_THRESHOLD / 2
"""Maximum mean saturation of the remaining decode engines after one of them
changes. A burst can double the number of generated tokens."""

MAX_ENGINE_LOAD = 2.0
"""Maximum saturation, and wait in the same targets, that one engine contributes
to a mean. The values of an engine that hangs or was lost keep growing, and it
alone would cause a change."""

MAX_WAIT_PER_SATURATION = 0.5
"""Maximum wait at the remaining prefill engines, in the same targets, per unit
of decode saturation that the change relieves. A wait of one target makes an
answer as late as a saturation of one; the factor allows for an error of half
in the estimates."""

SMOOTHING_CHANGES = 1.0
"""Time constant of both means, in durations of a role change. A shorter peak is
over before the change that it would cause, and loads that alternate faster
than an engine can change cause no change."""

MIN_DECODE_ENGINES = 3
"""Minimum number of decode engines in any fleet, or all engines but one in a
smaller fleet. With two, a crash of one while the other leaves or changes stops
all answers for the seconds that a change back takes."""

ENGINES_PER_CHANGE = 4
"""Engines in the fleet per change that may be in progress. In a large fleet,
changing one at a time would take longer than the load lasts."""

RETRY_CHECKS = 2
"""Checks to wait after a refused order before another engine is tried."""


@attrs.frozen(kw_only=True)
class EngineView:
    """The known load of one engine.

    Attributes:
        engine: The engine.
        wait_s: How long work of the lowest urgency would wait there.
        saturation: The used fraction of its memory, its slots or the pause
            that routes allow, whichever is largest; 1 when fully used.
    """

    engine: directory.Registration
    wait_s: float
    saturation: float


@attrs.frozen(kw_only=True)
class ServiceView:
    """The known load of one service's engines.

    Attributes:
        service: The service.
        engines: The usable engines.
        target_s: The longest latency target of its routes.
        change_s: Duration of a role change.
        settle_s: Time after it until all hosts know the new role.
    """

    service: str
    engines: tuple[EngineView, ...]
    target_s: float
    change_s: float
    settle_s: float


@attrs.frozen(kw_only=True)
class StageChange:
    """A proposed change of one engine's stage.

    Attributes:
        engine: The engine.
        stage: Its new stage.
        reason: Explanation for logs.
    """

    engine: directory.Registration
    stage: directory.Stage
    reason: str


class StagePlan:
    """Proposes stage changes for the engines of one service."""

    def __init__(self, *, check_s: float):
        """Creates a plan without observations.

        Args:
            check_s: Interval between calls of `propose`.
        """
        self._check_s = check_s
        self._wait_s = 0.0
        self._saturation = 0.0
        self._seen_at: float | None = None
        self._paused_until = 0.0
        self._skip_until: dict[str, float] = {}

    @property
    def wait_s(self) -> float:
        """The smoothed mean wait at the prefill engines."""
        return self._wait_s

    @property
    def saturation(self) -> float:
        """The smoothed mean saturation of the decode engines."""
        return self._saturation

    def record_change(self, view: ServiceView, now: float) -> None:
        """Records an ordered change and pauses proposals until it settles.

        Args:
            view: The view that the change was proposed from.
            now: The current time in seconds.
        """
        at_a_time = max(1, len(view.engines) // ENGINES_PER_CHANGE)
        settled_s = view.change_s + view.settle_s
        self._paused_until = now + settled_s / at_a_time
        if at_a_time == 1:
            # The wait before the change does not describe the new fleet.
            self._wait_s = 0.0

    def record_refusal(
        self, engine: str, view: ServiceView, now: float
    ) -> None:
        """Records that an engine did not accept an order.

        It may have crashed or be carrying out another order.
        """
        self._paused_until = now + RETRY_CHECKS * self._check_s
        skip_s = view.change_s + view.settle_s
        self._skip_until[engine] = now + skip_s

    def propose(self, view: ServiceView, now: float) -> StageChange | None:
        """Returns the change to order now, or None."""
        prefillers = _of_stage(view, directory.Stage.PREFILL)
        decoders = _of_stage(view, directory.Stage.DECODE)
        self._smooth(view, prefillers, decoders, now)
        if now < self._paused_until:
            return None
        if not decoders and len(prefillers) > 1:
            return self._propose_decoder(prefillers, "no decode engine", now)
        if self._can_add_prefiller(view, prefillers, decoders):
            reason = f"prompts wait {self._wait_s:.2f} s"
            return self._propose_prefiller(decoders, reason, now)
        if self._can_add_decoder(view, len(prefillers)):
            reason = f"decode engines are saturated to {self._saturation:.2f}"
            return self._propose_decoder(prefillers, reason, now)
        return None

    def _can_add_prefiller(
        self,
        view: ServiceView,
        prefillers: list[EngineView],
        decoders: list[EngineView],
    ) -> bool:
        """Returns whether a decode engine should change to prefill."""
        count = len(decoders)
        if count <= max(
            1, min(MIN_DECODE_ENGINES, len(prefillers) + count - 1)
        ):
            return False
        if self._wait_s <= PREFILL_WAIT_THRESHOLD * view.target_s:
            return False
        # A saturation that is high right now counts even if the mean is low.
        saturation = max(self._saturation, _mean_saturation(decoders))
        return saturation * count / (count - 1) <= MAX_REMAINING_SATURATION

    def _can_add_decoder(self, view: ServiceView, prefillers: int) -> bool:
        """Returns whether a prefill engine should change to decode."""
        if prefillers < 2 or self._saturation <= SATURATION_THRESHOLD:
            return False
        # Queues grow faster than the load of each remaining engine.
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
