"""Forwards changes of engines' caches between groups of daemons."""

from collections.abc import Callable
from collections.abc import Iterable

from bulrushgrade import enginecache
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import loadcodec
from bulrushgrade_daemon import pendingchanges

ApplyChanges = Callable[[str, tuple[enginecache.CacheChange, ...]], None]
"""Applies changes to the cache of the engine with the given id."""


class ChangeRelay:
    """Queues own cache changes and forwards those of peers."""

    def __init__(self, *, apply: ApplyChanges):
        """Makes an instance without changes.

        Args:
            apply: Applies cache changes that a peer observed at an engine.
        """
        self._apply = apply
        self._followed: set[str] = set()
        self._for_groups = pendingchanges.PendingChanges()
        self._for_members = pendingchanges.PendingChanges()

    def set_followed(self, engines: Iterable[str]) -> None:
        """Sets the engines whose caches this daemon follows itself."""
        self._followed = set(engines)

    def advertise(
        self, engine: str, changes: tuple[enginecache.CacheChange, ...]
    ) -> None:
        """Queues changes that this daemon observed for all peers."""
        self._for_groups.add(engine, changes)
        self._for_members.add(engine, changes)

    def receive(
        self,
        kept: gatewaymessages.CacheChanges,
        *,
        to_groups: bool,
        to_members: bool,
    ) -> None:
        """Applies the changes of a message and forwards them.

        Args:
            kept: The changes.
            to_groups: Whether to forward them to the other groups.
            to_members: Whether to forward them to this daemon's members.
        """
        for engine, changes in loadcodec.decode_changes(kept):
            # This daemon's own changes come back to it and are outdated.
            if engine not in self._followed:
                self._apply(engine, changes)
            # The sender repeats them; each copy is forwarded once.
            if to_groups:
                self._for_groups.add(engine, changes, send_count=1)
            if to_members:
                self._for_members.add(engine, changes, send_count=1)

    def pop_for_groups(self) -> gatewaymessages.CacheChanges:
        """Returns the next changes for other groups or the aggregator."""
        return self._for_groups.next_batch()

    def pop_for_members(self) -> gatewaymessages.CacheChanges:
        """Returns the next changes for this daemon's members."""
        return self._for_members.next_batch()

    def drop_for_members(self) -> None:
        """Drops the changes for members; called if there are no members."""
        self._for_members.clear()
