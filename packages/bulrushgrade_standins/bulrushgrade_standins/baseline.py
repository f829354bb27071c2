"""Simple placement policies that the scheduler is compared with.

They place every request at once and refuse none for load; callers disconnect
at their deadlines. They have the interface of a scheduler for the replay.
"""

from collections.abc import Callable
import itertools
import random

from bulrushgrade import work

MAX_ATTEMPTS = 3

Pick = Callable[[list[work.Endpoint], dict[str, int]], work.Endpoint]
"""Chooses an endpoint, given the outstanding requests of this host."""


def round_robin() -> Pick:
    """Returns a function that picks the endpoints in turn."""
    turns = itertools.count()

    def pick(endpoints, _outstanding):
        return endpoints[next(turns) % len(endpoints)]

    return pick


def least_outstanding(rng: random.Random) -> Pick:
    """Returns a function that picks the endpoint with fewest own requests."""

    def pick(endpoints, outstanding):
        return min(
            endpoints,
            key=lambda e: (outstanding.get(e.address, 0), rng.random()),
        )

    return pick


class Baseline:
    """A policy that places each request at once."""

    def __init__(self, *, prefill_pick: Pick, decode_pick: Pick):
        self._prefill_pick = prefill_pick
        self._decode_pick = decode_pick
        self._endpoints: tuple[work.Endpoint, ...] = ()
        self._outstanding: dict[str, int] = {}
        self._placed: dict[str, tuple[work.Work, work.Placed, int]] = {}
        self._demand_tokens = [0, 0]
        self.retried = 0

    def set_policies(self, policies: tuple[work.ServicePolicy, ...]) -> None:
        """Does nothing: service policies are ignored."""

    def set_endpoints(
        self, endpoints: tuple[work.Endpoint, ...], now: float
    ) -> None:
        """Replaces the known endpoints."""
        self._endpoints = endpoints

    def report(self, report: work.LoadReport, now: float) -> None:
        """Does nothing: load reports are ignored."""

    def peer_load(
        self, peer: str, loads: tuple[work.PeerLoad, ...], now: float
    ) -> None:
        """Does nothing: loads of peers are ignored."""

    def own_loads(self) -> tuple[work.PeerLoad, ...]:
        """Returns no loads, since none are published."""
        return ()

    def demand(self) -> tuple[work.Demand, ...]:
        """Returns the cumulative demand at this host, for the role plan."""
        prefill_tokens, output_tokens = self._demand_tokens
        return (
            work.Demand(
                model="model",
                prefill_tokens=prefill_tokens,
                output_tokens=output_tokens,
            ),
        )

    def offer(self, item: work.Work, now: float) -> work.Decision:
        """Places a request."""
        self._demand_tokens[0] += item.prompt_tokens
        self._demand_tokens[1] += item.output_tokens
        return self._place(item, 0, "")

    def retry(
        self,
        request_id: str,
        failed_endpoint: str,
        tokens_done: int,
        now: float,
        *,
        started: bool = True,
    ) -> work.Decision:
        """Places a request again, up to `MAX_ATTEMPTS` attempts."""
        item, _, attempt = self._placed[request_id]
        self._forget(request_id)
        if attempt + 1 >= MAX_ATTEMPTS:
            return _refused(item)
        self.retried += 1
        return self._place(item, attempt + 1, failed_endpoint)

    def poll(self, now: float) -> tuple[work.Placed | work.Refused, ...]:
        """Returns nothing: no request waits."""
        return ()

    def next_poll(self, now: float) -> float | None:
        """Returns nothing: no request waits."""
        return None

    def cancel(self, request_id: str, now: float) -> None:
        """Removes a request whose caller disconnected."""
        self._forget(request_id)

    def prefill_done(self, request_id: str, now: float) -> None:
        """Does nothing: progress is ignored."""

    def first_token(self, request_id: str, now: float) -> None:
        """Does nothing: progress is ignored."""

    def tokens(self, request_id: str, count: int, now: float) -> None:
        """Does nothing: progress is ignored."""

    def finished(
        self,
        request_id: str,
        outcome: str,
        now: float,
        cached_tokens: int | None = None,
    ) -> None:
        """Removes a finished request."""
        self._forget(request_id)

    def _place(
        self, item: work.Work, attempt: int, avoid: str
    ) -> work.Decision:
        serving = [
            e
            for e in self._endpoints
            if e.state is work.EndpointState.SERVING and e.address != avoid
        ]
        prefillers = [e for e in serving if e.role is not work.Role.DECODE]
        decoders = [e for e in serving if e.role is not work.Role.PREFILL]
        if not prefillers or not decoders:
            return _refused(item)
        prefiller = self._prefill_pick(prefillers, self._outstanding)
        decoder = None
        if prefiller.role is work.Role.PREFILL:
            decoder = self._decode_pick(decoders, self._outstanding).address
        placed = work.Placed(
            request_id=item.request_id,
            endpoint=prefiller.address,
            decode_endpoint=decoder,
        )
        self._placed[item.request_id] = (item, placed, attempt)
        self._count(placed, 1)
        return placed

    def _forget(self, request_id: str) -> None:
        found = self._placed.pop(request_id, None)
        if found is not None:
            self._count(found[1], -1)

    def _count(self, placed: work.Placed, step: int) -> None:
        for address in {placed.endpoint, placed.decode_endpoint} - {None}:
            self._outstanding[address] = (
                self._outstanding.get(address, 0) + step
            )


def _refused(item: work.Work) -> work.Refused:
    return work.Refused(
        request_id=item.request_id,
        code=work.RefusalCode.NO_ENDPOINT,
        retry_after_s=1.0,
        reason="no endpoint",
    )
