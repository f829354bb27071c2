"""A few plain pages over HTTP: readiness, metrics, dumps."""

from collections.abc import Callable
from typing import Any

import attrs
from twisted.web import http

from bulrushgrade_daemon import httpfactory


@attrs.frozen(kw_only=True)
class Page:
    """What a page shows at the moment.

    Attributes:
        status: The status code.
        content_type: Of the body.
        body: The body.
    """

    status: int
    body: bytes
    content_type: bytes = b"text/plain; charset=utf-8"


class _PageRequest(http.Request):
    find: Callable[[str], Page]

    def process(self) -> None:
        """Answers with the page of the path."""
        page = self.find(self.path.decode("latin-1"))
        self.setResponseCode(page.status)
        self.responseHeaders.setRawHeaders(b"content-type", [page.content_type])
        self.responseHeaders.setRawHeaders(
            b"content-length", [b"%d" % len(page.body)]
        )
        self.write(page.body)
        self.finish()


class PageServer:
    """Serves pages at one address."""

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
            name: The service's name.
            reactor: Where it listens.
            host: The IP number.
            port: The port.
            find: Returns the page of a path.
        """
        self.name = name
        self._reactor = reactor
        self._host = host
        self._port_number = port
        self._find = find
        self._port: Any = None

    @property
    def address(self) -> str:
        """Where it listens, ``IP:PORT``."""
        bound = self._port.getHost()
        return f"{bound.host}:{bound.port}"

    async def start(self) -> None:
        """Listens."""

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
        """Takes no messages."""

    def dump(self) -> dict[str, Any]:
        """Returns where it listens."""
        return {"address": self.address if self._port else None}
