"""Decides which prompt parts are to blame for crashes of endpoints.

A prompt part may crash each endpoint that begins to write an answer on it,
whatever else the prompt holds. Such requests have nothing else in common, and
sound requests share their other parts and run beside them on the endpoints that
crash.

A part is blamed for crashes if it was at several of them, in several requests,
and no answer on it has been completed since; parts that were completed are not
evidence any more when the functions of this module are called.

- Endpoints that end together say as much as one of them: a crash counts if a
  request with the part was sent after the crash that was counted before. A
  zone that fails, or all endpoints of a service, are one crash, and none for a
  part that was not at all of them.
- While many endpoints crash, some parts are at several crashes by chance. A
  part that explains few of the crashes in its time needs more of them.
- Parts that are at the same crashes as the blamed one are explained by it: the
  first part of all prompts, or the parts of a request that was moved from one
  crash to the next.
- Where several parts were at all crashes that one of them caused, a prompt is
  harmful for certain if it has all of them. The next crash, or completed
  answer, tells them apart.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Mapping
import math

import attrs

MIN_CRASHES = 3
"""Number of crashes after which a part is blamed. Requests that are moved
together from one endpoint to the next can't be told apart by fewer."""

MIN_REQUESTS = 2
"""Number of different requests with the part at these crashes. What is at
crashes in one request alone is that request's fault, if anything."""

ZONE_FAILURE_S = 2.0
"""Time before and after the crashes of a part within which crashes of other
endpoints in the same zone count as part of the same failure."""

CHANCE = 1 / 20
"""Probability that a rare part is at a crash by chance."""

SURVIVAL_S = 0.2
"""Time for which endpoints may be at work on a harmful part until they crash.
Shorter times tell parts apart the less."""

SAME_FAILURE_S = 0.05
"""Time within which the processes of one failure end. A harmful prompt ends one
endpoint at a time."""

SAME_FAILURE_WEIGHT = 0.5
"""How much such a crash counts. It is not ignored, since several harmful
prompts may end their endpoints at the same time."""

MIN_EXPLAINED_SHARES = (1 / 5, 1 / 10)
"""Shares of the crashes between a part's first and last one. A part that was at
fewer needs one more crash for each of them."""

Incarnation = tuple[str, int]


@attrs.frozen(kw_only=True)
class CrashSite:
    """An endpoint that crashed with any request.

    Attributes:
        zone: Its availability zone.
        crashed_at: When the crash was first noticed.
    """

    zone: str
    crashed_at: float


Sites = Mapping[Incarnation, CrashSite]
"""All endpoints that are known to have crashed."""


@attrs.frozen(kw_only=True)
class PartCrash:
    """A prompt part that was in requests at an endpoint when it crashed.

    Attributes:
        part: The part's key.
        endpoint: The endpoint's incarnation.
        runtime: Identifies the service and the software of the endpoint.
        zone: The endpoint's availability zone.
        has_begun: Whether the answer to one of the requests had begun.
            Otherwise they may still have been queued.
        first_at: When the first of the answers began; if none had, when the
            first of the requests was sent.
        last_at: The same of the last one.
        crashed_at: When the crash was first noticed.
        requests: Identify the requests.
    """

    part: bytes
    endpoint: Incarnation
    runtime: bytes
    zone: str
    has_begun: bool
    first_at: float
    last_at: float
    crashed_at: float
    requests: frozenset[bytes]

    def merge(self, other: "PartCrash") -> "PartCrash":
        """Returns what two hosts know of the same part at the same crash."""
        first_at = min(self.first_at, other.first_at)
        last_at = max(self.last_at, other.last_at)
        if self.has_begun != other.has_begun:
            begun = self if self.has_begun else other
            first_at, last_at = begun.first_at, begun.last_at
        return attrs.evolve(
            self,
            has_begun=self.has_begun or other.has_begun,
            first_at=first_at,
            last_at=last_at,
            crashed_at=min(self.crashed_at, other.crashed_at),
            requests=self.requests | other.requests,
        )

    @property
    def survived_s(self) -> float:
        """How long the endpoint had been at work on the part."""
        return max(0.0, self.crashed_at - self.first_at)


@attrs.frozen(kw_only=True)
class Blame:
    """Prompt parts one of which caused crashes.

    Attributes:
        parts: The parts' keys; prompts with all of them are harmful.
        endpoints: The endpoints that crashed.
        crashes: Number of crashes.
        requests: Number of requests with the parts at these crashes.
        last_at: When the last of the crashes was noticed.
    """

    parts: frozenset[bytes]
    endpoints: frozenset[Incarnation]
    crashes: int
    requests: int
    last_at: float


Evidence = Mapping[bytes, Mapping[Incarnation, PartCrash]]
"""The crashes of each part that is not known to be sound."""


def count_independent(crashes: Iterable[PartCrash], sites: Sites) -> float:
    """Returns how many crashes of a part don't share a cause with another.

    A crash counts half if an endpoint without the part crashed with it.
    """
    known = list(crashes)
    return _count(_select_independent(known), known, _sort_by_time(sites))


def find_blames(evidence: Evidence, sites: Sites) -> tuple[Blame, ...]:
    """Returns which parts are to blame, most certain first."""
    crashes_by_part = {
        part: list(crashes.values())
        for part, crashes in evidence.items()
        if len(crashes) >= MIN_CRASHES
    }
    times = _sort_by_time(sites)
    explained: set[Incarnation] = set()
    found: list[Blame] = []
    while True:
        candidates = {}
        for part, crashes in crashes_by_part.items():
            left = [c for c in crashes if c.endpoint not in explained]
            counted = _select_independent(left)
            if _is_enough(left, counted, sites, times):
                candidates[part] = counted
        if not candidates:
            return tuple(found)
        part = max(candidates, key=lambda p: (_weigh(candidates[p]), p))
        blame = _make_blame(part, crashes_by_part)
        found.append(blame)
        explained |= blame.endpoints


def _weigh(counted: list[PartCrash]) -> float:
    """Returns how likely a part is the cause of its crashes, as a logarithm.

    An endpoint ends soon after it has begun the first answer on a harmful part.
    A part on which each endpoint wrote many answers, or for long, is only
    frequent.
    """
    return sum(
        -math.log(CHANCE)
        - math.log(max(1, len(crash.requests)))
        - math.log1p(crash.survived_s / SURVIVAL_S)
        for crash in counted
    )


def _make_blame(
    part: bytes,
    crashes_by_part: Mapping[bytes, list[PartCrash]],
) -> Blame:
    crashes = _drop_queued(crashes_by_part[part])
    others = [
        other
        for other, at in crashes_by_part.items()
        if _are_always_together(crashes, at)
    ]
    return Blame(
        parts=frozenset(others),
        endpoints=frozenset(crash.endpoint for crash in crashes),
        crashes=len(crashes),
        requests=len(frozenset().union(*(c.requests for c in crashes))),
        last_at=max(crash.crashed_at for crash in crashes),
    )


def _are_always_together(
    crashes: list[PartCrash], others: list[PartCrash]
) -> bool:
    """Returns whether a request at each crash had another part as well."""
    requests = {crash.endpoint: crash.requests for crash in others}
    return not any(
        crash.requests.isdisjoint(requests.get(crash.endpoint, ()))
        for crash in crashes
    )


def _drop_queued(crashes: list[PartCrash]) -> list[PartCrash]:
    """Drops crashes at which no answer on a part had begun, if others remain.

    There the part was beside another one that caused the crash.
    """
    begun = [crash for crash in crashes if crash.has_begun]
    return begun if len(begun) >= MIN_CRASHES else crashes


def _select_independent(crashes: list[PartCrash]) -> list[PartCrash]:
    found: list[PartCrash] = []
    last_at = -math.inf
    for crash in sorted(crashes, key=lambda crash: crash.crashed_at):
        is_apart = crash.crashed_at - last_at >= SAME_FAILURE_S
        if is_apart and crash.last_at >= last_at:
            found.append(crash)
            last_at = crash.crashed_at
    return found


def _sort_by_time(sites: Sites) -> list[tuple[float, Incarnation]]:
    return sorted(
        (site.crashed_at, endpoint) for endpoint, site in sites.items()
    )


def _count(
    counted: list[PartCrash],
    crashes: list[PartCrash],
    times: list[tuple[float, Incarnation]],
) -> float:
    endpoints = {crash.endpoint for crash in crashes}
    single = sum(_is_single(crash, endpoints, times) for crash in counted)
    return single + (len(counted) - single) * SAME_FAILURE_WEIGHT


def _is_single(
    crash: PartCrash,
    endpoints: set[Incarnation],
    times: list[tuple[float, Incarnation]],
) -> bool:
    """Returns whether no endpoint without the part crashed at the same time."""
    begin = bisect.bisect_left(times, (crash.crashed_at - SAME_FAILURE_S,))
    for index in range(begin, len(times)):
        crashed_at, endpoint = times[index]
        if crashed_at > crash.crashed_at + SAME_FAILURE_S:
            return True
        if endpoint not in endpoints:
            return False
    return True


def _is_enough(
    crashes: list[PartCrash],
    counted: list[PartCrash],
    sites: Sites,
    times: list[tuple[float, Incarnation]],
) -> bool:
    """Returns whether crashes are enough to blame their part."""
    count = _count(counted, crashes, times)
    if count < MIN_CRASHES:
        return False
    requests = frozenset().union(*(crash.requests for crash in counted))
    if len(requests) < MIN_REQUESTS:
        return False
    needed = MIN_CRASHES
    if sum(crash.has_begun for crash in counted) < MIN_CRASHES - 1:
        needed += 1
    if _may_be_zone_failure(crashes, sites):
        needed += 1
    share = _explained_share(crashes, sites)
    needed += sum(share < least for least in MIN_EXPLAINED_SHARES)
    return count >= needed


def _explained_share(crashes: list[PartCrash], sites: Sites) -> float:
    """Returns the share of a part in the crashes of its time."""
    first_at = min(crash.crashed_at for crash in crashes)
    last_at = max(crash.crashed_at for crash in crashes)
    in_time = sum(
        first_at <= site.crashed_at <= last_at for site in sites.values()
    )
    return len(crashes) / max(in_time, len(crashes))


def _may_be_zone_failure(crashes: list[PartCrash], sites: Sites) -> bool:
    """Returns whether a zone's failure may explain a part's crashes."""
    zones = {crash.zone for crash in crashes}
    if len(zones) > 1:
        return False
    endpoints = {crash.endpoint for crash in crashes}
    first_at = min(crash.crashed_at for crash in crashes) - ZONE_FAILURE_S
    last_at = max(crash.crashed_at for crash in crashes) + ZONE_FAILURE_S
    return any(
        site.zone in zones
        and endpoint not in endpoints
        and first_at <= site.crashed_at <= last_at
        for endpoint, site in sites.items()
    )
