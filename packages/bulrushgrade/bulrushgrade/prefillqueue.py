"""The prompts that wait for prefill at one engine.

An engine prefills one prompt after another, the more urgent ones first. The
response begins some time after the prefill, because of the network latency and
the first decode steps. A prompt in that phase delays no other prompt. If it
were counted until its response begins, an engine whose responses begin 60 ms
after the prefill would appear to have three more prompts of 20 ms in its queue
than it has.
"""

from collections.abc import Hashable

import attrs


@attrs.frozen(kw_only=True)
class Entry:
    """One prompt in the queue.

    Attributes:
        seconds: Expected duration of its prefill alone.
        latency_s: Time from the end of the prefill to the response.
        urgency: 0 is the most urgent.
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
        # The prompt whose prefill is in progress, and when that began.
        self._current: Hashable | None = None
        self._current_began_at = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, key: Hashable, entry: Entry) -> None:
        """Adds a prompt that is sent now."""
        self._entries[key] = entry
        if len(self._entries) == 1:
            self._current, self._current_began_at = key, entry.added_at

    def remove(self, key: Hashable, now: float) -> None:
        """Removes a prompt whose response has begun or that was given up."""
        ended = self._entries.pop(key, None)
        if ended is None or key != self._current or not self._entries:
            return
        self._current = min(
            self._entries,
            key=lambda other: _queue_position(self._entries[other]),
        )
        added_at = self._entries[self._current].added_at
        prefilled_at = now - ended.latency_s
        self._current_began_at = max(
            prefilled_at, added_at, self._current_began_at
        )

    def remove_older(self, now: float, *, max_age_s: float) -> None:
        """Removes prompts that were sent at least max_age_s ago."""
        for key, entry in list(self._entries.items()):
            if now - entry.added_at >= max_age_s:
                self.remove(key, now)

    def wait_s(self, now: float, *, urgency: int) -> float:
        """Returns how long a prompt sent now would wait.

        The prefill in progress is completed first; of the other prompts only
        those of at least the same urgency go before the new one.

        Args:
            now: The present time in seconds.
            urgency: Urgency of the new prompt.
        """
        if not self._entries:
            return 0.0
        current = self._entries[self._current]
        # Its prefill can't have ended more than the latency ago, or its
        # response would have begun.
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
        # Prefills that have begun since then, while responses are on their way.
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
        """Returns the queued seconds by urgency.

        The prefill in progress counts as the most urgent, because it is not
        preempted.
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
