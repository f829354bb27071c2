"""Guaranteed shares of the fleet's time, with lending.

Each service has a virtual time: engine seconds that it used over its share.
The service that is furthest behind goes next. A service that asks for less
than its share leaves the rest to the others, and what it left is not saved
up: it gets its whole share again as soon as it asks, by the next free slot,
which is within one service time of what the borrowers have running.
"""

from collections.abc import Iterable

import attrs

MIN_SHARE = 0.01
"""Share of a service that is guaranteed nothing: it lives on what is lent,
and a zero would divide by zero."""

MAX_CREDIT_S = 15.0
"""Virtual seconds that a service keeps of what it is owed when its queue runs
empty. Few readings arrive at one host, so their queue is empty between two
of them; forgetting all of it each time left their team two thirds of its
share under full load. More would let a silent service shut out the others."""

BURST_S = 2.0
"""Seconds of its own share that a service which does not borrow may save;
less would cut short bursts that its share covers."""


@attrs.define(kw_only=True)
class _Account:
    share: float
    borrow: bool
    virtual_time_s: float = 0.0
    burst_s: float = 0.0
    refilled_at: float = 0.0


class Shares:
    """Orders services by how far they are behind their shares."""

    def __init__(self):
        self._accounts: dict[str, _Account] = {}
        self._min_virtual_time_s = 0.0

    def set_share(self, service: str, share: float, borrow: bool) -> None:
        """Adds a service or changes its share."""
        account = self._accounts.get(service)
        if account is None:
            account = _Account(
                share=share,
                borrow=borrow,
                virtual_time_s=self._min_virtual_time_s,
                burst_s=BURST_S,
            )
            self._accounts[service] = account
        account.share = max(share, MIN_SHARE)
        account.borrow = borrow

    def share(self, service: str) -> float:
        """Returns a service's guaranteed share, never zero."""
        account = self._accounts.get(service)
        return account.share if account else MIN_SHARE

    def virtual_time_s(self, service: str) -> float:
        """Returns a service's virtual time in seconds."""
        return self._accounts[service].virtual_time_s

    def activate(self, service: str, active: Iterable[str]) -> None:
        """Notes that a service starts to ask again.

        Its virtual time is brought up to that of those who are asking:
        without it a service that was silent for an hour would be owed an
        hour of the whole fleet, and shut out all others on its return.
        """
        account = self._accounts[service]
        others = [
            self._accounts[name].virtual_time_s
            for name in active
            if name != service
        ]
        min_virtual_time_s = min(others) if others else self._min_virtual_time_s
        account.virtual_time_s = max(
            account.virtual_time_s, min_virtual_time_s - MAX_CREDIT_S
        )

    def charge(self, service: str, engine_s: float) -> None:
        """Books engine seconds on a service."""
        account = self._accounts[service]
        account.virtual_time_s += engine_s / account.share
        account.burst_s -= engine_s
        self._min_virtual_time_s = max(
            self._min_virtual_time_s,
            account.virtual_time_s - 1.0 / account.share,
        )

    def order(self, services: Iterable[str]) -> list[str]:
        """Sorts services, the furthest behind its share first."""
        return sorted(
            services, key=lambda name: self._accounts[name].virtual_time_s
        )

    def may_run(self, service: str, engines: float, now: float) -> bool:
        """Returns whether a service that does not borrow has time left.

        Args:
            service: The service.
            engines: This host's part of the fleet, in engines.
            now: The present time.
        """
        account = self._accounts[service]
        if account.borrow:
            return True
        rate = account.share * engines
        elapsed = max(0.0, now - account.refilled_at)
        account.refilled_at = now
        account.burst_s = min(account.burst_s + elapsed * rate, BURST_S * rate)
        return account.burst_s > 0.0

    def dump(self) -> dict[str, dict[str, float]]:
        """Returns each service's account for a person."""
        return {
            name: {"share": a.share, "used": round(a.virtual_time_s, 3)}
            for name, a in self._accounts.items()
        }
