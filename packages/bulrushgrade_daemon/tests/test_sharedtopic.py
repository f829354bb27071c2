"""Tests of hosts that relay a topic's records.

Each simulates a zone of hosts that follow one topic of a store. The guarantee
is that of a host which reads the store itself: a record is known everywhere
within the greatest age of a view, whatever happens to the source.
"""

import random

import fakes
import pytest
from returns.result import Failure
from returns.result import Success

from bulrushgrade_daemon import follower
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import sharedtopic
from bulrushgrade_daemon import storeepoch
from bulrushgrade_daemon import topicjournal
from bulrushgrade_daemon import topicreader

VIEW_S = 1.8
STEP_S = 0.05
READ_S = 0.02
KNOWN_WITHIN_S = VIEW_S + sharedtopic.REPLY_TIMEOUT_S + 3 * STEP_S
"""The greatest age of a view, the time limit of a reply, and some clock steps,
within one of which the store responds."""


class Store:
    """A topic of the store, with hosts that can't reach it."""

    def __init__(self):
        self.records = []
        self.reads = 0
        self.cut = set()
        self.silent = set()

    def append(self, key, value=b"v"):
        self.records.append(
            topicreader.KeyedRecord(
                key=key, value=value, offset=len(self.records)
            )
        )

    def reader(self, name, timers):
        async def read_all():
            return Success(topicreader.Listing(records=(), end=0))

        async def read_after(offset, wait_s):
            self.reads += 1
            await timers.sleep(READ_S)
            if name in self.silent:
                await timers.sleep(3600.0)
            if name in self.cut:
                return Failure(topicreader.StoreAway(reason="refused"))
            return Success(
                topicreader.Batch(
                    records=tuple(self.records[offset:]),
                    end=len(self.records),
                )
            )

        return topicreader.KeyedReader(read_all=read_all, read_after=read_after)


class Host:
    """One host with its follower and the records that it knows."""

    def __init__(self, *, name, zone):
        self.name = name
        self.known = {}
        self.must_read = False
        self.paused = False
        self.held = []
        self.lines = fakes.EventRecorder()
        self.epoch = storeepoch.StoreEpoch(
            timers=zone.timers, log=self.lines.make()
        )
        self.shared = sharedtopic.SharedTopic(
            topic="t",
            own_name=name,
            max_age_s=zone.view_s,
            extract_state=lambda record: topicjournal.RecordState(
                content=record.value
            ),
            rank_hosts=lambda key: zone.ranked_by.get(name, zone.ranked),
            must_read=lambda: self.must_read,
            send=lambda peer, message: zone.carry(name, peer, message),
            epoch=self.epoch,
            timers=zone.timers,
            log=self.lines.make(),
        )
        self.follower = follower.Follower(
            name="t",
            timers=zone.timers,
            rng=random.Random(name),
            epoch=self.epoch,
            reader=zone.store.reader(name, zone.timers),
            wait_s=0.0,
            pause_s=zone.view_s,
            shared=self.shared,
            on_all=lambda records: None,
            on_records=self.take,
            log=self.lines.make(),
            on_broken=pytest.fail,
        )
        self.timers = zone.timers

    def take(self, records):
        for record in records:
            self.known.setdefault(record.key, self.timers.now)

    def receive(self, message):
        if self.paused:
            self.held.append(message)
            return
        kind = type(message).__name__
        if kind == "RecordQuery":
            self.shared.handle_query(message)
        elif kind == "RecordReply":
            self.shared.handle_reply(message)
        else:
            self.shared.handle_notice(message)


class Zone:
    """The hosts of a zone, their store and their network."""

    def __init__(self, count=5, view_s=VIEW_S):
        self.view_s = view_s
        self.reactor, self.timers, _ = fakes.make_timers()
        self.store = Store()
        self.ranked = [f"h{n}" for n in range(1, count + 1)]
        self.ranked_by = {}
        self.lost = set()
        self.delay_s = 0.0
        self.hosts = {n: Host(name=n, zone=self) for n in self.ranked}
        for host in self.hosts.values():
            fakes.run(host.follower.start())

    def carry(self, sender, peer, message):
        if sender in self.lost or peer in self.lost:
            return True
        if self.delay_s:
            self.timers.after(
                self.delay_s, lambda: self.hosts[peer].receive(message)
            )
        else:
            self.hosts[peer].receive(message)
        return True

    def run(self, seconds):
        self.reactor.pump([STEP_S] * round(seconds / STEP_S))

    def known_after(self, key, *, without=()):
        """Appends a record; returns the seconds until all hosts know it."""
        began = self.timers.now
        self.store.append(key)
        self.run(4 * VIEW_S)
        return max(
            host.known.get(key, float("inf")) - began
            for name, host in self.hosts.items()
            if name not in without
        )


def test_one_host_reads_for_its_zone():
    zone = Zone(count=20)
    zone.run(10 * VIEW_S)
    before = zone.store.reads
    zone.run(10 * VIEW_S)
    reads = zone.store.reads - before
    assert reads <= 10 / sharedtopic.SOURCE_INTERVAL_FACTOR + 1
    assert zone.known_after("e") <= KNOWN_WITHIN_S


def test_a_single_host_reads_at_its_own_interval():
    zone = Zone(count=1)
    zone.run(10.5 * VIEW_S)
    assert zone.store.reads == 10


def test_a_record_is_announced_at_once():
    zone = Zone()
    zone.run(3 * VIEW_S)
    read_by = zone.known_after("e", without=set(zone.ranked[1:]))
    assert (
        zone.known_after("f")
        <= read_by + VIEW_S * sharedtopic.SOURCE_INTERVAL_FACTOR
    )


def test_the_source_is_killed():
    """The source is killed, and an endpoint leaves at the same time.

    The other hosts get no replies and would send requests to that endpoint
    until they notice the failure of the source, seconds later.
    """
    zone = Zone()
    zone.run(3 * VIEW_S)
    zone.lost.add("h1")
    assert zone.known_after("e", without={"h1"}) <= KNOWN_WITHIN_S


def test_a_source_that_is_gone_is_replaced_before_its_records_are_too_old():
    """Guards against views that are valid for long and that nobody renews.

    A host was killed from which the others got the hosts' addresses. None of
    them read the address of its next start for up to 13 s. It heard no peer,
    so it refused requests for 4 s and knew no loads until then.
    """
    zone = Zone(view_s=16.0)
    zone.run(35.0)
    zone.lost.add("h1")
    zone.ranked.remove("h1")
    known_s = zone.known_after("e", without={"h1"})
    assert known_s <= (
        follower.SOURCE_CHECK_S + sharedtopic.REPLY_TIMEOUT_S + 3 * STEP_S
    )


def test_the_source_is_cut_off_from_its_zone():
    """The source still reads the store, and so can all other hosts."""
    zone = Zone()
    zone.run(3 * VIEW_S)
    zone.lost.add("h1")
    assert zone.known_after("e") <= KNOWN_WITHIN_S


def test_the_source_is_paused_and_resumes():
    """The source is paused for seconds and then replies to queued queries.

    Its replies describe the time before the pause. Taken for fresh, they would
    hide what happened since from the whole zone.
    """
    zone = Zone()
    zone.run(3 * VIEW_S)
    source = zone.hosts["h1"]
    source.paused = True
    zone.store.silent.add("h1")
    zone.run(VIEW_S)
    began = zone.timers.now
    zone.store.append("e")
    zone.run(0.5 * VIEW_S)
    source.paused = False
    for message in source.held:
        source.receive(message)
    zone.run(4 * VIEW_S)
    for name in zone.ranked[1:]:
        assert zone.hosts[name].known["e"] - began <= KNOWN_WITHIN_S


def test_the_source_is_cut_off_from_the_store():
    """The source can't reach the store but replies to all hosts.

    Its records get older, and to the others it would look as if no endpoint
    left any more.
    """
    zone = Zone()
    zone.run(3 * VIEW_S)
    zone.store.cut.add("h1")
    assert zone.known_after("e", without={"h1"}) <= KNOWN_WITHIN_S


def test_the_store_stops_responding_to_the_source():
    zone = Zone()
    zone.run(3 * VIEW_S)
    zone.store.silent.add("h1")
    assert zone.known_after("e", without={"h1"}) <= KNOWN_WITHIN_S


def test_a_host_cut_off_from_the_store_gets_relayed_records():
    zone = Zone()
    zone.run(3 * VIEW_S)
    zone.store.cut.add("h3")
    assert zone.known_after("e") <= KNOWN_WITHIN_S


def test_a_source_cut_off_from_the_store_queries_the_others():
    """The first host can't read the store, so it queries the others."""
    zone = Zone()
    zone.run(3 * VIEW_S)
    zone.store.cut.add("h1")
    zone.run(2 * VIEW_S)
    assert zone.known_after("e") <= KNOWN_WITHIN_S
    assert not zone.hosts["h1"].follower.reaches_store


def test_after_some_failures_the_next_host_reads():
    """The first host sends nothing for long but still counts as present.

    If it were queried forever, every other host would read the store itself.
    """
    zone = Zone(count=20)
    zone.run(3 * VIEW_S)
    zone.lost.add("h1")
    zone.run(3 * VIEW_S)
    before = zone.store.reads
    zone.run(3 * VIEW_S)
    everybody = 3 * len(zone.hosts)
    assert zone.store.reads - before <= everybody / 2


def test_delayed_replies_are_not_taken_for_fresh():
    """A slow network delays every datagram; ages count from the query."""
    zone = Zone()
    zone.run(3 * VIEW_S)
    zone.delay_s = 0.06
    zone.run(3 * VIEW_S)
    assert zone.known_after("e") <= KNOWN_WITHIN_S
    zone.delay_s = 1.0
    assert zone.known_after("f") <= KNOWN_WITHIN_S


def test_a_host_that_must_know_the_store_reads_itself():
    zone = Zone()
    zone.run(3 * VIEW_S)
    zone.hosts["h4"].must_read = True
    zone.run(2 * VIEW_S)
    zone.store.cut.add("h4")
    zone.run(2 * VIEW_S)
    assert not zone.hosts["h4"].follower.reaches_store
    zone.store.cut.clear()
    zone.run(2 * VIEW_S)
    assert zone.hosts["h4"].follower.reaches_store


def test_the_return_of_the_store_is_relayed():
    """Only the source notices a short outage of the store.

    Endpoints whose records expired meanwhile are alive. Without the time at
    which the source regained the store, the others would take them for gone.
    """
    zone = Zone()
    zone.run(3 * VIEW_S)
    zone.store.cut.add("h1")
    while zone.hosts["h1"].follower.reaches_store:
        zone.run(STEP_S)
    zone.store.cut.clear()
    zone.run(6 * VIEW_S)
    regained_at = zone.hosts["h1"].follower.regained_at
    assert regained_at is not None
    relayed_at = zone.hosts["h2"].follower.regained_at
    assert relayed_at == pytest.approx(regained_at, abs=0.2)


def test_records_far_behind_come_from_the_store():
    zone = Zone()
    zone.run(3 * VIEW_S)
    for number in range(2000):
        zone.store.append(f"k{number}")
    assert zone.known_after("e") <= KNOWN_WITHIN_S


def test_a_queried_host_reads_although_it_is_not_the_first():
    """Most hosts don't see the first host and query the second one.

    The second one got its records from the first, mostly too old to be relayed
    again, so that each of the others read the store itself.
    """
    zone = Zone(count=20)
    first, second, *others = zone.ranked
    for name in others:
        zone.ranked_by[name] = [second, *others]
    zone.run(5 * VIEW_S)
    before = zone.store.reads
    periods = 10
    zone.run(periods * VIEW_S)
    reads = zone.store.reads - before
    assert reads <= 2 * periods / sharedtopic.SOURCE_INTERVAL_FACTOR
    assert zone.known_after("e") <= KNOWN_WITHIN_S


def test_the_age_of_a_reply_counts_from_the_query():
    """A host is paused between its query and the reply.

    When it resumes, it handles the reply before its timers run. If the age
    counted from then, old records would look fresh.
    """
    zone = Zone(count=2)
    zone.run(3 * VIEW_S)
    zone.delay_s = 3600.0
    shared, sent = zone.hosts["h2"].shared, []
    shared._queries._send = lambda peer, message: sent.append(message) or True
    taken = []
    position = topicreader.Position(epoch=0, offset=len(zone.store.records))
    pending = fakes.run(shared.query(position))
    pending.addCallback(taken.append)
    queried_at, paused_s = zone.timers.now, 0.5 * VIEW_S
    zone.reactor.rightNow += paused_s
    shared.handle_reply(
        gatewaymessages.RecordReply(
            peer="h1",
            number=sent[0].number,
            topic="t",
            records=[],
            end=0,
            has_more=False,
            age_ms=0,
        )
    )
    (relayed,) = taken
    assert relayed.as_of == pytest.approx(queried_at)
