"""Tests of the peers service, with its real sockets on loopback."""

import random

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest

from bulrushgrade import kernel
from bulrushgrade import membership
from bulrushgrade import peerview
from bulrushgrade import subset
from bulrushgrade import timer
from bulrushgrade_daemon import keys
from bulrushgrade_daemon import metrics
from bulrushgrade_daemon import peermessages
from bulrushgrade_daemon import peers

LOCAL = keys.Address(host="127.0.0.1", port=0)
LOADS = {"e1": peerview.Load(requests=1), "e2": peerview.Load(requests=2)}


class Inbox:
    """A service that keeps what it gets."""

    name = "inbox"
    requires = ()

    def __init__(self):
        self.heard = []

    async def start(self):
        pass

    async def stop(self):
        pass

    def receive(self, message):
        self.heard.append(message)

    def dump(self):
        return {}

    def select(self, kind):
        return [x.message for x in self.heard if isinstance(x.message, kind)]


class Node:
    """One daemon's peers service with what it needs around it."""

    def __init__(self, listen=LOCAL, seed=1, loads_bytes_per_s=1e6):
        self.broken = []
        self.kernel = kernel.Kernel(
            call_soon=lambda call: reactor.callLater(0, call),
            on_broken=self.broken.append,
        )
        self.timers = timer.Timers(now=reactor.seconds())
        self.inbox = Inbox()
        self.metrics = metrics.Metrics()
        self.peers = peers.Peers(
            kernel=self.kernel,
            reactor=reactor,
            timers=self.timers,
            listen=listen,
            queue_messages=100,
            loads_bytes_per_s=loads_bytes_per_s,
            receivers={
                kind: "inbox"
                for kind in (
                    peerview.Loads,
                    peerview.Withdrawn,
                    peerview.SnapshotRequest,
                    peerview.SnapshotReply,
                )
            },
            rng=random.Random(seed),
        )
        for service in (self.inbox, self.metrics, self.peers):
            self.kernel.register(service)

    @property
    def address(self):
        return self.peers.address

    def know(self, *addresses, shared=("e1", "e2")):
        self.peers.receive(
            peermessages.SetPeers(
                peers=tuple(
                    peermessages.Peer(address=a, shared=frozenset(shared))
                    for a in addresses
                )
            )
        )

    def share(self, loads=None):
        loads = LOADS if loads is None else loads
        self.peers.receive(peermessages.ShareLoads(loads=loads))


class BlackHole(protocol.Protocol):
    """Passes bytes between a peer and a daemon until told to lose them."""

    def connectionMade(self):  # noqa: N802
        self.factory.links.append(self)
        self.lost = False
        self.waiting = []
        self.far = None
        address = keys.parse_address(self.factory.target)
        creator = protocol.ClientCreator(reactor, protocol.Protocol)
        creator.connectTCP(address.host, address.port).addCallback(self.join)

    def join(self, far):
        self.far = far.transport
        far.dataReceived = lambda d: self.lost or self.transport.write(d)
        self.dataReceived(b"".join(self.waiting))

    def dataReceived(self, data):  # noqa: N802
        if self.far is None:
            self.waiting.append(data)
        elif not self.lost:
            self.far.write(data)

    def connectionLost(self, reason):  # noqa: N802
        if self.far is not None:
            self.far.loseConnection()


class PeersTest(unittest.TestCase):
    """Nodes in one process."""

    timeout = 30

    async def make_node(self, **kwargs):
        node = Node(**kwargs)
        await node.kernel.start()
        ticks = task.LoopingCall(lambda: node.timers.advance(reactor.seconds()))
        ticks.start(0.01)

        async def stop():
            if ticks.running:
                ticks.stop()
            await node.kernel.stop()
            self.assertEqual(node.broken, [])

        node.stop = stop
        self.addCleanup(lambda: defer.ensureDeferred(stop()))
        return node

    async def wait_for(self, condition, each_turn=lambda: None):
        """Waits until a condition holds; the test's timeout bounds it."""
        while not condition():
            each_turn()
            await task.deferLater(reactor, 0.01, lambda: None)

    async def test_loads_reach_peers_cut_to_what_they_share(self):
        one, two = await self.make_node(), await self.make_node(seed=2)
        one.know(two.address, shared=["e2"])
        two.know(one.address)
        loads = peerview.Loads
        await self.wait_for(lambda: two.inbox.select(loads), one.share)
        message = two.inbox.select(loads)[0]
        self.assertEqual(message.endpoints, ("e2",))
        self.assertEqual(message.requests, (2,))
        self.assertEqual(message.header.sender, one.address)

    async def test_withdrawn_reaches_a_peer_without_being_sent_again(self):
        self.patch(peers, "REPEAT_S", 0.1)
        one, two = await self.make_node(), await self.make_node(seed=2)
        two.know(one.address)
        message = peermessages.ShareWithdrawn(endpoints=frozenset(["e1"]))
        one.peers.receive(message)
        one.know(two.address)
        await self.wait_for(lambda: two.inbox.select(peerview.Withdrawn))
        heard = two.inbox.select(peerview.Withdrawn)[-1]
        self.assertEqual(heard.endpoints, ("e1",))

    async def test_daemon_that_is_not_listed_gets_a_snapshot(self):
        # A daemon starts before the host list shows it. Its peers drop its
        # loads, as from anyone unlisted, but must answer its request, or it
        # would not become ready until the list catches up.
        old, new = await self.make_node(), await self.make_node(seed=2)
        new.know(old.address)
        new.peers.receive(peermessages.AskSnapshot())
        await self.wait_for(lambda: old.inbox.heard)
        old.peers.receive(
            peermessages.AnswerSnapshot(
                reply_to=old.inbox.heard[0].reply_to, offset=41, body="{}"
            )
        )
        reply = peerview.SnapshotReply
        await self.wait_for(lambda: new.inbox.select(reply))
        self.assertEqual(new.inbox.select(reply)[0].offset, 41)
        self.assertFalse(new.peers.dump()["asking_for_snapshot"])
        refused = old.metrics.counter("peer_messages_refused_total", "")
        await self.wait_for(lambda: refused.value, new.share)
        self.assertEqual(old.inbox.select(peerview.Loads), [])

    async def test_replaced_peer_hears_no_old_loads(self):
        # Placement would avoid idle engines after a peer came back. It was
        # away for a while, its loads queued up here, and all of them reached
        # the new process in order, the oldest first.
        one, two = await self.make_node(), await self.make_node(seed=2)
        one.know(two.address)
        two.know(one.address)
        loads = peerview.Loads
        await self.wait_for(lambda: two.inbox.select(loads), one.share)
        listen = keys.parse_address(two.address)
        await two.stop()
        dropped = one.metrics.counter("peer_messages_dropped_total", "")
        await self.wait_for(lambda: dropped.value > 20, one.share)
        again = await self.make_node(listen=listen, seed=3)
        again.know(one.address)
        newest = {"e1": peerview.Load(requests=9)}
        await self.wait_for(
            lambda: again.inbox.select(loads), lambda: one.share(newest)
        )
        self.assertEqual(again.inbox.select(loads)[0].requests, (9,))

    async def test_connection_that_went_silent_is_replaced(self):
        # A peer's loads would be missing for good. A firewall between the two
        # forgot their connection: bytes vanish without an error, while a new
        # connection passes. Heartbeats go unanswered, and ZeroMQ reconnects.
        self.patch(peers, "HEARTBEAT_INTERVAL_S", 0.1)
        self.patch(peers, "HEARTBEAT_TIMEOUT_S", 0.3)
        one, two = await self.make_node(), await self.make_node(seed=2)
        two.know(one.address)
        factory = protocol.Factory.forProtocol(BlackHole)
        factory.links = []
        factory.target = two.address
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        one.know(f"127.0.0.1:{port.getHost().port}")
        loads = peerview.Loads
        await self.wait_for(lambda: two.inbox.select(loads), one.share)
        factory.links[0].lost = True
        await self.wait_for(lambda: len(factory.links) > 1, one.share)
        last = {"e1": peerview.Load(requests=9)}
        await self.wait_for(
            lambda: two.inbox.select(loads)[-1].requests == (9,),
            lambda: one.share(last),
        )
        await one.stop()
        await port.stopListening()
        await self.wait_for(
            lambda: not any(x.transport.connected for x in factory.links)
        )

    async def test_loads_keep_within_the_bytes_allowed(self):
        one = await self.make_node(loads_bytes_per_s=300.0)
        two = await self.make_node(seed=2)
        two.know(one.address)
        one.know(two.address)
        # Withdrawn endpoints are told whatever the allowance.
        one.peers.receive(
            peermessages.ShareWithdrawn(endpoints=frozenset(["e1"]))
        )
        started_at = reactor.seconds()
        loads = peerview.Loads
        await self.wait_for(lambda: len(two.inbox.select(loads)) > 7, one.share)
        spent_s = reactor.seconds() - started_at
        raw = peerview.serialize_message(two.inbox.select(loads)[0])
        # The burst of 2 s, what came in since, and one round of overdraft.
        self.assertLessEqual(8 * len(raw), 300.0 * (2 + spent_s) + len(raw) + 8)
        paced = one.metrics.counter("peer_loads_paced_total", "")
        self.assertGreater(paced.value, 0)

    async def test_garbage_is_counted_and_dropped(self):
        one, two = await self.make_node(), await self.make_node(seed=2)
        one.know(two.address)
        dealer = one.peers._dealers[two.address]
        refused = two.metrics.counter("peer_messages_refused_total", "")
        await self.wait_for(
            lambda: refused.value >= 2,
            lambda: dealer.send([b"\xff"]) and dealer.send([b"", b""]),
        )
        self.assertEqual(two.inbox.heard, [])


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


def test_unlisted_daemon_turns_to_a_few_others():
    hosts = [make_entry(number) for number in range(20)]
    ties = subset.Ties()
    ties.update(hosts)
    found = peermessages.list_peers(ties, hosts, "10.0.0.99:80")
    assert len(found) == peermessages.PEERS_TO_ASK
    assert all(peer.address.endswith(":70") for peer in found)
    assert peermessages.list_peers(ties, hosts, "10.0.0.1:80") == ()
