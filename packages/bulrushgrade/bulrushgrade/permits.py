"""Permits for the requests that all hosts together send to one endpoint.

A limit that every host kept for itself would be exceeded by all of them
together, and an even share of a small limit is useless to each of hundreds of
hosts. So one host grants the permits for an endpoint, and the others ask it.
Permits are granted as a token bucket fills. A request may wait for one as long
as that can still be worth it; more urgent requests go first, then older ones.
Any other request is denied at once and told when to return.
"""

from collections.abc import Hashable

import attrs

BURST_S = 0.25
"""Time for which unused permits are kept, in addition to one permit and the
reserve. Requests arrive unevenly, but what an endpoint accepts within a few
seconds must not be exceeded by much."""

RESERVE = 1.0
"""Permits that are left for more urgent claims, if there were any lately.
Without it, less urgent ones take each permit at once, and an urgent claim
mostly comes when there is none."""

RESERVE_MEMORY_S = 10.0
"""Time after an urgent claim for which permits are left for more of them."""

_EPSILON = 1e-9
_MIN_RATE_PER_S = 1e-6


@attrs.frozen(kw_only=True)
class Claim:
    """A request that asks for a permit.

    Attributes:
        key: Identifies the request.
        urgency: Its urgency; 0 goes first.
        arrived_at: When its caller sent it.
        wait_until: Until when it may wait for a permit.
        return_by: Until when its caller could return after a denial.
    """

    key: Hashable
    urgency: int
    arrived_at: float
    wait_until: float
    return_by: float

    @property
    def rank(self) -> tuple[int, float]:
        """Its place among other claims; the smallest goes first."""
        return self.urgency, self.arrived_at


@attrs.frozen(kw_only=True)
class Decision:
    """What a claim gets.

    Attributes:
        key: Identifies the request.
        granted: Whether it gets a permit.
        open_s: Time until a claim of the same urgency could get a permit.
        retry_s: Time after which the caller of a denied request should return.
    """

    key: Hashable
    granted: bool
    open_s: float = 0.0
    retry_s: float = 0.0


class PermitQueue:
    """The permits for one endpoint, and the claims that wait for one."""

    def __init__(
        self,
        *,
        per_s: float,
        now: float,
        permits: float = 0.0,
        reserve: float = RESERVE,
    ):
        """Creates a queue without claims.

        Args:
            per_s: Permits per second.
            now: The current time.
            permits: Permits that it has already.
            reserve: Permits that are left for more urgent claims.
        """
        self._per_s = max(per_s, _MIN_RATE_PER_S)
        self._permits = permits
        self._reserve = reserve
        self._filled_at = now
        self._waiting: list[Claim] = []
        # When a claim of each urgency came last.
        self._asked_at: dict[int, float] = {}
        # Up to this time, denied callers were told to return one by one.
        self._returns_until = now

    def __len__(self) -> int:
        """Returns the number of claims that wait."""
        return len(self._waiting)

    @property
    def per_s(self) -> float:
        """Permits per second."""
        return self._per_s

    def set_rate(self, per_s: float, now: float) -> None:
        """Changes the rate."""
        self._fill(now)
        self._per_s = max(per_s, _MIN_RATE_PER_S)

    def next_due_s(self, now: float) -> float | None:
        """Returns the time until a waiting claim gets a permit, or None."""
        if not self._waiting:
            return None
        self._fill(now)
        return self._wait_s(self._waiting[0], 0, now)

    def submit(self, claim: Claim, now: float) -> list[Decision]:
        """Adds a claim; returns the decisions on it and on others."""
        self._asked_at[claim.urgency] = now
        self._waiting.append(claim)
        self._waiting.sort(key=lambda one: one.rank)
        return self.decide(now)

    def withdraw(self, key: Hashable) -> None:
        """Drops a claim that is not needed any more."""
        self._waiting = [one for one in self._waiting if one.key != key]

    def decide(self, now: float) -> list[Decision]:
        """Grants the permits there are; denies claims that would wait in vain.

        A claim that a more urgent one delays beyond its time is denied at
        once, while its caller still has the time to go elsewhere.
        """
        self._fill(now)
        decisions = []
        while self._waiting:
            claim = self._waiting[0]
            if self._permits < self._needed(claim, now) - _EPSILON:
                break
            self._permits -= 1.0
            self._waiting.pop(0)
            decisions.append(Decision(key=claim.key, granted=True))
        kept: list[Claim] = []
        hopeless: list[Claim] = []
        for claim in self._waiting:
            due_at = now + self._wait_s(claim, len(kept), now)
            (kept if due_at <= claim.wait_until else hopeless).append(claim)
        self._waiting = kept
        decisions += [self._deny(claim, now) for claim in hopeless]
        return decisions

    def close(self, now: float) -> list[Decision]:
        """Denies all waiting claims, for a host that no longer grants."""
        waiting, self._waiting = self._waiting, []
        return [self._deny(claim, now) for claim in waiting]

    def _deny(self, claim: Claim, now: float) -> Decision:
        before = sum(one.rank <= claim.rank for one in self._waiting)
        open_s = self._wait_s(claim, before, now)
        # Callers who return at the same time would be refused again, all but
        # one. So each is told a time of its own, the first one the earliest.
        return_at = now + self._wait_s(claim, len(self._waiting), now)
        return_at = max(return_at, self._returns_until)
        if return_at <= claim.return_by:
            self._returns_until = return_at + 1.0 / self._per_s
        return Decision(
            key=claim.key,
            granted=False,
            open_s=open_s,
            retry_s=return_at - now,
        )

    def _needed(self, claim: Claim, now: float) -> float:
        """Returns how many permits there must be for a claim to get one."""
        has_more_urgent = any(
            urgency < claim.urgency and now - at < RESERVE_MEMORY_S
            for urgency, at in self._asked_at.items()
        )
        return 1.0 + self._reserve if has_more_urgent else 1.0

    def _wait_s(self, claim: Claim, before: int, now: float) -> float:
        """Returns the wait of a claim with a number of others before it."""
        missing = before + self._needed(claim, now) - self._permits
        return max(0.0, missing / self._per_s)

    def _fill(self, now: float) -> None:
        passed_s = max(0.0, now - self._filled_at)
        self._filled_at = now
        most = 1.0 + self._reserve + BURST_S * self._per_s
        self._permits = min(self._permits + passed_s * self._per_s, most)
