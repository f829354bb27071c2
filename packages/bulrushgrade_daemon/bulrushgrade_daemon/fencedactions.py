"""Performs actions that only one host at a time may do.

Each action is first appended to the topic of orders. The record's offset is
the action's number, and `bulrushgrade.orderturn` decides which host may
append. The records of other hosts are read first, so that an action is decided
with knowledge of everything recorded before it.
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
    """A conditional append failed: the topic has records not yet read.

    Attributes:
        end: The offset at which the topic ends.
    """

    end: int


@attrs.frozen(kw_only=True)
class OrderTopic:
    """The topic of orders on the platform's store.

    Attributes:
        read: Returns the offset of the first record at or after an offset,
            and the contents of all records from there on.
        append: Appends a record, on condition that the topic ends at an
            offset; returns the record's offset.
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
    """The right to send one action.

    Attributes:
        holder: This host's incarnation.
        number: The action's number; it increases from one action to the next
            over all hosts.
        check: Returns whether the action may still be sent; to be called
            immediately before the write.
    """

    holder: str
    number: int
    check: Callable[[], bool]


@attrs.frozen(kw_only=True)
class Withheld:
    """The action was not sent.

    Attributes:
        reason: Why not, for logs.
    """

    reason: str


class FencedActions:
    """Appends and sends actions, one at a time."""

    def __init__(
        self, *, timers: Any, turn: orderturn.OrderTurn, topic: OrderTopic
    ):
        """Creates a state in which nothing has been read.

        Args:
            timers: The timer service; its clock runs during pauses.
            turn: This host's view of the topic.
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
        """The offset of the next record, as far as this host has read."""
        return self._turn.end

    def listen(
        self,
        on_record: Callable[[orderrecords.OrderRecord, int], None],
        on_gap: Callable[[], None] = lambda: None,
    ) -> None:
        """Adds a listener for records, including this host's own.

        Args:
            on_record: Called with each decodable record and its number, in
                the order of the topic.
            on_gap: Called when records were dropped before they were read.
        """
        self._listeners.append((on_record, on_gap))

    async def perform(
        self,
        make: Callable[[], Awaitable[orderrecords.OrderRecord | Withheld]],
        send: Callable[
            [orderrecords.OrderRecord, Permit],
            Awaitable[Result[_Answer, outbound.CallFailed]],
        ],
    ) -> Result[_Answer, outbound.CallFailed | Withheld]:
        """Decides, records and sends an action.

        Args:
            make: Returns the record of the action, or why there is none.
                Called after all earlier records were read.
            send: Sends the action.

        Returns:
            The answer, or why there is no answer or nothing was sent.
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
        self._apply_records(*read.unwrap())
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
            # Some receivers treat the number zero as missing.
            if number > 0:
                self._pass_on(record, number)
                return appended

    def _apply_records(self, first: int, contents: tuple[bytes, ...]) -> None:
        now = self._timers.now
        if first > self._turn.end:
            self._turn.skip_to(first, now=now)
            for _, on_gap in self._listeners:
                on_gap()
        for index, content in enumerate(contents):
            record = orderrecords.parse(content)
            holder = None if record is None else record.holder
            self._turn.apply(holder, first + index, now=now)
            if record is not None:
                self._pass_on(record, first + index)

    def _pass_on(self, record: orderrecords.OrderRecord, number: int) -> None:
        for on_record, _ in self._listeners:
            on_record(record, number)


def _withhold(reason: str) -> Failure:
    return Failure(Withheld(reason=reason))
