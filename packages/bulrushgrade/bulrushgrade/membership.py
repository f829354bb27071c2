"""Tracks the known hosts by a delayed host list and by own observations.

The list decides which hosts are members; observations only take hosts out of
use sooner than the list does. A host gets new work while it is listed as live
and no observation of this process contradicts that.
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

# A single failed call is common on a busy network and would cost an endpoint a
# probe interval of work. Three in a row are rarely a coincidence.
SILENT_AFTER_FAILURES = 3
# Time between probes of a silent host: short enough to use it again within
# seconds, long enough that the probes do not slow callers down.
PROBE_PERIOD_S = 2.0


class Kind(enum.Enum):
    """The kind of process that runs on a host."""

    ENTRY = "entry"
    ENGINE = "engine"
    PLAIN = "plain"


class State(enum.Enum):
    """The state of a host by the list and this process's observations."""

    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"
    GONE = "gone"


class ListedState(enum.Enum):
    """The state of a host in the host list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class Host:
    """An entry of the host list.

    Attributes:
        address: IP:PORT, unique in the list.
        kind: The kind of process that runs there.
        service: The service it belongs to; empty for entry hosts.
        zone: Its availability zone.
        region: The region of the zone.
        state: Whether it is live or leaving.
        peer: IP:PORT for other daemons; empty for endpoints.
        fencing: Whether an engine refuses orders with an old fencing token.
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
    """One version of the host list.

    Attributes:
        version: A number that increases with each change.
        hosts: The hosts, in no particular order.
    """

    version: int
    hosts: tuple[Host, ...]


def parse_host_list(raw: bytes) -> Result[HostList, errors.BadHostList]:
    """Returns the host list parsed from an answer's bytes."""
    try:
        host_list = msgspec.json.decode(raw, type=HostList)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(errors.BadHostList(reason=str(error)))
    addresses = {host.address for host in host_list.hosts}
    if len(addresses) != len(host_list.hosts):
        return Failure(errors.BadHostList(reason="duplicate address"))
    # A list service that lost its state returns an empty list. Accepting it
    # would withdraw the whole fleet, while a fleet that is really empty
    # serves nobody either way.
    if not addresses:
        return Failure(errors.BadHostList(reason="empty host list"))
    return Success(host_list)


@attrs.frozen(kw_only=True)
class Change:
    """The difference between a list and its predecessor.

    Attributes:
        added: Addresses that were not listed before.
        leaving: Addresses that are leaving and were not before.
        removed: Addresses that are no longer listed.
    """

    added: tuple[str, ...]
    leaving: tuple[str, ...]
    removed: tuple[str, ...]


@attrs.define(kw_only=True)
class _Observations:
    """This process's own observations of one host."""

    failures: int = 0
    tried_at: float = -math.inf
    refuses: bool = False


class Membership:
    """The known hosts and whether they may get new work."""

    def __init__(self):
        self._version: int | None = None
        self._read_at = -math.inf
        self._hosts: dict[str, Host] = {}
        self._observations: dict[str, _Observations] = {}

    @property
    def version(self) -> int | None:
        """The version of the current list, or None before the first."""
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
        """Applies a list unless a newer one has been applied.

        The list service has several servers, or a proxy in front of them, so
        two consecutive reads may arrive out of order. Applying the older list
        would send work to a host that has been withdrawn.
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
        """Records that a host answered a call or a probe."""
        observed = self._find_observations(address)
        observed.failures = 0
        observed.tried_at = now

    def observe_failure(self, address: str, *, now: float) -> None:
        """Records that a call or a probe got no answer."""
        observed = self._find_observations(address)
        observed.failures += 1
        observed.tried_at = now

    def observe_refusing(self, address: str, *, refuses: bool) -> None:
        """Records whether a host itself reports that it refuses new work.

        Only another report of the host clears this: a list that still has it
        as live may just be outdated.
        """
        self._find_observations(address).refuses = refuses

    def get_state(self, address: str) -> State:
        """Returns the state of a host by the list and by observations."""
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
        """Returns whether a silent host may be probed again."""
        if self.get_state(address) is not State.SILENT:
            return False
        return now - self._observations[address].tried_at >= PROBE_PERIOD_S

    def dump(self, *, now: float) -> dict[str, object]:
        """Returns the view for operators, ready for JSON."""
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
        # A late answer from a host that is no longer listed must not create a
        # permanent entry.
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
    """Returns the hosts that are listed as live, in the given order."""
    return tuple(host for host in hosts if host.state is ListedState.LIVE)
