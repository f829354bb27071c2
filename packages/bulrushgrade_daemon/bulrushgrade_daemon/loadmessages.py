"""Makes the messages in which daemons tell what they have at engines."""

from collections.abc import Callable

from bulrushgrade import peerloads
from bulrushgrade_daemon import changerelay
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import loadcodec


class LoadMessages:
    """Makes one daemon's messages, with the changes that are to go along."""

    def __init__(
        self,
        *,
        own_name: str,
        changes: changerelay.ChangeRelay,
        may_order: Callable[[], bool],
    ):
        """Makes a state without messages.

        Args:
            own_name: This daemon's name among its peers.
            changes: Changes of caches that are to be sent.
            may_order: Returns whether this daemon could order engines to
                change their roles.
        """
        self._own_name = own_name
        self._changes = changes
        self._may_order = may_order

    def make_load(
        self, number: int, own: peerloads.Shares
    ) -> gatewaymessages.Load:
        """Returns what this daemon has, for the one that adds up."""
        self._changes.drop_for_members()
        return gatewaymessages.Load(
            peer=self._own_name,
            number=number,
            engines=loadcodec.encode_shares(own),
            kept=self._changes.pop_for_groups(),
            may_order=self._may_order(),
        )

    def make_group_load(
        self, number: int, group: peerloads.Shares
    ) -> gatewaymessages.GroupLoad:
        """Returns what a group has, for those that add up for others."""
        return gatewaymessages.GroupLoad(
            peer=self._own_name,
            number=number,
            engines=loadcodec.encode_shares(group),
            kept=self._changes.pop_for_groups(),
            may_order=self._may_order(),
        )

    def make_fleet_load(
        self, number: int, fleet: peerloads.Shares
    ) -> gatewaymessages.FleetLoad:
        """Returns what all have, for members; `your_number` is theirs."""
        return gatewaymessages.FleetLoad(
            peer=self._own_name,
            number=number,
            your_number=0,
            engines=loadcodec.encode_shares(fleet),
            kept=self._changes.pop_for_members(),
        )
