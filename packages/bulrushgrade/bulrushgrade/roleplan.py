"""When an engine should change its role.

Load: long reading and short chat trade places within minutes, on a fixed
fleet whose engines are away for seconds when they change. Harm: roles that
follow each swing cost engine time in every swing and arrive when it is over;
roles that never change leave engines idle beside a queue. The plan weighs
each possible change against the demand of the recent past, swings included:
a fleet that serves what has been seen needs no change when it comes again.
"""

import collections
from collections.abc import Iterable

import attrs

from bulrushgrade import work

BUCKET_S = 10.0
"""Demand is added up over so many seconds: about what a queue of long
readings absorbs, so that a shorter burst is no reason for a change."""

HISTORY_S = 240.0
"""How far back demand counts: a few swings of the mix."""

MIN_BUCKETS = 3
"""Full buckets before the first change: one could be a burst, and caches that
are still cold make reading look dearer than it will be."""

RECENT_BUCKETS = 3
"""Buckets of the short window: a change must help in each of them as well as
over the long one, else it would come for a swing that is already over."""

HORIZON_S = 120.0
"""How long a change is trusted to help: past it the mix is anyone's guess."""

MAX_UTILIZATION = 0.95
"""Part of an engine's time that can be used while answers stay in time; the
rest is waiting for work that has not arrived."""

USABLE_MEMORY_FRACTION = 0.7
"""Part of the KV memory that can be used: it is given out in pieces of whole
prompts, and promised while a prompt is still being read elsewhere."""

MIXED_EFFICIENCY = 0.9
"""What a mixed engine gets done against two that keep to one kind: its
reading goes in chunks beside its answers."""

GAIN_FACTOR = 1.5
"""How much more than its price a change must gain: the gain is an estimate,
and a change that proves wrong is paid for twice, there and back."""

CHANGE_S = 15.0
"""Seconds of an engine that a change takes: its drain, in which it empties,
the change itself, and the refilling of its prefix cache."""

MIN_DWELL_S = 40.0
"""An engine that has just changed stays: each change drops its cache."""

MIN_CHANGE_INTERVAL_S = 10.0
"""Between two changes of a group: the effect of the first must show in the
demand and loads before the next is judged."""

MAX_CHANGE_S = 90.0
"""A change that takes longer than this, drain included, has failed."""

MAX_VIEW_AGE_S = 3.0
"""A view that is older is not acted on: its engines may be gone, and a
change would take one more from a fleet that already lost one."""


@attrs.frozen(kw_only=True)
class GroupView:
    """A group of engines of one model, as the holder of its lease sees it.

    Attributes:
        at: When the view was last confirmed.
        endpoints: All its engines, whatever their state.
        running: Requests at each address, if known.
        prefill_tokens_per_s: What one engine reads.
        decode_tokens_per_s: What one engine generates.
    """

    at: float
    endpoints: tuple[work.Endpoint, ...]
    running: dict[str, float] = attrs.field(factory=dict)
    prefill_tokens_per_s: float
    decode_tokens_per_s: float


@attrs.frozen(kw_only=True)
class RoleChange:
    """An order that the plan asks for.

    Attributes:
        endpoint: The engine's address.
        role: The wanted role.
        gain_s: Engine seconds that the change should save over the horizon.
        cost_s: Its weighted price in engine seconds.
    """

    endpoint: str
    role: work.Role
    gain_s: float
    cost_s: float


@attrs.frozen
class _Split:
    """How many engines have each role."""

    prefill: int
    decode: int
    mixed: int

    def moved(self, old: work.Role, new: work.Role) -> "_Split":
        counts = attrs.asdict(self)
        counts[old.value] -= 1
        counts[new.value] += 1
        return _Split(**counts)

    def unserved_engines(self, reading: float, answering: float) -> float:
        """Returns the engines' worth of demand that is not served.

        Args:
            reading: Demand in engines that only read.
            answering: Demand in engines that only answer.
        """
        over = max(0.0, reading - self.prefill)
        over += max(0.0, answering - self.decode)
        return max(0.0, over - self.mixed * MIXED_EFFICIENCY)


class RolePlan:
    """Decides on the role changes of one group.

    Only the holder of the group's lease asks it; a new holder starts with an
    empty history and so changes nothing for `MIN_BUCKETS` buckets.
    """

    def __init__(
        self,
        *,
        goodput_weight: float = 1.0,
        role_change_weight: float = 1.0,
        floor: int = 2,
    ):
        """Makes a plan.

        Args:
            goodput_weight: Worth of an engine second of useful work.
            role_change_weight: Price of an engine second spent on a change.
            floor: Engines in service that can read, and that can answer, at
                least; half the engines in a smaller group. With two, the
                loss of one leaves callers slow and not without an answer.
        """
        # The engine seconds of a change are lost work whoever weighs them;
        # the document's weight for role changes comes on top.
        self._cost_s = CHANGE_S * (1.0 + role_change_weight / goodput_weight)
        self._floor = floor
        self._last_demands: dict[str, work.Demand] = {}
        self._buckets: collections.deque[list[float]] = collections.deque()
        self._changed_at: dict[str, float] = {}
        self._last_change = -1e9

    def observe(self, host: str, demand: work.Demand, now: float) -> None:
        """Takes in a host's demand so far.

        Args:
            host: The host.
            demand: Its counters since its start; smaller ones than before
                mean that it started anew.
            now: The present time.
        """
        before = self._last_demands.get(host)
        self._last_demands[host] = demand
        if before is None or before.output_tokens > demand.output_tokens:
            return
        start = now // BUCKET_S * BUCKET_S
        if not self._buckets or self._buckets[-1][0] < start:
            self._buckets.append([start, 0.0, 0.0, 0.0, 0.0])
        while self._buckets[0][0] < now - HISTORY_S:
            self._buckets.popleft()
        bucket = self._buckets[-1]
        bucket[1] += demand.prefill_tokens - before.prefill_tokens
        bucket[2] += demand.output_tokens - before.output_tokens
        bucket[3] += demand.kv_token_s - before.kv_token_s
        bucket[4] += demand.lost_s - before.lost_s

    def propose(self, view: GroupView, now: float) -> RoleChange | None:
        """Returns the change that pays best, or None.

        Args:
            view: The group; it is not acted on when it is stale.
            now: The present time.
        """
        if (
            now - view.at > MAX_VIEW_AGE_S
            or now - self._last_change < MIN_CHANGE_INTERVAL_S
        ):
            return None
        demands = self._demands(view, now)
        serving = [
            e
            for e in view.endpoints
            if _is_in_state(e, work.EndpointState.SERVING)
        ]
        if len(demands) < MIN_BUCKETS or self._is_change_running(view, now):
            return None
        split = _count_roles(serving)
        best = None
        for old in work.Role:
            for new in work.Role:
                candidate = self._candidate(serving, old, view.running, now)
                if old is new or candidate is None:
                    continue
                after = split.moved(old, new)
                if self._is_below_floor(after) and not self._is_below_floor(
                    split
                ):
                    continue
                gain = _gain_s(split, after, demands)
                if best is None or gain > best.gain_s:
                    best = RoleChange(
                        endpoint=candidate,
                        role=new,
                        gain_s=gain,
                        cost_s=self._cost_s,
                    )
        if best is None or best.gain_s <= GAIN_FACTOR * best.cost_s:
            return None
        return best

    def note_change(self, change: RoleChange, now: float) -> None:
        """Notes that a proposed change was ordered."""
        self._last_change = now
        self._changed_at[change.endpoint] = now

    def _demands(
        self, view: GroupView, now: float
    ) -> list[tuple[float, float, float]]:
        """Demand and loss of the full buckets in engines, the newest last."""
        found = []
        per_s = 1.0 / (BUCKET_S * MAX_UTILIZATION)
        memory = min((e.kv_capacity_tokens for e in view.endpoints), default=0)
        for start, read, answered, held, lost in self._buckets:
            if start + BUCKET_S > now:
                continue
            reading = read * per_s / view.prefill_tokens_per_s
            answering = answered * per_s / view.decode_tokens_per_s
            # Answers to long prompts fill an engine's memory long before its
            # time: by tokens alone one engine would seem to be enough.
            if memory:
                held_part = held / BUCKET_S / (USABLE_MEMORY_FRACTION * memory)
                answering = max(answering, held_part)
            found.append((reading, answering, lost / BUCKET_S))
        return found

    def _candidate(
        self,
        serving: Iterable[work.Endpoint],
        role: work.Role,
        running: dict[str, float],
        now: float,
    ) -> str | None:
        """The engine of a role that a change would disturb least."""
        free = [
            (running.get(e.address, 0.0), e.address)
            for e in serving
            if e.role is role
            and now - self._changed_at.get(e.address, -1e9) >= MIN_DWELL_S
        ]
        return min(free)[1] if free else None

    def _is_below_floor(self, split: _Split) -> bool:
        readers = split.prefill + split.mixed
        answerers = split.decode + split.mixed
        engines = split.prefill + answerers
        floor = max(1, min(self._floor, engines // 2))
        return min(readers, answerers) < floor

    def _is_change_running(self, view: GroupView, now: float) -> bool:
        """Whether an engine is still away for a change.

        An engine that is leaving for good must not hold up the plan until
        the host list forgets it: only those that were ordered to change, or
        say that they are changing, count.
        """
        return any(
            _is_in_state(e, work.EndpointState.CHANGING)
            or (
                _is_in_state(e, work.EndpointState.LEAVING)
                and now - self._changed_at.get(e.address, -1e9) < MAX_CHANGE_S
            )
            for e in view.endpoints
        )


def _is_in_state(endpoint: work.Endpoint, *states: work.EndpointState) -> bool:
    return endpoint.state in states


def _count_roles(endpoints: Iterable[work.Endpoint]) -> _Split:
    counts = collections.Counter(e.role for e in endpoints)
    return _Split(
        counts[work.Role.PREFILL],
        counts[work.Role.DECODE],
        counts[work.Role.MIXED],
    )


def _gain_s(
    before: _Split,
    after: _Split,
    demands: list[tuple[float, float, float]],
) -> float:
    # What was not lost can't be regained: the loss that callers met bounds
    # what the model of the fleet says, which knows no queues and no caches.
    gains = [
        min(
            before.unserved_engines(reading, answering)
            - after.unserved_engines(reading, answering),
            lost,
        )
        for reading, answering, lost in demands
    ]
    short = gains[-RECENT_BUCKETS:]
    mean = sum(gains) / len(gains)
    return HORIZON_S * min(mean, *short)
