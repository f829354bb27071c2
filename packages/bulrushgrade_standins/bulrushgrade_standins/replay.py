"""Replays a trace through the scheduler against simulated engines.

Several hosts schedule requests, each with its own view: the host list, the
engines' load reports and the peers' messages reach each host at different
times. Everything runs on simpy's virtual clock.
"""

from collections.abc import Callable
import functools
import pathlib
import random
from typing import Any
from typing import Protocol

import attrs
import msgspec
import simpy

from bulrushgrade import roleplan
from bulrushgrade import scheduler
from bulrushgrade import work
from bulrushgrade_standins import enginemodel
from bulrushgrade_standins import outcome
from bulrushgrade_standins import trace as traces

PEER_EXCHANGE_PERIOD_S = 0.25
PEER_LAG_S = (0.01, 0.3)
REPORT_PERIOD_S = 1.0
REPORT_LAG_S = (0.3, 1.2)
HOST_LIST_LAG_S = (0.5, 2.0)
"""Delay until a host learns that an engine is leaving, lost or back."""

ORDER_LAG_S = (0.05, 0.4)
"""Delay until a host reads a role change from the log."""

PLAN_PERIOD_S = 2.0
PROGRESS_PERIOD_S = 1.0
"""How often a host counts the tokens generated for each request."""

DRAIN_TIME_S = 60.0
"""Seconds after the end of the trace for running requests to finish."""

MakePolicy = Callable[[random.Random], Any]
"""Creates a host's scheduler, or a baseline policy in its place."""


class Planner(Protocol):
    """Decides which engines change their roles."""

    def observe(self, host: str, demand: work.Demand, now: float) -> None:
        """Records the demand that a host reports."""

    def propose(
        self, view: roleplan.GroupView, now: float
    ) -> roleplan.RoleChange | None:
        """Returns the role change to order, or None."""

    def record_change(self, change: roleplan.RoleChange, now: float) -> None:
        """Records that a change was ordered."""


class Replay:
    """Simulates one run of a trace."""

    def __init__(
        self,
        *,
        trace: traces.Trace,
        make_policy: MakePolicy,
        planner: Planner | None,
        seed: int,
        roles: tuple[work.Role, ...] | None = None,
    ):
        self._trace = trace
        self._env = simpy.Environment()
        self._rng = random.Random(f"replay/{seed}")
        self._planner = planner
        specs = trace.header.engines
        self._engines = {
            spec.address: enginemodel.Engine(
                env=self._env,
                address=spec.address,
                zone=spec.zone,
                role=roles[index] if roles else spec.role,
            )
            for index, spec in enumerate(specs)
        }
        self._hosts = [
            self._make_host(index, make_policy)
            for index in range(trace.header.hosts)
        ]
        self._calls: list[outcome.Call] = []
        self._retries = 0
        self._rejections = 0

    def run(self) -> outcome.Outcome:
        """Replays the trace to its end."""
        self._env.process(self._feed())
        self._env.process(self._exchange())
        self._env.process(self._report_progress())
        if self._planner is not None:
            self._env.process(self._plan())
        self._env.run(until=self._trace.header.duration_s + DRAIN_TIME_S)
        return outcome.Outcome(
            trace=self._trace,
            calls=tuple(self._calls),
            role_changes=sum(e.changes for e in self._engines.values()),
            away_s=sum(e.away_s for e in self._engines.values()),
            retries=self._retries,
            rejections=self._rejections,
            dumps=tuple(
                host.policy.dump()
                for host in self._hosts
                if hasattr(host.policy, "dump")
            ),
        )

    def _make_host(self, index: int, make_policy: MakePolicy) -> outcome.Host:
        policy = make_policy(random.Random(self._rng.random()))
        view = {
            address: self._make_endpoint(engine)
            for address, engine in self._engines.items()
        }
        policy.set_policies(self._trace.header.services)
        policy.set_endpoints(tuple(view.values()), 0.0)
        return outcome.Host(name=f"host-{index}", policy=policy, view=view)

    def _make_endpoint(self, engine: enginemodel.Engine) -> work.Endpoint:
        return work.Endpoint(
            address=engine.address,
            zone=engine.zone,
            service="engines",
            model="model",
            role=engine.role,
            state=engine.state,
            slots=engine.slots,
            kv_capacity_tokens=enginemodel.KV_CAPACITY_TOKENS,
        )

    def _call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        event = self._env.timeout(delay_s)
        event.callbacks.append(lambda _: callback())

    # Requests and events of the trace

    def _feed(self):
        items = [*self._trace.requests, *self._trace.events]
        for item in sorted(items, key=lambda i: i.at_s):
            yield self._env.timeout(max(0.0, item.at_s - self._env.now))
            if isinstance(item, traces.Event):
                self._apply_event(item)
            else:
                self._submit_request(item)

    def _submit_request(self, request: traces.Request) -> None:
        host = self._rng.choice(self._hosts)
        first = request.first_token_s
        now = self._env.now
        item = work.Work(
            request_id=request.request_id,
            service=request.service,
            team=request.team,
            model="model",
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.expected_output_tokens,
            prefix=traces.hash_blocks(request.prefix),
            deadline=now + request.deadline_s,
            first_token_deadline=None if first is None else now + first,
            between_tokens_s=request.between_tokens_s,
        )
        call = outcome.Call(request=request, host=host, work=item)
        self._calls.append(call)
        host.calls[request.request_id] = call
        self._apply_decision(call, host.policy.offer(item, now))
        self._call_later(request.deadline_s, lambda: self._abandon(call))

    def _apply_event(self, event: traces.Event) -> None:
        engine = self._engines[event.engine]
        if event.what == "slow":
            engine.set_slow_factor(event.factor)
            return
        if event.what == "lose":
            engine.crash()
        elif event.what == "back":
            engine.resume_serving()
        elif event.what == "leave":
            engine.start_draining()
        self._announce_state(engine, HOST_LIST_LAG_S)

    def _announce_state(self, engine, lag_s, *, state=None) -> None:
        """Updates every host's view of an engine, each after its own delay."""
        announced = self._make_endpoint(engine)
        if state is not None:
            announced = attrs.evolve(announced, state=state)
        for host in self._hosts:
            delay = self._rng.uniform(*lag_s)
            self._call_later(
                delay, lambda host=host: self._update_view(host, announced)
            )

    def _update_view(self, host: outcome.Host, endpoint: work.Endpoint) -> None:
        host.view[endpoint.address] = endpoint
        host.policy.set_endpoints(tuple(host.view.values()), self._env.now)
        self._poll(host)

    # The life of a call

    def _apply_decision(
        self, call: outcome.Call, decision: work.Decision
    ) -> None:
        if isinstance(decision, work.Placed):
            self._start(call, decision)
        elif isinstance(decision, work.Refused):
            self._end_call(call, "refused" if not call.attempts else "failed")
        self._plan_poll(call.host)

    def _start(self, call: outcome.Call, placed: work.Placed) -> None:
        call.attempts += 1
        engine = self._engines[placed.endpoint]
        target = placed.decode_endpoint
        policy, name = call.host.policy, call.request.request_id
        job = enginemodel.Job(
            request_id=name,
            prompt_tokens=call.request.prompt_tokens + call.tokens_done,
            output_tokens=call.request.output_tokens - call.tokens_done,
            prefix=call.work.prefix,
            priority=placed.priority,
            decode_engine=self._engines[target] if target else None,
            on_prefilled=lambda: policy.prefill_done(name, self._env.now),
            on_first_token=lambda: self._first(call),
            on_done=lambda: self._complete(call),
            on_failed=lambda: self._failed(call, job),
        )
        job.current_engine = engine
        call.job = job
        if not engine.submit(job):
            job.ended = True
            rejected = functools.partial(self._failed, call, job, started=False)
            self._call_later(0.002, rejected)

    def _first(self, call: outcome.Call) -> None:
        if call.first_at is None:
            call.first_at = self._env.now
        call.host.policy.first_token(call.request.request_id, self._env.now)
        self._poll_soon(call.host)

    def _complete(self, call: outcome.Call) -> None:
        policy, name = call.host.policy, call.request.request_id
        policy.tokens(name, call.job.output_tokens, self._env.now)
        policy.finished(name, "complete", self._env.now, call.job.cached_tokens)
        self._end_call(call, "complete")
        self._poll_soon(call.host)

    def _failed(
        self, call: outcome.Call, job: enginemodel.Job, started: bool = True
    ) -> None:
        if call.outcome or call.job is not job:
            return
        call.job = None
        call.tokens_done += job.tokens_done
        decision = call.host.policy.retry(
            call.request.request_id,
            job.current_engine.address,
            call.tokens_done,
            self._env.now,
            started=started,
        )
        if not isinstance(decision, work.Refused):
            self._retries += started
            self._rejections += not started
        self._apply_decision(call, decision)

    def _abandon(self, call: outcome.Call) -> None:
        if call.outcome:
            return
        call.host.policy.cancel(call.request.request_id, self._env.now)
        if call.job is not None:
            call.job.current_engine.cancel(call.job)
        self._end_call(call, "left")
        self._poll_soon(call.host)

    def _end_call(self, call: outcome.Call, ended: str) -> None:
        call.outcome = ended
        call.ended_at = self._env.now
        call.host.calls.pop(call.request.request_id, None)

    # Polls, peer messages, load reports and role changes

    def _poll_soon(self, host: outcome.Host) -> None:
        if host.poll_at is not None:
            self._call_later(0.0, lambda: self._poll(host))

    def _poll(self, host: outcome.Host) -> None:
        host.poll_at = None
        for polled in host.policy.poll(self._env.now):
            call = host.calls.get(polled.request_id)
            if call is not None:
                self._apply_decision(call, polled)
        self._plan_poll(host)

    def _plan_poll(self, host: outcome.Host) -> None:
        due = host.policy.next_poll(self._env.now)
        if due is None or host.poll_at is not None:
            return
        host.poll_at = due
        self._call_later(
            max(0.0, due - self._env.now), lambda: self._poll_due(host, due)
        )

    def _poll_due(self, host: outcome.Host, due: float) -> None:
        if host.poll_at == due:
            self._poll(host)

    def _exchange(self):
        ticks = 0
        while True:
            yield self._env.timeout(PEER_EXCHANGE_PERIOD_S)
            ticks += 1
            for host in self._hosts:
                loads = host.policy.own_loads()
                for other in self._hosts:
                    if other is not host:
                        self._publish(host.name, loads, other)
            if ticks % round(REPORT_PERIOD_S / PEER_EXCHANGE_PERIOD_S) == 0:
                for engine in self._engines.values():
                    self._report(engine)

    def _report_progress(self):
        while True:
            yield self._env.timeout(PROGRESS_PERIOD_S)
            for host in self._hosts:
                for name, call in host.calls.items():
                    if call.first_at is None or call.job is None:
                        continue
                    count = call.job.current_engine.generated(call.job)
                    host.policy.tokens(name, count, self._env.now)

    def _publish(self, peer, loads, other: outcome.Host) -> None:
        delay = self._rng.uniform(*PEER_LAG_S)
        self._call_later(
            delay,
            lambda: other.policy.peer_load(peer, loads, self._env.now),
        )

    def _report(self, engine: enginemodel.Engine) -> None:
        if engine.state is work.EndpointState.DOWN:
            return
        report = engine.load()
        for host in self._hosts:
            lag = self._rng.uniform(*REPORT_LAG_S)
            delayed = attrs.evolve(report, age_s=lag)
            self._call_later(
                lag,
                lambda host=host, delayed=delayed: host.policy.report(
                    delayed, self._env.now
                ),
            )

    def _plan(self):
        holder = self._hosts[0]
        while True:
            yield self._env.timeout(PLAN_PERIOD_S)
            now = self._env.now
            for host in self._hosts:
                for demand in host.policy.demand():
                    self._planner.observe(host.name, demand, now)
            change = self._planner.propose(self._group_view(holder), now)
            if change is not None:
                self._planner.record_change(change, now)
                self._order_change(change)

    def _group_view(self, holder: outcome.Host) -> roleplan.GroupView:
        if hasattr(holder.policy, "capacity"):
            prefill_rate, decode_rate = holder.policy.capacity("model")
        else:
            prefill_rate = enginemodel.PREFILL_TOKENS_PER_S
            decode_rate = 16 / (
                enginemodel.STEP_S + 16 * enginemodel.STEP_S_PER_REQUEST
            )
        return roleplan.GroupView(
            at=self._env.now,
            endpoints=tuple(holder.view.values()),
            running={a: e.jobs for a, e in self._engines.items()},
            prefill_tokens_per_s=prefill_rate,
            decode_tokens_per_s=decode_rate,
        )

    def _order_change(self, change: roleplan.RoleChange) -> None:
        engine = self._engines[change.endpoint]
        leaving = work.EndpointState.LEAVING
        self._announce_state(engine, ORDER_LAG_S, state=leaving)
        engine.on_changed = lambda: self._announce_state(engine, ORDER_LAG_S)
        self._call_later(
            ORDER_LAG_S[1] + 0.01, lambda: engine.change_role(change.role)
        )


def new_scheduler(rng: random.Random) -> scheduler.Scheduler:
    """Creates the scheduler of one host."""
    return scheduler.Scheduler(zone="", rng=rng)


def new_role_plan(trace: traces.Trace) -> roleplan.RolePlan:
    """Creates a role plan with the weights of the trace's services."""
    services = trace.header.services
    return roleplan.RolePlan(
        goodput_weight=max(s.goodput_weight for s in services),
        role_change_weight=max(s.role_change_weight for s in services),
    )


def replay(trace: traces.Trace, *, seed: int = 0) -> outcome.Outcome:
    """Replays a trace through the scheduler and the role plan.

    Args:
        trace: The trace to replay.
        seed: Seeds the delays and the hosts' random choices.
    """
    return Replay(
        trace=trace,
        make_policy=new_scheduler,
        planner=new_role_plan(trace),
        seed=seed,
    ).run()


def replay_file(path: pathlib.Path, *, json: bool = False) -> str:
    """Replays a trace file and returns the metrics of the run as text.

    Args:
        path: The trace file, in JSON lines.
        json: Whether to return JSON instead of a table.

    Raises:
        ValueError: The file is not a valid trace; the message names the line.
    """
    figures = outcome.summarize(replay(traces.read_trace(pathlib.Path(path))))
    if json:
        return msgspec.json.encode(figures).decode()
    return "\n".join(f"{k:16} {v:.4g}" for k, v in figures.items())
