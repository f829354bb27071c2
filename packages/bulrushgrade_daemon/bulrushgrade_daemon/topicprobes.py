"""Connects the follower of a topic with the schedule of its host's probes.

With the feature off there is no schedule, and every read may begin at once.
"""

from collections.abc import Callable
import random
from typing import Any

from bulrushgrade import storeprobes
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import recordsources
from bulrushgrade_daemon import reloadschedule
from bulrushgrade_daemon import sharedtopic

RELOAD_FRACTION = 1 / 8
"""Fraction of the contact bound over which whole reads are spread at most. It
is half of what the pauses between probes leave of half the bound."""


MIN_LOGGED_S = 0.2
"""Time after which it is logged that probes are left to others. Single replies
that are too old are usual while the store answers."""


class HostProbes:
    """The schedule of one host, and the followers that it wakes."""

    def __init__(
        self,
        *,
        contact_s: float,
        own_name: str,
        rank_hosts: Callable[[str], list[str]],
        timers: Any,
        rng: random.Random,
        log: decisionlog.DecisionLog,
    ):
        """Makes an instance without topics.

        Args:
            contact_s: Time in seconds after which all hosts have current
                records, see `gatewaysettings.Bounds`.
            own_name: This daemon's name among its peers.
            rank_hosts: Returns the present daemons of this zone by rank for a
                key.
            timers: The timer service.
            rng: Random number generator.
            log: Logs when this host begins and ends to leave probes to others.
        """
        self.schedule = storeprobes.ProbeSchedule(contact_s=contact_s, rng=rng)
        self.contact_s = contact_s
        self._own_name = own_name
        self._rank_hosts = rank_hosts
        self._timers = timers
        self._log = log
        self._left_at: float | None = None
        self._is_logged = False
        self._wakeups: dict[str, Callable[[], None]] = {}

    @property
    def now(self) -> float:
        """The current time in seconds."""
        return self._timers.now

    @property
    def probers(self) -> list[str]:
        """The hosts of the zone that probe often."""
        return self._rank_hosts(storeprobes.PROBE_KEY)[: storeprobes.PROBERS]

    @property
    def is_prober(self) -> bool:
        """Whether this host is one of them."""
        return self._own_name in self.probers

    @property
    def zone_hosts(self) -> int:
        """Number of present hosts of the zone."""
        return len(self._rank_hosts(storeprobes.PROBE_KEY))

    def as_sources(self) -> recordsources.Probers:
        """Returns the probers as sources of records."""
        return recordsources.Probers(
            find=lambda: self.probers, hold_s=self.contact_s
        )

    def subscribe(self, topic: str, wake: Callable[[], None]) -> None:
        """Adds a follower that is woken when the store is back."""
        self._wakeups[topic] = wake

    def wake(self, *, is_own: bool) -> None:
        """Lets all topics be read, at random times close to each other.

        Args:
            is_own: Whether this host has read the store, and not another one.
        """
        for topic in self._wakeups:
            self.schedule.draw_return_delay(topic, self.now, is_own=is_own)
        for wake in list(self._wakeups.values()):
            wake()

    def log_change(self) -> None:
        """Logs it if this host begins or ends to leave probes to others."""
        if not self.schedule.leaves_probing:
            if self._is_logged:
                after_s = round(self.now - self._left_at, 3)
                self._log.note("store_probes_resumed", after_s=after_s)
            self._left_at, self._is_logged = None, False
            return
        if self._left_at is None:
            self._left_at = self.now
        if self._is_logged or self.now - self._left_at < MIN_LOGGED_S:
            return
        self._is_logged = True
        self._log.note(
            "store_probes_left",
            probers=self.probers,
            zone_hosts=self.zone_hosts,
            failures=self.schedule.failures,
        )


class TopicProbes:
    """Decides when the follower of one topic may read the store."""

    def __init__(
        self,
        *,
        topic: str,
        shared: sharedtopic.SharedTopic,
        host: HostProbes | None,
    ):
        """Makes an instance.

        Args:
            topic: The topic's name among the hosts.
            shared: Exchanges its records with other hosts.
            host: The schedule of this host, or None if reads aren't limited.
        """
        self._topic = topic
        self._shared = shared
        self._host = host
        self._sent = 0
        self._left = 0

    @property
    def is_failing(self) -> bool:
        """Whether reads are limited because the store failed."""
        return self._host is not None and self._host.schedule.is_failing

    @property
    def is_limiting(self) -> bool:
        """Whether reads of a store that fails are limited at all."""
        return self._host is not None

    @property
    def reads_first(self) -> bool:
        """Whether this host reads before the others after a return."""
        return self._host is not None and self._host.is_prober

    @property
    def counts(self) -> dict[str, int]:
        """Counts of probes sent and left to others, if reads are limited."""
        if self._host is None:
            return {}
        return {"probes": self._sent, "probes_left": self._left}

    def dump(self) -> dict[str, Any]:
        """Returns the state of the schedule, if there is one."""
        if self._host is None:
            return {}
        return {"probes": self._host.schedule.dump(self._host.now)}

    def limit_spread(self, max_age_s: float) -> float:
        """Returns the age from which the spread of whole reads follows."""
        if self._host is None:
            return max_age_s
        spread_s = RELOAD_FRACTION * self._host.contact_s
        return min(max_age_s, spread_s / reloadschedule.SPREAD_FRACTION)

    def subscribe(self, wake: Callable[[], None]) -> None:
        """Sets the function that ends the follower's sleep."""
        if self._host is not None:
            self._host.subscribe(self._topic, wake)

    def delay_s(self, *, has_loaded: bool, is_whole: bool) -> float:
        """Returns the seconds until the store may be read; 0 for now.

        Args:
            has_loaded: Whether the topic has been read as a whole once.
            is_whole: Whether a whole read is due, which no host can relay.
        """
        if self._host is None:
            return 0.0
        pace = self._find_pace(has_loaded)
        delay_s = self._host.schedule.delay_s(
            self._topic,
            pace,
            hosts=self._host.zone_hosts,
            is_stale=self._shared.sources.is_stale and not is_whole,
            now=self._host.now,
        )
        if delay_s > 0 and pace is storeprobes.Pace.OTHER:
            self._left += 1
        self._host.log_change()
        return delay_s

    def begin(self) -> None:
        """Notes that a read of the store begins."""
        if self._host is None:
            return
        self._sent += self._host.schedule.begin(
            self._topic,
            is_stale=self._shared.sources.is_stale,
            now=self._host.now,
        )

    def cancel(self) -> None:
        """Notes that a read was abandoned."""
        if self._host is not None:
            self._host.schedule.cancel(self._topic)

    def fail(self) -> None:
        """Notes that a read failed."""
        if self._host is not None:
            self._host.schedule.fail(
                self._topic, hosts=self._host.zone_hosts, now=self._host.now
            )

    def succeed(self) -> None:
        """Notes that the store answered."""
        if self._host is None:
            return
        if self._host.schedule.succeed(self._topic, self._host.now):
            self._host.wake(is_own=True)
        self._host.log_change()

    def hear_return(self) -> None:
        """Notes that another host has read the store."""
        if self._host is None:
            return
        was_failing = self.is_failing
        if self._host.schedule.hear_return(self._host.now) and was_failing:
            self._host.wake(is_own=False)
        self._host.log_change()

    def hear_fresh(self) -> None:
        """Notes that fresh records were relayed."""
        if self._host is not None:
            self._host.schedule.hear_fresh(self._topic)
            self._host.log_change()

    def _find_pace(self, has_loaded: bool) -> storeprobes.Pace:
        if not has_loaded:
            return storeprobes.Pace.FIRST
        # One failed read may be a lost packet, so a source repeats it.
        is_first_failure = self._host.schedule.failures <= 1
        # What isn't relayed reaches this host only by a read of its own. If the
        # source can't read either, the return is noticed by the probers.
        lacks_records = (
            self._shared.lacks_records and not self._shared.sources.is_stale
        )
        if (
            self._shared.must_read
            or lacks_records
            or self._shared.sources.is_silent
            or self._host.is_prober
            or (self._shared.sources.ranks_first and is_first_failure)
        ):
            return storeprobes.Pace.PROBER
        return storeprobes.Pace.OTHER
