"""Limits how often hosts read a store that fails.

A read of a failing store is a probe. A host sends one probe at a time for all
topics that it follows. In each zone a few hosts probe often; the others leave
it to them, and probe so seldom that together they add a fixed rate per zone.
"""

from collections.abc import Iterable
import enum
import math
import random
from typing import Any

RETRY_S = 0.25
"""Pause after the first failed read. It suffices for a short interruption, and
a host that has loaded nothing keeps to it, as it can't serve before."""

PROBERS = 2
"""Hosts of a zone that probe often. The second one covers the time until a
failure of the first one is noticed."""

PROBE_KEY = "store-probes"
"""Key by which the hosts of a zone are ranked for probing. It is the same for
all topics, as a probe of any topic shows whether the store answers."""

JITTER = (0.5, 1.5)
"""Range of the random factor on pauses, so that hosts that failed together
don't probe together."""

MAX_PAUSE_FRACTION = 1 / 6
"""Fraction of the contact bound up to which pauses double. With the largest
random factor a pause is a quarter of the bound, which leaves another quarter
for whole reads if the store returns in a new epoch."""

MIN_GAP_S = 0.125
"""Least time between the end of a probe and the next one. Pauses count from the
begin of a probe, so that its time limit doesn't delay the next one."""

ZONE_PERIOD_FRACTION = 1 / 8
"""Fraction of the contact bound after which one of a zone's other hosts probes,
on average. It bounds their probes independently of the number of hosts, and
the time in which a zone notices that only its probers are refused."""

MIN_OTHER_FRACTION = 1 / 2
"""Least pause of such a host, as a fraction of the contact bound."""

RETURN_SPREAD_S = 0.2
"""Time over which a host spreads the reads of its topics once the store is
back."""

RETURN_INTERVAL_FRACTION = 1 / 4
"""Fraction of the contact bound for which further news of the store's return
are ignored by a host that failed to read after the last one. Otherwise a host
that the store refuses would probe with each topic that others regain."""

RUNNING_FRACTION = 1 / 2
"""Fraction of the contact bound after which a probe that hasn't ended no longer
prevents others."""

SAME_TOPIC_S = 0.05
"""Additional pause of the topic that was probed last, so that a topic which
alone can't be read leaves the next probe to another one."""


class Pace(enum.Enum):
    """How often a host probes for a topic.

    Attributes:
        FIRST: At a constant short pause: the host has loaded nothing.
        PROBER: With pauses that double up to a part of the contact bound.
        OTHER: Seldom: other hosts of the zone probe.
    """

    FIRST = "first"
    PROBER = "prober"
    OTHER = "other"


class ProbeSchedule:
    """When a host may read the store, for all topics that it follows."""

    def __init__(self, *, contact_s: float, rng: random.Random):
        """Makes a schedule of a store that answers.

        Args:
            contact_s: Time in seconds after the store's return until all hosts
                have current records; the schedule uses half of it.
            rng: Random number generator.
        """
        self._contact_s = contact_s
        self._rng = rng
        self._failures = 0
        self._began_at = self._ended_at = -math.inf
        self._jitter = 1.0
        self._other_due_at: float | None = None
        self._probe: str | None = None
        self._last_topic: str | None = None
        # When reads began that have not ended.
        self._running: dict[str, float] = {}
        self._not_before: dict[str, float] = {}
        self._heard_at = -math.inf
        # Topics that are read by this host whatever others relay.
        self._released: set[str] = set()
        self._left: set[str] = set()

    @property
    def is_failing(self) -> bool:
        """Whether the last read failed."""
        return self._failures > 0

    @property
    def failures(self) -> int:
        """Number of consecutive failed reads."""
        return self._failures

    @property
    def leaves_probing(self) -> bool:
        """Whether this host leaves the probes of a topic to others."""
        return bool(self._left)

    def dump(self, now: float) -> dict[str, Any]:
        """Returns the state, with times relative to now in seconds."""
        due_at = self._other_due_at
        return {
            "failures": self._failures,
            "probe": self._probe,
            "last_failed_s": now - self._ended_at if self.is_failing else None,
            "other_due_in_s": None if due_at is None else due_at - now,
            "left_to_others": sorted(self._left),
        }

    def delay_s(
        self, topic: str, pace: Pace, *, hosts: int, is_stale: bool, now: float
    ) -> float:
        """Returns the seconds until a topic may be read; 0 for now.

        Args:
            topic: The topic's name.
            pace: How often this host probes for it.
            hosts: Number of hosts in the zone.
            is_stale: Whether another host relays records that are too old, so
                that it fails to read the store.
            now: The current time in seconds.
        """
        leaves_to_others = is_stale and pace is Pace.OTHER
        if not self.is_failing and not (
            leaves_to_others and topic not in self._released
        ):
            return max(0.0, self._not_before.get(topic, now) - now)
        if self._is_probing(now):
            return RETRY_S
        delay_s = max(0.0, self._due_at(pace, hosts=hosts, now=now) - now)
        if pace is Pace.OTHER and delay_s > 0:
            self._left.add(topic)
        if self.is_failing and topic == self._last_topic:
            return max(0.0, delay_s + self._same_topic_s(now, delay_s))
        return delay_s

    def begin(self, topic: str, *, is_stale: bool, now: float) -> bool:
        """Notes that a read begins; returns whether it is a probe.

        Args:
            topic: The topic's name.
            is_stale: Whether another host relays records that are too old.
            now: The current time in seconds.
        """
        self._running[topic] = now
        self._released.discard(topic)
        if not self.is_failing and not is_stale:
            return False
        self._probe = self._last_topic = topic
        return True

    def cancel(self, topic: str) -> None:
        """Notes that a read ended without a result."""
        self._running.pop(topic, None)
        if self._probe == topic:
            self._probe = None

    def fail(self, topic: str, *, hosts: int, now: float) -> None:
        """Notes that a read failed.

        Args:
            topic: The topic's name.
            hosts: Number of hosts in the zone.
            now: The current time in seconds.
        """
        began_at = self._running.get(topic, now)
        self.cancel(topic)
        # Reads that were under way together fail for the same reason, and one
        # from before the store's return says nothing about the time after it.
        if began_at < (self._ended_at if self.is_failing else self._heard_at):
            return
        self._failures += 1
        self._began_at, self._ended_at = began_at, now
        self._last_topic = topic
        self._jitter = self._rng.uniform(*JITTER)
        self._other_due_at = now + max(
            MIN_OTHER_FRACTION * self._contact_s,
            self._other_period_s(hosts) * self._rng.uniform(*JITTER),
        )

    def succeed(self, topic: str, now: float) -> bool:
        """Notes that a read succeeded; returns whether the store had failed.

        It had failed, too, if this host left the probes to others.
        """
        self.cancel(topic)
        if not self.is_failing and not self._left:
            return False
        self._end_failure(now)
        return True

    def hear_return(self, now: float) -> bool:
        """Notes that another host has read the store.

        Returns whether this host may read the store again.
        """
        interval_s = RETURN_INTERVAL_FRACTION * self._contact_s
        if now - self._heard_at < interval_s and self.is_failing:
            return False
        self._heard_at = now
        if self.is_failing:
            self._end_failure(now)
        return True

    def hear_fresh(self, topic: str) -> None:
        """Notes that another host relays fresh records of a topic."""
        self._released.discard(topic)
        self._left.discard(topic)

    def draw_return_delay(
        self, topic: str, now: float, *, is_own: bool
    ) -> None:
        """Delays the next read of a topic at random after the return.

        Args:
            topic: The topic's name.
            now: The current time in seconds.
            is_own: Whether this host has read the store, and not another one;
                it then reads the topic even if others relay it.
        """
        delay_s = self._rng.uniform(0.0, RETURN_SPREAD_S)
        self._not_before[topic] = now + delay_s
        if is_own:
            self._released.add(topic)

    def _end_failure(self, now: float) -> None:
        self._failures = 0
        self._other_due_at = self._probe = None
        self._left.clear()
        self._released.clear()

    def _is_probing(self, now: float) -> bool:
        if self._probe is None:
            return False
        began_at = self._running.get(self._probe, -math.inf)
        return now - began_at < RUNNING_FRACTION * self._contact_s

    def _same_topic_s(self, now: float, delay_s: float) -> float:
        """Returns how much later the topic that was probed last is due."""
        if delay_s > 0:
            return SAME_TOPIC_S
        due_at = self._ended_at + MIN_GAP_S + SAME_TOPIC_S
        return max(0.0, due_at - now)

    def _due_at(self, pace: Pace, *, hosts: int, now: float) -> float:
        if pace is Pace.OTHER:
            return self._find_other_due_at(hosts, now)
        pause_s = RETRY_S
        if pace is Pace.PROBER:
            pause_s = min(
                RETRY_S * 2.0 ** min(self._failures - 1, 16),
                MAX_PAUSE_FRACTION * self._contact_s,
            )
        return max(
            self._ended_at + MIN_GAP_S, self._began_at + pause_s * self._jitter
        )

    def _find_other_due_at(self, hosts: int, now: float) -> float:
        due_at = self._other_due_at
        # A time that passed while records were relayed is not used, or all
        # hosts of a zone would probe as soon as its source fails again.
        is_old = due_at is not None and (
            not self.is_failing
            and now - due_at > MIN_OTHER_FRACTION * self._contact_s
        )
        if due_at is None or is_old:
            due_at = now + self._rng.uniform(0, self._other_period_s(hosts))
            self._other_due_at = due_at
        return due_at

    def _other_period_s(self, hosts: int) -> float:
        others = max(0, hosts - PROBERS)
        return self._contact_s * max(
            MIN_OTHER_FRACTION, others * ZONE_PERIOD_FRACTION
        )


class SourceTurns:
    """Which host is queried while the usual source has only old records.

    The turns go over the usual source, the host that last had fresh records,
    and the hosts that probe.
    """

    def __init__(self, *, hold_s: float):
        """Makes an instance that queries the usual source.

        Args:
            hold_s: Time in seconds after which it is queried again.
        """
        self._hold_s = hold_s
        self._turn = 0
        self._since = 0.0
        self._last_fresh: str | None = None

    def pick(
        self, usual: str | None, probers: Iterable[str], now: float
    ) -> str | None:
        """Returns the host to query, or None if there is none.

        Args:
            usual: The usual source, or None.
            probers: The other hosts of the zone that probe.
            now: The current time in seconds.
        """
        if self._turn and now - self._since >= self._hold_s:
            self._turn = 0
        names = [usual, self._last_fresh, *probers]
        found = list(dict.fromkeys(n for n in names if n is not None))
        return found[self._turn % len(found)] if found else None

    def skip(self, now: float) -> None:
        """Takes the next turn, as a host had only old records or none."""
        if not self._turn:
            self._since = now
        self._turn += 1

    def prefer(self, name: str, now: float) -> None:
        """Queries a host next, as it states that it has fresh records."""
        self._last_fresh = name
        self._turn, self._since = 1, now

    def keep(self, name: str, usual: str | None) -> None:
        """Queries the same host again, as it had fresh records."""
        self._last_fresh = name
        self._turn = 0 if name == usual else 1

    def drop(self, name: str) -> None:
        """Forgets a host that doesn't reply."""
        if self._last_fresh == name:
            self._last_fresh = None
