"""The prompts that wait to be read at one engine.

An engine reads one prompt after another, but an answer begins some time after
its prompt was read: the way there and back, and the steps up to the first
event. A prompt in that last stretch keeps nobody waiting. Were it counted
until its answer begins, an engine whose answers begin 60 ms after the reading
would look as if three more prompts of 20 ms were waiting than there are.
"""

import collections
from collections.abc import Hashable

import attrs


@attrs.frozen(kw_only=True)
class _Entry:
    """One prompt.

    Attributes:
        seconds: How long reading it should take by itself.
        latency_s: From the end of the reading to the answer's beginning.
        added_at: When it was sent.
    """

    seconds: float
    latency_s: float
    added_at: float


class ReadQueue:
    """Prompts in the order in which they were sent."""

    def __init__(self):
        self._entries: collections.OrderedDict[Hashable, _Entry] = (
            collections.OrderedDict()
        )
        # When the engine came to the first entry.
        self._began_at = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def add(
        self, key: Hashable, seconds: float, now: float, *, latency_s: float
    ) -> None:
        """Enters a prompt that is sent now.

        Args:
            key: Names it.
            seconds: How long reading it should take by itself.
            now: The present time in seconds.
            latency_s: From the end of the reading to the answer's beginning.
        """
        if not self._entries:
            self._began_at = now
        self._entries[key] = _Entry(
            seconds=seconds, latency_s=latency_s, added_at=now
        )

    def remove(self, key: Hashable, now: float) -> bool:
        """Takes out a prompt whose answer begins, or that was given up.

        Returns:
            Whether it was there.
        """
        if key not in self._entries:
            return False
        was_first = key == next(iter(self._entries))
        ended = self._entries.pop(key)
        if was_first and self._entries:
            following = next(iter(self._entries.values()))
            read_at = now - ended.latency_s
            self._began_at = max(read_at, following.added_at, self._began_at)
        return True

    def drop_older(self, now: float, *, life_s: float) -> None:
        """Takes out prompts that were sent at least so long ago."""
        for key, entry in list(self._entries.items()):
            if now - entry.added_at >= life_s:
                self.remove(key, now)

    def wait_s(self, now: float) -> float:
        """Returns how long a prompt sent now would wait."""
        finish = self._began_at
        for place, entry in enumerate(self._entries.values()):
            finish = max(finish, entry.added_at) + entry.seconds
            if place == 0:
                # It has not been read yet, or its answer would have begun.
                finish = max(finish, now - entry.latency_s)
        return max(0.0, finish - now) if self._entries else 0.0
