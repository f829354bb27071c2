"""Chooses an endpoint for each attempt and learns from its outcome."""

from collections.abc import Callable
import random
from typing import Any

import attrs

from bulrushgrade import attempts
from bulrushgrade import balance
from bulrushgrade import directory as directory_module
from bulrushgrade import endpointlinks
from bulrushgrade import engineadmission
from bulrushgrade import enginefleet
from bulrushgrade import engineplan
from bulrushgrade import placementplan
from bulrushgrade import plancost
from bulrushgrade import routing
from bulrushgrade import softwarechoice
from bulrushgrade import stagechanges
from bulrushgrade import stageplan
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import enginework
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import permitservice
from bulrushgrade_daemon import placementindex

MAX_DENIALS = 4
"""Endpoints at their limit that a request tries. Each costs it a round trip to
another host; after that it is only sent to endpoints without a limit."""


_UNCONNECTED = frozenset({attempts.Outcome.UNREACHED, attempts.Outcome.NO_LINK})
"""Ends of attempts whose connection could not be opened."""

_NOT_THE_ENDPOINTS = frozenset(
    {attempts.Outcome.WITHHELD, attempts.Outcome.UNTAKEN}
)
"""Ends of attempts that are no failure of an endpoint."""


FindWithheld = Callable[
    [inflight.InFlight],
    Callable[[directory_module.Registration], bool] | None,
]


class EndpointChooser:
    """Combines the endpoint directory, the balancer and the planners."""

    def __init__(
        self,
        *,
        timers: Any,
        zone: str,
        table: Callable[[], routing.RouteTable | None],
        endpoints: directory_module.Directory,
        work: enginework.EngineWork,
        index: placementindex.PlacementIndex,
        permits: permitservice.PermitService,
        find_withheld: FindWithheld,
        settle_s: float,
        is_settled: Callable[[str, str], bool],
        age_s: Callable[[], float | None],
        log: decisionlog.DecisionLog,
        rng: random.Random,
        yields: Callable[[inflight.InFlight], bool] = lambda request: False,
        is_guaranteed: Callable[[inflight.InFlight], bool] = lambda request: (
            False
        ),
        avoids_other_zones: bool = False,
    ):
        """Creates a chooser without observations.

        Args:
            timers: The timer service.
            zone: The availability zone of this host.
            table: Returns the routes in force, or None before the first.
            endpoints: The known endpoints.
            work: This daemon's work at engines, and what it knows of them.
            index: Finds the current waits at engines.
            permits: Permits for endpoints that state a limit.
            find_withheld: Returns what tells the endpoints that a request's
                prompt may crash, None if it crashes none.
            settle_s: Time until every host knows a change that an endpoint
                registers.
            is_settled: Returns whether every host knows that a service has
                endpoints of a software version.
            age_s: Returns the age of the endpoints' records, None before the
                first.
            log: Gets a line for each ejection.
            rng: Breaks ties.
            yields: Returns whether a request exceeds its workspace's share.
            is_guaranteed: Returns whether a request is within its workspace's
                share of a service that is divided.
            avoids_other_zones: Whether prompts are planned for little traffic
                between zones.
        """
        self._timers = timers
        self._zone = zone
        self._avoids_other_zones = avoids_other_zones
        self._table = table
        self._endpoints = endpoints
        self._log = log
        self._balancer = balance.Balancer(zone=zone, rng=rng)
        self._work = work
        self._index = index
        self._permits = permits
        self._find_withheld = find_withheld
        self._settle_s = settle_s
        self._is_settled = is_settled
        self._age_s = age_s
        self._yields = yields
        self._is_guaranteed = is_guaranteed
        # When a connection to each incarnation last failed.
        self._lost_at: dict[tuple[str, int], float] = {}
        self._changes = stagechanges.StageChanges()

    async def query_peers(self, request: inflight.InFlight) -> None:
        """Queries peers for holders of a long prompt's parts and for waits."""
        request.waits_s = {}
        prompt, traits = request.info.prompt, self._work.traits(request.service)
        if traits is None or prompt is None:
            return
        if prompt.prompt_tokens < traits.long_tokens:
            return
        if prompt.shared_tokens >= traits.long_tokens:
            for holder in await self._index.query_holders(prompt.anchor.id):
                self._work.apply_holder(holder, request.service)
        engines = self._planner(request.service).prefill_candidates(
            self._plan_input(request, traits)
        )
        request.waits_s = await self._index.query_waits(
            (e.id for e in engines), self._planned_urgency(request)
        )

    def choose(
        self, request: inflight.InFlight
    ) -> directory_module.Registration | None:
        """Returns the endpoint for the next attempt and stores the plan."""
        now = self._timers.now
        usable = self._open(request, now)
        traits = self._work.traits(request.service)
        prompt = request.info.prompt
        if traits is None or prompt is None:
            request.plan = None
            candidates = [
                endpoint
                for endpoint in usable
                if endpoint.stage is not directory_module.Stage.PREFILL
            ]
            return self._balancer.pick(
                candidates,
                avoid=request.avoid,
                avoid_zones=request.avoid_zones,
                now=now,
            )
        urgency = self._planned_urgency(request)
        plan_input = self._plan_input(request, traits)
        request.plan = self._planner(request.service).plan(
            attrs.evolve(plan_input, urgency=urgency),
            allow_handover=request.history.arrivals == 0,
        )
        if request.plan is None:
            return None
        limits = self._table().limits(request.service)
        if request.origin is not None:
            # Its caller waits for the next event, not for the first one.
            request.urgency = request.route.urgency
            return request.plan.decode
        chosen_urgency = engineadmission.choose_urgency(
            request.plan,
            route=request.route,
            lowest_urgency=limits.lowest_urgency,
            waited_s=now - request.caller.arrived_at,
        )
        request.urgency = urgency
        if not self._is_guaranteed(request):
            request.urgency = max(urgency, chosen_urgency)
        return request.plan.decode

    def _planned_urgency(self, request: inflight.InFlight) -> int:
        limits = self._table().limits(request.service)
        return engineadmission.planned_urgency(
            request.route,
            lowest_urgency=limits.lowest_urgency,
            yields=self._yields(request),
        )

    def explain_no_endpoint(self, request: inflight.InFlight) -> str:
        """Returns why no endpoint was chosen, for logs."""
        traits, prompt = self._work.traits(request.service), request.info.prompt
        if traits and prompt and prompt.prompt_tokens > traits.memory_tokens:
            return "prompt larger than an engine's memory"
        if request.permit_retry_s is not None:
            in_service = self._in_service(request, self._timers.now)
            if any(self._permits.is_limited(one) for one in in_service):
                return "the endpoints are at their limits"
            return "the endpoints want no requests now"
        if self._find_withheld(request) is not None:
            return "prompt part quarantined"
        if request.origin is not None:
            return "no endpoint of the stream's software version"
        return "no endpoint"

    def book_return_s(
        self, request: inflight.InFlight, max_return_s: float
    ) -> float | None:
        """Returns when a caller should return for an endpoint without room.

        None if no endpoint is at its limit or wants no requests.

        Args:
            request: The request.
            max_return_s: How long the caller may stay away.
        """
        usable = self._in_service(request, self._timers.now)
        return self._permits.book_return_s(
            usable, urgency=request.urgency, max_return_s=max_return_s
        )

    def has_room(self, request: inflight.InFlight) -> bool:
        """Returns whether an endpoint may have room to run a request now."""
        return any(
            endpoint.stage is not directory_module.Stage.PREFILL
            for endpoint in self._open(request, self._timers.now)
        )

    def is_usable(
        self,
        request: inflight.InFlight,
        endpoint: directory_module.Registration,
    ) -> bool:
        """Returns whether an endpoint may still get a request."""
        usable = self._usable(request, self._timers.now)
        return endpoint.incarnation in {e.incarnation for e in usable}

    def has_unlimited_alternative(
        self,
        request: inflight.InFlight,
        endpoint: directory_module.Registration,
    ) -> bool:
        """Returns whether an endpoint without a limit can replace another."""
        return any(
            other.stage is endpoint.stage
            and other.incarnation not in request.avoid
            and not self._permits.needs_permit(other)
            for other in self._usable(request, self._timers.now)
        )

    def choose_decoder(
        self, request: inflight.InFlight
    ) -> directory_module.Registration | None:
        """Returns the decoder for a prompt that has just been prefilled.

        A prefill may take seconds, in which the planned decoder can have
        begun to leave.
        """
        traits = self._work.traits(request.service)
        if traits is None or request.info.prompt is None:
            return None
        plan_input = self._plan_input(request, traits)
        prefiller = request.plan.prefill
        return self._planner(request.service).choose_decoder(
            attrs.evolve(
                plan_input,
                engines=[
                    engine
                    for engine in plan_input.engines
                    if engine.software == prefiller.software
                ],
            )
        )

    def _plan_input(
        self, request: inflight.InFlight, traits: routing.EngineTraits
    ) -> placementplan.PlanRequest:
        """Returns the planner's input for a request."""
        now = self._timers.now
        route = request.route
        return placementplan.PlanRequest(
            prompt=request.info.prompt,
            engines=self._eligible_engines(request, now),
            traits=traits,
            latency_targets=plancost.LatencyTargets(
                target_s=route.target_s,
                gap_s=route.gap_s,
                min_gap_s=self._table().limits(request.service).min_gap_s,
            ),
            now=now,
            urgency=route.urgency,
            reported_wait_s=request.waits_s,
        )

    def _eligible_engines(
        self, request: inflight.InFlight, now: float
    ) -> list[directory_module.Registration]:
        """Returns the engines that a request may be sent to.

        The balancer is applied to each role separately. If all decoders are
        ejected, prefillers can't replace them, and wrong ejections must not
        cause every request to be refused.
        """
        usable = self._open(request, now)
        if request.origin is None:
            usable = self._leave_room(request.service, usable, now)
        return [
            engine
            for stage in directory_module.Stage
            for engine in self._balancer.eligible(
                [found for found in usable if found.stage is stage],
                avoid=request.avoid,
                avoid_zones=request.avoid_zones,
                now=now,
            )
        ]

    def _leave_room(
        self,
        service: str,
        engines: list[directory_module.Registration],
        now: float,
    ) -> list[directory_module.Registration]:
        """Drops engines whose last slots are kept for begun streams."""
        traits = self._work.traits(service)
        if traits is None:
            return engines
        fleet = self._work.fleet(service)

        def used_fraction(engine: directory_module.Registration) -> float:
            load = fleet.estimate_decode_load(engine, traits, now)
            return load.streams / max(1, traits.slots)

        return softwarechoice.leave_room(engines, used_fraction)

    def begin(self, endpoint: directory_module.Registration) -> None:
        """Counts a request that is sent to an endpoint."""
        self._balancer.begin(endpoint.incarnation)

    def end(self, endpoint: directory_module.Registration) -> None:
        """Stops counting a request at an endpoint."""
        self._balancer.end(endpoint.incarnation)

    def observe_success(
        self, endpoint: directory_module.Registration, latency_s: float
    ) -> None:
        """Takes in a complete answer and the time until it began."""
        self._balancer.succeeded(endpoint.incarnation, latency_s)

    def observe_failed_attempt(
        self,
        request: inflight.InFlight,
        endpoint: directory_module.Registration,
        ended: inflight.AttemptEnd,
    ) -> None:
        """Takes in a failed attempt; may eject its endpoint."""
        if ended.connection_lost or ended.outcome in _UNCONNECTED:
            self._lost_at[endpoint.incarnation] = self._timers.now
        if ended.outcome is attempts.Outcome.NO_LINK:
            self._observe_failed_link(request, endpoint, ended)
            return
        if ended.outcome in _NOT_THE_ENDPOINTS:
            # What a peer withholds, it withholds from the next attempt too.
            if ended.peer is not None:
                request.avoid |= {endpoint.incarnation}
            return
        request.avoid |= {endpoint.incarnation}
        if self._is_full(endpoint, ended.outcome):
            return
        is_certain = ended.outcome is attempts.Outcome.MISDIRECTED
        if self.observe_failure(endpoint, is_certain=is_certain):
            self._log.note(
                "endpoint_ejected",
                endpoint=endpoint.id,
                service=request.service,
                outcome=ended.outcome.value,
                reason=ended.reason,
            )

    def _observe_failed_link(
        self,
        request: inflight.InFlight,
        endpoint: directory_module.Registration,
        ended: inflight.AttemptEnd,
    ) -> None:
        """Takes in that the path to an endpoint failed.

        The endpoint may be down. Until peers tell, the request goes to another
        one if there is one, and the failure counts as the endpoint's.
        """
        if ended.is_last_path or self._has_alternative(request, endpoint):
            request.avoid |= {endpoint.incarnation}
        is_direct = ended.path is endpointlinks.Path.DIRECT
        if is_direct and not self._work.is_streaming(endpoint):
            self.observe_failure(endpoint)

    def _has_alternative(
        self,
        request: inflight.InFlight,
        endpoint: directory_module.Registration,
    ) -> bool:
        """Returns whether a request may go to another endpoint instead."""
        avoided = request.avoid | {endpoint.incarnation}
        return any(
            other.stage is endpoint.stage and other.incarnation not in avoided
            for other in self._open(request, self._timers.now)
        )

    def _is_full(
        self,
        endpoint: directory_module.Registration,
        outcome: attempts.Outcome,
    ) -> bool:
        """Returns whether a failure only means that an endpoint is full.

        If engines are lost during a burst, the remaining ones accept no more
        connections than they have slots. When daemons treated that as a
        crash, all of them ejected all remaining engines at the same time and
        refused every request until the ejections ended. An engine that still
        streams answers has not crashed.
        """
        if outcome is attempts.Outcome.TURNED_AWAY:
            return True
        unreached = outcome is attempts.Outcome.UNREACHED
        return unreached and self._work.is_streaming(endpoint)

    def observe_unreached(
        self, endpoint: directory_module.Registration, reason: str
    ) -> None:
        """Takes in that no host reaches an endpoint; ejects it."""
        # An engine that still streams answers is only full.
        if self._work.is_streaming(endpoint):
            return
        if self.observe_failure(endpoint, is_certain=True):
            self._log.note(
                "endpoint_ejected",
                endpoint=endpoint.id,
                service=endpoint.service,
                outcome=attempts.Outcome.UNREACHED.value,
                reason=reason,
            )

    def forgive(self, endpoint: directory_module.Registration) -> None:
        """Drops the failures of an endpoint that only this host can't reach.

        They were those of the link.
        """
        self._balancer.forgive(endpoint.incarnation)

    def observe_failure(
        self,
        endpoint: directory_module.Registration,
        *,
        is_certain: bool = False,
    ) -> bool:
        """Takes in an endpoint's failure; returns whether that ejects it.

        Args:
            endpoint: The endpoint that failed.
            is_certain: Whether this failure alone ejects it.
        """
        return self._balancer.failed(
            endpoint.incarnation, now=self._timers.now, is_certain=is_certain
        )

    def engine_views(self) -> list[stageplan.ServiceView]:
        """Returns the view of each service's engines for role planning."""
        now, found = self._timers.now, []
        for service, fleet in self._work.fleets.items():
            traits = self._work.traits(service)
            if traits is None:
                continue
            engines = self._live_engines(service, fleet, now)
            limits = self._table().limits(service)
            view = stageplan.ServiceView(
                service=service,
                engines=fleet.views(engines, traits, limits, now),
                target_s=limits.max_target_s,
                change_s=traits.stage_change_s,
                settle_s=self._settle_s,
            )
            found.append(view)
        return found

    def _live_engines(
        self, service: str, fleet: enginefleet.EngineFleet, now: float
    ) -> list[directory_module.Registration]:
        """Returns the engines that are not known to be lost or limited.

        Engines that this daemon has ejected count as live if peers have
        streams at them. Otherwise a daemon that alone and briefly fails to
        reach all decoders would order a prefiller to replace them.

        Engines that state a limit do little of their role's work and look
        idle. If they counted, a role would give up those that do it.
        """
        usable = [
            engine
            for engine in self._registered(service, now)
            if not self._permits.is_limited(engine)
        ]
        not_ejected = self._balancer.eligible(
            usable, avoid=frozenset(), now=now
        )
        live = [
            engine
            for engine in usable
            if engine in not_ejected or fleet.has_peer_streams(engine, now)
        ]
        return self._exclude_backing_off_by_role(live, fleet, now)

    def _exclude_backing_off_by_role(
        self,
        engines: list[directory_module.Registration],
        fleet: enginefleet.EngineFleet,
        now: float,
    ) -> list[directory_module.Registration]:
        """Drops engines that want nothing, unless a role has only these.

        They do little of their role's work and look idle, as those with a
        limit. But they are back within seconds, and a change of another
        engine's role takes as long.
        """
        backing_off = self._permits.backing_off()
        if not backing_off:
            return engines
        found = []
        for stage in directory_module.Stage:
            of_stage = [e for e in engines if e.stage is stage]
            in_use = [
                engine
                for engine in of_stage
                if engine.incarnation not in backing_off
                or fleet.has_peer_streams(engine, now)
            ]
            found += in_use or of_stage
        return found

    def record_stage_change(
        self, engine: str, stage: directory_module.Stage, change_s: float
    ) -> None:
        """Records that an engine was ordered to change its role.

        Args:
            engine: The engine's id.
            stage: Its new role.
            change_s: Expected duration of the change.
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
            self._changes.record(known, stage, change_s=change_s, now=now)

    def apply_role_change(
        self, notice: gatewaymessages.RoleChangeNotice
    ) -> None:
        """Applies a peer's report that an engine was ordered to change."""
        self.record_stage_change(
            notice.engine, notice.stage, notice.change_ms / 1000
        )

    def forget_gone(self) -> None:
        """Drops the state of endpoints that are no longer registered."""
        live = {r.incarnation for r in self._endpoints.registrations}
        self._balancer.forget(live)
        for incarnation in self._lost_at.keys() - live:
            del self._lost_at[incarnation]
        self._changes.forget(self._timers.now)
        self._work.forget(live)

    def _usable(
        self, request: inflight.InFlight, now: float
    ) -> list[directory_module.Registration]:
        """Returns the endpoints that want requests of this host now."""
        return self._exclude_backing_off(self._in_service(request, now))

    def _exclude_backing_off(
        self, endpoints: list[directory_module.Registration]
    ) -> list[directory_module.Registration]:
        backing_off = self._permits.backing_off()
        if not backing_off:
            return endpoints
        return [e for e in endpoints if e.incarnation not in backing_off]

    def _in_service(
        self, request: inflight.InFlight, now: float
    ) -> list[directory_module.Registration]:
        """Returns the endpoints that may run a request.

        Those that want no requests for a time are among them.
        """
        usable = self._registered(request.service, now, request.software)
        is_withheld = self._find_withheld(request)
        if is_withheld is not None:
            usable = [one for one in usable if not is_withheld(one)]
        if request.origin is None:
            if request.may_be_resumed:
                return softwarechoice.prefer_settled(usable, self._is_settled)
            return usable
        return [one for one in usable if self._is_certain(one, now)]

    def _is_certain(
        self, endpoint: directory_module.Registration, now: float
    ) -> bool:
        """Returns whether an endpoint runs the software of its record.

        Another start may have its id by now, and other software, if the record
        is old or from before a lost connection. Only endpoints that state when
        they started reuse ids.
        """
        if not endpoint.born_ms:
            return True
        age_s = self._age_s()
        if age_s is None or age_s > self._settle_s:
            return False
        lost_at = self._lost_at.get(endpoint.incarnation)
        return lost_at is None or lost_at <= now - age_s

    def _registered(
        self, service: str, now: float, software: str | None = None
    ) -> list[directory_module.Registration]:
        """Returns the endpoints, with those that want no requests for a time.

        Leaving endpoints are among them only if all others have gone, not if
        these want no requests: they would be overloaded while they leave.
        """
        usable = self._endpoints.usable(service, now=now, software=software)
        return self._changes.exclude_changing(usable, now)

    def _open(
        self, request: inflight.InFlight, now: float
    ) -> list[directory_module.Registration]:
        """Returns the usable endpoints that may have room for a request."""
        usable = self._usable(request, now)
        if request.denials >= MAX_DENIALS:
            return [e for e in usable if not self._permits.needs_permit(e)]
        open_now = [
            endpoint
            for endpoint in usable
            if self._permits.closed_s(endpoint, request.urgency) <= 0
        ]
        if request.route.max_attempts > 1 and request.route.repeatable:
            return open_now
        return self._prefer_confirmed(open_now)

    def _prefer_confirmed(
        self, endpoints: list[directory_module.Registration]
    ) -> list[directory_module.Registration]:
        """Drops endpoints whose backoff may go on, if others of a role don't.

        If such an endpoint refuses a request that has no other attempt, its
        caller is refused, and a prefill for it is wasted.
        """
        unconfirmed = self._permits.unconfirmed()
        if not unconfirmed:
            return endpoints
        found = []
        for stage in (None, *directory_module.Stage):
            of_stage = [e for e in endpoints if e.stage is stage]
            confirmed = [
                e for e in of_stage if e.incarnation not in unconfirmed
            ]
            found += confirmed or of_stage
        return found

    def _planner(self, service: str) -> engineplan.EnginePlanner:
        fleet = self._work.fleet(service)
        return engineplan.EnginePlanner(
            zone=self._zone,
            fleet=fleet,
            avoids_other_zones=self._avoids_other_zones,
        )
