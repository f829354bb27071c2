"""Creates the services that share what was at endpoints that crashed.

Whole requests and parts of prompts are blamed for crashes apart. Both are
records of one topic of the platform's store.
"""

from collections.abc import Callable
from typing import Any

from bulrushgrade import crashledger
from bulrushgrade import partledger
from bulrushgrade_daemon import crashsharing
from bulrushgrade_daemon import crashwatch
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import follower as follower_module
from bulrushgrade_daemon import loadgossip
from bulrushgrade_daemon import partexchange
from bulrushgrade_daemon import partrecords
from bulrushgrade_daemon import partsharing
from bulrushgrade_daemon import recordwriter
from bulrushgrade_daemon import storetopics
from bulrushgrade_daemon import topicreader

READ_PAUSE_S = 0.1
"""Time between two reads of the topic of crashes. All hosts that had requests
at an endpoint report its crash at the same time, and one read gets several
reports."""


class CrashServices:
    """The services that share crashes among hosts."""

    def __init__(
        self,
        *,
        timers: Any,
        own_name: str,
        topic: crashsharing.CrashTopic,
        topics: storetopics.StoreTopics,
        wait_s: float,
        gossip: Callable[[], loadgossip.LoadGossip],
        log: decisionlog.DecisionLog,
        on_broken: Callable[[str], None],
    ):
        """Creates the services without starting them.

        Args:
            timers: The timer service.
            own_name: This daemon's name among its peers.
            topic: The topic of crashes.
            topics: Makes followers of topics.
            wait_s: How long a read of the topic may wait for a record.
            gossip: Returns the exchange with peers.
            log: Gets a line for each change of what is quarantined.
            on_broken: Called with the reason if an invariant is violated.
        """
        self._ledger = crashledger.CrashLedger()
        writer = recordwriter.RecordWriter(
            name="crashrecords",
            timers=timers,
            write=topic.write,
            on_broken=on_broken,
        )
        self._sharing = crashsharing.CrashSharing(
            timers=timers,
            ledger=self._ledger,
            writer=writer,
            leads=lambda: gossip().is_leader(),
            log=log,
        )
        self._parts = partsharing.PartSharing(
            timers=timers,
            ledger=partledger.PartLedger(),
            writer=writer,
            owns=lambda key: gossip().fleet.find_owners(key)[0] == own_name,
            leads=lambda: gossip().is_leader(),
            explain_crashes=self._sharing.explain_crashes,
            log=log,
        )
        self._exchange = partexchange.PartExchange(
            timers=timers, sharing=self._parts
        )
        self._follower = topics.follow(
            "crashes",
            topic.reader,
            wait_s=wait_s,
            pause_s=READ_PAUSE_S,
            on_records=self._apply_records,
            on_all=self._apply_snapshot,
        )

    @property
    def ledger(self) -> crashledger.CrashLedger:
        """The requests that were at crashes."""
        return self._ledger

    @property
    def sharing(self) -> crashsharing.CrashSharing:
        """Shares which requests were at crashes."""
        return self._sharing

    @property
    def parts(self) -> partsharing.PartSharing:
        """Shares which prompt parts were at crashes."""
        return self._parts

    @property
    def exchange(self) -> partexchange.PartExchange:
        """Exchanges news of prompt parts with peers."""
        return self._exchange

    @property
    def follower(self) -> follower_module.Follower:
        """Reads the topic of crashes."""
        return self._follower

    @property
    def services(self) -> tuple[Any, ...]:
        """The services to start."""
        return (self._follower, self._sharing, self._parts)

    def observe_crash(self, crash: crashwatch.Crash) -> None:
        """Takes in a crash that this host observed."""
        # What parts explain is known before requests are blamed.
        self._parts.observe_crash(crash)
        self._sharing.observe_crash(crash)

    def observe_completion(self, fingerprint: str) -> None:
        """Takes in that a request that was at crashes has completed."""
        self._sharing.observe_completion(fingerprint)

    def _apply_records(
        self, records: tuple[topicreader.KeyedRecord, ...]
    ) -> None:
        of_requests, of_parts = _split(records)
        self._parts.apply_records(of_parts)
        self._sharing.apply_records(of_requests)

    def _apply_snapshot(
        self, records: tuple[topicreader.KeyedRecord, ...]
    ) -> int:
        of_requests, of_parts = _split(records)
        changes = self._parts.apply_snapshot(of_parts)
        return changes + self._sharing.apply_snapshot(of_requests)


def _split(
    records: tuple[topicreader.KeyedRecord, ...],
) -> tuple[
    tuple[topicreader.KeyedRecord, ...], tuple[topicreader.KeyedRecord, ...]
]:
    """Returns the records of whole requests, and those of prompt parts."""
    of_parts = tuple(r for r in records if partrecords.is_part_key(r.key))
    of_requests = tuple(
        r for r in records if not partrecords.is_part_key(r.key)
    )
    return of_requests, of_parts
