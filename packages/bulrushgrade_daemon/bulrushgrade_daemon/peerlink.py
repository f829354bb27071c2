"""UDP socket for messages among gateways, and the addresses of peers.

Datagrams fit better than connections: each message replaces the previous one,
so a lost one needs no retransmission, and no connection can stall unnoticed or
hold memory for a peer that is gone. Peers discover each other through a topic
of the platform's store, to which each writes its address at its start, and
again if the store turns out to have lost it.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import attrs
import msgspec
from returns.result import Failure
from returns.result import Result
from twisted.internet import error as internet_error
from twisted.internet import protocol

from bulrushgrade import fleetmembers
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import keys
from bulrushgrade_daemon import task
from bulrushgrade_daemon import topicreader

REPEAT_BROADCAST_S = 0.1
"""Delay after which a broadcast is sent again, as datagrams get lost: a small
part of the seconds that a role change takes."""

ANNOUNCE_RETRY_S = 1.0
"""Interval between attempts to write the own address while the store is
unavailable."""


MISSED_ANNOUNCEMENT_S = 2.0
"""Time after the first whole read of the topic until an announcement that it
lacked counts as lost. It may have been written just after that read, and is
among the next records then."""


MAX_PORT = 65_535


class _Announcement(msgspec.Struct):
    address: str
    zone: str = ""
    relay: str = ""


# A link is down, a datagram is too long, or the address is of another family.
_UNSENT_ERRORS = (
    OSError,
    internet_error.MessageLengthError,
    internet_error.InvalidAddressError,
)

_announcement_decoder = msgspec.json.Decoder(_Announcement)


@attrs.frozen(kw_only=True)
class Membership:
    """The topic through which daemons discover each other.

    Attributes:
        reader: Reads the topic.
        write: Writes a key's latest record.
    """

    reader: topicreader.KeyedReader
    write: Callable[
        [str, bytes], Awaitable[Result[None, topicreader.StoreAway]]
    ]


@attrs.frozen(kw_only=True)
class _Peer:
    """A host's addresses; `relay` is None if it relays no connections."""

    address: tuple[str, int]
    zone: str
    relay: tuple[str, int] | None = None


class PeerLink(protocol.DatagramProtocol):
    """Sends and receives datagrams among peers."""

    name = "peerlink"
    requires = ("timer",)

    def __init__(
        self,
        *,
        reactor: Any,
        timers: Any,
        host_name: str,
        zone: str,
        listen: Any,
        relay_address: Callable[[], str] = lambda: "",
        membership: Membership,
        on_message: Callable[[gatewaymessages.Message], None],
        log: decisionlog.DecisionLog,
        on_broken: Callable[[str], None],
    ):
        """Makes the service.

        Args:
            reactor: Provides the socket.
            timers: The timer service.
            host_name: The key of this host's record.
            zone: The availability zone of this host.
            listen: The address to receive datagrams at.
            relay_address: Returns where this host relays connections,
                ``IP:PORT``; empty if nowhere.
            membership: The topic with the addresses of daemons.
            on_message: Handles messages of peers.
            log: Logs each new address of a peer.
            on_broken: Called with the reason if an invariant is broken.
        """
        self._reactor = reactor
        self._timers = timers
        self._host_name = host_name
        self._zone = zone
        self._listen = listen
        self._relay_address = relay_address
        self._membership = membership
        self._on_message = on_message
        self._log = log
        self._on_broken = on_broken
        self._peers: dict[str, _Peer] = {}
        self._address_changes = 0
        self._sent = 0
        self._unsent = 0
        # Why the last datagram to a host could not be sent.
        self._unsent_reasons: dict[str, str] = {}
        self._unreadable = 0
        self._announced_again = 0
        self._port: Any = None
        self._own: _Peer | None = None
        self._is_announced = False
        self._has_listing = False
        self._announcing: Any = None
        self._due: Any = None

    @property
    def hosts(self) -> list[str]:
        """The other hosts that have announced themselves."""
        return list(self._peers)

    @property
    def host_count(self) -> int:
        """The number of announced hosts, this one included."""
        return len(self._peers) + 1

    @property
    def address_changes(self) -> int:
        """How often the address of another host became known or changed."""
        return self._address_changes

    @property
    def counts(self) -> dict[str, int]:
        """Datagrams sent or not, invalid input, announcements."""
        return {
            "sent": self._sent,
            "unsent": self._unsent,
            "unreadable": self._unreadable,
            "announced_again": self._announced_again,
        }

    async def start(self) -> None:
        """Opens the socket and announces this host."""
        self._port = self._reactor.listenUDP(
            self._listen.port, self, interface=self._listen.host
        )
        host, relay = self._port.getHost(), self._relay_address()
        self._own = _Peer(
            address=(host.host, host.port),
            zone=self._zone,
            relay=_parse_address(relay) if relay else None,
        )
        self._spawn_announcing()

    async def stop(self) -> None:
        """Closes the socket."""
        self._cancel_due()
        if self._announcing is not None:
            self._announcing.cancel()
        if self._port is not None:
            await self._port.stopListening()

    def receive(self, message: Any) -> None:
        """Ignores messages."""

    def dump(self) -> dict[str, Any]:
        """Returns the known peers and the counts."""
        return {"peers": sorted(self._peers), **self.counts}

    def zone_of(self, host: str) -> str | None:
        """Returns a host's availability zone, or None if unknown."""
        if host == self._host_name:
            return self._zone
        peer = self._peers.get(host)
        return None if peer is None else peer.zone

    def relay_of(self, peer: str) -> tuple[str, int] | None:
        """Returns where a daemon relays connections, None if unknown."""
        found = self._peers.get(fleetmembers.host_of(peer))
        return None if found is None else found.relay

    def apply_records(
        self, records: tuple[topicreader.KeyedRecord, ...]
    ) -> int:
        """Applies hosts' announcements.

        Returns:
            The number of changes.
        """
        changes = 0
        for record in records:
            if record.key != self._host_name:
                changes += self._apply_record(record)
            elif self._is_own(record):
                self._cancel_due()
        return changes

    def apply_listing(
        self, records: tuple[topicreader.KeyedRecord, ...]
    ) -> int:
        """Applies the latest announcement of every host.

        If the store lacks this host's announcement, or has another one, this
        host announces itself again.

        Returns:
            The number of changes.
        """
        is_first, self._has_listing = not self._has_listing, True
        changes = self.apply_records(records)
        if any(self._is_own(record) for record in records):
            return changes
        if not self._is_announced and not is_first:
            # It is being written.
            return changes
        self._cancel_due()
        if is_first:
            self._due = self._timers.after(
                MISSED_ANNOUNCEMENT_S, self._announce_again
            )
        else:
            self._announce_again()
        return changes

    def _apply_record(self, record: topicreader.KeyedRecord) -> bool:
        if record.value is None:
            self._unsent_reasons.pop(record.key, None)
            return self._peers.pop(record.key, None) is not None
        found = _decode_announcement(record.value)
        if found is None:
            self._unreadable += 1
            self._log.note("record_unreadable", key=record.key)
            return False
        if self._peers.get(record.key) == found:
            return False
        self._peers[record.key] = found
        self._address_changes += 1
        self._log.note(
            "peer_known",
            peer=record.key,
            address=found.address,
            zone=found.zone,
        )
        return True

    def _is_own(self, record: topicreader.KeyedRecord) -> bool:
        return (
            record.key == self._host_name
            and record.value is not None
            and _decode_announcement(record.value) == self._own
        )

    def _cancel_due(self) -> None:
        if self._due is not None:
            self._due.cancel()
            self._due = None

    def datagramReceived(  # noqa: N802
        self, datagram: bytes, addr: tuple[str, int]
    ) -> None:
        """Parses a datagram and passes its message on."""
        message = gatewaymessages.parse(datagram)
        if message is None:
            # Counted but not logged: anyone could fill the log with invalid
            # datagrams.
            self._unreadable += 1
        else:
            self._on_message(message)

    def send(self, peer: str, message: gatewaymessages.Message) -> bool:
        """Sends a message to a daemon; returns whether its address is known."""
        return self.send_datagram(
            [fleetmembers.host_of(peer)], gatewaymessages.serialize(message)
        )

    def send_datagram(self, hosts: Iterable[str], datagram: bytes) -> bool:
        """Sends a datagram to hosts; returns whether it knows all addresses."""
        if self.transport is None:
            return False
        all_known = True
        for host in hosts:
            peer = self._peers.get(host)
            if peer is None:
                all_known = False
                continue
            self._write(host, datagram, peer.address)
        return all_known

    def _write(
        self, host: str, datagram: bytes, address: tuple[str, int]
    ) -> None:
        """Writes a datagram; one that can't be sent counts as lost."""
        try:
            self.transport.write(datagram, address)
        except _UNSENT_ERRORS as error:
            self._unsent += 1
            reason = type(error).__name__
            if self._unsent_reasons.get(host) != reason:
                self._unsent_reasons[host] = reason
                self._log.note(
                    "datagram_unsent",
                    peer=host,
                    bytes=len(datagram),
                    reason=f"{reason}: {error}",
                )
            return
        self._sent += 1
        self._unsent_reasons.pop(host, None)

    def broadcast(self, message: gatewaymessages.Message) -> None:
        """Sends a message to all known peers and repeats it once.

        A peer that misses both learns the same later from its own reads.
        """
        datagram = gatewaymessages.serialize(message)
        self.send_datagram(self.hosts, datagram)
        # The repeat may be due after the stop; it is dropped then.
        self._timers.after(
            REPEAT_BROADCAST_S,
            lambda: self.send_datagram(self.hosts, datagram),
        )

    def _announce_again(self) -> None:
        self._due = None
        if not self._is_announced:
            return
        self._announced_again += 1
        self._log.note("announced_again", times=self._announced_again)
        self._spawn_announcing()

    def _spawn_announcing(self) -> None:
        self._is_announced = False
        self._announcing = task.spawn(
            self._announce(), name=self.name, on_broken=self._on_broken
        )

    async def _announce(self) -> None:
        host, port = self._own.address
        announcement = _Announcement(
            address=f"{host}:{port}",
            zone=self._zone,
            relay=self._relay_address(),
        )
        value = msgspec.json.encode(announcement)
        while True:
            written = await self._membership.write(self._host_name, value)
            if not isinstance(written, Failure):
                self._is_announced = True
                # What was read before this write says nothing of it.
                self._cancel_due()
                return
            await self._timers.sleep(ANNOUNCE_RETRY_S)


def _decode_announcement(value: bytes) -> _Peer | None:
    try:
        found = _announcement_decoder.decode(value)
        return _Peer(
            address=_parse_address(found.address),
            zone=found.zone,
            relay=_parse_address(found.relay) if found.relay else None,
        )
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None


def _parse_address(text: str) -> tuple[str, int]:
    """Returns the address in ``IP:PORT``; hosts write IPv6 without brackets.

    Raises:
        ValueError: The text is not such an address.
    """
    host, _, port_text = text.rpartition(":")
    if not (port_text.isascii() and port_text.isdigit()):
        raise ValueError("the port is not a number")
    port = int(port_text)
    if not 0 < port <= MAX_PORT:
        raise ValueError("the port is out of range")
    return keys.parse_ip(host), port
