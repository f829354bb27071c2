"""Reads the platform's host list."""

from collections.abc import Callable
from typing import Any

from returns.result import Failure
from returns.result import Success
from twisted.internet import defer

from bulrushgrade import membership
from bulrushgrade_daemon import httpclient

TIMEOUT_S = 2.0

MAX_LIST_BYTES = 8 * 1024 * 1024
"""Maximum size of the list: 40,000 hosts of 200 bytes, twenty times what is
planned for."""


class HostListReader:
    """Polls the host list and reports new versions."""

    name = "hostlist"
    requires = ("timer",)

    def __init__(
        self,
        *,
        reactor: Any,
        timers: Any,
        address: str,
        period_s: float,
        on_hosts: Callable[[membership.HostList], None],
    ):
        """Makes a reader.

        Args:
            reactor: The reactor for its connections.
            timers: The timer service.
            address: The host list's ``IP:PORT``.
            period_s: Time between reads. An endpoint that leaves may get new
                work until a read shows that it leaves, which takes at most
                this time plus the lag of the list itself.
            on_hosts: Called with each list whose version is new.
        """
        self._reactor = reactor
        self._timers = timers
        self._url = f"http://{address}/hosts"
        self._on_hosts = on_hosts
        self._period_s = period_s
        self._client = httpclient.open_client(reactor)
        self._reading = False
        self._members = membership.Membership()
        self._failures = 0
        self._subscription: Any = None

    @property
    def known(self) -> bool:
        """Whether a list has been read."""
        return self._members.version is not None

    async def start(self) -> None:
        """Starts to poll the list, with a first read now."""
        self._poll()
        self._subscription = self._timers.every(self._period_s, self._poll)

    async def stop(self) -> None:
        """Stops polling and closes the connections."""
        self._subscription.cancel()
        await self._client.pool.closeCachedConnections()

    def receive(self, message: Any) -> None:
        """Ignores messages: no service sends any here."""

    def dump(self) -> dict[str, Any]:
        """Returns the current list and the number of failed reads since."""
        return {
            "failures_in_a_row": self._failures,
            **self._members.dump(now=self._timers.now),
        }

    def _poll(self) -> None:
        if self._reading:
            return
        self._reading = True
        read = defer.Deferred.fromCoroutine(self._read())
        read.addErrback(self._record_failure)

    async def _read(self) -> None:
        call = defer.Deferred.fromCoroutine(
            httpclient.fetch(
                self._client, "GET", self._url, max_bytes=MAX_LIST_BYTES
            )
        )
        _, raw = await call.addTimeout(TIMEOUT_S, self._reactor)
        self._reading = False
        parsed = membership.parse_host_list(raw)
        if isinstance(parsed, Failure):
            self._failures += 1
            return
        self._failures = 0
        self._accept(parsed.unwrap())

    def _record_failure(self, failure: Any) -> None:
        # While the list is unavailable the last one read remains valid;
        # endpoints that are gone are detected by refused connections.
        self._reading = False
        self._failures += 1

    def _accept(self, hosts: membership.HostList) -> None:
        before = self._members.version
        accepted = self._members.accept(hosts, now=self._timers.now)
        if isinstance(accepted, Success) and hosts.version != before:
            self._on_hosts(hosts)
