"""Tracks which daemons are present, by their messages or those of others."""

from collections.abc import Iterable

import attrs

MISSING_TTL_S = 600.0
"""Time for which a daemon that fell silent is reported as missing."""


@attrs.frozen(kw_only=True)
class PeerView:
    """Which daemons another one hears.

    Attributes:
        missing: The hosts that it no longer hears.
        digest: A digest of the names of those that it hears and of its own;
            None if it states none.
    """

    missing: frozenset[str]
    digest: int | None


@attrs.frozen(kw_only=True)
class _MemberList:
    """One part of the list that another daemon sends."""

    at: float
    number: int
    names: frozenset[str]
    unable: frozenset[str]


def host_of(name: str) -> str:
    """Returns the host of a daemon, whose name changes with each start."""
    return name.rpartition("/")[0]


class FleetMembers:
    """The daemons whose messages arrived recently.

    A daemon receives messages of some peers directly. It learns of the others
    from the daemon that receives theirs, in lists of which each replaces the
    one before.
    """

    def __init__(self, *, own_name: str):
        """Creates a state without other daemons.

        Args:
            own_name: This daemon's name, which never counts as another one.
        """
        self._own_name = own_name
        self._heard: dict[str, float] = {}
        # By the daemon that sends the list and the part of the list.
        self._lists: dict[tuple[str, int], _MemberList] = {}
        self._unable: set[str] = set()
        self._cut: set[str] = set()
        self._excluded: dict[str, float] = {}
        # Hosts that were heard and fell silent: since when, and the daemon.
        self._silent: dict[str, tuple[float, str]] = {}
        self._views: dict[str, PeerView] = {}

    def observe_message(self, name: str, now: float) -> None:
        """Records that a message of a daemon arrived."""
        self._heard[name] = now
        self._excluded.pop(name, None)
        self._silent.pop(host_of(name), None)

    def observe_view(self, name: str, view: PeerView) -> None:
        """Records which hosts a daemon hears by its own report."""
        self._views[name] = view

    def view_of(self, name: str) -> PeerView | None:
        """Returns what a daemon reported last; None if it reported nothing."""
        return self._views.get(name)

    def missing(self) -> list[str]:
        """Returns the hosts that fell silent and that no other one hears."""
        return sorted(map(host_of, self.silent()))

    def silent(self) -> list[str]:
        """Returns the daemons of the hosts that are missing, as last heard."""
        present = {host_of(name) for name in self.present()}
        return [
            name
            for host, (_, name) in self._silent.items()
            if host not in present
        ]

    def observe_ability(self, name: str, is_able: bool) -> None:
        """Records whether a daemon that sent a message could give orders."""
        if is_able:
            self._unable.discard(name)
        else:
            self._unable.add(name)

    def observe_cut(self, name: str, is_cut: bool) -> None:
        """Records whether a daemon that sent a message has links."""
        if is_cut:
            self._cut.add(name)
        else:
            self._cut.discard(name)

    def cut(self) -> set[str]:
        """Returns the daemons that say that they are cut off from endpoints."""
        return set(self._cut)

    def update_list(
        self,
        by: str,
        part: int,
        number: int,
        names: Iterable[str],
        unable: Iterable[str],
        now: float,
    ) -> None:
        """Applies a part of another daemon's list unless it is outdated.

        Args:
            by: The daemon that sends the list.
            part: The part of its list.
            number: A number that increases from each list to the next.
            names: The daemons that are present.
            unable: Those of them that could not give orders.
            now: The current time in seconds.
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
        """Returns the other daemons that are present, one per host, sorted."""
        newest: dict[str, tuple[float, str]] = {}
        for name, at in self._all():
            host = host_of(name)
            if host not in newest or newest[host] < (at, name):
                newest[host] = (at, name)
        newest.pop(host_of(self._own_name), None)
        return sorted(name for _, name in newest.values())

    def list_numbers(self) -> dict[tuple[str, int], int]:
        """Returns the numbers of the known lists, by sender and part."""
        return {key: one.number for key, one in self._lists.items()}

    def exclude(self, name: str, until: float) -> None:
        """Drops a daemon and ignores it in lists, until it sends a message.

        Args:
            name: The daemon's name.
            until: The time from which on lists may name it again.
        """
        self.drop(name)
        self._excluded[name] = until

    def drop_lists(self) -> None:
        """Drops all lists, for when their senders can't be reached."""
        self._lists.clear()

    def unable_to_order(self) -> set[str]:
        """Returns the daemons that could not give orders."""
        found = set(self._unable)
        for one in self._lists.values():
            found |= one.unable
        return found

    def drop_earlier_starts(self, name: str) -> list[str]:
        """Drops and returns the names of earlier daemons on the same host."""
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
        """Drops a daemon that is known to have gone."""
        self._heard.pop(name, None)
        self._unable.discard(name)
        self._cut.discard(name)
        self._views.pop(name, None)

    def forget(
        self, now: float, *, silent_s: float, list_silent_s: float
    ) -> None:
        """Drops daemons and lists without a message for a time.

        Args:
            now: The current time in seconds.
            silent_s: Time after which a daemon is dropped.
            list_silent_s: Time after which a list is dropped.
        """
        for name, at in list(self._heard.items()):
            if now - at >= silent_s:
                self.drop(name)
                self._silent[host_of(name)] = now, name
        self._silent = {
            host: (since, name)
            for host, (since, name) in self._silent.items()
            if now - since < MISSING_TTL_S
        }
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
