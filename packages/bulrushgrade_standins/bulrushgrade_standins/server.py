"""Serves klein apps, and has helpers that all stand-ins share.

The faults of a stand-in are set by ``POST /fault`` with a JSON object that
replaces the whole set; ``{}`` clears them all. A test with real processes can
thus start and end a failure without touching the process.
"""

from collections.abc import Callable
from typing import Any

import attrs
import klein
import msgspec
from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.protocols import policies
from twisted.web import http
from twisted.web import server

# How long a keep-alive connection may idle. It is long because the tests check
# how the daemon handles stale pooled connections.
_IDLE_TIMEOUT_S = 600


@attrs.frozen(kw_only=True)
class Listener:
    """A listening server.

    Attributes:
        address: The address it listens on, as ``IP:PORT``.
        stop: Stops listening and aborts the open connections; the Deferred
            fires when the port is free.
    """

    address: str
    stop: Callable[[], defer.Deferred]


def parse_address(text: str) -> tuple[str, int]:
    """Returns the IP address and the port in ``IP:PORT``.

    Raises:
        ValueError: The text has no port number.
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


def serve(*, app: klein.Klein, listen: str = "127.0.0.1:0") -> Listener:
    """Serves an app in the running reactor.

    Args:
        app: The app that handles the requests.
        listen: ``IP:PORT``; port 0 takes a free one.

    Returns:
        The listener; the port is open when this returns.
    """
    site = server.Site(app.resource(), timeout=_IDLE_TIMEOUT_S)
    site.displayTracebacks = False
    return listen_tcp(factory=site, listen=listen)


def listen_tcp(*, factory: Any, listen: str) -> Listener:
    """Listens like `serve`, with any protocol factory."""
    host, number = parse_address(listen)
    tracked = policies.WrappingFactory(factory)
    tracked.noisy = False
    factory.noisy = False
    port = reactor.listenTCP(number, tracked, interface=host, backlog=1024)
    bound = port.getHost()

    def stop() -> defer.Deferred:
        stopped = defer.maybeDeferred(port.stopListening)
        for connection in list(tracked.protocols):
            connection.transport.abortConnection()
        return stopped

    return Listener(address=f"{bound.host}:{bound.port}", stop=stop)


def answer(
    request: Any, value: Any, *, code: int = 200, **headers: str
) -> bytes:
    """Sets the status and headers of a response and returns its JSON body.

    Args:
        request: The request to answer.
        value: A value that msgspec can encode.
        code: The HTTP status.
        **headers: Further headers, with ``_`` for ``-`` in their names.
    """
    request.setResponseCode(code)
    request.setHeader("Content-Type", "application/json")
    for name, text in headers.items():
        request.setHeader(name.replace("_", "-"), text)
    return msgspec.json.encode(value)


def answer_not_started(
    request: Any, reason: str, *, code: int = 503, retry_after_s: int = 1
) -> bytes:
    """Rejects a request that has not been started and never will be."""
    return answer(
        request,
        {"code": reason},
        code=code,
        X_Not_Started="true",
        Retry_After=str(retry_after_s),
    )


def read_json(request: Any) -> dict[str, Any] | None:
    """Returns the JSON object in a request's body, or None."""
    try:
        value = msgspec.json.decode(request.content.read())
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return value if isinstance(value, dict) else None


def read_header(request: Any, name: str) -> str:
    """Returns a request header, or an empty string."""
    return request.getHeader(name) or ""


def read_number(request: Any, name: str, default: float) -> float:
    """Returns a number from the query string.

    Raises:
        ValueError: The parameter is not a number.
    """
    values = request.args.get(name.encode())
    return float(values[0]) if values else default


def abort(request: Any) -> defer.Deferred:
    """Resets the connection of a request; the caller gets no more bytes."""
    if request.channel is not None:
        request.channel.transport.abortConnection()
    return never_answer()


def never_answer() -> defer.Deferred:
    """Leaves a request unanswered until its caller disconnects."""
    return defer.Deferred()


def sleep(delay_s: float) -> defer.Deferred:
    """Returns a Deferred that fires in `delay_s` seconds."""
    return task.deferLater(reactor, delay_s)


def add_fault_routes(
    *,
    app: klein.Klein,
    kind: type,
    read: Callable[[], Any],
    write: Callable[[Any], None],
) -> None:
    """Adds ``GET /fault`` and ``POST /fault`` to an app.

    Args:
        app: The stand-in's app.
        kind: The attrs class of its faults; every attribute has a default.
        read: Returns the faults in effect.
        write: Replaces the faults in effect.
    """

    def get_fault(request: Any) -> bytes:
        return answer(request, read())

    def post_fault(request: Any) -> bytes:
        raw = read_json(request)
        if raw is None or not set(raw) <= set(attrs.fields_dict(kind)):
            return answer(request, {"code": "bad_fault"}, code=http.BAD_REQUEST)
        try:
            write(msgspec.convert(raw, kind))
        except msgspec.ValidationError as error:
            return answer(request, {"code": str(error)}, code=http.BAD_REQUEST)
        return answer(request, read())

    app.route("/fault", methods=["GET"])(get_fault)
    app.route("/fault", methods=["POST"])(post_fault)
