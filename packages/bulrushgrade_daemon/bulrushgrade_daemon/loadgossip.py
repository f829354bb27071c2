"""Advertises what this daemon has waiting at engines, and hears peers.

Datagrams fit better than connections here: each message replaces the one
before, so that a lost one needs no repeat, and there is no connection that
could go silent unnoticed or hold memory for a peer that is gone. Peers find
each other in a topic on the platform's store where each writes its address
once when it starts.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import heapq
from typing import Any

import attrs
import msgspec
from returns.result import Failure
from returns.result import Result
from twisted.internet import protocol
import xxhash

from bulrushgrade import enginecache
from bulrushgrade import peerloads
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import task
from bulrushgrade_daemon import topicreader

PERIOD_S = 0.1
"""Between two messages to a peer in a small fleet: a fraction of the time in
which a queue of engines builds up."""

MESSAGES_PER_S = 100.0
"""Messages that a daemon sends a second at most. With more peers each hears
less often, so that the cost stays the same."""

MOST_CHANGES = 40
"""Of caches in a message, so that a datagram stays within what a link carries
in one piece. The others come with the next messages."""

ADVERTISED_TIMES = 2
"""Messages that a change of a cache is in. One that never arrives has prompts
sent for a part that is gone for as long as nobody else has it read again; a
bad link that loses one in ten datagrams loses both of two once in a hundred."""

SILENT_PERIODS = 3.5
"""Messages without which a peer counts as gone. Bad links lose some; were one
enough, hosts would disagree all the time on who is there and so on whom to
query."""

LEAST_SILENT_S = 1.5
"""In a small fleet: longer than a host that is busy or paused for a moment
stays silent."""

OWNERS = 2
"""Hosts that own the same key. With one, each host that did not hear it, in a
fleet of 89 with bad links a quarter of them, had a queue of its own, and
prompts waited for a second behind others that were in another queue."""

REPEAT_BROADCAST_S = 0.1
"""After which a broadcast is sent a second time, as datagrams get lost; a
small part of the seconds that a change of role takes."""

ANNOUNCE_RETRY_S = 1.0
"""Between two attempts to write the own address while the store is away."""


TakeChanges = Callable[[str, tuple[enginecache.CacheChange, ...]], None]
"""Takes an engine's id and what changed in its cache."""


class _Announcement(msgspec.Struct):
    address: str
    zone: str = ""


_announcement_decoder = msgspec.json.Decoder(_Announcement)


@attrs.frozen(kw_only=True)
class Membership:
    """The topic in which daemons find each other.

    Attributes:
        reader: Reads it.
        write: Writes the newest record of a key.
    """

    reader: topicreader.KeyedReader
    write: Callable[
        [str, bytes], Awaitable[Result[None, topicreader.StoreAway]]
    ]


class LoadGossip(protocol.DatagramProtocol):
    """Owns the socket for messages among peers."""

    name = "loadgossip"
    requires = ("timer",)

    def __init__(
        self,
        *,
        reactor: Any,
        timers: Any,
        host_name: str,
        own_name: str,
        zone: str,
        listen: Any,
        membership: Membership,
        loads: peerloads.PeerLoads,
        read_own: Callable[[], dict[str, peerloads.EngineShare]],
        may_order: Callable[[], bool],
        take_changes: TakeChanges,
        take_other: Callable[[gatewaymessages.Message], None],
        log: decisionlog.DecisionLog,
        on_broken: Callable[[str], None],
    ):
        """Makes the service.

        Args:
            reactor: Where it listens.
            timers: The timer service.
            host_name: The key of this host's record.
            own_name: This daemon's name among its peers; another one after
                each start.
            zone: The availability zone of this host.
            listen: The address for datagrams.
            membership: Where daemons find each other.
            loads: Takes what peers advertise.
            read_own: Returns what this daemon has, by engine.
            may_order: Returns whether this daemon could order engines to
                change their roles.
            take_changes: Takes what a peer saw of an engine's cache.
            take_other: Takes the messages that are not about the load.
            log: Gets a line for each peer that comes.
            on_broken: Called with the reason where an invariant is broken.
        """
        self._reactor = reactor
        self._timers = timers
        self._host_name = host_name
        self._own_name = own_name
        self._zone = zone
        self._listen = listen
        self._membership = membership
        self._loads = loads
        self._read_own = read_own
        self._may_order = may_order
        # Peers that said that they could not.
        self._unable: set[str] = set()
        self._take_changes = take_changes
        self._take_other = take_other
        self._pending: dict[tuple[str, str], _PendingChange] = {}
        self._log = log
        self._on_broken = on_broken
        self._peers: dict[str, tuple[str, int]] = {}
        self._zones: dict[str, str] = {}
        # The last name of each host that was heard.
        self._names: dict[str, str] = {}
        self._number = 0
        self._unreadable = 0
        self._port: Any = None
        self._announcing: Any = None
        self._tick: Any = None

    @property
    def known_hosts(self) -> int:
        """How many hosts have announced themselves, this one included."""
        return len(self._peers) + 1

    @property
    def counts(self) -> dict[str, int]:
        """Messages sent, and received ones that could not be read."""
        return {"rounds": self._number, "unreadable": self._unreadable}

    async def start(self) -> None:
        """Listens, announces this host and begins to advertise."""
        self._port = self._reactor.listenUDP(
            self._listen.port, self, interface=self._listen.host
        )
        self._announcing = task.spawn(
            self._announce(), name=self.name, on_broken=self._on_broken
        )
        self._schedule()

    async def stop(self) -> None:
        """Sends nothing any more."""
        if self._announcing is not None:
            self._announcing.cancel()
        if self._tick is not None:
            self._tick.cancel()
        if self._port is not None:
            await self._port.stopListening()

    def receive(self, message: Any) -> None:
        """Takes no messages."""

    def dump(self) -> dict[str, Any]:
        """Returns who is sent to."""
        return {"peers": sorted(self._peers), **self.counts}

    def take_records(
        self, records: tuple[topicreader.KeyedRecord, ...]
    ) -> None:
        """Takes hosts' announcements."""
        for record in records:
            if record.key == self._host_name:
                continue
            if record.value is None:
                self._peers.pop(record.key, None)
                self._zones.pop(record.key, None)
                continue
            read = _read_announcement(record.value)
            if read is None:
                self._unreadable += 1
                self._log.note("record_unreadable", key=record.key)
                continue
            address, self._zones[record.key] = read
            if self._peers.get(record.key) != address:
                self._peers[record.key] = address
                self._log.note("peer_known", peer=record.key, address=address)

    def datagramReceived(  # noqa: N802
        self, datagram: bytes, addr: tuple[str, int]
    ) -> None:
        """Takes a peer's message."""
        message = gatewaymessages.parse(datagram)
        if message is None:
            # Counted only: anyone can send such datagrams as fast as a line
            # could be written about them.
            self._unreadable += 1
        elif isinstance(message, gatewaymessages.Load):
            self._take_load(message)
        else:
            self._take_other(message)

    def send(self, peer: str, message: gatewaymessages.Message) -> bool:
        """Sends a message to a peer; returns whether its address is known."""
        address = self._peers.get(_host_of(peer))
        if address is None or self.transport is None:
            return False
        self.transport.write(gatewaymessages.serialize(message), address)
        return True

    def broadcast(self, message: gatewaymessages.Message) -> None:
        """Sends a message to all known peers, and once more a moment later.

        A peer that misses both goes by what it reads itself, later.
        """
        self._send_all(message)
        self._timers.after(REPEAT_BROADCAST_S, lambda: self._send_all(message))

    def _send_all(self, message: gatewaymessages.Message) -> None:
        # The second time may come after the stop.
        if self.transport is None:
            return
        datagram = gatewaymessages.serialize(message)
        for address in self._peers.values():
            self.transport.write(datagram, address)

    def _take_pending(self) -> dict[str, list[tuple[str, int]]]:
        """Returns the changes for a message, the oldest first."""
        kept: dict[str, list[tuple[str, int]]] = {}
        for key, change in list(self._pending.items())[:MOST_CHANGES]:
            engine, part = key
            kept.setdefault(engine, []).append((part, change.tokens))
            change.times_left -= 1
            # Behind all that was not sent yet.
            del self._pending[key]
            if change.times_left:
                self._pending[key] = change
        return kept

    def _take_load(self, message: gatewaymessages.Load) -> None:
        host = _host_of(message.peer)
        before = self._names.get(host)
        if before != message.peer:
            # A host that was restarted is not there under its old name.
            self._names[host] = message.peer
            self._loads.drop(before or "")
            self._unable.discard(before or "")
        shares = {
            engine: peerloads.EngineShare(
                queued_s={u: ms / 1000 for u, ms in queued_ms.items()},
                streams=streams,
                tokens=tokens,
            )
            for engine, (queued_ms, streams, tokens) in message.engines.items()
        }
        self._loads.update(
            message.peer, message.number, shares, self._timers.now
        )
        if message.may_order:
            self._unable.discard(message.peer)
        else:
            self._unable.add(message.peer)
        for engine, kept in message.kept.items():
            changes = tuple(
                enginecache.CacheChange(part=part, tokens=tokens)
                for part, tokens in kept
            )
            self._take_changes(engine, changes)

    def advertise_changes(
        self, engine: str, changes: tuple[enginecache.CacheChange, ...]
    ) -> None:
        """Has what changed in an engine's cache sent to peers."""
        if not self._peers:
            return
        for change in changes:
            # What was to be sent of the part before is no longer so.
            self._pending.pop((engine, change.part), None)
            self._pending[engine, change.part] = _PendingChange(
                tokens=change.tokens
            )

    def pick_followed(self, engines: Iterable[str]) -> set[str]:
        """Returns the engines whose caches this daemon is the one to follow.

        Of those that hear each other the one that rendezvous hashing picks,
        so that each engine is read by one daemon however many there are.
        """
        names = self._names_there()
        return {
            engine
            for engine in engines
            if max(names, key=_rate(engine)) == self._own_name
        }

    def heard(self) -> list[str]:
        """Returns the peers that are there, sorted by their names."""
        return self._loads.heard(self._timers.now, silent_s=self._silent_s())

    def leads(self) -> bool:
        """Returns whether this daemon is the one to order engines about.

        It is the first by name of those that hear each other and could. One
        that is cut off from the store is heard and could not; while it was
        the first all the same, engines kept their roles through bursts of
        long answers for as long as the cut lasted.
        """
        return self._may_order() and self.is_first()

    def is_first(self) -> bool:
        """Returns whether this daemon orders engines about if it can."""
        able = (name for name in self.heard() if name not in self._unable)
        return all(self._own_name < name for name in able)

    def find_owners(self, key: str) -> list[str]:
        """Returns the hash owners of an engine's queue or a part.

        All hosts that hear the same peers find the same ones. The first is
        queried; a host that does not hear it queries the next, which others
        report the same to.
        """
        return heapq.nlargest(OWNERS, self._names_there(), key=_rate(key))

    def rank_zone(self, key: str) -> list[str]:
        """Returns the daemons of this zone by rendezvous hashing for a key.

        Those that hear each other find the same order, this one included.
        """
        names = [
            name
            for name in self.heard()
            if self._zones.get(_host_of(name)) == self._zone
        ]
        names.append(self._own_name)
        return sorted(names, key=_rate(key), reverse=True)

    def _names_there(self) -> list[str]:
        return [self._own_name, *self.heard()]

    async def _announce(self) -> None:
        host = self._port.getHost()
        announcement = _Announcement(
            address=f"{host.host}:{host.port}", zone=self._zone
        )
        value = msgspec.json.encode(announcement)
        while True:
            written = await self._membership.write(self._host_name, value)
            if not isinstance(written, Failure):
                return
            await self._timers.sleep(ANNOUNCE_RETRY_S)

    def _schedule(self) -> None:
        self._tick = self._timers.after(self._period_s(), self._advertise)

    def _period_s(self) -> float:
        return max(PERIOD_S, len(self._peers) / MESSAGES_PER_S)

    def _silent_s(self) -> float:
        return max(LEAST_SILENT_S, SILENT_PERIODS * self._period_s())

    def _advertise(self) -> None:
        self._number += 1
        engines = {
            engine: (
                {u: round(s * 1000) for u, s in share.queued_s.items()},
                share.streams,
                share.tokens,
            )
            for engine, share in self._read_own().items()
        }
        message = gatewaymessages.serialize(
            gatewaymessages.Load(
                peer=self._own_name,
                number=self._number,
                engines=engines,
                kept=self._take_pending(),
                may_order=self._may_order(),
            )
        )
        for address in self._peers.values():
            self.transport.write(message, address)
        self._loads.forget(self._timers.now, silent_s=self._silent_s())
        self._schedule()


@attrs.define(kw_only=True)
class _PendingChange:
    tokens: int
    times_left: int = ADVERTISED_TIMES


def _host_of(peer: str) -> str:
    return peer.rpartition("/")[0]


def _rate(key: str) -> Callable[[str], tuple[int, str]]:
    """Returns what rendezvous hashing compares names by for a key."""

    def rate(name: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{key}/{name}".encode()), name

    return rate


def _read_announcement(value: bytes) -> tuple[tuple[str, int], str] | None:
    """Returns a host's address for datagrams and its zone."""
    try:
        found = _announcement_decoder.decode(value)
        host, _, port = found.address.rpartition(":")
        return (host, int(port)), found.zone
    except (msgspec.DecodeError, ValueError):
        return None
