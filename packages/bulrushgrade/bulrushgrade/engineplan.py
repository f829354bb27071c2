"""Which engine reads a prompt and which one generates the answer.

Load: many long prompts that begin with one of some hundred shared parts, and
many short ones, on a few engines whose memories together just hold all the
parts. Harm: where each daemon places by its own queue alone, every part ends
up on every engine, none keeps it, and reading it again takes more of the
engines than all other work. So work goes where its shared part is, or has the
part fetched from there, which takes a twentieth of the time of reading it. A
part that no engine is known to have is read at a preferred engine, which all
daemons derive alike from the part's id and the engines' ids without a message.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from bulrushgrade import directory
from bulrushgrade import engineload
from bulrushgrade import enginerank
from bulrushgrade import pausemodel
from bulrushgrade import peerloads
from bulrushgrade import plancost
from bulrushgrade import prompt as prompt_module
from bulrushgrade import readdelay
from bulrushgrade import readtimes
from bulrushgrade import routing
from bulrushgrade import stageplan

REREAD_WEIGHT = 1.0
"""What a second of reading costs others, beside the second that it costs the
request itself: it takes the place of someone else's prompt."""

CANDIDATES = 4
"""Engines of a role that are weighed for a prompt, beside the one that has its
part. What is known of queues is as old as the last messages; were all daemons
to pick the best of all engines by it, they would pick the same one until the
next messages. Four of them, others for each prompt, nearly always include one
with a short queue."""

FETCH_WEIGHT = 2.0
"""What a second of fetching counts as, beside the second itself: it takes the
links of two engines."""

FETCH_LATENCY = 0.5
"""The fixed time of fetching cached parts, as a part of that of taking over a
prompt, which is a request and a fetch."""

OTHER_ZONE_TARGETS = 0.02
"""What another availability zone counts as, in targets of the request: it
takes bytes between zones and a few milliseconds. It decides among equals
only."""

OTHER_RECEIVER_TARGETS = 0.03
"""The same for another receiver than the first in a prompt's order: what it is
handed stays in its memory and pushes out other parts."""

OTHER_ZONE_TRANSFER = 2.0
"""A transfer between zones takes this many times as long."""

SIZE_WEIGHT = 0.05
"""Of each prompt in the running mean of sizes, and of each stream in that of
its events: some twenty."""

START_EVENTS = 10.0
"""Events of a stream, until streams tell."""


@attrs.frozen(kw_only=True)
class Plan:
    """Where a request goes.

    Attributes:
        decode: The engine that generates.
        prefill: The engine that reads the prompt for it, or None where the
            generating one reads it itself.
        fetch_from: Who has the shared parts that the reading engine lacks,
            or None where it has them or has to read them.
        relative_size: The whole prompt's tokens against the mean.
        wait_s: How long it is expected to wait before that.
        read_tokens: How many tokens are expected to be read.
        read_s: How long that should take by itself.
        busy_s: How long it keeps the reading engine from the next prompt:
            reading it and fetching what it lacks.
        move_s: How long KV cache is moved between engines for it.
        latency_s: From the end of the reading to its answer.
        take_over_s: From then to the first event, without the move itself,
            where another engine generates.
        first_s: When the first event is expected, seconds from now.
        delay_s: How much longer recent readings took than expected.
        late_answers: How many answers are expected to become late by it, the
            request's own and others'.
    """

    decode: directory.Registration
    prefill: directory.Registration | None
    fetch_from: directory.Registration | None
    relative_size: float
    wait_s: float
    read_tokens: int
    read_s: float
    busy_s: float
    move_s: float
    latency_s: float
    take_over_s: float
    first_s: float
    delay_s: float = 0.0
    late_answers: float = 0.0

    @property
    def reader(self) -> directory.Registration:
        """The engine that reads the prompt."""
        return self.prefill or self.decode


@attrs.frozen(kw_only=True)
class _Place:
    """What a prompt would meet at an engine.

    Attributes:
        wait_s: How long it would wait before it is read.
        has_tokens: Its leading tokens that the engine has by then.
    """

    wait_s: float
    has_tokens: int


@attrs.frozen(kw_only=True)
class PlanInput:
    """A prompt that is to be placed, and all that does not depend on where.

    Attributes:
        prompt: What is to be read.
        engines: Those that may be used.
        traits: What they have in common.
        needs: What the request and its service allow.
        now: The present time in seconds.
        urgency: The prompt's; 0 is read first.
        known_s: How long it would wait at engines, by id, where that is
            known from the owners of their queues.
    """

    prompt: prompt_module.Prompt
    engines: list[directory.Registration]
    traits: routing.EngineTraits
    needs: plancost.Needs
    now: float
    urgency: int = 0
    known_s: Mapping[str, float] = attrs.field(factory=dict)

    @property
    def end_tokens(self) -> int:
        """What its stream has in an engine's memory at most."""
        return self.prompt.prompt_tokens + self.prompt.output_tokens

    @property
    def is_long(self) -> bool:
        """Whether its shared parts are worth keeping in one place."""
        return self.prompt.shared_tokens >= self.traits.long_tokens

    def rank(self) -> enginerank.Ranked:
        """Returns the engines in the prompt's order."""
        return enginerank.rank_by_role(self.prompt, self.engines, self.traits)


class EnginePlanner:
    """Plans requests for the engines of one service."""

    def __init__(self, *, zone: str, others: peerloads.PeerLoads | None = None):
        """Makes a planner that has seen no engine.

        Args:
            zone: The availability zone of this daemon.
            others: What other daemons have at engines.
        """
        self._zone = zone
        self._others = others or peerloads.PeerLoads()
        self._mean_tokens = 0.0
        self._mean_events = START_EVENTS
        self._delay = readdelay.ReadDelay()
        self._times = readtimes.ReadTimes()
        self._pauses = pausemodel.PauseModel()
        self._loads: dict[tuple[str, int], engineload.EngineLoad] = {}

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
            wait_s = self._wait_s(engine, traits, now, routing.LEAST_URGENT)
            there = self.generation(engine, traits, now)
            crowding = plancost.crowding(there, wait_s, limits.least_gap_s)
            view = stageplan.EngineView(
                engine=engine, wait_s=wait_s, crowding=crowding
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
            pause_after_s=factor * self._pauses.expected_s(after_tokens),
            memory_tokens=traits.memory_tokens,
            slots=traits.slots,
            spread_s=self._pauses.spread_s,
            events=self._mean_events,
        )

    def note_stream(self, events: int) -> None:
        """Learns from a stream that has ended how many events they have."""
        self._mean_events += SIZE_WEIGHT * (events - self._mean_events)

    def note_read(self, plan: Plan, took_s: float, now: float) -> None:
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

    def plan(self, given: PlanInput, *, may_hand_over: bool) -> Plan | None:
        """Returns the best plan, or None where no engine generates.

        Args:
            given: What is to be placed.
            may_hand_over: Whether one engine may read for another.
        """
        ranked = enginerank.rank_by_role(
            given.prompt, given.engines, given.traits
        )
        generating = ranked.generating[:CANDIDATES]
        if not generating:
            return None
        if given.prompt.prompt_tokens >= given.traits.long_tokens:
            self._note_size(given.prompt.prompt_tokens)
        holder = self._find_holder(given)
        plans = [
            self._plan_at(given, engine, None, holder) for engine in generating
        ]
        if may_hand_over:
            receiver = self._pick_receiver(given, generating)
            plans += [
                self._plan_at(given, receiver, reader, holder)
                for reader in self._readers(given, ranked, holder)
            ]
        preferred = ranked.preferred if holder is None else None

        def cost_s(plan: Plan) -> float:
            return self._cost_s(given, plan, preferred)

        return min(plans, key=cost_s)

    def reading_candidates(
        self, given: PlanInput
    ) -> list[directory.Registration]:
        """Returns the engines that are weighed for reading a prompt."""
        ranked = enginerank.rank_by_role(
            given.prompt, given.engines, given.traits
        )
        if not ranked.readers:
            return ranked.generating[:CANDIDATES]
        return self._readers(given, ranked, self._find_holder(given))

    def receiver(self, given: PlanInput) -> directory.Registration | None:
        """Returns who generates what another engine reads or has read.

        The receiver keeps what it is handed, so the same part should go to
        the same one: on several it would push out what is kept there.
        """
        ranked = enginerank.rank_by_role(
            given.prompt, given.engines, given.traits
        )
        generating = ranked.generating[:CANDIDATES]
        return self._pick_receiver(given, generating) if generating else None

    def _cost_s(
        self,
        given: PlanInput,
        plan: Plan,
        preferred: directory.Registration | None,
    ) -> float:
        """Returns the seconds that a plan costs this caller and others.

        Args:
            given: What is placed.
            plan: Where it would go.
            preferred: Who reads its shared part first, where nobody has it.
        """
        target_s = given.needs.target_s
        away = sum(
            engine.zone != self._zone
            for engine in (plan.decode, plan.prefill)
            if engine is not None
        )
        spread_s = 0.0
        if preferred is not None and plan.reader is not preferred:
            # Two daemons that meet a new part at the same time then read it
            # once.
            spread_s = self.load(plan.reader, given.traits).read_s(
                given.prompt.shared_tokens, 0, plan.reader.stage
            )
        return (
            plan.first_s
            + target_s * plan.late_answers
            + REREAD_WEIGHT * plan.read_s
            + FETCH_WEIGHT * plan.move_s
            + OTHER_ZONE_TARGETS * target_s * away
            + spread_s
        )

    def _readers(
        self,
        given: PlanInput,
        ranked: enginerank.Ranked,
        holder: directory.Registration | None,
    ) -> list[directory.Registration]:
        """Returns some readers, with those that have the parts or get them."""
        found = ranked.readers[:CANDIDATES]
        if not given.is_long:
            return found

        def expected(engine: directory.Registration) -> int:
            cache = self.load(engine, given.traits).cache
            return cache.expected_tokens(given.prompt, given.now)

        best = max(ranked.readers, key=expected, default=None)
        if best is not None and expected(best) >= given.traits.long_tokens:
            found.append(best)
        if holder in ranked.readers:
            found.append(holder)
        return list(dict.fromkeys(found))

    def _relative_size(self, prompt: prompt_module.Prompt) -> float:
        if self._mean_tokens == 0.0:
            return 1.0
        return prompt.prompt_tokens / self._mean_tokens

    def _note_size(self, tokens: int) -> None:
        if self._mean_tokens == 0.0:
            self._mean_tokens = tokens
        self._mean_tokens += SIZE_WEIGHT * (tokens - self._mean_tokens)

    def _pick_receiver(
        self, given: PlanInput, ranked: list[directory.Registration]
    ) -> directory.Registration:
        """Returns who generates: by memory, pauses and the queue before."""
        target_s = given.needs.target_s

        def cost_s(place: int) -> float:
            engine = ranked[place]
            there = self.generation(
                engine, given.traits, given.now, new_tokens=given.end_tokens
            )
            late = plancost.stream_harm(there, given.end_tokens, given.needs)
            return (
                self._wait_s(engine, given.traits, given.now, given.urgency)
                + there.pause_after_s
                + target_s * late
                + (OTHER_RECEIVER_TARGETS * target_s if place else 0.0)
            )

        return ranked[min(range(len(ranked)), key=cost_s)]

    def _wait_s(
        self,
        engine: directory.Registration,
        traits: routing.EngineTraits,
        now: float,
        urgency: int,
        *,
        known_s: float | None = None,
    ) -> float:
        load = self.load(engine, traits)
        if known_s is not None:
            return load.known_wait_s(now, known_s)
        others = self._others.at(engine.id, now)
        return load.wait_s(
            now, urgency=urgency, others_s=others.wait_s(urgency)
        )

    def _find_holder(self, given: PlanInput) -> directory.Registration | None:
        """Returns the engine that keeps most of a prompt's shared parts."""
        if not given.is_long:
            return None

        def kept(engine: directory.Registration) -> tuple[int, bool]:
            cache = self.load(engine, given.traits).cache
            return cache.cached_tokens(given.prompt), engine.zone == self._zone

        best = max(given.engines, key=kept, default=None)
        if best is None or kept(best)[0] < given.traits.long_tokens:
            return None
        return best

    def _place(
        self, given: PlanInput, engine: directory.Registration
    ) -> _Place:
        load = self.load(engine, given.traits)
        known_s = given.known_s.get(engine.id)
        return _Place(
            wait_s=self._wait_s(
                engine,
                given.traits,
                given.now,
                given.urgency,
                known_s=known_s,
            ),
            has_tokens=load.cache.expected_tokens(given.prompt, given.now),
        )

    def _plan_at(
        self,
        given: PlanInput,
        decode: directory.Registration,
        prefill: directory.Registration | None,
        holder: directory.Registration | None,
    ) -> Plan:
        prompt, traits = given.prompt, given.traits
        reader = prefill or decode
        place, load = self._place(given, reader), self.load(reader, traits)
        take_over_s = self._times.latency_s(readtimes.Way.TAKEN_OVER)
        cached = place.has_tokens
        fetch_from, fetch_s, move_s = None, 0.0, 0.0
        if holder is not None and holder is not reader:
            held = self.load(holder, traits).cache.cached_tokens(prompt)
            moved_s = FETCH_LATENCY * take_over_s
            moved_s += _transfer_s(held - cached, holder, reader, traits)
            if load.read_s(held - cached, cached, reader.stage) > moved_s:
                fetch_from, fetch_s = holder, moved_s
                move_s += fetch_s
                cached = held
        tokens = max(1, prompt.prompt_tokens - cached)
        read_s = load.read_s(
            tokens, prompt.prompt_tokens - tokens, reader.stage
        )
        if prefill is None:
            latency_s = self._times.latency_s(readtimes.Way.IN_PLACE)
            take_over_s = 0.0
        else:
            latency_s = self._times.latency_s(readtimes.Way.APART)
            move_s += _transfer_s(prompt.prompt_tokens, prefill, decode, traits)
        first_s = place.wait_s + read_s + move_s + latency_s + take_over_s
        delay_s = self._delay.at(given.now)
        there = self.generation(
            decode, traits, given.now, new_tokens=given.end_tokens
        )
        late = plancost.first_late(first_s + delay_s, given.needs)
        late += plancost.stream_harm(there, given.end_tokens, given.needs)
        if prefill is None:
            late += plancost.reading_harm(
                there, place.wait_s, read_s + fetch_s, given.needs
            )
        return Plan(
            decode=decode,
            prefill=prefill,
            fetch_from=fetch_from,
            relative_size=self._relative_size(prompt),
            wait_s=place.wait_s,
            read_tokens=tokens,
            read_s=read_s,
            busy_s=read_s + fetch_s,
            move_s=move_s,
            latency_s=latency_s,
            take_over_s=take_over_s,
            first_s=first_s,
            delay_s=delay_s,
            late_answers=late,
        )


def _transfer_s(
    tokens: int,
    source: directory.Registration,
    destination: directory.Registration,
    traits: routing.EngineTraits,
) -> float:
    moved_s = tokens * traits.token_bytes / max(traits.link_bytes_per_s, 1.0)
    if source.zone != destination.zone:
        moved_s *= OTHER_ZONE_TRANSFER
    return moved_s
