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


class _Open:
    """Questions of one moment whose replies are still coming."""

    def __init__(self):
        self.missing: set[str] = set()
        self.replies: list[Reply] = []
        self.done: defer.Deferred = defer.Deferred()

    def take(self, reply: Reply) -> None:
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
        self._open: dict[int, _Open] = {}
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
        opened = self._open[number] = _Open()
        limit = None
        try:
            opened.missing = set(queries)
            for peer, make in queries.items():
                if not self._send(peer, make(number)):
                    opened.missing.discard(peer)
            if opened.missing:
                self._counts["queries"] += 1
                limit = self._timers.after(
                    self._timeout_s, lambda: self._give_up(opened)
                )
                await opened.done
            return opened.replies
        finally:
            if limit is not None:
                limit.cancel()
            del self._open[number]

    def handle_reply(self, reply: Reply) -> None:
        """Takes a reply; one that comes too late says nothing any more."""
        opened = self._open.get(reply.number)
        if opened is not None:
            opened.take(reply)

    def _give_up(self, opened: _Open) -> None:
        self._counts["late_replies"] += 1
        opened.finish()
