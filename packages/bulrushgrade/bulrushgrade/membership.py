"""Which hosts there are, from a list that lags and from own observations.

The list decides who belongs; observations only take hosts out of use sooner
than the list does. A host gets new work while the list calls it live and
nothing that this process saw for itself says otherwise.
"""

from collections.abc import Iterable
import enum
import math

import attrs
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade import errors

# One failed call is common on a busy network and would cost an endpoint a
# probe interval of work; three in a row are rarely chance.
SILENT_AFTER_FAILURES = 3
# How often a silent host may be tried again: often enough to have it back
# within seconds, rare enough that callers do not pay for the tries.
PROBE_PERIOD_S = 2.0


class Kind(enum.Enum):
    """What runs on a host."""

    ENTRY = "entry"
    ENGINE = "engine"
    PLAIN = "plain"


class State(enum.Enum):
    """What this process makes of a host."""

    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"
    GONE = "gone"


class ListedState(enum.Enum):
    """What the list says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class Host:
    """One host as the list shows it.

    Attributes:
        address: IP:PORT, unique in the list.
        kind: What runs there.
        service: The service it belongs to; empty for entry hosts.
        zone: Its availability zone.
        region: The region of the zone.
        state: Whether it stays or is on its way out.
        peer: IP:PORT for other daemons; empty for endpoints.
        fencing: Whether an engine refuses orders with an old fencing number.
    """

    address: str
    kind: Kind
    service: str
    zone: str
    region: str
    state: ListedState
    peer: str = ""
    fencing: bool = False


@attrs.frozen(kw_only=True)
class HostList:
    """One answer of the host list.

    Attributes:
        version: Goes up with each change.
        hosts: The hosts, in no particular order.
    """

    version: int
    hosts: tuple[Host, ...]


def parse_host_list(raw: bytes) -> Result[HostList, errors.BadHostList]:
    """Returns the host list in the bytes of an answer."""
    try:
        host_list = msgspec.json.decode(raw, type=HostList)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(errors.BadHostList(reason=str(error)))
    addresses = {host.address for host in host_list.hosts}
    if len(addresses) != len(host_list.hosts):
        return Failure(errors.BadHostList(reason="an address stands twice"))
    # A list service that lost its state answers with nothing. Taking that at
    # its word would withdraw the whole fleet, while a fleet that is truly
    # empty serves nobody either way.
    if not addresses:
        return Failure(errors.BadHostList(reason="no hosts at all"))
    return Success(host_list)


@attrs.frozen(kw_only=True)
class Change:
    """What a newer list changed.

    Attributes:
        added: Addresses that were not listed before.
        leaving: Addresses that are newly on their way out.
        removed: Addresses that are no longer listed.
    """

    added: tuple[str, ...]
    leaving: tuple[str, ...]
    removed: tuple[str, ...]


@attrs.define(kw_only=True)
class _Observations:
    """What this process saw of one host."""

    failures: int = 0
    tried_at: float = -math.inf
    refuses: bool = False


class Membership:
    """The hosts that are known and what may be sent to them."""

    def __init__(self):
        self._version: int | None = None
        self._read_at = -math.inf
        self._hosts: dict[str, Host] = {}
        self._observations: dict[str, _Observations] = {}

    @property
    def version(self) -> int | None:
        """The version of the list in force, or None before the first."""
        return self._version

    @property
    def hosts(self) -> tuple[Host, ...]:
        """The listed hosts in order of address."""
        return tuple(self._hosts[key] for key in sorted(self._hosts))

    def get_age_s(self, now: float) -> float:
        """Returns the seconds since a current list was last read."""
        return now - self._read_at

    def select(self, kind: Kind) -> tuple[Host, ...]:
        """Returns the listed hosts of a kind in order of address."""
        return tuple(host for host in self.hosts if host.kind is kind)

    def accept(
        self, host_list: HostList, *, now: float
    ) -> Result[Change, errors.StaleHostList]:
        """Puts a list in force, unless a newer one already is.

        The list service has several servers, or a proxy before them, so two
        reads in a row may come in the wrong order. Going back to the older
        one would send work to a host that has been withdrawn.
        """
        if self._version is not None and host_list.version < self._version:
            return Failure(
                errors.StaleHostList(
                    version=host_list.version, current=self._version
                )
            )
        self._read_at = now
        if host_list.version == self._version:
            return Success(Change(added=(), leaving=(), removed=()))
        old = self._hosts
        new = {host.address: host for host in host_list.hosts}
        self._version = host_list.version
        self._hosts = new
        for address in old.keys() - new.keys():
            self._observations.pop(address, None)
        return Success(
            Change(
                added=tuple(sorted(new.keys() - old.keys())),
                leaving=tuple(sorted(_leaving(new) - _leaving(old))),
                removed=tuple(sorted(old.keys() - new.keys())),
            )
        )

    def observe_answer(self, address: str, *, now: float) -> None:
        """Notes that a host answered a call or a probe."""
        observed = self._find_observations(address)
        observed.failures = 0
        observed.tried_at = now

    def observe_failure(self, address: str, *, now: float) -> None:
        """Notes that a call or a probe got no answer."""
        observed = self._find_observations(address)
        observed.failures += 1
        observed.tried_at = now

    def observe_refusing(self, address: str, *, refuses: bool) -> None:
        """Notes whether a host itself says that it takes no new work.

        Only the host's own word clears this again: a list that still calls
        it live may just be late.
        """
        self._find_observations(address).refuses = refuses

    def get_state(self, address: str) -> State:
        """Returns what this process makes of a host."""
        host = self._hosts.get(address)
        if host is None:
            return State.GONE
        observed = self._observations.get(address, _Observations())
        if host.state is ListedState.LEAVING or observed.refuses:
            return State.LEAVING
        if observed.failures >= SILENT_AFTER_FAILURES:
            return State.SILENT
        return State.LIVE

    def takes_new_work(self, address: str) -> bool:
        """Returns whether new work may be placed on a host."""
        return self.get_state(address) is State.LIVE

    def is_probe_due(self, address: str, *, now: float) -> bool:
        """Returns whether a silent host may be tried again."""
        if self.get_state(address) is not State.SILENT:
            return False
        return now - self._observations[address].tried_at >= PROBE_PERIOD_S

    def dump(self, *, now: float) -> dict[str, object]:
        """Returns the view for a person, ready for JSON."""
        return {
            "version": self._version,
            "age_s": None if self._version is None else self.get_age_s(now),
            "hosts": {
                host.address: {
                    "kind": host.kind.value,
                    "service": host.service,
                    "zone": host.zone,
                    "listed": host.state.value,
                    "state": self.get_state(host.address).value,
                }
                for host in self.hosts
            },
        }

    def _find_observations(self, address: str) -> _Observations:
        # A late answer from a host that is no longer listed must not leave an
        # entry behind for good.
        if address not in self._hosts:
            return _Observations()
        return self._observations.setdefault(address, _Observations())


def _leaving(hosts: dict[str, Host]) -> set[str]:
    return {
        address
        for address, host in hosts.items()
        if host.state is ListedState.LEAVING
    }


def select_live(hosts: Iterable[Host]) -> tuple[Host, ...]:
    """Returns the hosts that the list calls live, in the order given."""
    return tuple(host for host in hosts if host.state is ListedState.LIVE)
