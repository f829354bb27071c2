"""Relays connections of peers to endpoints that they can't reach themselves.

A connection goes over this host's own link or not at all: it is never relayed
a second time. What a peer may reach are the registered endpoints only.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from returns.result import Failure
from returns.result import Result
from twisted.internet import error as internet_error
from twisted.internet import protocol

from bulrushgrade import directory as directory_module
from bulrushgrade_daemon import connections
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import endpointsignals
from bulrushgrade_daemon import keys
from bulrushgrade_daemon import relayframes
from bulrushgrade_daemon import task

MAX_CONNECTIONS = 256
"""Connections of peers at a time, so that they can't take the memory and the
descriptors that this host needs for its own callers."""

OPEN_TIMEOUT_S = 2.0
"""Time within which a peer must name the endpoint."""

Connect = Callable[
    [directory_module.Registration, Callable[[], protocol.Protocol]],
    Awaitable[Result[Any, relayframes.Reply]],
]


class _EndpointSide(protocol.Protocol):
    """The connection to the endpoint."""

    def __init__(self, *, peer_side: "_PeerSide"):
        self._peer_side = peer_side

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._peer_side.send(relayframes.FrameKind.DATA, data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._peer_side.endpoint_lost(reason)


class _PeerSide(protocol.Protocol):
    """The connection from the peer."""

    def __init__(self, *, server: "RelayServer"):
        self._server = server
        self._frames = relayframes.FrameSplitter()
        self._wanted: relayframes.Open | None = None
        self._endpoint: directory_module.Registration | None = None
        self._endpoint_side: Any = None
        self._opening: Any = None
        self._has_passed_on = False
        self._has_ended = False
        self._limit: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        connections.set_timeouts(self.transport)
        self._limit = self._server.timers.after(
            OPEN_TIMEOUT_S, self.transport.abortConnection
        )
        self._server.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._endpoint_side is not None:
            self._pass_on(data)
            return
        if self._wanted is not None:
            # A peer sends nothing until it has the reply.
            self.transport.abortConnection()
            return
        try:
            for kind, body in self._frames.feed(data):
                if kind is relayframes.FrameKind.OPEN:
                    self._wanted = relayframes.decode_open(body)
                    break
        except relayframes.FrameError:
            self.transport.abortConnection()
            return
        if self._wanted is not None:
            self._limit.cancel()
            self._opening = task.spawn(
                self._open(self._wanted),
                name=self._server.name,
                on_broken=self._server.on_broken,
            )

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._limit.cancel()
        self._has_ended = True
        if self._opening is not None:
            self._opening.cancel()
        if self._endpoint_side is not None:
            # Ends the endpoint's work on a request that nobody waits for.
            transport = self._endpoint_side.transport
            transport.unregisterProducer()
            if reason.check(internet_error.ConnectionDone):
                transport.loseConnection()
            else:
                transport.abortConnection()
        self._server.discard(self)

    def send(self, kind: relayframes.FrameKind, body: bytes = b"") -> None:
        """Sends a frame to the peer."""
        if not self._has_ended:
            self.transport.write(relayframes.make_frame(kind, body))

    def endpoint_lost(self, reason: Any) -> None:
        """Passes on how the endpoint's connection ended."""
        if self._has_ended:
            return
        self.transport.unregisterProducer()
        if not self._has_passed_on:
            self._refuse(
                relayframes.Reply(
                    status=relayframes.Status.UNREACHED,
                    reason=f"closed unused: {reason.type.__name__}",
                )
            )
        elif reason.check(internet_error.ConnectionDone):
            self.send(relayframes.FrameKind.END)
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()

    def abort(self) -> None:
        """Ends both connections at once."""
        self.transport.abortConnection()

    async def _open(self, wanted: relayframes.Open) -> None:
        found = await self._server.open(
            wanted, lambda: _EndpointSide(peer_side=self)
        )
        self._opening = None
        if isinstance(found, relayframes.Reply):
            self._refuse(found)
            return
        self._endpoint, self._endpoint_side = found
        endpoint = self._endpoint_side.transport
        endpoint.registerProducer(self.transport, True)
        self.transport.registerProducer(endpoint, True)
        opened = relayframes.Reply(status=relayframes.Status.OPENED)
        self.transport.write(relayframes.encode_reply(opened))

    def _pass_on(self, data: bytes) -> None:
        if not self._has_passed_on:
            reason = self._server.why_withheld(self._endpoint, self._wanted)
            if reason is not None:
                self._refuse(reason)
                return
        self._has_passed_on = True
        self._endpoint_side.transport.write(data)

    def _refuse(self, reply: relayframes.Reply) -> None:
        self._server.count(reply.status.value)
        self.transport.write(relayframes.encode_reply(reply))
        self.transport.loseConnection()


class RelayServer:
    """Accepts peers' connections and opens those to endpoints."""

    name = "relayserver"
    requires = ("timer",)

    def __init__(
        self,
        *,
        reactor: Any,
        timers: Any,
        listen: keys.Address | None,
        endpoints: directory_module.Directory,
        connect: Connect,
        signals: endpointsignals.EndpointSignals,
        is_stopping: Callable[[], bool],
        log: decisionlog.DecisionLog,
        on_broken: Callable[[str], None],
    ):
        """Makes the service.

        Args:
            reactor: The reactor.
            timers: The timer service.
            listen: The address to listen on; None to relay nothing.
            endpoints: The known endpoints.
            connect: Opens a connection to an endpoint over this host's own
                link, or returns the reply for the peer.
            signals: What endpoints state of themselves.
            is_stopping: Returns whether this host is about to end.
            log: Gets a line if the address can't be used.
            on_broken: Called with the reason if an invariant is broken.
        """
        self._timers = timers
        self._on_broken = on_broken
        self._reactor = reactor
        self._listen = listen
        self._endpoints = endpoints
        self._connect = connect
        self._signals = signals
        self._is_stopping = is_stopping
        self._log = log
        self._connections: set[_PeerSide] = set()
        self._counts: collections.Counter[str] = collections.Counter()
        self._port: Any = None

    @property
    def timers(self) -> Any:
        """The timer service."""
        return self._timers

    @property
    def on_broken(self) -> Callable[[str], None]:
        """Called with the reason if an invariant is broken."""
        return self._on_broken

    @property
    def address(self) -> str:
        """The address that peers connect to, ``IP:PORT``; empty if none."""
        if self._port is None:
            return ""
        bound = self._port.getHost()
        return f"{bound.host}:{bound.port}"

    @property
    def open_connections(self) -> int:
        """Number of open connections of peers."""
        return len(self._connections)

    @property
    def counts(self) -> dict[str, int]:
        """Number of connections that peers asked for, by the reply."""
        return dict(self._counts)

    async def start(self) -> None:
        """Starts to listen."""
        if self._listen is None:
            return
        factory = protocol.ServerFactory()
        factory.noisy = False
        factory.buildProtocol = lambda address: _PeerSide(server=self)
        try:
            self._port = self._reactor.listenTCP(
                self._listen.port, factory, interface=self._listen.host
            )
        except internet_error.CannotListenError as error:
            # Callers of this host are served all the same.
            self._log.always("relay_unavailable", reason=str(error))

    async def stop(self) -> None:
        """Stops listening and ends all connections."""
        if self._port is not None:
            await self._port.stopListening()
        for connection in list(self._connections):
            connection.abort()

    def receive(self, message: Any) -> None:
        """Ignores messages."""

    def dump(self) -> dict[str, Any]:
        """Returns the address, the open connections and the counts."""
        return {
            "address": self.address,
            "open": self.open_connections,
            "counts": self.counts,
        }

    def add(self, connection: _PeerSide) -> None:
        """Counts a connection of a peer."""
        self._connections.add(connection)

    def discard(self, connection: _PeerSide) -> None:
        """Stops counting a connection of a peer."""
        self._connections.discard(connection)

    def count(self, status: str) -> None:
        """Counts a reply."""
        self._counts[status] += 1

    async def open(
        self, wanted: relayframes.Open, build: Callable[[], protocol.Protocol]
    ) -> tuple[directory_module.Registration, Any] | relayframes.Reply:
        """Opens a connection to an endpoint.

        Args:
            wanted: The endpoint.
            build: Returns the protocol of the connection.

        Returns:
            The endpoint and the connected protocol, or the reply that says why
            there is none.
        """
        if self._is_stopping():
            return relayframes.Reply(status=relayframes.Status.STOPPING)
        if len(self._connections) > MAX_CONNECTIONS:
            return relayframes.Reply(status=relayframes.Status.BUSY)
        endpoint = self._endpoints.recall((wanted.endpoint, wanted.born_ms))
        if endpoint is None:
            return relayframes.Reply(status=relayframes.Status.UNKNOWN)
        withheld = self.why_withheld(endpoint, wanted)
        if withheld is not None:
            return withheld
        opened = await self._connect(endpoint, build)
        if isinstance(opened, Failure):
            return opened.failure()
        self.count(relayframes.Status.OPENED.value)
        return endpoint, opened.unwrap()

    def why_withheld(
        self,
        endpoint: directory_module.Registration,
        wanted: relayframes.Open,
    ) -> relayframes.Reply | None:
        """Returns why nothing may be sent to an endpoint now, or None."""
        reason = self._signals.why_withheld(endpoint)
        is_leaving = reason is endpointsignals.Reason.LEAVING
        if reason is None or (is_leaving and wanted.may_be_leaving):
            return None
        return relayframes.Reply(
            status=relayframes.Status.WITHHELD,
            reason=reason.value,
            withheld_ms=round(self._signals.backoff_left_s(endpoint) * 1000),
        )
