"""Tracks the aggregators of the other groups of daemons."""

from bulrushgrade import fleetmembers
from bulrushgrade_daemon import fleetview


class PeerAggregators:
    """Aggregators that were heard from, and hosts that may be others."""

    def __init__(self, *, own_name: str, fleet: fleetview.FleetView):
        """Makes an instance without aggregators.

        Args:
            own_name: This daemon's name among its peers.
            fleet: The daemons that are present.
        """
        self._own_host = fleetmembers.host_of(own_name)
        self._fleet = fleet
        self._last_heard_at: dict[str, float] = {}

    @property
    def names(self) -> set[str]:
        """The aggregators of the other groups."""
        return set(self._last_heard_at)

    def observe(self, name: str, now: float) -> None:
        """Records that a daemon is an aggregator."""
        self._last_heard_at[name] = now

    def drop(self, name: str) -> None:
        """Drops a daemon that is known to be gone."""
        self._last_heard_at.pop(name, None)

    def forget(self, now: float, silent_s: float) -> None:
        """Drops daemons that have been silent for `silent_s`."""
        self._last_heard_at = {
            name: at
            for name, at in self._last_heard_at.items()
            if now - at < silent_s
        }

    def find_hosts(self, turn: int) -> list[str]:
        """Returns the hosts that a group's sum is sent to.

        These are the known aggregators and, for the own zone and each zone
        without a known one, the host that is expected to be the aggregator.
        If that host has another aggregator it forwards the message.

        Args:
            turn: Increases with each call. Hosts that may be gone are tried
                in turn.
        """
        hosts = {fleetmembers.host_of(name) for name in self._last_heard_at}
        hosts.add(self._fleet.rank_aggregators(self._fleet.own_zone)[0])
        # A host that was partitioned may be back, alone in a group of its own.
        hosts |= _pick_by_turn(self._fleet.unheard_in_zone(), turn)
        for zone in self._fleet.other_zones(hosts):
            hosts |= _pick_by_turn(self._fleet.rank_aggregators(zone), turn)
        return sorted(hosts - {self._own_host})


def _pick_by_turn(hosts: list[str], turn: int) -> set[str]:
    return {hosts[turn % len(hosts)]} if hosts else set()
