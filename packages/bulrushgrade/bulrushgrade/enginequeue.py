"""Queues of engines, kept by the few daemons that own each engine's key.

Many daemons send long prompts to the same engines, and each prompt takes tens
to hundreds of milliseconds to prefill. Load that daemons exchange periodically
is as old as the last message, and many prompts are placed between two messages:
they queue behind each other while other engines are idle. So rendezvous hashing
assigns a few owners to each engine. A daemon that places a long prompt queries
one of the owners first, and reports to all of them what it sends.
"""

from bulrushgrade import prefillqueue

ENTRY_TTL_S = 10.0
"""Age at which an entry that was not ended is dropped, because its daemon is
gone or a message was lost. This is longer than any caller waits for a first
event."""

Key = tuple[str, int]
"""Identifies a prompt: its daemon, with a new name after each start, and the
prompt's number there.
"""


class EngineQueues:
    """The queues of the engines that a daemon owns.

    Ownership changes when daemons come or go. A new owner knows only the
    prompts that are reported from then on.
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
        """Adds a prompt that a daemon sends.

        Args:
            engine: The engine's id.
            key: Identifies the prompt.
            entry: The queue entry.
        """
        queue = self._queues.setdefault(engine, prefillqueue.PrefillQueue())
        queue.add(key, entry)

    def end(self, engine: str, key: Key, now: float) -> None:
        """Removes a prompt whose response has begun or that was given up."""
        queue = self._queues.get(engine)
        if queue is not None:
            queue.remove(key, now)

    def wait_s(self, engine: str, now: float, *, urgency: int) -> float:
        """Returns how long a prompt sent now would wait for its prefill."""
        queue = self._queues.get(engine)
        return 0.0 if queue is None else queue.wait_s(now, urgency=urgency)

    def forget(self, now: float) -> None:
        """Drops entries that were never ended, and empty queues."""
        for engine, queue in list(self._queues.items()):
            queue.remove_older(now, max_age_s=ENTRY_TTL_S)
            if not len(queue):
                del self._queues[engine]
