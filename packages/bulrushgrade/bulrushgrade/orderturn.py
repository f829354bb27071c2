"""Mutual exclusion between hosts that send orders to the same engines.

Two hosts that send orders to one engine within the lease time could undo each
other's changes, and engines need not check which order is newer. Each order is
therefore first appended to a topic, on condition that the topic still ends
where this host has read it. A host may append only after a full turn has passed
since it read the last record of another host, and it must send the order soon
after its append. A turn is longer than the lease time plus the time allowed
for sending, so orders of two hosts are always at least the lease time apart.

A host that is paused between its append and sending the order detects this
with a clock that keeps counting during pauses, and does not send the order.

The store may return from an older copy of itself, without records that it had
acknowledged, and give their offsets out again. It states a higher epoch from
then on. A record's number therefore consists of the epoch and the offset, and
is higher than all numbers of earlier epochs, also those of lost records. Orders
of lost records may still be on their way, and no host can know whose they are:
every host waits for a full turn after it first sees a new epoch. All lost
records were acknowledged before that, so their orders are at least the lease
time older than the first order of the new epoch.
"""

import math

import attrs

SEND_WITHIN_S = 0.8
"""How long after its append an order may still be sent, in seconds."""

GUARD_S = 0.7
"""Margin for orders in flight and for differences between clocks' rates, in
seconds, added to the lease time and the time allowed for sending."""

MAX_NUMBER = 1 << 62
"""Limit of numbers, which have to fit the 64 bits of messages and receivers."""

EPOCH_STRIDE = 1 << 20
"""Difference between the numbers of one offset in two consecutive epochs. It is
far above the number of records that the store can have lost in between: an
append takes some milliseconds, and the copy is some seconds old."""


@attrs.frozen(kw_only=True)
class OrderRecord:
    """An order that a host is about to send.

    Attributes:
        holder: The host's incarnation.
        engine: The engine's id.
        stage: The role that the engine is ordered to take.
    """

    holder: str
    engine: str
    stage: str


class OrderTurn:
    """One host's view of the topic of orders."""

    def __init__(self, *, holder: str, lease_s: float):
        """Creates a view of a topic that has not been read yet.

        Args:
            holder: This host's incarnation.
            lease_s: Minimum time between the orders of two hosts.
        """
        self._holder = holder
        self._turn_s = lease_s + SEND_WITHIN_S + GUARD_S
        self._epoch = 0
        self._end = 0
        self._highest_number = -1
        # The highest number in the topic, as far as this host has read.
        self._topic_number = -1
        self._wait_since: float | None = None
        self._alone_until = -math.inf
        self._epoch_seen_at = -math.inf

    @property
    def holder(self) -> str:
        """This host's incarnation."""
        return self._holder

    @property
    def epoch(self) -> int:
        """The store's epoch; 0 if it states none."""
        return self._epoch

    @property
    def end(self) -> int:
        """The offset of the next record, as far as this host has read."""
        return self._end

    @property
    def highest_number(self) -> int:
        """The highest number that this host knows of; -1 if it knows none."""
        return self._highest_number

    @property
    def next_number(self) -> int:
        """The number of the record that this host would append next."""
        return max(
            self._epoch * EPOCH_STRIDE + self._end, self._highest_number + 1
        )

    def apply(
        self,
        holder: str | None,
        offset: int,
        *,
        now: float,
        number: int | None = None,
        epoch: int = 0,
    ) -> None:
        """Processes a record that was read.

        Args:
            holder: The incarnation that wrote it. None means that the record
                could not be decoded; it counts as another host's.
            offset: The record's offset in the topic.
            now: The current time, from which the turn is counted.
            number: The record's number; None if it is its offset.
            epoch: The epoch in which it was written; 0 if that is unknown.
        """
        self._end = max(self._end, offset + 1)
        self._record_number(offset if number is None else number)
        # Orders of earlier epochs are older than the wait for the present one.
        is_earlier = 0 < epoch < self._epoch
        if holder != self._holder and not is_earlier:
            self._wait_since = now

    def record_append(self, offset: int, number: int, *, at: float) -> None:
        """Processes a record that this host has appended.

        Args:
            offset: The record's offset in the topic.
            number: Its number.
            at: The time just before the append was sent.
        """
        self._end = max(self._end, offset + 1)
        self._record_number(number)
        self._alone_until = max(self._alone_until, at + self._turn_s)

    def observe_number(self, number: int) -> None:
        """Processes a number of any host; later ones will be higher.

        A number that no epoch and offset make is not valid and is ignored.
        """
        if number <= MAX_NUMBER:
            self._highest_number = max(self._highest_number, number)

    def lacks(self, number: int) -> bool:
        """Returns whether the topic, read to its end, should have a number.

        A record's number is at least that of its epoch and offset.

        Args:
            number: The number of a record that was acknowledged before the
                read began.
        """
        highest = self._epoch * EPOCH_STRIDE + self._end - 1
        return max(self._topic_number, highest) < number <= MAX_NUMBER

    def begin_epoch(
        self,
        epoch: int,
        *,
        now: float,
        last_confirmed_at: float = -math.inf,
    ) -> None:
        """Starts over because the store has lost records.

        Args:
            epoch: The store's epoch. It may be the known one, if the topic
                went back although the store states no other epoch, or a lower
                one that replaces a wrong one.
            now: When this host saw it first.
            last_confirmed_at: When an answer last stated the epoch before it.
        """
        if now < self._alone_until:
            # Nobody has appended since this host, and others wait for a turn
            # after the new epoch, which began after this host saw the last one.
            # That answer may have been on its way for a while.
            seen_at = max(self._epoch_seen_at, last_confirmed_at)
            waited_until = seen_at - SEND_WITHIN_S + self._turn_s
            self._alone_until = max(self._alone_until, waited_until)
        self._epoch_seen_at = now
        self._epoch = epoch
        self._end = 0
        self._topic_number = -1
        self._wait_since = now

    def skip_to(self, offset: int, *, now: float) -> None:
        """Handles a gap: records before an offset were dropped unread."""
        if offset > self._end:
            self._end = offset
            self._record_number(offset - 1)
            self._wait_since = now

    def _record_number(self, number: int) -> None:
        self.observe_number(number)
        if number <= MAX_NUMBER:
            self._topic_number = max(self._topic_number, number)

    def may_append(self, now: float) -> bool:
        """Returns whether this host may append an order now."""
        since = self._wait_since
        return since is None or now - since >= self._turn_s

    def may_send(self, appended_at: float, now: float) -> bool:
        """Returns whether an order may still be sent.

        Args:
            appended_at: The time just before its append was sent.
            now: The time in the event-loop turn that writes the order.
        """
        return now - appended_at <= SEND_WITHIN_S

    @property
    def alone_until(self) -> float:
        """The time until which no other host can append after this one.

        Another host waits for a full turn after it has read this host's
        record.
        """
        return self._alone_until
