"""Asks peers where a long prompt is best read, and tells them of it.

The book of each engine, and that of each shared part, is kept by two daemons,
the same in the eyes of all that hear the same peers. A question costs a few
milliseconds; a prompt that is sent behind others, or a part that is read
again, costs hundreds.
"""

from collections.abc import Callable
from collections.abc import Iterable
import functools
import itertools
from typing import Any

from bulrushgrade import enginebook
from bulrushgrade import partbook
from bulrushgrade import prompt as prompt_module
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import peerquestions

FORGET_S = 1.0
"""Between two searches for entries that nobody ended."""


class EngineBooks:
    """The books that this daemon keeps, and the way to those of others."""

    name = "enginebooks"
    requires = ("timer",)

    def __init__(
        self,
        *,
        timers: Any,
        own_name: str,
        find_keepers: Callable[[str], list[str]],
        send: Callable[[str, gatewaymessages.Message], bool],
    ):
        """Makes the service.

        Args:
            timers: The timer service.
            own_name: This daemon's name among its peers.
            find_keepers: Returns who keeps the book of an engine or a part,
                whom to ask first.
            send: Sends a message to a peer; returns whether it is known
                where that is.
        """
        self._timers = timers
        self._own_name = own_name
        self._find_keepers = find_keepers
        self._send = send
        self._questions = peerquestions.PeerQuestions(timers=timers, send=send)
        self._queues = enginebook.EngineBook()
        self._parts = partbook.PartBook()
        self._numbers = itertools.count(1)
        self._tick: Any = None

    @property
    def counts(self) -> dict[str, int]:
        """Questions to peers, and those without all replies in time."""
        return self._questions.counts

    async def start(self) -> None:
        """Begins to drop what nobody ended."""
        self._tick = self._timers.every(FORGET_S, self._forget)

    async def stop(self) -> None:
        """Drops nothing any more."""
        if self._tick is not None:
            self._tick.cancel()

    def receive(self, message: Any) -> None:
        """Takes what peers ask and tell about engines and parts."""
        now = self._timers.now
        match message:
            case gatewaymessages.Question(peer, number, engines):
                self._send(peer, self._reply(number, engines))
            case gatewaymessages.PartQuestion(peer, number, part):
                self._send(peer, self._reply_part(number, part))
            case gatewaymessages.Reply() | gatewaymessages.PartReply():
                self._questions.take(message)
            case gatewaymessages.Begun(peer, number, engine, reading_ms):
                self._queues.begin(engine, peer, number, reading_ms / 1000, now)
            case gatewaymessages.Ended(peer, number, engine):
                self._queues.end(engine, peer, number, now)
            case gatewaymessages.PartNews(parts=parts) if parts:
                self._parts.note(_read_holder(message), now)

    def dump(self) -> dict[str, Any]:
        """Returns how much is in the books."""
        return {
            "readings": len(self._queues),
            "parts": len(self._parts),
            **self.counts,
        }

    async def ask_waits(self, engines: Iterable[str]) -> dict[str, float]:
        """Returns how long a prompt would wait, by engine.

        Engines whose keeper did not reply in time are left out.

        Args:
            engines: The engines' ids.
        """
        asked: dict[str, list[str]] = {}
        for engine in engines:
            asked.setdefault(self._find_keepers(engine)[0], []).append(engine)
        own = asked.pop(self._own_name, [])
        replies = await self._questions.ask(
            {
                keeper: functools.partial(
                    gatewaymessages.Question, self._own_name, engines=its
                )
                for keeper, its in asked.items()
            }
        )
        waits_ms = self._reply(0, own).waits_ms
        for reply in replies:
            waits_ms |= reply.waits_ms
        return {engine: ms / 1000 for engine, ms in waits_ms.items()}

    async def ask_part(self, part: str) -> list[partbook.PartHolder]:
        """Returns the engines that were lately sent a shared part.

        None are known where its keeper did not reply in time.

        Args:
            part: The part's id.
        """
        keeper = self._find_keepers(part)[0]
        if keeper == self._own_name:
            return self._parts.find(part, self._timers.now)
        question = functools.partial(
            gatewaymessages.PartQuestion, self._own_name, part=part
        )
        replies = await self._questions.ask({keeper: question})
        return [
            _read_holder(holder)
            for reply in replies
            for holder in reply.holders
            if holder.parts
        ]

    def begin(
        self,
        engine: str,
        seconds: float,
        parts: tuple[prompt_module.PromptPart, ...] = (),
    ) -> Callable[[bool], None]:
        """Tells that a prompt is sent; returns what tells of its end.

        The returned function takes whether it was read. Only its first call
        counts.

        Args:
            engine: The engine's id.
            seconds: How long reading it should take by itself.
            parts: Shared parts that the engine will then have.
        """
        keepers, number = self._find_keepers(engine), next(self._numbers)
        begun = gatewaymessages.Begun(
            peer=self._own_name,
            number=number,
            engine=engine,
            reading_ms=round(seconds * 1000),
        )
        self._tell(keepers, begun)
        self._tell_parts(engine, partbook.PartState.COMING, parts)
        is_told = False

        def end(was_read: bool) -> None:
            nonlocal is_told
            if is_told:
                return
            is_told = True
            ended = gatewaymessages.Ended(
                peer=self._own_name, number=number, engine=engine
            )
            self._tell(keepers, ended)
            state = partbook.PartState.GONE
            if was_read:
                state = partbook.PartState.KEPT
            self._tell_parts(engine, state, parts)

        return end

    def _tell_parts(
        self,
        engine: str,
        state: partbook.PartState,
        parts: tuple[prompt_module.PromptPart, ...],
    ) -> None:
        if parts:
            holder = partbook.PartHolder(
                engine=engine, state=state, parts=parts
            )
            keepers = self._find_keepers(parts[0].id)
            self._tell(keepers, _make_news(holder))

    def _tell(
        self, keepers: list[str], message: gatewaymessages.Message
    ) -> None:
        for keeper in keepers:
            if keeper == self._own_name:
                self.receive(message)
            else:
                self._send(keeper, message)

    def _reply(self, number: int, engines: list[str]) -> gatewaymessages.Reply:
        now = self._timers.now
        return gatewaymessages.Reply(
            peer=self._own_name,
            number=number,
            waits_ms={
                engine: round(self._queues.wait_s(engine, now) * 1000)
                for engine in engines
            },
        )

    def _reply_part(self, number: int, part: str) -> gatewaymessages.PartReply:
        holders = self._parts.find(part, self._timers.now)
        return gatewaymessages.PartReply(
            peer=self._own_name,
            number=number,
            holders=[_make_news(holder) for holder in holders],
        )

    def _forget(self) -> None:
        self._queues.forget(self._timers.now)
        self._parts.forget(self._timers.now)


def _make_news(holder: partbook.PartHolder) -> gatewaymessages.PartNews:
    return gatewaymessages.PartNews(
        engine=holder.engine,
        state=holder.state,
        parts=[(part.id, part.tokens) for part in holder.parts],
    )


def _read_holder(news: gatewaymessages.PartNews) -> partbook.PartHolder:
    return partbook.PartHolder(
        engine=news.engine,
        state=news.state,
        parts=tuple(
            prompt_module.PromptPart(id=part, tokens=tokens)
            for part, tokens in news.parts
        ),
    )
