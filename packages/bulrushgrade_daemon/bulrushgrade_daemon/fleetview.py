"""Which daemons are there, in which zones, and which are hash owners."""

from collections.abc import Callable
from collections.abc import Iterable

from bulrushgrade import fleetmembers
from bulrushgrade import rendezvous

OWNER_COUNT = 2
"""Hosts that own the same key. With one, each host that did not hear it had a
queue of its own where links are bad, and prompts waited behind others that
were in another queue."""

AGGREGATOR_KEY = "loads"


class FleetView:
    """Daemons by name, and their hosts by zone."""

    def __init__(
        self,
        *,
        own_name: str,
        hosts: Callable[[], list[str]],
        zone_of: Callable[[str], str | None],
        can_order: Callable[[], bool] = lambda: True,
    ):
        """Makes a view in which nobody else is there.

        Args:
            own_name: This daemon's name among its peers.
            hosts: Returns the other hosts that have announced themselves.
            zone_of: Returns a host's availability zone, None if not known.
            can_order: Returns whether this daemon could order.
        """
        self._can_order = can_order
        self._own_name = own_name
        self._own_host = fleetmembers.host_of(own_name)
        self._hosts = hosts
        self._zone_of = zone_of
        self._members = fleetmembers.FleetMembers(own_name=own_name)
        self._present = [own_name]
        self._owners: dict[str, list[str]] = {}

    @property
    def own_zone(self) -> str | None:
        """The availability zone of this host."""
        return self._zone_of(self._own_host)

    @property
    def members(self) -> fleetmembers.FleetMembers:
        """Who was heard and listed; `refresh` is due after a change."""
        return self._members

    @property
    def present(self) -> list[str]:
        """The daemons that are there, this one first, others sorted."""
        return self._present

    def refresh(self) -> None:
        """Takes in what has changed among those that were heard."""
        present = [self._own_name, *self._members.present()]
        if present != self._present:
            self._present = present
            self._owners.clear()

    def is_leader_if_able(self) -> bool:
        """Returns whether no other daemon that could order is before it."""
        unable = self._members.unable_to_order()
        able = (name for name in self._present[1:] if name not in unable)
        return all(self._own_name < name for name in able)

    def find_leader(self) -> str:
        """Returns the first by name of the daemons that could order.

        This one where no other could.
        """
        unable = self._members.unable_to_order()
        others = [name for name in self._present[1:] if name not in unable]
        if self._can_order():
            others.append(self._own_name)
        return min(others, default=self._own_name)

    def find_owners(self, key: str) -> list[str]:
        """Returns the hash owners of an engine's queue or a part.

        All hosts that hear of the same peers find the same ones. The first is
        queried; a host that does not know of it queries the next, which
        others report the same to.
        """
        owners = self._owners.get(key)
        if owners is None:
            owners = rendezvous.pick(key, self._present, OWNER_COUNT)
            self._owners[key] = owners
        return owners

    def rank_zone(self, key: str) -> list[str]:
        """Returns the daemons of this zone by rendezvous hashing for a key.

        Those that hear of each other find the same order, this one included.
        """
        zone = self.own_zone
        names = [
            name
            for name in self._present
            if self._zone_of(fleetmembers.host_of(name)) == zone
        ]
        return rendezvous.rank(key, names)

    def rank_aggregators(self, zone: str | None) -> list[str]:
        """Returns the hosts of a zone in the order in which they add up.

        Those that are there; where nobody is known to be, as after a start,
        all that have announced themselves.
        """
        found = self._in_zone(self._present_hosts(), zone)
        if not [host for host in found if host != self._own_host]:
            found = self._in_zone([*self._hosts(), self._own_host], zone)
        return rendezvous.rank(AGGREGATOR_KEY, found)

    def unheard_in_zone(self) -> list[str]:
        """Returns hosts of this zone that announced themselves, unheard."""
        announced = set(self._in_zone(self._hosts(), self.own_zone))
        return sorted(announced - set(self._present_hosts()))

    def other_zones(self, heard: Iterable[str]) -> set[str | None]:
        """Returns the zones that have none of the hosts given.

        Args:
            heard: Hosts; this one's zone is left out too.
        """
        zones = {self._zone_of(host) for host in self._hosts()}
        known = {self._zone_of(host) for host in heard}
        return zones - known - {self.own_zone}

    def count_receivers(self) -> int:
        """Returns the other hosts of this zone, and all zones, together."""
        zones = [self._zone_of(host) for host in self._hosts()]
        return zones.count(self.own_zone) + len(set(zones))

    def _present_hosts(self) -> list[str]:
        return [fleetmembers.host_of(name) for name in self._present]

    def _in_zone(self, hosts: list[str], zone: str | None) -> list[str]:
        return [host for host in hosts if self._zone_of(host) == zone]
