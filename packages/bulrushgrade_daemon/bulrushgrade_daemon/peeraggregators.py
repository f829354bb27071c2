"""Who adds up for the other groups of daemons."""

from bulrushgrade import fleetmembers
from bulrushgrade_daemon import fleetview


class PeerAggregators:
    """The daemons that were heard to add up, and where others may be."""

    def __init__(self, *, own_name: str, fleet: fleetview.FleetView):
        """Makes a state in which none was heard.

        Args:
            own_name: This daemon's name among its peers.
            fleet: Which daemons are there.
        """
        self._own_host = fleetmembers.host_of(own_name)
        self._fleet = fleet
        self._last_heard_at: dict[str, float] = {}

    @property
    def names(self) -> set[str]:
        """The daemons that add up for the other groups."""
        return set(self._last_heard_at)

    def observe(self, name: str, now: float) -> None:
        """Notes that a daemon adds up."""
        self._last_heard_at[name] = now

    def drop(self, name: str) -> None:
        """Forgets a daemon that is known to be gone."""
        self._last_heard_at.pop(name, None)

    def forget(self, now: float, silent_s: float) -> None:
        """Drops daemons that were silent for so long."""
        self._last_heard_at = {
            name: at
            for name, at in self._last_heard_at.items()
            if now - at < silent_s
        }

    def find_hosts(self, turn: int) -> list[str]:
        """Returns the hosts that a group's sum is sent to.

        Of a zone that nobody was heard from, and of the own one, the one that
        should add up. It passes the message on if another one does.

        Args:
            turn: Grows from each time to the next; hosts that may be gone
                take turns.
        """
        hosts = {fleetmembers.host_of(name) for name in self._last_heard_at}
        hosts.add(self._fleet.rank_aggregators(self._fleet.own_zone)[0])
        # One that was cut off may be back and add up for itself, unheard.
        hosts |= _pick_by_turn(self._fleet.unheard_in_zone(), turn)
        for zone in self._fleet.other_zones(hosts):
            hosts |= _pick_by_turn(self._fleet.rank_aggregators(zone), turn)
        return sorted(hosts - {self._own_host})


def _pick_by_turn(hosts: list[str], turn: int) -> set[str]:
    return {hosts[turn % len(hosts)]} if hosts else set()
