"""Guaranteed shares of the fleet's time, with lending of unused time.

Each service has a virtual time: the engine seconds that it used, divided by its
share. The service with the smallest virtual time goes next. Time that a service
leaves unused goes to the others and is not saved up. The service gets its whole
share again as soon as it has work, by the next free slot: within one service
time of the borrowers' running requests.
"""

from collections.abc import Iterable

import attrs

MIN_SHARE = 0.01
"""Smallest share: a service without a guaranteed share lives on lent time, and
zero would cause a division by zero."""

MAX_CREDIT_S = 15.0
"""Virtual seconds of credit that a service keeps when its queue runs empty. Few
long prefills arrive at one host, so that their queue is empty between two of
them; without credit their service got two thirds of its share under full load.
More credit would let a service block the others after an idle time."""

BURST_S = 2.0
"""Burst of a service that does not borrow, in seconds of its share; a smaller
one would refuse bursts that its share covers."""


@attrs.define(kw_only=True)
class _Account:
    share: float
    borrow: bool
    virtual_time_s: float = 0.0
    burst_s: float = 0.0
    refilled_at: float = 0.0


class Shares:
    """Orders services by their virtual time."""

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
        """Returns a service's guaranteed share, at least `MIN_SHARE`."""
        account = self._accounts.get(service)
        return account.share if account else MIN_SHARE

    def virtual_time_s(self, service: str) -> float:
        """Returns a service's virtual time in seconds."""
        return self._accounts[service].virtual_time_s

    def activate(self, service: str, active: Iterable[str]) -> None:
        """Notes that a service has work after an empty queue.

        Its virtual time is raised to that of the active services, less its
        credit. Otherwise a service that was idle for an hour would be owed an
        hour of the whole fleet, and would block all others on its return.
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
        """Charges engine seconds to a service."""
        account = self._accounts[service]
        account.virtual_time_s += engine_s / account.share
        account.burst_s -= engine_s
        self._min_virtual_time_s = max(
            self._min_virtual_time_s,
            account.virtual_time_s - 1.0 / account.share,
        )

    def order(self, services: Iterable[str]) -> list[str]:
        """Sorts services by virtual time, the smallest first."""
        return sorted(
            services, key=lambda name: self._accounts[name].virtual_time_s
        )

    def may_run(self, service: str, engines: float, now: float) -> bool:
        """Returns whether a service may start work now.

        A service that does not borrow is limited to its share by a token
        bucket.

        Args:
            service: The service.
            engines: This host's part of the pool, in engines.
            now: The current time.
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
        """Returns the services' shares and virtual times, for diagnosis."""
        return {
            name: {"share": a.share, "used": round(a.virtual_time_s, 3)}
            for name, a in self._accounts.items()
        }
