"""Shares among gateways what each sees of engines' caches."""

from bulrushgrade import directory as directory_module
from bulrushgrade import engineload
from bulrushgrade import engineplan
from bulrushgrade_daemon import choosing
from bulrushgrade_daemon import loadgossip


class CacheSharing:
    """Takes changes of caches from engines and from peers."""

    def __init__(
        self,
        *,
        endpoints: directory_module.Directory,
        chooser: choosing.Chooser,
    ):
        """Makes sharing that tells nobody yet.

        Args:
            endpoints: The endpoints that are known.
            chooser: Learns what engines keep.
        """
        self._endpoints = endpoints
        self._chooser = chooser
        self._gossip: loadgossip.LoadGossip | None = None
        # Parts that peers were told to be kept, by engine.
        self._told: dict[tuple[str, int], set[str]] = {}

    def tell_by(self, gossip: loadgossip.LoadGossip) -> None:
        """Sets what peers are told by; it needs `take_told` when it is made."""
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
        self._told = {
            engine.incarnation: self._told.get(engine.incarnation, set())
            for engine in found
        }
        return found

    def take_seen(
        self,
        engine: directory_module.Registration,
        changes: tuple[engineload.CacheChange, ...],
        *,
        anew: bool,
    ) -> None:
        """Takes what this daemon saw of an engine and tells it to peers."""
        news = [c for c in changes if self._is_news(engine, c)]
        self._gossip.tell_changes(engine.id, tuple(news))
        # What this daemon had read itself may go without having been told of.
        gone = [c for c in changes if c.tokens == 0 and c not in news]
        self._chooser.apply_cache(engine, (*gone, *news), anew=anew)

    def _is_news(
        self,
        engine: directory_module.Registration,
        change: engineload.CacheChange,
    ) -> bool:
        """Returns whether peers don't know of a change; notes that they do.

        Short parts are read faster than fetched, so nobody asks for them.
        Most of what engines drop are such parts.
        """
        told = self._told.setdefault(engine.incarnation, set())
        if change.tokens >= engineplan.FETCH_TOKENS:
            told.add(change.part)
            return True
        if change.part in told:
            told.discard(change.part)
            return True
        return False

    def take_told(
        self, engine: str, changes: tuple[engineload.CacheChange, ...]
    ) -> None:
        """Takes what a peer saw of an engine."""
        known = self._endpoints.find(engine)
        if known is not None:
            self._chooser.apply_cache(known, changes, anew=False)
