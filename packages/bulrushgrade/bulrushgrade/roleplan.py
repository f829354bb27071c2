"""Decides when an engine changes its role.

The mix of long prompts and short chats shifts within minutes, while the fleet
is fixed and an engine is out of service for seconds when it changes. Roles
that follow every swing cost engine time each time and arrive when the swing
is over; roles that never change leave engines idle beside a queue. The plan
therefore evaluates each possible change against the demand of the recent
past, swings included: a fleet that can serve all of it needs no change when
the same demand returns.
"""

import collections
from collections.abc import Iterable

import attrs

from bulrushgrade import work

BUCKET_S = 10.0
"""Length of the buckets in which demand is summed. A queue of long prompts
absorbs a burst of about this length, so a shorter one justifies no change."""

HISTORY_S = 240.0
"""How long demand is taken into account: a few swings of the mix."""

MIN_BUCKETS = 3
"""Full buckets required before the first change. A single one could be a
burst, and cold caches make prefill look more expensive than it will be."""

RECENT_BUCKETS = 3
"""Buckets of the short window. A change must help in each of them and over the
whole history; otherwise it would answer a swing that is already over."""

HORIZON_S = 120.0
"""Time over which the gain of a change is counted. The mix can't be predicted
beyond it."""

MAX_UTILIZATION = 0.95
"""Fraction of an engine's time that can be used while answers stay in time. In
the rest it waits for work to arrive."""

USABLE_MEMORY_FRACTION = 0.7
"""Fraction of the KV memory that can be used. Memory is allocated for whole
prompts, and reserved while another engine is still prefilling a prompt."""

MIXED_EFFICIENCY = 0.9
"""Throughput of a mixed engine relative to engines with a single role. It runs
prefill in chunks interleaved with decoding."""

GAIN_FACTOR = 1.5
"""Required ratio of a change's gain to its cost. The gain is an estimate, and a
wrong change costs twice, since it has to be reverted."""

CHANGE_S = 15.0
"""Engine seconds that a change costs: draining, the change itself, and
refilling the prefix cache."""

MIN_DWELL_S = 40.0
"""Minimum time between two changes of one engine, since each change drops its
cache."""

MIN_CHANGE_INTERVAL_S = 10.0
"""Minimum time between two changes in a group. The effect of the first must
show in demand and loads before the next is evaluated."""

MAX_CHANGE_S = 90.0
"""A change that takes longer than this, draining included, has failed."""

MAX_VIEW_AGE_S = 3.0
"""Maximum age of a view that is acted on. Engines of an older one may be gone,
and a change would take another engine out of a fleet that already lost one."""


@attrs.frozen(kw_only=True)
class GroupView:
    """A group of engines of one model, as seen by the holder of its lease.

    Attributes:
        at: When the view was last confirmed.
        endpoints: All engines of the group in any state.
        running: Running requests by address, where known.
        prefill_tokens_per_s: Prefill throughput of one engine.
        decode_tokens_per_s: Decode throughput of one engine.
    """

    at: float
    endpoints: tuple[work.Endpoint, ...]
    running: dict[str, float] = attrs.field(factory=dict)
    prefill_tokens_per_s: float
    decode_tokens_per_s: float


@attrs.frozen(kw_only=True)
class RoleChange:
    """A role change that the plan proposes.

    Attributes:
        endpoint: The engine's address.
        role: The role to change to.
        gain_s: Engine seconds that the change should save over the horizon.
        cost_s: Weighted cost of the change in engine seconds.
    """

    endpoint: str
    role: work.Role
    gain_s: float
    cost_s: float


@attrs.frozen
class _Split:
    """The number of engines in each role."""

    prefill: int
    decode: int
    mixed: int

    def moved(self, old: work.Role, new: work.Role) -> "_Split":
        counts = attrs.asdict(self)
        counts[old.value] -= 1
        counts[new.value] += 1
        return _Split(**counts)

    def unserved_engines(
        self, prefill_demand: float, decode_demand: float
    ) -> float:
        """Returns how many more engines the demand would need.

        Args:
            prefill_demand: Prefill demand in units of prefill engines.
            decode_demand: Decode demand in units of decode engines.
        """
        over = max(0.0, prefill_demand - self.prefill)
        over += max(0.0, decode_demand - self.decode)
        return max(0.0, over - self.mixed * MIXED_EFFICIENCY)


class RolePlan:
    """Decides on the role changes of one group.

    It is used only by the holder of the group's lease. A new holder starts
    with an empty history and so changes nothing for `MIN_BUCKETS` buckets.
    """

    def __init__(
        self,
        *,
        goodput_weight: float = 1.0,
        role_change_weight: float = 1.0,
        floor: int = 2,
    ):
        """Creates a plan with an empty history.

        Args:
            goodput_weight: Value of an engine second of useful work.
            role_change_weight: Cost of an engine second spent on a change.
            floor: Minimum number of engines that can prefill, and that can
                decode; half of the engines in a smaller group. With two, the
                loss of one slows answers down but does not stop them.
        """
        # The engine seconds of a change are lost work under any weights. The
        # document's weight for role changes is added to them.
        self._cost_s = CHANGE_S * (1.0 + role_change_weight / goodput_weight)
        self._floor = floor
        self._last_demands: dict[str, work.Demand] = {}
        self._buckets: collections.deque[list[float]] = collections.deque()
        self._changed_at: dict[str, float] = {}
        self._last_change = -1e9

    def observe(self, host: str, demand: work.Demand, now: float) -> None:
        """Records a host's demand counters.

        Args:
            host: The host.
            demand: Its counters since its start. Counters that decrease mean
                that the host has restarted.
            now: The current time.
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
        """Returns the change with the highest gain, or None.

        Args:
            view: The group. A stale view is not acted on.
            now: The current time.
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

    def record_change(self, change: RoleChange, now: float) -> None:
        """Records that a proposed change was ordered."""
        self._last_change = now
        self._changed_at[change.endpoint] = now

    def _demands(
        self, view: GroupView, now: float
    ) -> list[tuple[float, float, float]]:
        """Returns demand and loss per full bucket in engines, oldest first."""
        found = []
        per_s = 1.0 / (BUCKET_S * MAX_UTILIZATION)
        memory = min((e.kv_capacity_tokens for e in view.endpoints), default=0)
        for start, prefilled, decoded, kv_held, lost in self._buckets:
            if start + BUCKET_S > now:
                continue
            prefill_demand = prefilled * per_s / view.prefill_tokens_per_s
            decode_demand = decoded * per_s / view.decode_tokens_per_s
            # Long prompts exhaust an engine's memory long before its time is
            # used up. By tokens alone one engine would seem to be enough.
            if memory:
                kv_demand = (
                    kv_held / BUCKET_S / (USABLE_MEMORY_FRACTION * memory)
                )
                decode_demand = max(decode_demand, kv_demand)
            found.append((prefill_demand, decode_demand, lost / BUCKET_S))
        return found

    def _candidate(
        self,
        serving: Iterable[work.Endpoint],
        role: work.Role,
        running: dict[str, float],
        now: float,
    ) -> str | None:
        """Returns the least loaded engine of a role that may change."""
        free = [
            (running.get(e.address, 0.0), e.address)
            for e in serving
            if e.role is role
            and now - self._changed_at.get(e.address, -1e9) >= MIN_DWELL_S
        ]
        return min(free)[1] if free else None

    def _is_below_floor(self, split: _Split) -> bool:
        prefill_capable = split.prefill + split.mixed
        decode_capable = split.decode + split.mixed
        engines = split.prefill + decode_capable
        floor = max(1, min(self._floor, engines // 2))
        return min(prefill_capable, decode_capable) < floor

    def _is_change_running(self, view: GroupView, now: float) -> bool:
        """Returns whether an engine is out of service for a change.

        Only engines that were ordered to change or report that they are
        changing count. An engine that is leaving for good must not block the
        plan until the host list drops it.
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
    # The loss that callers observed bounds the modelled gain, since the model
    # of the fleet has neither queues nor caches.
    gains = [
        min(
            before.unserved_engines(prefill_demand, decode_demand)
            - after.unserved_engines(prefill_demand, decode_demand),
            lost,
        )
        for prefill_demand, decode_demand, lost in demands
    ]
    short = gains[-RECENT_BUCKETS:]
    mean = sum(gains) / len(gains)
    return HORIZON_S * min(mean, *short)
