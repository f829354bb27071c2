"""Tracks this daemon's work at engines and what it observes there."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

import attrs

from bulrushgrade import directory as directory_module
from bulrushgrade import enginecache
from bulrushgrade import enginefleet
from bulrushgrade import engineload
from bulrushgrade import enginespeeds
from bulrushgrade import peerloads
from bulrushgrade import prefilltimes
from bulrushgrade import prefixindex
from bulrushgrade import prompt as prompt_module
from bulrushgrade import routing
from bulrushgrade import speedsamples
from bulrushgrade import streamload
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import placementindex

LIVE_PAUSE_FACTOR = 4.0
"""Number of expected pauses after its last event during which an engine counts
as streaming. A stream's pauses seldom last twice the expected time, and a
daemon has several streams at a full engine; a crash is detected by then."""


def _ignore(*_: Any) -> None:
    """Does nothing."""


@attrs.frozen(kw_only=True)
class StreamObserver:
    """Callbacks for the progress of a streamed answer.

    Attributes:
        events: Called with the number of events that arrived together.
        ended: Called when the answer has ended; may be called repeatedly.
    """

    events: Callable[[int], None] = _ignore
    ended: Callable[[], None] = _ignore


class EngineWork:
    """Pending prefills and streams at the engines of all services."""

    def __init__(
        self,
        *,
        timers: Any,
        table: Callable[[], routing.RouteTable | None],
        endpoints: directory_module.Directory,
        peers: peerloads.PeerLoads,
        index: placementindex.PlacementIndex,
        speeds: enginespeeds.EngineSpeeds | None = None,
    ):
        """Creates the state without work.

        Args:
            timers: The timer service.
            table: Returns the routes in force, or None before the first.
            endpoints: The known endpoints.
            peers: Work of other daemons at engines.
            index: Gets reports of long prefills.
            speeds: Speeds of engines as measured by all daemons; None if each
                daemon uses its own measurements.
        """
        self._timers = timers
        self._table = table
        self._endpoints = endpoints
        self._peers = peers
        self._index = index
        self._speeds = speeds
        self._fleets: dict[str, enginefleet.EngineFleet] = {}

    @property
    def speeds(self) -> enginespeeds.EngineSpeeds | None:
        """Speeds of engines as measured by all daemons, if shared."""
        return self._speeds

    @property
    def fleets(self) -> Mapping[str, enginefleet.EngineFleet]:
        """The state of engines, by service."""
        return self._fleets

    def fleet(self, service: str) -> enginefleet.EngineFleet:
        """Returns the state of a service's engines."""
        fleet = self._fleets.get(service)
        if fleet is None:
            fleet = enginefleet.EngineFleet(
                peers=self._peers, speeds=self._speeds
            )
            self._fleets[service] = fleet
        return fleet

    def traits(self, service: str) -> routing.EngineTraits | None:
        """Returns what a service's engines have in common, or None."""
        table = self._table()
        found = table.configuration.services.get(service) if table else None
        return found.engine if found else None

    def shares(self) -> dict[str, peerloads.EngineShare]:
        """Returns this daemon's work at engines, by the engine's id."""
        shares: dict[str, peerloads.EngineShare] = {}
        for fleet in self._fleets.values():
            shares.update(fleet.shares(self._timers.now))
        return shares

    def forget(self, live: Iterable[tuple[str, int]]) -> None:
        """Drops the state of engines that are gone and idle."""
        kept = set(live)
        for fleet in self._fleets.values():
            fleet.forget(kept)

    def update_speeds(
        self,
    ) -> list[enginespeeds.SpreadChange | enginespeeds.SpeedChange]:
        """Updates the shared speeds; returns what has changed by much."""
        speeds, now = self._speeds, self._timers.now
        if speeds is None:
            return []
        engines: dict[str, list[speedsamples.Incarnation]] = {}
        for engine in self._endpoints.registrations:
            if engine.stage is not None:
                engines.setdefault(engine.service, []).append(
                    engine.incarnation
                )
        speeds.own.decay(now)
        changes = speeds.fleet.update(engines, speeds.own.vectors(), now)
        for service, fleet in self._fleets.items():
            fleet.correct_times(service)
        return changes

    def is_streaming(self, engine: directory_module.Registration) -> bool:
        """Returns whether this daemon recently received events of an engine."""
        traits = self.traits(engine.service)
        if traits is None:
            return False
        fleet, now = self.fleet(engine.service), self._timers.now
        pause_s = fleet.estimate_decode_load(engine, traits, now).pause_s
        streams = fleet.load(engine, traits).streams
        return streams.has_recent_event(
            now, within_s=LIVE_PAUSE_FACTOR * pause_s
        )

    def describe(
        self, engine: directory_module.Registration
    ) -> dict[str, float | int]:
        """Returns the estimated state of an engine as fields of a log line."""
        traits = self.traits(engine.service)
        if traits is None:
            return {}
        fleet = self.fleet(engine.service)
        decode_load = fleet.estimate_decode_load(
            engine, traits, self._timers.now
        )
        return {
            "streams": decode_load.streams,
            "tokens": decode_load.tokens,
            "expected_pause_s": round(decode_load.pause_s, 3),
        }

    def apply_holder(
        self,
        holder: prefixindex.PrefixHolder,
        service: str,
    ) -> None:
        """Applies an owner's report of an engine that holds a shared part."""
        engine, traits = (
            self._endpoints.find(holder.engine),
            self.traits(service),
        )
        if engine is None or engine.service != service or traits is None:
            return
        load = self.fleet(service).load(engine, traits)
        if holder.state is prefixindex.HolderState.KEPT:
            load.cache.keep(holder.parts)
        else:
            load.cache.expect(holder.parts, self._timers.now)

    def is_long_part(
        self, engine: directory_module.Registration, tokens: int
    ) -> bool:
        """Returns whether a part is long enough to place prompts by it."""
        traits = self.traits(engine.service)
        return traits is not None and tokens >= traits.long_tokens

    def apply_cache(
        self,
        engine: directory_module.Registration,
        changes: tuple[enginecache.CacheChange, ...],
        *,
        reset: bool,
    ) -> None:
        """Applies changes that an engine reports of its cache."""
        traits = self.traits(engine.service)
        if traits is not None:
            load = self.fleet(engine.service).load(engine, traits)
            load.cache.apply(changes, reset=reset)

    def begin_stream(
        self,
        request: inflight.InFlight,
        engine: directory_module.Registration,
    ) -> StreamObserver:
        """Tracks an answer that an engine is to generate."""
        traits = self.traits(request.service)
        if request.plan is None or traits is None:
            return StreamObserver()
        fleet = self.fleet(request.service)
        streams = fleet.load(engine, traits).streams
        prompt_tokens = request.info.prompt.prompt_tokens
        stream = streamload.Stream(prompt_tokens=prompt_tokens)
        # At the lowest urgency it takes no slot from others until it runs.
        has_lowest_urgency = request.urgency == routing.LOWEST_URGENCY
        if not has_lowest_urgency:
            streams.begin(stream)

        def observe_events(count: int) -> None:
            now = self._timers.now
            if has_lowest_urgency and stream.last_event_at is None:
                streams.begin(stream)
            pause_s = streams.record_events(
                stream, count, event_tokens=traits.event_tokens, now=now
            )
            if pause_s is not None:
                fleet.observe_pause(engine, traits, pause_s, now)

        def ended() -> None:
            streams.end(stream)
            if stream.generated_tokens:
                fleet.observe_stream(
                    stream.generated_tokens // traits.event_tokens
                )

        return StreamObserver(events=observe_events, ended=ended)

    def begin_work(
        self,
        request: inflight.InFlight,
        engine: directory_module.Registration,
        *,
        prefills: bool,
    ) -> Callable[[bool], None]:
        """Tracks a prefill or handover; returns a function that ends it.

        The returned function takes whether an answer began. Only its first
        call counts.

        Args:
            request: The request.
            engine: The engine that works on it now.
            prefills: Whether the engine prefills the prompt or takes over the
                KV cache of another engine.
        """
        plan, traits = request.plan, self.traits(request.service)
        if plan is None or traits is None:
            return lambda began: None
        fleet = self.fleet(request.service)
        load = fleet.load(engine, traits)
        prompt = request.info.prompt
        prefill = _make_pending_prefill(
            request, self._timers.now, prefills=prefills
        )
        report_end = self._report_begin(engine, prefill, prompt, traits)
        load.begin(prefill)

        def ended(began: bool) -> None:
            report_end(began)
            now = self._timers.now
            if began:
                load.answered(prefill, engine.stage, now)
                if prefill.tokens >= traits.long_tokens:
                    fleet.observe_prefill(
                        plan,
                        now - prefill.sent_at,
                        now,
                        yields=prefill.yields,
                    )
            else:
                load.dropped(prefill, now)

        return ended

    def _report_begin(
        self,
        engine: directory_module.Registration,
        prefill: engineload.PendingPrefill,
        prompt: prompt_module.Prompt,
        traits: routing.EngineTraits,
    ) -> Callable[[bool], None]:
        """Reports a long prefill to peers; returns a function that ends it."""
        if prefill.tokens < traits.long_tokens:
            return lambda began: None
        # Shared parts that the engine has in its cache aren't computed again.
        cache = self.fleet(engine.service).load(engine, traits).cache
        is_new = cache.cached_tokens(prompt) < prompt.shared_tokens
        parts = prefill.parts if is_new else ()
        return self._index.begin(engine.id, prefill, parts)


def _make_pending_prefill(
    request: inflight.InFlight, now: float, *, prefills: bool
) -> engineload.PendingPrefill:
    plan, prompt = request.plan, request.info.prompt
    urgency = request.urgency
    if not prefills:
        return engineload.PendingPrefill(
            expected_s=plan.transfer_s,
            sent_at=now,
            tokens=0,
            latency_s=plan.handover_s,
            urgency=urgency,
            mode=prefilltimes.PrefillMode.TAKEN_OVER,
        )
    is_disaggregated = plan.prefill is not None
    return engineload.PendingPrefill(
        expected_s=plan.busy_s,
        sent_at=now,
        tokens=plan.read_tokens,
        cached_tokens=prompt.prompt_tokens - plan.read_tokens,
        wait_s=plan.wait_s,
        latency_s=plan.latency_s,
        urgency=urgency,
        fetch_s=plan.busy_s - plan.prefill_s,
        mode=prefilltimes.PrefillMode.DISAGGREGATED
        if is_disaggregated
        else prefilltimes.PrefillMode.IN_PLACE,
        parts=prompt.shared_parts,
    )
