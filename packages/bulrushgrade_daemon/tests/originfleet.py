"""Emulates hosts that tell each other what began their streams.

Hosts follow the endpoints' records with a lag, hear each other unless they are
cut off, and lose what they know when they end. Messages go as datagrams.
"""

import random

import attrs
import fakes
from test_directory import make as make_registration
from test_inflight import ROUTE
from twisted.internet import defer

from bulrushgrade import directory
from bulrushgrade import routing
from bulrushgrade import softwareversions
from bulrushgrade import streamorigins
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import originsharing

SETTLE_S = 2.0
READ_PERIOD_S = 0.9
TRANSIT_S = 0.002
DEADLINE_S = 3.0
SERVICE = "feed"
FEED = attrs.evolve(
    ROUTE,
    resumable=True,
    by_prompt=False,
    timeout_s=DEADLINE_S,
    targets=(routing.Target(service=SERVICE, weight=1.0),),
)
TABLE = routing.RouteTable(
    configuration=routing.Configuration(
        version=1, routes=(FEED,), services={}, limits=None
    )
)


@attrs.frozen(kw_only=True)
class Caller:
    """A caller whose request arrived at a given time."""

    arrived_at: float


@attrs.frozen(kw_only=True)
class Stream:
    """A stream that a caller may resume until its deadline."""

    id: str
    software: str
    deadline: float


class Host:
    """One host, from its start to its end."""

    def __init__(self, *, fleet, name, start_number):
        self.fleet = fleet
        self.name = f"{name}/{start_number:08x}"
        self.is_alive = True
        self.as_of = None
        self.software = softwareversions.SoftwareVersions()
        self.endpoints = directory.Directory(leaving_use_s=0.8)
        self.sharing = originsharing.OriginSharing(
            timers=fleet.timers,
            own_name=self.name,
            knowledge=originsharing.Knowledge(
                table=lambda: TABLE,
                software=self.software,
                age_s=self.age_s,
                settle_s=SETTLE_S,
                present=self.present,
                has_peers=self.has_peers,
            ),
            send=self.send,
            log=fakes.EventRecorder().make(),
        )
        defer.ensureDeferred(self.sharing.start())
        self.read()
        offset_s = fleet.rng.uniform(0, READ_PERIOD_S)
        fleet.reactor.callLater(offset_s, self.read_always)

    def age_s(self):
        return None if self.as_of is None else self.fleet.now - self.as_of

    def has_peers(self):
        return len(self.fleet.hosts) > 1 and not self.fleet.has_lost_hosts

    def present(self):
        """Returns who is heard; one that ended is so for a moment."""
        if self.fleet.has_lost_hosts:
            return [self.name]
        heard = [
            host.name
            for host in self.fleet.hosts.values()
            if host is not self and not self.fleet.is_cut(self, host)
        ]
        return [self.name, *sorted(heard)]

    def send(self, peer, message):
        datagram = gatewaymessages.serialize(message)
        self.fleet.sent_bytes += len(datagram)
        self.fleet.sent += 1
        self.fleet.reactor.callLater(
            TRANSIT_S, self.fleet.deliver, self, peer, datagram
        )
        return True

    def read_always(self):
        if self.is_alive:
            self.read()
            self.fleet.reactor.callLater(READ_PERIOD_S, self.read_always)

    def read(self):
        """Reads all records, if the store is reachable."""
        now = self.fleet.now
        if self.name in self.fleet.without_store:
            return
        changes = self.endpoints.replace(
            list(self.fleet.records.values()), now=now
        )
        for change in changes:
            self.software.observe(change, now)
        self.software.begin(now)
        self.as_of = now

    def usable(self):
        """Returns the endpoints for a new stream, as the chooser has them."""
        found = self.endpoints.usable(SERVICE, now=self.fleet.now)
        settled = [
            endpoint
            for endpoint in found
            if self.sharing.is_settled(SERVICE, endpoint.software)
        ]
        return settled or found

    def begin(self, id):
        """Begins a stream and returns it; None if there is no endpoint."""
        running = self.fleet.records
        found = [one for one in self.usable() if one.id in running]
        if not found:
            return None
        return self.begin_at(id, self.fleet.rng.choice(found))

    def begin_at(self, id, endpoint, resumes=None):
        """Begins a stream, or goes on with one, at an endpoint.

        Args:
            id: The attempt's id.
            endpoint: The endpoint as this host knows it. The stream is from
                what has its id now.
            resumes: The id of the attempt that began the stream, or None.
        """
        request = self.make_request(id, resumes)
        request.endpoint = endpoint
        request.origin = streamorigins.Origin(
            service=SERVICE, software=endpoint.software
        )
        self.sharing.record(request)
        return Stream(
            id=resumes or id,
            software=self.fleet.records[endpoint.id].software,
            deadline=self.fleet.now + DEADLINE_S,
        )

    def make_request(self, id, resumes=None):
        info = dialect.RequestInfo(
            request_id=id,
            deadline_s=DEADLINE_S,
            prompt=None,
            last_event_id=None if resumes is None else "1",
            resumes=resumes,
        )
        return inflight.InFlight(
            caller=Caller(arrived_at=self.fleet.now),
            info=info,
            route=FEED,
            service=SERVICE,
            deadline=self.fleet.now + DEADLINE_S,
        )

    def find(self, id):
        """Returns the version at which the host goes on, None if it doesn't."""
        found = []
        request = self.make_request(f"again-{self.fleet.now}", resumes=id)
        finding = defer.ensureDeferred(self.sharing.find(request))
        finding.addCallback(found.append)
        while not found:
            self.fleet.advance(0.001, step_s=0.001)
        (origin,) = found
        return None if origin is None else origin.software


class Fleet:
    """Hosts, the endpoints' records and the cuts among hosts."""

    def __init__(self, count=6, *, seed=1, versions=("v1", "v1")):
        self.reactor, self.timers, self.broken = fakes.make_timers()
        self.rng = random.Random(seed)
        self.records = {}
        self.hosts = {}
        # Whether the topic has lost the hosts' announcements.
        self.has_lost_hosts = False
        self.without_store = set()
        self.cut_off = set()
        self.sent = self.sent_bytes = 0
        self._starts = 0
        for number, software in enumerate(versions):
            self.register(f"e{number}", software)
        for number in range(count):
            self.start(f"h{number}")

    @property
    def now(self):
        return self.timers.now

    def start(self, name):
        """Starts a host, in place of one that ends."""
        if name in self.hosts:
            self.kill(name)
        self._starts += 1
        self.hosts[name] = Host(
            fleet=self, name=name, start_number=self._starts
        )
        return self.hosts[name]

    def kill(self, name):
        host = self.hosts.pop(name)
        host.is_alive = False
        defer.ensureDeferred(host.sharing.stop())

    def restart_all(self):
        """Ends all hosts at once and starts them again."""
        names = list(self.hosts)
        for name in names:
            self.kill(name)
        for name in names:
            self.start(name)

    def register(self, id, software, born_ms=0):
        """Writes an endpoint's record; it reuses its id if it states a start.

        Args:
            id: Its id.
            software: The version of its software.
            born_ms: When it started, 0 if it doesn't say.
        """
        self.records[id] = make_registration(
            id, service=SERVICE, software=software, born_ms=born_ms
        )

    def remove(self, id):
        del self.records[id]

    def is_cut(self, *hosts):
        return any(host.name in self.cut_off for host in hosts)

    def deliver(self, sender, peer, datagram):
        for host in self.hosts.values():
            if host.name == peer and not self.is_cut(sender, host):
                host.sharing.receive(gatewaymessages.parse(datagram))

    def advance(self, seconds, step_s=0.05):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.reactor.advance(min(step_s, end - self.now))
