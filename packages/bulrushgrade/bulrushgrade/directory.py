"""The endpoints that are known, from records that may be late, old or false.

Endpoints register under an id, which a restarted endpoint may keep. The start
time distinguishes the two, so id and start time together identify an
incarnation. Records of another writer may look like those of an endpoint;
records that can't be decoded don't get here, and records that are older than
the known one are ignored.

An endpoint also states in its answers that it is leaving. That outranks every
record of the same incarnation: one that says ready may be older, as the store
may be slow or unavailable, and an endpoint that leaves does not become ready.
"""

from collections.abc import Iterable
import enum

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade import endpointdrains
from bulrushgrade import errors

MAX_INTEGER = 2**53 - 1
"""Largest start time and sequence: what JSON numbers hold exactly. Hosts send
them to each other as integers of 64 bits, and encoding a larger one fails."""

MAX_SLOTS = 1_000_000
"""Largest number of requests that an endpoint may serve at a time."""

LEAVING_USE_FRACTION = 0.5
"""Fraction of the time until an endpoint's announced end in which it may still
get requests. Those have to complete in the rest."""


class EndpointState(enum.Enum):
    """State that an endpoint reports."""

    READY = "ready"
    DRAINING = "draining"


class Stage(enum.Enum):
    """The role of a model engine."""

    PREFILL = "prefill"
    DECODE = "decode"


@attrs.frozen(kw_only=True)
class Registration:
    """The registration that an endpoint published.

    Attributes:
        id: The endpoint's id, which a restarted endpoint may reuse.
        born_ms: Start time in Unix milliseconds; part of its identity.
        service: The service that it belongs to.
        host: Its IP address.
        port: Its port.
        zone: Its availability zone.
        slots: Maximum number of concurrent requests.
        state: Whether it accepts new requests.
        cold_s: Seconds for which it remains slow after its start.
        stage: The role of an engine; None for a plain endpoint.
        sequence: Increases with each record of an incarnation.
        is_spot: Whether it may be terminated at short notice.
        leaves_s: Seconds from the record until it terminates, if known.
        software: The version of its software as it states it; empty if it
            states none. Not the version of a model's weights.
    """

    id: str
    born_ms: int
    service: str
    host: str
    port: int
    zone: str
    slots: int
    state: EndpointState
    cold_s: float
    stage: Stage | None
    sequence: int
    is_spot: bool = False
    leaves_s: float | None = None
    software: str = ""

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identifies one start of an endpoint."""
        return (self.id, self.born_ms)

    @property
    def order(self) -> tuple[int, int]:
        """Increases with each record of an id, also across restarts."""
        return (self.born_ms, self.sequence)


def validate_registration(
    found: Registration,
) -> Result[Registration, errors.BadRecord]:
    """Returns a registration if it identifies a usable endpoint.

    Checks what the types of its fields leave open. A route without a service
    has the empty name, so an endpoint of that name would get its requests.
    """
    if not (found.id and found.service):
        reason = "the id or service is empty"
    elif not 0 <= found.born_ms <= MAX_INTEGER:
        reason = "the start time is out of range"
    elif not 0 <= found.sequence <= MAX_INTEGER:
        reason = "the sequence is out of range"
    elif not 1 <= found.slots <= MAX_SLOTS:
        reason = "the number of slots is out of range"
    else:
        return Success(found)
    return Failure(errors.BadRecord(reason=reason))


@attrs.frozen(kw_only=True)
class Change:
    """A change of an endpoint caused by a record.

    Attributes:
        id: The endpoint's id.
        previous: The registration before, or None.
        current: The registration now, or None if it was removed.
    """

    id: str
    previous: Registration | None
    current: Registration | None


@attrs.define(kw_only=True)
class _Entry:
    """State of one endpoint.

    Attributes:
        known: Its latest registration.
        leaving_since: When it was first seen to leave, or None.
        trusted_until: Time until which it counts as ready although its record
            is gone.
        gone: Whether its record was removed.
        was_unlisted: Whether it is gone because a list lacked it, at a time at
            which that says nothing about the endpoint.
    """

    known: Registration
    leaving_since: float | None = None
    trusted_until: float = 0.0
    gone: bool = False
    was_unlisted: bool = False


class Directory:
    """The known endpoints, and until when each may be used."""

    def __init__(
        self,
        *,
        leaving_use_s: float,
        drains: endpointdrains.EndpointDrains | None = None,
    ):
        """Initializes an empty directory.

        Args:
            leaving_use_s: How long a leaving endpoint may still be used if
                there is no other. This is shorter than the time in which
                requests at such an endpoint have to complete. Records that
                expired because of an outage of the store are restored within
                this time.
            drains: The endpoints that state that they are leaving.
        """
        self._leaving_use_s = leaving_use_s
        # An instance without drains is false.
        self._drains = (
            endpointdrains.EndpointDrains() if drains is None else drains
        )
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def registrations(self) -> list[Registration]:
        """All endpoints that have a record, including draining ones."""
        return [e.known for e in self._entries.values() if not e.gone]

    def find(self, id: str) -> Registration | None:
        """Returns the registration of an id that has a record, or None."""
        entry = self._entries.get(id)
        return None if entry is None or entry.gone else entry.known

    def recall(self, incarnation: tuple[str, int]) -> Registration | None:
        """Returns the last registration of an incarnation, also if it is gone.

        None if it isn't remembered.
        """
        entry = self._entries.get(incarnation[0])
        if entry is None or entry.known.incarnation != incarnation:
            return None
        return entry.known

    def is_leaving(self, known: Registration) -> bool:
        """Returns whether an incarnation was seen to leave.

        An incarnation whose id belongs to a later start is not leaving: it has
        ended.
        """
        entry = self._entries.get(known.id)
        if entry is None:
            return True
        is_same = entry.known.incarnation == known.incarnation
        return is_same and self._leaving_since(entry) is not None

    def knows(self, incarnation: tuple[str, int]) -> bool:
        """Returns whether an incarnation is remembered, also if it is gone."""
        entry = self._entries.get(incarnation[0])
        return entry is not None and entry.known.incarnation == incarnation

    def records_leaving(self, incarnation: tuple[str, int]) -> bool:
        """Returns whether the records show that an incarnation leaves."""
        entry = self._entries.get(incarnation[0])
        if entry is None or entry.known.incarnation != incarnation:
            return False
        return entry.leaving_since is not None

    def put(self, found: Registration, *, now: float) -> Change | None:
        """Applies a record; returns the change, or None.

        A record that is older than the known one of the same id is a late copy.
        Applying it would restore an incarnation that is gone or an outdated
        state.
        """
        entry = self._entries.get(found.id)
        if entry is None:
            entry = _Entry(known=found)
            self._entries[found.id] = entry
            self._update_leaving(entry, now)
            return Change(id=found.id, previous=None, current=found)
        if found.order < entry.known.order:
            return None
        previous = None if entry.gone else entry.known
        is_new_incarnation = found.incarnation != entry.known.incarnation
        if (
            entry.gone
            and not is_new_incarnation
            and found.order == entry.known.order
            and not entry.was_unlisted
        ):
            return None
        entry.known = found
        entry.gone = entry.was_unlisted = False
        if is_new_incarnation or found.state is EndpointState.READY:
            entry.leaving_since = None
        self._update_leaving(entry, now)
        if (
            previous is not None
            and attrs.evolve(
                previous, sequence=found.sequence, cold_s=found.cold_s
            )
            == found
        ):
            return None
        return Change(id=found.id, previous=previous, current=found)

    def remove(
        self, id: str, *, now: float, trusted_until: float = 0.0
    ) -> Change | None:
        """Records that an endpoint's record was removed.

        Args:
            id: The endpoint's id.
            now: The present time in seconds.
            trusted_until: Time until which it still counts as ready. Records
                expire with an outage of the store although their endpoints are
                alive, and are restored soon after it. Until then an expired
                record says nothing about its endpoint.
        """
        entry = self._entries.get(id)
        if entry is None or entry.gone:
            if entry is not None:
                entry.was_unlisted = False
            return None
        entry.gone = True
        if entry.leaving_since is None:
            entry.leaving_since = now
            entry.trusted_until = trusted_until
        return Change(id=id, previous=entry.known, current=None)

    def discard(self, id: str) -> Change | None:
        """Forgets what is known of an id, as if it had never had a record."""
        entry = self._entries.pop(id, None)
        if entry is None or entry.gone:
            return None
        return Change(id=id, previous=entry.known, current=None)

    def replace(
        self,
        found: Iterable[Registration],
        *,
        now: float,
        trusted_until: float = 0.0,
    ) -> list[Change]:
        """Applies the full list of records and removes all others.

        Args:
            found: All endpoints that have a record.
            now: The present time in seconds.
            trusted_until: See `remove`.
        """
        listed = {registration.id: registration for registration in found}
        changes = []
        for id, entry in self._entries.items():
            if id in listed or entry.gone:
                continue
            changes.append(
                self.remove(id, now=now, trusted_until=trusted_until)
            )
            # The store may lack records that it had. The endpoint writes its
            # last one again then, which is not a late copy.
            entry.was_unlisted = now < trusted_until
        changes += [self.put(r, now=now) for r in listed.values()]
        return [change for change in changes if change is not None]

    def forget(self, *, now: float, after_s: float) -> None:
        """Drops endpoints that have been gone for long, to bound memory."""
        for id, entry in list(self._entries.items()):
            if entry.gone and now - entry.leaving_since > after_s:
                del self._entries[id]

    def usable(
        self, service: str, *, now: float, software: str | None = None
    ) -> list[Registration]:
        """Returns the endpoints that may get a request now.

        These are the ready ones if there are any, otherwise those that were
        recently seen to leave. In an outage of the store all records may expire
        at once although every endpoint is alive.

        Args:
            service: The service.
            now: The present time in seconds.
            software: The version that the endpoints must run; any if None.
        """
        ready, leaving = [], []
        stated_ids = self._drains.ids
        for id, entry in self._entries.items():
            if entry.known.service != service:
                continue
            if software not in (None, entry.known.software):
                continue
            is_staying = entry.leaving_since is None and id not in stated_ids
            if is_staying or self._is_ready(entry, now):
                ready.append(entry.known)
            elif self._may_use_leaving(entry, now):
                leaving.append(entry.known)
        return ready or leaving

    def accepts(self, known: Registration, *, now: float) -> bool:
        """Returns whether a request may be sent to an endpoint now.

        It may have begun to leave, or may have been replaced by a later start,
        since it was chosen.
        """
        entry = self._entries.get(known.id)
        if entry is None or entry.known.incarnation != known.incarnation:
            return False
        return self._is_ready(entry, now) or self._may_use_leaving(entry, now)

    def _is_ready(self, entry: _Entry, now: float) -> bool:
        if self._drains.since(entry.known.incarnation) is not None:
            return False
        return entry.leaving_since is None or now < entry.trusted_until

    def _may_use_leaving(self, entry: _Entry, now: float) -> bool:
        since = self._leaving_since(entry)
        return now - since < self._leaving_use(entry)

    def _leaving_since(self, entry: _Entry) -> float | None:
        """Returns when an endpoint was first known to leave, or None."""
        stated_since = self._drains.since(entry.known.incarnation)
        known = [entry.leaving_since, stated_since]
        return min((at for at in known if at is not None), default=None)

    def _leaving_use(self, entry: _Entry) -> float:
        """Returns for how long a leaving endpoint may still be used."""
        leaves_s = entry.known.leaves_s
        if leaves_s is None:
            return self._leaving_use_s
        return min(self._leaving_use_s, LEAVING_USE_FRACTION * leaves_s)

    def _update_leaving(self, entry: _Entry, now: float) -> None:
        draining = entry.known.state is EndpointState.DRAINING
        if draining and entry.leaving_since is None:
            entry.leaving_since = now
