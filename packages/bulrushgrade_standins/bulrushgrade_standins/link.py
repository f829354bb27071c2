"""A TCP relay that injects network faults between two parties.

It simulates the network between hosts: a cut resets every connection, and a
silent link keeps connections open but drops their bytes, as when a device in
between has lost its state of the connection.
"""

from typing import Any

import attrs
import klein
from twisted.internet import protocol
from twisted.internet import reactor

from bulrushgrade_standins import server


@attrs.define(kw_only=True)
class LinkFaults:
    """Faults of the link.

    Attributes:
        cut: Resets all open connections and each new one.
        silent: Drops all bytes; connections can be opened and stay open.
        silence_open: Drops all bytes of the connections that are open now,
            until they close; new connections work.
        direction: Which bytes `silent` and `silence_open` drop: ``both``,
            ``up`` (to the target) or ``down`` (from it).
        delay_s: Added latency, in seconds.
    """

    cut: bool = False
    silent: bool = False
    silence_open: bool = False
    direction: str = "both"
    delay_s: float = 0.0


class _Side(protocol.Protocol):
    """One end of a relayed connection; forwards its bytes to the other."""

    noisy = False

    def __init__(self, *, pair: "_Pair", direction: str):
        self._pair = pair
        self._direction = direction

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self._pair.on_connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._pair.on_data(self._direction, data)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        self._pair.on_lost(self, self._direction)


class _Pair:
    """A connection from a caller and the matching one to the target."""

    def __init__(self, *, link: "Link"):
        self._link = link
        self._silenced = ""
        self._ended = 0
        self._pending: list[bytes] = []
        self.caller = _Side(pair=self, direction="up")
        self.target = _Side(pair=self, direction="down")

    def silence(self, direction: str) -> None:
        self._silenced = direction

    def abort(self) -> None:
        for side in (self.caller, self.target):
            if side.transport is not None:
                side.transport.abortConnection()

    def on_connected(self, side: _Side) -> None:
        if side is self.target:
            pending, self._pending = self._pending, []
            for data in pending:
                side.transport.write(data)
            return
        if self._link.faults.cut:
            side.transport.abortConnection()
            return
        self._link.pairs.add(self)
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda _address: self.target
        factory.clientConnectionFailed = lambda *_: self.on_unreachable()
        reactor.connectTCP(*self._link.target, factory)

    def on_unreachable(self) -> None:
        self._ended += 1
        self.abort()

    def on_data(self, direction: str, data: bytes) -> None:
        if self._drops(direction):
            return
        delay_s = self._link.faults.delay_s
        if delay_s > 0:
            reactor.callLater(delay_s, self._forward, direction, data)
        else:
            self._forward(direction, data)

    def on_lost(self, side: _Side, direction: str) -> None:
        self._ended += 1
        if self._ended == 2:
            self._link.pairs.discard(self)
        # A close is forwarded like the bytes and after them. A silent link
        # drops it too, so the other party never sees it.
        if not self._drops(direction):
            delay_s = self._link.faults.delay_s
            other = self.target if side is self.caller else self.caller
            reactor.callLater(delay_s, _close, other)

    def _forward(self, direction: str, data: bytes) -> None:
        side = self.target if direction == "up" else self.caller
        if side.transport is None:
            self._pending.append(data)
        else:
            side.transport.write(data)

    def _drops(self, direction: str) -> bool:
        faults = self._link.faults
        silent = faults.direction if faults.silent else self._silenced
        return silent in ("both", direction)


def _close(side: _Side) -> None:
    if side.transport is not None:
        side.transport.loseConnection()


class Link:
    """The relay and the HTTP app that sets its faults."""

    def __init__(self, *, target: str):
        self._target = server.parse_address(target)
        self._faults = LinkFaults()
        self._pairs: set[_Pair] = set()
        self._app = klein.Klein()
        server.add_fault_routes(
            app=self._app,
            kind=LinkFaults,
            read=lambda: self._faults,
            write=self.set_faults,
        )

    @property
    def app(self) -> klein.Klein:
        """The admin app."""
        return self._app

    @property
    def target(self) -> tuple[str, int]:
        """The address that connections are relayed to."""
        return self._target

    @property
    def faults(self) -> LinkFaults:
        """The faults in effect."""
        return self._faults

    @property
    def pairs(self) -> set[_Pair]:
        """The open connections."""
        return self._pairs

    def set_faults(self, faults: LinkFaults) -> None:
        """Replaces the faults in effect."""
        self._faults = faults
        for pair in list(self._pairs):
            if faults.cut:
                pair.abort()
            if faults.silence_open:
                pair.silence(faults.direction)

    def listen(self, listen: str = "127.0.0.1:0") -> server.Listener:
        """Relays connections to an address, in the running reactor."""
        factory = protocol.Factory()
        factory.buildProtocol = lambda _address: _Pair(link=self).caller
        return server.listen_tcp(factory=factory, listen=listen)
