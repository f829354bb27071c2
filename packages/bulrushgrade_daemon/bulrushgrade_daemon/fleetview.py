"""Tracks which daemons are present, their zones, and the owners of keys."""

from collections.abc import Callable
from collections.abc import Iterable

import xxhash

from bulrushgrade import fleetmembers
from bulrushgrade import rendezvous

OWNER_COUNT = 2
"""Owners of a key. With a single owner and lossy links, each host that missed
the owner's messages kept a queue of its own, and prompts waited behind prompts
that were in another queue."""

AGGREGATOR_KEY = "loads"
"""Key by which rendezvous hashing ranks the aggregators of a zone."""


class FleetView:
    """The present daemons by name, and their hosts by zone."""

    def __init__(
        self,
        *,
        own_name: str,
        hosts: Callable[[], list[str]],
        zone_of: Callable[[str], str | None],
        can_order: Callable[[], bool] = lambda: True,
    ):
        """Makes a view in which no other daemon is present.

        Args:
            own_name: This daemon's name among its peers.
            hosts: Returns the other hosts that have announced themselves.
            zone_of: Returns a host's availability zone, None if unknown.
            can_order: Returns whether this daemon is able to order engines to
                change their roles.
        """
        self._can_order = can_order
        self._own_name = own_name
        self._own_host = fleetmembers.host_of(own_name)
        self._hosts = hosts
        self._zone_of = zone_of
        self._members = fleetmembers.FleetMembers(own_name=own_name)
        self._present = [own_name]
        self._digest = _digest(self._present)
        self._owners: dict[str, list[str]] = {}

    @property
    def own_zone(self) -> str | None:
        """The availability zone of this host."""
        return self._zone_of(self._own_host)

    @property
    def members(self) -> fleetmembers.FleetMembers:
        """The daemons heard from or listed; call `refresh` after a change."""
        return self._members

    @property
    def present(self) -> list[str]:
        """The present daemons, this one first, the others sorted."""
        return self._present

    def in_contact(self) -> list[str]:
        """Returns the present daemons that hear this one, this one included.

        Where messages get lost in one direction only, a host hears peers that
        take it for gone.
        """
        return [name for name in self._present if self._is_heard_by(name)]

    def find_voters(self, key: str) -> list[str]:
        """Returns the daemons that take this one for the first owner of a key.

        Two hosts that don't hear each other may both hear a third one, and
        both take themselves for the owner. Each daemon has one first owner, so
        no daemon is a voter of both. One whose view is unknown isn't counted;
        one that reports no view, such as an aggregator's member, is taken to
        have the same view as this daemon.
        """
        if self.find_owners(key)[0] != self._own_name:
            return []
        return [name for name in self._present if self._votes(name, key)]

    @property
    def digest(self) -> int:
        """A digest of the names of the present daemons."""
        return self._digest

    def _is_heard_by(self, name: str) -> bool:
        view = self._members.view_of(name)
        return view is None or self._own_host not in view.missing

    def _votes(self, name: str, key: str) -> bool:
        """Returns whether a daemon takes this one for the owner of a key."""
        if not self._is_heard_by(name):
            return False
        view = self._members.view_of(name)
        if view is None or view.digest in (None, self._digest):
            return True
        # It may hear daemons that this one has lost, and the reverse.
        heard = [
            known
            for known in (*self._present, *self._members.silent())
            if fleetmembers.host_of(known) not in view.missing
        ]
        if view.digest != _digest(heard):
            return False
        return rendezvous.pick(key, heard, 1) == [self._own_name]

    def refresh(self) -> None:
        """Recomputes the present daemons from `members`."""
        present = [self._own_name, *self._members.present()]
        if present != self._present:
            self._present = present
            self._digest = _digest(present)
            self._owners.clear()

    def linked_peers(self) -> list[str]:
        """Returns the present peers that may have links to endpoints."""
        cut = self._members.cut()
        return [name for name in self._present[1:] if name not in cut]

    def is_leader_if_able(self) -> bool:
        """Returns whether this daemon leads if it is able to order.

        That is, whether no other daemon that is able to sorts before it.
        """
        unable = self._members.unable_to_order()
        able = (name for name in self._present[1:] if name not in unable)
        return all(self._own_name < name for name in able)

    def find_leader(self) -> str:
        """Returns the first by name of the daemons that are able to order.

        This daemon's name if none is able to.
        """
        unable = self._members.unable_to_order()
        others = [name for name in self._present[1:] if name not in unable]
        if self._can_order():
            others.append(self._own_name)
        return min(others, default=self._own_name)

    def find_owners(self, key: str) -> list[str]:
        """Returns the owners of an engine's queue or of a prompt part.

        Hosts with the same view find the same owners. The first one is
        queried; a host that does not see it queries the next one, which gets
        the same reports.
        """
        owners = self._owners.get(key)
        if owners is None:
            owners = rendezvous.pick(key, self._present, OWNER_COUNT)
            self._owners[key] = owners
        return owners

    def rank_zone(self, key: str) -> list[str]:
        """Returns this zone's daemons, ranked by rendezvous hashing of a key.

        This daemon is included. Daemons with the same view get the same
        order.
        """
        zone = self.own_zone
        names = [
            name
            for name in self._present
            if self._zone_of(fleetmembers.host_of(name)) == zone
        ]
        return rendezvous.rank(key, names)

    def rank_aggregators(self, zone: str | None) -> list[str]:
        """Returns the hosts of a zone in the order of choice as aggregator.

        These are the present hosts. If no other one is known to be present,
        as after a start, they are all hosts that have announced themselves.
        """
        found = self._in_zone(self._present_hosts(), zone)
        if not [host for host in found if host != self._own_host]:
            found = self._in_zone([*self._hosts(), self._own_host], zone)
        return rendezvous.rank(AGGREGATOR_KEY, found)

    def unheard_in_zone(self) -> list[str]:
        """Returns announced hosts of this zone that are not present."""
        announced = set(self._in_zone(self._hosts(), self.own_zone))
        return sorted(announced - set(self._present_hosts()))

    def other_zones(self, present_hosts: Iterable[str]) -> set[str | None]:
        """Returns the other zones that have none of the given hosts.

        Args:
            present_hosts: The present hosts, whose zones are left out.
        """
        zones = {self._zone_of(host) for host in self._hosts()}
        known = {self._zone_of(host) for host in present_hosts}
        return zones - known - {self.own_zone}

    def count_receivers(self) -> int:
        """Returns the number of other hosts in this zone plus that of zones."""
        zones = [self._zone_of(host) for host in self._hosts()]
        return zones.count(self.own_zone) + len(set(zones))

    def _present_hosts(self) -> list[str]:
        return [fleetmembers.host_of(name) for name in self._present]

    def _in_zone(self, hosts: list[str], zone: str | None) -> list[str]:
        return [host for host in hosts if self._zone_of(host) == zone]


def _digest(names: Iterable[str]) -> int:
    """Returns a number that is the same for the same names in any order."""
    return xxhash.xxh32_intdigest("\n".join(sorted(names)).encode())
