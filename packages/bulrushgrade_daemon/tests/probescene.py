"""Hosts of four zones that follow the topics of a store that fails."""

import itertools
import random
import zlib

import fakes
from returns.result import Failure
from returns.result import Success
from twisted.internet import defer

from bulrushgrade import storeprobes
from bulrushgrade_daemon import storeepoch
from bulrushgrade_daemon import storetopics
from bulrushgrade_daemon import topicreader

CONTACT_S = 3.0
STEP_S = 0.01
READ_S = 0.02
TIME_LIMIT_S = 0.5
TOPICS = {
    "configuration": (1.43, 0.0),
    "endpoints": (0.0, 0.91),
    "crashes": (2.14, 0.1),
    "peers": (15.0, 1.0),
    "keys": (1.43, 0.0),
}
"""How long a read of each topic waits, and the pause after it."""

UNRELAYED_TOPIC = "keys"
"""Its records are secrets, so that each host must read them itself."""


class Store:
    """Topics of a store.

    Attributes:
        refused: Names of hosts whose calls are refused.
        silent: Names of hosts whose calls reach their time limit.
        calls: When each read began, of which host and topic.
    """

    def __init__(self, timers):
        self.timers = timers
        self.epoch = 1
        self.logs = {topic: [] for topic in TOPICS}
        self.refused, self.silent = set(), set()
        self.calls = []

    def append(self, value):
        """Appends a record to each topic."""
        for log in self.logs.values():
            record = topicreader.KeyedRecord(
                key=f"k{len(log)}", value=value, offset=len(log)
            )
            log.append((self.timers.now, record))

    def go_back(self):
        """Returns from a copy that lacks the last record."""
        self.epoch += 1
        self.logs = {topic: log[:-1] for topic, log in self.logs.items()}

    async def call(self, name, topic, offset, wait_s):
        """Returns the records from an offset on, or a failure."""
        began = self.timers.now
        self.calls.append((began, name, topic))
        while True:
            await self.timers.sleep(READ_S)
            if name in self.silent:
                await self.timers.sleep(TIME_LIMIT_S)
                return Failure(topicreader.StoreAway(reason="timeout"))
            if name in self.refused:
                return Failure(topicreader.StoreAway(reason="refused"))
            found = [record for _, record in self.logs[topic]]
            if offset > len(found):
                dropped = topicreader.RecordsDropped(epoch=self.epoch)
                return Failure(dropped)
            if found[offset:] or self.timers.now - began >= wait_s:
                return Success(tuple(found[offset:]))

    def reader(self, name, topic):
        async def read(kind, offset, wait_s):
            found = await self.call(name, topic, offset, wait_s)
            return found.map(
                lambda records: kind(
                    records=records,
                    end=offset + len(records),
                    epoch=self.epoch,
                )
            )

        return topicreader.KeyedReader(
            read_all=lambda: read(topicreader.Listing, 0, 0.0),
            read_after=lambda *args: read(topicreader.Batch, *args),
        )


class Host:
    """One host with the values that it knows of each topic."""

    def __init__(self, name, fleet, contact_s):
        self.name, self.zone = name, name[:2]
        self.must_read = False
        self.lines = fakes.EventRecorder()
        self.known = {topic: {} for topic in TOPICS}
        self.topics = storetopics.StoreTopics(
            own_name=name,
            rank_hosts=lambda key: fleet.rank(self.zone, key),
            send=lambda peer, message: fleet.carry(name, peer, message),
            epoch=storeepoch.StoreEpoch(
                timers=fleet.timers, log=self.lines.make()
            ),
            timers=fleet.timers,
            rng=random.Random(name),
            log=self.lines.make(),
            on_broken=fleet.broken.append,
            probe_contact_s=contact_s,
        )
        self.followers = {
            topic: self.topics.follow(
                topic,
                fleet.store.reader(name, topic),
                wait_s=wait_s,
                pause_s=pause_s,
                on_records=lambda records, t=topic: self.extend(t, records),
                on_all=lambda records, t=topic: self.replace(t, records),
                must_read=lambda: self.must_read,
                keeps_records=topic != UNRELAYED_TOPIC,
            )
            for topic, (wait_s, pause_s) in TOPICS.items()
        }

    def extend(self, topic, records):
        self.known[topic] |= {r.key: r.value for r in records}

    def replace(self, topic, records):
        self.known[topic] = {}
        self.extend(topic, records)

    def count(self, name):
        return sum(f.counts.get(name, 0) for f in self.followers.values())


class Fleet:
    """The hosts, their store and their network.

    Attributes:
        gone: Names of hosts that are no longer present.
        lost: Names of hosts whose messages get lost.
    """

    def __init__(self, *, contact_s=CONTACT_S, zones=4, count=21):
        self.reactor, self.timers, self.broken = fakes.make_timers()
        self.store = Store(self.timers)
        self.gone, self.lost = set(), set()
        self.contact_s = contact_s
        self.ranks = {}
        self.hosts = {}
        for zone, n in itertools.product(range(zones), range(count)):
            self.hosts[f"z{zone}h{n}"] = None
        self.store.append(b"first")
        for name in self.hosts:
            self.start(name)
        self.run(20.0)

    def start(self, name):
        """Starts a host that has loaded nothing."""
        self.ranks.clear()
        self.hosts[name] = Host(name, self, self.contact_s)
        for made in self.hosts[name].followers.values():
            fakes.run(made.start())

    def kill(self, name):
        """Ends a host, which counts as present until it is in `gone`."""
        self.lost.add(name)
        self.ranks.clear()
        for made in self.hosts.pop(name).followers.values():
            defer.Deferred.fromCoroutine(made.stop())

    def forget(self, name):
        """Ends the time for which a killed host counts as present."""
        self.gone.add(name)
        self.ranks.clear()

    def rank(self, zone, key):
        if (zone, key) not in self.ranks:
            names = (n for n in self.hosts.keys() | self.lost if n[:2] == zone)
            self.ranks[zone, key] = sorted(
                (n for n in names if n not in self.gone),
                key=lambda n: zlib.crc32(f"{key} {n}".encode()),
            )
        return list(self.ranks[zone, key])

    def find_probers(self):
        """Returns the hosts of all zones that probe often."""
        zones = sorted({name[:2] for name in self.hosts})
        key, count = storeprobes.PROBE_KEY, storeprobes.PROBERS
        return [n for zone in zones for n in self.rank(zone, key)[:count]]

    def carry(self, sender, peer, message):
        if sender not in self.lost and peer not in self.lost:
            self.hosts[peer].topics.receive(message)
        return True

    def run(self, seconds):
        """Lets time pass; checks that no view is younger than it says."""
        for step in range(round(seconds / STEP_S)):
            self.reactor.advance(STEP_S)
            if step % 25 == 0:
                self.check_ages()

    def check_ages(self):
        for host, topic in itertools.product(self.hosts.values(), TOPICS):
            dump = host.followers[topic].dump()
            if dump["epoch"] != self.store.epoch:
                continue
            as_of = self.timers.now - dump["age_s"]
            log = self.store.logs[topic]
            older = sum(1 for at, _ in log if at < as_of - 1e-6)
            assert dump["next"] >= older, (host.name, topic, dump)

    def fail(self, seconds, *, refused=(), silent=()):
        """Lets the store fail for a time; returns the calls that it got."""
        self.store.refused |= set(refused)
        self.store.silent |= set(silent)
        before = len(self.store.calls)
        self.run(seconds)
        return len(self.store.calls) - before

    def restore(self):
        self.store.refused.clear()
        self.store.silent.clear()

    def is_behind(self):
        """Returns whether a host lacks records that it can get."""
        current = {
            topic: {r.key: r.value for _, r in log}
            for topic, log in self.store.logs.items()
        }
        failing = self.store.refused | self.store.silent
        return any(
            host.known[topic] != current[topic]
            for host in self.hosts.values()
            for topic in TOPICS
            if topic != UNRELAYED_TOPIC or host.name not in failing
        )

    def seconds_until_current(self, limit_s=12.0):
        """Returns the seconds until all hosts know all records."""
        began = self.timers.now
        while self.is_behind() and self.timers.now - began < limit_s:
            self.run(5 * STEP_S)
        return self.timers.now - began
