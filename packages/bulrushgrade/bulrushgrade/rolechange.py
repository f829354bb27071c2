"""One engine's change of role or model, from its last request to its next.

Nothing is placed on the engine any more; every daemon drops it from its view,
or the engine itself refuses; what is in flight finishes; the order goes out
by `order.OrderTracker`; the engine is seen to be through with it; and load
comes back slowly. No request is cut on the way: the order is only proposed to
an engine that is empty and that nobody can fill.
"""

import enum
from typing import Protocol

import attrs
from automat import TypeMachineBuilder

from bulrushgrade import orderlog


class Action(enum.Enum):
    """What the owner has to do next for a role change."""

    ASK_DRAIN = "ask the engine to refuse new work"
    PROPOSE = "propose the order of `RoleChange.target`"


@attrs.frozen(kw_only=True)
class RoleChangeTimes:
    """Times of a role change, in seconds.

    Attributes:
        drop_limit_s: How long daemons may take to drop the engine. Past it
            the engine is asked to refuse instead, or the change is aborted
            where it can't: a daemon that is silent may still place on it.
        drain_limit_s: How long an engine that can't refuse may stay away with
            work in flight before it is placed on again; work that refuses to
            end must not cost the group the engine's idle capacity for long.
        order_limit_s: How long an order may take before it counts as overdue.
        retry_s: Time between two requests to drain.
        slow_start_s: Time over which load comes back; the prompt cache is
            cold, and a full share at once would make all of it late.
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
        requests: Running and queued.
        measured_at: When it was measured, by this process's clock: the time
            of receipt less the age that the report gives.
    """

    refusing: bool
    requests: int
    measured_at: float


class _Phase(Protocol):
    def name(self) -> str:
        """Returns the phase's name."""

    def released(self) -> None:
        """Nobody can place on the engine any more."""

    def emptied(self) -> None:
        """Nothing is in flight on it."""

    def ended(self) -> None:
        """The order's outcome is on the log."""

    def warmed(self) -> None:
        """The slow start is over."""

    def aborted(self) -> None:
        """The engine is placed on again as it was."""

    def handed_over(self) -> None:
        """The order is the next holder's."""


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
        """Starts a change; placing on the engine stops with it.

        Args:
            engine: The engine's address.
            before: What the engine is.
            wanted: What it is to be.
            can_refuse: Whether the engine knows how to refuse new work.
            times: The times of the change.
            now: The present time.
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
        """What to order: what was wanted, or the way back after an abort."""
        return self._target

    @property
    def phase(self) -> str:
        """The phase's name, from ``releasing`` to ``done``."""
        return self._phase.name()

    @property
    def outcome(self) -> orderlog.Wanted | None:
        """What the engine was seen to be after the order."""
        return self._outcome

    @property
    def over(self) -> bool:
        """Whether nothing is left to do here."""
        return self.phase in ("done", "aborted", "handed over")

    def share(self, now: float) -> float:
        """Returns the part of its usual load that may be placed, 0 to 1."""
        phase = self.phase
        if phase in ("done", "aborted"):
            return 1.0
        if phase != "warming":
            return 0.0
        return min(1.0, (now - self._phase_since) / self._times.slow_start_s)

    def overdue(self, now: float) -> bool:
        """Whether a phase takes longer than it should, for the operators.

        An engine that refuses already, or has an order, is waited for all the
        same: its requests would be cut, or its order left half done.
        """
        limits_s = {
            "releasing": self._times.drop_limit_s,
            "emptying": self._times.drain_limit_s,
            "ordering": self._times.order_limit_s,
        }
        limit_s = limits_s.get(self.phase)
        return limit_s is not None and now >= self._phase_since + limit_s

    def note_views(self, *, all_dropped: bool, now: float) -> None:
        """Takes whether every known daemon says that it dropped the engine."""
        if not all_dropped:
            self._dropped_at = None
        elif self._dropped_at is None:
            self._dropped_at = now

    def note_in_flight(self, count: int) -> None:
        """Takes the daemons' own count of requests on the engine."""
        self._in_flight = count

    def note_load(self, load: Load) -> None:
        """Takes the engine's report of its own work."""
        self._load = load
        self._refusing = load.refusing
        if not load.refusing:
            self._refusing_at = None

    def note_proposed(self) -> None:
        """Notes that the order was proposed; its intent is on its way."""
        self._proposed = True

    def note_outcome(self, seen: orderlog.Wanted, now: float) -> None:
        """Takes what the engine was seen to be once its order was over."""
        if self.phase == "ordering":
            self._outcome = seen
            self._phase.ended()
            self._phase_since = now

    def abort(self, now: float) -> None:
        """Gives the change up, where that is still possible.

        An engine that refuses new work takes it again only after an order;
        so the order goes on, for what the engine was before.
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
        """Notes that authority is lost; the next holder sees to the engine.

        An intent on the log is adopted there; an engine that was asked to
        drain shows it in its report.
        """
        if self.phase in ("releasing", "emptying", "ordering"):
            self._move(self._phase.handed_over, now)

    def tick(self, now: float) -> Action | None:
        """Moves on, and returns what the owner has to do now."""
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
        # Drain is asked for when the daemons have dropped the engine, so that
        # few requests bounce; or when one is silent for too long.
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
        # An engine's state is of now, its figures lag. A count from before it
        # refused, or before the last daemon dropped it, says nothing of what
        # was placed on it just then; a later one can only fall.
        since = self._refusing_at if self._can_refuse else self._dropped_at
        return since is not None and self._load.measured_at >= since

    def _move(self, transition, now: float) -> None:
        transition()
        self._phase_since = now
