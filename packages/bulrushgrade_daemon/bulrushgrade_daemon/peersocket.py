"""Creates and configures the sockets between daemons."""

import zmq

# If a firewall between the two ends drops the state of a connection, messages
# are lost without an error. Missing heartbeats detect that, and ZeroMQ opens a
# new connection. The timeout allows for two lost heartbeats; with a shorter
# interval heartbeats would cost a large mesh more traffic than its loads.
HEARTBEAT_INTERVAL_S = 2.0
HEARTBEAT_TIMEOUT_S = 6.0
# Bounds the wait for a peer that accepts but never responds, such as a stopped
# process.
HANDSHAKE_TIMEOUT_S = 5.0
MIN_RECONNECT_S = 0.1
# The longest delay between reconnects to a host that is gone, until the host
# list no longer has it.
MAX_RECONNECT_S = 5.0
# The largest accepted message. A snapshot of a few hundred documents of a few
# kilobytes each is well below it. ZeroMQ closes the connection that a larger
# one comes in on.
MAX_MESSAGE_BYTES = 8 * 1024 * 1024


def make_socket(
    context: zmq.Context, kind: int, address: str, *, queue_messages: int
) -> zmq.Socket:
    """Returns a socket that is neither bound nor connected.

    Args:
        context: The ZeroMQ context that owns the socket.
        kind: The socket type, such as ``zmq.ROUTER``.
        address: The IP:PORT that it will be bound or connected to.
        queue_messages: Messages queued for one peer.
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
    # With this option set for an IPv4 address, ZeroMQ would report the bound
    # address as ::ffff:10.0.0.1. Peers identify each other by the address in
    # the host list and would drop all loads from a sender with another one.
    socket.setsockopt(zmq.IPV6, address.startswith("["))
    # Without a connection a send fails instead of queueing the message: a peer
    # that reconnects must not receive loads that are minutes old.
    socket.setsockopt(zmq.IMMEDIATE, 1)
    return socket


def _to_ms(seconds: float) -> int:
    return int(seconds * 1000)
