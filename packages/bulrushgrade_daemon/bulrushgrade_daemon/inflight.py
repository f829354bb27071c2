"""A caller's request while it is being served."""

from collections.abc import Mapping
from typing import Any

import attrs

from bulrushgrade import attempts
from bulrushgrade import directory
from bulrushgrade import eventstream
from bulrushgrade import fingerprint as fingerprint_module
from bulrushgrade import placementplan
from bulrushgrade import routing
from bulrushgrade import workspaces
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import frontend
from bulrushgrade_daemon import outbound


@attrs.define(kw_only=True)
class StreamPace:
    """When the events of a stream came.

    Attributes:
        first_at: The first; None before it.
        last_at: The last.
        longest_pause_s: The longest time between two.
    """

    first_at: float | None = None
    last_at: float = 0.0
    longest_pause_s: float = 0.0

    def note(self, now: float) -> None:
        """Notes events that came now."""
        if self.first_at is None:
            self.first_at = now
        else:
            pause_s = now - self.last_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_at = now


@attrs.define(kw_only=True, eq=False)
class InFlight:
    """One request under way.

    Attributes:
        caller: The request as it came, and the way to answer it.
        info: What its headers say.
        route: Where it goes.
        service: The service that was picked for it.
        deadline: When it has to be answered.
        history: Its attempts.
        avoid: Endpoints that it must not go to again.
        call: The answer that is being read, or None.
        splitter: Splits its events, for a stream.
        endpoint: Who had it last, or None.
        expired: Whether its deadline has passed.
        plan: Which engines have it, or None for a plain service.
        read_at: When another engine had read its prompt; None where none did.
        pace: When the events of its stream came.
        waits_s: How long it would wait at engines, from the owners of their
            queues.
        urgency: How soon engines take it; 0 goes first.
        workspace: Whose it is, or None.
        hides_key: Whether its key is not for endpoints.
        is_counted: Whether it was counted as one that began to run.
        sent_at: When the attempt under way began, None between two.
        answer_began_at: When the answer of the last attempt began, None
            where none did.
        avoid_zones: Availability zones where it had better not go.
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
    call: outbound.Answer | None = None
    splitter: eventstream.EventSplitter = attrs.field(
        factory=eventstream.EventSplitter
    )
    endpoint: directory.Registration | None = None
    expired: bool = False
    plan: placementplan.Plan | None = None
    read_at: float | None = None
    pace: StreamPace = attrs.field(factory=StreamPace)
    waits_s: Mapping[str, float] = attrs.field(factory=dict)
    urgency: int = attrs.field()
    workspace: workspaces.Workspace | None = None
    hides_key: bool = False
    is_counted: bool = False
    sent_at: float | None = None
    answer_began_at: float | None = None
    avoid_zones: frozenset[str] = frozenset()
    _fingerprint: str | None = attrs.field(default=None, init=False)

    @urgency.default
    def _route_urgency(self) -> int:
        return self.route.urgency

    @property
    def over(self) -> bool:
        """Whether nobody waits for an answer any more."""
        return self.expired or self.caller.is_disconnected

    def describe_plan(self) -> dict[str, Any]:
        """Returns what its plan was made from, for a line of the log."""
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

    @property
    def is_late(self) -> bool:
        """Whether its stream began or went on later than its route allows."""
        if self.pace.first_at is None:
            return False
        first_s = self.pace.first_at - self.caller.arrived_at
        gap_s = self.route.gap_s
        paused = gap_s is not None and self.pace.longest_pause_s > gap_s
        return paused or first_s > self.route.target_s

    @property
    def read_after_s(self) -> float | None:
        """From its arrival until another engine had read its prompt."""
        if self.read_at is None:
            return None
        return self.read_at - self.caller.arrived_at

    @property
    def fingerprint(self) -> str:
        """What names it and its repeats; made where it is asked for.

        It is made from what endpoints are given. They don't see an address,
        and a caller may come from several.
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
    def caller_id(self) -> str:
        """What names its caller to other hosts: a workspace or an address."""
        if self.workspace is not None:
            return fingerprint_module.make_caller_id(self.workspace.name)
        return fingerprint_module.make_caller_id(self.caller.address)

    def left_s(self, now: float) -> float:
        """Returns the time until its deadline."""
        return self.deadline - now

    def silent_s(self, now: float) -> float:
        """Returns since when nothing came of the attempt under way."""
        if self.sent_at is None:
            return 0.0
        return now - max(self.sent_at, self.pace.last_at)

    def ran_s(self, now: float) -> float | None:
        """Returns the time since its answer began, None where none did."""
        began_at = self.answer_began_at
        return None if began_at is None else now - began_at


def longest_wait_s(info: dialect.RequestInfo, route: routing.Route) -> float:
    """Returns how long a request may be kept waiting."""
    if info.deadline_s is None:
        return route.timeout_s
    return min(route.timeout_s, info.deadline_s)


@attrs.frozen(kw_only=True)
class EndpointFailure:
    """A failure that an endpoint gave as its answer.

    Attributes:
        status: The status code.
        fields: Its headers, as the caller gets them.
        body: The whole body.
    """

    status: int
    fields: dialect.Fields
    body: bytes


@attrs.frozen(kw_only=True)
class AttemptEnd:
    """How an attempt ended that gave the caller no whole answer.

    Attributes:
        outcome: What is known of it.
        reason: For logs.
        failure: The endpoint's own failure, to be passed on; or None.
        broke_off: Whether the connection ended before the answer did.
    """

    outcome: attempts.Outcome
    reason: str
    failure: EndpointFailure | None = None
    broke_off: bool = False
