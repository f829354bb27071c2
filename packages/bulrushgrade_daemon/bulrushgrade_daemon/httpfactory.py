"""A light HTTP server factory with custom requests and no access log."""

from collections.abc import Callable
from typing import Any

from twisted.web import http


class RequestFactory(http.HTTPFactory):
    """Makes HTTP channels that use a custom request factory.

    Twisted's own factory wraps each channel to support HTTP/2, updates the
    date for an access log and writes that log.
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
            reactor: The reactor, for the timeouts of idle connections.
            make_request: Makes the request object of a channel.
            channel_type: The class of the channels.
        """
        super().__init__(reactor=reactor)
        self._make_request = make_request
        self._channel_type = channel_type

    def startFactory(self) -> None:  # noqa: N802
        """Does nothing, as there is no access log."""

    def stopFactory(self) -> None:  # noqa: N802
        """Does nothing, as there is no access log."""

    def log(self, request: Any) -> None:
        """Does nothing; the decision log has lines about requests instead."""

    def buildProtocol(self, addr: Any) -> http.HTTPChannel:  # noqa: N802
        """Returns the channel for a new connection."""
        channel = self._channel_type()
        channel.factory = self
        channel.requestFactory = self._make_request
        channel.timeOut = self.timeOut
        channel._reactor = self.reactor
        channel.callLater = self.reactor.callLater
        return channel
