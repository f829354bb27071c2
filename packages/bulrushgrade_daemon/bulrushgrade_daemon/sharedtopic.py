"""Relays a topic's records between hosts of an availability zone.

Each read of the platform's store has a cost, however few records it returns.
So the host of a zone that is first by rendezvous hashing reads a topic from
the store, and the others query that host, their source. They need no agreement
on the source: a queried host starts to read the store itself, and every reply
states the age of its records. A view is therefore never older than if its host
read the store at its own interval:

- a source that is killed, paused or cut off from its zone does not reply;
- a source that can't reach the store, or is stuck in a read, replies with
  records that grow older until they are too old to be accepted;
- a query times out before a reply that is delayed on its way arrives, and the
  age is counted from the moment of the query.

A view may be valid for long, within which the source sends a notice of new
records. One that is gone sends none, so the next host is queried then.

In each case the host reads the store at once. After some failures in a row it
queries the next host for a while. If reads of a failing store are limited, see
`topicprobes`, it queries the hosts that probe the store instead.

Records are exchanged with the store's epoch in which they were read, and are
used only where that is the epoch of the position that they follow. A newer
epoch in a message shows that the store has returned from an older copy.
"""

from collections.abc import Callable
import functools
import math
from typing import Any

from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import peerqueries
from bulrushgrade_daemon import recordsources
from bulrushgrade_daemon import relayedrecords
from bulrushgrade_daemon import storeepoch
from bulrushgrade_daemon import topicjournal
from bulrushgrade_daemon import topicreader

REPLY_TIMEOUT_S = 0.15
"""Time limit for a reply: longer than a busy host takes, and a small part of
any bound on the age of a view."""

SOURCE_INTERVAL_FACTOR = 0.6
"""Factor on the pause between two reads at a source, so that relayed records
are fresh enough to last for a while."""

MAX_AGE_FRACTION = 0.9
"""Fraction of the greatest age of a view up to which relayed records are
accepted. The rest is left for the time until the next query."""

SERVING_PERIODS = 2.5
"""Periods of its own reads for which a host stays a source after a query. They
are longer than the interval between two queries, one of which may be lost."""

MAX_REPLY_BYTES = 1200
"""Limit for the records of a reply, so that its datagram is not fragmented."""

OFFER_NUMBER = 0
"""Number of a reply to no query, by which a host that regained the store offers
its records. Queries are counted from 1, so other builds ignore it."""

REPEAT_NOTICE_S = 0.1
"""Delay after which a notice is sent again, as datagrams get lost."""


class SharedTopic:
    """Exchanges the records of one topic with the hosts of the zone."""

    def __init__(
        self,
        *,
        topic: str,
        own_name: str,
        max_age_s: float,
        extract_state: topicjournal.ExtractState,
        rank_hosts: Callable[[str], list[str]],
        must_read: Callable[[], bool],
        send: Callable[[str, gatewaymessages.Message], bool],
        epoch: storeepoch.StoreEpoch,
        timers: Any,
        log: decisionlog.DecisionLog,
        keeps_records: bool = True,
        probers: recordsources.Probers | None = None,
    ):
        """Makes an instance without records.

        Args:
            topic: The topic's name among the hosts.
            own_name: This daemon's name among its peers.
            max_age_s: Greatest age of a view.
            extract_state: Returns a record's state, by which heartbeats are
                recognized.
            rank_hosts: Returns the present daemons of this zone, this one
                included, in the order in which they are queried.
            must_read: Returns whether this host has to read the store itself
                to know whether it is reachable.
            send: Sends a message to a peer; returns whether its address is
                known.
            epoch: The store's epoch.
            timers: The timer service.
            log: Logs when the source of records changes.
            keeps_records: Whether records may be retained for relaying.
            probers: The hosts of this zone that probe a failing store, if
                reads of it are limited.
        """
        self._topic = topic
        self._own_name = own_name
        self._max_age_s = max_age_s
        self._rank_hosts = rank_hosts
        self._must_read = must_read
        self._send = send
        self._epoch = epoch
        self._timers = timers
        self._limits_reads = probers is not None
        self.sources = recordsources.RecordSources(
            topic=topic,
            own_name=own_name,
            rank_hosts=rank_hosts,
            probers=probers,
            timers=timers,
            log=log,
        )
        self._queries = peerqueries.PeerQueries(
            timers=timers, send=send, timeout_s=REPLY_TIMEOUT_S
        )
        self._journal = topicjournal.TopicJournal(
            extract_state=extract_state, keeps_records=keeps_records
        )
        # The epoch in which the records of the journal were read.
        self._journal_epoch = storeepoch.UNSTATED
        self._as_of: float | None = None
        self._regained_at: float | None = None
        self._queried_at = -math.inf
        self._lacks_records = False
        self._is_unanswered = False
        self._relayed_batches = 0
        self._other_epochs = 0
        self.on_offer: Callable[[], None] = lambda: None
        self.on_notice: Callable[[topicreader.Position], None] = (
            lambda position: None
        )
        self.on_queried: Callable[[], None] = lambda: None

    @property
    def reads_store(self) -> bool:
        """Whether this host has to read the store itself."""
        return self._is_serving or self._must_read() or self.sources.ranks_first

    @property
    def must_read(self) -> bool:
        """Whether this host has to know whether the store is reachable."""
        return self._must_read()

    @property
    def lacks_records(self) -> bool:
        """Whether the store has records that no other host relays."""
        return self._lacks_records

    @property
    def is_unanswered(self) -> bool:
        """Whether the last query got no reply."""
        return self._is_unanswered

    @property
    def interval_factor(self) -> float:
        """Factor on the pause between two reads of the store."""
        return SOURCE_INTERVAL_FACTOR if self._is_serving else 1.0

    @property
    def source(self) -> str | None:
        """The daemon that records come from, or None for the store."""
        return self.sources.current

    @property
    def counts(self) -> dict[str, int]:
        """Counts of relayed batches, queries, and unusable replies."""
        counts = self._queries.counts
        return {
            "relayed": self._relayed_batches,
            "peer_queries": counts["queries"],
            "peer_silent": counts["late_replies"],
            "peer_other_epochs": self._other_epochs,
        }

    @property
    def _is_serving(self) -> bool:
        age_s = self._timers.now - self._queried_at
        return age_s < SERVING_PERIODS * self._max_age_s

    def is_too_old(self, age_s: float | None) -> bool:
        """Returns whether records of an age are not accepted from a host."""
        return age_s is not None and age_s > MAX_AGE_FRACTION * self._max_age_s

    def restart(
        self,
        listing: topicreader.Listing,
        *,
        as_of: float,
        regained_at: float | None,
    ) -> None:
        """Starts over after this host has read the topic as a whole.

        Args:
            listing: The latest record of every key.
            as_of: When the store had no other records than these.
            regained_at: When this host regained the store, or None.
        """
        self._as_of = as_of
        self._regained_at = regained_at
        self._lacks_records = False
        self._journal.restart(listing)
        self._journal_epoch = listing.epoch

    def extend(
        self,
        records: tuple[topicreader.KeyedRecord, ...],
        end: int,
        *,
        as_of: float,
        regained_at: float | None,
    ) -> None:
        """Appends new records, read from the store or relayed.

        Args:
            records: The records in order.
            end: Offset after these records.
            as_of: When the store had no other records than these.
            regained_at: When this host regained the store, or None.
        """
        self._as_of = as_of
        self._regained_at = regained_at
        self._lacks_records = False
        if self._journal.extend(records, end) and self._is_serving:
            self._send_notice(end)

    async def query(
        self, position: topicreader.Position
    ) -> relayedrecords.RelayedRecords | None:
        """Queries the source for the records from a position on.

        Returns None if there is no other host, or if it did not reply with
        records of the same epoch that are fresh and complete enough.
        """
        self._is_unanswered = False
        source = self.sources.pick()
        if source is None:
            return None
        queried_at = self._timers.now
        query = functools.partial(
            gatewaymessages.RecordQuery,
            self._own_name,
            topic=self._topic,
            offset=position.offset,
            epoch=position.epoch,
        )
        replies = await self._queries.query({source: query})
        self._is_unanswered = not replies
        if not replies:
            self.sources.note_silence(source)
            return None
        reply = replies[0]
        self.sources.note_reply()
        self._observe_epoch(reply.epoch)
        if reply.epoch > position.epoch:
            self._other_epochs += 1
            return None
        is_stated = reply.epoch != storeepoch.UNSTATED
        is_usable = is_stated or position.epoch == storeepoch.UNSTATED
        if not is_usable or not self._is_fresh(reply, queried_at):
            self.sources.note_stale(source)
            return None
        self.sources.note_fresh(source)
        if reply.epoch < position.epoch:
            self._other_epochs += 1
            return None
        if position.offset == topicjournal.FROM_RESTART:
            # A host doesn't relay what it has found by a whole read.
            self._lacks_records = True
        # The next record is not retained there, or does not fit a datagram.
        if reply.has_more and reply.end <= position.offset:
            self._lacks_records = True
            return None
        self._relayed_batches += 1
        self.sources.use(source)
        return relayedrecords.decode_reply(reply, queried_at)

    def handle_query(self, query: gatewaymessages.RecordQuery) -> None:
        """Replies with this host's records, if it has any."""
        now, served = self._timers.now, self._is_serving
        self._queried_at = now
        if not served:
            # Records that are fresh enough here may be too old to relay.
            self.on_queried()
        self._observe_epoch(query.epoch)
        if self._as_of is None:
            return
        extract = self._extract(query)
        regained_ms = None
        if self._regained_at is not None:
            regained_ms = relayedrecords.to_ms(now - self._regained_at)
        reply = gatewaymessages.RecordReply(
            peer=self._own_name,
            number=query.number,
            topic=self._topic,
            records=[(r.offset, r.key, r.value) for r in extract.records],
            end=extract.end,
            has_more=extract.has_more,
            age_ms=relayedrecords.to_ms(now - self._as_of),
            regained_ms=regained_ms,
            epoch=self._journal_epoch,
        )
        self._send(query.peer, reply)

    def handle_reply(self, reply: gatewaymessages.RecordReply) -> None:
        """Handles another host's reply or offer."""
        if reply.number == OFFER_NUMBER:
            self._handle_offer(reply)
            return
        self._queries.handle_reply(reply)

    def offer(self) -> None:
        """Tells the zone that this host has read the store again."""
        if not self._limits_reads or not self.sources.is_first_offer(
            self._journal_epoch
        ):
            return

        def send() -> None:
            now = self._timers.now
            message = gatewaymessages.RecordReply(
                peer=self._own_name,
                number=OFFER_NUMBER,
                topic=self._topic,
                records=[],
                end=0,
                has_more=True,
                age_ms=relayedrecords.to_ms(now - self._as_of),
                epoch=self._journal_epoch,
            )
            self._send_to_zone(message)

        send()
        self._timers.after(REPEAT_NOTICE_S, send)

    def handle_notice(self, notice: gatewaymessages.RecordNotice) -> None:
        """Handles another host's notice of new records."""
        self._observe_epoch(notice.epoch)
        self.on_notice(
            topicreader.Position(epoch=notice.epoch, offset=notice.end)
        )

    def _handle_offer(self, offer: gatewaymessages.RecordReply) -> None:
        """Prefers a host that regained the store if the source has not."""
        if not self._limits_reads or offer.peer == self._own_name:
            return
        self._observe_epoch(offer.epoch)
        now = self._timers.now
        if offer.epoch != self._epoch.value or not self._is_fresh(offer, now):
            return
        if not self.sources.is_first_offer(offer.epoch):
            return
        self.sources.prefer(offer.peer)
        self.on_offer()

    def _extract(
        self, query: gatewaymessages.RecordQuery
    ) -> topicjournal.JournalSlice:
        """Returns the records that a query asks for.

        A query without an epoch is answered as the store would do: from the
        offset on, but with nothing if the topic ends before it.
        """
        found = self._journal.read_after(
            query.offset, max_bytes=MAX_REPLY_BYTES
        )
        if query.epoch == self._journal_epoch:
            return found
        if query.epoch == storeepoch.UNSTATED and found.end >= query.offset:
            return found
        return topicjournal.JournalSlice(
            records=(), end=query.offset, has_more=True
        )

    def _observe_epoch(self, stated: int) -> None:
        """Takes in the epoch of a peer's message if it is newer."""
        self._epoch.observe_peer(stated)

    def _is_fresh(
        self, reply: gatewaymessages.RecordReply, queried_at: float
    ) -> bool:
        age_s = self._timers.now - queried_at + reply.age_ms / 1000
        return not self.is_too_old(age_s)

    def _send_notice(self, end: int) -> None:
        notice = gatewaymessages.RecordNotice(
            topic=self._topic, end=end, epoch=self._journal_epoch
        )

        self._send_to_zone(notice)
        self._timers.after(REPEAT_NOTICE_S, lambda: self._send_to_zone(notice))

    def _send_to_zone(self, message: gatewaymessages.Message) -> None:
        for name in self._rank_hosts(self._topic):
            if name != self._own_name:
                self._send(name, message)
