"""Whose turn it is to order engines about, from records of one topic.

Two hosts that order the same engine about within a lease's time may undo each
other, and an engine need not check who is the newer. So each order is first
appended to a topic, on the condition that the topic still ends where this
host has read it. The record's offset is the order's number; it only grows,
and no two orders have the same. A host may append only when a whole turn has
passed since it saw the last record of another host, and sends the order only
within a short time of its append. The turn is longer than both times of the
other host together, so that two hosts' orders are always a lease apart.

A host that is paused between append and sending finds, by a clock that runs
through pauses, that its time has passed, and does not send.
"""

import attrs

SEND_WITHIN_S = 0.8
"""How long after an append its order may still be sent."""

GUARD_S = 0.7
"""Beside lease and sending time: for an order on its way and for clocks that
run at unlike rates."""


@attrs.frozen(kw_only=True)
class OrderRecord:
    """An order that a host is about to send.

    Attributes:
        holder: The host's incarnation.
        engine: The engine's id.
        stage: The role that it is to take.
    """

    holder: str
    engine: str
    stage: str


class OrderTurn:
    """What one host knows of the topic of orders."""

    def __init__(self, *, holder: str, lease_s: float):
        """Makes the view of a host that has read nothing.

        Args:
            holder: This host's incarnation.
            lease_s: How far apart two hosts' orders have to be.
        """
        self._holder = holder
        self._turn_s = lease_s + SEND_WITHIN_S + GUARD_S
        self._end = 0
        self._other_host_seen_at: float | None = None

    @property
    def holder(self) -> str:
        """This host's incarnation."""
        return self._holder

    @property
    def end(self) -> int:
        """Where the next record goes, as far as it is known."""
        return self._end

    def apply(self, holder: str | None, offset: int, *, now: float) -> None:
        """Takes a record.

        Args:
            holder: Who wrote it; None where it can't be read, which counts
                as another host.
            offset: Its place in the topic.
            now: The present time; a record counts from when it is seen.
        """
        self._end = max(self._end, offset + 1)
        if holder != self._holder:
            self._other_host_seen_at = now

    def skip_to(self, offset: int, *, now: float) -> None:
        """Notes that records up to an offset were dropped unread."""
        if offset > self._end:
            self._end = offset
            self._other_host_seen_at = now

    def may_append(self, now: float) -> bool:
        """Returns whether this host's turn has come."""
        seen_at = self._other_host_seen_at
        return seen_at is None or now - seen_at >= self._turn_s

    def may_send(self, appended_at: float, now: float) -> bool:
        """Returns whether an order may still be sent.

        Args:
            appended_at: The time just before its append was sent.
            now: The time in the turn in which the order is written.
        """
        return now - appended_at <= SEND_WITHIN_S
