"""Knows which prompt parts crash endpoints, and which are sound.

The ledger holds, for all hosts, which parts were in requests at endpoints that
crashed. `partblame` decides which of them are to blame. Prompts with these are
quarantined: they are not sent to endpoints any more.

A complete answer that began after a part's first crash shows that the part is
sound at the software that wrote it, for good. Prefills, errors, refusals and
streams that their callers left show nothing, and neither do answers that began
before: a part may have become harmful since.

While a part is quarantined nothing more is learned of it. So a quarantine is
also given up where other parts turn out to explain its crashes, and single
requests try it again, few of them and ever later, as each may cost an endpoint.
"""

from collections.abc import Collection
from collections.abc import Iterable
import hashlib
import math

import attrs

from bulrushgrade import partblame

KEY_BYTES = 8
"""Long enough that no caller can find a part with the same key as another."""

REQUEST_BYTES = 4
RUNTIME_BYTES = 4

CRASH_TTL_S = 600.0
"""How long the crashes of a part count after the last of them."""

UNUSED_TTL_S = 7200.0
"""How long a quarantine is kept after the last request that it refused."""

TRIAL_DELAYS_S = (600.0, 3600.0)
"""Time from the last crash until a request tries a quarantined part again, by
the number of crashes after such a time. After these it isn't tried again."""

TRIAL_LIMIT_S = 60.0
"""Time after which a trial that showed nothing may be repeated."""

MAX_CRASHES = 8192
"""Maximum number of retained part crashes, so that no failure and no caller can
exhaust the memory of the hosts. Parts at one crash are dropped first."""

MAX_REQUESTS = 8
"""Maximum number of requests retained of a part at a crash."""

MAX_SOUND = 8192
MAX_COMPLETED = 4096

Key = tuple[bytes, partblame.Incarnation]
"""A part's key and the endpoint that crashed."""


def make_part_key(*, scope: str, part: str) -> bytes:
    """Returns the key of a prompt part.

    Args:
        scope: What the part's id counts within: a model or a service.
        part: The part's id.
    """
    return _digest(KEY_BYTES, scope, part)


def make_runtime(*, service: str, software: str) -> bytes:
    """Returns what identifies a version of the software of a service."""
    return _digest(RUNTIME_BYTES, service, software)


def _digest(size: int, *texts: str) -> bytes:
    digest = hashlib.blake2b(digest_size=size)
    for text in texts:
        encoded = text.encode()
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    return digest.digest()


@attrs.define(kw_only=True)
class _Trial:
    """A request that tries a quarantined part again.

    Attributes:
        began_at: When it was let through.
        last_crash_at: The part's last crash before that.
    """

    began_at: float
    last_crash_at: float


class PartLedger:
    """The known crashes of prompt parts, equal on all hosts but for ages."""

    def __init__(self):
        self._crashes: dict[
            bytes, dict[partblame.Incarnation, partblame.PartCrash]
        ] = {}
        # When each of these parts was at its first crash.
        self._first_at: dict[bytes, float] = {}
        self._count = 0
        self._sites: dict[partblame.Incarnation, partblame.CrashSite] = {}
        # Parts with the runtime at which they are known to be sound; ordered.
        self._sound: dict[tuple[bytes, bytes], None] = {}
        self._sound_parts: dict[bytes, set[bytes]] = {}
        # When the last complete answer on a part began, by part and runtime.
        self._completed: dict[tuple[bytes, bytes], float] = {}
        self._blames: tuple[partblame.Blame, ...] | None = ()
        # When a request with these parts was last refused.
        self._refused_at: dict[frozenset[bytes], float] = {}
        self._trials: dict[frozenset[bytes], _Trial] = {}

    def __len__(self) -> int:
        return self._count

    def __contains__(self, key: Key) -> bool:
        part, endpoint = key
        return endpoint in self._crashes.get(part, {})

    @property
    def blames(self) -> tuple[partblame.Blame, ...]:
        """The quarantined parts and the crashes that they are blamed for."""
        if self._blames is None:
            self._blames = partblame.find_blames(self._crashes, self._sites)
        return self._blames

    @property
    def explained(self) -> frozenset[partblame.Incarnation]:
        """The endpoints whose crashes quarantined parts explain."""
        return frozenset().union(*(blame.endpoints for blame in self.blames))

    def is_suspect(self, part: bytes) -> bool:
        """Returns whether a part was at crashes and is not known as sound."""
        return part in self._crashes

    @property
    def sites(self) -> partblame.Sites:
        """The endpoints that crashed with any prompt."""
        return self._sites

    def crashes(self, part: bytes) -> Collection[partblame.PartCrash]:
        """Returns the crashes of a part."""
        return self._crashes.get(part, {}).values()

    def find_crash(
        self, part: bytes, endpoint: partblame.Incarnation
    ) -> partblame.PartCrash | None:
        """Returns a part's crash at an endpoint, None if it is not known."""
        return self._crashes.get(part, {}).get(endpoint)

    def repeated(self) -> list[bytes]:
        """Returns the parts with several crashes, which may become harmful."""
        return [
            part for part, crashes in self._crashes.items() if len(crashes) > 1
        ]

    def count_independent(self, part: bytes) -> int:
        """Returns how many crashes of a part don't share a cause."""
        return partblame.count_independent(self.crashes(part), self._sites)

    def observe_site(
        self, endpoint: partblame.Incarnation, site: partblame.CrashSite
    ) -> bool:
        """Takes in that an endpoint crashed; returns whether it is news."""
        known = self._sites.get(endpoint)
        if known is not None and known.crashed_at <= site.crashed_at:
            return False
        self._sites[endpoint] = site
        self._blames = None
        return known is None

    def observe_crash(
        self, crash: partblame.PartCrash, *, known_at: float = math.inf
    ) -> bool:
        """Takes in a part at a crash; returns whether it is news.

        Args:
            crash: The part and the crash.
            known_at: When the crash was known at the latest, if its own time
                is not certain.
        """
        site = partblame.CrashSite(zone=crash.zone, crashed_at=crash.crashed_at)
        self.observe_site(crash.endpoint, site)
        if (crash.part, crash.runtime) in self._sound:
            return False
        completed_at = self._completed.get((crash.part, crash.runtime))
        if completed_at is not None and completed_at > crash.crashed_at:
            self._add_sound(crash.part, crash.runtime)
            return False
        crashes = self._crashes.setdefault(crash.part, {})
        known = crashes.get(crash.endpoint)
        merged = crash if known is None else known.merge(crash)
        if len(merged.requests) > MAX_REQUESTS:
            kept = frozenset(sorted(merged.requests)[:MAX_REQUESTS])
            merged = attrs.evolve(merged, requests=kept)
        if known is None:
            self._count += 1
        elif (merged.has_begun, merged.requests) == (
            known.has_begun,
            known.requests,
        ):
            return False
        crashes[crash.endpoint] = merged
        first_at = min(merged.crashed_at, known_at)
        self._first_at[crash.part] = min(
            first_at, self._first_at.get(crash.part, math.inf)
        )
        self._blames = None
        return True

    def observe_completion(
        self, part: bytes, runtime: bytes, *, began_at: float
    ) -> bool:
        """Takes in a complete answer; returns whether it shows a part sound.

        Args:
            part: A part of its prompt.
            runtime: What wrote it.
            began_at: When it began.
        """
        key = (part, runtime)
        if key in self._sound:
            return False
        self._completed.pop(key, None)
        self._completed[key] = began_at
        if len(self._completed) > MAX_COMPLETED:
            del self._completed[next(iter(self._completed))]
        if not self.is_suspect(part) or began_at <= self._first_at[part]:
            return False
        self._add_sound(part, runtime)
        return True

    def add_sound(self, part: bytes, runtime: bytes) -> bool:
        """Takes in that a part is sound; returns whether it is news."""
        if (part, runtime) in self._sound:
            return False
        self._add_sound(part, runtime)
        return True

    def drop(self, key: Key) -> None:
        """Drops a part's crash if it is known."""
        part, endpoint = key
        crashes = self._crashes.get(part, {})
        if crashes.pop(endpoint, None) is None:
            return
        self._count -= 1
        self._blames = None
        if not crashes:
            del self._crashes[part]
            del self._first_at[part]

    def is_quarantined(self, parts: Collection[bytes]) -> bool:
        """Returns whether a prompt with these parts is quarantined anywhere."""
        return any(blame.parts <= set(parts) for blame in self.blames)

    def find_blame(
        self, parts: Collection[bytes], runtime: bytes | None = None
    ) -> partblame.Blame | None:
        """Returns why a prompt with these parts is quarantined, or None.

        Args:
            parts: The keys of its shared parts.
            runtime: What it would be sent to; None to ask whether it is
                quarantined everywhere.
        """
        for blame in self.blames:
            if not blame.parts <= set(parts):
                continue
            sound_at = self._find_sound_runtimes(blame)
            is_sound = sound_at if runtime is None else runtime in sound_at
            if not is_sound:
                return blame
        return None

    def count_suspicions(self, parts: Iterable[bytes]) -> int:
        """Returns the highest number of crashes of a part of a prompt.

        Crashes that quarantined parts explain don't count for other parts.
        """
        explained = self.explained
        return max(
            (
                partblame.count_independent(
                    (
                        crash
                        for crash in self.crashes(part)
                        if crash.endpoint not in explained
                        or self._is_blamed_for(part, crash.endpoint)
                    ),
                    self._sites,
                )
                for part in parts
            ),
            default=0,
        )

    def left_s(self, blame: partblame.Blame, now: float) -> float:
        """Returns the time until a quarantine may be tried again."""
        delay_s = self._trial_delay_s(blame)
        if delay_s is None:
            return UNUSED_TTL_S
        left_s = blame.last_at + delay_s - now
        trial = self._trials.get(blame.parts)
        if trial is not None:
            left_s = max(left_s, trial.began_at + TRIAL_LIMIT_S - now)
        return max(0.0, left_s)

    def begin_trial(self, blame: partblame.Blame, now: float) -> bool:
        """Lets one request try quarantined parts if that is due."""
        if self.left_s(blame, now) > 0:
            return False
        self._trials[blame.parts] = _Trial(
            began_at=now, last_crash_at=blame.last_at
        )
        return True

    def note_refusal(self, blame: partblame.Blame, now: float) -> None:
        """Records that a request was refused, which keeps the quarantine."""
        self._refused_at[blame.parts] = now

    def expire(self, now: float) -> list[Key]:
        """Drops old and excess crashes and returns their keys."""
        blamed_parts = self._quarantined_parts()
        dropped = [
            (part, endpoint)
            for part, crashes in self._crashes.items()
            if now - self._last_use(part, blamed_parts)
            >= (UNUSED_TTL_S if part in blamed_parts else CRASH_TTL_S)
            for endpoint in crashes
        ]
        for key in dropped:
            self.drop(key)
        excess = self._count - MAX_CRASHES
        if excess > 0:
            extra = self._select_excess(excess)
            for key in extra:
                self.drop(key)
            dropped += extra
        for endpoint, site in list(self._sites.items()):
            if now - site.crashed_at >= CRASH_TTL_S:
                del self._sites[endpoint]
        quarantined = {blame.parts for blame in self.blames}
        for known in (self._refused_at, self._trials):
            for parts in known.keys() - quarantined:
                del known[parts]
        return dropped

    def _add_sound(self, part: bytes, runtime: bytes) -> None:
        self._sound[(part, runtime)] = None
        self._sound_parts.setdefault(part, set()).add(runtime)
        if len(self._sound) > MAX_SOUND:
            old_part, old_runtime = next(iter(self._sound))
            del self._sound[(old_part, old_runtime)]
            self._sound_parts[old_part].discard(old_runtime)
            if not self._sound_parts[old_part]:
                del self._sound_parts[old_part]
        for crash in list(self.crashes(part)):
            if crash.runtime == runtime:
                self.drop((part, crash.endpoint))

    def _find_sound_runtimes(self, blame: partblame.Blame) -> set[bytes]:
        """Returns the runtimes at which each of several parts is sound."""
        return set.intersection(
            *(self._sound_parts.get(part, set()) for part in blame.parts)
        )

    def _is_blamed_for(
        self, part: bytes, endpoint: partblame.Incarnation
    ) -> bool:
        return any(
            part in blame.parts and endpoint in blame.endpoints
            for blame in self.blames
        )

    def _trial_delay_s(self, blame: partblame.Blame) -> float | None:
        """Returns the time from the last crash until the next trial."""
        times = sorted(
            crash.crashed_at
            for part in blame.parts
            for crash in self.crashes(part)
            if crash.endpoint in blame.endpoints
        )
        gaps = [
            after - before
            for before, after in zip(times, times[1:], strict=False)
        ]
        trials = sum(gap >= TRIAL_DELAYS_S[0] for gap in gaps)
        if trials >= len(TRIAL_DELAYS_S):
            return None
        return TRIAL_DELAYS_S[trials]

    def _quarantined_parts(self) -> dict[bytes, frozenset[bytes]]:
        return {
            part: blame.parts for blame in self.blames for part in blame.parts
        }

    def _last_use(
        self, part: bytes, quarantined: dict[bytes, frozenset[bytes]]
    ) -> float:
        last_at = max(crash.crashed_at for crash in self.crashes(part))
        parts = quarantined.get(part)
        if parts is None:
            return last_at
        return max(last_at, self._refused_at.get(parts, last_at))

    def _select_excess(self, count: int) -> list[Key]:
        """Returns the crashes that are worth least, of the oldest parts."""
        quarantined = self._quarantined_parts()

        def rank(part: bytes) -> tuple[bool, int, float]:
            crashes = self.crashes(part)
            last_at = max(crash.crashed_at for crash in crashes)
            return (part in quarantined, len(crashes), last_at)

        found: list[Key] = []
        for part in sorted(self._crashes, key=rank):
            if len(found) >= count:
                break
            found += [(part, endpoint) for endpoint in self._crashes[part]]
        return found
