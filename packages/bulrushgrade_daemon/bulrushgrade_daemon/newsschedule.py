"""Selects the news that each round of messages among hosts carries.

Datagrams get lost, and hosts start or are cut off for a time. So a change
travels in several rounds, and all that is known now and then.
"""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
from typing import Generic
from typing import TypeVar

CHANGE_ROUNDS = 4
"""Number of rounds of messages that carry a change."""

ALL_ROUNDS = 20
"""Number of rounds after which everything is sent again."""

MAX_ENTRIES = 64
"""Maximum number of entries in one round. The others follow in the next."""

_Subject = TypeVar("_Subject", bound=Hashable)


class NewsSchedule(Generic[_Subject]):
    """Selects of which subjects the next messages tell."""

    def __init__(
        self,
        *,
        find_all: Callable[[], Iterable[_Subject]],
        all_rounds: int = ALL_ROUNDS,
        max_entries: int = MAX_ENTRIES,
    ):
        """Creates a schedule that has sent nothing.

        Args:
            find_all: Returns the subjects of which something is known.
            all_rounds: Number of rounds after which all are sent again.
            max_entries: Maximum number of subjects in a round.
        """
        self._find_all = find_all
        self._all_rounds = all_rounds
        self._max_entries = max_entries
        self._round = 0
        # The rounds that still have to carry a subject.
        self._rounds_left: dict[_Subject, int] = {}

    def add(self, subject: _Subject, rounds: int = CHANGE_ROUNDS) -> None:
        """Sends what is known of a subject in the next rounds."""
        self._rounds_left[subject] = max(
            rounds, self._rounds_left.get(subject, 0)
        )

    def add_all(self) -> None:
        """Sends all that is known in the next rounds."""
        for subject in self._find_all():
            self.add(subject)

    def next(self) -> list[_Subject]:
        """Returns the subjects of the next round."""
        self._round += 1
        if self._round % self._all_rounds == 0:
            for subject in self._find_all():
                self._rounds_left.setdefault(subject, 1)
        # Those that wait longest come first, as sent ones are added again.
        chosen = list(self._rounds_left)[: self._max_entries]
        for subject in chosen:
            left = self._rounds_left.pop(subject) - 1
            if left > 0:
                self._rounds_left[subject] = left
        return chosen
