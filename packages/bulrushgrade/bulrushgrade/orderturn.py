"""Mutual exclusion between hosts that send orders to the same engines.

Two hosts that send orders to one engine within the lease time could undo each
other's changes, and engines need not check which order is newer. Each order is
therefore first appended to a topic, on condition that the topic still ends
where this host has read it. The record's offset is the order's number, which
is unique and increasing. A host may append only after a full turn has passed
since it read the last record of another host, and it must send the order soon
after its append. A turn is longer than the lease time plus the time allowed
for sending, so orders of two hosts are always at least the lease time apart.

A host that is paused between its append and sending the order detects this
with a clock that keeps counting during pauses, and does not send the order.
"""

import attrs

SEND_WITHIN_S = 0.8
"""How long after its append an order may still be sent, in seconds."""

GUARD_S = 0.7
"""Margin for orders in flight and for differences between clocks' rates, in
seconds, added to the lease time and the time allowed for sending."""


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
        self._end = 0
        self._other_host_seen_at: float | None = None

    @property
    def holder(self) -> str:
        """This host's incarnation."""
        return self._holder

    @property
    def end(self) -> int:
        """The offset of the next record, as far as this host has read."""
        return self._end

    def apply(self, holder: str | None, offset: int, *, now: float) -> None:
        """Processes a record.

        Args:
            holder: The incarnation that wrote it. None means that the record
                could not be decoded; it counts as another host's.
            offset: The record's offset in the topic.
            now: The current time, from which the turn is counted.
        """
        self._end = max(self._end, offset + 1)
        if holder != self._holder:
            self._other_host_seen_at = now

    def skip_to(self, offset: int, *, now: float) -> None:
        """Handles a gap: records before an offset were dropped unread."""
        if offset > self._end:
            self._end = offset
            self._other_host_seen_at = now

    def may_append(self, now: float) -> bool:
        """Returns whether this host may append an order now."""
        seen_at = self._other_host_seen_at
        return seen_at is None or now - seen_at >= self._turn_s

    def may_send(self, appended_at: float, now: float) -> bool:
        """Returns whether an order may still be sent.

        Args:
            appended_at: The time just before its append was sent.
            now: The time in the event-loop turn that writes the order.
        """
        return now - appended_at <= SEND_WITHIN_S
