"""A caller's request while it is being served."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import attrs

from bulrushgrade import attempts
from bulrushgrade import directory
from bulrushgrade import endpointlinks
from bulrushgrade import eventstream
from bulrushgrade import fingerprint as fingerprint_module
from bulrushgrade import partledger
from bulrushgrade import placementplan
from bulrushgrade import routing
from bulrushgrade import streamorigins
from bulrushgrade import workspaces
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import frontend
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import permitservice


@attrs.define(kw_only=True)
class StreamPace:
    """Arrival times of a stream's events.

    Attributes:
        first_at: Time of the first event; None before it.
        last_at: Time of the last event.
        longest_pause_s: The longest time between two events.
    """

    first_at: float | None = None
    last_at: float = 0.0
    longest_pause_s: float = 0.0

    def observe_events(self, now: float) -> None:
        """Takes in the arrival of events."""
        if self.first_at is None:
            self.first_at = now
        else:
            pause_s = now - self.last_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_at = now


@attrs.define(kw_only=True, eq=False)
class InFlight:
    """One request in flight.

    Attributes:
        caller: The request as received, with the methods to answer it.
        info: What its headers say.
        route: The route that it matched.
        service: The service that was picked for it.
        deadline: Time by which it has to be answered.
        history: The history of its attempts.
        avoid: Incarnations of endpoints that must not get it again.
        endpoint_answer: The endpoint's answer that is being read, or None.
        splitter: Splits the answer into events, for a stream.
        endpoint: The endpoint of the last attempt, or None.
        expired: Whether its deadline has passed.
        plan: The engines planned for it, or None for a plain service.
        prefilled_at: When another engine had prefilled its prompt, or None.
        pace: Arrival times of its stream's events.
        waits_s: Expected waits at engines, by the engine's id, from the
            owners of their queues.
        urgency: Priority in the queues of engines; 0 is served first.
        workspace: The workspace that sent it, or None.
        hides_key: Whether its API key is withheld from endpoints.
        is_counted: Whether it was counted as a request that began to run.
        sent_at: When the current attempt began, None between attempts.
        written_at: When it was last written to an endpoint, None before.
        is_prefilling: Whether that endpoint only prefills its prompt.
        answer_began_at: When the answer of the last attempt began, None if
            it didn't.
        avoid_zones: Availability zones that are used only if no other has an
            endpoint.
        permit: Allows the next request to an endpoint.
        reservation: The decoder that has room for it after its prefill, with
            the permit, or None.
        denials: How often an endpoint's limit left no room for it.
        permit_retry_s: The shortest time after which one may have room, None
            if none was full.
        prefers_relay: Whether a link failed in an earlier attempt, so that
            the next one goes by way of a peer.
        relay: The peer that relays its connection, None for the own link.
        origin: What began its stream, which only goes on there; None before
            the first event.
        events_before: Number of its stream's events before the last attempt.
        cancel: Cancels serving it, None before that began.
        is_withdrawn: Whether it was cancelled since its prompt is quarantined.
        trial: The keys of quarantined parts of its prompt that it tries again,
            or None.
        offered_cost: Its cost when it was first planned, in tokens; None if
            it isn't counted as its workspace's use.
        exceeds_share: Whether it exceeds its workspace's share, so that it
            lets other requests go first; None before that was decided.
        share_retry_s: After how many seconds its caller should retry, if it is
            refused since it exceeds its workspace's share; otherwise None.
    """

    caller: frontend.CallerRequest
    info: dialect.RequestInfo
    route: routing.Route
    service: str
    deadline: float
    history: attempts.AttemptHistory = attrs.field(
        factory=attempts.AttemptHistory
    )
    avoid: frozenset[tuple[str, int]] = frozenset()
    endpoint_answer: outbound.Answer | None = None
    splitter: eventstream.EventSplitter = attrs.field(
        factory=eventstream.EventSplitter
    )
    endpoint: directory.Registration | None = None
    expired: bool = False
    plan: placementplan.Plan | None = None
    prefilled_at: float | None = None
    pace: StreamPace = attrs.field(factory=StreamPace)
    waits_s: Mapping[str, float] = attrs.field(factory=dict)
    urgency: int = attrs.field()
    workspace: workspaces.Workspace | None = None
    hides_key: bool = False
    is_counted: bool = False
    sent_at: float | None = None
    written_at: float | None = None
    is_prefilling: bool = False
    answer_began_at: float | None = None
    avoid_zones: frozenset[str] = frozenset()
    permit: permitservice.Permit = permitservice.Permit()
    reservation: tuple[directory.Registration, permitservice.Permit] | None = (
        None
    )
    denials: int = 0
    permit_retry_s: float | None = None
    prefers_relay: bool = False
    relay: str | None = None
    origin: streamorigins.Origin | None = None
    events_before: int = 0
    cancel: Callable[[], None] | None = None
    is_withdrawn: bool = False
    trial: frozenset[bytes] | None = None
    offered_cost: float | None = None
    exceeds_share: bool | None = None
    share_retry_s: float | None = None
    _fingerprint: str | None = attrs.field(default=None, init=False)
    _part_keys: tuple[bytes, ...] | None = attrs.field(default=None, init=False)

    @urgency.default
    def _route_urgency(self) -> int:
        return self.route.urgency

    @property
    def last_event_id(self) -> str | None:
        """The event after which an endpoint resumes its stream, or None."""
        return self.splitter.last_id or self.info.last_event_id

    @property
    def software(self) -> str | None:
        """The version of software that has to run it, None for any."""
        return None if self.origin is None else self.origin.software

    @property
    def may_be_resumed(self) -> bool:
        """Whether its caller may ask any host for the rest of its answer."""
        is_stream = self.route.kind is routing.RequestKind.STREAM
        return is_stream and self.route.resumable

    @property
    def asks_for_rest(self) -> bool:
        """Whether its caller has a part of its stream from another attempt."""
        is_stream = self.route.kind is routing.RequestKind.STREAM
        return is_stream and self.info.last_event_id is not None

    @property
    def is_over(self) -> bool:
        """Whether the deadline has passed or the caller has disconnected."""
        return self.expired or self.caller.is_disconnected

    def describe_plan(self) -> dict[str, Any]:
        """Returns the inputs of its plan as fields of a log line."""
        if self.plan is None:
            return {}
        reader = self.plan.prefill or self.plan.decode
        return {
            "reader": reader.id,
            "urgency": self.urgency,
            "read_tokens": self.plan.read_tokens,
            "wait_s": round(self.plan.wait_s, 3),
            "first_event_s": round(self.plan.first_event_s, 3),
            "delay_s": round(self.plan.delay_s, 3),
            "wait_known": reader.id in self.waits_s,
        }

    def describe_denials(self) -> dict[str, Any]:
        """Returns how endpoints' limits affected it as fields of a log line."""
        if self.permit_retry_s is None:
            return {}
        return {
            "denials": self.denials,
            "permit_retry_s": round(self.permit_retry_s, 3),
        }

    @property
    def is_late(self) -> bool:
        """Whether its first event or a later one missed the route's targets."""
        if self.pace.first_at is None:
            return False
        first_s = self.pace.first_at - self.caller.arrived_at
        gap_s = self.route.gap_s
        paused = gap_s is not None and self.pace.longest_pause_s > gap_s
        return paused or first_s > self.route.target_s

    @property
    def read_after_s(self) -> float | None:
        """Time from its arrival to the end of its separate prefill."""
        if self.prefilled_at is None:
            return None
        return self.prefilled_at - self.caller.arrived_at

    @property
    def fingerprint(self) -> str:
        """Identifies the request and its repetitions; computed on first use.

        It is computed from what endpoints receive. They don't see the
        caller's address, and a caller may use several.
        """
        if self._fingerprint is None:
            caller = self.caller
            self._fingerprint = fingerprint_module.make_fingerprint(
                workspace=self.workspace.name if self.workspace else "",
                method=caller.method,
                hostname=self.route.hostname,
                uri=caller.uri,
                body=caller.body,
            )
        return self._fingerprint

    @property
    def part_keys(self) -> tuple[bytes, ...]:
        """The keys of its prompt's parts in order; computed on first use.

        Services may have models of the same name, which then are the same.
        """
        if self._part_keys is None:
            prompt = self.info.prompt
            self._part_keys = (
                ()
                if prompt is None
                else tuple(
                    partledger.make_part_key(
                        scope=prompt.model or self.service, part=part.id
                    )
                    for part in prompt.parts
                )
            )
        return self._part_keys

    @property
    def shared_part_keys(self) -> tuple[bytes, ...]:
        """The keys of the parts that other prompts share."""
        return self.part_keys[:-1]

    @property
    def caller_id(self) -> str:
        """Identifies its caller to other hosts: by workspace or address."""
        if self.workspace is not None:
            return fingerprint_module.make_caller_id(self.workspace.name)
        return fingerprint_module.make_caller_id(self.caller.address)

    def observe_denial(self, retry_s: float | None) -> None:
        """Takes in that an endpoint has no room for it.

        Args:
            retry_s: Time after which it may have room, or None if this host
                decided by itself, which cost the request no time.
        """
        if retry_s is None:
            return
        self.denials += 1
        if self.permit_retry_s is None or retry_s < self.permit_retry_s:
            self.permit_retry_s = retry_s

    def left_s(self, now: float) -> float:
        """Returns the time until its deadline."""
        return self.deadline - now

    def silence_s(self, now: float) -> float:
        """Returns the time since the current attempt last received an event."""
        if self.sent_at is None:
            return 0.0
        return now - max(self.sent_at, self.pace.last_at)

    def ran_s(self, now: float) -> float | None:
        """Returns the time since its answer began, None if it hasn't."""
        began_at = self.answer_began_at
        return None if began_at is None else now - began_at


def allowed_wait_s(info: dialect.RequestInfo, route: routing.Route) -> float:
    """Returns the longest time a request may take."""
    if info.deadline_s is None:
        return route.timeout_s
    return min(route.timeout_s, info.deadline_s)


@attrs.frozen(kw_only=True)
class EndpointFailure:
    """An error answer of an endpoint.

    Attributes:
        status: The status code.
        fields: Its headers, as sent to the caller.
        body: The whole body.
    """

    status: int
    fields: dialect.Fields
    body: bytes


@attrs.frozen(kw_only=True)
class AttemptEnd:
    """The end of an attempt without a complete answer for the caller.

    Attributes:
        outcome: The outcome for retry decisions.
        reason: Text for logs.
        failure: The endpoint's error answer, to be passed on, or None.
        connection_lost: Whether the connection ended before the answer did.
        path: The path on which the connection to the endpoint failed, None if
            it was open.
        peer: The peer that was to relay that connection, or None.
        is_last_path: Whether there is no other path to this endpoint.
        is_retry_paid: Whether the retry budget is charged for another attempt.
    """

    outcome: attempts.Outcome
    reason: str
    failure: EndpointFailure | None = None
    connection_lost: bool = False
    path: endpointlinks.Path | None = None
    peer: str | None = None
    is_last_path: bool = False
    is_retry_paid: bool = False
