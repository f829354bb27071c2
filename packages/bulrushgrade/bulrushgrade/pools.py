"""The endpoints known to a host, grouped into pools by what they serve."""

import random
from typing import Any

import attrs

from bulrushgrade import cost
from bulrushgrade import ejection
from bulrushgrade import load
from bulrushgrade import pool
from bulrushgrade import queueing
from bulrushgrade import work

PoolKey = tuple[str, str]
"""Identifies a pool: ``("model", NAME)`` or ``("service", NAME)``."""


@attrs.define(kw_only=True, eq=False)
class PoolState:
    """A pool of endpoints and its queue."""

    pool: pool.Pool
    queue: queueing.PoolQueue


class Fleet:
    """All known endpoints with their loads, and the pools that hold them.

    An engine belongs to the pool of its model and to that of each adapter that
    it has loaded; a plain endpoint belongs to the pool of its service.
    """

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._policies: tuple[work.ServicePolicy, ...] = ()
        self._loads: dict[str, load.EndpointLoad] = {}
        self._pool_keys: dict[str, tuple[PoolKey, ...]] = {}
        self._pools: dict[PoolKey, PoolState] = {}
        self._peers: dict[str, float] = {}
        self._peer_loads: dict[str, dict[str, work.PeerLoad]] = {}

    @property
    def pools(self) -> tuple[PoolState, ...]:
        """All pools."""
        return tuple(self._pools.values())

    def set_policies(self, policies: tuple[work.ServicePolicy, ...]) -> None:
        """Replaces the policies, and with them the shares in all pools."""
        self._policies = policies
        for state in self._pools.values():
            self._set_shares(state)

    def set_endpoints(
        self, endpoints: tuple[work.Endpoint, ...], now: float
    ) -> None:
        """Replaces the set of endpoints; those that stay keep their state."""
        wanted = {endpoint.address: endpoint for endpoint in endpoints}
        for address in [a for a in self._loads if a not in wanted]:
            for key in self._pool_keys.pop(address):
                self._pools[key].pool.drop(address)
            del self._loads[address]
        for address, endpoint in wanted.items():
            new = address not in self._loads
            self._set_endpoint(address, endpoint)
            for peer in self._peer_loads if new else ():
                self._update_peer_load(peer, address, now)

    def find_pool(self, item: work.Work) -> PoolState | None:
        """Returns the pool for some work, or None if no endpoint serves it."""
        key = ("service", item.service)
        if item.model:
            key = ("model", item.model)
        state = self._pools.get(key)
        return state if state and state.pool.serving() else None

    def serving(self, item: work.Work) -> int:
        """Returns the number of serving endpoints that could do some work."""
        state = self.find_pool(item)
        return state.pool.serving() if state else 0

    def report(self, report: work.LoadReport, now: float) -> None:
        """Updates an endpoint from its engine's delayed load report."""
        item = self._loads.get(report.endpoint)
        if item is not None:
            item.apply_report(report, now)
            self._refresh(report.endpoint)

    def peer_load(
        self, peer: str, loads: tuple[work.PeerLoad, ...], now: float
    ) -> None:
        """Replaces a peer's loads; it has none at endpoints that it omits."""
        self._peers[peer] = now
        before = self._peer_loads.get(peer, {})
        reported = {item.endpoint: item for item in loads}
        self._peer_loads[peer] = reported
        # Only changed endpoints are updated, so that the cost of a message
        # grows with its changes and not with the size of the fleet.
        gone = [address for address in before if address not in reported]
        for address in (*reported, *gone):
            if reported.get(address) != before.get(address):
                self._update_peer_load(peer, address, now)

    def fresh_peers(self, now: float) -> int:
        """Returns the number of peers that sent their load recently."""
        return sum(
            now - at <= load.PEER_LOAD_TTL_S for at in self._peers.values()
        )

    def expire_peers(self, now: float) -> None:
        """Drops the loads of peers that have not sent any recently."""
        silent = [
            peer
            for peer, at in self._peers.items()
            if now - at > load.PEER_LOAD_TTL_S
        ]
        for peer in silent:
            del self._peers[peer]
            for address in self._peer_loads.pop(peer):
                self._update_peer_load(peer, address, now)

    def own_loads(self) -> tuple[work.PeerLoad, ...]:
        """Returns this host's requests in flight, to be sent to peers."""
        return tuple(
            work.PeerLoad(
                endpoint=address,
                running=round(item.own.running),
                prefill_backlog_tokens=round(item.own.prefill_tokens),
                kv_tokens=round(item.own.kv_tokens),
                short_backlog_tokens=round(item.own.short_tokens),
            )
            for address, item in self._loads.items()
            if item.own != load.NO_LOAD
        )

    def cache_event(self, endpoint: str, prefix: int, stored: bool) -> None:
        """Notes that an engine stored or evicted a block of a prompt."""
        for key in self._pool_keys.get(endpoint, ()):
            prefixes = self._pools[key].pool.prefixes
            if stored:
                prefixes.add((prefix,), endpoint)
            else:
                prefixes.discard(prefix, endpoint)

    def book(
        self, item: load.EndpointLoad, amount: load.Amount, now: float
    ) -> None:
        """Adds to this host's requests in flight at an endpoint."""
        item.add_own(amount, now)
        self._refresh(item.endpoint.address)

    def observe_failure(self, address: str, now: float) -> None:
        """Notes that an endpoint failed a request."""
        item = self._loads.get(address)
        if item is not None:
            item.health.record_failure()
            self._update_ejection(item, now)

    def observe_ratio(
        self, item: load.EndpointLoad, ratio: float, now: float
    ) -> None:
        """Notes an answer's ratio of observed to predicted time."""
        item.health.observe(ratio)
        self._update_ejection(item, now)

    def capacity(self, model: str) -> tuple[float, float]:
        """Returns one engine's tokens per second in prefill and decode."""
        state = self._pools.get(("model", model))
        costs = state.pool.cost_model if state else cost.CostModel()
        batch = cost.PLANNING_BATCH
        return 1.0 / costs.prefill_s(1.0), batch / costs.step_s(batch)

    def dump(self) -> dict[str, Any]:
        """Returns the state for diagnosis, ready for JSON."""
        return {
            "peers": sorted(self._peers),
            "endpoints": {
                address: item.dump() for address, item in self._loads.items()
            },
            "pools": {
                "/".join(key): {
                    "queues": state.queue.dump(),
                    "shares": state.queue.shares.dump(),
                    "cost": state.pool.cost_model.dump(),
                }
                for key, state in self._pools.items()
            },
        }

    def _update_peer_load(self, peer: str, address: str, now: float) -> None:
        item = self._loads.get(address)
        if item is None:
            return
        peer_work = self._peer_loads.get(peer, {}).get(address)
        amount = load.NO_LOAD
        if peer_work is not None:
            amount = load.Amount(
                float(peer_work.running),
                float(peer_work.prefill_backlog_tokens),
                float(peer_work.kv_tokens),
                float(peer_work.short_backlog_tokens),
            )
        item.set_peer(peer, amount, now)
        self._refresh(address)

    def _update_ejection(self, item: load.EndpointLoad, now: float) -> None:
        for key in self._pool_keys.get(item.endpoint.address, ())[:1]:
            cohort = self._pools[key].pool.cohort(item.endpoint.role)
            ejection.update(item.health, cohort, now)

    def _set_endpoint(self, address: str, endpoint: work.Endpoint) -> None:
        known = self._loads.get(address)
        if known is None:
            known = load.EndpointLoad(endpoint=endpoint)
            self._loads[address] = known
            self._pool_keys[address] = ()
        elif known.endpoint == endpoint:
            return
        known.update_endpoint(endpoint)
        keys = _pool_keys_of(endpoint)
        for key in self._pool_keys[address]:
            if key not in keys:
                self._pools[key].pool.drop(address)
        for key in keys:
            self._get_or_create_pool(key).pool.put(known)
        self._pool_keys[address] = keys

    def _get_or_create_pool(self, key: PoolKey) -> PoolState:
        state = self._pools.get(key)
        if state is None:
            state = PoolState(
                pool=pool.Pool(rng=self._rng),
                queue=queueing.PoolQueue(),
            )
            self._set_shares(state)
            self._pools[key] = state
        return state

    def _set_shares(self, state: PoolState) -> None:
        for policy in self._policies:
            state.queue.shares.set_share(
                policy.service, policy.share, policy.borrow
            )

    def _refresh(self, address: str) -> None:
        for key in self._pool_keys.get(address, ()):
            self._pools[key].pool.refresh(address)


def _pool_keys_of(endpoint: work.Endpoint) -> tuple[PoolKey, ...]:
    if endpoint.model:
        names = (endpoint.model, *sorted(endpoint.adapters))
        return tuple(("model", name) for name in names)
    return (("service", endpoint.service),)
