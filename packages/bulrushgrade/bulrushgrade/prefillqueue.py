"""The prompts that wait to be read at one engine.

An engine reads one prompt after another, the more urgent first, but an answer
begins some time after its prompt was read: the way there and back, and the
steps up to the first event. A prompt in that last stretch keeps nobody
waiting. Were it counted until its answer begins, an engine whose answers begin
60 ms after the reading would look as if three more prompts of 20 ms were
waiting than there are.
"""

from collections.abc import Hashable

import attrs


@attrs.frozen(kw_only=True)
class Entry:
    """One prompt.

    Attributes:
        seconds: How long reading it should take by itself.
        latency_s: From the end of the reading to the answer's beginning.
        urgency: 0 is read first.
        added_at: When it was sent.
    """

    seconds: float
    latency_s: float
    urgency: int
    added_at: float


class PrefillQueue:
    """Prompts in the order in which they were sent."""

    def __init__(self):
        self._entries: dict[Hashable, Entry] = {}
        # What is being read, and since when.
        self._current: Hashable | None = None
        self._current_began_at = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, key: Hashable, entry: Entry) -> None:
        """Enters a prompt that is sent now."""
        self._entries[key] = entry
        if len(self._entries) == 1:
            self._current, self._current_began_at = key, entry.added_at

    def remove(self, key: Hashable, now: float) -> None:
        """Takes out a prompt whose answer begins, or that was given up."""
        ended = self._entries.pop(key, None)
        if ended is None or key != self._current or not self._entries:
            return
        self._current = min(
            self._entries,
            key=lambda other: _queue_position(self._entries[other]),
        )
        added_at = self._entries[self._current].added_at
        read_at = now - ended.latency_s
        self._current_began_at = max(read_at, added_at, self._current_began_at)

    def remove_older(self, now: float, *, max_age_s: float) -> None:
        """Takes out prompts that were sent at least so long ago."""
        for key, entry in list(self._entries.items()):
            if now - entry.added_at >= max_age_s:
                self.remove(key, now)

    def wait_s(self, now: float, *, urgency: int) -> float:
        """Returns how long a prompt sent now would wait.

        What is being read is read to its end; of the rest, only what is as
        urgent goes first.

        Args:
            now: The present time in seconds.
            urgency: The prompt's.
        """
        if not self._entries:
            return 0.0
        current = self._entries[self._current]
        # It has not been read yet, or its answer would have begun.
        finish = max(
            self._current_began_at + current.seconds, now - current.latency_s
        )
        waiting = sorted(
            (
                self._entries[key]
                for key in self._entries
                if key != self._current
            ),
            key=_queue_position,
        )
        # Those that were begun since, while answers were on their way.
        while finish < now and waiting:
            begun = next(
                (entry for entry in waiting if entry.added_at <= finish),
                min(waiting, key=lambda entry: entry.added_at),
            )
            waiting.remove(begun)
            finish = max(finish, begun.added_at) + begun.seconds
        for entry in waiting:
            if entry.urgency <= urgency:
                finish = max(finish, entry.added_at) + entry.seconds
        return max(0.0, finish - now)

    def wait_by_urgency(self, now: float) -> dict[int, float]:
        """Returns the seconds that wait, by urgency.

        What is being read counts as the most urgent: it is not set aside.
        """
        found: dict[int, float] = {}
        before_s = 0.0
        for urgency in sorted(
            {0, *(e.urgency for e in self._entries.values())}
        ):
            until_s = self.wait_s(now, urgency=urgency)
            if until_s > before_s:
                found[urgency] = until_s - before_s
            before_s = until_s
        return found


def _queue_position(entry: Entry) -> tuple[int, float]:
    return entry.urgency, entry.added_at
