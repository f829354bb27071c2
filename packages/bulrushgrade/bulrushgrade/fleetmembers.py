"""Which daemons are there, as heard from them or from who heard them."""

from collections.abc import Iterable

import attrs


@attrs.frozen(kw_only=True)
class _MemberList:
    at: float
    number: int
    names: frozenset[str]
    unable: frozenset[str]


def host_of(name: str) -> str:
    """Returns the host of a daemon; its name differs after each start."""
    return name.rpartition("/")[0]


class FleetMembers:
    """Daemons that were heard within a time.

    A daemon hears some peers itself. Of the others it is told by the one that
    hears them, in lists that replace each other.
    """

    def __init__(self, *, own_name: str):
        """Makes a state in which nobody was heard.

        Args:
            own_name: This daemon's name; it is never among the others.
        """
        self._own_name = own_name
        self._heard: dict[str, float] = {}
        # By who hears them and the part of its list.
        self._lists: dict[tuple[str, int], _MemberList] = {}
        self._unable: set[str] = set()
        self._excluded: dict[str, float] = {}

    def observe_message(self, name: str, now: float) -> None:
        """Notes that a daemon was heard."""
        self._heard[name] = now
        self._excluded.pop(name, None)

    def observe_ability(self, name: str, is_able: bool) -> None:
        """Notes whether a daemon that was heard could give orders."""
        if is_able:
            self._unable.discard(name)
        else:
            self._unable.add(name)

    def update_list(
        self,
        by: str,
        part: int,
        number: int,
        names: Iterable[str],
        unable: Iterable[str],
        now: float,
    ) -> None:
        """Takes a part of the list of those that another daemon hears.

        Args:
            by: Who hears them.
            part: Which part of its list this is.
            number: Grows from each list to the next.
            names: Those that are there.
            unable: Those of them that could not give orders.
            now: The present time in seconds.
        """
        known = self._lists.get((by, part))
        if known is not None and number <= known.number:
            return
        self._lists[by, part] = _MemberList(
            at=now,
            number=number,
            names=frozenset(names),
            unable=frozenset(unable),
        )

    def present(self) -> list[str]:
        """Returns the other daemons that are there, one a host, sorted."""
        newest: dict[str, tuple[float, str]] = {}
        for name, at in self._all():
            host = host_of(name)
            if host not in newest or newest[host] < (at, name):
                newest[host] = (at, name)
        newest.pop(host_of(self._own_name), None)
        return sorted(name for _, name in newest.values())

    def list_numbers(self) -> dict[tuple[str, int], int]:
        """Returns the numbers of the known lists, by their maker and part."""
        return {key: one.number for key, one in self._lists.items()}

    def exclude(self, name: str, until: float) -> None:
        """Leaves a daemon out that others list, unless it is heard again."""
        self.drop(name)
        self._excluded[name] = until

    def drop_lists(self) -> None:
        """Forgets all lists, where those who keep them up are not heard."""
        self._lists.clear()

    def unable_to_order(self) -> set[str]:
        """Returns those that could not give orders."""
        found = set(self._unable)
        for one in self._lists.values():
            found |= one.unable
        return found

    def drop_earlier_starts(self, name: str) -> list[str]:
        """Forgets the names that a daemon's host had before; returns them."""
        host = host_of(name)
        earlier = [
            known
            for known in self._heard
            if known != name and host_of(known) == host
        ]
        for known in earlier:
            self.drop(known)
        return earlier

    def drop(self, name: str) -> None:
        """Forgets a daemon that is known to be gone."""
        self._heard.pop(name, None)
        self._unable.discard(name)

    def forget(
        self, now: float, *, silent_s: float, list_silent_s: float
    ) -> None:
        """Drops daemons and lists that were not heard for so long."""
        for name, at in list(self._heard.items()):
            if now - at >= silent_s:
                self.drop(name)
        self._lists = {
            key: one
            for key, one in self._lists.items()
            if now - one.at < list_silent_s
        }
        self._excluded = {
            name: until for name, until in self._excluded.items() if until > now
        }

    def _all(self) -> Iterable[tuple[str, float]]:
        yield from self._heard.items()
        for one in self._lists.values():
            for name in one.names - self._excluded.keys():
                yield name, one.at
