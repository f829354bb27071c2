"""The adapter to the platform's host list."""

from collections.abc import Callable
from typing import Any

import attrs
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success
import treq
from twisted.internet import defer

from bulrushgrade_daemon import httpclient

TIMEOUT_S = 2.0


@attrs.frozen
class Host:
    """One line of the host list.

    Attributes:
        address: ``IP:PORT``.
        kind: ``entry``, ``engine`` or ``plain``.
        service: The service that it serves, empty for entry hosts.
        zone: Its availability zone.
        region: Its region.
        state: ``live`` or ``leaving``.
        peer: Where an entry host hears other daemons, or empty.
        fencing: Whether an engine refuses an order with an old number.
    """

    address: str
    kind: str
    service: str
    zone: str
    region: str = ""
    state: str = "live"
    peer: str = ""
    fencing: bool = False


@attrs.frozen
class HostsRead:
    """A version of the host list, as a message to other services.

    Attributes:
        version: Counts up with each change of the list.
        hosts: Its lines.
    """

    version: int
    hosts: list[Host]


def parse_hosts(raw: bytes) -> Result[HostsRead, str]:
    """Parses an answer of the host list."""
    try:
        return Success(msgspec.json.decode(raw, type=HostsRead))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(str(error))


class HostList:
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
        on_hosts: Callable[[HostsRead], None],
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
        self._last: HostsRead | None = None
        self._failures = 0
        self._subscription: Any = None

    @property
    def known(self) -> bool:
        """Whether a list has been read once."""
        return self._last is not None

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
        """Returns the last list and how many reads failed since."""
        return {
            "failures_in_a_row": self._failures,
            "last": None if self._last is None else attrs.asdict(self._last),
        }

    def _poll(self) -> None:
        if self._reading:
            return
        self._reading = True
        read = defer.Deferred.fromCoroutine(self._read())
        read.addErrback(self._failed)

    async def _read(self) -> None:
        call = self._client.http.get(self._url).addCallback(treq.content)
        raw = await call.addTimeout(TIMEOUT_S, self._reactor)
        self._reading = False
        parsed = parse_hosts(raw)
        if isinstance(parsed, Failure):
            self._failures += 1
            return
        self._failures = 0
        self._take(parsed.unwrap())

    def _failed(self, failure: Any) -> None:
        # The list being away changes nothing: the last one read stands, and
        # endpoints that are gone show by refused connections.
        self._reading = False
        self._failures += 1

    def _take(self, hosts: HostsRead) -> None:
        if self._last is not None and hosts.version <= self._last.version:
            return
        self._last = hosts
        self._on_hosts(hosts)
