"""Which endpoints there are, from records that may be late, old or false.

Endpoints register themselves under an id. A restarted endpoint may keep its
id; its start time then tells the two apart, so that an incarnation is id and
start together. Records of another writer may look like an endpoint's; what
can't be decoded never gets here, and what is older than what is known is
left out.
"""

from collections.abc import Iterable
import enum

import attrs

LEAVING_USE_FRACTION = 0.5
"""Of the time until an endpoint says that it is gone, for which it may still
get requests: those have to end too."""


class EndpointState(enum.Enum):
    """What an endpoint says of itself."""

    READY = "ready"
    DRAINING = "draining"


class Stage(enum.Enum):
    """The role of a model engine."""

    PREFILL = "prefill"
    DECODE = "decode"


@attrs.frozen(kw_only=True)
class Registration:
    """What an endpoint published about itself.

    Attributes:
        id: Its id, which a restarted endpoint may use again.
        born_ms: When it started, Unix milliseconds; part of its identity.
        service: The service that it belongs to.
        host: Its IP number.
        port: Its port.
        zone: Its availability zone.
        slots: Requests that it works on at a time.
        state: Whether it takes new work.
        cold_s: How much longer it stays slow after its start, in seconds.
        stage: An engine's role; None for a plain endpoint.
        sequence: Grows with each record of an incarnation.
        is_spot: Whether it may be taken away at short notice.
        leaves_s: From the record until it is gone, where that is known.
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

    @property
    def incarnation(self) -> tuple[str, int]:
        """What no other start of any endpoint has."""
        return (self.id, self.born_ms)

    @property
    def order(self) -> tuple[int, int]:
        """Grows from each record of an id to the next."""
        return (self.born_ms, self.sequence)


@attrs.frozen(kw_only=True)
class Change:
    """What a record changed.

    Attributes:
        id: The endpoint's id.
        previous: What was known before, or None.
        current: What is known now, or None where it is gone.
    """

    id: str
    previous: Registration | None
    current: Registration | None


@attrs.define(kw_only=True)
class _Entry:
    """One endpoint.

    Attributes:
        known: Its newest record.
        leaving_since: When it was first seen to leave, or None.
        trusted_until: Until when it counts as ready though its record is
            gone.
        gone: Whether its record was taken away.
    """

    known: Registration
    leaving_since: float | None = None
    trusted_until: float = 0.0
    gone: bool = False


class Directory:
    """The endpoints that are known, and until when each may be used."""

    def __init__(self, *, leaving_use_s: float):
        """Makes an empty directory.

        Args:
            leaving_use_s: How long an endpoint that is seen to leave may
                still be used where there is no other. Shorter than the time
                in which work to it has to end. Entries that lapsed with an
                outage of the store are back within it.
        """
        self._leaving_use_s = leaving_use_s
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def registrations(self) -> list[Registration]:
        """Every endpoint that has a record, draining ones too."""
        return [e.known for e in self._entries.values() if not e.gone]

    def find(self, id: str) -> Registration | None:
        """Returns the endpoint of an id that has a record, or None."""
        entry = self._entries.get(id)
        return None if entry is None or entry.gone else entry.known

    def is_leaving(self, known: Registration) -> bool:
        """Returns whether an incarnation was seen to leave.

        One whose id another start has is not leaving: it has ended.
        """
        entry = self._entries.get(known.id)
        if entry is None:
            return True
        is_same = entry.known.incarnation == known.incarnation
        return is_same and entry.leaving_since is not None

    def put(self, found: Registration, *, now: float) -> Change | None:
        """Takes a record; returns what it changed, or None.

        A record that is older than the known one of the same id is a late
        copy: taking it would bring back an incarnation that is gone, or a
        state that has passed.
        """
        entry = self._entries.get(found.id)
        if entry is None:
            entry = _Entry(known=found)
            self._entries[found.id] = entry
            self._note_state(entry, now)
            return Change(id=found.id, previous=None, current=found)
        if found.order < entry.known.order:
            return None
        previous = None if entry.gone else entry.known
        is_new_incarnation = found.incarnation != entry.known.incarnation
        if (
            entry.gone
            and not is_new_incarnation
            and found.order == entry.known.order
        ):
            return None
        entry.known = found
        entry.gone = False
        if is_new_incarnation or found.state is EndpointState.READY:
            entry.leaving_since = None
        self._note_state(entry, now)
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
        """Notes that an endpoint's record was taken away.

        Args:
            id: The endpoint's id.
            now: The present time in seconds.
            trusted_until: Until when it still counts as ready. Records lapse
                with an outage of the store though their endpoints live, and
                are back soon after it; until then a lapsed record says
                nothing of its endpoint.
        """
        entry = self._entries.get(id)
        if entry is None or entry.gone:
            return None
        entry.gone = True
        if entry.leaving_since is None:
            entry.leaving_since = now
            entry.trusted_until = trusted_until
        return Change(id=id, previous=entry.known, current=None)

    def replace(
        self,
        found: Iterable[Registration],
        *,
        now: float,
        trusted_until: float = 0.0,
    ) -> list[Change]:
        """Takes the whole list; what is not in it is gone.

        Args:
            found: Every endpoint that has a record.
            now: The present time in seconds.
            trusted_until: As for `remove`.
        """
        listed = {registration.id: registration for registration in found}
        changes = [
            self.remove(id, now=now, trusted_until=trusted_until)
            for id in list(self._entries)
            if id not in listed
        ]
        changes += [self.put(r, now=now) for r in listed.values()]
        return [change for change in changes if change is not None]

    def forget(self, *, now: float, after_s: float) -> None:
        """Drops endpoints that have been gone for long, to bound memory."""
        for id, entry in list(self._entries.items()):
            if entry.gone and now - entry.leaving_since > after_s:
                del self._entries[id]

    def usable(self, service: str, *, now: float) -> list[Registration]:
        """Returns the endpoints that may get a request now.

        Ready ones where there are any; else those that were seen to leave a
        moment ago. With the store's outage all records may lapse at once
        while every endpoint serves on.
        """
        ready, leaving = [], []
        for entry in self._entries.values():
            if entry.known.service != service:
                continue
            if entry.leaving_since is None or now < entry.trusted_until:
                ready.append(entry.known)
            elif now - entry.leaving_since < self._leaving_use(entry):
                leaving.append(entry.known)
        return ready or leaving

    def _leaving_use(self, entry: _Entry) -> float:
        """Returns for how long a leaving endpoint may still be used."""
        leaves_s = entry.known.leaves_s
        if leaves_s is None:
            return self._leaving_use_s
        return min(self._leaving_use_s, LEAVING_USE_FRACTION * leaves_s)

    def _note_state(self, entry: _Entry, now: float) -> None:
        draining = entry.known.state is EndpointState.DRAINING
        if draining and entry.leaving_since is None:
            entry.leaving_since = now
