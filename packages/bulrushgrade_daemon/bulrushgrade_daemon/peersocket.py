"""How the sockets between daemons are set up."""

import zmq

# A connection can go silent for good when something between the two ends has
# lost track of it; sends then vanish without an error. Heartbeats find that
# out, and ZeroMQ opens a new connection. The timeout allows for two lost
# heartbeats; a shorter interval would cost a large mesh more than its loads.
HEARTBEAT_INTERVAL_S = 2.0
HEARTBEAT_TIMEOUT_S = 6.0
# A peer that accepts but never speaks, such as a stopped process.
HANDSHAKE_TIMEOUT_S = 5.0
MIN_RECONNECT_S = 0.1
# A host that is gone for good is left out by the host list; until then tries
# are spaced out to this.
MAX_RECONNECT_S = 5.0
# The largest message taken: a snapshot of some hundreds of documents of a few
# kilobytes, with room. A larger one has its connection dropped by ZeroMQ.
MAX_MESSAGE_BYTES = 8 * 1024 * 1024


def make_socket(
    context: zmq.Context, kind: int, address: str, *, queue_messages: int
) -> zmq.Socket:
    """Returns a socket that is neither bound nor connected.

    Args:
        context: Where it lives.
        kind: Its type, such as ``zmq.ROUTER``.
        address: The IP:PORT that it is to be bound or connected to.
        queue_messages: Messages held for one peer.
    """
    socket = context.socket(kind)
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, queue_messages)
    socket.setsockopt(zmq.RCVHWM, queue_messages)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    timeout_ms = _to_ms(HEARTBEAT_TIMEOUT_S)
    socket.setsockopt(zmq.HEARTBEAT_IVL, _to_ms(HEARTBEAT_INTERVAL_S))
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, timeout_ms)
    socket.setsockopt(zmq.HEARTBEAT_TTL, timeout_ms)
    socket.setsockopt(zmq.HANDSHAKE_IVL, _to_ms(HANDSHAKE_TIMEOUT_S))
    socket.setsockopt(zmq.RECONNECT_IVL, _to_ms(MIN_RECONNECT_S))
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, _to_ms(MAX_RECONNECT_S))
    # Set for version 4 too, ZeroMQ would call the own address ::ffff:10.0.0.1.
    # Peers know each other by the address in the host list, and would drop
    # every load from a sender that is called by another one.
    socket.setsockopt(zmq.IPV6, address.startswith("["))
    # Without a connection a message is refused, not queued: a peer that comes
    # back must not be told minutes of old loads.
    socket.setsockopt(zmq.IMMEDIATE, 1)
    return socket


def _to_ms(seconds: float) -> int:
    return int(seconds * 1000)
