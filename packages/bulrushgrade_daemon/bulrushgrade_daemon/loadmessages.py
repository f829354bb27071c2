"""Makes the messages in which daemons exchange their loads."""

from collections.abc import Callable

from bulrushgrade import peerloads
from bulrushgrade_daemon import changerelay
from bulrushgrade_daemon import configurationversions
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import loadcodec
from bulrushgrade_daemon import sumexchange


class LoadMessages:
    """Makes a daemon's load messages, each with pending cache changes."""

    def __init__(
        self,
        *,
        own_name: str,
        changes: changerelay.ChangeRelay,
        may_order: Callable[[], bool],
        is_cut: Callable[[], bool],
        next_limits: Callable[[], gatewaymessages.EndpointLimitNews],
        next_drains: Callable[[], list[gatewaymessages.DrainNews]],
        next_parts: Callable[[], gatewaymessages.PartNews | None],
        sums: sumexchange.SumExchange,
        versions: configurationversions.ConfigurationVersions,
    ):
        """Makes an instance.

        Args:
            own_name: This daemon's name among its peers.
            changes: Pending changes of engines' caches.
            may_order: Returns whether this daemon is able to order engines to
                change their roles.
            is_cut: Returns whether this daemon seems to be cut off from all
                endpoints.
            next_limits: Returns the limits of endpoints to send next.
            next_drains: Returns the leaving endpoints to send next.
            next_parts: Returns the news of prompt parts at crashes to send
                next, None if there are none.
            sums: Selects the sums to send next.
            versions: The versions of the configuration that are in force.
        """
        self._own_name = own_name
        self._changes = changes
        self._may_order = may_order
        self._is_cut = is_cut
        self._next_limits = next_limits
        self._next_drains = next_drains
        self._next_parts = next_parts
        self._sums = sums
        self._versions = versions

    def make_load(
        self, number: int, own: peerloads.Shares
    ) -> gatewaymessages.Load:
        """Returns this daemon's load, for its aggregator."""
        self._changes.drop_for_members()
        return gatewaymessages.Load(
            peer=self._own_name,
            number=number,
            engines=loadcodec.encode_shares(own),
            kept=self._changes.pop_for_groups(),
            may_order=self._may_order(),
            limits=self._next_limits(),
            leaving=self._next_drains(),
            version=self._versions.own,
            is_cut=self._is_cut(),
            parts=self._next_parts(),
            sums=self._sums.make_own(),
        )

    def make_group_load(
        self,
        number: int,
        group: peerloads.Shares,
        *,
        missing: list[str],
        digest: int,
    ) -> gatewaymessages.GroupLoad:
        """Returns a group's load, for the aggregators of other groups.

        Args:
            number: The message's number.
            group: The load.
            missing: Hosts that fell silent.
            digest: A digest of the names of the present daemons.
        """
        return gatewaymessages.GroupLoad(
            peer=self._own_name,
            number=number,
            engines=loadcodec.encode_shares(group),
            kept=self._changes.pop_for_groups(),
            may_order=self._may_order(),
            limits=self._next_limits(),
            leaving=self._next_drains(),
            missing=missing,
            version=self._versions.of_group,
            is_cut=self._is_cut(),
            parts=self._next_parts(),
            sums=self._sums.make_group(),
            digest=digest,
        )

    def make_fleet_load(
        self, number: int, fleet: peerloads.Shares
    ) -> gatewaymessages.FleetLoad:
        """Returns the fleet's load, for members.

        The caller sets `your_number` for each member.
        """
        return gatewaymessages.FleetLoad(
            peer=self._own_name,
            number=number,
            your_number=0,
            engines=loadcodec.encode_shares(fleet),
            kept=self._changes.pop_for_members(),
            limits=self._next_limits(),
            leaving=self._next_drains(),
            version=self._versions.of_fleet,
            parts=self._next_parts(),
            sums=self._sums.make_fleet(),
        )
