"""Exchanges with peers the limits that endpoints state.

A host with few requests for an endpoint would otherwise learn of its limit
long after the others. Limits travel in the messages that carry loads: a change
in several of them at once, as some get lost, and all limits now and then, for
hosts that have just started or were cut off.
"""

from collections.abc import Iterable

from bulrushgrade import endpointlimits
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import ratelimits

CHANGE_ROUNDS = 4
"""Number of rounds of messages that carry a change."""

ALL_ROUNDS = 20
"""Number of rounds after which all limits are sent again."""

MAX_LIMITS = 64
"""Maximum number of limits in one message. The others follow in the next."""


class LimitExchange:
    """Selects the limits to send, and takes in those of peers."""

    def __init__(self, *, limits: ratelimits.RateLimits):
        """Creates an exchange that has sent nothing.

        Args:
            limits: The limits that this host knows.
        """
        self._limits = limits
        self._round = 0
        # The rounds that still have to carry an endpoint's limit.
        self._rounds_left: dict[endpointlimits.Incarnation, int] = {}
        self._batch: gatewaymessages.EndpointLimitNews = []
        limits.subscribe(self._schedule)

    def begin_round(self) -> None:
        """Selects the limits for the messages of the next round."""
        self._round += 1
        if self._round % ALL_ROUNDS == 0:
            for endpoint, _ in self._limits.items():
                self._rounds_left.setdefault(endpoint, 1)
        # Those that wait longest come first, as sent ones are added again.
        chosen = list(self._rounds_left)[:MAX_LIMITS]
        self._batch = []
        for endpoint in chosen:
            left = self._rounds_left.pop(endpoint) - 1
            news = self._limits.encode(endpoint)
            if news is None:
                continue
            self._batch.append((*endpoint, news))
            if left > 0:
                self._rounds_left[endpoint] = left

    def next_batch(self) -> gatewaymessages.EndpointLimitNews:
        """Returns the limits to send in this round."""
        return self._batch

    def merge_batch(
        self,
        batch: Iterable[tuple[str, int, gatewaymessages.LimitNews]],
        *,
        peer: str,
    ) -> None:
        """Takes in limits that a peer knows."""
        for id, born_ms, news in batch:
            self._limits.merge((id, born_ms), news, peer=peer)

    def _schedule(self, endpoint: endpointlimits.Incarnation) -> None:
        """Sends an endpoint's limit in the next rounds."""
        self._rounds_left[endpoint] = CHANGE_ROUNDS
