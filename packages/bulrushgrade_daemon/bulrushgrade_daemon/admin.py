"""The HTTP API for operators: metrics and state dumps of the services."""

from collections.abc import Callable
from typing import Any

import klein
import msgspec
from twisted.internet import defer
from twisted.web import server

from bulrushgrade_daemon import keys


class Admin:
    """Serves ``/metrics``, ``/dump``, ``/dump/SERVICE`` and ``/healthz``."""

    name = "admin"
    requires = ("metrics",)

    def __init__(
        self,
        *,
        reactor: Any,
        listen: keys.Address,
        dump: Callable[[], dict[str, Any]],
        render_metrics: Callable[[], bytes],
    ):
        """Makes the service.

        Args:
            reactor: The reactor that the server runs in.
            listen: The address to listen on.
            dump: Returns the state of every service by name.
            render_metrics: Returns the metrics in the Prometheus text format.
        """
        self._reactor = reactor
        self._listen = listen
        self._dump = dump
        self._render_metrics = render_metrics
        self._port: Any = None

    @property
    def address(self) -> str:
        """The address that operators connect to, ``IP:PORT``."""
        host = self._port.getHost()
        return f"{host.host}:{host.port}"

    async def start(self) -> None:
        """Starts to listen."""
        app = klein.Klein()
        app.route("/healthz")(lambda request: b"ok\n")
        app.route("/metrics")(self._metrics)
        app.route("/dump")(self._dump_all)
        app.route("/dump/<name>")(self._dump_one)
        site = server.Site(app.resource(), timeout=30)
        site.displayTracebacks = False
        self._port = self._reactor.listenTCP(
            self._listen.port, site, interface=self._listen.host
        )

    async def stop(self) -> None:
        """Stops listening."""
        await defer.maybeDeferred(self._port.stopListening)

    def receive(self, message: Any) -> None:
        """Ignores messages; none are sent to this service."""

    def dump(self) -> dict[str, Any]:
        """Returns the address that it listens on."""
        return {"address": self.address if self._port else None}

    def _metrics(self, request: Any) -> bytes:
        request.setHeader("Content-Type", "text/plain; version=0.0.4")
        return self._render_metrics()

    def _dump_all(self, request: Any) -> bytes:
        return _serialize(request, self._dump())

    def _dump_one(self, request: Any, name: str) -> bytes:
        services = self._dump()
        if name not in services:
            request.setResponseCode(404)
            known = ", ".join(sorted(services))
            return _serialize(
                request,
                {"error": f"there is no service {name!r}; there are {known}"},
            )
        return _serialize(request, services[name])


def _serialize(request: Any, value: Any) -> bytes:
    request.setHeader("Content-Type", "application/json")
    return msgspec.json.encode(value)
