"""Makes HTTP connections with requests of our own and without a log."""

from collections.abc import Callable
from typing import Any

from twisted.web import http


class RequestFactory(http.HTTPFactory):
    """Makes plain HTTP channels whose requests a function makes.

    Twisted's own factory wraps each channel for a second protocol, keeps the
    date for an access log and writes one.
    """

    noisy = False

    def __init__(
        self,
        *,
        reactor: Any,
        make_request: Callable[..., http.Request],
        channel_type: type[http.HTTPChannel] = http.HTTPChannel,
    ):
        """Makes a factory.

        Args:
            reactor: Times idle connections.
            make_request: Makes a request from its channel.
            channel_type: The class of the channels.
        """
        super().__init__(reactor=reactor)
        self._make_request = make_request
        self._channel_type = channel_type

    def startFactory(self) -> None:  # noqa: N802
        """Opens no access log."""

    def stopFactory(self) -> None:  # noqa: N802
        """Has no access log to close."""

    def log(self, request: Any) -> None:
        """Writes no access log; decisions have lines of their own."""

    def buildProtocol(self, addr: Any) -> http.HTTPChannel:  # noqa: N802
        """Returns the channel of a new connection."""
        channel = self._channel_type()
        channel.factory = self
        channel.requestFactory = self._make_request
        channel.timeOut = self.timeOut
        channel._reactor = self.reactor
        channel.callLater = self.reactor.callLater
        return channel
