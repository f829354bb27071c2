"""One endpoint's load, combined from three sources.

Own work in flight is exact, peers' is fresh but advisory, the engine's report
lags. Counting a request in two of them would make a busy engine look twice as
busy; believing the report alone would make an engine look idle that this host
has just filled. So: what is known is own plus peers' now, and the report
only adds what it shows beyond what is known of the time it speaks of (work of
hosts that are not heard).
"""

import collections
from typing import Any

import attrs

from bulrushgrade import ejection
from bulrushgrade import limit
from bulrushgrade import work

PEER_LOAD_TTL_S = 3.0
"""A peer that is silent for so long is no longer counted: what it left at
the engines shows in their reports."""

MAX_REPORT_AGE_S = 15.0
"""How far back a report may speak; an older one is not believed."""


@attrs.frozen
class Amount:
    """Work at an endpoint.

    Attributes:
        running: Requests, waiting ones included.
        prefill_tokens: Prompt tokens yet to be read.
        kv_tokens: KV memory taken or promised.
        short_tokens: Those of `prefill_tokens` that go before long readings.
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
        """Returns the amount times a factor."""
        return Amount(
            self.running * factor,
            self.prefill_tokens * factor,
            self.kv_tokens * factor,
            self.short_tokens * factor,
        )

    def excess_over(self, other: "Amount") -> "Amount":
        """Returns what is here and not in the other, none below zero."""
        return Amount(
            max(0.0, self.running - other.running),
            max(0.0, self.prefill_tokens - other.prefill_tokens),
            max(0.0, self.kv_tokens - other.kv_tokens),
            max(0.0, self.short_tokens - other.short_tokens),
        )

    def maximum(self, other: "Amount") -> "Amount":
        """Returns the larger figure of each kind."""
        return self + other.excess_over(self)


NO_LOAD = Amount()


class EndpointLoad:
    """The load, limit and health of one endpoint, as this host knows it."""

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
        """What this host has in flight here."""
        return self._own

    def update_endpoint(self, endpoint: work.Endpoint) -> None:
        """Takes in a changed description.

        In a new role or with a new model the engine is another one to the
        cost model: what was learned of its speed and room is dropped.
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
        """Whether it takes new work, as the view has it."""
        return self.endpoint.state is work.EndpointState.SERVING

    def placeable(self, now: float) -> bool:
        """Returns whether new work may go here, as far as is known of it."""
        return self.serving and self.health.usable(now)

    def add_own(self, amount: Amount, now: float) -> None:
        """Books work of this host, or with negative figures its end."""
        total = self._own + amount
        self._own = total.excess_over(NO_LOAD)
        self._recompute_total(now)

    def set_peer(self, peer: str, amount: Amount, now: float) -> None:
        """Replaces what a peer has in flight here."""
        before = self._peers.pop(peer, NO_LOAD)
        if amount != NO_LOAD:
            self._peers[peer] = amount
        # Counts are whole numbers, so adding and taking away leaves no rest.
        self._peer_sum = self._peer_sum + before.scaled(-1.0) + amount
        self._recompute_total(now)

    def apply_report(self, report: work.LoadReport, now: float) -> None:
        """Takes in the engine's own, lagged figures."""
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
        # Cached prefixes that no request uses are part of the engine's KV
        # figure and are evicted on demand: they are no load.
        self._unattributed = attrs.evolve(self._unattributed, kv_tokens=0.0)
        self._recompute_total(now)

    def dump(self) -> dict[str, Any]:
        """Returns the load for a person, ready for JSON."""
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
        """Returns the most that others had to be read here in a time.

        It is asked some time after, when messages that were under way at the
        time have been heard.
        """
        most = 0.0
        for at, _, peers, unattributed in reversed(self._history):
            if at <= until:
                tokens = peers.prefill_tokens + unattributed.prefill_tokens
                most = max(most, tokens)
            if at <= since:
                break
        return most

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
        """What is known now of an earlier time.

        Own work is known exactly. A peer's message arrives after the report's
        time though it speaks of it: comparing the report with what had been
        heard by then would take the peer's work for a stranger's and count
        it twice, once as such and once as the peer's. So the most that peers
        told of since then is taken.
        """
        peers = self._peer_sum
        for at, own, heard, _ in reversed(self._history):
            peers = peers.maximum(heard)
            if at <= when:
                return own + peers
        return peers
