"""The adapter to the platform's host list."""

from collections.abc import Callable
from typing import Any

from returns.result import Failure
from returns.result import Success
import treq
from twisted.internet import defer

from bulrushgrade import membership
from bulrushgrade_daemon import httpclient

TIMEOUT_S = 2.0


class HostListReader:
    """Reads the host list again and again and tells of new versions."""

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
            period_s: Time between reads. A leaving endpoint gets no new work
                once a read shows it, so this and the list's own lag bound
                that time.
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
        """Whether a list has been read once."""
        return self._members.version is not None

    async def start(self) -> None:
        """Reads the list once and then again and again."""
        self._poll()
        self._subscription = self._timers.every(self._period_s, self._poll)

    async def stop(self) -> None:
        """Reads no more."""
        self._subscription.cancel()
        await self._client.pool.closeCachedConnections()

    def receive(self, message: Any) -> None:
        """Takes no messages."""

    def dump(self) -> dict[str, Any]:
        """Returns the list in force and how many reads failed since."""
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
        call = self._client.http.get(self._url).addCallback(treq.content)
        raw = await call.addTimeout(TIMEOUT_S, self._reactor)
        self._reading = False
        parsed = membership.parse_host_list(raw)
        if isinstance(parsed, Failure):
            self._failures += 1
            return
        self._failures = 0
        self._accept(parsed.unwrap())

    def _record_failure(self, failure: Any) -> None:
        # The list being away changes nothing: the last one read stands, and
        # endpoints that are gone show by refused connections.
        self._reading = False
        self._failures += 1

    def _accept(self, hosts: membership.HostList) -> None:
        before = self._members.version
        accepted = self._members.accept(hosts, now=self._timers.now)
        if isinstance(accepted, Success) and hosts.version != before:
            self._on_hosts(hosts)
