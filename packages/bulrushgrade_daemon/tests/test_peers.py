"""Tests of the peers service with real sockets on the loopback interface."""

import random

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest
import zmq

from bulrushgrade import kernel
from bulrushgrade import membership
from bulrushgrade import peerview
from bulrushgrade import publication
from bulrushgrade import subset
from bulrushgrade import timer
from bulrushgrade import work
from bulrushgrade_daemon import keys
from bulrushgrade_daemon import metrics
from bulrushgrade_daemon import peermessages
from bulrushgrade_daemon import peers
from bulrushgrade_daemon import peersocket

LOCAL = keys.Address(host="127.0.0.1", port=0)
LOADS = (
    work.PeerLoad(endpoint="e1", running=1, kv_tokens=10),
    work.PeerLoad(endpoint="e2", running=2, prefill_backlog_tokens=300),
)


class Timers(timer.Timers):
    """Timers as a service, driven by the reactor's clock."""

    name = "timer"
    requires = ()

    async def start(self):
        self.ticks = task.LoopingCall(lambda: self.advance(reactor.seconds()))
        self.ticks.start(0.01)

    async def stop(self):
        self.ticks.stop()

    def receive(self, message):
        pass

    def dump(self):
        return {}


class Node:
    """The peers service of one daemon with the services that it needs."""

    def __init__(
        self,
        listen=LOCAL,
        seed=1,
        queue_messages=100,
        loads_bytes_per_s=1e9,
    ):
        self.broken = []
        self.loads = LOADS
        self.received_loads = []
        self.snapshot_requests = []
        self.snapshots = []
        self.kernel = kernel.Kernel(
            call_soon=lambda call: reactor.callLater(0, call),
            on_broken=self.broken.append,
        )
        self.metrics = metrics.Metrics()
        timers = Timers(now=reactor.seconds())
        self.peers = peers.Peers(
            kernel=self.kernel,
            reactor=reactor,
            timers=timers,
            listen=listen,
            queue_messages=queue_messages,
            loads_bytes_per_s=loads_bytes_per_s,
            read_loads=lambda: self.loads,
            read_demands=lambda: (),
            listeners=peermessages.Listeners(
                on_loads=lambda peer, loads: self.received_loads.append(
                    (peer, loads)
                ),
                on_demands=lambda peer, demands: None,
                on_snapshot_request=self.snapshot_requests.append,
                on_snapshot=self.snapshots.append,
            ),
            rng=random.Random(seed),
        )
        for service in (timers, self.metrics, self.peers):
            self.kernel.register(service)

    @property
    def address(self):
        return self.peers.address

    def set_peers(self, *addresses, shared=("e1", "e2")):
        self.peers.receive(
            peermessages.SetPeers(
                peers=tuple(
                    peermessages.Peer(address=a, shared=frozenset(shared))
                    for a in addresses
                )
            )
        )

    def withdraw(self, *endpoints):
        message = peermessages.ShareWithdrawn(endpoints=frozenset(endpoints))
        self.peers.receive(message)

    def count(self, name):
        return self.metrics.counter(f"peer_{name}_total", "").value


class LossyProxy(protocol.Protocol):
    """Relays bytes between a peer and a daemon; drops them once `lost`."""

    def connectionMade(self):  # noqa: N802
        self.factory.links.append(self)
        self.lost = False
        self.waiting = []
        self.upstream = None
        address = keys.parse_address(self.factory.target)
        creator = protocol.ClientCreator(reactor, protocol.Protocol)
        creator.connectTCP(address.host, address.port).addCallback(
            self.on_connected
        )

    def on_connected(self, upstream):
        self.upstream = upstream.transport
        upstream.dataReceived = lambda d: self.lost or self.transport.write(d)
        self.dataReceived(b"".join(self.waiting))

    def dataReceived(self, data):  # noqa: N802
        if self.upstream is None:
            self.waiting.append(data)
        elif not self.lost:
            self.upstream.write(data)

    def connectionLost(self, reason):  # noqa: N802
        if self.upstream is not None:
            self.upstream.loseConnection()


class PeersTest(unittest.TestCase):
    """Tests with several nodes in one process."""

    timeout = 30

    def setUp(self):
        self.patch(peers, "LOADS_PERIOD_S", 0.02)
        self.patch(peers, "WITHDRAWN_REPEAT_S", 0.1)

    async def make_node(self, **kwargs):
        node = Node(**kwargs)
        await node.kernel.start()

        async def stop():
            await node.kernel.stop()
            self.assertEqual(node.broken, [])

        node.stop = stop
        self.addCleanup(lambda: defer.ensureDeferred(stop()))
        return node

    async def make_pair(self, **kwargs):
        one, two = await self.make_node(**kwargs), await self.make_node(seed=2)
        one.set_peers(two.address)
        two.set_peers(one.address)
        return one, two

    async def wait_for(self, condition, each_turn=lambda: None):
        """Waits until a condition holds, at most until the test times out."""
        while not condition():
            each_turn()
            await task.deferLater(reactor, 0.01, lambda: None)

    async def test_loads_sent_to_a_peer_cover_shared_endpoints_only(self):
        one, two = await self.make_pair()
        one.set_peers(two.address, shared=["e2"])
        await self.wait_for(lambda: two.received_loads)
        self.assertEqual(two.received_loads[0], (one.address, LOADS[1:]))

    async def test_bad_addresses_in_the_list_are_left_out(self):
        one, two = await self.make_pair()
        one.set_peers("", "localhost:70", "10.0.0.1", two.address)
        self.assertEqual(list(one.peers.dump()["peers"]), [two.address])
        await self.wait_for(lambda: two.received_loads)

    async def test_idle_daemon_sends_empty_loads_once(self):
        one, two = await self.make_pair()
        await self.wait_for(lambda: two.received_loads)
        one.loads = ()
        await self.wait_for(lambda: two.received_loads[-1][1] == ())
        count = len(two.received_loads)
        one.withdraw("e1")
        await self.wait_for(lambda: not two.peers.find_unconfirmed("e1"))
        one.withdraw()
        await self.wait_for(lambda: two.peers.find_unconfirmed("e1"))
        self.assertEqual(len(two.received_loads), count)
        one.loads = LOADS
        await self.wait_for(lambda: two.received_loads[-1][1] == LOADS)

    async def test_daemon_identifies_itself_by_its_listed_address(self):
        one = await self.make_node()
        host, _, _ = one.address.rpartition(":")
        self.assertEqual(host, "127.0.0.1")

    async def test_withdrawn_reaches_a_peer_that_connects_later(self):
        one, two = await self.make_node(), await self.make_node(seed=2)
        one.withdraw("e1")
        two.set_peers(one.address)
        self.assertEqual(two.peers.find_unconfirmed("e1"), (one.address,))
        self.assertEqual(two.peers.find_unconfirmed("not shared"), ())
        one.set_peers(two.address)
        await self.wait_for(lambda: not two.peers.find_unconfirmed("e1"))

    async def test_daemon_that_is_not_listed_gets_a_snapshot(self):
        # A daemon starts before the host list has it. Its peers drop its loads,
        # as those of any unlisted sender, but must answer its request, or it
        # would not become ready until the list has it.
        old, new = await self.make_node(), await self.make_node(seed=2)
        new.set_peers(old.address)
        new.peers.receive(peermessages.AskSnapshot())
        await self.wait_for(lambda: old.snapshot_requests)
        snapshot = publication.Snapshot(next_offset=41, digest="0", states=())
        old.peers.receive(
            peermessages.AnswerSnapshot(
                reply_to=old.snapshot_requests[0], snapshot=snapshot
            )
        )
        await self.wait_for(lambda: new.snapshots)
        self.assertEqual(new.snapshots, [snapshot])
        self.assertFalse(new.peers.dump()["asking_for_snapshot"])
        await self.wait_for(lambda: old.count("messages_refused"))
        self.assertEqual(old.received_loads, [])

    async def test_replaced_peer_receives_no_old_loads(self):
        # Loads queue up for a peer that is down. If its new process received
        # them all, the oldest first, its placement would avoid idle engines.
        one, two = await self.make_pair()
        await self.wait_for(lambda: two.received_loads)
        listen = keys.parse_address(two.address)
        await two.stop()
        await self.wait_for(lambda: one.count("messages_dropped") > 20)
        one.loads = (work.PeerLoad(endpoint="e1", running=9),)
        again = await self.make_node(listen=listen, seed=3)
        again.set_peers(one.address)
        await self.wait_for(lambda: again.received_loads)
        self.assertEqual(again.received_loads[0][1], one.loads)

    async def test_connection_that_went_silent_is_replaced(self):
        # A firewall drops the state of a connection: bytes are lost without an
        # error, while a new connection works. Without heartbeats, which make
        # ZeroMQ reconnect, the peer's loads would be missing permanently.
        self.patch(peersocket, "HEARTBEAT_INTERVAL_S", 0.1)
        self.patch(peersocket, "HEARTBEAT_TIMEOUT_S", 0.3)
        one, two = await self.make_node(), await self.make_node(seed=2)
        two.set_peers(one.address)
        factory = protocol.Factory.forProtocol(LossyProxy)
        factory.links = []
        factory.target = two.address
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        one.set_peers(f"127.0.0.1:{port.getHost().port}")
        await self.wait_for(lambda: two.received_loads)
        factory.links[0].lost = True
        await self.wait_for(lambda: len(factory.links) > 1)
        one.loads = (work.PeerLoad(endpoint="e1", running=9),)
        await self.wait_for(lambda: two.received_loads[-1][1] == one.loads)
        await one.stop()
        await port.stopListening()
        await self.wait_for(
            lambda: not any(x.transport.connected for x in factory.links)
        )

    async def test_loads_keep_within_the_bytes_allowed(self):
        one, two = await self.make_pair(loads_bytes_per_s=300.0)
        started_at = reactor.seconds()
        await self.wait_for(lambda: len(two.received_loads) > 7)
        spent_s = reactor.seconds() - started_at
        header = peerview.Header(
            sender=one.address, incarnation=2**52, sequence=100
        )
        message = peerview.make_loads(header, LOADS)
        size = len(peerview.serialize_message(message))
        # The burst of 2 s, the allowance since then and one round of overdraft;
        # the numbers in real headers are up to 18 characters shorter.
        allowed = 300.0 * (peers.BURST_S + spent_s) + size
        self.assertLessEqual(8 * (size - 18), allowed)
        self.assertGreater(one.count("loads_paced"), 0)
        # Withdrawn endpoints are sent regardless of the allowance.
        one.withdraw("e1")
        await self.wait_for(lambda: not two.peers.find_unconfirmed("e1"))

    async def test_peer_that_reads_nothing_costs_a_bounded_queue(self):
        # A peer keeps its connection open but reads nothing. Without a bounded
        # queue the loads for it would use memory until the daemon is killed.
        # Other peers must still receive theirs.
        context = zmq.Context()
        stalled = context.socket(zmq.ROUTER)
        stalled.setsockopt(zmq.RCVHWM, 1)
        port = stalled.bind_to_random_port("tcp://127.0.0.1")
        names = [f"10.0.{n // 250}.{n % 250}:80" for n in range(5000)]
        loads = tuple(work.PeerLoad(endpoint=n, running=1) for n in names)
        one, two = await self.make_pair(queue_messages=4)
        one.loads = loads
        one.set_peers(f"127.0.0.1:{port}", two.address, shared=names)
        await self.wait_for(lambda: one.count("messages_dropped") > 5)
        count = len(two.received_loads)
        await self.wait_for(lambda: len(two.received_loads) > count)
        stalled.close(linger=0)
        context.term()

    async def test_garbage_is_counted_and_dropped(self):
        one, two = await self.make_node(), await self.make_node(seed=2)
        one.set_peers(two.address)
        dealer = one.peers._dealers[two.address]
        await self.wait_for(
            lambda: two.count("messages_refused") >= 2,
            lambda: dealer.send([b"\xff"]) and dealer.send([b"", b""]),
        )
        self.assertEqual(two.received_loads, [])


def make_entry(number):
    return membership.Host(
        address=f"10.0.0.{number}:80",
        kind=membership.Kind.ENTRY,
        service="",
        zone="tuzla",
        region="tr-marmara",
        state=membership.ListedState.LIVE,
        peer=f"10.0.0.{number}:70",
    )


def test_unlisted_daemon_asks_a_few_peers():
    hosts = [make_entry(number) for number in range(20)]
    subsets = subset.EndpointSubsets()
    subsets.update(hosts)
    found = peermessages.list_peers(subsets, hosts, "10.0.0.99:80")
    assert len(found) == peermessages.PEERS_TO_ASK
    assert all(peer.address.endswith(":70") for peer in found)
    assert peermessages.list_peers(subsets, hosts, "10.0.0.1:80") == ()
