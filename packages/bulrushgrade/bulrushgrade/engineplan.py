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
from bulrushgrade import prefilltimes
from bulrushgrade import routing

PREFILL_WEIGHT = 1.0
"""What a second of reading costs others, beside the second that it costs the
request itself: it takes the place of someone else's prompt."""

MAX_CANDIDATES = 4
"""Engines of a role that are weighed for a prompt, beside the one that has its
part. What is known of queues is as old as the last messages; were all daemons
to pick the best of all engines by it, they would pick the same one until the
next messages. Four of them, others for each prompt, nearly always include one
with a short queue."""

TRANSFER_WEIGHT = 2.0
"""What a second of fetching counts as, beside the second itself: it takes the
links of two engines."""

FETCH_LATENCY_FRACTION = 0.5
"""The fixed time of fetching cached parts, as a part of that of taking over a
prompt, which is a request and a fetch."""

OTHER_ZONE_PENALTY = 0.02
"""What another availability zone counts as, in targets of the request: it
takes bytes between zones and a few milliseconds. It decides among equals
only."""

OTHER_DECODER_PENALTY = 0.03
"""The same for another receiver than the first in a prompt's order: what it is
handed stays in its memory and pushes out other parts."""

OTHER_ZONE_TRANSFER_FACTOR = 2.0
"""A transfer between zones takes this many times as long."""


@attrs.frozen(kw_only=True)
class _PlacementEstimate:
    """What a prompt would meet at an engine.

    Attributes:
        wait_s: How long it would wait before it is read.
        reusable_tokens: Its leading tokens that the engine has by then.
    """

    wait_s: float
    reusable_tokens: int


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
        self, request: placementplan.PlanRequest, *, allow_handover: bool
    ) -> placementplan.Plan | None:
        """Returns the best plan, or None where no engine can serve it.

        Args:
            request: What is to be placed.
            allow_handover: Whether one engine may read for another.
        """
        if request.prompt.prompt_tokens > request.traits.memory_tokens:
            return None
        ranked = enginerank.rank_by_role(
            request.prompt, request.engines, request.traits
        )
        decoders = ranked.decoders[:MAX_CANDIDATES]
        if not decoders:
            return None
        if request.prompt.prompt_tokens >= request.traits.long_tokens:
            self._fleet.observe_prompt(request.prompt.prompt_tokens)
        holder = self._find_holder(request)
        plans = [
            self._plan_at(request, engine, None, holder) for engine in decoders
        ]
        if allow_handover:
            decoder = self._pick_decoder(request, decoders)
            plans += [
                self._plan_at(request, decoder, prefiller, holder)
                for prefiller in self._prefillers(request, ranked, holder)
            ]
        preferred = ranked.preferred if holder is None else None

        def cost_s(plan: placementplan.Plan) -> float:
            return self._cost_s(request, plan, preferred)

        return min(plans, key=cost_s)

    def prefill_candidates(
        self, request: placementplan.PlanRequest
    ) -> list[directory.Registration]:
        """Returns the engines that are weighed for reading a prompt."""
        ranked = enginerank.rank_by_role(
            request.prompt, request.engines, request.traits
        )
        if not ranked.prefillers:
            return ranked.decoders[:MAX_CANDIDATES]
        return self._prefillers(request, ranked, self._find_holder(request))

    def choose_decoder(
        self, request: placementplan.PlanRequest
    ) -> directory.Registration | None:
        """Returns who generates what another engine reads or has read.

        The receiver keeps what it is handed, so the same part should go to
        the same one: on several it would push out what is kept there.
        """
        ranked = enginerank.rank_by_role(
            request.prompt, request.engines, request.traits
        )
        decoders = ranked.decoders[:MAX_CANDIDATES]
        return self._pick_decoder(request, decoders) if decoders else None

    def _cost_s(
        self,
        request: placementplan.PlanRequest,
        plan: placementplan.Plan,
        preferred: directory.Registration | None,
    ) -> float:
        """Returns the seconds that a plan costs this caller and others.

        Args:
            request: What is placed.
            plan: Where it would go.
            preferred: Who reads its shared part first, where nobody has it.
        """
        target_s = request.latency_targets.target_s
        other_zone_engines = sum(
            engine.zone != self._zone
            for engine in (plan.decode, plan.prefill)
            if engine is not None
        )
        duplicate_prefill_s = 0.0
        if preferred is not None and plan.prefiller is not preferred:
            # Two daemons that meet a new part at the same time then read it
            # once.
            duplicate_prefill_s = self._fleet.load(
                plan.prefiller, request.traits
            ).prefill_s(request.prompt.shared_tokens, 0, plan.prefiller.stage)
        return (
            plan.first_event_s
            + target_s * plan.late_answers
            + PREFILL_WEIGHT * plan.prefill_s
            + TRANSFER_WEIGHT * plan.transfer_s
            + OTHER_ZONE_PENALTY * target_s * other_zone_engines
            + duplicate_prefill_s
        )

    def _prefillers(
        self,
        request: placementplan.PlanRequest,
        ranked: enginerank.RankedEngines,
        holder: directory.Registration | None,
    ) -> list[directory.Registration]:
        """Returns some readers, with those that have the parts or get them."""
        found = ranked.prefillers[:MAX_CANDIDATES]
        if not request.is_long:
            return found

        def expected(engine: directory.Registration) -> int:
            cache = self._fleet.load(engine, request.traits).cache
            return cache.expected_tokens(request.prompt, request.now)

        best = max(ranked.prefillers, key=expected, default=None)
        if best is not None and expected(best) >= request.traits.long_tokens:
            found.append(best)
        if holder in ranked.prefillers:
            found.append(holder)
        return list(dict.fromkeys(found))

    def _pick_decoder(
        self,
        request: placementplan.PlanRequest,
        ranked: list[directory.Registration],
    ) -> directory.Registration:
        """Returns who generates: by memory, pauses and the queue before."""
        target_s = request.latency_targets.target_s

        def cost_s(index: int) -> float:
            engine = ranked[index]
            decode_load = self._fleet.estimate_decode_load(
                engine,
                request.traits,
                request.now,
                new_tokens=request.peak_tokens,
            )
            late = plancost.added_stream_cost(
                decode_load, request.peak_tokens, request.latency_targets
            )
            return (
                self._fleet.wait_s(
                    engine, request.traits, request.now, request.urgency
                )
                + plancost.slot_wait_s(decode_load)
                + decode_load.joined_pause_s
                + target_s * late
                + (OTHER_DECODER_PENALTY * target_s if index else 0.0)
            )

        return ranked[min(range(len(ranked)), key=cost_s)]

    def _find_holder(
        self, request: placementplan.PlanRequest
    ) -> directory.Registration | None:
        """Returns the engine that keeps most of a prompt's shared parts."""
        if not request.is_long:
            return None

        def kept(engine: directory.Registration) -> tuple[int, bool]:
            cache = self._fleet.load(engine, request.traits).cache
            return cache.cached_tokens(
                request.prompt
            ), engine.zone == self._zone

        best = max(request.engines, key=kept, default=None)
        if best is None or kept(best)[0] < request.traits.long_tokens:
            return None
        return best

    def _estimate_placement(
        self, request: placementplan.PlanRequest, engine: directory.Registration
    ) -> _PlacementEstimate:
        load = self._fleet.load(engine, request.traits)
        reported_wait_s = request.reported_wait_s.get(engine.id)
        return _PlacementEstimate(
            wait_s=self._fleet.wait_s(
                engine,
                request.traits,
                request.now,
                request.urgency,
                reported_wait_s=reported_wait_s,
            ),
            reusable_tokens=load.cache.expected_tokens(
                request.prompt, request.now
            ),
        )

    def _plan_at(
        self,
        request: placementplan.PlanRequest,
        decode: directory.Registration,
        prefill: directory.Registration | None,
        holder: directory.Registration | None,
    ) -> placementplan.Plan:
        prompt, traits = request.prompt, request.traits
        prefiller = prefill or decode
        estimate, load = (
            self._estimate_placement(request, prefiller),
            self._fleet.load(prefiller, traits),
        )
        handover_s = self._fleet.times.latency_s(
            prefilltimes.PrefillMode.TAKEN_OVER
        )
        cached = estimate.reusable_tokens
        fetch_from, fetch_s, transfer_s = None, 0.0, 0.0
        if holder is not None and holder is not prefiller:
            holder_tokens = self._fleet.load(
                holder, traits
            ).cache.cached_tokens(prompt)
            moved_s = FETCH_LATENCY_FRACTION * handover_s
            moved_s += _transfer_s(
                holder_tokens - cached, holder, prefiller, traits
            )
            if (
                load.prefill_s(holder_tokens - cached, cached, prefiller.stage)
                > moved_s
            ):
                fetch_from, fetch_s = holder, moved_s
                transfer_s += fetch_s
                cached = holder_tokens
        tokens = max(1, prompt.prompt_tokens - cached)
        prefill_s = load.prefill_s(
            tokens, prompt.prompt_tokens - tokens, prefiller.stage
        )
        if prefill is None:
            latency_s = self._fleet.times.latency_s(
                prefilltimes.PrefillMode.IN_PLACE
            )
            handover_s = 0.0
        else:
            latency_s = self._fleet.times.latency_s(
                prefilltimes.PrefillMode.DISAGGREGATED
            )
            transfer_s += _transfer_s(
                prompt.prompt_tokens, prefill, decode, traits
            )
        delay_s = self._fleet.delay_s(request.now)
        decode_load = self._fleet.estimate_decode_load(
            decode, traits, request.now, new_tokens=request.peak_tokens
        )
        first_event_s = (
            estimate.wait_s + prefill_s + transfer_s + latency_s + handover_s
        )
        first_event_s += plancost.slot_wait_s(decode_load)
        late = plancost.first_event_late_probability(
            first_event_s + delay_s, request.latency_targets
        )
        late += plancost.added_stream_cost(
            decode_load, request.peak_tokens, request.latency_targets
        )
        if prefill is None:
            late += plancost.local_prefill_cost(
                decode_load,
                estimate.wait_s,
                prefill_s + fetch_s,
                request.latency_targets,
            )
        return placementplan.Plan(
            decode=decode,
            prefill=prefill,
            fetch_from=fetch_from,
            relative_size=self._fleet.relative_size(prompt.prompt_tokens),
            wait_s=estimate.wait_s,
            read_tokens=tokens,
            prefill_s=prefill_s,
            busy_s=prefill_s + fetch_s,
            transfer_s=transfer_s,
            latency_s=latency_s,
            handover_s=handover_s,
            first_event_s=first_event_s,
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
        moved_s *= OTHER_ZONE_TRANSFER_FACTOR
    return moved_s
