"""Tests of the announcements of hosts' addresses."""

import errno
import json
import types

import fakes
import pytest
from returns.result import Failure
from returns.result import Success
from twisted.internet import error

from bulrushgrade_daemon import keys
from bulrushgrade_daemon import peerlink
from bulrushgrade_daemon import topicreader


class Topic:
    """The topic of announcements."""

    def __init__(self):
        self.records = {}
        self.writes = 0
        self.is_away = False

    async def write(self, key, value):
        if self.is_away:
            return Failure(topicreader.StoreAway(reason="refused"))
        self.writes += 1
        self.records[key] = value
        return Success(None)

    def list(self):
        return tuple(
            topicreader.KeyedRecord(key=key, value=value)
            for key, value in self.records.items()
        )


class Scene:
    """Hosts that announce themselves."""

    def __init__(self):
        self.reactor, self.timers, _ = fakes.make_timers()
        self.topic = Topic()
        self.lines = fakes.EventRecorder()

    def start(self, name, port):
        def listen(port, protocol, interface):
            address = types.SimpleNamespace(host=interface, port=port)
            return types.SimpleNamespace(getHost=lambda: address)

        link = peerlink.PeerLink(
            reactor=types.SimpleNamespace(listenUDP=listen),
            timers=self.timers,
            host_name=name,
            zone="z1",
            listen=keys.Address(host="127.0.0.1", port=port),
            membership=peerlink.Membership(reader=None, write=self.topic.write),
            on_message=lambda message: None,
            log=self.lines.make(),
            on_broken=None,
        )
        fakes.run(link.start())
        return link


def test_host_announces_itself_again_if_a_listing_lacks_it():
    """The store returned from a copy from before the host's start.

    Hosts that started later never learned its address.
    """
    scene = Scene()
    link = scene.start("h1", 4001)
    link.apply_listing(scene.topic.list())
    announced = scene.topic.records.copy()
    scene.topic.records.clear()
    link.apply_listing(())
    assert scene.topic.records == announced
    assert link.counts["announced_again"] == 1
    assert scene.lines.count("announced_again") == 1


def test_older_address_of_a_restarted_host_does_not_stay():
    """The store returned from a copy with the address of an earlier start."""
    scene = Scene()
    other = scene.start("h2", 4002)
    scene.start("h1", 4001)
    copy = scene.topic.list()
    other.apply_listing(copy)
    restarted = scene.start("h1", 4003)
    restarted.apply_listing(scene.topic.list())
    scene.topic.records = {r.key: r.value for r in copy}
    restarted.apply_listing(copy)
    other.apply_listing(scene.topic.list())
    assert other._peers["h1"].address == ("127.0.0.1", 4003)


def test_listing_that_has_the_own_address_causes_no_write():
    scene = Scene()
    link = scene.start("h1", 4001)
    for _ in range(3):
        link.apply_listing(scene.topic.list())
        scene.reactor.advance(10.0)
    assert scene.topic.writes == 1


def test_first_listing_that_missed_the_announcement_causes_no_write():
    """Guards against two writes of every host at the start of a fleet.

    The announcement is written beside the first whole read, which may lack it.
    """
    scene = Scene()
    link = scene.start("h1", 4001)
    link.apply_listing(())
    scene.reactor.advance(peerlink.MISSED_ANNOUNCEMENT_S / 2)
    link.apply_records(scene.topic.list())
    scene.reactor.advance(10.0)
    assert scene.topic.writes == 1


def test_announcement_that_the_first_listing_lacked_is_written_again():
    """The store returned between the announcement and the first whole read."""
    scene = Scene()
    link = scene.start("h1", 4001)
    link.apply_listing(())
    scene.reactor.advance(2 * peerlink.MISSED_ANNOUNCEMENT_S)
    assert scene.topic.writes == 2


def test_announcement_that_is_being_written_is_not_written_twice():
    scene = Scene()
    scene.topic.is_away = True
    link = scene.start("h1", 4001)
    for _ in range(3):
        link.apply_listing(())
    scene.topic.is_away = False
    scene.reactor.pump([peerlink.ANNOUNCE_RETRY_S] * 5)
    assert scene.topic.writes == 1


class BadTransport:
    """A socket whose writes fail."""

    def __init__(self, failure):
        self.failure = failure

    def write(self, datagram, address):
        if self.failure is not None:
            raise self.failure


@pytest.mark.parametrize(
    "failure",
    [
        OSError(errno.ENETUNREACH, "Network is unreachable"),
        BlockingIOError(errno.EAGAIN, "Resource temporarily unavailable"),
        error.MessageLengthError("message too long"),
        error.InvalidAddressError("::1", "IPv4 port"),
    ],
    ids=lambda failure: type(failure).__name__,
)
def test_datagram_that_can_not_be_written_counts_as_lost(failure):
    """Guards against a link or a long message that ends its sender."""
    scene = Scene()
    first, _ = scene.start("h1", 4001), scene.start("h2", 4002)
    first.apply_listing(scene.topic.list())
    first.transport = BadTransport(failure)
    assert first.send_datagram(["h2"], b"x")
    assert first.send_datagram(["h2"], b"x")
    assert (first.counts["sent"], first.counts["unsent"]) == (0, 2)
    assert scene.lines.count("datagram_unsent") == 1
    first.transport.failure = None
    first.send_datagram(["h2"], b"x")
    assert first.counts["sent"] == 1
    first.transport.failure = failure
    first.send_datagram(["h2"], b"x")
    assert scene.lines.count("datagram_unsent") == 2


@pytest.mark.parametrize(
    "address", ["h2:4002", "127.0.0.1", "[::1%eth7]:1", "10.0.0.1:70000", ":1"]
)
@pytest.mark.parametrize("field", ["address", "relay"])
def test_announcement_without_an_ip_address_is_unreadable(field, address):
    """Guards against an announcement that raises where it is used."""
    scene = Scene()
    link = scene.start("h1", 4001)
    found = {"address": "127.0.0.1:4002", field: address}
    value = json.dumps(found).encode()
    link.apply_records((topicreader.KeyedRecord(key="h2", value=value),))
    assert link.hosts == []
    assert link.counts["unreadable"] == 1


def test_hosts_announce_ipv6_addresses():
    scene = Scene()
    link = scene.start("h1", 4001)
    value = b'{"address": "fd00::2:4002", "relay": "fd00::2:4003"}'
    link.apply_records((topicreader.KeyedRecord(key="h2", value=value),))
    assert link.relay_of("h2/1") == ("fd00::2", 4003)
