"""Admission, queueing, placement and retries behind one interface.

Each host has one scheduler. It receives requests, load reports of engines and
peers, and the progress of requests, and decides where requests go. It uses no
socket and no clock, so that the daemon and the replay of traces run the same
code.
"""

import itertools
import random
from typing import Any

import attrs

from bulrushgrade import admission
from bulrushgrade import lane
from bulrushgrade import offeredload
from bulrushgrade import placement
from bulrushgrade import pool
from bulrushgrade import pools
from bulrushgrade import progress
from bulrushgrade import queueing
from bulrushgrade import retry
from bulrushgrade import work

POLL_INTERVAL_S = 0.1
"""Interval at which queued work is tried again without any other event.
Capacity that other hosts release is seen by their load messages, which arrive
at about this interval."""


class Scheduler:
    """Admits, queues, places and retries the requests of one host."""

    def __init__(
        self,
        *,
        zone: str,
        rng: random.Random,
        predict_lateness: admission.LatenessPredictor = (
            admission.predicted_lateness_s
        ),
    ):
        """Creates a scheduler without endpoints and services.

        Args:
            zone: The host's availability zone.
            rng: Source of every random choice.
            predict_lateness: Returns by how much work with a predicted wait
                would be late, see `admission.predicted_lateness_s`.
        """
        self._zone = zone
        self._rng = rng
        self._predict_lateness = predict_lateness
        self._fleet = pools.Fleet(rng=rng)
        self._policies: dict[str, work.ServicePolicy] = {}
        self._budgets: dict[str, retry.RetryBudget] = {}
        self._progress: dict[str, progress.Progress] = {}
        self._waiting: dict[str, tuple[pools.PoolState, lane.QueuedWork]] = {}
        self._settled: dict[str, work.Placed | work.Refused] = {}
        self._offered = offeredload.OfferedLoad()
        self._arrival_numbers = itertools.count()
        self._counts = {"placed": 0, "queued": 0, "refused": 0, "retried": 0}

    def set_policies(self, policies: tuple[work.ServicePolicy, ...]) -> None:
        """Replaces the policies of all services."""
        self._policies = {policy.service: policy for policy in policies}
        self._fleet.set_policies(policies)
        for policy in policies:
            budget = self._budgets.setdefault(
                policy.service, retry.RetryBudget(ratio=policy.retry_ratio)
            )
            budget.ratio = policy.retry_ratio

    def set_endpoints(
        self, endpoints: tuple[work.Endpoint, ...], now: float
    ) -> None:
        """Replaces the set of endpoints; those that stay keep their state.

        Requests at a removed endpoint stay assigned to it until their owner
        calls `retry`, `finished` or `cancel`.
        """
        self._fleet.set_endpoints(endpoints, now)

    def report(self, report: work.LoadReport, now: float) -> None:
        """Updates an endpoint from its engine's delayed load report."""
        self._fleet.report(report, now)

    def peer_load(
        self, peer: str, loads: tuple[work.PeerLoad, ...], now: float
    ) -> None:
        """Replaces a peer's loads; it has none at endpoints that it omits."""
        self._fleet.peer_load(peer, loads, now)

    def own_loads(self) -> tuple[work.PeerLoad, ...]:
        """Returns this host's requests in flight, to be sent to peers."""
        return self._fleet.own_loads()

    def demand(self) -> tuple[work.Demand, ...]:
        """Returns the demand on this host so far, for the role plan."""
        return self._offered.demands()

    def capacity(self, model: str) -> tuple[float, float]:
        """Returns one engine's tokens per second in prefill and decode."""
        return self._fleet.capacity(model)

    def cache_event(self, endpoint: str, prefix: int, stored: bool) -> None:
        """Notes that an engine stored or evicted a block of a prompt."""
        self._fleet.cache_event(endpoint, prefix, stored)

    def offer(self, item: work.Work, now: float) -> work.Decision:
        """Admits a new request.

        Args:
            item: The request.
            now: The current time.

        Returns:
            The decision: placed, queued or refused.
        """
        if item.service not in self._policies:
            return self._refuse(item, work.RefusalCode.UNKNOWN_SERVICE)
        self._budgets[item.service].earn()
        return self._admit(item, now)

    def retry(
        self,
        request_id: str,
        failed_endpoint: str,
        tokens_done: int,
        now: float,
        *,
        started: bool = True,
    ) -> work.Decision:
        """Decides what to do with a request that failed at its endpoint.

        Work that is not repeatable is refused once it may have run.

        Args:
            request_id: A request that was placed.
            failed_endpoint: The endpoint that failed.
            tokens_done: Number of tokens that the caller already received.
            now: The current time.
            started: False if the endpoint certainly did not start the request.
        """
        failed = self._progress.pop(request_id)
        self._release(failed, now)
        self._fleet.observe_failure(failed_endpoint, now)
        item = failed.item
        attempt = item.attempt + started
        rejections = item.rejections + (not started)
        code = retry.refusal(
            self._budgets[item.work.service],
            repeatable=item.work.repeatable,
            started=started,
            max_attempts=self._policies[item.work.service].max_attempts,
            attempt=attempt,
            rejections=rejections,
        )
        if code is not None:
            return self._refuse(item.work, code)
        self._counts["retried"] += 1
        serving = self._fleet.serving(item.work)
        # Admission promised the whole answer: after a failure a late first
        # token is still useful, so only the deadline of the whole answer
        # counts.
        again = attrs.evolve(item.work, first_token_deadline=None)
        return self._admit(
            again,
            now,
            attempt=attempt,
            rejections=rejections,
            avoid=retry.endpoints_to_avoid(
                item.avoid, failed_endpoint, serving
            ),
            tokens_done=tokens_done,
            not_before=now + retry.delay_s(attempt, self._rng),
        )

    def poll(self, now: float) -> tuple[work.Placed | work.Refused, ...]:
        """Places or refuses queued requests.

        Returns the decisions since the last call that were not returned to a
        caller of `offer` or `retry`.
        """
        self._fleet.expire_peers(now)
        for state in self._fleet.pools:
            if len(state.queue):
                self._dispatch(state, now)
        settled = tuple(self._settled.values())
        self._settled.clear()
        return settled

    def next_poll(self, now: float) -> float | None:
        """Returns when to poll next if nothing else happens, or None."""
        if self._settled:
            return now
        return now + POLL_INTERVAL_S if self._waiting else None

    def cancel(self, request_id: str, now: float) -> None:
        """Drops a request whose caller has disconnected."""
        self._settled.pop(request_id, None)
        if request_id in self._waiting:
            state, item = self._waiting.pop(request_id)
            state.queue.remove(item, now)
        elif request_id in self._progress:
            self._release(self._progress.pop(request_id), now)

    def prefill_done(self, request_id: str, now: float) -> None:
        """Notes the end of a prefill, before the KV cache is moved."""
        current = self._progress.get(request_id)
        if current is None or current.is_prefilled:
            return
        progress.learn_first_token(current, now)
        self._end_prefill(current, now)

    def first_token(self, request_id: str, now: float) -> None:
        """Notes the first token of an answer."""
        current = self._progress.get(request_id)
        if current is not None and current.first_at is None:
            self.prefill_done(request_id, now)
            current.first_at = current.pace_measured_at = now

    def tokens(self, request_id: str, count: int, now: float) -> None:
        """Notes that `count` tokens of an attempt have been generated so far.

        To be called at least about once a second, and at the end.
        """
        current = self._progress.get(request_id)
        if current is not None:
            ratio = progress.learn_pace(current, count, now)
            self._observe(current, ratio, now)

    def finished(
        self,
        request_id: str,
        outcome: str,
        now: float,
        cached_tokens: int | None = None,
    ) -> None:
        """Notes the end of a placed request.

        Args:
            request_id: The request.
            outcome: ``complete``, or ``failed`` if it ends without a retry.
            now: The current time.
            cached_tokens: Prompt tokens that were cached, if the engine reports
                it.
        """
        current = self._progress.pop(request_id, None)
        if current is None:
            return
        self._release(current, now)
        if outcome != "complete":
            address = current.option.endpoint.endpoint.address
            self._fleet.observe_failure(address, now)
            return
        for each in (current.option.endpoint, current.option.decode):
            each.health.failures = 0
        if cached_tokens is not None and current.item.work.model:
            more = progress.learn_prefill(current, cached_tokens)
            self._offered.correct_prefill(current.item.work, more)
        self._observe(current, progress.learn_completion(current, now), now)

    def dump(self) -> dict[str, Any]:
        """Returns the state for diagnosis, ready for JSON."""
        return {
            "zone": self._zone,
            "counts": dict(self._counts),
            "waiting": len(self._waiting),
            "in_progress": len(self._progress),
            "settled": len(self._settled),
            **self._fleet.dump(),
        }

    def _admit(
        self,
        item: work.Work,
        now: float,
        *,
        attempt: int = 0,
        rejections: int = 0,
        avoid: frozenset[str] = frozenset(),
        tokens_done: int = 0,
        not_before: float = 0.0,
    ) -> work.Decision:
        state = self._fleet.find_pool(item)
        if state is None:
            return self._refuse(item, work.RefusalCode.NO_ENDPOINT)
        uncached = placement.uncached_tokens(state.pool, item, tokens_done)
        model = state.pool.cost_model
        if not attempt + rejections:
            self._offered.add_request(item, uncached, model)
        prefill_work_s = model.prefill_s(uncached) if item.model else 0.0
        waiting = lane.QueuedWork(
            work=item,
            engine_s=model.price_s(item, uncached, tokens_done),
            prefill_work_s=prefill_work_s,
            latest_start=min(
                admission.latest_start(item, model, uncached, tokens_done),
                now + self._policies[item.service].max_wait_s,
            ),
            lane=lane.lane_for(prefill_work_s),
            number=next(self._arrival_numbers),
            not_before=not_before,
            avoid=avoid,
            attempt=attempt,
            rejections=rejections,
            tokens_done=tokens_done,
        )
        return self._queue(state, waiting, now)

    def _queue(
        self, state: pools.PoolState, item: lane.QueuedWork, now: float
    ) -> work.Decision:
        wanted, queue = item.work, state.queue
        limit = self._policies[wanted.service].queue_limit
        if queue.waiting(wanted.service) >= limit:
            return self._refuse(wanted, work.RefusalCode.QUEUE_FULL)
        engines = self._engine_share(state.pool, now)
        wait_s = queue.wait_s(item, engines=engines, now=now)
        late_s = self._predict_lateness(item, wait_s, now)
        if late_s > 0.0:
            self._offered.add_refused(item)
            return self._refuse(wanted, work.RefusalCode.OVERLOADED, late_s)
        queue.add(item, now)
        self._waiting[wanted.request_id] = (state, item)
        self._dispatch(state, now)
        settled = self._settled.pop(wanted.request_id, None)
        if settled is not None:
            return settled
        self._counts["queued"] += 1
        return work.Queued(request_id=wanted.request_id, wait_s=wait_s)

    def _dispatch(self, state: pools.PoolState, now: float) -> None:
        step_ratio = state.pool.step_ratio

        def latest_start(item: lane.QueuedWork) -> float:
            return self._latest_start(state.pool, item, step_ratio)

        for item in state.queue.take_expired(now, latest_start):
            request_id, late_s = item.work.request_id, now - latest_start(item)
            del self._waiting[request_id]
            self._offered.add_refused(item)
            refused = self._refuse(item.work, work.RefusalCode.LATE, late_s)
            self._settled[request_id] = refused
        engines = self._engine_share(state.pool, now)

        def attempt(item: lane.QueuedWork) -> bool:
            shares = state.queue.shares
            may_run = shares.may_run(item.work.service, engines, now)
            return may_run and self._place(state, item, now)

        queueing.dispatch(state.queue, attempt, now)

    def _latest_start(
        self, pool: pool.Pool, item: lane.QueuedWork, step_ratio: float
    ) -> float:
        """Returns the latest start of an item by the current speed of engines.

        The latest start at queueing time is an estimate from answers that have
        ended. When engines turn slow, the answers in progress show it within
        about a second of their first tokens, so that queued work that would be
        late is refused then and not only at the old latest start.
        """
        if step_ratio <= 1.0:
            return item.latest_start
        revised = admission.latest_start(
            item.work,
            pool.cost_model,
            item.prefill_work_s / pool.cost_model.prefill_s(1.0),
            item.tokens_done,
            step_ratio,
        )
        return min(item.latest_start, revised)

    def _place(
        self, state: pools.PoolState, item: lane.QueuedWork, now: float
    ) -> bool:
        request = placement.PlacementRequest(
            work=item.work,
            short=item.lane is lane.LaneName.SHORT,
            avoid=item.avoid,
            tokens_done=item.tokens_done,
        )
        option = placement.choose(state.pool, request, rng=self._rng, now=now)
        if isinstance(option, placement.BlockedReason):
            if option is not placement.BlockedReason.LATE:
                prefill_bound = (
                    option is placement.BlockedReason.NO_PREFILL_ROOM
                )
                state.queue.observe_blocked(prefill_bound=prefill_bound)
            return False
        request_id = item.work.request_id
        state.queue.place(item, now)
        del self._waiting[request_id]
        placed = progress.start(item, state.pool, option, now)
        self._progress[request_id] = placed
        self._fleet.book(option.endpoint, placed.prefill_load, now)
        self._fleet.book(option.decode, placed.decode_load, now)
        placement.record_placement(state.pool, item.work, option, now)
        self._counts["placed"] += 1
        # Inside an engine a short prefill goes before a long one of equal
        # priority: a long one tolerates a second of delay, the first token of a
        # chat doesn't.
        policy = self._policies[item.work.service]
        priority = 2 * policy.priority + (item.lane is lane.LaneName.LONG)
        self._settled[request_id] = option.to_placed(
            item.work, item.tokens_done, priority
        )
        return True

    def _refuse(
        self, item: work.Work, code: work.RefusalCode, late_s: float = 0.0
    ) -> work.Refused:
        self._counts["refused"] += 1
        return admission.refuse(item, code, late_s, self._rng)

    def _observe(
        self, current: progress.Progress, ratio: float | None, now: float
    ) -> None:
        if ratio is not None:
            self._fleet.observe_ratio(current.option.decode, ratio, now)

    def _end_prefill(self, current: progress.Progress, now: float) -> None:
        if not current.is_prefilled:
            current.is_prefilled = True
            ended = current.prefill_load.scaled(-1.0)
            self._fleet.book(current.option.endpoint, ended, now)

    def _release(self, current: progress.Progress, now: float) -> None:
        self._end_prefill(current, now)
        ended = current.decode_load.scaled(-1.0)
        self._fleet.book(current.option.decode, ended, now)

    def _engine_share(self, pool: pool.Pool, now: float) -> float:
        """This host's part of a pool's engines, assuming equal traffic."""
        return pool.serving() / (1.0 + self._fleet.fresh_peers(now))
