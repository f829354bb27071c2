"""What this daemon has at engines, and what it learns from it."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

import attrs

from bulrushgrade import directory as directory_module
from bulrushgrade import enginecache
from bulrushgrade import enginefleet
from bulrushgrade import engineload
from bulrushgrade import peerloads
from bulrushgrade import prefilltimes
from bulrushgrade import prefixindex
from bulrushgrade import prompt as prompt_module
from bulrushgrade import routing
from bulrushgrade import streamload
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import placementindex

LIVE_PAUSE_FACTOR = 4.0
"""Expected pauses after its last event in which an engine counts as one that
generates. A stream's pauses seldom last twice the expected one; a daemon has
several streams at an engine that is full, and one that has crashed is found
out by then."""


def _ignore(*_: Any) -> None:
    """Takes what nobody follows."""


@attrs.frozen(kw_only=True)
class StreamObserver:
    """What takes note of an answer that is generated.

    Attributes:
        events: Takes how many events came together.
        ended: Called when it has ended, any number of times.
    """

    events: Callable[[int], None] = _ignore
    ended: Callable[[], None] = _ignore


class EngineWork:
    """Readings and streams at the engines of all services."""

    def __init__(
        self,
        *,
        timers: Any,
        table: Callable[[], routing.RouteTable | None],
        endpoints: directory_module.Directory,
        peers: peerloads.PeerLoads,
        index: placementindex.PlacementIndex,
    ):
        """Makes a state without work.

        Args:
            timers: The timer service.
            table: Returns the routes in force, or None before the first.
            endpoints: The endpoints that are known.
            peers: What other daemons have at engines.
            index: Where long readings are reported.
        """
        self._timers = timers
        self._table = table
        self._endpoints = endpoints
        self._peers = peers
        self._index = index
        self._fleets: dict[str, enginefleet.EngineFleet] = {}

    @property
    def fleets(self) -> Mapping[str, enginefleet.EngineFleet]:
        """What is known of engines, by service."""
        return self._fleets

    def fleet(self, service: str) -> enginefleet.EngineFleet:
        """Returns what is known of a service's engines."""
        fleet = self._fleets.get(service)
        if fleet is None:
            fleet = enginefleet.EngineFleet(peers=self._peers)
            self._fleets[service] = fleet
        return fleet

    def traits(self, service: str) -> routing.EngineTraits | None:
        """Returns what a service's engines have in common, or None."""
        table = self._table()
        found = table.configuration.services.get(service) if table else None
        return found.engine if found else None

    def shares(self) -> dict[str, peerloads.EngineShare]:
        """Returns what this daemon has at engines, by id."""
        shares: dict[str, peerloads.EngineShare] = {}
        for fleet in self._fleets.values():
            shares.update(fleet.shares(self._timers.now))
        return shares

    def forget(self, live: Iterable[tuple[str, int]]) -> None:
        """Drops what is known of engines that are gone and idle."""
        kept = set(live)
        for fleet in self._fleets.values():
            fleet.forget(kept)

    def is_streaming(self, engine: directory_module.Registration) -> bool:
        """Returns whether events of this daemon's streams come from there."""
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
        """Returns what is believed of an engine, for a line of the log."""
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
        """Takes what the owner of a part knows of a holder."""
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
        """Returns whether a part is worth keeping in one place."""
        traits = self.traits(engine.service)
        return traits is not None and tokens >= traits.long_tokens

    def apply_cache(
        self,
        engine: directory_module.Registration,
        changes: tuple[enginecache.CacheChange, ...],
        *,
        reset: bool,
    ) -> None:
        """Takes what an engine says of its cache."""
        traits = self.traits(engine.service)
        if traits is not None:
            load = self.fleet(engine.service).load(engine, traits)
            load.cache.apply(changes, reset=reset)

    def begin_stream(
        self,
        request: inflight.InFlight,
        engine: directory_module.Registration,
    ) -> StreamObserver:
        """Notes an answer that an engine is to generate."""
        traits = self.traits(request.service)
        if request.plan is None or traits is None:
            return StreamObserver()
        fleet = self.fleet(request.service)
        streams = fleet.load(engine, traits).streams
        prompt_tokens = request.info.prompt.prompt_tokens
        stream = streamload.Stream(prompt_tokens=prompt_tokens)
        # It takes no slot from others before it runs.
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
        """Notes work at an engine; returns what notes how it ended.

        The returned function takes whether an answer began. Only its first
        call counts.

        Args:
            request: The request.
            engine: Who works on it now.
            prefills: Whether it reads the prompt or takes over what was read.
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
                    fleet.observe_prefill(plan, now - prefill.sent_at, now)
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
        """Reports a long reading to peers; returns what reports its end."""
        if prefill.tokens < traits.long_tokens:
            return lambda began: None
        # Nothing new is read of parts that it has already.
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
