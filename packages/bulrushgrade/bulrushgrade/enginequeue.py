"""The queue of each engine, held by the few daemons that own its key.

Load: many daemons send long prompts to the same engines, and each takes tens
to hundreds of milliseconds to read. Harm: periodic messages among daemons are
as old as the last one. In a fleet of 60 that was 0.6 s, in which some 30
prompts are placed: half of them queued behind others, with idle engines
beside, and took twice their time. So hashing gives each engine a few owners;
whoever places a long prompt queries one of them first and reports to all of
them what it sends.
"""

import collections

import attrs

LIFE_S = 10.0
"""After which an entry without an end is dropped: its daemon is gone, or its
message was lost. Longer than any caller waits for a first event."""


@attrs.define(kw_only=True)
class _Entry:
    seconds: float
    added_at: float


class _Queue:
    """The prompts at one engine, in the order in which they were sent."""

    def __init__(self):
        self._entries: collections.OrderedDict[tuple[str, int], _Entry] = (
            collections.OrderedDict()
        )
        # When the engine came to the first entry.
        self._began_at = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, key: tuple[str, int], seconds: float, now: float) -> None:
        if not self._entries:
            self._began_at = now
        self._entries[key] = _Entry(seconds=seconds, added_at=now)

    def remove(self, key: tuple[str, int], now: float) -> None:
        if not self._entries:
            return
        first = next(iter(self._entries))
        if self._entries.pop(key, None) is not None and key == first:
            self._began_at = now

    def drop_old(self, now: float) -> None:
        for key, entry in list(self._entries.items()):
            if now - entry.added_at >= LIFE_S:
                self.remove(key, now)

    def wait_s(self, now: float) -> float:
        if not self._entries:
            return 0.0
        first = next(iter(self._entries.values()))
        done_s = min(first.seconds, max(0.0, now - self._began_at))
        return sum(e.seconds for e in self._entries.values()) - done_s


class EngineQueues:
    """The queues of the engines that a daemon owns.

    Owners change as daemons come and go. A new owner knows only what is sent
    from then on.
    """

    def __init__(self):
        self._queues: dict[str, _Queue] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def begin(
        self, engine: str, daemon: str, number: int, seconds: float, now: float
    ) -> None:
        """Enters a prompt that a daemon sends.

        Args:
            engine: The engine's id.
            daemon: Who sends it; another one after each start.
            number: The daemon's own number of it.
            seconds: How long reading it should take by itself.
            now: The present time in seconds.
        """
        queue = self._queues.setdefault(engine, _Queue())
        queue.add((daemon, number), seconds, now)

    def end(self, engine: str, daemon: str, number: int, now: float) -> None:
        """Notes that a prompt is read, or given up."""
        queue = self._queues.get(engine)
        if queue is not None:
            queue.remove((daemon, number), now)

    def wait_s(self, engine: str, now: float) -> float:
        """Returns how long a prompt sent now would wait to be read."""
        queue = self._queues.get(engine)
        return queue.wait_s(now) if queue is not None else 0.0

    def forget(self, now: float) -> None:
        """Drops entries that nobody ended, and engines without any."""
        for engine, queue in list(self._queues.items()):
            queue.drop_old(now)
            if not len(queue):
                del self._queues[engine]
