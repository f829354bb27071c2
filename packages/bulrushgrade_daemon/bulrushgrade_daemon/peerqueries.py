"""Questions to peers that are answered within a limit, or not at all."""

from collections.abc import Callable
from collections.abc import Mapping
import itertools
from typing import Any

from twisted.internet import defer

from bulrushgrade_daemon import gatewaymessages

REPLY_TIMEOUT_S = 0.03
"""How long replies are waited for. Within a region they take 1 to 5 ms; a
daemon that is slower, or gone, is not worth more than a tenth of the reading
of a usual long prompt, and the periodic messages of peers are used instead."""

Query = (
    gatewaymessages.WaitQuery
    | gatewaymessages.HolderQuery
    | gatewaymessages.RecordQuery
)
Reply = (
    gatewaymessages.WaitReply
    | gatewaymessages.HolderReply
    | gatewaymessages.RecordReply
)
MakeQuery = Callable[[int], Query]
"""Returns a question with its number."""


class _PendingQuery:
    """Questions of one moment whose replies are still coming."""

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
    """Asks peers and waits for what they reply."""

    def __init__(
        self,
        *,
        timers: Any,
        send: Callable[[str, gatewaymessages.Message], bool],
        timeout_s: float = REPLY_TIMEOUT_S,
    ):
        """Makes a state without queries.

        Args:
            timers: The timer service.
            send: Sends a message to a peer; returns whether it is known
                where that is.
            timeout_s: How long replies are waited for.
        """
        self._timers = timers
        self._send = send
        self._timeout_s = timeout_s
        self._pending: dict[int, _PendingQuery] = {}
        self._numbers = itertools.count(1)
        self._counts = {"queries": 0, "late_replies": 0}

    @property
    def counts(self) -> dict[str, int]:
        """Rounds of queries, and those without all replies in time."""
        return dict(self._counts)

    async def query(self, queries: Mapping[str, MakeQuery]) -> list[Reply]:
        """Returns the replies that came within the limit.

        Args:
            queries: One a peer.
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
                    self._timeout_s, lambda: self._time_out(pending)
                )
                await pending.done
            return pending.replies
        finally:
            if timer is not None:
                timer.cancel()
            del self._pending[number]

    def handle_reply(self, reply: Reply) -> None:
        """Takes a reply; one that comes too late says nothing any more."""
        pending = self._pending.get(reply.number)
        if pending is not None:
            pending.add(reply)

    def _time_out(self, pending: _PendingQuery) -> None:
        self._counts["late_replies"] += 1
        pending.finish()
