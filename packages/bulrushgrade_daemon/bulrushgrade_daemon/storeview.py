"""A gateway's view of the store: configuration and endpoints."""

from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Failure

from bulrushgrade import directory as directory_module
from bulrushgrade import endpointdrains
from bulrushgrade import routing
from bulrushgrade import softwareversions
from bulrushgrade_daemon import adapter as adapter_module
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import topicjournal
from bulrushgrade_daemon import topicreader

LAPSED_RECORD_RETURN_S = 2.0
"""Records that expired while the store was unavailable are back within this
time of its return if their endpoints are alive, as the users' platform
guarantees."""

LEAVING_USE_FRACTION = 0.4
"""Fraction of the drain bound for which a leaving endpoint may still be used if
there is no other. The rest covers the age of this host's view and the transit
time of the last request."""

REMOVED_TTL_S = 60.0
"""How long a removed endpoint is remembered, so that delayed duplicates of its
records are recognized."""

_DEFAULT_LIMITS = routing.CallerLimits(
    max_header_bytes=16384,
    max_body_bytes=4 * 1024 * 1024,
    header_timeout_s=5.0,
    idle_timeout_s=15.0,
)


class StoreView:
    """Maintains the route table and the endpoints from store records."""

    def __init__(
        self,
        *,
        adapter: adapter_module.Adapter,
        timers: Any,
        drain_s: float,
        drains: endpointdrains.EndpointDrains,
        regained_at: Callable[[], float | None],
        on_changed: Callable[[], None],
        log: decisionlog.DecisionLog,
    ):
        """Makes an empty view.

        Args:
            adapter: Decodes records.
            timers: The timer service.
            drain_s: How long a leaving endpoint may still get work.
            drains: The endpoints that state that they are leaving.
            regained_at: Returns when the store was last regained, or None.
            on_changed: Called when endpoints may have changed.
            log: Logs each change and each invalid record.
        """
        self._decode_configuration = adapter.decode_configuration
        self._decode_endpoint = adapter.decode_registration
        self._timers = timers
        self._regained_at = regained_at
        self._on_changed = on_changed
        self._log = log
        self._table: routing.RouteTable | None = None
        self._endpoints = directory_module.Directory(
            leaving_use_s=drain_s * LEAVING_USE_FRACTION, drains=drains
        )
        self._software = softwareversions.SoftwareVersions()
        self._unreadable = 0
        # The latest registration of each id whose service the configuration
        # doesn't name. It may name it later, or the writer is no endpoint.
        self._unnamed: dict[str, directory_module.Registration] = {}
        self._services: frozenset[str] = frozenset()

    @property
    def table(self) -> routing.RouteTable | None:
        """The current routes, or None before the first configuration."""
        return self._table

    @property
    def caller_limits(self) -> routing.CallerLimits:
        """The limits on callers, default ones before a configuration."""
        if self._table is None:
            return _DEFAULT_LIMITS
        return self._table.configuration.limits

    @property
    def endpoints(self) -> directory_module.Directory:
        """The known endpoints."""
        return self._endpoints

    @property
    def software(self) -> softwareversions.SoftwareVersions:
        """The versions of software that endpoints have run."""
        return self._software

    @property
    def counts(self) -> dict[str, int]:
        """Number of records that could not be decoded."""
        return {"records": self._unreadable}

    def apply_configuration(
        self, records: tuple[topicreader.KeyedRecord, ...]
    ) -> int:
        """Applies records of the configuration topic.

        Returns:
            The number of versions that came into force.
        """
        changes = 0
        for record in records:
            decoded = self._decode_configuration(record)
            if isinstance(decoded, Failure):
                self._count_unreadable(record, decoded.failure())
                continue
            found = decoded.unwrap()
            if found is not None:
                changes += self._activate(found)
        return changes

    def _activate(self, found: routing.Configuration) -> bool:
        before = self._table.configuration.version if self._table else None
        # Records may be read again after a gap, or from an older copy of the
        # store; ignore older versions.
        if before is not None and found.version <= before:
            return False
        self._table = routing.RouteTable(configuration=found)
        self._services = _find_services(found)
        self._log.note(
            "configuration_in_force",
            version=found.version,
            before=before,
            routes=len(found.routes),
            services=len(found.services),
        )
        if before is None:
            self._withdraw_unnamed()
        if self._unnamed:
            self._put_all(list(self._unnamed.values()))
            self._expire()
        return True

    def extract_state(
        self, record: topicreader.KeyedRecord
    ) -> topicjournal.RecordState:
        """Returns the state of an endpoint's record without its counter."""
        decoded = self._decode_endpoint(record)
        found = None if isinstance(decoded, Failure) else decoded.unwrap()
        if found is None or not self._is_named(found):
            return topicjournal.RecordState(content=record.value)
        return topicjournal.RecordState(
            content=attrs.evolve(found, sequence=0), order=found.order
        )

    def apply_endpoints(
        self, records: tuple[topicreader.KeyedRecord, ...]
    ) -> None:
        """Applies records of the endpoint topic in order."""
        now = self._timers.now
        trusted_until = self._lapses_trusted_until()
        for record in records:
            if record.value is None:
                self._unnamed.pop(record.key, None)
                change = self._endpoints.remove(
                    record.key, now=now, trusted_until=trusted_until
                )
                self._observe_change(change)
                continue
            registration = self._decode_registration(record)
            if registration is not None:
                self._put_all([registration])
        self._expire()

    def replace_endpoints(
        self, records: tuple[topicreader.KeyedRecord, ...]
    ) -> int:
        """Replaces all endpoints by the latest record of each.

        Returns:
            The number of changes.
        """
        decoded = [
            self._decode_registration(r) for r in records if r.value is not None
        ]
        found = [r for r in decoded if r is not None]
        self._unnamed = {r.id: r for r in found if not self._is_named(r)}
        changes = self._endpoints.replace(
            [r for r in found if r.id not in self._unnamed],
            now=self._timers.now,
            trusted_until=self._lapses_trusted_until(),
        )
        for change in changes:
            self._observe_change(change)
        self._software.begin(self._timers.now)
        self._expire()
        return len(changes)

    def _put_all(self, found: list[directory_module.Registration]) -> None:
        """Applies registrations; sets those of unnamed services aside."""
        for registration in found:
            if not self._is_named(registration):
                self._unnamed[registration.id] = registration
                continue
            self._unnamed.pop(registration.id, None)
            change = self._endpoints.put(registration, now=self._timers.now)
            self._observe_change(change)

    def _is_named(self, found: directory_module.Registration) -> bool:
        """Returns whether the configuration names an endpoint's service.

        Until the first configuration any service may be. An endpoint whose
        service was named stays known, so that it is seen to leave.
        """
        if self._table is None:
            return True
        if found.service in self._services:
            return True
        known = self._endpoints.find(found.id)
        return known is not None and known.service == found.service

    def _withdraw_unnamed(self) -> None:
        """Sets endpoints aside that were read before the configuration."""
        for known in self._endpoints.registrations:
            if known.service not in self._services:
                self._observe_change(self._endpoints.discard(known.id))
                self._unnamed[known.id] = known

    def _lapses_trusted_until(self) -> float:
        """Returns until when a removed record may just have expired."""
        regained_at = self._regained_at()
        return (
            0.0 if regained_at is None else regained_at + LAPSED_RECORD_RETURN_S
        )

    def _decode_registration(
        self, record: topicreader.KeyedRecord
    ) -> directory_module.Registration | None:
        decoded = self._decode_endpoint(record)
        if isinstance(decoded, Failure):
            self._count_unreadable(record, decoded.failure())
            return None
        return decoded.unwrap()

    def _count_unreadable(
        self, record: topicreader.KeyedRecord, failure: Any
    ) -> None:
        self._unreadable += 1
        self._log.note(
            "record_unreadable", key=record.key, reason=failure.reason
        )

    def _observe_change(self, change: directory_module.Change | None) -> None:
        if change is None:
            return
        self._software.observe(change, self._timers.now)
        current = change.current
        self._log.note(
            "endpoint_changed",
            endpoint=change.id,
            service=(current or change.previous).service,
            address=f"{current.host}:{current.port}" if current else None,
            state=current.state.value if current else "gone",
            born_ms=current.born_ms if current else None,
            stage=current.stage.value if current and current.stage else None,
            software=current.software if current else None,
        )

    def _expire(self) -> None:
        self._endpoints.forget(now=self._timers.now, after_s=REMOVED_TTL_S)
        self._on_changed()


def _find_services(found: routing.Configuration) -> frozenset[str]:
    """Returns the services that a configuration names."""
    targets = (target for route in found.routes for target in route.targets)
    return frozenset(found.services) | {target.service for target in targets}
