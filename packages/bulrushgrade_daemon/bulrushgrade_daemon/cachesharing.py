"""Shares among gateways what each sees of engines' caches."""

from bulrushgrade import directory as directory_module
from bulrushgrade import enginecache
from bulrushgrade_daemon import enginework
from bulrushgrade_daemon import loadgossip


class CacheSharing:
    """Takes changes of caches from engines and from peers."""

    def __init__(
        self,
        *,
        endpoints: directory_module.Directory,
        work: enginework.EngineWork,
    ):
        """Makes sharing that advertises nothing yet.

        Args:
            endpoints: The endpoints that are known.
            work: Learns what engines keep.
        """
        self._endpoints = endpoints
        self._work = work
        self._gossip: loadgossip.LoadGossip | None = None
        # Parts that peers know to be kept, by engine.
        self._advertised: dict[tuple[str, int], set[str]] = {}

    def set_gossip(self, gossip: loadgossip.LoadGossip) -> None:
        """Sets what advertises; it needs `apply_advertised` when it is made."""
        self._gossip = gossip

    def followed_engines(self) -> list[directory_module.Registration]:
        """Returns the engines that this daemon is the one to follow."""
        engines = {
            registration.id: registration
            for registration in self._endpoints.registrations
            if registration.stage is not None
        }
        followed = self._gossip.pick_followed(engines)
        found = [engines[id] for id in sorted(followed)]
        self._advertised = {
            engine.incarnation: self._advertised.get(engine.incarnation, set())
            for engine in found
        }
        return found

    def apply_observed(
        self,
        engine: directory_module.Registration,
        changes: tuple[enginecache.CacheChange, ...],
        *,
        reset: bool,
    ) -> None:
        """Takes what this daemon saw of an engine and advertises it."""
        advertised = [c for c in changes if self._is_relevant(engine, c)]
        self._gossip.advertise_changes(engine.id, tuple(advertised))
        # What this daemon had read itself may go without peers knowing of it.
        gone = [c for c in changes if c.tokens == 0 and c not in advertised]
        self._work.apply_cache(engine, (*gone, *advertised), reset=reset)

    def _is_relevant(
        self,
        engine: directory_module.Registration,
        change: enginecache.CacheChange,
    ) -> bool:
        """Returns whether peers need to learn of a change; notes that they do.

        Short parts are read faster than fetched, so nobody needs to know of
        them. Most of what engines drop are such parts.
        """
        advertised = self._advertised.setdefault(engine.incarnation, set())
        if self._work.is_long_part(engine, change.tokens):
            advertised.add(change.part)
            return True
        if change.part in advertised:
            advertised.discard(change.part)
            return True
        return False

    def apply_advertised(
        self, engine: str, changes: tuple[enginecache.CacheChange, ...]
    ) -> None:
        """Takes what a peer saw of an engine."""
        known = self._endpoints.find(engine)
        if known is not None:
            self._work.apply_cache(known, changes, reset=False)
