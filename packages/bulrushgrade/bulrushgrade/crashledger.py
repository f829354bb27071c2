"""Finds requests that crash endpoints and quarantines them.

A request may crash each endpoint that starts to run it. It is retried after
each crash, and sent again with each try of its caller, so it crashes one
endpoint after another. The ledger records, for all hosts, which requests were
in flight at each endpoint that crashed. A request that was in flight at
several of them is quarantined: it is not sent to endpoints any more.

Requests that were only there by chance look the same at first. Most of them
are involved in one crash and complete at another endpoint. A request that
completes is not to blame, however many crashes it was involved in, and its
involvements are dropped. Requests that had not started to run need one more
crash, and so do those whose crashes are all in one availability zone in which
other endpoints crashed too.

A quarantine expires, since nothing else could show that its request has
become harmless. The next crash starts one that is twice as long.
"""

import collections
from collections.abc import Iterable
import math

import attrs

MIN_CRASHES = 3
"""Number of crashes after which a request is quarantined. Requests that are
moved together from one endpoint to the next can't be told apart by fewer."""

MIN_CRASHES_REPEATED = 2
"""The same for a caller that has several quarantined requests already."""

REPEATED_REQUESTS = 2
"""Number of quarantined requests of one caller from which on fewer crashes are
enough."""

ZONE_FAILURE_S = 2.0
"""Time before and after the crashes of a request within which other crashes in
the same zone count as part of the same failure."""

CRASH_TTL_S = 600.0
"""How long the crashes of a request count after the last of them, or after the
end of its quarantine."""

QUARANTINE_S = 600.0
"""Duration of the first quarantine of a request."""

MAX_QUARANTINE_S = 86_400.0
"""Maximum duration of a quarantine."""

MAX_INVOLVEMENTS = 4096
"""Maximum number of retained involvements, so that no failure and no caller can
exhaust the memory of the hosts. The oldest are dropped first, those of
quarantined requests last."""

MAX_DOUBLINGS = math.ceil(math.log2(MAX_QUARANTINE_S / QUARANTINE_S))
"""Number of doublings after which a quarantine has its maximum duration."""

Incarnation = tuple[str, int]

Key = tuple[str, Incarnation]
"""A request's fingerprint and the endpoint that crashed."""


@attrs.frozen(kw_only=True)
class Involvement:
    """A request that was in flight at an endpoint when the endpoint crashed.

    Attributes:
        fingerprint: Identifies the request and its repetitions.
        caller: Identifies the caller.
        endpoint: The endpoint's incarnation.
        zone: The endpoint's availability zone.
        has_begun: Whether its answer had started. Otherwise the request may
            still have been queued.
    """

    fingerprint: str
    caller: str
    endpoint: Incarnation
    zone: str
    has_begun: bool

    @property
    def key(self) -> Key:
        """The key that identifies the involvement."""
        return (self.fingerprint, self.endpoint)


@attrs.frozen(kw_only=True)
class _Entry:
    """An involvement and when this host learned of it."""

    involvement: Involvement
    since: float


class CrashLedger:
    """The known crashes, equal on all hosts except for their ages."""

    def __init__(self):
        # Ordered from the oldest to the newest.
        self._entries: dict[Key, _Entry] = {}
        self._by_request: dict[str, dict[Incarnation, _Entry]] = {}
        # Blamed requests with the crashes that were enough; None if outdated.
        self._blamed: dict[str, int] | None = {}
        self._explained: frozenset[Incarnation] = frozenset()

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: Key) -> bool:
        return key in self._entries

    @property
    def blamed(self) -> frozenset[str]:
        """The fingerprints of requests that are blamed for crashes."""
        return frozenset(self._find_blamed())

    @property
    def explained(self) -> frozenset[Incarnation]:
        """Endpoints whose crashes have another cause than a single request.

        Requests that were there by chance are not blamed for these.
        """
        return self._explained

    @explained.setter
    def explained(self, endpoints: frozenset[Incarnation]) -> None:
        if endpoints != self._explained:
            self._explained = endpoints
            self._blamed = None

    def add_involvement(self, involvement: Involvement, *, now: float) -> None:
        """Adds an involvement unless it is already known."""
        if involvement.key in self._entries:
            return
        entry = _Entry(involvement=involvement, since=now)
        self._entries[involvement.key] = entry
        entries = self._by_request.setdefault(involvement.fingerprint, {})
        entries[involvement.endpoint] = entry
        self._blamed = None

    def drop(self, key: Key) -> None:
        """Drops an involvement if it is known."""
        if self._entries.pop(key, None) is None:
            return
        fingerprint, endpoint = key
        entries = self._by_request[fingerprint]
        del entries[endpoint]
        if not entries:
            del self._by_request[fingerprint]
        self._blamed = None

    def clear(self, fingerprint: str) -> list[Key]:
        """Drops the involvements of a request that has completed.

        Returns:
            The dropped keys.
        """
        keys = [s.key for s in self.involvements(fingerprint)]
        for key in keys:
            self.drop(key)
        return keys

    def expire(self, now: float) -> list[Key]:
        """Drops old and excess involvements and returns their keys."""
        blamed = self._find_blamed()
        old = {
            fingerprint
            for fingerprint in self._by_request
            if now - self._last_crash(fingerprint)
            >= CRASH_TTL_S + self._quarantine_s(fingerprint)
        }
        dropped = [key for key in self._entries if key[0] in old]
        kept = [key for key in self._entries if key[0] not in old]
        excess = len(kept) - MAX_INVOLVEMENTS
        if excess > 0:
            kept.sort(key=lambda key: key[0] in blamed)
            dropped += kept[:excess]
        for key in dropped:
            self.drop(key)
        return dropped

    def involvements(self, fingerprint: str) -> list[Involvement]:
        """Returns the involvements of a request."""
        entries = self._by_request.get(fingerprint, {})
        return [entry.involvement for entry in entries.values()]

    def zones(self, fingerprint: str) -> frozenset[str]:
        """Returns the availability zones of a request's crashes."""
        return frozenset(
            entry.involvement.zone for entry in self._counted(fingerprint)
        )

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request must not be sent to endpoints."""
        return self.left_s(fingerprint, now) > 0

    def left_s(self, fingerprint: str, now: float) -> float:
        """Returns the time left of a request's quarantine, 0 without one."""
        quarantine_s = self._quarantine_s(fingerprint)
        if quarantine_s == 0:
            return 0.0
        return max(0.0, self._last_crash(fingerprint) + quarantine_s - now)

    def _quarantine_s(self, fingerprint: str) -> float:
        """Returns the duration of a request's quarantine, 0 without one."""
        enough = self._find_blamed().get(fingerprint)
        if enough is None:
            return 0.0
        more = len(self._counted(fingerprint)) - enough
        doubled_s = QUARANTINE_S * 2 ** min(more, MAX_DOUBLINGS)
        return min(doubled_s, MAX_QUARANTINE_S)

    def _find_blamed(self) -> dict[str, int]:
        """Returns the blamed requests with the crashes that were enough."""
        if self._blamed is None:
            found = self._select_blamed(self._by_request, MIN_CRASHES)
            by_caller = collections.Counter(map(self._caller, found))
            of_repeated = [
                fingerprint
                for fingerprint in self._by_request
                if by_caller[self._caller(fingerprint)] >= REPEATED_REQUESTS
            ]
            self._blamed = self._select_blamed(
                of_repeated, MIN_CRASHES_REPEATED
            )
            self._blamed |= found
        return self._blamed

    def _select_blamed(
        self, requests: Iterable[str], least: int
    ) -> dict[str, int]:
        found = {}
        for fingerprint in requests:
            crashes = len(self._counted(fingerprint))
            if crashes >= least:
                needed = self._crashes_needed(fingerprint, least)
                if crashes >= needed:
                    found[fingerprint] = needed
        return found

    def _crashes_needed(self, fingerprint: str, least: int) -> int:
        """Returns how many crashes are needed to blame a request."""
        begun = sum(
            entry.involvement.has_begun for entry in self._counted(fingerprint)
        )
        needed = least
        if begun < least - 1:
            needed += 1
        if self._may_be_zone_failure(fingerprint):
            needed += 1
        return needed

    def _may_be_zone_failure(self, fingerprint: str) -> bool:
        """Returns whether a zone's failure may explain a request's crashes."""
        zones = self.zones(fingerprint)
        if len(zones) > 1:
            return False
        entries = self._by_request[fingerprint]
        times = [entry.since for entry in self._counted(fingerprint)]
        first, last = min(times), max(times)
        return any(
            entry.involvement.zone in zones
            and endpoint not in entries
            and first - ZONE_FAILURE_S <= entry.since <= last + ZONE_FAILURE_S
            for (_, endpoint), entry in self._entries.items()
        )

    def _counted(self, fingerprint: str) -> list[_Entry]:
        """Returns the crashes of a request that have no other cause."""
        entries = self._by_request.get(fingerprint, {})
        if not self._explained:
            return list(entries.values())
        return [
            entry
            for endpoint, entry in entries.items()
            if endpoint not in self._explained
        ]

    def _last_crash(self, fingerprint: str) -> float:
        entries = self._by_request[fingerprint].values()
        return max(entry.since for entry in entries)

    def _caller(self, fingerprint: str) -> str:
        entries = self._by_request[fingerprint]
        return next(iter(entries.values())).involvement.caller
