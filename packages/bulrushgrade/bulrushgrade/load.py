"""The load of one endpoint, combined from three sources.

This host's own requests are known exactly, those of peers are recent but
advisory, and the engine's report is delayed. Counting a request in two sources
would make a busy engine look twice as busy; using the report alone would make
an engine look idle that this host has just filled. So the load is the current
sum of own and peers' work, plus what the report shows beyond the own and peers'
work of the time of the report, which is work of hosts that send no messages.
"""

import collections
from typing import Any

import attrs

from bulrushgrade import ejection
from bulrushgrade import limit
from bulrushgrade import work

PEER_LOAD_TTL_S = 3.0
"""A peer's load is dropped after this time without a message: its requests at
the engines then show in their reports."""

MAX_REPORT_AGE_S = 15.0
"""Largest age of a report that is used."""


@attrs.frozen
class Amount:
    """Amount of work at an endpoint.

    Attributes:
        running: Requests, queued ones included.
        prefill_tokens: Prompt tokens still to be prefilled.
        kv_tokens: KV cache in use or reserved, in tokens.
        short_tokens: Part of `prefill_tokens` that goes before long prefills.
    """

    running: float = 0.0
    prefill_tokens: float = 0.0
    kv_tokens: float = 0.0
    short_tokens: float = 0.0

    def __add__(self, other: "Amount") -> "Amount":
        return Amount(
            self.running + other.running,
            self.prefill_tokens + other.prefill_tokens,
            self.kv_tokens + other.kv_tokens,
            self.short_tokens + other.short_tokens,
        )

    def scaled(self, factor: float) -> "Amount":
        """Returns the amount multiplied by a factor."""
        return Amount(
            self.running * factor,
            self.prefill_tokens * factor,
            self.kv_tokens * factor,
            self.short_tokens * factor,
        )

    def excess_over(self, other: "Amount") -> "Amount":
        """Returns the difference to the other, with a minimum of zero."""
        return Amount(
            max(0.0, self.running - other.running),
            max(0.0, self.prefill_tokens - other.prefill_tokens),
            max(0.0, self.kv_tokens - other.kv_tokens),
            max(0.0, self.short_tokens - other.short_tokens),
        )

    def maximum(self, other: "Amount") -> "Amount":
        """Returns the larger value of each attribute."""
        return self + other.excess_over(self)


NO_LOAD = Amount()


class EndpointLoad:
    """The load, concurrency limit and health of one endpoint."""

    def __init__(self, *, endpoint: work.Endpoint):
        self.endpoint = endpoint
        self.limit = limit.ConcurrencyLimit(ceiling=float(endpoint.slots))
        self.health = ejection.Health()
        self.first_token_ratio = 1.0
        self.step_ratio = 1.0
        self.kv_capacity_tokens = endpoint.kv_capacity_tokens
        self._own = NO_LOAD
        self._peers: dict[str, Amount] = {}
        self._peer_sum = NO_LOAD
        self._unattributed = NO_LOAD
        self._history: collections.deque[
            tuple[float, Amount, Amount, Amount]
        ] = collections.deque()
        self.total = NO_LOAD

    @property
    def own(self) -> Amount:
        """This host's requests in flight at the endpoint."""
        return self._own

    def update_endpoint(self, endpoint: work.Endpoint) -> None:
        """Updates the description of the endpoint.

        In another role or with another model the engine behaves differently, so
        its learned speed and health are reset.
        """
        old, self.endpoint = self.endpoint, endpoint
        if (old.role, old.model) != (endpoint.role, endpoint.model):
            self.first_token_ratio = self.step_ratio = 1.0
            self.health = ejection.Health()
        if old.slots != endpoint.slots:
            self.limit = limit.ConcurrencyLimit(ceiling=float(endpoint.slots))
        if endpoint.kv_capacity_tokens:
            self.kv_capacity_tokens = endpoint.kv_capacity_tokens

    @property
    def serving(self) -> bool:
        """Whether the endpoint takes new work by its state."""
        return self.endpoint.state is work.EndpointState.SERVING

    def placeable(self, now: float) -> bool:
        """Returns whether new work may be placed here."""
        return self.serving and self.health.usable(now)

    def add_own(self, amount: Amount, now: float) -> None:
        """Adds work of this host; negative amounts remove it."""
        total = self._own + amount
        self._own = total.excess_over(NO_LOAD)
        self._recompute_total(now)

    def set_peer(self, peer: str, amount: Amount, now: float) -> None:
        """Replaces a peer's work in flight here."""
        before = self._peers.pop(peer, NO_LOAD)
        if amount != NO_LOAD:
            self._peers[peer] = amount
        # Counts are whole numbers, so adding and subtracting leaves no rounding
        # error.
        self._peer_sum = self._peer_sum + before.scaled(-1.0) + amount
        self._recompute_total(now)

    def apply_report(self, report: work.LoadReport, now: float) -> None:
        """Updates the load from the engine's own, delayed report."""
        if report.kv_capacity_tokens:
            self.kv_capacity_tokens = report.kv_capacity_tokens
        if report.age_s > MAX_REPORT_AGE_S:
            return
        reported = Amount(
            float(report.running + report.queued),
            float(report.prefill_backlog_tokens),
            float(report.kv_used_tokens),
        )
        self._unattributed = reported.excess_over(
            self._known_at(now - report.age_s)
        )
        # The engine's KV cache usage includes cached prefixes that no request
        # uses. They are evicted on demand and are not load.
        self._unattributed = attrs.evolve(self._unattributed, kv_tokens=0.0)
        self._recompute_total(now)

    def dump(self) -> dict[str, Any]:
        """Returns the load for diagnosis, ready for JSON."""
        return {
            "role": self.endpoint.role.value,
            "state": self.endpoint.state.value,
            "running": round(self.total.running, 1),
            "own": round(self._own.running, 1),
            "prefill_tokens": round(self.total.prefill_tokens),
            "kv_tokens": round(self.total.kv_tokens),
            "limit": round(self.limit.value, 1),
            "ratio": round(self.health.ratio, 2),
            "ejected": self.health.ejected_until is not None,
        }

    def foreign_prefill_tokens(self, since: float, until: float) -> float:
        """Returns the maximum of other hosts' prefill tokens in an interval.

        It is called some time after the interval, when the messages that were
        in transit have arrived.
        """
        max_tokens = 0.0
        for at, _, peers, unattributed in reversed(self._history):
            if at <= until:
                tokens = peers.prefill_tokens + unattributed.prefill_tokens
                max_tokens = max(max_tokens, tokens)
            if at <= since:
                break
        return max_tokens

    def _recompute_total(self, now: float) -> None:
        self.total = self._own + self._peer_sum + self._unattributed
        if self._history and self._history[-1][0] == now:
            self._history.pop()
        self._history.append(
            (now, self._own, self._peer_sum, self._unattributed)
        )
        while len(self._history) > 2 and (
            self._history[1][0] < now - MAX_REPORT_AGE_S
        ):
            self._history.popleft()

    def _known_at(self, when: float) -> Amount:
        """Returns own and peers' work at an earlier time.

        Own work is known exactly. A peer's message about work that a report
        includes may arrive after the time of the report. If the report were
        compared with the messages received by that time, the peer's work would
        count twice, once as unattributed and once as the peer's. So the maximum
        of the peers' work since that time is used.
        """
        peers = self._peer_sum
        for at, own, peer_sum, _ in reversed(self._history):
            peers = peers.maximum(peer_sum)
            if at <= when:
                return own + peers
        return peers
