"""Gives up attempts at silent endpoints while another one has room.

`bulrushgrade.silencelimit` decides how long an attempt may be silent. The
forwarder runs the attempts and the retries that follow.
"""

from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
import enum
from typing import Any

import attrs
from twisted.internet import defer

from bulrushgrade import attempts
from bulrushgrade import directory
from bulrushgrade import engineadmission
from bulrushgrade import retryshare
from bulrushgrade import routing
from bulrushgrade import silencelimit
from bulrushgrade_daemon import answerforwarding
from bulrushgrade_daemon import endpointchooser
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import permitservice
from bulrushgrade_daemon import requestlog

SILENT = "silent"
"""Reason of the end of an attempt that was given up."""

UNWRITTEN_CHECK_S = 0.02
"""Time between checks of an attempt whose connection is being opened. Limits
are longer, so that it still is given up in time."""

IDLE_CHECK_S = 0.1
"""Time between checks of an attempt that has no limit at present."""

MIN_CHECK_S = 0.001
"""Shortest time until the next check; the timers are no more precise."""


class Phase(enum.Enum):
    """What an attempt waits for.

    UNWRITTEN is a connection or a permit. PREFILL is a prefill for another
    engine, HANDOVER the first event after that. RUN is any other response.
    """

    UNWRITTEN = "unwritten"
    PREFILL = "prefill"
    HANDOVER = "handover"
    RUN = "run"
    ANSWERED = "answered"


@attrs.frozen(kw_only=True)
class Policy:
    """What decides whether and when attempts are given up.

    Attributes:
        is_on: Returns whether attempts are given up at all.
        may_run_again: Returns whether a request may have another attempt after
            a given history, apart from the budget.
        find_share: Returns the retry budget of a service.
        open_requests: Returns the requests in flight.
    """

    is_on: Callable[[], bool]
    may_run_again: Callable[[inflight.InFlight, attempts.AttemptHistory], bool]
    find_share: Callable[[str], retryshare.RetryShare]
    open_requests: Callable[[], Iterable[inflight.InFlight]]


class EarlyRetries:
    """Runs attempts, and gives up those at silent endpoints."""

    def __init__(
        self,
        *,
        timers: Any,
        chooser: endpointchooser.EndpointChooser,
        permits: permitservice.PermitService,
        policy: Policy,
        log: requestlog.RequestLog,
    ):
        """Creates the state without observations.

        Args:
            timers: The timer service.
            chooser: Chooses the endpoints of second attempts.
            permits: Permits for endpoints that state a limit.
            policy: What decides whether attempts are given up.
            log: Gets a line for each attempt that is given up.
        """
        self._timers = timers
        self._chooser = chooser
        self._permits = permits
        self._policy = policy
        self._log = log
        self._limits: dict[tuple[str, ...], silencelimit.SilenceLimit] = {}
        self._saturations: dict[str, silencelimit.Saturation] = {}
        self._counts: dict[str, int] = {}

    @property
    def counts(self) -> dict[str, int]:
        """Number of attempts given up, and of those that went on, by reason."""
        return dict(self._counts)

    def dump(self) -> dict[str, Any]:
        """Returns the limits in force and the saturated services."""
        now = self._timers.now
        return {
            "limits": {
                "/".join(key): limit.dump(now)
                for key, limit in self._limits.items()
            },
            "saturated": sorted(
                service
                for service, saturation in self._saturations.items()
                if saturation.is_saturated(now)
            ),
        }

    def observe_plan(
        self,
        request: inflight.InFlight,
        endpoint: directory.Registration | None,
    ) -> None:
        """Takes in the first plan of a request.

        Args:
            request: The request.
            endpoint: The endpoint that was chosen, or None.
        """
        history, now = request.history, self._timers.now
        if not self._policy.is_on() or history.last is not None:
            return
        saturation = self._saturation(request.service)
        if endpoint is None:
            saturation.observe_refusal(now)
        elif request.plan is not None:
            plan = request.plan
            waited_s = now - request.caller.arrived_at
            first_s = waited_s + plan.first_event_s + plan.delay_s
            is_late = first_s > request.route.target_s
            saturation.observe_plan(is_late=is_late, now=now)

    def observe_end(
        self, request: inflight.InFlight, ended: inflight.AttemptEnd
    ) -> None:
        """Takes in the end of an attempt without a complete answer."""
        if not self._policy.is_on() or request.plan is not None:
            return
        if ended.outcome is attempts.Outcome.TURNED_AWAY:
            self._saturation(request.service).observe_refusal(self._timers.now)

    def observe_head(self, request: inflight.InFlight) -> None:
        """Takes in the head of an endpoint's answer."""
        status = request.endpoint_answer.status
        is_stream = request.route.kind is routing.RequestKind.STREAM
        if not is_stream and not answerforwarding.is_failure(status):
            self._observe_response(request, Phase.RUN)

    def observe_event(self, request: inflight.InFlight) -> None:
        """Takes in the event of an answer; only the first one counts."""
        if request.pace.first_at is None:
            self._observe_response(request, _run_phase(request))

    def observe_prefilled(self, request: inflight.InFlight) -> None:
        """Takes in the end of a prefill for another engine."""
        self._observe_response(request, Phase.PREFILL)

    async def run(
        self,
        request: inflight.InFlight,
        attempt: Coroutine[Any, Any, inflight.AttemptEnd | None],
    ) -> inflight.AttemptEnd | None:
        """Runs an attempt; cancels it when it is to be given up.

        Args:
            request: The request.
            attempt: The attempt, whose cancellation closes its connection.

        Returns:
            The result of the attempt, or that its endpoint was silent.
        """
        if not self._policy.is_on():
            return await attempt
        running = defer.Deferred.fromCoroutine(attempt)
        given_up: inflight.AttemptEnd | None = None
        next_check: Any = None

        def check() -> None:
            nonlocal given_up, next_check
            step = self._check(request)
            if isinstance(step, inflight.AttemptEnd):
                given_up = step
                running.cancel()
            elif step is not None:
                next_check = self._timers.after(step, check)

        if not running.called:
            check()
        try:
            ended = await running
        except defer.CancelledError:
            # It may have been cancelled by the caller or the deadline too.
            if given_up is None or request.is_over or request.is_withdrawn:
                raise
            return given_up
        finally:
            if next_check is not None:
                next_check.cancel()
        return ended if ended is None else given_up or ended

    def _check(
        self, request: inflight.InFlight
    ) -> inflight.AttemptEnd | float | None:
        """Returns that an attempt is given up, or when to check it again.

        The latter in seconds; None means never.
        """
        phase, now = _find_phase(request), self._timers.now
        is_prefill = phase is Phase.PREFILL
        outcome = (
            attempts.Outcome.UNREAD if is_prefill else attempts.Outcome.LOST
        )
        history = attrs.evolve(request.history)
        history.note(outcome)
        if phase is Phase.ANSWERED:
            return None
        # A prefill is no run, but only routes with a second attempt may
        # repeat it.
        if not attempts.may_retry(request.route, history):
            return None
        if not request.route.repeatable:
            return None
        if phase is Phase.UNWRITTEN:
            return UNWRITTEN_CHECK_S
        waited_s = now - request.written_at
        left_s = _usable_until(request) - request.written_at
        if waited_s > left_s * silencelimit.LEFT_FRACTION + MIN_CHECK_S:
            return None
        expected_s = _expected_s(request, phase)
        limit = self._limit(request, phase)
        limit_s = limit.limit_s(
            expected_s=expected_s,
            target_s=request.route.target_s,
            left_s=left_s,
            now=now,
        )
        if limit_s is None:
            return IDLE_CHECK_S
        if waited_s < limit_s:
            return max(limit_s - waited_s, MIN_CHECK_S)
        kept = self._why_kept(request, history)
        if kept is not None:
            self._count(f"kept_{kept}")
            return max(limit_s, MIN_CHECK_S)
        self._count("given_up")
        if expected_s is None:
            expected_s = limit.estimate(now).mean_s
        self._log.log_early_retry(
            request, waited_s=waited_s, limit_s=limit_s, expected_s=expected_s
        )
        return inflight.AttemptEnd(
            outcome=outcome, reason=SILENT, is_retry_paid=True
        )

    def _why_kept(
        self, request: inflight.InFlight, history: attempts.AttemptHistory
    ) -> str | None:
        """Returns why a silent attempt goes on; None if it is given up.

        The budget is charged if it is.

        Args:
            request: The request.
            history: Its history with this attempt as a failed one.
        """
        now = self._timers.now
        if request.urgency == routing.LOWEST_URGENCY:
            # It lets other prompts go first, for any time.
            return "yielding"
        if self._saturation(request.service).is_saturated(now):
            return "saturated"
        if not self._policy.may_run_again(request, history):
            return "final"
        if not self._has_alternative(request, history):
            return "without_alternative"
        if not self._policy.find_share(request.service).spend_early(now):
            return "without_budget"
        return None

    def _has_alternative(
        self, request: inflight.InFlight, history: attempts.AttemptHistory
    ) -> bool:
        """Returns whether another endpoint has room for a second attempt."""
        trial = attrs.evolve(
            request,
            avoid=request.avoid | {request.endpoint.incarnation},
            history=history,
        )
        endpoint = self._chooser.choose(trial)
        if endpoint is None or endpoint.incarnation in trial.avoid:
            return False
        # A permit takes time and may be denied.
        if self._permits.needs_permit(endpoint):
            return False
        now = self._timers.now
        if trial.plan is not None:
            waited_s = now - request.caller.arrived_at
            late_s = engineadmission.lateness_s(
                trial.plan,
                left_s=request.left_s(now),
                patience_s=request.route.patience_s - waited_s,
            )
            return late_s <= 0
        open_there = sum(
            one.sent_at is not None
            and one.endpoint.incarnation == endpoint.incarnation
            for one in self._policy.open_requests()
        )
        return open_there < endpoint.slots

    def _observe_response(
        self, request: inflight.InFlight, phase: Phase
    ) -> None:
        if not self._policy.is_on() or request.written_at is None:
            return
        now = self._timers.now
        sample = silencelimit.Sample(
            at=now,
            took_s=now - request.written_at,
            expected_s=_expected_s(request, phase),
            target_s=request.route.target_s,
        )
        self._limit(request, phase).observe(sample)

    def _limit(
        self, request: inflight.InFlight, phase: Phase
    ) -> silencelimit.SilenceLimit:
        # A host gets few requests to a plain service, so that its routes have
        # one limit. Expected times of engines are those of the route's prompts.
        key = (request.service,)
        if request.plan is not None:
            key = (request.service, request.route.name, phase.value)
        return self._limits.setdefault(key, silencelimit.SilenceLimit())

    def _saturation(self, service: str) -> silencelimit.Saturation:
        return self._saturations.setdefault(service, silencelimit.Saturation())

    def _count(self, what: str) -> None:
        self._counts[what] = self._counts.get(what, 0) + 1


def _run_phase(request: inflight.InFlight) -> Phase:
    plan = request.plan
    if plan is None or plan.prefill is None:
        return Phase.RUN
    return Phase.HANDOVER


def _find_phase(request: inflight.InFlight) -> Phase:
    """Returns what the current attempt of a request waits for."""
    if request.history.begun:
        return Phase.ANSWERED
    written_at, prefilled_at = request.written_at, request.prefilled_at
    if written_at is None:
        return Phase.UNWRITTEN
    if request.is_prefilling:
        is_done = prefilled_at is not None and prefilled_at >= written_at
        return Phase.UNWRITTEN if is_done else Phase.PREFILL
    if request.answer_began_at is None:
        return _run_phase(request)
    is_stream = request.route.kind is routing.RequestKind.STREAM
    if is_stream and request.splitter.events == request.events_before:
        return _run_phase(request)
    return Phase.ANSWERED


def _expected_s(request: inflight.InFlight, phase: Phase) -> float | None:
    """Returns the expected time to the first byte, None for plain services."""
    plan = request.plan
    if plan is None:
        return None
    if phase is Phase.PREFILL:
        return plan.wait_s + plan.busy_s + plan.latency_s + plan.delay_s
    if phase is Phase.HANDOVER:
        return plan.transfer_s + plan.handover_s
    return plan.first_event_s + plan.delay_s


def _usable_until(request: inflight.InFlight) -> float:
    """Returns until when the caller can get the first byte of an answer."""
    patient_until = request.caller.arrived_at + request.route.patience_s
    return min(request.deadline, patient_until)
