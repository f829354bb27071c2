"""What one daemon believes of all engines of a service.

What it sees of its own requests, what peers advertise, and what engines have
in common: how long they take to read, how the pauses of their streams grow.
"""

from collections.abc import Iterable

from bulrushgrade import directory
from bulrushgrade import engineload
from bulrushgrade import pausemodel
from bulrushgrade import peerloads
from bulrushgrade import placementplan
from bulrushgrade import plancost
from bulrushgrade import readdelay
from bulrushgrade import readtimes
from bulrushgrade import routing
from bulrushgrade import stageplan

SIZE_WEIGHT = 0.05
"""Of each prompt in the running mean of sizes, and of each stream in that of
its events: some twenty."""

START_EVENTS = 10.0
"""Events of a stream, until streams tell."""


class EngineFleet:
    """The engines of one service."""

    def __init__(self, *, others: peerloads.PeerLoads | None = None):
        """Makes a fleet of which nothing is known.

        Args:
            others: What other daemons have at engines.
        """
        self._others = others or peerloads.PeerLoads()
        self._mean_tokens = 0.0
        self._mean_events = START_EVENTS
        self._delay = readdelay.ReadDelay()
        self._times = readtimes.ReadTimes()
        self._pauses = pausemodel.PauseModel()
        self._loads: dict[tuple[str, int], engineload.EngineLoad] = {}

    @property
    def times(self) -> readtimes.ReadTimes:
        """How long readings take at an engine of usual speed."""
        return self._times

    def delay_s(self, now: float) -> float:
        """Returns how much longer recent readings took than expected."""
        return self._delay.at(now)

    def load(
        self, engine: directory.Registration, traits: routing.EngineTraits
    ) -> engineload.EngineLoad:
        """Returns what is believed of an engine."""
        load = self._loads.get(engine.incarnation)
        if load is None:
            load = engineload.EngineLoad(
                memory_tokens=traits.memory_tokens, times=self._times
            )
            self._loads[engine.incarnation] = load
        return load

    def shares(self, now: float) -> dict[str, peerloads.EngineShare]:
        """Returns what this daemon has at engines, by id."""
        return {
            incarnation[0]: load.share(now)
            for incarnation, load in self._loads.items()
            if not load.is_idle
        }

    def peers_stream_at(
        self, engine: directory.Registration, now: float
    ) -> bool:
        """Returns whether other daemons have streams running at an engine."""
        return self._others.at(engine.id, now).streams > 0

    def views(
        self,
        engines: list[directory.Registration],
        traits: routing.EngineTraits,
        limits: routing.ServiceLimits,
        now: float,
    ) -> tuple[stageplan.EngineView, ...]:
        """Returns what is known of engines, for the plan of their roles."""
        found = []
        for engine in engines:
            wait_s = self.wait_s(engine, traits, now, routing.LOWEST_URGENCY)
            there = self.generation(engine, traits, now)
            saturation = plancost.saturation(there, wait_s, limits.min_gap_s)
            view = stageplan.EngineView(
                engine=engine, wait_s=wait_s, saturation=saturation
            )
            found.append(view)
        return tuple(found)

    def generation(
        self,
        engine: directory.Registration,
        traits: routing.EngineTraits,
        now: float,
        *,
        new_tokens: int = 0,
    ) -> plancost.Generation:
        """Returns what an engine is believed to generate.

        Args:
            engine: The engine.
            traits: What all have in common.
            now: The present time in seconds.
            new_tokens: Of a stream that may join.
        """
        load = self.load(engine, traits)
        there = load.share(now) + self._others.at(engine.id, now)
        factor = load.pause_factor.value
        after_tokens = there.tokens + new_tokens
        return plancost.Generation(
            streams=there.streams,
            tokens=there.tokens,
            pause_s=factor * self._pauses.expected_s(there.tokens),
            least_pause_s=factor * self._pauses.expected_s(0),
            pause_after_s=factor * self._pauses.expected_s(after_tokens),
            memory_tokens=traits.memory_tokens,
            slots=traits.slots,
            spread_s=self._pauses.spread_s,
            events=self._mean_events,
        )

    def wait_s(
        self,
        engine: directory.Registration,
        traits: routing.EngineTraits,
        now: float,
        urgency: int,
        *,
        known_s: float | None = None,
    ) -> float:
        """Returns how long a prompt would wait at an engine.

        Args:
            engine: The engine.
            traits: What all have in common.
            now: The present time in seconds.
            urgency: The prompt's; 0 is read first.
            known_s: How long that is by the owners of its queue, or None.
        """
        load = self.load(engine, traits)
        if known_s is not None:
            return load.known_wait_s(now, known_s)
        others = self._others.at(engine.id, now)
        return load.wait_s(
            now, urgency=urgency, others_s=others.wait_s(urgency)
        )

    def relative_size(self, tokens: int) -> float:
        """Returns a prompt's tokens against the mean of long ones."""
        if self._mean_tokens == 0.0:
            return 1.0
        return tokens / self._mean_tokens

    def note_size(self, tokens: int) -> None:
        """Takes in a long prompt."""
        if self._mean_tokens == 0.0:
            self._mean_tokens = tokens
        self._mean_tokens += SIZE_WEIGHT * (tokens - self._mean_tokens)

    def note_stream(self, events: int) -> None:
        """Learns from a stream that has ended how many events they have."""
        self._mean_events += SIZE_WEIGHT * (events - self._mean_events)

    def note_read(
        self, plan: placementplan.Plan, took_s: float, now: float
    ) -> None:
        """Learns how much longer readings take than they were expected to.

        Args:
            plan: The plan of a prompt that was read.
            took_s: How long that took, with its wait.
            now: The present time in seconds.
        """
        due_s = plan.wait_s + plan.busy_s + plan.latency_s
        self._delay.note(due_s, took_s, now)

    def note_pause(
        self,
        engine: directory.Registration,
        traits: routing.EngineTraits,
        pause_s: float,
        now: float,
    ) -> None:
        """Learns from the pause before an event of this daemon's streams."""
        load = self.load(engine, traits)
        others = self._others.at(engine.id, now)
        tokens = load.streams.tokens + others.tokens
        self._pauses.note(tokens, pause_s, load.pause_factor)

    def forget(self, live: Iterable[tuple[str, int]]) -> None:
        """Drops what is believed of engines that are gone and idle."""
        kept = set(live)
        for incarnation, load in list(self._loads.items()):
            if incarnation not in kept and load.is_idle:
                del self._loads[incarnation]
