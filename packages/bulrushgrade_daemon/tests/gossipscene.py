"""Hosts that exchange loads over a simulated network."""

import collections

import fakes

from bulrushgrade import directory
from bulrushgrade import peerloads
from bulrushgrade_daemon import configurationversions
from bulrushgrade_daemon import endpointsignals
from bulrushgrade_daemon import keys
from bulrushgrade_daemon import loadgossip
from bulrushgrade_daemon import partexchange
from bulrushgrade_daemon import peerlink
from bulrushgrade_daemon import ratelimits
from bulrushgrade_daemon import signalexchange
from bulrushgrade_daemon import topicreader


class Net:
    """Delivers datagrams between hosts or drops them."""

    def __init__(self):
        self.links = {}
        self.zones = {}
        self.cut = False
        self.lost = set()
        self.carried = collections.Counter()
        self.sent_bytes = collections.Counter()

    def carry(self, port, data, address):
        self.carried[port] += 1
        self.sent_bytes[port] += len(data)
        to = address[1]
        if self.cut or {port, to} & self.lost or to not in self.links:
            return
        self.links[to].datagramReceived(data, ("127.0.0.1", port))


class Transport:
    """The datagram transport of one host."""

    def __init__(self, *, net, port):
        self._net = net
        self._port = port

    def write(self, data, address):
        self._net.carry(self._port, data, address)


PEER_TTL_S = 3.0

SHARE = peerloads.EngineShare(
    queued_s={0: 0.25, 2: 0.5}, streams=3, tokens=9_000
)


class Host:
    """The load gossip of one daemon."""

    def __init__(self, *, net, name, port, timers, zone):
        self.net, self.port, self.zone = net, port, zone
        self.loads = peerloads.PeerLoads()
        self.own = {}
        self.able = True
        self.version = 0
        self.changes = []
        self.others = []
        self.lines = fakes.EventRecorder()
        self.limits = ratelimits.RateLimits(
            timers=timers, log=self.lines.make()
        )
        self.signals = endpointsignals.EndpointSignals(
            timers=timers,
            limits=self.limits,
            directory=lambda: self.directory,
            log=self.lines.make(),
        )
        self.directory = directory.Directory(
            leaving_use_s=1.0, drains=self.signals.drains
        )
        self.link = peerlink.PeerLink(
            reactor=None,
            timers=timers,
            host_name=name,
            zone=zone,
            listen=keys.Address(host="127.0.0.1", port=port),
            membership=None,
            on_message=lambda message: self.gossip.receive(message),
            log=self.lines.make(),
            on_broken=None,
        )
        self.make_gossip(f"{name}/1", timers)
        self.link.transport = Transport(net=net, port=port)
        net.links[port] = self.link
        net.zones[port] = zone

    def make_gossip(self, own_name, timers):
        self.versions = configurationversions.ConfigurationVersions(
            timers=timers,
            own=lambda: self.version,
            must_hear=lambda: True,
            peer_ttl_s=PEER_TTL_S,
            log=self.lines.make(),
        )
        self.parts = fakes.make_parts(timers)
        self.gossip = loadgossip.LoadGossip(
            timers=timers,
            own_name=own_name,
            link=self.link,
            loads=self.loads,
            read_own=lambda: self.own,
            may_order=lambda: self.able,
            apply_changes=lambda e, c: self.changes.append((e, c)),
            handle_other=self.others.append,
            signals=signalexchange.SignalExchange(
                limits=self.limits, signals=self.signals
            ),
            parts=partexchange.PartExchange(timers=timers, sharing=self.parts),
            versions=self.versions,
            log=self.lines.make(),
        )
        self.gossip.schedule()


def make(count=3, zones=1):
    reactor, timers, _ = fakes.make_timers()
    net = Net()
    hosts = [
        Host(net=net, name=f"h{n}", port=n, timers=timers, zone=f"z{n % zones}")
        for n in range(1, count + 1)
    ]
    records = tuple(
        topicreader.KeyedRecord(
            key=f"h{host.port}",
            value=b'{"address": "127.0.0.1:%d", "zone": "%s"}'
            % (host.port, host.zone.encode()),
        )
        for host in hosts
    )
    for host in hosts:
        host.link.apply_records(records)
    return reactor, timers, net, hosts
