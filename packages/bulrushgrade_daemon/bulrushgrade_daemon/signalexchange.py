"""Exchanges with peers what endpoints state of themselves.

A host with few requests for an endpoint would otherwise learn of its limit, or
that it is leaving, long after the others; the store may be unavailable. What
is known travels in the messages that carry loads: a change in several of them
at once, as some get lost, and all of it now and then, and whenever a host
appears that has just started or was cut off, or its new address becomes known.
"""

from bulrushgrade_daemon import endpointsignals
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import newsschedule
from bulrushgrade_daemon import ratelimits


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
        self._limit_schedule = newsschedule.NewsSchedule(
            find_all=lambda: [endpoint for endpoint, _ in limits.items()]
        )
        self._drain_schedule = newsschedule.NewsSchedule(
            find_all=signals.unrecorded_drains
        )
        self._limit_batch: gatewaymessages.EndpointLimitNews = []
        self._drain_batch: list[gatewaymessages.DrainNews] = []
        limits.subscribe(self._limit_schedule.add)
        signals.subscribe(self._drain_schedule.add)

    def repeat_all(self) -> None:
        """Sends all that is known in the next rounds, for a host that appears.

        It sends requests as if there were no limits until it knows of them.
        """
        self._limit_schedule.add_all()
        self._drain_schedule.add_all()

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
