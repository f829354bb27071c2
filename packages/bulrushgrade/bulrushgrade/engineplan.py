"""Chooses which engine prefills a prompt and which one generates the answer.

The load consists of many long prompts that begin with one of about a hundred
shared parts, and many short prompts, on a few engines whose memories together
just hold all the parts. If each daemon placed prompts by its own queues alone,
every part would end up on every engine, none would stay cached, and prefilling
parts again would take more engine time than all other work. So a prompt goes to
an engine that has its shared part, or the part is fetched from there, which
takes a twentieth of the time of prefilling it. A part that no engine is known
to have is prefilled at a preferred engine, which all daemons derive from the
ids of the part and of the engines without exchanging messages.
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
"""Cost to other requests of one second of prefill, in seconds. It is added to
the second that the request itself waits, because it delays another prompt."""

MAX_CANDIDATES = 4
"""Number of engines of each role that are considered for a prompt, besides the
one that has its part cached.

Load information is as old as the last messages. If all daemons picked the best
of all engines, they would pick the same one until the next messages. Four
candidates, which differ from prompt to prompt, nearly always include an engine
with a short queue."""

TRANSFER_WEIGHT = 2.0
"""Cost to other requests of one second of KV cache transfer, in seconds. It is
added to the second that the request itself waits, because the transfer uses the
links of two engines."""

FETCH_LATENCY_FRACTION = 0.5
"""Fixed latency of fetching cached parts, as a fraction of the latency of a
handover, which consists of a request and a fetch."""

OTHER_ZONE_PENALTY = 0.02
"""Cost of using an engine in another availability zone, as a fraction of the
request's latency target. It causes traffic between zones and a few milliseconds
of latency, so it only decides between otherwise equal plans."""

OTHER_DECODER_PENALTY = 0.03
"""Cost of not using the first decoder in a prompt's order, as a fraction of the
latency target. What is handed over stays in that decoder's memory and evicts
other parts."""

OTHER_ZONE_TRANSFER_FACTOR = 2.0
"""Factor by which a transfer between zones takes longer."""


@attrs.frozen(kw_only=True)
class _PlacementEstimate:
    """Expected wait and cache hit of a prompt at one engine.

    Attributes:
        wait_s: Expected wait before its prefill begins.
        reusable_tokens: Leading tokens of the prompt that the engine will have
            cached by then.
    """

    wait_s: float
    reusable_tokens: int


class EnginePlanner:
    """Plans requests for the engines of one service."""

    def __init__(self, *, zone: str, fleet: enginefleet.EngineFleet):
        """Initializes the planner.

        Args:
            zone: The availability zone of this daemon.
            fleet: The load estimates of the engines.
        """
        self._zone = zone
        self._fleet = fleet

    @property
    def fleet(self) -> enginefleet.EngineFleet:
        """The load estimates of the engines."""
        return self._fleet

    def plan(
        self, request: placementplan.PlanRequest, *, allow_handover: bool
    ) -> placementplan.Plan | None:
        """Returns the cheapest plan, or None if no engine can serve it.

        Args:
            request: The prompt to be placed.
            allow_handover: Whether one engine may prefill for another.
        """
        if request.prompt.prompt_tokens > request.traits.memory_tokens:
            return None
        has_decoder = any(
            engine.stage is not directory.Stage.PREFILL
            for engine in request.engines
        )
        if not has_decoder:
            return None
        if request.prompt.prompt_tokens >= request.traits.long_tokens:
            self._fleet.observe_prompt(request.prompt.prompt_tokens)
        best: tuple[float, placementplan.Plan] | None = None
        for group in _group_by_software(request):
            found = self._plan_group(group, allow_handover=allow_handover)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        return None if best is None else best[1]

    def _plan_group(
        self, request: placementplan.PlanRequest, *, allow_handover: bool
    ) -> tuple[float, placementplan.Plan] | None:
        """Returns the cheapest plan with its cost, or None.

        Args:
            request: The prompt, with engines that run the same software.
            allow_handover: Whether one engine may prefill for another.
        """
        ranked = enginerank.rank_by_role(
            request.prompt, request.engines, request.traits
        )
        decoders = ranked.decoders[:MAX_CANDIDATES]
        if not decoders:
            return None
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

        costs_s = [cost_s(plan) for plan in plans]
        best = min(range(len(plans)), key=costs_s.__getitem__)
        return costs_s[best], plans[best]

    def prefill_candidates(
        self, request: placementplan.PlanRequest
    ) -> list[directory.Registration]:
        """Returns the engines that are considered for prefilling a prompt."""
        return [
            engine
            for group in _group_by_software(request)
            for engine in self._group_candidates(group)
        ]

    def _group_candidates(
        self, request: placementplan.PlanRequest
    ) -> list[directory.Registration]:
        ranked = enginerank.rank_by_role(
            request.prompt, request.engines, request.traits
        )
        if not ranked.prefillers:
            return ranked.decoders[:MAX_CANDIDATES]
        return self._prefillers(request, ranked, self._find_holder(request))

    def choose_decoder(
        self, request: placementplan.PlanRequest
    ) -> directory.Registration | None:
        """Returns the engine that decodes what another one prefills, or None.

        The decoder keeps the KV cache that is handed to it, so prompts with the
        same part should go to the same decoder. Copies on several decoders
        would evict other parts there.
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
        """Returns the cost of a plan to this caller and others, in seconds.

        Args:
            request: The prompt to be placed.
            plan: The plan to be rated.
            preferred: The engine that prefills the shared part first if no
                engine has it cached; otherwise None.
        """
        target_s = request.latency_targets.target_s
        other_zone_engines = sum(
            engine.zone != self._zone
            for engine in (plan.decode, plan.prefill)
            if engine is not None
        )
        duplicate_prefill_s = 0.0
        if preferred is not None and plan.prefiller is not preferred:
            # Daemons that receive a new part at the same time then choose the
            # same engine, so that it is prefilled once.
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
        """Returns the candidates for prefilling a prompt.

        For a prompt with long shared parts these include an engine that is
        expected to have most of them by then, and the engine that has most of
        them cached now.
        """
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
        """Returns the decoder of least cost by queue, pauses and memory."""
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
        """Returns the engine that has most of a prompt's shared parts cached.

        Returns None for prompts with short shared parts, and if no engine has
        at least the length of a long prompt cached.
        """
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
            holder_fetch_s = FETCH_LATENCY_FRACTION * handover_s
            holder_fetch_s += _transfer_s(
                holder_tokens - cached, holder, prefiller, traits
            )
            if (
                load.prefill_s(holder_tokens - cached, cached, prefiller.stage)
                > holder_fetch_s
            ):
                fetch_from, fetch_s = holder, holder_fetch_s
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
        delay_s = self._fleet.delay_s(request.now, request.urgency)
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


def _group_by_software(
    request: placementplan.PlanRequest,
) -> list[placementplan.PlanRequest]:
    """Returns a request for the engines of each software version.

    KV cache that one version wrote may not fit another one, and engines don't
    check it.
    """
    groups: dict[str, list[directory.Registration]] = {}
    for engine in request.engines:
        groups.setdefault(engine.software, []).append(engine)
    if len(groups) < 2:
        return [request]
    return [
        attrs.evolve(request, engines=engines) for engines in groups.values()
    ]


def _transfer_s(
    tokens: int,
    source: directory.Registration,
    destination: directory.Registration,
    traits: routing.EngineTraits,
) -> float:
    seconds = tokens * traits.token_bytes / max(traits.link_bytes_per_s, 1.0)
    if source.zone != destination.zone:
        seconds *= OTHER_ZONE_TRANSFER_FACTOR
    return seconds
