"""Exchanges with peers what endpoints state of themselves.

A host with few requests for an endpoint would otherwise learn of its limit, or
that it is leaving, long after the others; the store may be unavailable. What
is known travels in the messages that carry loads: a change in several of them
at once, as some get lost, and all of it now and then, for hosts that have just
started or were cut off.
"""

from collections.abc import Callable
from collections.abc import Iterable

from bulrushgrade import endpointlimits
from bulrushgrade_daemon import endpointsignals
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import ratelimits

CHANGE_ROUNDS = 4
"""Number of rounds of messages that carry a change."""

ALL_ROUNDS = 20
"""Number of rounds after which everything is sent again."""

MAX_ENTRIES = 64
"""Maximum number of limits, and of drains, in one message. The others follow in
the next."""


class _Schedule:
    """Selects the endpoints whose news each round of messages carries."""

    def __init__(
        self, *, find_all: Callable[[], Iterable[endpointlimits.Incarnation]]
    ):
        """Creates a schedule that has sent nothing.

        Args:
            find_all: Returns the endpoints of which something is known.
        """
        self._find_all = find_all
        self._round = 0
        # The rounds that still have to carry an endpoint.
        self._rounds_left: dict[endpointlimits.Incarnation, int] = {}

    def add(self, endpoint: endpointlimits.Incarnation) -> None:
        """Sends an endpoint's news in the next rounds."""
        self._rounds_left[endpoint] = CHANGE_ROUNDS

    def next(self) -> list[endpointlimits.Incarnation]:
        """Returns the endpoints of the next round."""
        self._round += 1
        if self._round % ALL_ROUNDS == 0:
            for endpoint in self._find_all():
                self._rounds_left.setdefault(endpoint, 1)
        # Those that wait longest come first, as sent ones are added again.
        chosen = list(self._rounds_left)[:MAX_ENTRIES]
        for endpoint in chosen:
            left = self._rounds_left.pop(endpoint) - 1
            if left > 0:
                self._rounds_left[endpoint] = left
        return chosen


class SignalExchange:
    """Selects the limits and drains to send, and takes in those of peers."""

    def __init__(
        self,
        *,
        limits: ratelimits.RateLimits,
        signals: endpointsignals.EndpointSignals,
    ):
        """Creates an exchange that has sent nothing.

        Args:
            limits: The limits that this host knows.
            signals: The drains that this host knows.
        """
        self._limits = limits
        self._signals = signals
        self._limit_schedule = _Schedule(
            find_all=lambda: [endpoint for endpoint, _ in limits.items()]
        )
        self._drain_schedule = _Schedule(find_all=signals.unrecorded_drains)
        self._limit_batch: gatewaymessages.EndpointLimitNews = []
        self._drain_batch: list[gatewaymessages.DrainNews] = []
        limits.subscribe(self._limit_schedule.add)
        signals.subscribe(self._drain_schedule.add)

    def begin_round(self) -> None:
        """Selects what the messages of the next round carry."""
        self._limit_batch = [
            (*endpoint, news)
            for endpoint in self._limit_schedule.next()
            if (news := self._limits.encode(endpoint)) is not None
        ]
        self._drain_batch = [
            news
            for endpoint in self._drain_schedule.next()
            if (news := self._signals.encode_drain(endpoint)) is not None
        ]

    def next_limits(self) -> gatewaymessages.EndpointLimitNews:
        """Returns the limits to send in this round."""
        return self._limit_batch

    def next_drains(self) -> list[gatewaymessages.DrainNews]:
        """Returns the drains to send in this round."""
        return self._drain_batch

    def merge(
        self,
        *,
        limits: gatewaymessages.EndpointLimitNews,
        drains: list[gatewaymessages.DrainNews],
        peer: str,
    ) -> None:
        """Takes in what a peer knows."""
        for id, born_ms, news in limits:
            self._limits.merge((id, born_ms), news, peer=peer)
        for news in drains:
            self._signals.merge_drain(news, peer=peer)
