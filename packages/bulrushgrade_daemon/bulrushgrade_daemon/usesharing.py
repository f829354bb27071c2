"""Limits workspaces to their fair shares of saturated services.

Each host sees only a small part of a workspace's requests, so the decisions
follow from the sums over all hosts, which travel in the messages that carry
loads. `bulrushgrade.workspaceshares` derives the shares from them.
"""

import collections
from collections.abc import Callable
import math
import random
from typing import Any

import attrs

from bulrushgrade import engineadmission
from bulrushgrade import peersums
from bulrushgrade import workspaceshares
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import sumexchange
from bulrushgrade_daemon import usemessages

TABLE = "uses"
"""Name of the table in the messages of hosts."""

INTERVAL_S = 1.0
"""Time between two messages with the same workspace: a third of the time after
which its use counts as gone, so that one message may get lost."""

TTL_S = 3.0
"""Age at which a peer's sums expire: the time constant of use. Older sums tell
little of the present demand."""

MAX_ENTRIES = workspaceshares.MAX_NAMED + 1
"""Entries per message: the named workspaces of one service and the others. The
others follow in the next rounds."""

REFRESH_S = 0.2
"""Time for which computed shares are used. Sums arrive every second, and one
computation for each of several requests would only take processor time."""


@attrs.define(kw_only=True)
class _Limited:
    """A workspace that is above its share.

    Attributes:
        workspace: Its name.
        above_at: When it was last seen above its share.
    """

    workspace: str
    above_at: float


class UseSharing:
    """Measures the use of workspaces and limits it to their shares."""

    def __init__(
        self,
        *,
        is_enabled: bool,
        now: Callable[[], float],
        count_hosts: Callable[[], int],
        log: decisionlog.DecisionLog,
        rng: random.Random,
    ):
        """Creates the state without use.

        Args:
            is_enabled: Whether workspaces have shares at all.
            now: Returns the present time in seconds.
            count_hosts: Returns the number of known hosts, this one included.
            log: Gets a line when a workspace is limited, and when no more.
            rng: Chooses the prompts that are refused.
        """
        self._is_enabled = is_enabled
        self._now = now
        self._count_hosts = count_hosts
        self._log = log
        self._rng = rng
        self._uses = workspaceshares.WorkspaceUse()
        self._table = peersums.SumTable(ttl_s=TTL_S, width=4)
        # By service, with the time of computation.
        self._shares: dict[str, tuple[float, workspaceshares.FairShares]] = {}
        self._limited: dict[tuple[str, str], _Limited] = {}
        self._counts: collections.Counter[str] = collections.Counter()

    @property
    def counts(self) -> dict[str, int]:
        """Number of prompts for saturated services by what was decided."""
        return dict(self._counts)

    def dump(self) -> dict[str, Any]:
        """Returns the shares by service; nothing unless enabled."""
        if not self._is_enabled:
            return {}
        found = {name: self._find_shares(name) for name in self._uses.services}
        services = {
            name: {
                "level": shares.level if shares.is_limited else None,
                "offered": {
                    key: round(use.offered) for key, use in shares.uses.items()
                },
            }
            for name, shares in found.items()
        }
        return {"workspace_shares": {"services": services} | self.counts}

    def join(self, exchange: sumexchange.SumExchange) -> None:
        """Exchanges the sums with peers, if enabled."""
        if self._is_enabled:
            exchange.add(
                TABLE,
                table=self._table,
                read_own=self.read_own,
                max_entries=MAX_ENTRIES,
                interval_s=INTERVAL_S,
                condense=usemessages.condense,
            )

    def read_own(self, now: float) -> dict[str, peersums.Vector]:
        """Returns the use at this host for the messages to peers."""
        found = {}
        for service in self._uses.services:
            own = self._uses.read(service, now)
            totals = self._read_totals(service, now)
            own_sum = sum(own.values(), workspaceshares.NO_USE)
            whole = sum(totals.values(), workspaceshares.NO_USE)
            named, others = {}, own_sum
            if workspaceshares.needs_names(own_sum, whole):
                named, others = workspaceshares.name_largest(own, totals)
            for key, use in named.items():
                found[key] = usemessages.encode(use)
            if not others.is_idle:
                found[usemessages.make_key(service, None)] = usemessages.encode(
                    others
                )
        return found

    def yields(self, request: inflight.InFlight) -> bool:
        """Returns whether a request exceeds its workspace's share.

        That is decided once, so that all plans of a request have the same
        urgency. A request that has begun or is at another attempt never does.
        """
        if not self._has_share(request) or _has_begun(request):
            return False
        if request.exceeds_share is None:
            shares = self._find_shares(request.service)
            fraction = shares.excess_fraction(_key_of(request))
            request.exceeds_share = self._rng.random() < fraction
        return request.exceeds_share

    def is_guaranteed(self, request: inflight.InFlight) -> bool:
        """Returns whether a request is within its share of a divided service.

        Such a prompt keeps its urgency also if it will be late. Otherwise it
        would wait among the excess of the workspaces that made it late.
        """
        if not self._has_share(request) or self.yields(request):
            return False
        return self._find_shares(request.service).is_limited

    def admit(self, request: inflight.InFlight) -> bool:
        """Returns whether a request that has just been planned may go on.

        Only the first plan of a request counts, and only that may refuse it.
        Otherwise a request that finds several endpoints at their limits would
        be counted and decided on several times.
        """
        plan = request.plan
        if plan is None or not self._has_share(request):
            return True
        if request.offered_cost is not None:
            return True
        request.offered_cost = workspaceshares.request_cost(
            prefill_tokens=plan.read_tokens,
            output_tokens=request.info.prompt.output_tokens,
        )
        now = self._now()
        has_begun = _has_begun(request)
        is_late = not has_begun and self._is_late(request, now)
        self._uses.observe_plan(
            request.service,
            _key_of(request),
            cost=request.offered_cost,
            is_late=is_late,
            now=now,
        )
        return has_begun or self._decide(request, is_late)

    def observe_served(self, request: inflight.InFlight) -> None:
        """Counts a request that an endpoint began to run."""
        if request.offered_cost is not None:
            self._uses.observe_served(
                request.service,
                _key_of(request),
                cost=request.offered_cost,
                now=self._now(),
            )

    def _is_late(self, request: inflight.InFlight, now: float) -> bool:
        """Returns whether a request is expected to be late.

        If it lets others go first, they overtake it while it waits.
        """
        plan, waited_s = request.plan, now - request.caller.arrived_at
        if self.yields(request) and request.urgency > request.route.urgency:
            waited_s += plan.wait_s * (workspaceshares.OVERTAKEN_FACTOR - 1)
        return engineadmission.is_late(
            plan, route=request.route, waited_s=waited_s
        )

    def _has_share(self, request: inflight.InFlight) -> bool:
        is_prompt = request.info.prompt is not None
        return self._is_enabled and is_prompt and request.workspace is not None

    def _decide(self, request: inflight.InFlight, is_late: bool) -> bool:
        shares, key = self._find_shares(request.service), _key_of(request)
        if shares.is_above(key):
            self._observe_above(request, shares)
        if not self.yields(request):
            if shares.is_limited:
                self._counts["within_share"] += 1
            return True
        if not is_late:
            self._counts["over_share_in_time"] += 1
            return True
        self._counts["refused"] += 1
        request.share_retry_s = workspaceshares.choose_retry_after_s(
            shares.fall_s(key), request.info.deadline_s, self._rng
        )
        return False

    def _find_shares(self, service: str) -> workspaceshares.FairShares:
        """Returns the shares of a service, at most `REFRESH_S` old."""
        now = self._now()
        computed_at, shares = self._shares.get(service, (-math.inf, None))
        if now - computed_at < REFRESH_S:
            return shares
        shares = self._compute_shares(service, now)
        self._shares[service] = now, shares
        self._end_limits(service, shares, now)
        return shares

    def _compute_shares(
        self, service: str, now: float
    ) -> workspaceshares.FairShares:
        own = self._uses.read(service, now)
        uses = self._read_totals(service, now, own)
        if not uses:
            return self._divide_own(own)
        others = uses.pop(
            usemessages.make_key(service, None), workspaceshares.NO_USE
        )
        own_sum = sum(own.values(), workspaceshares.NO_USE)
        whole = sum(uses.values(), others)
        if not any(map(workspaceshares.is_saturated, (own_sum, whole))):
            return workspaceshares.FairShares(uses=uses)
        return workspaceshares.divide(uses, others=others)

    def _divide_own(
        self, own: workspaceshares.Uses
    ) -> workspaceshares.FairShares:
        """Returns shares without information from peers.

        The other hosts are taken to see as much as this one.
        """
        hosts = max(1, self._count_hosts())
        uses = {key: use.scaled(hosts) for key, use in own.items()}
        own_sum = sum(own.values(), workspaceshares.NO_USE)
        if not workspaceshares.is_saturated(own_sum):
            return workspaceshares.FairShares(uses=uses)
        return workspaceshares.divide(uses, others=workspaceshares.NO_USE)

    def _read_totals(
        self, service: str, now: float, own: workspaceshares.Uses | None = None
    ) -> dict[str, workspaceshares.Use]:
        """Returns the sums of all hosts by key.

        Where an aggregator sends them, keys that only this host has are left
        out: its part can't be compared with the sums of all hosts.

        Args:
            service: The service.
            now: The present time in seconds.
            own: This host's use, to be included where the peers' isn't summed
                with it yet.
        """
        prefix, found = usemessages.make_key(service, None), {}
        keys = {key for key in self._table.keys(now) if key.startswith(prefix)}
        if own is not None and keys and not self._table.has_fleet(now):
            # This host makes the sums of all hosts itself.
            keys |= own.keys()
        for key in keys:
            use = (own or {}).get(key)
            vector = None if use is None else usemessages.encode(use)
            total = self._table.total(key, vector, now)
            found[key] = usemessages.decode(total)
        return found

    def _observe_above(
        self,
        request: inflight.InFlight,
        shares: workspaceshares.FairShares,
    ) -> None:
        """Records that a workspace is above its share; logs a change."""
        now, key = self._now(), _key_of(request)
        known = self._limited.get((request.service, key))
        if known is not None:
            known.above_at = now
            return
        name = request.workspace.name
        limited = _Limited(workspace=name, above_at=now)
        self._limited[request.service, key] = limited
        self._log_limit(request.service, limited, shares, key)

    def _end_limits(
        self, service: str, shares: workspaceshares.FairShares, now: float
    ) -> None:
        """Logs workspaces that have been within their shares for a while."""
        for of_service, key in list(self._limited):
            if of_service != service:
                continue
            limited = self._limited[service, key]
            if shares.is_above(key):
                limited.above_at = now
            elif now - limited.above_at >= workspaceshares.USE_DECAY_S:
                del self._limited[service, key]
                self._log_limit(service, limited, shares, key)

    def _log_limit(
        self,
        service: str,
        limited: _Limited,
        shares: workspaceshares.FairShares,
        key: str,
    ) -> None:
        use = shares.uses.get(key, workspaceshares.NO_USE)
        self._log.note(
            "workspace_limited",
            service=service,
            workspace=limited.workspace,
            is_above=shares.is_above(key),
            offered_per_s=round(use.offered),
            served_per_s=round(use.served),
            level_per_s=round(shares.level) if shares.is_limited else None,
        )


def make_disabled() -> UseSharing:
    """Returns an object that limits nothing."""
    return UseSharing(
        is_enabled=False,
        now=lambda: 0.0,
        count_hosts=lambda: 1,
        log=None,
        rng=random.Random(0),
    )


def _has_begun(request: inflight.InFlight) -> bool:
    """Returns whether a request goes on, or is at another attempt."""
    return request.origin is not None or request.history.last is not None


def _key_of(request: inflight.InFlight) -> str:
    return usemessages.make_key(request.service, request.workspace.name)
