"""The state machine of one engine's change of role or model.

Placement on the engine stops. Every daemon drops it from its view, or the
engine itself refuses new work. Requests in flight finish, the order goes out
by `order.OrderTracker`; the engine is observed to have carried it out, and load
returns gradually. No request is cut off: the order is proposed only for an
engine that is empty and that nobody can place work on.
"""

import enum
from typing import Protocol

import attrs
from automat import TypeMachineBuilder

from bulrushgrade import orderlog


class Action(enum.Enum):
    """The action that the owner of a role change must take next."""

    ASK_DRAIN = "ask the engine to refuse new work"
    PROPOSE = "propose the order of `RoleChange.target`"


@attrs.frozen(kw_only=True)
class RoleChangeTimes:
    """Time limits of a role change, in seconds.

    Attributes:
        drop_limit_s: How long daemons may take to drop the engine. After
            that the engine is asked to refuse new work instead, or the change
            is aborted if it can't refuse, since a daemon that does not
            respond may still place work on it.
        drain_limit_s: How long an engine that can't refuse may be drained
            before it is used again. Work that does not end must not cost the
            group the engine's idle capacity for long.
        order_limit_s: How long an order may take before it is overdue.
        retry_s: Interval between two drain requests.
        slow_start_s: Time over which load returns to its full share. The
            prompt cache is cold, and a full share at once would make all of
            it late.
    """

    drop_limit_s: float = 5.0
    drain_limit_s: float = 120.0
    order_limit_s: float = 60.0
    retry_s: float = 1.0
    slow_start_s: float = 10.0


@attrs.frozen(kw_only=True)
class Load:
    """An engine's report of its own work.

    Attributes:
        refusing: Whether it refuses new work.
        requests: Running and queued requests.
        measured_at: Time of the measurement by this process's clock: the time
            of receipt minus the age stated in the report.
    """

    refusing: bool
    requests: int
    measured_at: float


class _Phase(Protocol):
    def name(self) -> str:
        """Returns the phase's name."""

    def released(self) -> None:
        """No daemon can place work on the engine any more."""

    def emptied(self) -> None:
        """No requests are in flight on the engine."""

    def ended(self) -> None:
        """The order's outcome is on the log."""

    def warmed(self) -> None:
        """The slow start is over."""

    def aborted(self) -> None:
        """The change is aborted; the engine is used again as it was."""

    def handed_over(self) -> None:
        """The next lease holder takes over the order."""


def _build_phases():
    builder = TypeMachineBuilder(_Phase, object)
    releasing = builder.state("releasing")
    emptying = builder.state("emptying")
    ordering = builder.state("ordering")
    warming = builder.state("warming")
    done = builder.state("done")
    aborted = builder.state("aborted")
    handed_over = builder.state("handed over")
    for state, name in (
        (releasing, "releasing"),
        (emptying, "emptying"),
        (ordering, "ordering"),
        (warming, "warming"),
        (done, "done"),
        (aborted, "aborted"),
        (handed_over, "handed over"),
    ):
        state.upon(_Phase.name).loop().returns(name)
    releasing.upon(_Phase.released).to(emptying).returns(None)
    releasing.upon(_Phase.aborted).to(aborted).returns(None)
    emptying.upon(_Phase.emptied).to(ordering).returns(None)
    emptying.upon(_Phase.aborted).to(aborted).returns(None)
    ordering.upon(_Phase.aborted).to(aborted).returns(None)
    ordering.upon(_Phase.ended).to(warming).returns(None)
    for state in (releasing, emptying, ordering):
        state.upon(_Phase.handed_over).to(handed_over).returns(None)
    warming.upon(_Phase.warmed).to(done).returns(None)
    return builder.build()


_PHASES = _build_phases()


class RoleChange:
    """One change of one engine, run by the holder of its group."""

    def __init__(
        self,
        *,
        engine: str,
        before: orderlog.Wanted,
        wanted: orderlog.Wanted,
        can_refuse: bool,
        times: RoleChangeTimes,
        now: float,
    ):
        """Starts a change and stops placement on the engine.

        Args:
            engine: The engine's address.
            before: The engine's present role and model.
            wanted: The role and model to change to.
            can_refuse: Whether the engine can be asked to refuse new work.
            times: Time limits of the change.
            now: The current time.
        """
        self._engine = engine
        self._before = before
        self._target = wanted
        self._can_refuse = can_refuse
        self._times = times
        self._phase = _PHASES(object())
        self._phase_since = now
        self._drain_requested_at: float | None = None
        self._dropped_at: float | None = None
        self._refusing = False
        self._refusing_at: float | None = None
        self._proposed = False
        self._in_flight = 0
        self._load: Load | None = None
        self._outcome: orderlog.Wanted | None = None

    @property
    def engine(self) -> str:
        """The engine's address."""
        return self._engine

    @property
    def target(self) -> orderlog.Wanted:
        """The role and model to order; the former ones after an abort."""
        return self._target

    @property
    def phase(self) -> str:
        """The name of the phase, from ``releasing`` to ``done``."""
        return self._phase.name()

    @property
    def outcome(self) -> orderlog.Wanted | None:
        """The engine's observed role and model after the order, if known."""
        return self._outcome

    @property
    def over(self) -> bool:
        """Whether the change has ended, in any way."""
        return self.phase in ("done", "aborted", "handed over")

    def share(self, now: float) -> float:
        """Returns the fraction of the usual load that may be placed, 0 to 1."""
        phase = self.phase
        if phase in ("done", "aborted"):
            return 1.0
        if phase != "warming":
            return 0.0
        return min(1.0, (now - self._phase_since) / self._times.slow_start_s)

    def overdue(self, now: float) -> bool:
        """Returns whether the phase exceeds its time limit, for operators.

        The change still waits for an engine that refuses already or has an
        order. Otherwise its requests would be cut off, or its order would be
        left unfinished.
        """
        limits_s = {
            "releasing": self._times.drop_limit_s,
            "emptying": self._times.drain_limit_s,
            "ordering": self._times.order_limit_s,
        }
        limit_s = limits_s.get(self.phase)
        return limit_s is not None and now >= self._phase_since + limit_s

    def observe_drops(self, *, all_dropped: bool, now: float) -> None:
        """Records whether all known daemons report to have dropped the engine.

        Args:
            all_dropped: Whether they do.
            now: The current time.
        """
        if not all_dropped:
            self._dropped_at = None
        elif self._dropped_at is None:
            self._dropped_at = now

    def observe_in_flight(self, count: int) -> None:
        """Records the daemons' own count of requests on the engine."""
        self._in_flight = count

    def observe_load(self, load: Load) -> None:
        """Records the engine's report of its own work."""
        self._load = load
        self._refusing = load.refusing
        if not load.refusing:
            self._refusing_at = None

    def record_proposal(self) -> None:
        """Records that the order was proposed, with its intent on the way."""
        self._proposed = True

    def observe_outcome(self, seen: orderlog.Wanted, now: float) -> None:
        """Records the role and model observed after the order has ended."""
        if self.phase == "ordering":
            self._outcome = seen
            self._phase.ended()
            self._phase_since = now

    def abort(self, now: float) -> None:
        """Aborts the change if that is still possible.

        An engine that refuses new work accepts it again only after an order,
        so the order is then given for its former role and model.
        """
        phase = self.phase
        if phase not in ("releasing", "emptying") and (
            phase != "ordering" or self._proposed
        ):
            return
        if self._drain_requested_at is not None or self._refusing:
            self._target = self._before
        else:
            self._move(self._phase.aborted, now)

    def hand_over(self, now: float) -> None:
        """Ends the change here because the lease was lost.

        The next holder continues: it adopts an intent that is on the log, and
        an engine that was asked to drain says so in its report.
        """
        if self.phase in ("releasing", "emptying", "ordering"):
            self._move(self._phase.handed_over, now)

    def tick(self, now: float) -> Action | None:
        """Advances the phase and returns the action to take now, if any."""
        if self._refusing and self._refusing_at is None:
            self._refusing_at = now
        if self.phase == "releasing":
            self._release(now)
        if self.phase == "emptying":
            self._empty(now)
        if self.phase == "warming" and self.share(now) >= 1.0:
            self._move(self._phase.warmed, now)
        return self._next_action(now)

    def _next_action(self, now: float) -> Action | None:
        phase = self.phase
        if phase == "ordering" and not self._proposed:
            return Action.PROPOSE
        asks = self._can_refuse and not self._refusing
        if phase not in ("releasing", "emptying") or not asks:
            return None
        # The engine is asked to drain once all daemons have dropped it, so that
        # it refuses few requests, or when a daemon has not confirmed in time.
        if phase == "releasing" and not self._is_drop_overdue(now):
            return None
        if self._drain_requested_at is not None and (
            now < self._drain_requested_at + self._times.retry_s
        ):
            return None
        self._drain_requested_at = now
        return Action.ASK_DRAIN

    def _is_drop_overdue(self, now: float) -> bool:
        return now >= self._phase_since + self._times.drop_limit_s

    def _release(self, now: float) -> None:
        if self._refusing or self._dropped_at is not None:
            self._move(self._phase.released, now)
        elif self._is_drop_overdue(now) and not self._can_refuse:
            self.abort(now)

    def _empty(self, now: float) -> None:
        if self._is_empty():
            self._move(self._phase.emptied, now)
        elif self._drain_requested_at is None and self.overdue(now):
            self.abort(now)

    def _is_empty(self) -> bool:
        if self._load is None or self._load.requests or self._in_flight:
            return False
        # An engine's state is current while its counts lag. A count taken
        # before it refused, or before the last daemon dropped it, may miss
        # requests placed in between. A later count can only decrease.
        since = self._refusing_at if self._can_refuse else self._dropped_at
        return since is not None and self._load.measured_at >= since

    def _move(self, transition, now: float) -> None:
        transition()
        self._phase_since = now
