"""A greedy role plan, the baseline that the real role plan is compared with.

On every call it compares the demand of the last ten seconds with the roles,
and changes the first engine that doesn't fit at once.
"""

import collections

from bulrushgrade import roleplan
from bulrushgrade import work

WINDOW_S = 10.0


class GreedyPlan:
    """Follows the demand with engines that either prefill or decode."""

    def __init__(self):
        self._seen: dict[str, work.Demand] = {}
        self._samples: collections.deque[tuple[float, int, int]] = (
            collections.deque()
        )

    def observe(self, host: str, demand: work.Demand, now: float) -> None:
        """Records the cumulative demand of a host."""
        before = self._seen.get(host, demand)
        self._seen[host] = demand
        prefill_demand = demand.prefill_tokens - before.prefill_tokens
        decode_demand = demand.output_tokens - before.output_tokens
        self._samples.append((now, prefill_demand, decode_demand))
        while self._samples[0][0] < now - WINDOW_S:
            self._samples.popleft()

    def propose(
        self, view: roleplan.GroupView, now: float
    ) -> roleplan.RoleChange | None:
        """Returns a role change towards the current demand, or None."""
        serving = [
            e for e in view.endpoints if e.state is work.EndpointState.SERVING
        ]
        prefill_demand = (
            sum(s[1] for s in self._samples) / view.prefill_tokens_per_s
        )
        decode_demand = (
            sum(s[2] for s in self._samples) / view.decode_tokens_per_s
        )
        if len(serving) < 2 or prefill_demand + decode_demand <= 0.0:
            return None
        wanted = round(
            len(serving) * prefill_demand / (prefill_demand + decode_demand)
        )
        wanted = min(max(wanted, 1), len(serving) - 1)
        prefill, decode = work.Role.PREFILL, work.Role.DECODE
        prefillers = [e for e in serving if e.role is prefill]
        role = prefill if len(prefillers) < wanted else decode
        others = [e for e in serving if e.role is not role]
        if role is decode and len(prefillers) == wanted:
            others = [e for e in others if e.role is work.Role.MIXED]
        if not others:
            return None
        return roleplan.RoleChange(
            endpoint=others[0].address, role=role, gain_s=0.0, cost_s=0.0
        )

    def record_change(self, change: roleplan.RoleChange, now: float) -> None:
        """Does nothing: the plan doesn't wait after a change."""
