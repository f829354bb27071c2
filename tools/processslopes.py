"""Measures the memory of an idle process and the cost of peer connections."""

import os
import random
import subprocess
import sys
import time

import attrs
import slope
from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
import zmq

from bulrushgrade import kernel as kernel_module
from bulrushgrade import work
from bulrushgrade_daemon import clock
from bulrushgrade_daemon import keys
from bulrushgrade_daemon import metrics
from bulrushgrade_daemon import peermessages
from bulrushgrade_daemon import peers

_IMPORTS = (
    ("Python alone", ""),
    (
        "the library",
        "from bulrushgrade import registry, scheduler, lease, once",
    ),
    (
        "the library and all that the daemon uses",
        "from bulrushgrade_daemon import admin, documents, peers, site",
    ),
)
_RSS = "print([l for l in open('/proc/self/status') if 'VmRSS' in l][0])"
_LOCAL = keys.Address(host="127.0.0.1", port=0)
_WINDOW_S = 3.0
_IDLE_S = 12.0


def measure_processes() -> list[dict[str, object]]:
    """Measures the memory of a process that has only imported modules."""
    rows = []
    for name, imports in _IMPORTS:
        code = f"{imports}\n{_RSS}"
        finished = subprocess.run(
            [sys.executable, "-c", code],
            env=dict(os.environ, PYTHONPATH=os.pathsep.join(sys.path)),
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        kib = int(finished.stdout.split()[1])
        rows.append({"imports": name, "MiB": round(kib / 1024, 1)})
    return rows


@attrs.define(kw_only=True)
class _Node:
    """A peers service in this process, with its kernel and metrics."""

    kernel: kernel_module.Kernel
    peers: peers.Peers
    metrics: metrics.Metrics
    loads: tuple[work.PeerLoad, ...] = ()

    def set_peers(self, addresses, endpoints) -> None:
        """Sets the peers; all of them share all the endpoints."""
        shared = frozenset(endpoints)
        found = tuple(
            peermessages.Peer(address=a, shared=shared) for a in addresses
        )
        self.peers.receive(peermessages.SetPeers(peers=found))


async def _start_node(seed: int) -> _Node:
    kernel = kernel_module.Kernel(
        call_soon=lambda call: reactor.callLater(0, call), on_broken=sys.exit
    )
    timers = clock.TimerService(reactor=reactor, on_broken=print)
    node_metrics = metrics.Metrics()
    nodes: list[_Node] = []
    service = peers.Peers(
        kernel=kernel,
        reactor=reactor,
        timers=timers,
        listen=_LOCAL,
        queue_messages=1000,
        loads_bytes_per_s=1e9,
        read_loads=lambda: nodes[0].loads,
        read_demands=lambda: (),
        listeners=peermessages.Listeners(
            on_loads=lambda peer, loads: None,
            on_demands=lambda peer, demands: None,
            on_snapshot_request=lambda reply_to: None,
            on_snapshot=lambda snapshot: None,
        ),
        rng=random.Random(seed),
    )
    nodes.append(_Node(kernel=kernel, peers=service, metrics=node_metrics))
    for part in (timers, node_metrics, service):
        kernel.register(part)
    await kernel.start()
    return nodes[0]


def _sleep(seconds: float) -> defer.Deferred:
    return task.deferLater(reactor, seconds, lambda: None)


async def _measure_message(endpoints: int) -> float:
    """Returns the CPU time per message in us, for both ends together."""
    one, two = await _start_node(1), await _start_node(2)
    names = [f"10.0.0.{number}:80" for number in range(endpoints)]
    one.set_peers([two.peers.address], names)
    two.set_peers([one.peers.address], names)
    await _sleep(0.5)
    one.loads = tuple(
        work.PeerLoad(endpoint=name, running=2, kv_tokens=5200)
        for name in names
    )
    counter = two.metrics.counter("peer_messages_received_total", "")
    count, cpu_s = counter.value, time.process_time()
    await _sleep(_WINDOW_S)
    cpu_s = time.process_time() - cpu_s
    count = counter.value - count
    await one.kernel.stop()
    await two.kernel.stop()
    return cpu_s / count * 1e6


async def _measure_idle_peers(connections: int) -> float:
    """Returns the CPU time per second in us with idle peers.

    The peers are bare sockets in this process that answer heartbeats, so the
    figure includes both ends of each connection.
    """
    node = await _start_node(1)
    context = zmq.Context()
    sockets = [context.socket(zmq.ROUTER) for _ in range(connections)]
    ports = [end.bind_to_random_port("tcp://127.0.0.1") for end in sockets]
    node.set_peers([f"127.0.0.1:{port}" for port in ports], ())
    await _sleep(1.0)
    cpu_s = time.process_time()
    await _sleep(_IDLE_S)
    cpu_s = time.process_time() - cpu_s
    await node.kernel.stop()
    for end in sockets:
        end.close(linger=0)
    context.term()
    return cpu_s / _IDLE_S * 1e6


class _CountingProxy(protocol.Protocol):
    """Forwards between a client and a target, and counts the bytes."""

    def connectionMade(self):  # noqa: N802
        self.transport.pauseProducing()
        creator = protocol.ClientCreator(reactor, protocol.Protocol)
        target = keys.parse_address(self.factory.target)
        creator.connectTCP(target.host, target.port).addCallback(
            self._start_forwarding
        )

    def _start_forwarding(self, connected):
        self.target_transport = connected.transport
        connected.dataReceived = lambda data: self._forward(
            data, self.transport
        )
        self.transport.resumeProducing()

    def _forward(self, data, to):
        self.factory.count += len(data)
        to.write(data)

    def dataReceived(self, data):  # noqa: N802
        self._forward(data, self.target_transport)

    def connectionLost(self, reason):  # noqa: N802
        self.target_transport.loseConnection()


async def _measure_heartbeats(connections: int) -> float:
    """Returns the bytes per second, both ways, on idle connections."""
    node, other = await _start_node(1), await _start_node(2)
    factories, ports = [], []
    for _ in range(connections):
        factory = protocol.Factory.forProtocol(_CountingProxy)
        factory.target, factory.count = other.peers.address, 0
        factories.append(factory)
        ports.append(reactor.listenTCP(0, factory, interface="127.0.0.1"))
    node.set_peers([f"127.0.0.1:{port.getHost().port}" for port in ports], ())
    await _sleep(1.0)
    before = sum(factory.count for factory in factories)
    await _sleep(_IDLE_S)
    count = sum(factory.count for factory in factories) - before
    await node.kernel.stop()
    await other.kernel.stop()
    for port in ports:
        await port.stopListening()
    return count / _IDLE_S


async def _measure_all() -> list[slope.Slope]:
    # Much shorter than in production, so that messages dominate the figure
    # and not waiting.
    period_s, peers.LOADS_PERIOD_S = peers.LOADS_PERIOD_S, 0.002
    messages = [(n, await _measure_message(n)) for n in (10, 50, 144)]
    peers.LOADS_PERIOD_S = period_s
    idle = [(n, await _measure_idle_peers(n)) for n in (8, 32, 82)]
    heartbeats = [(n, await _measure_heartbeats(n)) for n in (1, 4, 16)]
    return [
        slope.Slope(
            name="a message of loads through sockets, both ends",
            unit="us an endpoint",
            points=(*messages,),
        ),
        slope.Slope(
            name="processor time a second of idle connections, both ends",
            unit="us/s a connection",
            points=(*idle,),
        ),
        slope.Slope(
            name="bytes a second, both ways, of idle connections (heartbeats"
            " and withdrawn endpoints)",
            unit="bytes/s a connection",
            points=(*heartbeats,),
        ),
    ]


def measure_sockets() -> list[slope.Slope]:
    """Measures messages and idle connections between peers on loopback."""
    results: list[object] = []

    def start() -> None:
        deferred = defer.Deferred.fromCoroutine(_measure_all())
        deferred.addBoth(results.append)
        deferred.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    if not isinstance(results[0], list):
        results[0].raiseException()
    return results[0]
