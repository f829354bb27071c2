"""The versions of software that the endpoints of each service have run.

Where a single version has served for longer than any stream lasts, it has begun
every stream of the service, and no host needs to be asked.
"""

from collections.abc import Callable
import math

import attrs

from bulrushgrade import directory

MAX_MEMORY_S = 600.0
"""How long a version without endpoints is remembered."""


@attrs.define(kw_only=True)
class _Presence:
    """The endpoints of one version.

    Attributes:
        first_at: When its first endpoint became known.
        endpoints: Number of endpoints that have a record.
        last_at: When the record of the last one was removed.
    """

    first_at: float
    endpoints: int = 0
    last_at: float = 0.0


class SoftwareVersions:
    """When endpoints of each version were registered, by service."""

    def __init__(self):
        self._services: dict[str, dict[str, _Presence]] = {}
        self._since: float | None = None
        self._on_replaced: list[Callable[[directory.Registration], None]] = []

    def subscribe(
        self, on_replaced: Callable[[directory.Registration], None]
    ) -> None:
        """Subscribes to endpoints whose id now belongs to other software.

        Args:
            on_replaced: Called with the registration of before.
        """
        self._on_replaced.append(on_replaced)

    def begin(self, now: float) -> None:
        """Takes in that the records were first read as a whole.

        The versions found then count as known for long: they may be.
        """
        if self._since is not None:
            return
        self._since = now
        for versions in self._services.values():
            for presence in versions.values():
                presence.first_at = -math.inf

    def observe(self, change: directory.Change, now: float) -> None:
        """Takes in a change of an endpoint's record."""
        if change.current is not None:
            self._add(change.current, now)
        if change.previous is not None:
            self._remove(change.previous, now)
        if change.previous is None or change.current is None:
            return
        if change.previous.software != change.current.software:
            for on_replaced in self._on_replaced:
                on_replaced(change.previous)

    def find(self, service: str, *, now: float, memory_s: float) -> list[str]:
        """Returns the versions that have served lately.

        Args:
            service: The service.
            now: The present time in seconds.
            memory_s: How far to look back.
        """
        return [
            software
            for software, presence in self._services.get(service, {}).items()
            if presence.endpoints or now - presence.last_at < memory_s
        ]

    def covers(self, *, now: float, memory_s: float) -> bool:
        """Returns whether records have been followed for a time."""
        return self._since is not None and now - self._since >= memory_s

    def is_settled(
        self, service: str, software: str, *, now: float, settle_s: float
    ) -> bool:
        """Returns whether a version has been known for a time."""
        presence = self._services.get(service, {}).get(software)
        return presence is not None and now - presence.first_at >= settle_s

    def count_endpoints(self, service: str) -> dict[str, int]:
        """Returns the number of registered endpoints of each version."""
        return {
            software: presence.endpoints
            for software, presence in self._services.get(service, {}).items()
            if presence.endpoints
        }

    def _add(self, known: directory.Registration, now: float) -> None:
        versions = self._services.setdefault(known.service, {})
        presence = versions.get(known.software)
        if presence is None:
            presence = versions[known.software] = _Presence(first_at=now)
            self._forget(versions, now)
        presence.endpoints += 1

    def _remove(self, known: directory.Registration, now: float) -> None:
        presence = self._services[known.service][known.software]
        presence.endpoints -= 1
        presence.last_at = now

    def _forget(self, versions: dict[str, _Presence], now: float) -> None:
        for software, presence in list(versions.items()):
            is_old = now - presence.last_at > MAX_MEMORY_S
            if presence.first_at < now and not presence.endpoints and is_old:
                del versions[software]
