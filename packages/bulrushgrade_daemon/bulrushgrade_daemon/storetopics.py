"""Makes followers of store topics whose records hosts share."""

from collections.abc import Callable
import random
from typing import Any

from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import follower
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import gatewaysettings
from bulrushgrade_daemon import sharedtopic
from bulrushgrade_daemon import storeepoch
from bulrushgrade_daemon import topicjournal
from bulrushgrade_daemon import topicprobes
from bulrushgrade_daemon import topicreader


class StoreTopics:
    """The store topics that a gateway follows, by name."""

    def __init__(
        self,
        *,
        own_name: str,
        rank_hosts: Callable[[str], list[str]],
        send: Callable[[str, gatewaymessages.Message], bool],
        epoch: storeepoch.StoreEpoch,
        timers: Any,
        rng: random.Random,
        log: decisionlog.DecisionLog,
        on_broken: Callable[[str], None],
        probe_contact_s: float | None = None,
    ):
        """Makes an instance without topics.

        Args:
            own_name: This daemon's name among its peers.
            rank_hosts: Returns the present daemons of this zone, in the order
                in which they are queried for a topic.
            send: Sends a message to a peer; returns whether its address is
                known.
            epoch: The store's epoch.
            timers: The timer service.
            rng: Random number generator.
            log: Logs when a source of records is lost or regained.
            on_broken: Called with the reason if an invariant is broken.
            probe_contact_s: Time in seconds after the store's return until all
                hosts have current records, or None if reads of a store that
                fails are not limited.
        """
        self._own_name = own_name
        self._rank_hosts = rank_hosts
        self._send = send
        self._epoch = epoch
        self._timers = timers
        self._rng = rng
        self._log = log
        self._on_broken = on_broken
        self._shared: dict[str, sharedtopic.SharedTopic] = {}
        self._probes: topicprobes.HostProbes | None = None
        if probe_contact_s is not None:
            self._probes = topicprobes.HostProbes(
                contact_s=probe_contact_s,
                own_name=own_name,
                rank_hosts=rank_hosts,
                timers=timers,
                rng=rng,
                log=log,
            )

    def follow(
        self,
        name: str,
        reader: topicreader.KeyedReader,
        *,
        wait_s: float,
        pause_s: float,
        on_records: Callable[[tuple[topicreader.KeyedRecord, ...]], None],
        on_all: follower.ApplyListing,
        extract_state: topicjournal.ExtractState | None = None,
        must_read: Callable[[], bool] = lambda: False,
        keeps_records: bool = True,
    ) -> follower.Follower:
        """Makes a follower of a topic.

        Args:
            name: The topic's name among the hosts.
            reader: Reads the topic.
            wait_s: How long a read may wait for a record.
            pause_s: Pause between two reads.
            on_records: Called with new records in order.
            on_all: Called with the latest record of every key; returns the
                number of changes.
            extract_state: Returns a record's state, by which heartbeats are
                recognized; for a topic with heartbeats.
            must_read: Returns whether this host has to read the store itself
                to know whether it is reachable.
            keeps_records: Whether records may be retained for relaying.
        """
        host = self._probes
        shared = self._shared[name] = sharedtopic.SharedTopic(
            topic=name,
            own_name=self._own_name,
            max_age_s=wait_s + pause_s,
            extract_state=extract_state or _extract_value,
            keeps_records=keeps_records,
            rank_hosts=self._rank_hosts,
            must_read=must_read,
            send=self._send,
            epoch=self._epoch,
            timers=self._timers,
            log=self._log,
            probers=None if host is None else host.as_sources(),
        )
        return follower.Follower(
            name=name,
            timers=self._timers,
            rng=self._rng,
            epoch=self._epoch,
            reader=reader,
            wait_s=wait_s,
            pause_s=pause_s,
            shared=shared,
            on_all=on_all,
            on_records=on_records,
            log=self._log,
            on_broken=self._on_broken,
            probes=topicprobes.TopicProbes(
                topic=name, shared=shared, host=host
            ),
        )

    def receive(
        self,
        message: gatewaymessages.RecordQuery
        | gatewaymessages.RecordReply
        | gatewaymessages.RecordNotice,
    ) -> None:
        """Handles a peer's message; ignores topics that are not followed."""
        shared = self._shared.get(message.topic)
        if shared is None:
            return
        match message:
            case gatewaymessages.RecordQuery():
                shared.handle_query(message)
            case gatewaymessages.RecordReply():
                shared.handle_reply(message)
            case gatewaymessages.RecordNotice():
                shared.handle_notice(message)


def find_probe_contact_s(
    settings: gatewaysettings.GatewaySettings,
) -> float | None:
    """Returns the bound by which reads of a failing store are limited.

    Returns None if they are not limited.
    """
    if not settings.features.limits_store_probes:
        return None
    return settings.bounds.contact_s


def _extract_value(record: topicreader.KeyedRecord) -> topicjournal.RecordState:
    """Returns the state of a record of a topic without heartbeats."""
    return topicjournal.RecordState(content=record.value)
