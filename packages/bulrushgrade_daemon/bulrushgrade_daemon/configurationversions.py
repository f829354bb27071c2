"""The versions of the configuration that peers have in force.

A host that starts after the store has returned from an older copy reads an
older configuration than its peers have in force: without routes that exist,
and with keys that are not valid any more. So each load message states the
version in force, and a host that has not been ready yet waits until its own
version is as new, or until the peers that told of a newer one are gone.
"""

from collections.abc import Callable
from typing import Any

from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import gatewaymessages

NONE = 0
"""Stated by a host without a configuration, and by builds that state none."""

HEARING_S = 4.0
"""Time in which a starting host hears of a peer's version. Peers read its
address with a pause of a second, after a whole read of the topic that may be
due a second later."""

_Stated = dict[str, tuple[int, float]]
"""Versions by the peer that stated them, with the time."""


class ConfigurationVersions:
    """Tracks peers' versions, and whether this host must wait for a newer."""

    def __init__(
        self,
        *,
        timers: Any,
        own: Callable[[], int],
        must_hear: Callable[[], bool],
        peer_ttl_s: float,
        log: decisionlog.DecisionLog,
    ):
        """Makes an instance without peers' versions.

        Args:
            timers: The timer service.
            own: Returns the version that this host has in force, or `NONE`.
            must_hear: Returns whether there are peers that state versions.
            peer_ttl_s: How long a peer's statement counts.
            log: Logs when this host begins and ceases to wait.
        """
        self._timers = timers
        self._own = own
        self._must_hear = must_hear
        self._peer_ttl_s = peer_ttl_s
        self._log = log
        # From members of this host's group, other groups and aggregators.
        self._members: _Stated = {}
        self._groups: _Stated = {}
        self._sums: _Stated = {}
        self._pruned_at = timers.now
        self._loaded_at: float | None = None
        self._logged = NONE
        self._is_released = False

    @property
    def own(self) -> int:
        """The version that this host has in force."""
        return self._own()

    @property
    def of_group(self) -> int:
        """The newest version in this host's group."""
        return max(self._own(), self._newest(self._members))

    @property
    def of_fleet(self) -> int:
        """The newest version in all groups, without what sums state.

        A sum that repeated those of others would keep a version alive for ever.
        """
        return max(self.of_group, self._newest(self._groups))

    @property
    def holds_back(self) -> bool:
        """Whether this host must not serve yet."""
        if not self._is_released:
            self._is_released = self._may_serve()
        return not self._is_released

    def observe(
        self,
        message: gatewaymessages.Load
        | gatewaymessages.GroupLoad
        | gatewaymessages.FleetLoad,
    ) -> None:
        """Takes in the version that a peer's load message states."""
        match message:
            case gatewaymessages.Load():
                stated = self._members
            case gatewaymessages.GroupLoad():
                stated = self._groups
            case gatewaymessages.FleetLoad():
                stated = self._sums
        now = self._timers.now
        if now - self._pruned_at > self._peer_ttl_s:
            # Hosts have a new name after each start.
            self._pruned_at = now
            for each in (self._members, self._groups, self._sums):
                self._newest(each)
        stated[message.peer] = (message.version, now)

    def _may_serve(self) -> bool:
        """Returns whether the own version is as new as that of peers."""
        now, own = self._timers.now, self._own()
        if own == NONE:
            return False
        if self._loaded_at is None:
            self._loaded_at = now
        newest = max(self.of_fleet, self._newest(self._sums))
        if newest > own:
            if self._logged != newest:
                self._logged = newest
                self._log.always(
                    "configuration_behind", version=own, newest=newest
                )
            return False
        has_heard = self._members or self._groups or self._sums
        is_hearing = not has_heard and now - self._loaded_at < HEARING_S
        if is_hearing and self._must_hear():
            return False
        if self._logged != NONE:
            self._log.always(
                "configuration_caught_up", version=own, newest=self._logged
            )
        return True

    def _newest(self, stated: _Stated) -> int:
        """Returns the newest version that counts, and drops what is old."""
        oldest = self._timers.now - self._peer_ttl_s
        for peer, (_, at) in list(stated.items()):
            if at < oldest:
                del stated[peer]
        return max((version for version, _ in stated.values()), default=NONE)
