"""Shares changes of engines' caches among gateways."""

from bulrushgrade import directory as directory_module
from bulrushgrade import enginecache
from bulrushgrade_daemon import enginework
from bulrushgrade_daemon import loadgossip


class CacheSharing:
    """Applies changes of caches that engines and peers report."""

    def __init__(
        self,
        *,
        endpoints: directory_module.Directory,
        work: enginework.EngineWork,
    ):
        """Creates the service without advertised parts.

        Args:
            endpoints: The known endpoints.
            work: Tracks the contents of engines' caches.
        """
        self._endpoints = endpoints
        self._work = work
        self._gossip: loadgossip.LoadGossip | None = None
        # Cached parts that peers know of, by engine.
        self._advertised: dict[tuple[str, int], set[str]] = {}

    def set_gossip(self, gossip: loadgossip.LoadGossip) -> None:
        """Sets the gossip, whose constructor needs `apply_advertised`."""
        self._gossip = gossip

    def followed_engines(self) -> list[directory_module.Registration]:
        """Returns the engines whose caches this daemon follows."""
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
        """Applies changes that this daemon observed and advertises them.

        A read may end after its engine has restarted under its id, without the
        cache that was read.
        """
        known = self._endpoints.find(engine.id)
        if known is not None and known.incarnation != engine.incarnation:
            return
        advertised = [c for c in changes if self._is_relevant(engine, c)]
        self._gossip.advertise_changes(engine.id, tuple(advertised))
        # The cache may have dropped parts of this daemon's own prompts that
        # peers were never told about.
        gone = [c for c in changes if c.tokens == 0 and c not in advertised]
        self._work.apply_cache(engine, (*gone, *advertised), reset=reset)

    def _is_relevant(
        self,
        engine: directory_module.Registration,
        change: enginecache.CacheChange,
    ) -> bool:
        """Returns whether a change is advertised; records the part if so.

        Short parts are prefilled faster than fetched, so peers don't need to
        know them. Most of the parts that engines drop are short.
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
        """Applies changes that a peer observed at an engine."""
        known = self._endpoints.find(engine)
        if known is not None:
            self._work.apply_cache(known, changes, reset=False)
