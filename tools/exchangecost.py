"""Simulates the exchange of loads at several sizes and prints its cost.

The production modules run in one process on a simulated clock; an in-memory
network counts what each host sends. Usage: python tools/exchangecost.py
"""

import collections
import statistics

import attrs
from twisted.internet import task

from bulrushgrade import directory
from bulrushgrade import partledger
from bulrushgrade import peerloads
from bulrushgrade_daemon import clock
from bulrushgrade_daemon import configurationversions
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import endpointsignals
from bulrushgrade_daemon import loadgossip
from bulrushgrade_daemon import partexchange
from bulrushgrade_daemon import partsharing
from bulrushgrade_daemon import peerlink
from bulrushgrade_daemon import ratelimits
from bulrushgrade_daemon import recordwriter
from bulrushgrade_daemon import signalexchange
from bulrushgrade_daemon import topicreader

SIZES = ((9, 4, 9), (63, 3, 60), (195, 6, 74), (330, 12, 1800))
"""Numbers of hosts, availability zones and engines of each simulation."""

BUSY_ENGINES = 12
"""Number of engines at which a host has work at any moment."""

VERSION = 1000
"""Version of the configuration that all hosts have in force."""

PEER_TTL_S = 3.0
WARMUP_S = 3.0
MEASUREMENT_S = 5.0
STEP_S = 0.02
BYTES_PER_KB = 1000


def _make_parts(timers, log):
    """Returns what knows prompt parts at crashes; there are none."""
    writer = recordwriter.RecordWriter(
        name="parts", timers=timers, write=None, on_broken=print
    )
    return partsharing.PartSharing(
        timers=timers,
        ledger=partledger.PartLedger(),
        writer=writer,
        owns=lambda key: True,
        leads=lambda: True,
        explain_crashes=lambda endpoints: None,
        log=log,
    )


class Network:
    """Delivers datagrams immediately and counts them by sender."""

    def __init__(self):
        self.links = {}
        self.messages = collections.Counter()
        self.bytes = collections.Counter()

    def deliver(self, sender, data, address):
        """Delivers a datagram and counts its bytes."""
        self.messages[sender] += 1
        self.bytes[sender] += len(data)
        self.links[address[1]].datagramReceived(data, ("127.0.0.1", sender))


@attrs.frozen(kw_only=True)
class Transport:
    """The datagram transport of one host."""

    network: Network
    port: int

    def write(self, data, address):
        """Sends a datagram."""
        self.network.deliver(self.port, data, address)


class Host:
    """One host, whose reported load encodes when it was read."""

    def __init__(self, *, network, timers, port, zone, engines):
        self.loads = peerloads.PeerLoads()
        name = f"front-{zone}-{port}"
        log = decisionlog.DecisionLog(host=name, write=len)
        self.limits = ratelimits.RateLimits(timers=timers, log=log)
        self.link = peerlink.PeerLink(
            reactor=None,
            timers=timers,
            host_name=name,
            zone=zone,
            listen=None,
            membership=None,
            on_message=lambda message: self.gossip.receive(message),
            log=log,
            on_broken=print,
        )
        own_engines = [
            f"i-{(port * 7 + n) % engines:08x}" for n in range(BUSY_ENGINES)
        ]

        def read_own():
            # The clock in milliseconds as a token count, so that the mean age
            # of a sum can be computed.
            share = peerloads.EngineShare(
                queued_s={0: 0.1, 2: 0.4}, streams=1, tokens=9_000
            )
            shares = dict.fromkeys(own_engines, share)
            tokens = round(timers.now * 1000)
            shares["age"] = peerloads.EngineShare(streams=1, tokens=tokens)
            return shares

        self.gossip = loadgossip.LoadGossip(
            timers=timers,
            own_name=f"{name}/{port:08x}",
            link=self.link,
            loads=self.loads,
            read_own=read_own,
            may_order=lambda: True,
            apply_changes=lambda engine, changes: None,
            handle_other=print,
            signals=signalexchange.SignalExchange(
                limits=self.limits,
                signals=endpointsignals.EndpointSignals(
                    timers=timers,
                    limits=self.limits,
                    directory=lambda: directory.Directory(leaving_use_s=1.0),
                    log=log,
                ),
            ),
            parts=partexchange.PartExchange(
                timers=timers, sharing=_make_parts(timers, log)
            ),
            versions=configurationversions.ConfigurationVersions(
                timers=timers,
                own=lambda: VERSION,
                must_hear=lambda: True,
                peer_ttl_s=PEER_TTL_S,
                log=log,
            ),
            log=log,
        )
        self.link.transport = Transport(network=network, port=port)
        network.links[port] = self.link
        self.record = topicreader.KeyedRecord(
            key=name,
            value=b'{"address":"127.0.0.1:%d","zone":"%s"}'
            % (port, zone.encode()),
        )


def simulate(count, zones, engines):
    """Simulates one size.

    Returns:
        The mean ages of received sums in seconds, the numbers of hosts missing
        in them, and the network with its counters.
    """
    reactor = task.Clock()
    timers = clock.TimerService(
        reactor=reactor, on_broken=print, clock=reactor.seconds
    )
    timers._running = True
    network = Network()
    hosts = [
        Host(
            network=network,
            timers=timers,
            port=port,
            zone=f"zone-{port % zones}",
            engines=engines,
        )
        for port in range(1, count + 1)
    ]
    for number, host in enumerate(hosts):
        host.link.apply_records(tuple(h.record for h in hosts))
        # Staggers the hosts' starts.
        timers.after(STEP_S * (number % 20), host.gossip.schedule)
    ages, unknown_hosts = [], []
    steps = round((WARMUP_S + MEASUREMENT_S) / STEP_S)
    for step in range(steps):
        reactor.advance(STEP_S)
        if step == round(WARMUP_S / STEP_S):
            network.messages.clear()
            network.bytes.clear()
        if step * STEP_S > WARMUP_S and step % 25 == 0:
            for host in hosts[:: max(1, count // 20)]:
                load = host.loads.at("age", timers.now)
                unknown_hosts.append(count - 1 - load.streams)
                if load.streams:
                    mean_ms = load.tokens / load.streams
                    ages.append(timers.now - mean_ms / 1000)
    return ages, unknown_hosts, network


def main():
    """Prints one row per size."""
    print(
        "hosts zones engines | age s mean, most | unknown hosts, mean |"
        " messages/s median, most | kB/s sent median, most"
    )
    for count, zones, engines in SIZES:
        ages, unknown_hosts, network = simulate(count, zones, engines)
        messages = sorted(n / MEASUREMENT_S for n in network.messages.values())
        sent = sorted(
            n / MEASUREMENT_S / BYTES_PER_KB for n in network.bytes.values()
        )
        print(
            f"{count} {zones} {engines} |"
            f" {statistics.mean(ages):.2f}, {max(ages):.2f} |"
            f" {statistics.mean(unknown_hosts):.1f} |"
            f" {statistics.median(messages):.0f}, {messages[-1]:.0f} |"
            f" {statistics.median(sent):.1f}, {sent[-1]:.1f}"
        )


if __name__ == "__main__":
    main()
