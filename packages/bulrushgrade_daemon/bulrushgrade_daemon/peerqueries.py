"""Queries to peers with a time limit for their replies."""

from collections.abc import Callable
from collections.abc import Mapping
import itertools
from typing import Any

from twisted.internet import defer

from bulrushgrade_daemon import gatewaymessages

REPLY_TIMEOUT_S = 0.03
"""Time limit for replies. Within a region they take 1 to 5 ms. Waiting for a
slow or absent daemon is not worth more than a tenth of the prefill time of a
usual long prompt; the periodic messages of peers are used instead."""

Query = (
    gatewaymessages.WaitQuery
    | gatewaymessages.HolderQuery
    | gatewaymessages.RecordQuery
    | gatewaymessages.PermitQuery
    | gatewaymessages.OriginQuery
)
Reply = (
    gatewaymessages.WaitReply
    | gatewaymessages.HolderReply
    | gatewaymessages.RecordReply
    | gatewaymessages.PermitReply
    | gatewaymessages.OriginReply
)
MakeQuery = Callable[[int], Query]
"""Makes a query with the given number."""


class _PendingQuery:
    """Queries sent together, with the replies received so far."""

    def __init__(self):
        self.missing: set[str] = set()
        self.replies: list[Reply] = []
        self.done: defer.Deferred = defer.Deferred()

    def add(self, reply: Reply) -> None:
        if reply.peer in self.missing:
            self.missing.discard(reply.peer)
            self.replies.append(reply)
        if not self.missing:
            self.finish()

    def finish(self) -> None:
        if not self.done.called:
            self.done.callback(None)


class PeerQueries:
    """Sends queries to peers and collects their replies."""

    def __init__(
        self,
        *,
        timers: Any,
        send: Callable[[str, gatewaymessages.Message], bool],
        timeout_s: float = REPLY_TIMEOUT_S,
    ):
        """Makes an instance without queries.

        Args:
            timers: The timer service.
            send: Sends a message to a peer; returns whether its address is
                known.
            timeout_s: How long to wait for replies.
        """
        self._timers = timers
        self._send = send
        self._timeout_s = timeout_s
        self._pending: dict[int, _PendingQuery] = {}
        self._numbers = itertools.count(1)
        self._counts = {"queries": 0, "late_replies": 0}

    @property
    def counts(self) -> dict[str, int]:
        """Rounds of queries, and rounds that timed out."""
        return dict(self._counts)

    async def query(
        self,
        queries: Mapping[str, MakeQuery],
        *,
        timeout_s: float | None = None,
    ) -> list[Reply]:
        """Sends queries and returns the replies that came in time.

        Args:
            queries: One per peer.
            timeout_s: How long to wait for replies, if not as usual.
        """
        number = next(self._numbers)
        pending = self._pending[number] = _PendingQuery()
        timer = None
        try:
            pending.missing = set(queries)
            for peer, make_query in queries.items():
                if not self._send(peer, make_query(number)):
                    pending.missing.discard(peer)
            if pending.missing:
                self._counts["queries"] += 1
                timer = self._timers.after(
                    self._timeout_s if timeout_s is None else timeout_s,
                    lambda: self._time_out(pending),
                )
                await pending.done
            return pending.replies
        finally:
            if timer is not None:
                timer.cancel()
            del self._pending[number]

    def handle_reply(self, reply: Reply) -> None:
        """Handles a reply; one that comes too late is ignored."""
        pending = self._pending.get(reply.number)
        if pending is not None:
            pending.add(reply)

    def _time_out(self, pending: _PendingQuery) -> None:
        self._counts["late_replies"] += 1
        pending.finish()
