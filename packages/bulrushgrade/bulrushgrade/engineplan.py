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
from bulrushgrade import peerqueues
from bulrushgrade import prompt as prompt_module
from bulrushgrade import readslowdown
from bulrushgrade import readtimes
from bulrushgrade import routing

REREAD_WEIGHT = 1.0
"""What a second of reading costs others, beside the second that it costs the
request itself: it takes the place of someone else's prompt."""

CANDIDATES = 4
"""Engines of a role that are weighed for a prompt, beside the one that has its
part. What is known of queues is as old as the last messages; were all daemons
to pick the best of all engines by it, they would pick the same one until the
next messages. Four of them, others for each prompt, nearly always include one
with a short queue."""

FETCH_S = 0.01
"""The fixed time of fetching cached parts from another engine."""

FETCH_WEIGHT = 2.0
"""What a second of fetching counts as, beside the second itself: it takes the
links of two engines."""

DISTURB_WEIGHT = 16.0
"""What a second of reading a long prompt at an engine that generates costs
others: each of its streams stands still for that time, piece by piece, and a
stream whose events come too slowly is late as a whole. A short prompt holds
them up for less than the time between two events."""

FETCH_TOKENS = 1000
"""Fewer missing tokens than these are read, not fetched."""

NOT_PREFERRED_S = 0.3
"""What reading a part elsewhere counts as where no engine is known to have
it. Two daemons that meet a new part at the same time then read it once, at
its preferred engine; about what reading it twice would cost."""

HANDOVER_TOKENS = 100
"""Shorter prompts are read where they are generated; the handover alone takes
longer than reading them."""

OTHER_RECEIVER_S = 0.02
"""What another receiver than the first in a prompt's order counts as: what it
is handed stays in its memory and pushes out other parts."""

OTHER_ZONE_S = 0.01
"""What another availability zone counts as, in seconds of waiting: it takes
bytes between zones and a few milliseconds. It decides among equals only."""

OTHER_ZONE_TRANSFER = 2.0
"""A transfer between zones takes this many times as long."""


SIZE_WEIGHT = 0.05
"""Of each prompt in the running mean of sizes: some twenty prompts."""


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
        slowdown: Observed to expected time of recent readings, 1 or more.
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
    slowdown: float = 1.0


@attrs.frozen(kw_only=True)
class _Place:
    """What a prompt would meet at an engine.

    Attributes:
        wait_s: How long it would wait before it is read.
        has_tokens: Its leading tokens that the engine has by then.
    """

    wait_s: float
    has_tokens: int


class EnginePlanner:
    """Plans requests for the engines of one service."""

    def __init__(
        self, *, zone: str, others: peerqueues.PeerQueues | None = None
    ):
        """Makes a planner that has seen no engine.

        Args:
            zone: The availability zone of this daemon.
            others: What other daemons have waiting at engines.
        """
        self._zone = zone
        self._others = others or peerqueues.PeerQueues()
        self._mean_tokens = 0.0
        self._slowdown = readslowdown.ReadSlowdown()
        self._times = readtimes.ReadTimes()
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

    def queued_s(self, now: float) -> dict[str, float]:
        """Returns the seconds of reading that wait for this daemon."""
        return {
            incarnation[0]: load.queued_s(now)
            for incarnation, load in self._loads.items()
            if load.readings
        }

    def waits_s(
        self,
        engines: list[directory.Registration],
        traits: routing.EngineTraits,
        now: float,
    ) -> dict[str, float]:
        """Returns how long new work would wait at each engine, by id."""
        return {e.id: self._wait_s(e, traits, now) for e in engines}

    def note_read(self, plan: Plan, took_s: float, now: float) -> None:
        """Learns how much longer readings take than they were expected to.

        Args:
            plan: The plan of a prompt that was read.
            took_s: How long that took, with its wait.
            now: The present time in seconds.
        """
        due_s = plan.wait_s + plan.busy_s + plan.latency_s
        self._slowdown.note(due_s, took_s, now)

    def forget(self, live: Iterable[tuple[str, int]]) -> None:
        """Drops what is believed of engines that are gone and idle."""
        kept = set(live)
        for incarnation, load in list(self._loads.items()):
            if incarnation not in kept and not load.readings:
                del self._loads[incarnation]

    def plan(
        self,
        prompt: prompt_module.Prompt,
        engines: list[directory.Registration],
        traits: routing.EngineTraits,
        *,
        now: float,
        may_hand_over: bool,
        known_s: Mapping[str, float] | None = None,
    ) -> Plan | None:
        """Returns the best plan, or None where no engine generates.

        Args:
            prompt: What is to be read.
            engines: Those that may be used.
            traits: What they have in common.
            now: The present time in seconds.
            may_hand_over: Whether one engine may read for another.
            known_s: How long it would wait at engines, by id, where that is
                known from the owners of their queues.
        """
        known_s = known_s or {}
        ranked = enginerank.rank_by_role(prompt, engines)
        decoders, preferred = ranked.generating[:CANDIDATES], ranked.preferred
        if not decoders:
            return None
        if prompt.prompt_tokens >= enginerank.LONG_PROMPT_TOKENS:
            self._note_size(prompt.prompt_tokens)
        holder = self._find_holder(prompt, engines, traits)

        def place(engine: directory.Registration) -> _Place:
            load, known = self.load(engine, traits), known_s.get(engine.id)
            return _Place(
                wait_s=self._wait_s(engine, traits, now, known_s=known),
                has_tokens=load.cache.expected_tokens(prompt, now),
            )

        def cost(plan: Plan) -> float:
            away = sum(
                OTHER_ZONE_S
                for engine in (plan.decode, plan.prefill)
                if engine is not None and engine.zone != self._zone
            )
            reader = plan.prefill or plan.decode
            if (
                holder is None
                and preferred is not None
                and reader is not preferred
            ):
                away += NOT_PREFERRED_S
            weight = REREAD_WEIGHT
            if (
                plan.prefill is None
                and prompt.prompt_tokens >= enginerank.LONG_PROMPT_TOKENS
            ):
                weight = DISTURB_WEIGHT
            return (
                plan.first_s
                + weight * plan.read_s
                + FETCH_WEIGHT * plan.move_s
                + away
            )

        plans = [
            self._read_at(prompt, engine, None, traits, holder, place(engine))
            for engine in decoders
        ]
        if may_hand_over and prompt.prompt_tokens >= HANDOVER_TOKENS:
            receiver = self._pick_receiver(decoders, traits, now)
            plans += [
                self._read_at(
                    prompt, receiver, engine, traits, holder, place(engine)
                )
                for engine in self._readers(prompt, ranked, traits, holder, now)
            ]
        best = min(plans, key=cost)
        return attrs.evolve(best, slowdown=self._slowdown.at(now))

    def reading_candidates(
        self,
        prompt: prompt_module.Prompt,
        engines: list[directory.Registration],
        traits: routing.EngineTraits,
        *,
        now: float,
    ) -> list[directory.Registration]:
        """Returns the engines that are weighed for reading a prompt."""
        ranked = enginerank.rank_by_role(prompt, engines)
        holder = self._find_holder(prompt, engines, traits)
        if not ranked.readers:
            return ranked.generating[:CANDIDATES]
        return self._readers(prompt, ranked, traits, holder, now)

    def _readers(
        self,
        prompt: prompt_module.Prompt,
        ranked: enginerank.Ranked,
        traits: routing.EngineTraits,
        holder: directory.Registration | None,
        now: float,
    ) -> list[directory.Registration]:
        """Returns some readers, with those that have the parts or get them."""
        found = ranked.readers[:CANDIDATES]
        if prompt.shared_tokens < enginerank.LONG_PROMPT_TOKENS:
            return found

        def expected(engine: directory.Registration) -> int:
            return self.load(engine, traits).cache.expected_tokens(prompt, now)

        best = max(ranked.readers, key=expected, default=None)
        if best is not None and expected(best) >= FETCH_TOKENS:
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

    def receiver(
        self,
        prompt: prompt_module.Prompt,
        engines: list[directory.Registration],
        traits: routing.EngineTraits,
        *,
        now: float,
    ) -> directory.Registration | None:
        """Returns who generates what another engine reads or has read.

        The receiver keeps what it is handed, so the same part should go to
        the same one: on several it would push out what is kept there.
        """
        ranked = enginerank.rank_by_role(prompt, engines)
        decoders = ranked.generating[:CANDIDATES]
        return self._pick_receiver(decoders, traits, now) if decoders else None

    def _pick_receiver(
        self,
        ranked: list[directory.Registration],
        traits: routing.EngineTraits,
        now: float,
    ) -> directory.Registration:
        def cost(place: int) -> float:
            waits_s = self._wait_s(ranked[place], traits, now)
            return waits_s + (OTHER_RECEIVER_S if place else 0.0)

        return ranked[min(range(len(ranked)), key=cost)]

    def _wait_s(
        self,
        engine: directory.Registration,
        traits: routing.EngineTraits,
        now: float,
        *,
        known_s: float | None = None,
    ) -> float:
        load = self.load(engine, traits)
        if known_s is not None:
            return load.known_wait_s(now, known_s)
        others_s = self._others.queued_s(engine.id, now)
        return load.wait_s(now, others_s=others_s)

    def _find_holder(
        self,
        prompt: prompt_module.Prompt,
        engines: list[directory.Registration],
        traits: routing.EngineTraits,
    ) -> directory.Registration | None:
        """Returns the engine that keeps most of a prompt's shared parts."""
        if prompt.shared_tokens < enginerank.LONG_PROMPT_TOKENS:
            return None

        def kept(engine: directory.Registration) -> tuple[int, bool]:
            held = self.load(engine, traits).cache.cached_tokens(prompt)
            return held, engine.zone == self._zone

        best = max(engines, key=kept, default=None)
        if best is None or kept(best)[0] < FETCH_TOKENS:
            return None
        return best

    def _read_at(
        self,
        prompt: prompt_module.Prompt,
        decode: directory.Registration,
        prefill: directory.Registration | None,
        traits: routing.EngineTraits,
        holder: directory.Registration | None,
        place: _Place,
    ) -> Plan:
        reader = prefill or decode
        load = self.load(reader, traits)
        cached = place.has_tokens
        fetch_from, fetch_s, move_s = None, 0.0, 0.0
        if holder is not None and holder is not reader:
            held = self.load(holder, traits).cache.cached_tokens(prompt)
            if held - cached >= FETCH_TOKENS:
                fetch_from = holder
                fetch_s = FETCH_S
                fetch_s += _transfer_s(held - cached, holder, reader, traits)
                move_s += fetch_s
                cached = held
        tokens = max(1, prompt.prompt_tokens - cached)
        read_s = tokens / load.tokens_per_s(reader.stage)
        latency_s = self._times.latency_s(readtimes.Way.IN_PLACE)
        take_over_s = 0.0
        if prefill is not None:
            latency_s = self._times.latency_s(readtimes.Way.APART)
            take_over_s = self._times.latency_s(readtimes.Way.TAKEN_OVER)
            move_s += _transfer_s(prompt.prompt_tokens, prefill, decode, traits)
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
            first_s=place.wait_s + read_s + move_s + latency_s + take_over_s,
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
