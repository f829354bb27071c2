"""Passes changes of engines' caches on between groups of daemons."""

from collections.abc import Callable
from collections.abc import Iterable

from bulrushgrade import enginecache
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import loadcodec
from bulrushgrade_daemon import pendingchanges

ApplyChanges = Callable[[str, tuple[enginecache.CacheChange, ...]], None]
"""Takes an engine's id and what changed in its cache."""


class ChangeRelay:
    """Changes to send, and those that peers have sent."""

    def __init__(self, *, apply: ApplyChanges):
        """Makes a state without changes.

        Args:
            apply: Takes what a peer saw of an engine's cache.
        """
        self._apply = apply
        self._followed: set[str] = set()
        self._for_groups = pendingchanges.PendingChanges()
        self._for_members = pendingchanges.PendingChanges()

    def set_followed(self, engines: Iterable[str]) -> None:
        """Sets the engines that this daemon follows itself."""
        self._followed = set(engines)

    def advertise(
        self, engine: str, changes: tuple[enginecache.CacheChange, ...]
    ) -> None:
        """Has what this daemon saw sent to everybody."""
        self._for_groups.add(engine, changes)
        self._for_members.add(engine, changes)

    def receive(
        self,
        kept: gatewaymessages.CacheChanges,
        *,
        to_groups: bool,
        to_members: bool,
    ) -> None:
        """Takes changes from a message, and passes them on.

        Args:
            kept: The changes.
            to_groups: Whether the other groups do not know of them.
            to_members: Whether this daemon's members do not know of them.
        """
        for engine, changes in loadcodec.decode_changes(kept):
            # What this daemon said itself comes back, and is older by then.
            if engine not in self._followed:
                self._apply(engine, changes)
            # The sender repeats them; each copy is passed on once.
            if to_groups:
                self._for_groups.add(engine, changes, send_count=1)
            if to_members:
                self._for_members.add(engine, changes, send_count=1)

    def pop_for_groups(self) -> gatewaymessages.CacheChanges:
        """Returns changes for the other groups, or for who adds up."""
        return self._for_groups.next_batch()

    def pop_for_members(self) -> gatewaymessages.CacheChanges:
        """Returns changes for this daemon's members."""
        return self._for_members.next_batch()

    def drop_for_members(self) -> None:
        """Drops the changes for members, where there are none."""
        self._for_members.clear()
