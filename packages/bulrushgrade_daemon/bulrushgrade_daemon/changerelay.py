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

    def __init__(self, *, take: ApplyChanges):
        """Makes a state without changes.

        Args:
            take: Takes what a peer saw of an engine's cache.
        """
        self._take = take
        self._followed: set[str] = set()
        self._outward = pendingchanges.PendingChanges()
        self._inward = pendingchanges.PendingChanges()

    def follow(self, engines: Iterable[str]) -> None:
        """Sets the engines that this daemon follows itself."""
        self._followed = set(engines)

    def advertise(
        self, engine: str, changes: tuple[enginecache.CacheChange, ...]
    ) -> None:
        """Has what this daemon saw sent to everybody."""
        self._outward.add(engine, changes)
        self._inward.add(engine, changes)

    def receive(
        self, kept: gatewaymessages.CacheChanges, *, outward: bool, inward: bool
    ) -> None:
        """Takes changes from a message, and passes them on.

        Args:
            kept: The changes.
            outward: Whether the other groups do not know of them.
            inward: Whether this daemon's members do not know of them.
        """
        for engine, changes in loadcodec.decode_changes(kept):
            # What this daemon said itself comes back, and is older by then.
            if engine not in self._followed:
                self._take(engine, changes)
            # The sender repeats them; each copy is passed on once.
            if outward:
                self._outward.add(engine, changes, times=1)
            if inward:
                self._inward.add(engine, changes, times=1)

    def take_outward(self) -> gatewaymessages.CacheChanges:
        """Returns changes for the other groups, or for who adds up."""
        return self._outward.take()

    def take_inward(self) -> gatewaymessages.CacheChanges:
        """Returns changes for this daemon's members."""
        return self._inward.take()

    def drop_inward(self) -> None:
        """Drops the changes for members, where there are none."""
        self._inward.clear()
