"""The service that owns the scheduler of this host.

Other services ask it which endpoint a request goes to and report the progress
of requests. It polls the scheduler whenever capacity may have become free.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import attrs
from twisted.internet import defer

from bulrushgrade import membership
from bulrushgrade import scheduler
from bulrushgrade import work as work_module
from bulrushgrade_daemon import engine

# Interval at which queued work is reconsidered at the latest, so that a request
# that can't meet its deadline any more is refused at once.
POLL_S = 0.05

# Outcomes of a placed request, in the scheduler's terms.
COMPLETE = "complete"
FAILED = "failed"

_ENGINE_STATES = {
    "serving": work_module.EndpointState.SERVING,
    "draining": work_module.EndpointState.LEAVING,
    "changing": work_module.EndpointState.CHANGING,
    "down": work_module.EndpointState.DOWN,
}


@attrs.frozen(kw_only=True)
class PollResult:
    """The result of polling an engine for its load report.

    Attributes:
        address: The engine's address.
        load: Its report, or None if it did not answer.
    """

    address: str
    load: engine.EngineLoad | None


@attrs.frozen(kw_only=True)
class PeerLoads:
    """The requests that another host has in flight.

    Attributes:
        peer: The host.
        loads: One entry per endpoint.
    """

    peer: str
    loads: tuple[work_module.PeerLoad, ...]


class PlacementService:
    """Places requests and keeps the scheduler's view of endpoints current."""

    name = "placing"
    requires = ("timer",)

    def __init__(
        self,
        *,
        timers: Any,
        core: scheduler.Scheduler,
        on_changed: Callable[[str], None] = lambda address: None,
    ):
        """Makes the service.

        Args:
            timers: The timer service.
            core: The scheduler.
            on_changed: Called with an engine's address when its reported
                configuration changes, or when new work is blocked or allowed
                again.
        """
        self._timers = timers
        self._core = core
        self._on_changed = on_changed
        self._queued: dict[str, defer.Deferred] = {}
        self._hosts: dict[str, membership.Host] = {}
        self._loads: dict[str, engine.EngineLoad] = {}
        self._endpoints: dict[str, work_module.Endpoint] = {}
        self._blocked: set[str] = set()
        self._poll: Any = None

    @property
    def hosts(self) -> dict[str, membership.Host]:
        """The endpoints in the host list, by address."""
        return self._hosts

    @property
    def loads(self) -> dict[str, engine.EngineLoad]:
        """The latest report of each engine, by address."""
        return self._loads

    @property
    def endpoints(self) -> dict[str, work_module.Endpoint]:
        """The endpoints that were last passed to the scheduler, by address."""
        return self._endpoints

    @property
    def now(self) -> float:
        """The current time, as used for decisions, in seconds."""
        return self._timers.now

    async def start(self) -> None:
        """Starts to poll the scheduler periodically."""
        self._poll = self._timers.every(POLL_S, self._resolve_queued)

    async def stop(self) -> None:
        """Stops polling; nothing is queued any more by then."""
        self._poll.cancel()

    def receive(self, message: Any) -> None:
        """Applies host lists, engines' reports and peers' loads."""
        if isinstance(message, membership.HostList):
            self._apply_hosts(message.hosts)
        elif isinstance(message, PollResult):
            self._apply_poll_result(message)
        elif isinstance(message, PeerLoads):
            self._core.peer_load(message.peer, message.loads, self.now)

    def dump(self) -> dict[str, Any]:
        """Returns the scheduler's state and the latest reports."""
        return {
            "queued": len(self._queued),
            "held": sorted(self._blocked),
            "reports": {a: attrs.asdict(r) for a, r in self._loads.items()},
            "scheduler": self._core.dump(),
        }

    def set_policies(
        self, policies: Iterable[work_module.ServicePolicy]
    ) -> None:
        """Passes the policies of the accepted documents to the scheduler."""
        self._core.set_policies(tuple(policies))

    def block_new_work(self, address: str, *, blocked: bool) -> None:
        """Blocks new work for an engine, or allows it again.

        Used before a planned change, so that nothing is sent to an engine
        that is about to be unavailable.
        """
        if blocked == (address in self._blocked):
            return
        (self._blocked.add if blocked else self._blocked.discard)(address)
        self._update_endpoints()
        self._on_changed(address)

    def in_flight(self, address: str) -> int:
        """Returns how many requests this host has running at an endpoint."""
        return sum(
            load.running
            for load in self._core.own_loads()
            if load.endpoint == address
        )

    def own_loads(self) -> tuple[work_module.PeerLoad, ...]:
        """Returns the requests that this host has in flight, for its peers."""
        return tuple(self._core.own_loads())

    async def offer(
        self, work: work_module.Work
    ) -> work_module.Placed | work_module.Refused:
        """Returns where a request goes; waits while the request is queued."""
        return await self._await_decision(self._core.offer(work, self.now))

    async def retry(
        self,
        request_id: str,
        failed_endpoint: str,
        tokens_done: int,
        *,
        started: bool = True,
    ) -> work_module.Placed | work_module.Refused:
        """Returns where a request goes after an attempt failed.

        Args:
            request_id: The request.
            failed_endpoint: The endpoint of the failed attempt.
            tokens_done: Tokens of the answer that the caller already has.
            started: False if the endpoint certainly did not start it.
        """
        return await self._await_decision(
            self._core.retry(
                request_id,
                failed_endpoint,
                tokens_done,
                self.now,
                started=started,
            )
        )

    def first_token(self, request_id: str) -> None:
        """Records that the first token of an answer arrived."""
        self._core.first_token(request_id, self.now)
        self._resolve_queued()

    def prefill_done(self, request_id: str) -> None:
        """Records that the prefill is done, before the KV cache is moved."""
        self._core.prefill_done(request_id, self.now)

    def tokens(self, request_id: str, count: int) -> None:
        """Records how many tokens of an answer have arrived in total."""
        self._core.tokens(request_id, count, self.now)

    def finished(
        self,
        request_id: str,
        outcome: str,
        cached_tokens: int | None = None,
    ) -> None:
        """Records that a request has ended; this may free capacity.

        Args:
            request_id: The request.
            outcome: `COMPLETE` or `FAILED`.
            cached_tokens: Prompt tokens that were cached, if the engine
                reported them.
        """
        self._core.finished(request_id, outcome, self.now, cached_tokens)
        self._resolve_queued()

    def cancel(self, request_id: str) -> None:
        """Drops a queued or running request whose caller disconnected."""
        self._core.cancel(request_id, self.now)
        pending = self._queued.pop(request_id, None)
        if pending is not None:
            pending.cancel()
        self._resolve_queued()

    async def _await_decision(
        self, decision: work_module.Decision
    ) -> work_module.Placed | work_module.Refused:
        if not isinstance(decision, work_module.Queued):
            return decision
        pending: defer.Deferred = defer.Deferred()
        self._queued[decision.request_id] = pending
        return await pending

    def _resolve_queued(self) -> None:
        for decision in self._core.poll(self.now):
            pending = self._queued.pop(decision.request_id, None)
            if pending is not None:
                pending.callback(decision)

    def _apply_hosts(self, hosts: Iterable[membership.Host]) -> None:
        self._hosts = {
            h.address: h for h in hosts if h.kind is not membership.Kind.ENTRY
        }
        for address in set(self._loads) - set(self._hosts):
            del self._loads[address]
        self._update_endpoints()

    def _apply_poll_result(self, result: PollResult) -> None:
        if result.address not in self._hosts:
            return
        before = self._loads.get(result.address)
        if result.load is None:
            # A missing answer says nothing about the engine's state: it may be
            # busy, or the link to it may be down. Ejection decides by the
            # outcomes of requests instead.
            return
        load = result.load
        self._loads[result.address] = load
        if before is None or _configuration(before) != _configuration(load):
            self._update_endpoints()
            self._on_changed(result.address)
        self._core.report(
            work_module.LoadReport(
                endpoint=result.address,
                running=load.running,
                queued=load.queued,
                prefill_backlog_tokens=int(load.prefill_backlog_tokens),
                kv_used_tokens=int(load.kv_used),
                kv_capacity_tokens=int(load.kv_capacity),
                age_s=load.age_s,
            ),
            self.now,
        )

    def _update_endpoints(self) -> None:
        endpoints = tuple(
            self._make_endpoint(host)
            for host in self._hosts.values()
            if host.kind is membership.Kind.PLAIN or host.address in self._loads
        )
        self._endpoints = {e.address: e for e in endpoints}
        self._core.set_endpoints(endpoints, self.now)
        self._resolve_queued()

    def _make_endpoint(self, host: membership.Host) -> work_module.Endpoint:
        load = self._loads.get(host.address)
        state = work_module.EndpointState.SERVING
        if load is not None:
            state = _ENGINE_STATES.get(
                load.state, work_module.EndpointState.DOWN
            )
        if (
            host.state is not membership.ListedState.LIVE
            or host.address in self._blocked
        ):
            state = work_module.EndpointState.LEAVING
        if load is None:
            return work_module.Endpoint(
                address=host.address,
                zone=host.zone,
                service=host.service,
                state=state,
            )
        return work_module.Endpoint(
            address=host.address,
            zone=host.zone,
            service=host.service,
            model=load.model,
            adapters=frozenset(load.adapters),
            role=work_module.Role(load.role),
            state=state,
            kv_capacity_tokens=int(load.kv_capacity),
        )


def _configuration(load: engine.EngineLoad) -> tuple[Any, ...]:
    return (load.role, load.model, load.state, tuple(load.adapters))
