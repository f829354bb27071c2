"""The queue of each engine, held by the few daemons that own its key.

Load: many daemons send long prompts to the same engines, and each takes tens
to hundreds of milliseconds to read. Harm: periodic messages among daemons are
as old as the last one, and many prompts are placed between two of them: they
queue behind each other, with idle engines beside. So hashing gives each engine
a few owners; whoever places a long prompt queries one of them first and
reports to all of them what it sends.
"""

from bulrushgrade import prefillqueue

ENTRY_TTL_S = 10.0
"""After which an entry without an end is dropped: its daemon is gone, or its
message was lost. Longer than any caller waits for a first event."""

Key = tuple[str, int]
"""A prompt's daemon, another one after each start, and its number there."""


class EngineQueues:
    """The queues of the engines that a daemon owns.

    Owners change as daemons come and go. A new owner knows only what is sent
    from then on.
    """

    def __init__(self):
        self._queues: dict[str, prefillqueue.PrefillQueue] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def begin(
        self,
        engine: str,
        key: Key,
        entry: prefillqueue.Entry,
    ) -> None:
        """Enters a prompt that a daemon sends.

        Args:
            engine: The engine's id.
            key: Names the prompt.
            entry: The prompt.
        """
        queue = self._queues.setdefault(engine, prefillqueue.PrefillQueue())
        queue.add(key, entry)

    def end(self, engine: str, key: Key, now: float) -> None:
        """Notes that a prompt's answer begins, or that it is given up."""
        queue = self._queues.get(engine)
        if queue is not None:
            queue.remove(key, now)

    def wait_s(self, engine: str, now: float, *, urgency: int) -> float:
        """Returns how long a prompt sent now would wait to be read."""
        queue = self._queues.get(engine)
        return 0.0 if queue is None else queue.wait_s(now, urgency=urgency)

    def forget(self, now: float) -> None:
        """Drops entries that nobody ended, and engines without any."""
        for engine, queue in list(self._queues.items()):
            queue.remove_older(now, max_age_s=ENTRY_TTL_S)
            if not len(queue):
                del self._queues[engine]
