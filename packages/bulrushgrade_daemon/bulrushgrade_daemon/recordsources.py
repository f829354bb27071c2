"""Chooses the host of the zone that is queried for a topic's records."""

from collections.abc import Callable
import math
from typing import Any

import attrs

from bulrushgrade import storeprobes
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import storeepoch

MAX_FAILURES = 2
"""Consecutive failed queries of a host after which another one is queried. A
single failure is often just a lost datagram."""

AVOID_S = 5.0
"""How long the other host is queried instead: until a host that is gone no
longer counts among the hosts of the zone."""

OFFER_INTERVAL_FRACTION = 1 / 4
"""Fraction of the time for which another host is queried instead of the source,
within which further offers of a topic are neither sent nor used."""

PROBER_QUERY_FRACTION = 1 / 4
"""Fraction of that time after which the first host of the zone, if it can't
read the store, queries another prober. The zone relies on its records, and the
views of a topic may be valid for long."""


@attrs.frozen(kw_only=True)
class Probers:
    """The hosts of the zone that probe a failing store.

    Attributes:
        find: Returns their names by rank.
        hold_s: Time in seconds for which such a host, or one that offers its
            records, is queried instead of a source that can't read the store.
    """

    find: Callable[[], list[str]]
    hold_s: float


class RecordSources:
    """The source of one topic, and how it replied.

    By default it is the first other host of the zone. One that fails is
    avoided for a while. If reads of a failing store are limited, one whose
    records are too old is not avoided; the hosts that probe the store are
    queried in turn with it.
    """

    def __init__(
        self,
        *,
        topic: str,
        own_name: str,
        rank_hosts: Callable[[str], list[str]],
        probers: Probers | None,
        timers: Any,
        log: decisionlog.DecisionLog,
    ):
        """Makes an instance that has queried no host.

        Args:
            topic: The topic's name among the hosts.
            own_name: This daemon's name among its peers.
            rank_hosts: Returns the present daemons of this zone by rank.
            probers: The hosts that probe a failing store, or None if reads of
                it are not limited.
            timers: The timer service.
            log: Logs when the source of records changes.
        """
        self._topic = topic
        self._own_name = own_name
        self._rank_hosts = rank_hosts
        self._probers = probers
        self._timers = timers
        self._log = log
        self._avoided: dict[str, float] = {}
        self._failures: dict[str, int] = {}
        self._current: str | None = None
        self._usual: str | None = None
        self._turns = storeprobes.SourceTurns(
            hold_s=probers.hold_s if probers is not None else 0.0
        )
        # Epoch and time of the last offer that was sent or used.
        self._last_offer = storeepoch.UNSTATED, -math.inf
        self._is_stale = self._is_silent = False

    @property
    def current(self) -> str | None:
        """The daemon that records come from, or None for the store."""
        return self._current

    @property
    def ranks_first(self) -> bool:
        """Whether this host is the first that the zone queries."""
        return self._rank_hosts(self._topic)[0] == self._own_name

    @property
    def is_stale(self) -> bool:
        """Whether the source replies, but with records that are too old."""
        return self._is_stale

    @property
    def is_silent(self) -> bool:
        """Whether the usual source didn't reply to the last queries."""
        return self._is_silent

    @property
    def query_interval_s(self) -> float:
        """Greatest time between two queries while the store can't be read."""
        if self._probers is None or not self.ranks_first:
            return math.inf
        return PROBER_QUERY_FRACTION * self._probers.hold_s

    def pick(self) -> str | None:
        """Returns the host to query, or None if there is none."""
        self._usual = self._pick_usual()
        picked = self._usual
        if self._probers is not None:
            probers = [n for n in self._probers.find() if self._may_query(n)]
            picked = self._turns.pick(picked, probers, self._timers.now)
        if picked is None:
            self.use(None)
        return picked

    def note_reply(self) -> None:
        """Notes that the source replied, or that this host read the store."""
        self._is_stale = self._is_silent = False

    def note_fresh(self, source: str) -> None:
        """Notes that a reply had fresh records."""
        self._failures.pop(source, None)
        if self._probers is not None:
            self._turns.keep(source, self._usual)

    def note_silence(self, source: str) -> None:
        """Notes that a host didn't reply."""
        if self._probers is not None:
            if source != self._usual:
                self._turns.drop(source)
                self._turns.skip(self._timers.now)
            elif self._failures.get(source, 0) + 1 >= MAX_FAILURES:
                self._is_silent, self._is_stale = True, False
        self._record_failure(source)

    def note_stale(self, source: str) -> None:
        """Notes that the records of a reply were too old."""
        if self._probers is None:
            self._record_failure(source)
            return
        # The source is alive, so another one would not be better.
        self._failures.pop(source, None)
        self._is_stale = True
        self.use(None)
        self._turns.skip(self._timers.now)

    def use(self, source: str | None) -> None:
        """Sets the daemon that records come from, or None for the store."""
        if source == self._current:
            return
        self._log.note(
            "record_source_changed",
            topic=self._topic,
            source=source or "store",
            before=self._current or "store",
        )
        self._current = source

    def drop_gone(self) -> bool:
        """Drops the source if it is no longer present; returns whether."""
        current = self._current
        if current is None or current in self._rank_hosts(self._topic):
            return False
        self.use(None)
        return True

    def prefer(self, name: str) -> None:
        """Queries a host next that offers records, if the source has none."""
        if self._is_stale or self._is_silent:
            self._turns.prefer(name, self._timers.now)

    def is_first_offer(self, epoch: int) -> bool:
        """Notes an offer; returns whether it is the first one for a while.

        Otherwise each host that reads after a return would become a source of
        some others, and read often for them.

        Args:
            epoch: The store's epoch in which the records were read.
        """
        now, (before, at) = self._timers.now, self._last_offer
        interval_s = OFFER_INTERVAL_FRACTION * self._probers.hold_s
        if epoch == before and now - at < interval_s:
            return False
        self._last_offer = epoch, now
        return True

    def _pick_usual(self) -> str | None:
        ranked = self._rank_hosts(self._topic)
        if self._probers is not None and self.ranks_first:
            # The zone learns from the probers when this host can't read. Each
            # is queried in turn, so that each reads the topic.
            probers = self._probers.find()
            interval_s = PROBER_QUERY_FRACTION * self._probers.hold_s
            turn = int(self._timers.now / interval_s) % len(probers)
            ranked = [*probers[turn:], *probers[:turn], *ranked]
        return next((n for n in ranked if self._may_query(n)), None)

    def _may_query(self, name: str) -> bool:
        is_avoided = self._avoided.get(name, 0.0) > self._timers.now
        return name != self._own_name and not is_avoided

    def _record_failure(self, source: str) -> None:
        self.use(None)
        failures = self._failures[source] = self._failures.get(source, 0) + 1
        if failures < MAX_FAILURES:
            return
        now = self._timers.now
        self._avoided = {n: t for n, t in self._avoided.items() if t > now}
        self._avoided[source] = now + AVOID_S
        self._log.note(
            "record_source_avoided",
            topic=self._topic,
            peer=source,
            failures=failures,
            avoid_s=AVOID_S,
        )
