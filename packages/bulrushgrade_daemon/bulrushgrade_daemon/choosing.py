"""Chooses endpoints for requests and learns from what came of them."""

from collections.abc import Callable
import random
from typing import Any

import attrs

from bulrushgrade import attempts
from bulrushgrade import balance
from bulrushgrade import directory as directory_module
from bulrushgrade import enginecache
from bulrushgrade import engineload
from bulrushgrade import engineplan
from bulrushgrade import peerloads
from bulrushgrade import plancost
from bulrushgrade import prefixindex
from bulrushgrade import prompt as prompt_module
from bulrushgrade import readtimes
from bulrushgrade import routing
from bulrushgrade import stagechanges
from bulrushgrade import stageplan
from bulrushgrade import streamload
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import placementindex


def _note_nothing(*_: Any) -> None:
    """Takes what nobody follows."""


@attrs.frozen(kw_only=True)
class StreamNotes:
    """What takes note of an answer that is generated.

    Attributes:
        events: Takes how many events came together.
        ended: Called when it has ended, any number of times.
    """

    events: Callable[[int], None] = _note_nothing
    ended: Callable[[], None] = _note_nothing


class Chooser:
    """Puts the view of endpoints, the balancer and the planners together."""

    def __init__(
        self,
        *,
        timers: Any,
        zone: str,
        table: Callable[[], routing.RouteTable | None],
        endpoints: directory_module.Directory,
        others: peerloads.PeerLoads,
        index: placementindex.PlacementIndex,
        settle_s: float,
        log: decisionlog.DecisionLog,
        rng: random.Random,
    ):
        """Makes a chooser that has seen nothing.

        Args:
            timers: The timer service.
            zone: The availability zone of this host.
            table: Returns the routes in force, or None before the first.
            endpoints: The endpoints that are known.
            others: What other daemons have waiting at engines.
            index: What waits at engines now.
            settle_s: Until what an endpoint registers is known everywhere.
            log: Gets a line for each ejection.
            rng: Breaks ties.
        """
        self._timers = timers
        self._zone = zone
        self._table = table
        self._endpoints = endpoints
        self._log = log
        self._balancer = balance.Balancer(zone=zone, rng=rng)
        self._others = others
        self._index = index
        self._settle_s = settle_s
        self._planners: dict[str, engineplan.EnginePlanner] = {}
        self._changes = stagechanges.StageChanges()

    async def query_peers(self, request: inflight.InFlight) -> None:
        """Learns where a long prompt's parts are and what waits there."""
        request.waits_s = {}
        prompt, traits = request.info.prompt, self._traits(request.service)
        if traits is None or prompt is None:
            return
        if prompt.prompt_tokens < traits.long_tokens:
            return
        if prompt.shared_tokens >= traits.long_tokens:
            for holder in await self._index.query_holders(prompt.anchor.id):
                self._take_holder(holder, request.service, traits)
        engines = self._planner(request.service).reading_candidates(
            self._plan_input(request, traits)
        )
        request.waits_s = await self._index.query_waits(
            (e.id for e in engines), request.route.urgency
        )

    def _take_holder(
        self,
        holder: prefixindex.PrefixHolder,
        service: str,
        traits: routing.EngineTraits,
    ) -> None:
        engine = self._endpoints.find(holder.engine)
        if engine is None or engine.service != service:
            return
        load = self._planner(service).load(engine, traits)
        if holder.state is prefixindex.HolderState.KEPT:
            load.cache.keep(holder.parts)
        else:
            load.cache.expect(holder.parts, self._timers.now)

    def choose(
        self, request: inflight.InFlight
    ) -> directory_module.Registration | None:
        """Returns the endpoint for the next attempt and notes the plan."""
        now = self._timers.now
        usable = self._usable(request.service, now)
        traits = self._traits(request.service)
        prompt = request.info.prompt
        if traits is None or prompt is None:
            request.plan = None
            able = [
                endpoint
                for endpoint in usable
                if endpoint.stage is not directory_module.Stage.PREFILL
            ]
            return self._balancer.pick(able, avoid=request.avoid, now=now)
        request.plan = self._planner(request.service).plan(
            self._plan_input(request, traits),
            may_hand_over=request.history.arrivals == 0,
        )
        return request.plan.decode if request.plan else None

    def choose_receiver(
        self, request: inflight.InFlight
    ) -> directory_module.Registration | None:
        """Returns who generates from a prompt that has just been read.

        Reading may take seconds, in which the engine that was planned can
        have begun to leave.
        """
        traits = self._traits(request.service)
        if traits is None or request.info.prompt is None:
            return None
        return self._planner(request.service).receiver(
            self._plan_input(request, traits)
        )

    def _plan_input(
        self, request: inflight.InFlight, traits: routing.EngineTraits
    ) -> engineplan.PlanInput:
        """Returns all that the planner has to know of a request."""
        now = self._timers.now
        route = request.route
        return engineplan.PlanInput(
            prompt=request.info.prompt,
            engines=self._balancer.eligible(
                self._usable(request.service, now),
                avoid=request.avoid,
                now=now,
            ),
            traits=traits,
            needs=plancost.Needs(
                target_s=route.target_s,
                gap_s=route.gap_s,
                least_gap_s=self._table().limits(request.service).least_gap_s,
            ),
            now=now,
            urgency=route.urgency,
            known_s=request.waits_s,
        )

    def begin_stream(
        self,
        request: inflight.InFlight,
        engine: directory_module.Registration,
    ) -> StreamNotes:
        """Notes an answer that an engine is to generate."""
        traits = self._traits(request.service)
        if request.plan is None or traits is None:
            return StreamNotes()
        planner = self._planner(request.service)
        streams = planner.load(engine, traits).streams
        prompt_tokens = request.info.prompt.prompt_tokens
        stream = streamload.Stream(prompt_tokens=prompt_tokens)
        streams.begin(stream)

        def note_events(count: int) -> None:
            now = self._timers.now
            pause_s = streams.note_events(
                stream, count, event_tokens=traits.event_tokens, now=now
            )
            if pause_s is not None:
                planner.note_pause(engine, traits, pause_s, now)

        def ended() -> None:
            streams.end(stream)
            if stream.made_tokens:
                planner.note_stream(stream.made_tokens // traits.event_tokens)

        return StreamNotes(events=note_events, ended=ended)

    def begin(self, endpoint: directory_module.Registration) -> None:
        """Notes that a request goes to an endpoint."""
        self._balancer.begin(endpoint.incarnation)

    def end(self, endpoint: directory_module.Registration) -> None:
        """Notes that a request is no longer there."""
        self._balancer.end(endpoint.incarnation)

    def succeeded(
        self, endpoint: directory_module.Registration, latency_s: float
    ) -> None:
        """Notes a whole answer and how long it took to begin."""
        self._balancer.succeeded(endpoint.incarnation, latency_s)

    def failed(
        self,
        request: inflight.InFlight,
        endpoint: directory_module.Registration,
        ended: inflight.AttemptEnd,
    ) -> None:
        """Learns from an attempt that gave no answer."""
        request.avoid |= {endpoint.incarnation}
        # A full endpoint is not a sick one.
        if ended.outcome is attempts.Outcome.TURNED_AWAY:
            return
        now = self._timers.now
        if self._balancer.failed(endpoint.incarnation, now=now):
            self._log.note(
                "endpoint_ejected",
                endpoint=endpoint.id,
                service=request.service,
                outcome=ended.outcome.value,
                reason=ended.reason,
            )

    def note_reading(
        self,
        request: inflight.InFlight,
        engine: directory_module.Registration,
        *,
        reads: bool,
    ) -> Callable[[bool], None]:
        """Notes work at an engine; returns what notes how it ended.

        The returned function takes whether an answer began. Only its first
        call counts.

        Args:
            request: The request.
            engine: Who works on it now.
            reads: Whether it reads the prompt or takes over what was read.
        """
        plan, traits = request.plan, self._traits(request.service)
        if plan is None or traits is None:
            return lambda began: None
        planner = self._planner(request.service)
        load = planner.load(engine, traits)
        prompt = request.info.prompt
        reading = _make_reading(request, self._timers.now, reads=reads)
        report_end = self._report_begin(engine, reading, prompt, traits)
        load.begin(reading)

        def ended(began: bool) -> None:
            report_end(began)
            now = self._timers.now
            if began:
                load.answered(reading, engine.stage, now)
                if reading.tokens >= traits.long_tokens:
                    planner.note_read(plan, now - reading.since, now)
            else:
                load.dropped(reading, now)

        return ended

    def _report_begin(
        self,
        engine: directory_module.Registration,
        reading: engineload.Reading,
        prompt: prompt_module.Prompt,
        traits: routing.EngineTraits,
    ) -> Callable[[bool], None]:
        """Reports a long reading to peers; returns what reports its end."""
        if reading.tokens < traits.long_tokens:
            return lambda began: None
        # Nothing new is read of parts that it has already.
        cache = self._planner(engine.service).load(engine, traits).cache
        is_new = cache.cached_tokens(prompt) < prompt.shared_tokens
        parts = reading.parts if is_new else ()
        return self._index.begin(engine.id, reading, parts)

    def is_long_part(
        self, engine: directory_module.Registration, tokens: int
    ) -> bool:
        """Returns whether a part is worth keeping in one place."""
        traits = self._traits(engine.service)
        return traits is not None and tokens >= traits.long_tokens

    def apply_cache(
        self,
        engine: directory_module.Registration,
        changes: tuple[enginecache.CacheChange, ...],
        *,
        anew: bool,
    ) -> None:
        """Takes what an engine says of its cache."""
        traits = self._traits(engine.service)
        if traits is not None:
            load = self._planner(engine.service).load(engine, traits)
            load.cache.apply(changes, anew=anew)

    def shares(self) -> dict[str, peerloads.EngineShare]:
        """Returns what this daemon has at engines, by id."""
        shares: dict[str, peerloads.EngineShare] = {}
        for planner in self._planners.values():
            shares.update(planner.shares(self._timers.now))
        return shares

    def engine_views(self) -> list[stageplan.ServiceView]:
        """Returns what is known of each service's engines."""
        now, found = self._timers.now, []
        for service, planner in self._planners.items():
            traits = self._traits(service)
            if traits is None:
                continue
            engines = self._balancer.eligible(
                self._usable(service, now), avoid=frozenset(), now=now
            )
            limits = self._table().limits(service)
            view = stageplan.ServiceView(
                service=service,
                engines=planner.views(engines, traits, limits, now),
                target_s=limits.longest_target_s,
                change_s=traits.stage_change_s,
                settle_s=self._settle_s,
            )
            found.append(view)
        return found

    def note_stage_change(
        self, engine: str, stage: directory_module.Stage, change_s: float
    ) -> None:
        """Notes that an engine was ordered to change its role.

        Args:
            engine: The engine's id.
            stage: Its new role.
            change_s: How long it takes by itself.
        """
        known = self._endpoints.find(engine)
        self._log.note(
            "engine_changes",
            endpoint=engine,
            stage=stage.value,
            change_s=change_s,
            known=known is not None,
        )
        if known is not None:
            now = self._timers.now
            self._changes.note(known, stage, change_s=change_s, now=now)

    def forget_gone(self) -> None:
        """Drops what is known of endpoints that are gone."""
        live = {r.incarnation for r in self._endpoints.registrations}
        self._balancer.forget(live)
        self._changes.forget(self._timers.now)
        for planner in self._planners.values():
            planner.forget(live)

    def _usable(
        self, service: str, now: float
    ) -> list[directory_module.Registration]:
        usable = self._endpoints.usable(service, now=now)
        return self._changes.settle(usable, now)

    def _traits(self, service: str) -> routing.EngineTraits | None:
        table = self._table()
        found = table.configuration.services.get(service) if table else None
        return found.engine if found else None

    def _planner(self, service: str) -> engineplan.EnginePlanner:
        planner = self._planners.get(service)
        if planner is None:
            planner = engineplan.EnginePlanner(
                zone=self._zone, others=self._others
            )
            self._planners[service] = planner
        return planner


def _make_reading(
    request: inflight.InFlight, now: float, *, reads: bool
) -> engineload.Reading:
    plan, prompt = request.plan, request.info.prompt
    urgency = request.route.urgency
    if not reads:
        return engineload.Reading(
            expected_s=plan.move_s,
            since=now,
            tokens=0,
            latency_s=plan.take_over_s,
            urgency=urgency,
            way=readtimes.Way.TAKEN_OVER,
        )
    is_apart = plan.prefill is not None
    return engineload.Reading(
        expected_s=plan.busy_s,
        since=now,
        tokens=plan.read_tokens,
        cached_tokens=prompt.prompt_tokens - plan.read_tokens,
        wait_s=plan.wait_s,
        latency_s=plan.latency_s,
        urgency=urgency,
        fetch_s=plan.busy_s - plan.read_s,
        way=readtimes.Way.APART if is_apart else readtimes.Way.IN_PLACE,
        parts=prompt.shared_parts,
    )
