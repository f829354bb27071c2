"""A minimal HTTP server for readiness, metrics and dump pages."""

from collections.abc import Callable
from typing import Any

import attrs
from twisted.web import http

from bulrushgrade_daemon import httpfactory


@attrs.frozen(kw_only=True)
class Page:
    """The content of a page at the time of a request.

    Attributes:
        status: The HTTP status code.
        content_type: The content type of the body.
        body: The body.
    """

    status: int
    body: bytes
    content_type: bytes = b"text/plain; charset=utf-8"


class _PageRequest(http.Request):
    find: Callable[[str], Page]

    def process(self) -> None:
        """Answers with the page for the path."""
        page = self.find(self.path.decode("latin-1"))
        self.setResponseCode(page.status)
        self.responseHeaders.setRawHeaders(b"content-type", [page.content_type])
        self.responseHeaders.setRawHeaders(
            b"content-length", [b"%d" % len(page.body)]
        )
        self.write(page.body)
        self.finish()


class PageServer:
    """Serves pages on one address."""

    requires: tuple[str, ...] = ()

    def __init__(
        self,
        *,
        name: str,
        reactor: Any,
        host: str,
        port: int,
        find: Callable[[str], Page],
    ):
        """Makes the service.

        Args:
            name: The name of the service.
            reactor: The reactor that the server runs in.
            host: The IP address to listen on.
            port: The port to listen on.
            find: Returns the page for a path.
        """
        self.name = name
        self._reactor = reactor
        self._host = host
        self._port_number = port
        self._find = find
        self._port: Any = None

    @property
    def address(self) -> str:
        """The address that it listens on, ``IP:PORT``."""
        bound = self._port.getHost()
        return f"{bound.host}:{bound.port}"

    async def start(self) -> None:
        """Starts to listen."""

        def make_request(channel: Any, queued: Any = None) -> _PageRequest:
            request = _PageRequest(channel, queued)
            request.find = self._find
            return request

        factory = httpfactory.RequestFactory(
            reactor=self._reactor, make_request=make_request
        )
        self._port = self._reactor.listenTCP(
            self._port_number, factory, interface=self._host
        )

    async def stop(self) -> None:
        """Stops listening."""
        if self._port is not None:
            await self._port.stopListening()

    def receive(self, message: Any) -> None:
        """Ignores messages; none are sent to this service."""

    def dump(self) -> dict[str, Any]:
        """Returns the address that it listens on."""
        return {"address": self.address if self._port else None}
