"""Carries out what only one host at a time may do.

Each action is appended to the topic of orders first; the record's place is
the action's number, and `bulrushgrade.orderturn` tells whose turn it is. What
others appended is read before, so that an action is decided from all that was
recorded so far.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import TypeVar

import attrs
from returns.result import Failure
from returns.result import Result
from twisted.internet import defer

from bulrushgrade import orderturn
from bulrushgrade_daemon import orderrecords
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import topicreader

_Answer = TypeVar("_Answer")


@attrs.frozen(kw_only=True)
class Moved:
    """The topic does not end where it was read to.

    Attributes:
        end: Where it ends.
    """

    end: int


@attrs.frozen(kw_only=True)
class OrderTopic:
    """The topic of orders on the platform's store.

    Attributes:
        read: Returns the contents of the records from an offset on, and the
            offset of the first of them.
        append: Appends a record where the topic ends at an offset; returns
            the record's offset.
    """

    read: Callable[
        [int],
        Awaitable[
            Result[tuple[int, tuple[bytes, ...]], topicreader.StoreUnavailable]
        ],
    ]
    append: Callable[
        [bytes, int],
        Awaitable[Result[int, Moved | topicreader.StoreUnavailable]],
    ]


@attrs.frozen(kw_only=True)
class Permit:
    """What an action is sent with.

    Attributes:
        holder: This host's incarnation.
        number: Only grows from one action to the next, whoever's it is.
        check: Returns, in the turn of the write, whether it may still be
            sent.
    """

    holder: str
    number: int
    check: Callable[[], bool]


@attrs.frozen(kw_only=True)
class Withheld:
    """Nothing was sent.

    Attributes:
        reason: For logs.
    """

    reason: str


class FencedActions:
    """Appends and sends, one action at a time."""

    def __init__(
        self, *, timers: Any, turn: orderturn.OrderTurn, topic: OrderTopic
    ):
        """Makes a state in which nothing was read.

        Args:
            timers: The timer service, by a clock that runs through pauses.
            turn: What is known of the topic.
            topic: The topic of orders.
        """
        self._timers = timers
        self._turn = turn
        self._topic = topic
        self._lock = defer.DeferredLock()
        self._listeners: list[
            tuple[
                Callable[[orderrecords.OrderRecord, int], None],
                Callable[[], None],
            ]
        ] = []

    @property
    def end(self) -> int:
        """Where the next record goes, as far as it is known."""
        return self._turn.end

    def listen(
        self,
        take: Callable[[orderrecords.OrderRecord, int], None],
        note_gap: Callable[[], None] = lambda: None,
    ) -> None:
        """Has records that can be read passed on, own ones included.

        Args:
            take: Takes each record with its number, in their order.
            note_gap: Called where records were dropped unread.
        """
        self._listeners.append((take, note_gap))

    async def perform(
        self,
        make: Callable[[], Awaitable[orderrecords.OrderRecord | Withheld]],
        send: Callable[
            [orderrecords.OrderRecord, Permit],
            Awaitable[Result[_Answer, outbound.CallFailed]],
        ],
    ) -> Result[_Answer, outbound.CallFailed | Withheld]:
        """Carries out an action.

        Args:
            make: Returns what is to be done, from all that was recorded, or
                why nothing is.
            send: Sends it.

        Returns:
            What was answered, or why nothing is known or was sent.
        """
        await self._lock.acquire()
        try:
            return await self._perform(make, send)
        finally:
            self._lock.release()

    async def _perform(self, make: Any, send: Any) -> Any:
        if not self._turn.may_append(self._timers.now):
            return _withhold("another host's turn")
        read = await self._topic.read(self._turn.end)
        if isinstance(read, Failure):
            return _withhold(f"store away: {read.failure().reason}")
        self._take_records(*read.unwrap())
        if not self._turn.may_append(self._timers.now):
            return _withhold("another host's turn")
        record = await make()
        if isinstance(record, Withheld):
            return Failure(record)
        appended_at = self._timers.now
        appended = await self._append(record)
        if isinstance(appended, Failure):
            return _withhold(f"not appended: {appended.failure()}")

        def may_send() -> bool:
            return self._turn.may_send(appended_at, self._timers.now)

        permit = Permit(
            holder=self._turn.holder, number=appended.unwrap(), check=may_send
        )
        return await send(record, permit)

    async def _append(
        self, record: orderrecords.OrderRecord
    ) -> Result[int, Moved | topicreader.StoreUnavailable]:
        content = orderrecords.serialize(record)
        while True:
            appended = await self._topic.append(content, self._turn.end)
            if isinstance(appended, Failure):
                return appended
            number = appended.unwrap()
            self._turn.apply(self._turn.holder, number, now=self._timers.now)
            # Some receivers take a number of zero for none.
            if number > 0:
                self._pass_on(record, number)
                return appended

    def _take_records(self, first: int, contents: tuple[bytes, ...]) -> None:
        now = self._timers.now
        if first > self._turn.end:
            self._turn.skip_to(first, now=now)
            for _, note_gap in self._listeners:
                note_gap()
        for place, content in enumerate(contents):
            record = orderrecords.parse(content)
            holder = None if record is None else record.holder
            self._turn.apply(holder, first + place, now=now)
            if record is not None:
                self._pass_on(record, first + place)

    def _pass_on(self, record: orderrecords.OrderRecord, number: int) -> None:
        for take, _ in self._listeners:
            take(record, number)


def _withhold(reason: str) -> Failure:
    return Failure(Withheld(reason=reason))
