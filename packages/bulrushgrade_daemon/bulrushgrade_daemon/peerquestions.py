"""Questions to peers that are answered within a limit, or not at all."""

from collections.abc import Callable
from collections.abc import Mapping
import itertools
from typing import Any

from twisted.internet import defer

from bulrushgrade_daemon import gatewaymessages

REPLY_LIMIT_S = 0.03
"""How long replies are waited for. Within a region they take 1 to 5 ms; a
daemon that is slower, or gone, is not worth more than a tenth of the reading
of a usual long prompt, and what peers tell now and then is used instead."""

Question = gatewaymessages.Question | gatewaymessages.PartQuestion
Reply = gatewaymessages.Reply | gatewaymessages.PartReply
MakeQuestion = Callable[[int], Question]
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


class PeerQuestions:
    """Asks peers and waits for what they reply."""

    def __init__(
        self,
        *,
        timers: Any,
        send: Callable[[str, gatewaymessages.Message], bool],
    ):
        """Makes a state without questions.

        Args:
            timers: The timer service.
            send: Sends a message to a peer; returns whether it is known
                where that is.
        """
        self._timers = timers
        self._send = send
        self._open: dict[int, _Open] = {}
        self._numbers = itertools.count(1)
        self._counts = {"questions": 0, "late_replies": 0}

    @property
    def counts(self) -> dict[str, int]:
        """Rounds of questions, and those without all replies in time."""
        return dict(self._counts)

    async def ask(self, questions: Mapping[str, MakeQuestion]) -> list[Reply]:
        """Returns the replies that came within the limit.

        Args:
            questions: One a peer.
        """
        number = next(self._numbers)
        asked = self._open[number] = _Open()
        limit = None
        try:
            asked.missing = set(questions)
            for peer, make in questions.items():
                if not self._send(peer, make(number)):
                    asked.missing.discard(peer)
            if asked.missing:
                self._counts["questions"] += 1
                limit = self._timers.after(
                    REPLY_LIMIT_S, lambda: self._give_up(asked)
                )
                await asked.done
            return asked.replies
        finally:
            if limit is not None:
                limit.cancel()
            del self._open[number]

    def take(self, reply: Reply) -> None:
        """Takes a reply; one that comes too late says nothing any more."""
        asked = self._open.get(reply.number)
        if asked is not None:
            asked.take(reply)

    def _give_up(self, asked: _Open) -> None:
        self._counts["late_replies"] += 1
        asked.finish()
