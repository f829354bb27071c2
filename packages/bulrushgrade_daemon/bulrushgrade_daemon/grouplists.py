"""Lists of who is there, as those that add up send and pass them on."""

from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import Any

from bulrushgrade import fleetmembers
from bulrushgrade_daemon import gatewaymessages

MIN_PERIOD_S = 2.0
"""Between two lists at least, where nothing changes. They only make up for
lists that got lost."""

MAX_NAMES = 40
"""In a list, so that it travels in one piece. More come in further parts."""


class GroupLists:
    """The own group's list, and those of the others to pass on."""

    def __init__(
        self,
        *,
        timers: Any,
        own_name: str,
        members: fleetmembers.FleetMembers,
        send_datagram: Callable[[Iterable[str], bytes], bool],
        max_lists_per_s: float,
    ):
        """Makes a state without lists.

        Args:
            timers: The timer service.
            own_name: This daemon's name among its peers.
            members: Takes what lists say.
            send_datagram: Sends a datagram to hosts.
            max_lists_per_s: Lists that may be sent a second where nothing
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
        """Takes a list of another group.

        Args:
            message: The list.
            pass_to: This daemon's members.
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
        """Sends who is in this group, where that is news or after a while.

        Args:
            names: The members, this daemon included.
            unable: Who could not order engines about, of any group.
            number: Grows from each list to the next.
            hosts: Who gets it.
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
        """Takes the lists back of those that add up for nobody any more.

        Their members are on the list of another one by then, or gone too.

        Args:
            active: Those that add up.
            pass_to: This daemon's members.
        """
        pass_to = list(pass_to)
        for (by, part), number in self._members.list_numbers().items():
            if by not in active:
                empty = gatewaymessages.GroupMembers(
                    peer=by, part=part, number=number + 1, names=[], unable=[]
                )
                self.handle_list(empty, pass_to)

    def drop_expired(self) -> None:
        """Drops what the members were told so long ago that it is gone."""
        listed = self._members.list_numbers()
        self._others = {k: v for k, v in self._others.items() if k in listed}

    def _period_s(self, receivers: int) -> float:
        lists = len(self._others) + 1
        return max(MIN_PERIOD_S, lists * receivers / self._max_lists_per_s)
