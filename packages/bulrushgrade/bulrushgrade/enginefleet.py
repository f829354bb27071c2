"""Load estimates of one daemon for all engines of a service.

They combine what the daemon observes of its own requests, the loads that peers
advertise, and what all engines have in common: the duration of prefills and the
growth of pauses with the tokens in memory.
"""

from collections.abc import Iterable
import math

from bulrushgrade import directory
from bulrushgrade import engineload
from bulrushgrade import enginespeeds
from bulrushgrade import pausemodel
from bulrushgrade import peerloads
from bulrushgrade import placementplan
from bulrushgrade import plancost
from bulrushgrade import prefilldelay
from bulrushgrade import prefilltimes
from bulrushgrade import routing
from bulrushgrade import speedsamples
from bulrushgrade import stageplan

SAMPLE_WEIGHT = 0.05
"""Weight of one prompt in the running mean of prompt sizes, and of one stream
in the running mean of events per stream: the means cover about twenty
samples."""

INITIAL_EVENTS = 10.0
"""Assumed events per stream before any stream has ended."""


class EngineFleet:
    """Load estimates for the engines of one service."""

    def __init__(
        self,
        *,
        peers: peerloads.PeerLoads | None = None,
        speeds: enginespeeds.EngineSpeeds | None = None,
    ):
        """Initializes the estimates without any observation.

        Args:
            peers: The loads of other daemons.
            speeds: Speeds of engines as measured by all daemons; None if each
                daemon uses its own measurements.
        """
        self._speeds = speeds
        self._peers = peers or peerloads.PeerLoads()
        self._mean_tokens = 0.0
        self._mean_events = INITIAL_EVENTS
        self._delay = prefilldelay.PrefillDelay()
        self._yielding_delay = prefilldelay.PrefillDelay()
        self._times = prefilltimes.PrefillTimes()
        self._pauses = pausemodel.PauseModel()
        self._loads: dict[tuple[str, int], engineload.EngineLoad] = {}

    @property
    def times(self) -> prefilltimes.PrefillTimes:
        """Prefill times of an engine of average speed."""
        return self._times

    def delay_s(self, now: float, urgency: int) -> float:
        """Returns the mean excess of recent prefill times over the expected.

        Prompts of the lowest urgency are overtaken after they were planned, so
        that their excess says nothing of the others.

        Args:
            now: The present time in seconds.
            urgency: The urgency of the prompt that is planned.
        """
        delay_s = self._delay.at(now)
        if urgency == routing.LOWEST_URGENCY:
            delay_s = max(delay_s, self._yielding_delay.at(now))
        return delay_s

    def load(
        self, engine: directory.Registration, traits: routing.EngineTraits
    ) -> engineload.EngineLoad:
        """Returns the load estimate of an engine."""
        load = self._loads.get(engine.incarnation)
        if load is None:
            load = self._make_load(engine.incarnation, traits)
            self._loads[engine.incarnation] = load
        return load

    def shares(self, now: float) -> dict[str, peerloads.EngineShare]:
        """Returns this daemon's load by engine id.

        Requests at a former start of an engine end late if it closes no
        connection; they are no load of its present start.
        """
        born_ms: dict[str, int] = {}
        for id, born in self._loads:
            born_ms[id] = max(born, born_ms.get(id, born))
        return {
            id: load.share(now)
            for (id, born), load in self._loads.items()
            if born == born_ms[id] and not load.is_idle
        }

    def has_peer_streams(
        self, engine: directory.Registration, now: float
    ) -> bool:
        """Returns whether other daemons have streams running at an engine."""
        return self._peers.at(engine.id, now).streams > 0

    def views(
        self,
        engines: list[directory.Registration],
        traits: routing.EngineTraits,
        limits: routing.ServiceLimits,
        now: float,
    ) -> tuple[stageplan.EngineView, ...]:
        """Returns the state of engines for the planning of their roles."""
        found = []
        for engine in engines:
            wait_s = self.wait_s(engine, traits, now, routing.LOWEST_URGENCY)
            decode_load = self.estimate_decode_load(engine, traits, now)
            saturation = plancost.saturation(
                decode_load, wait_s, limits.min_gap_s
            )
            view = stageplan.EngineView(
                engine=engine, wait_s=wait_s, saturation=saturation
            )
            found.append(view)
        return tuple(found)

    def estimate_decode_load(
        self,
        engine: directory.Registration,
        traits: routing.EngineTraits,
        now: float,
        *,
        new_tokens: int = 0,
    ) -> plancost.DecodeLoad:
        """Returns the estimated streams at an engine.

        Args:
            engine: The engine.
            traits: The common properties of the engines.
            now: The present time in seconds.
            new_tokens: Tokens of a stream that may join.
        """
        load = self.load(engine, traits)
        total = load.share(now) + self._peers.at(engine.id, now)
        factor = load.pause_factor.value
        after_tokens = total.tokens + new_tokens
        return plancost.DecodeLoad(
            streams=total.streams,
            tokens=total.tokens,
            pause_s=factor * self._pauses.expected_s(total.tokens),
            min_pause_s=factor * self._pauses.expected_s(0),
            joined_pause_s=factor * self._pauses.expected_s(after_tokens),
            memory_tokens=traits.memory_tokens,
            slots=traits.slots,
            stddev_s=self._pauses.stddev_s,
            events=self._mean_events,
        )

    def count_streams(
        self,
        engine: directory.Registration,
        traits: routing.EngineTraits,
        now: float,
    ) -> tuple[int, int]:
        """Returns the number of streams at an engine and their tokens.

        It takes less CPU time than `estimate_decode_load`.

        Args:
            engine: The engine.
            traits: The common properties of the engines.
            now: The present time in seconds.
        """
        load = self.load(engine, traits)
        peers = self._peers.at(engine.id, now)
        return (
            load.streams.running + peers.streams,
            load.streams.tokens + peers.tokens,
        )

    def wait_s(
        self,
        engine: directory.Registration,
        traits: routing.EngineTraits,
        now: float,
        urgency: int,
        *,
        reported_wait_s: float | None = None,
    ) -> float:
        """Returns how long a prompt would wait at an engine.

        Args:
            engine: The engine.
            traits: The common properties of the engines.
            now: The present time in seconds.
            urgency: The prompt's urgency; 0 is the most urgent.
            reported_wait_s: The wait as reported by the daemons that own the
                engine's queue, or None.
        """
        load = self.load(engine, traits)
        if reported_wait_s is not None:
            return load.wait_behind_s(now, reported_wait_s, urgency=urgency)
        peers = self._peers.at(engine.id, now)
        return load.wait_s(now, urgency=urgency, peers_s=peers.wait_s(urgency))

    def relative_size(self, tokens: int) -> float:
        """Returns a prompt's tokens relative to the mean of long prompts."""
        if self._mean_tokens == 0.0:
            return 1.0
        return tokens / self._mean_tokens

    def observe_prompt(self, tokens: int) -> None:
        """Updates the mean size with a long prompt."""
        if self._mean_tokens == 0.0:
            self._mean_tokens = tokens
        self._mean_tokens += SAMPLE_WEIGHT * (tokens - self._mean_tokens)

    def observe_stream(self, events: int) -> None:
        """Updates the mean number of events with a stream that has ended."""
        self._mean_events += SAMPLE_WEIGHT * (events - self._mean_events)

    def observe_prefill(
        self,
        plan: placementplan.Plan,
        took_s: float,
        now: float,
        *,
        yields: bool = False,
    ) -> None:
        """Updates the mean excess of prefill times over the expected ones.

        Args:
            plan: The plan of a prompt whose prefill has ended.
            took_s: Time from sending the prompt to the response.
            now: The present time in seconds.
            yields: Whether it let more urgent prompts go first.
        """
        expected_total_s = plan.wait_s + plan.busy_s + plan.latency_s
        delay = self._yielding_delay if yields else self._delay
        delay.observe(expected_total_s, took_s, now)

    def observe_pause(
        self,
        engine: directory.Registration,
        traits: routing.EngineTraits,
        pause_s: float,
        now: float,
    ) -> None:
        """Updates the pause model with a pause of this daemon's streams."""
        load = self.load(engine, traits)
        peers = self._peers.at(engine.id, now)
        tokens = load.streams.tokens + peers.tokens
        self._pauses.observe(tokens, pause_s, load.pause_factor)

    def correct_times(self, service: str) -> None:
        """Corrects the prefill times once the speeds of all daemons apply.

        Args:
            service: The service's name.
        """
        if self._speeds is None:
            return
        own, fleet = self._speeds.own, self._speeds.fleet
        found = fleet.find_offset(service, own)
        if found is not None:
            offset, engines = found
            self._times.scale(math.exp(offset))
            own.shift(speedsamples.Kind.PREFILL, engines, offset)

    def forget(self, live: Iterable[tuple[str, int]]) -> None:
        """Drops the estimates of engines that are gone and idle."""
        kept = set(live)
        for incarnation, load in list(self._loads.items()):
            if incarnation not in kept and load.is_idle:
                del self._loads[incarnation]

    def _make_load(
        self, incarnation: tuple[str, int], traits: routing.EngineTraits
    ) -> engineload.EngineLoad:
        speeds = self._speeds
        return engineload.EngineLoad(
            memory_tokens=traits.memory_tokens,
            times=self._times,
            prefill_factor=speeds and speeds.new_prefill_factor(incarnation),
            pause_factor=speeds and speeds.new_pause_factor(incarnation),
        )
