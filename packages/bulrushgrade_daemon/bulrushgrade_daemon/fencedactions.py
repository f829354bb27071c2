"""Performs actions that only one host at a time may do.

Each action is first appended to the topic of orders. The record has the
action's number, and `bulrushgrade.orderturn` decides which host may append.
The records of other hosts are read first, so that an action is decided with
knowledge of everything recorded before it.

The store may lose records that it has acknowledged, see `storeepoch`. An action
is therefore only sent while the epoch in which its record was acknowledged is
the newest one that this host knows.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import math
from typing import Any
from typing import TypeVar

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success
from twisted.internet import defer

from bulrushgrade import orderturn
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import orderrecords
from bulrushgrade_daemon import ordertopic
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import storeepoch
from bulrushgrade_daemon import topicreader

_Answer = TypeVar("_Answer")

NEW_EPOCH = "new epoch of the store"


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
        self,
        *,
        timers: Any,
        turn: orderturn.OrderTurn,
        topic: ordertopic.OrderTopic,
        log: decisionlog.DecisionLog,
    ):
        """Creates a state in which nothing has been read.

        Args:
            timers: The timer service; its clock runs during pauses.
            turn: This host's view of the topic.
            topic: The topic of orders.
            log: Receives a line for each action, and for each read that
                changes what is known of the topic.
        """
        self._timers = timers
        self._turn = turn
        self._topic = topic
        self._log = log
        self._withheld_reason = ""
        # The highest number that a peer told of, and the highest one of those
        # that the topic was found to lack.
        self._told_number = self._missed_number = -1
        self._lock = defer.DeferredLock()
        self._listeners: list[ordertopic.TopicListener] = []

    @property
    def end(self) -> int:
        """The offset of the next record, as far as this host has read."""
        return self._turn.end

    @property
    def epoch(self) -> int:
        """The store's epoch in which the topic is read."""
        return self._turn.epoch

    @property
    def highest_number(self) -> int:
        """The highest number of an action that this host knows of."""
        return self._turn.highest_number

    @property
    def alone_until(self) -> float:
        """The time until which no other host can record an action."""
        return self._turn.alone_until

    def listen(self, listener: ordertopic.TopicListener) -> None:
        """Adds a listener for what becomes known of the topic."""
        self._listeners.append(listener)

    def observe_number(self, number: int) -> None:
        """Processes the number of an action that a peer tells of.

        Records with higher numbers than those in the topic may be lost.
        """
        self._turn.observe_number(number)
        self._told_number = max(self._told_number, number)

    def observe_epoch(
        self, epoch: int, *, last_confirmed_at: float = -math.inf
    ) -> None:
        """Processes an epoch of the store that begins.

        The topic is read again if it is not the known one: it may lack
        records.

        Args:
            epoch: The epoch.
            last_confirmed_at: When an answer last stated the one before it.
        """
        if epoch != self._turn.epoch:
            self._begin_epoch(epoch, last_confirmed_at)

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
            return self._withhold("another host's turn")
        reason = await self._read()
        if reason is not None:
            return self._withhold(reason)
        if not self._turn.may_append(self._timers.now):
            return self._withhold("another host's turn")
        epoch = self._turn.epoch
        record = await make()
        if isinstance(record, Withheld):
            return Failure(record)
        if self._turn.epoch != epoch or not self._turn.may_append(
            self._timers.now
        ):
            return self._withhold(NEW_EPOCH)
        appended_at = self._timers.now
        appended = await self._append(record)
        if isinstance(appended, Failure):
            return self._withhold(f"not appended: {appended.failure()}")
        return await self._send(record, appended.unwrap(), appended_at, send)

    async def _read(self) -> str | None:
        """Reads the topic on; returns why that failed, or None."""
        position, epoch = self._turn.end, self._turn.epoch
        told_number = self._told_number
        read = await self._topic.read(position)
        if self._turn.epoch != epoch:
            return NEW_EPOCH
        if isinstance(read, Failure):
            return self._read_failed(read.failure())
        records = read.unwrap()
        if records.epoch > epoch:
            self._begin_epoch(records.epoch)
            return NEW_EPOCH
        if records.epoch < epoch:
            # From before the last return, or from a store of unknown epoch.
            return f"the answer states epoch {records.epoch}, not {epoch}"
        if records.end < position:
            self._begin_epoch(epoch)
            return "the topic went back"
        self._apply_records(records)
        is_whole = self._turn.end >= records.end
        is_told = told_number > self._missed_number
        if is_whole and is_told and self._turn.lacks(told_number):
            # Only a peer shows it: the store states no other epoch, and this
            # host had not read the record.
            self._missed_number = told_number
            self._begin_epoch(epoch)
            return "the topic lacks records"
        return None

    def _read_failed(
        self, failure: topicreader.StoreAway | topicreader.RecordsDropped
    ) -> str:
        if isinstance(failure, topicreader.StoreAway):
            return f"store away: {failure.reason}"
        if failure.epoch >= self._turn.epoch:
            self._begin_epoch(failure.epoch)
        return "the topic went back"

    def _observe_stated(self, epoch: int) -> None:
        # A lower one is of an answer from before a return of the store.
        if epoch > self._turn.epoch:
            self._begin_epoch(epoch)

    def _begin_epoch(
        self, epoch: int, last_confirmed_at: float = -math.inf
    ) -> None:
        is_first = (self._turn.epoch, self._turn.end) == (
            storeepoch.UNSTATED,
            0,
        )
        self._log.always(
            "order_topic_first_epoch" if is_first else "order_topic_read_again",
            epoch=epoch,
            before=self._turn.epoch,
            position=self._turn.end,
        )
        for listener in self._listeners:
            listener.on_loss()
        self._turn.begin_epoch(
            epoch, now=self._timers.now, last_confirmed_at=last_confirmed_at
        )

    async def _send(
        self,
        record: orderrecords.OrderRecord,
        appended: orderrecords.NumberedRecord,
        appended_at: float,
        send: Any,
    ) -> Any:
        """Sends an appended action and logs what came of it."""
        acknowledged_at = self._timers.now
        written_at: float | None = None

        def may_send() -> bool:
            nonlocal written_at
            written_at = self._timers.now
            return (
                self._turn.may_send(appended_at, written_at)
                and self._turn.epoch == appended.epoch
            )

        permit = Permit(
            holder=self._turn.holder, number=appended.number, check=may_send
        )
        sent = await send(record, permit)
        failed = sent.failure() if isinstance(sent, Failure) else None
        self._withheld_reason = ""
        self._log.note(
            "fenced_action",
            kind=type(record).__name__,
            holder=permit.holder,
            number=permit.number,
            epoch=appended.epoch,
            append_s=_round(acknowledged_at - appended_at),
            until_write_s=_round(
                None if written_at is None else written_at - appended_at
            ),
            until_answer_s=_round(self._timers.now - appended_at),
            outcome="answered" if failed is None else failed.reason,
        )
        return sent

    async def _append(
        self, record: orderrecords.OrderRecord
    ) -> Result[orderrecords.NumberedRecord, Any]:
        while True:
            numbered = orderrecords.NumberedRecord(
                record=record,
                number=self._turn.next_number,
                epoch=self._turn.epoch,
            )
            at = self._timers.now
            appended = await self._topic.append(
                orderrecords.serialize(numbered), self._turn.end
            )
            if isinstance(appended, Failure):
                if isinstance(appended.failure(), ordertopic.Moved):
                    self._observe_stated(appended.failure().epoch)
                return appended
            stated = appended.unwrap().epoch
            self._observe_stated(stated)
            if self._turn.epoch != numbered.epoch or stated != numbered.epoch:
                # The record may have been acknowledged and lost, or be in a
                # topic that this host has not read.
                return Failure(f"in epoch {stated}, not {numbered.epoch}")
            offset = appended.unwrap().offset
            if offset != self._turn.end:
                return Failure(f"at offset {offset}, not {self._turn.end}")
            self._turn.record_append(offset, numbered.number, at=at)
            # Some receivers treat the number zero as missing.
            if numbered.number > 0:
                self._pass_on(numbered)
                return Success(numbered)

    def _apply_records(self, read: ordertopic.OrderRecords) -> None:
        now, known_end = self._timers.now, self._turn.end
        if read.first > self._turn.end:
            self._turn.skip_to(read.first, now=now)
        holders: set[str] = set()
        unreadable = 0
        for offset, content in enumerate(read.contents, read.first):
            found = orderrecords.parse(content)
            if found is None:
                unreadable += 1
                self._turn.apply(None, offset, now=now)
                continue
            number = offset if found.number is None else found.number
            found = attrs.evolve(found, number=number)
            self._turn.apply(
                found.record.holder,
                offset,
                now=now,
                number=number,
                epoch=found.epoch,
            )
            holders.add(found.record.holder)
            self._pass_on(found)
        # What an unreadable record says is as unknown as one that was dropped.
        if unreadable or read.first > known_end:
            self._report_gap()
        self._log_read(read, known_end, holders, unreadable)

    def _log_read(
        self,
        read: ordertopic.OrderRecords,
        known_end: int,
        holders: set[str],
        unreadable: int,
    ) -> None:
        """Logs a read that changes what is known of the topic."""
        others = holders - {self._turn.holder}
        if not (others or unreadable or read.first > known_end):
            return
        self._log.note(
            "order_topic_read",
            position=known_end,
            first=read.first,
            records=len(read.contents),
            end=read.end,
            epoch=read.epoch,
            holders=sorted(others),
            unreadable=unreadable,
        )

    def _withhold(self, reason: str) -> Failure:
        # Checks run several times a second; only a new reason is logged.
        if reason != self._withheld_reason:
            self._withheld_reason = reason
            self._log.note(
                "fenced_action_withheld", reason=reason, position=self._turn.end
            )
        return Failure(Withheld(reason=reason))

    def _report_gap(self) -> None:
        for listener in self._listeners:
            listener.on_gap()

    def _pass_on(self, record: orderrecords.NumberedRecord) -> None:
        for listener in self._listeners:
            listener.on_record(record)


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
