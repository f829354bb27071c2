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

import attrs

from bulrushgrade import directory
from bulrushgrade import enginefleet
from bulrushgrade import enginerank
from bulrushgrade import placementplan
from bulrushgrade import plancost
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

    def __init__(self, *, zone: str, fleet: enginefleet.EngineFleet):
        """Makes a planner.

        Args:
            zone: The availability zone of this daemon.
            fleet: What is known of the engines.
        """
        self._zone = zone
        self._fleet = fleet

    @property
    def fleet(self) -> enginefleet.EngineFleet:
        """What is known of the engines."""
        return self._fleet

    def plan(
        self, given: placementplan.PlanInput, *, may_hand_over: bool
    ) -> placementplan.Plan | None:
        """Returns the best plan, or None where no engine can serve it.

        Args:
            given: What is to be placed.
            may_hand_over: Whether one engine may read for another.
        """
        if given.prompt.prompt_tokens > given.traits.memory_tokens:
            return None
        ranked = enginerank.rank_by_role(
            given.prompt, given.engines, given.traits
        )
        generating = ranked.generating[:CANDIDATES]
        if not generating:
            return None
        if given.prompt.prompt_tokens >= given.traits.long_tokens:
            self._fleet.note_size(given.prompt.prompt_tokens)
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

        def cost_s(plan: placementplan.Plan) -> float:
            return self._cost_s(given, plan, preferred)

        return min(plans, key=cost_s)

    def reading_candidates(
        self, given: placementplan.PlanInput
    ) -> list[directory.Registration]:
        """Returns the engines that are weighed for reading a prompt."""
        ranked = enginerank.rank_by_role(
            given.prompt, given.engines, given.traits
        )
        if not ranked.readers:
            return ranked.generating[:CANDIDATES]
        return self._readers(given, ranked, self._find_holder(given))

    def receiver(
        self, given: placementplan.PlanInput
    ) -> directory.Registration | None:
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
        given: placementplan.PlanInput,
        plan: placementplan.Plan,
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
            spread_s = self._fleet.load(plan.reader, given.traits).read_s(
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
        given: placementplan.PlanInput,
        ranked: enginerank.Ranked,
        holder: directory.Registration | None,
    ) -> list[directory.Registration]:
        """Returns some readers, with those that have the parts or get them."""
        found = ranked.readers[:CANDIDATES]
        if not given.is_long:
            return found

        def expected(engine: directory.Registration) -> int:
            cache = self._fleet.load(engine, given.traits).cache
            return cache.expected_tokens(given.prompt, given.now)

        best = max(ranked.readers, key=expected, default=None)
        if best is not None and expected(best) >= given.traits.long_tokens:
            found.append(best)
        if holder in ranked.readers:
            found.append(holder)
        return list(dict.fromkeys(found))

    def _pick_receiver(
        self,
        given: placementplan.PlanInput,
        ranked: list[directory.Registration],
    ) -> directory.Registration:
        """Returns who generates: by memory, pauses and the queue before."""
        target_s = given.needs.target_s

        def cost_s(place: int) -> float:
            engine = ranked[place]
            there = self._fleet.generation(
                engine, given.traits, given.now, new_tokens=given.end_tokens
            )
            late = plancost.stream_harm(there, given.end_tokens, given.needs)
            return (
                self._fleet.wait_s(
                    engine, given.traits, given.now, given.urgency
                )
                + plancost.slot_wait_s(there)
                + there.pause_after_s
                + target_s * late
                + (OTHER_RECEIVER_TARGETS * target_s if place else 0.0)
            )

        return ranked[min(range(len(ranked)), key=cost_s)]

    def _find_holder(
        self, given: placementplan.PlanInput
    ) -> directory.Registration | None:
        """Returns the engine that keeps most of a prompt's shared parts."""
        if not given.is_long:
            return None

        def kept(engine: directory.Registration) -> tuple[int, bool]:
            cache = self._fleet.load(engine, given.traits).cache
            return cache.cached_tokens(given.prompt), engine.zone == self._zone

        best = max(given.engines, key=kept, default=None)
        if best is None or kept(best)[0] < given.traits.long_tokens:
            return None
        return best

    def _place(
        self, given: placementplan.PlanInput, engine: directory.Registration
    ) -> _Place:
        load = self._fleet.load(engine, given.traits)
        known_s = given.known_s.get(engine.id)
        return _Place(
            wait_s=self._fleet.wait_s(
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
        given: placementplan.PlanInput,
        decode: directory.Registration,
        prefill: directory.Registration | None,
        holder: directory.Registration | None,
    ) -> placementplan.Plan:
        prompt, traits = given.prompt, given.traits
        reader = prefill or decode
        place, load = (
            self._place(given, reader),
            self._fleet.load(reader, traits),
        )
        take_over_s = self._fleet.times.latency_s(readtimes.Way.TAKEN_OVER)
        cached = place.has_tokens
        fetch_from, fetch_s, move_s = None, 0.0, 0.0
        if holder is not None and holder is not reader:
            held = self._fleet.load(holder, traits).cache.cached_tokens(prompt)
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
            latency_s = self._fleet.times.latency_s(readtimes.Way.IN_PLACE)
            take_over_s = 0.0
        else:
            latency_s = self._fleet.times.latency_s(readtimes.Way.APART)
            move_s += _transfer_s(prompt.prompt_tokens, prefill, decode, traits)
        delay_s = self._fleet.delay_s(given.now)
        there = self._fleet.generation(
            decode, traits, given.now, new_tokens=given.end_tokens
        )
        first_s = place.wait_s + read_s + move_s + latency_s + take_over_s
        first_s += plancost.slot_wait_s(there)
        late = plancost.first_late(first_s + delay_s, given.needs)
        late += plancost.stream_harm(there, given.end_tokens, given.needs)
        if prefill is None:
            late += plancost.reading_harm(
                there, place.wait_s, read_s + fetch_s, given.needs
            )
        return placementplan.Plan(
            decode=decode,
            prefill=prefill,
            fetch_from=fetch_from,
            relative_size=self._fleet.relative_size(prompt.prompt_tokens),
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
