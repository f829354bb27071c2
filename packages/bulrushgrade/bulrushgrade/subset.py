"""Selects the endpoints that a daemon connects to, and its peers.

If every daemon connected to every endpoint, connections and load messages
would grow with the product of the two. Each daemon connects to a bounded
subset instead, chosen by rendezvous hashing: all daemons compute the same
subsets from the same host list, and a change of one host affects only the
subsets that contain it.

Endpoints of the daemon's own zone come first. A few come from the next zone of
the region, which is the same one for all daemons of a zone. If it differed
between them, a daemon would share endpoints with nearly all others.
"""

from collections.abc import Iterable
import heapq

import attrs
import xxhash

from bulrushgrade import membership

# Endpoints per service in the own zone. Placement by two random choices needs a
# handful of nearly equal endpoints; a dozen also keeps the extra load on each
# of the others small when one fails.
OWN_ZONE_ENDPOINTS = 12
# Endpoints per service outside the own zone, so that a daemon can place work at
# once when its zone's endpoints are lost, before the host list shows it. While
# a service has at most OWN_ZONE_ENDPOINTS + OTHER_ZONE_ENDPOINTS endpoints,
# every daemon connects to all of them.
OTHER_ZONE_ENDPOINTS = 4
# Daemons that may acquire the lease of one group of engines. Each reads the
# group's stream, so the number is small; with three, two may fail at once.
CANDIDATES = 3


def rendezvous_weight(key: str, member: str) -> int:
    """Returns the 64-bit rendezvous weight of a member for a key."""
    return xxhash.xxh3_64_intdigest(f"{key} {member}".encode())


def rank(key: str, members: Iterable[str], count: int) -> tuple[str, ...]:
    """Returns the members with the greatest weights for a key.

    Args:
        key: The name of the daemon or group that chooses.
        members: The distinct names to choose from.
        count: The maximum number of members to return.

    Returns:
        The chosen members, greatest weight first.
    """
    return tuple(
        heapq.nlargest(
            count, members, key=lambda member: rendezvous_weight(key, member)
        )
    )


def order_zones(
    own: tuple[str, str], zones: Iterable[tuple[str, str]]
) -> tuple[tuple[str, str], ...]:
    """Orders zones by the preference of daemons in one zone.

    The own zone comes first, then the other zones of the region as a ring,
    then other regions. In a ring each zone follows exactly one other, so the
    load of a lost zone does not concentrate on one zone by a random hash.

    Args:
        own: The daemon's region and zone.
        zones: All regions and zones.
    """
    region, zone = own
    near = sorted(z for z in zones if z[0] == region and z[1] > zone)
    near += sorted(z for z in zones if z[0] == region and z[1] < zone)
    far = sorted(z for z in zones if z[0] > region)
    far += sorted(z for z in zones if z[0] < region)
    return (own, *near, *far)


@attrs.frozen(kw_only=True)
class _ZoneMembers:
    """The endpoints of one service in one zone, with a cache of choices."""

    members: tuple[str, ...]
    choices: dict[str, tuple[str, ...]] = attrs.field(factory=dict)

    def choose(self, daemon: str, count: int) -> tuple[str, ...]:
        """Returns the daemon's first choices among the members."""
        if daemon not in self.choices:
            limit = OWN_ZONE_ENDPOINTS + OTHER_ZONE_ENDPOINTS
            self.choices[daemon] = rank(daemon, self.members, limit)
        return self.choices[daemon][:count]


class EndpointSubsets:
    """The endpoint subsets of all daemons, computed from one host list.

    Choices are cached for each zone and service until an endpoint there is
    added or removed. Recomputing all of them for one host would delay the
    requests of a large deployment by a good part of a second.
    """

    def __init__(self):
        self._members: dict[str, dict[tuple[str, str], _ZoneMembers]] = {}
        self._daemons: dict[str, membership.Host] = {}
        self._subsets: dict[str, frozenset[str]] = {}

    def update(self, hosts: Iterable[membership.Host]) -> None:
        """Applies the hosts of a newer list.

        Leaving hosts stay in subsets: work is still in flight there, and
        their loads still matter to the daemons that share them.

        Args:
            hosts: All listed hosts, daemons and endpoints.
        """
        daemons: dict[str, membership.Host] = {}
        grouped: dict[str, dict[tuple[str, str], list[str]]] = {}
        for host in hosts:
            if host.kind is membership.Kind.ENTRY:
                daemons[host.address] = host
                continue
            by_zone = grouped.setdefault(host.service, {})
            zone = (host.region, host.zone)
            by_zone.setdefault(zone, []).append(host.address)
        self._members = {
            service: {
                zone: self._reuse(service, zone, tuple(sorted(members)))
                for zone, members in by_zone.items()
            }
            for service, by_zone in grouped.items()
        }
        for address in self._daemons.keys() - daemons.keys():
            self._forget(address)
        self._daemons = daemons
        self._subsets = {}

    def get_endpoints(self, daemon: str) -> frozenset[str]:
        """Returns the addresses of the endpoints in a daemon's subset.

        Args:
            daemon: The address of a daemon. The subset of one that is not
                listed, such as one that just started, is empty.
        """
        if daemon not in self._daemons:
            return frozenset()
        if daemon not in self._subsets:
            self._subsets[daemon] = frozenset(
                endpoint
                for by_zone in self._members.values()
                for endpoint in self._choose(self._daemons[daemon], by_zone)
            )
        return self._subsets[daemon]

    def find_peers(self, daemon: str) -> dict[str, frozenset[str]]:
        """Returns the daemons that share an endpoint with one daemon.

        Args:
            daemon: The address of a daemon.

        Returns:
            The shared endpoints by the other daemon's address.
        """
        own = self.get_endpoints(daemon)
        shared = {
            other: own & self.get_endpoints(other)
            for other in self._daemons
            if other != daemon
        }
        return {other: ties for other, ties in shared.items() if ties}

    def _choose(
        self,
        daemon: membership.Host,
        by_zone: dict[tuple[str, str], _ZoneMembers],
    ) -> list[str]:
        limit = OWN_ZONE_ENDPOINTS + OTHER_ZONE_ENDPOINTS
        if sum(len(b.members) for b in by_zone.values()) <= limit:
            return [a for b in by_zone.values() for a in b.members]
        own = (daemon.region, daemon.zone)
        chosen: list[str] = []
        for zone in order_zones(own, by_zone):
            if zone not in by_zone:
                continue
            count = limit - len(chosen)
            if zone == own:
                count = OWN_ZONE_ENDPOINTS
            chosen.extend(by_zone[zone].choose(daemon.address, count))
            if len(chosen) >= limit:
                break
        return chosen

    def _reuse(
        self, service: str, zone: tuple[str, str], members: tuple[str, ...]
    ) -> _ZoneMembers:
        old = self._members.get(service, {}).get(zone)
        if old is not None and old.members == members:
            return old
        return _ZoneMembers(members=members)

    def _forget(self, daemon: str) -> None:
        for by_zone in self._members.values():
            for zone_members in by_zone.values():
                zone_members.choices.pop(daemon, None)


def choose_candidates(
    group: str,
    own: tuple[str, str],
    daemons: Iterable[membership.Host],
    *,
    count: int = CANDIDATES,
) -> tuple[str, ...]:
    """Returns the daemons that may acquire the lease of a group of engines.

    All but one come from the group's zone, from which orders have the lowest
    latency. The last comes from the next zone, so that the loss of every entry
    host in a zone does not leave its engines without a lease holder.

    Args:
        group: The name of the group.
        own: The region and zone of the group's engines.
        daemons: The listed daemons. Leaving ones are skipped, since they
            would give the lease up within minutes.
        count: The maximum number of daemons to return.
    """
    by_zone: dict[tuple[str, str], list[str]] = {}
    for daemon in membership.select_live(daemons):
        zone = (daemon.region, daemon.zone)
        by_zone.setdefault(zone, []).append(daemon.address)
    chosen: list[str] = []
    for zone in order_zones(own, by_zone):
        wanted = count - len(chosen)
        if zone == own and len(by_zone) > 1:
            wanted = max(1, count - 1)
        chosen.extend(rank(group, by_zone.get(zone, ()), wanted))
    return tuple(chosen[:count])
