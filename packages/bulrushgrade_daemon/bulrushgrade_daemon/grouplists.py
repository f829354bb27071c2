"""Sends and forwards the member lists of groups between aggregators."""

from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import Any

from bulrushgrade import fleetmembers
from bulrushgrade_daemon import gatewaymessages

MIN_PERIOD_S = 2.0
"""Least interval between two lists while nothing changes. These only replace
lists that were lost."""

MAX_NAMES = 40
"""Limit of names in a message, so that it is not fragmented. Longer lists are
split into parts."""


class GroupLists:
    """The member list of the own group and those of the other groups."""

    def __init__(
        self,
        *,
        timers: Any,
        own_name: str,
        members: fleetmembers.FleetMembers,
        send_datagram: Callable[[Iterable[str], bytes], bool],
        max_lists_per_s: float,
    ):
        """Makes an instance without lists.

        Args:
            timers: The timer service.
            own_name: This daemon's name among its peers.
            members: Updated with the names of lists.
            send_datagram: Sends a datagram to hosts.
            max_lists_per_s: Limit of lists sent per second while nothing
                changes.
        """
        self._timers = timers
        self._own_name = own_name
        self._members = members
        self._send_datagram = send_datagram
        self._max_lists_per_s = max_lists_per_s
        self._others: dict[tuple[str, int], bytes] = {}
        self._sent: tuple[list[str], list[str]] = ([], [])
        self._sent_at = -math.inf

    def handle_list(
        self,
        message: gatewaymessages.GroupMembers,
        pass_to: Iterable[str],
    ) -> None:
        """Applies and forwards a list of another group.

        Args:
            message: The list.
            pass_to: This daemon's members, which get it too.
        """
        self._members.update_list(
            message.peer,
            message.part,
            message.number,
            message.names,
            message.unable,
            self._timers.now,
        )
        datagram = gatewaymessages.serialize(message)
        self._others[message.peer, message.part] = datagram
        self._send_datagram(
            [fleetmembers.host_of(name) for name in pass_to], datagram
        )

    def send_others(self, name: str) -> None:
        """Sends the lists of the other groups to a new member."""
        for datagram in self._others.values():
            self._send_datagram([fleetmembers.host_of(name)], datagram)

    def send_own(
        self,
        names: Iterable[str],
        unable: set[str],
        *,
        number: int,
        hosts: Iterable[str],
    ) -> None:
        """Sends the list of this group if it has changed or is due again.

        Args:
            names: The members, this daemon included.
            unable: Daemons of any group that are unable to order engines to
                change their roles.
            number: Increases from each list to the next.
            hosts: The receivers.
        """
        now, hosts = self._timers.now, list(hosts)
        names = sorted(names)
        listed = (names, [name for name in names if name in unable])
        is_overdue = now - self._sent_at >= self._period_s(len(hosts))
        if listed == self._sent and not is_overdue:
            return
        self._sent, self._sent_at = listed, now
        for part, begin in enumerate(range(0, len(names), MAX_NAMES)):
            part_names = names[begin : begin + MAX_NAMES]
            message = gatewaymessages.GroupMembers(
                peer=self._own_name,
                part=part,
                number=number,
                names=part_names,
                unable=[name for name in part_names if name in unable],
            )
            self._send_datagram(hosts, gatewaymessages.serialize(message))

    def withdraw(self, active: set[str], pass_to: Iterable[str]) -> None:
        """Withdraws the lists of daemons that are no longer aggregators.

        By then their members are on another aggregator's list or gone.

        Args:
            active: The present aggregators.
            pass_to: This daemon's members, which get the empty lists too.
        """
        pass_to = list(pass_to)
        for (by, part), number in self._members.list_numbers().items():
            if by not in active:
                empty = gatewaymessages.GroupMembers(
                    peer=by, part=part, number=number + 1, names=[], unable=[]
                )
                self.handle_list(empty, pass_to)

    def drop_expired(self) -> None:
        """Drops the lists of other groups that have expired."""
        listed = self._members.list_numbers()
        self._others = {k: v for k, v in self._others.items() if k in listed}

    def _period_s(self, receivers: int) -> float:
        lists = len(self._others) + 1
        return max(MIN_PERIOD_S, lists * receivers / self._max_lists_per_s)
