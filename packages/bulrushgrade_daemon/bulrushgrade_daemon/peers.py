"""Exchanges loads, demands and snapshots with other daemons.

Each daemon binds one ROUTER socket and connects one DEALER socket to each of
its peers. PUB and SUB sockets were considered: they save the copies for peers
that share the same endpoints, but they drop messages without notice, filter
by prefix and not by shared endpoint, and would need a second pair of sockets
for snapshots. One DEALER per peer gives each peer a bounded queue and allows
dropped messages to be counted.

All messages are advisory. Nothing waits for a peer, and a message that can't
be queued at once is dropped: each message holds the complete state, so the
next one makes up for a lost one.
"""

from collections.abc import Callable
import random
from typing import Any

from returns.result import Failure
import zmq

from bulrushgrade import errors
from bulrushgrade import kernel as kernels
from bulrushgrade import peerview
from bulrushgrade import timer
from bulrushgrade import work
from bulrushgrade_daemon import keys
from bulrushgrade_daemon import metrics as metrics_module
from bulrushgrade_daemon import peermessages
from bulrushgrade_daemon import peersocket
from bulrushgrade_daemon import zmqreactor

# How often loads are sent. Placement ignores the loads of a peer that has sent
# none for 3 s, so several rounds may be lost or skipped before that.
LOADS_PERIOD_S = 0.5
# How often withdrawn endpoints are sent again without a change, so that a peer
# that missed a change receives it within seconds.
WITHDRAWN_REPEAT_S = 5.0
# How often, and how many peers, a starting daemon asks for a snapshot until one
# answers. One answer suffices; with three one is likely to be up to date.
SNAPSHOT_REQUEST_PERIOD_S = 0.5
SNAPSHOT_REQUEST_PEERS = 3
# The role plan sums demand over ten seconds and more.
DEMANDS_PERIOD_S = 2.0
# How many seconds' worth of unused allowance for loads may accumulate.
BURST_S = 2.0


class Peers:
    """Sends this daemon's state to its peers and passes on theirs."""

    name = "peers"
    requires = ("metrics", "timer")

    def __init__(
        self,
        *,
        kernel: kernels.Kernel,
        reactor: Any,
        timers: Any,
        listen: keys.Address,
        queue_messages: int,
        loads_bytes_per_s: float,
        read_loads: Callable[[], tuple[work.PeerLoad, ...]],
        read_demands: Callable[[], tuple[work.Demand, ...]],
        listeners: peermessages.Listeners,
        rng: random.Random,
    ):
        """Makes the service; `start` opens its sockets.

        Args:
            kernel: Provides the metrics service and reports failures.
            reactor: Twisted's reactor.
            timers: The timer service.
            listen: Where to bind; with port 0 a free port is taken.
            queue_messages: Messages queued for one peer.
            loads_bytes_per_s: Rate limit for loads to all peers together.
                Beyond it, loads are sent less often, not truncated.
            read_loads: Returns this daemon's work in flight.
            read_demands: Returns the demand of this daemon's callers.
            listeners: Called with the messages of peers.
            rng: Chooses the incarnation and the peers to ask for snapshots.
        """
        self._kernel = kernel
        self._reactor = reactor
        self._timers = timers
        self._listen = listen
        self._queue_messages = queue_messages
        self._loads_bytes_per_s = loads_bytes_per_s
        self._read_loads = read_loads
        self._read_demands = read_demands
        self._sent_demands: tuple[work.Demand, ...] = ()
        self._listeners = listeners
        self._view = peerview.PeerView()
        self._rng = rng
        self._incarnation = rng.getrandbits(53)
        self._sequence = 0
        self._address = ""
        self._context: zmq.Context | None = None
        self._router: zmqreactor.Connection | None = None
        self._dealers: dict[str, zmqreactor.Connection] = {}
        self._shared: dict[str, frozenset[str]] = {}
        self._sent_idle: set[str] = set()
        self._withdrawn: frozenset[str] = frozenset()
        self._requesting_snapshot = False
        self._subscriptions: list[timer.Subscription] = []
        self._loads_allowance = loads_bytes_per_s * BURST_S
        self._allowance_updated_at = timers.now

    @property
    def address(self) -> str:
        """The bound address, IP:PORT; empty before the start."""
        return self._address

    def find_unconfirmed(self, endpoint: str) -> tuple[str, ...]:
        """Returns the peers that may still place work on an endpoint.

        Args:
            endpoint: The endpoint's address; only peers that share it count.
        """
        sharing = [
            a for a, shared in self._shared.items() if endpoint in shared
        ]
        return self._view.find_unconfirmed(endpoint, sharing)

    async def start(self) -> None:
        """Binds the socket that peers send to."""
        metrics = self._kernel.find("metrics")
        self._make_counters(metrics)
        self._context = zmq.Context(io_threads=1)
        socket = self._make_socket(zmq.ROUTER, str(self._listen))
        socket.bind(f"tcp://{self._listen}")
        endpoint = socket.getsockopt_string(zmq.LAST_ENDPOINT)
        self._address = endpoint.removeprefix("tcp://")
        self._router = self._open(socket)
        self._subscriptions = [
            self._timers.every(LOADS_PERIOD_S, self._share_loads),
            self._timers.every(WITHDRAWN_REPEAT_S, self._send_withdrawn),
            self._timers.every(
                SNAPSHOT_REQUEST_PERIOD_S, self._request_snapshot
            ),
            self._timers.every(DEMANDS_PERIOD_S, self._share_demands),
        ]

    async def stop(self) -> None:
        """Closes every socket."""
        for subscription in self._subscriptions:
            subscription.cancel()
        for dealer in self._dealers.values():
            dealer.close()
        self._dealers = {}
        self._shared = {}
        if self._router is not None:
            self._router.close()
            self._router = None
        if self._context is not None:
            self._context.term()

    def receive(self, message: Any) -> None:
        """Handles a message of another service of this daemon."""
        if self._router is None:
            # Not started yet or stopped: no message can be sent.
            return
        handlers: dict[type, Callable[[Any], None]] = {
            peermessages.SetPeers: self._set_peers,
            peermessages.ShareWithdrawn: self._share_withdrawn,
            peermessages.AskSnapshot: self._start_snapshot_requests,
            peermessages.AnswerSnapshot: self._answer_snapshot,
        }
        handler = handlers.get(type(message))
        if handler is None:
            raise errors.BrokenInvariantError(
                f"peers received an unexpected {type(message).__name__}"
            )
        handler(message)

    def dump(self) -> dict[str, Any]:
        """Returns the service's state for debugging, ready for JSON."""
        return {
            "address": self._address,
            "incarnation": self._incarnation,
            "sequence": self._sequence,
            "peers": {
                address: {"shared_endpoints": len(shared)}
                for address, shared in sorted(self._shared.items())
            },
            "withdrawn": sorted(self._withdrawn),
            "heard": self._view.dump(),
            "asking_for_snapshot": self._requesting_snapshot,
        }

    def _make_counters(self, metrics: metrics_module.Metrics) -> None:
        self._sent = metrics.counter(
            "peer_messages_sent_total", "Messages queued for peers."
        )
        self._sent_bytes = metrics.counter(
            "peer_sent_bytes_total", "Bytes of messages queued for peers."
        )
        self._dropped = metrics.counter(
            "peer_messages_dropped_total",
            "Messages not sent: queue full or peer not connected.",
        )
        self._paced = metrics.counter(
            "peer_loads_paced_total",
            "Rounds of loads left out to keep within the bytes allowed.",
        )
        self._received = metrics.counter(
            "peer_messages_received_total", "Messages of peers."
        )
        self._refused = metrics.counter(
            "peer_messages_refused_total",
            "Messages unreadable, overtaken or from a sender not listed.",
        )
        metrics.gauge(
            "peers", "Daemons that loads are sent to.", read=self._count_peers
        )

    def _count_peers(self) -> int:
        return len(self._dealers)

    def _make_socket(self, kind: int, address: str) -> zmq.Socket:
        return peersocket.make_socket(
            self._context, kind, address, queue_messages=self._queue_messages
        )

    def _open(self, socket: zmq.Socket) -> zmqreactor.Connection:
        return zmqreactor.Connection(
            socket=socket,
            reactor=self._reactor,
            receive=self._handle_frames,
            on_broken=self._kernel.fail,
        )

    def _set_peers(self, message: peermessages.SetPeers) -> None:
        wanted = {
            peer.address: peer.shared
            for peer in message.peers
            if peer.address != self._address and _is_address(peer.address)
        }
        for address in self._dealers.keys() - wanted.keys():
            self._dealers.pop(address).close()
        for address in wanted.keys() - self._dealers.keys():
            socket = self._make_socket(zmq.DEALER, address)
            socket.connect(f"tcp://{address}")
            self._dealers[address] = self._open(socket)
        self._shared = wanted
        self._sent_idle &= wanted.keys()
        self._view.keep(wanted)

    def _share_loads(self) -> None:
        now = self._timers.now
        limit = self._loads_bytes_per_s * BURST_S
        earned = (now - self._allowance_updated_at) * self._loads_bytes_per_s
        self._loads_allowance = min(limit, self._loads_allowance + earned)
        self._allowance_updated_at = now
        # The allowance may go below zero by one round; the next rounds are
        # then skipped until it is positive again. With many peers loads are
        # older, but the byte rate stays within the limit.
        if self._loads_allowance < 0:
            self._paced.add()
            return
        header = self._make_header()
        loads = self._read_loads()
        # With few hosts all peers share the same endpoints, so the message is
        # serialized once and not once per peer.
        ready: dict[frozenset[str], tuple[bool, bytes]] = {}
        for address, shared in self._shared.items():
            if shared not in ready:
                relevant = [load for load in loads if load.endpoint in shared]
                message = peerview.make_loads(header, relevant)
                raw = peerview.serialize_message(message)
                ready[shared] = (not message.endpoints, raw)
            idle, raw = ready[shared]
            # Empty loads are sent once only: repeated, they would be most of
            # the traffic of a large mesh at night. If that message is lost,
            # the peer drops the old loads because of their age.
            if idle and address in self._sent_idle:
                continue
            (self._sent_idle.add if idle else self._sent_idle.discard)(address)
            self._send(address, raw)
            self._loads_allowance -= len(raw)

    def _share_demands(self) -> None:
        demands = self._read_demands()
        # Demands are counters since the start, so without requests they equal
        # the last ones sent, and the next change makes up for a lost message.
        if demands == self._sent_demands:
            return
        self._sent_demands = demands
        raw = peerview.serialize_message(
            peerview.Demands(header=self._make_header(), demands=demands)
        )
        for address in self._dealers:
            self._send(address, raw)

    def _share_withdrawn(self, message: peermessages.ShareWithdrawn) -> None:
        if message.endpoints != self._withdrawn:
            self._withdrawn = message.endpoints
            self._send_withdrawn()

    def _send_withdrawn(self) -> None:
        raw = peerview.serialize_message(
            peerview.Withdrawn(
                header=self._make_header(),
                endpoints=tuple(sorted(self._withdrawn)),
            )
        )
        for address in self._dealers:
            self._send(address, raw)

    def _start_snapshot_requests(
        self, message: peermessages.AskSnapshot
    ) -> None:
        self._requesting_snapshot = True
        self._request_snapshot()

    def _request_snapshot(self) -> None:
        if not self._requesting_snapshot or not self._dealers:
            return
        raw = peerview.serialize_message(
            peerview.SnapshotRequest(header=self._make_header())
        )
        addresses = sorted(self._dealers)
        count = min(SNAPSHOT_REQUEST_PEERS, len(addresses))
        for address in self._rng.sample(addresses, count):
            self._send(address, raw)

    def _answer_snapshot(self, message: peermessages.AnswerSnapshot) -> None:
        raw = peerview.serialize_message(
            peerview.SnapshotReply(
                header=self._make_header(),
                snapshot=message.snapshot,
            )
        )
        if self._router.send([message.reply_to, raw]):
            self._sent.add()
            self._sent_bytes.add(len(raw))
        else:
            self._dropped.add()

    def _send(self, address: str, raw: bytes) -> None:
        if self._dealers[address].send([raw]):
            self._sent.add()
            self._sent_bytes.add(len(raw))
        else:
            self._dropped.add()

    def _handle_frames(self, frames: list[bytes]) -> None:
        parsed = peerview.parse_message(frames[-1])
        if isinstance(parsed, Failure):
            self._refused.add()
            return
        message = parsed.unwrap()
        if isinstance(message, peerview.SnapshotRequest):
            self._listeners.on_snapshot_request(frames[0])
        elif isinstance(message, peerview.SnapshotReply):
            self._requesting_snapshot = False
            self._listeners.on_snapshot(message.snapshot)
        elif not self._apply_state(message):
            self._refused.add()
            return
        self._received.add()

    def _apply_state(self, message: peerview.State) -> bool:
        # State is accepted only from daemons on the host list. A daemon that
        # has just started is not on it yet, and may only request snapshots.
        sender = message.header.sender
        if sender not in self._shared:
            return False
        if isinstance(self._view.accept(message), Failure):
            return False
        if isinstance(message, peerview.Loads):
            self._listeners.on_loads(sender, peerview.read_loads(message))
        elif isinstance(message, peerview.Demands):
            self._listeners.on_demands(sender, message.demands)
        return True

    def _make_header(self) -> peerview.Header:
        self._sequence += 1
        return peerview.Header(
            sender=self._address,
            incarnation=self._incarnation,
            sequence=self._sequence,
        )


def _is_address(text: str) -> bool:
    # An invalid address in the host list must not stop every daemon at once:
    # ZeroMQ raises an error for it, or blocks the reactor to look up a name.
    try:
        keys.parse_address(text)
    except ValueError:
        return False
    return True
