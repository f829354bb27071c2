"""Sums over all hosts of small vectors by key.

Each host measures a part of what it decides by: how fast an engine is, or how
much of a service a workspace uses. Every host advertises its own vectors,
aggregators sum those of a group and exchange the sums, and every host receives
the sums of all, as with the loads in `peerloads`. Entries are absolute values
that replace the sender's previous ones, key by key, so a message may carry any
part of the keys, and a lost one only makes some entries slightly older.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

Vector = tuple[float, ...]

Entries = Mapping[str, Vector]
"""Vectors by key."""

PRUNES_PER_TTL = 4.0
"""How often expired entries are removed within a table's time to live. Reads
ignore them anyway, so this only bounds the memory."""

_Entry = tuple[float, Vector]
"""Time of receipt and vector."""


class _Senders:
    """The latest entries of each sender."""

    def __init__(self):
        self._by_key: dict[str, dict[str, _Entry]] = {}
        self._heard_at: dict[str, float] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._heard_at

    def update(self, name: str, entries: Entries, now: float) -> None:
        self._heard_at[name] = now
        for key, vector in entries.items():
            self._by_key.setdefault(key, {})[name] = (now, vector)

    def fresh(self, key: str, oldest_at: float) -> list[Vector]:
        entries = self._by_key.get(key)
        if entries is None:
            return []
        return [vector for at, vector in entries.values() if at > oldest_at]

    def keys(self, oldest_at: float) -> set[str]:
        return {
            key
            for key, entries in self._by_key.items()
            if any(at > oldest_at for at, _ in entries.values())
        }

    def drop(self, name: str) -> None:
        if self._heard_at.pop(name, None) is None:
            return
        for key, entries in list(self._by_key.items()):
            if entries.pop(name, None) is not None and not entries:
                del self._by_key[key]

    def drop_silent(self, heard_after: float) -> None:
        for name, at in list(self._heard_at.items()):
            if at <= heard_after:
                self.drop(name)

    def prune(self, oldest_at: float) -> None:
        for key, entries in list(self._by_key.items()):
            kept = {
                n: entry for n, entry in entries.items() if entry[0] > oldest_at
            }
            if kept:
                self._by_key[key] = kept
            else:
                del self._by_key[key]


class SumTable:
    """The latest vectors of peers by sender and key."""

    def __init__(self, *, ttl_s: float, width: int):
        """Creates an empty table.

        Args:
            ttl_s: Seconds after its receipt for which an entry is used.
            width: Number of values of a vector.
        """
        self._ttl_s = ttl_s
        self._zero = (0.0,) * width
        self._members = _Senders()
        self._groups = _Senders()
        self._fleet: dict[str, _Entry] = {}
        self._pruned_at = -math.inf

    @property
    def width(self) -> int:
        """Number of values of a vector."""
        return len(self._zero)

    def update_member(self, name: str, entries: Entries, now: float) -> None:
        """Replaces vectors of a member of this host's group.

        Args:
            name: The sender; a restarted host has a new name.
            entries: Some of its vectors; the others remain as they are.
            now: The present time in seconds.
        """
        # The member may have been a group of its own before. Counting it twice
        # would give its samples twice the weight.
        self._groups.drop(name)
        self._members.update(name, self._valid(entries), now)

    def update_group(self, name: str, entries: Entries, now: float) -> None:
        """Replaces vectors of another group; see `update_member`."""
        self._members.drop(name)
        self._groups.update(name, self._valid(entries), now)

    def update_fleet(self, entries: Entries, now: float) -> None:
        """Replaces sums of all hosts, which include this one's vectors."""
        for key, vector in self._valid(entries).items():
            self._fleet[key] = (now, vector)

    def group_sum(self, key: str, own: Vector | None, now: float) -> Vector:
        """Returns the sum of this host's and its group members' vectors.

        Args:
            key: The key.
            own: This host's vector, None for zeros.
            now: The present time in seconds.
        """
        return self._add(own, self._members.fresh(key, now - self._ttl_s))

    def total(self, key: str, own: Vector | None, now: float) -> Vector:
        """Returns the sum of all hosts' vectors; see `group_sum`."""
        oldest_at = now - self._ttl_s
        fleet = self._fleet.get(key)
        if fleet is not None and fleet[0] > oldest_at:
            return fleet[1]
        members = self._members.fresh(key, oldest_at)
        return self._add(own, members + self._groups.fresh(key, oldest_at))

    def group_keys(self, now: float) -> set[str]:
        """Returns the keys of which a member of the group has a vector."""
        return self._members.keys(now - self._ttl_s)

    def keys(self, now: float) -> set[str]:
        """Returns the keys of which any peer has a vector."""
        oldest_at = now - self._ttl_s
        fleet = {key for key, (at, _) in self._fleet.items() if at > oldest_at}
        members = self._members.keys(oldest_at)
        return fleet | members | self._groups.keys(oldest_at)

    def has_fleet(self, now: float) -> bool:
        """Returns whether sums of all hosts came from an aggregator."""
        oldest_at = now - self._ttl_s
        return any(at > oldest_at for at, _ in self._fleet.values())

    def clear_fleet(self) -> None:
        """Drops the sums of all hosts, when this host begins to make them."""
        self._fleet.clear()

    def drop(self, name: str) -> None:
        """Drops the vectors of a peer that is known to be gone."""
        self._members.drop(name)
        self._groups.drop(name)

    def expire(self, now: float, *, silent_s: float) -> None:
        """Drops entries that are too old, and all of silent senders.

        Args:
            now: The present time in seconds.
            silent_s: Seconds without a message after which a sender counts as
                gone. Its members may be in another group by then.
        """
        self._members.drop_silent(now - silent_s)
        self._groups.drop_silent(now - silent_s)
        if now - self._pruned_at < self._ttl_s / PRUNES_PER_TTL:
            return
        self._pruned_at = now
        oldest_at = now - self._ttl_s
        self._members.prune(oldest_at)
        self._groups.prune(oldest_at)
        self._fleet = {
            key: entry
            for key, entry in self._fleet.items()
            if entry[0] > oldest_at
        }

    def _valid(self, entries: Entries) -> dict[str, Vector]:
        """Returns the entries whose vectors have the table's width."""
        return {
            key: vector
            for key, vector in entries.items()
            if len(vector) == len(self._zero)
        }

    def _add(self, own: Vector | None, others: Iterable[Vector]) -> Vector:
        return tuple(map(sum, zip(own or self._zero, *others, strict=True)))
