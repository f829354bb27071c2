"""The part of a limit that a host may grant when hosts are out of contact.

Hosts that are cut off from each other but not from the endpoints each see only
their own side. If both sides granted a whole limit, the endpoint would get
twice as much. A host can't tell whether a silent host has ended or is cut off.
So for some time each side grants only the part of the limit that corresponds
to its number of hosts, and a side without the majority does so for long.
"""

from collections.abc import Iterable

DEPARTURE_S = 10.0
"""Time for which the part of a host that has fallen silent is left unused.
Most hosts that are killed or restarted are back by then."""

FORGET_S = 600.0
"""Time after which a silent host is taken for removed."""


class HostShare:
    """Tracks which hosts are present, and which may be cut off."""

    def __init__(self):
        self._present: frozenset[str] = frozenset()
        # When each host was last present, or was first known.
        self._seen_at: dict[str, float] = {}

    def update(
        self, present: Iterable[str], announced: Iterable[str], now: float
    ) -> None:
        """Updates the hosts.

        Args:
            present: The hosts that are present, this one included.
            announced: Hosts that have announced themselves, present or not.
            now: The current time.
        """
        self._present = frozenset(present)
        for host in announced:
            self._seen_at.setdefault(host, now)
        for host in self._present:
            self._seen_at[host] = now

    def fraction(
        self, now: float, voters: Iterable[str] | None = None
    ) -> float:
        """Returns the part of a limit that this side may grant, up to 1.

        Args:
            now: The current time.
            voters: The hosts that agree on who grants; None for all that are
                present. The others may get permits elsewhere.
        """
        granted_to = self._present
        if voters is not None:
            granted_to = granted_to.intersection(voters)
        count = len(granted_to)
        if not count:
            return 0.0
        expected = self._count_since(now - FORGET_S)
        if 2 * count > expected:
            return count / self._count_since(now - DEPARTURE_S)
        return count / expected

    def _count_since(self, at: float) -> int:
        recent = {
            host for host, seen_at in self._seen_at.items() if seen_at > at
        }
        return len(recent | self._present)
