"""Queue of cache changes that are to be sent to peers."""

import attrs

from bulrushgrade import enginecache

MAX_CHANGES = 40
"""Limit of cache changes in a message, so that its datagram is not fragmented.
The others are sent with the next messages."""

SEND_COUNT = 2
"""Messages that a cache change is in. If it never arrives, prompts are sent to
an engine for a part that is evicted until the part is prefilled again. A link
that loses one in ten datagrams loses both of two once in a hundred."""

CacheChanges = dict[str, list[tuple[str, int]]]
"""By engine: prompt parts with the tokens that are cached now."""


@attrs.define(kw_only=True)
class _Pending:
    tokens: int
    sends_left: int


class PendingChanges:
    """The latest change of each part, until it was sent often enough."""

    def __init__(self):
        self._pending: dict[tuple[str, str], _Pending] = {}

    def add(
        self,
        engine: str,
        changes: tuple[enginecache.CacheChange, ...],
        *,
        send_count: int = SEND_COUNT,
    ) -> None:
        """Queues changes.

        Args:
            engine: The engine's id.
            changes: Changes of its cache.
            send_count: Number of messages that each is to be in.
        """
        for change in changes:
            # The change replaces an earlier one of the same part.
            self._pending.pop((engine, change.part), None)
            self._pending[engine, change.part] = _Pending(
                tokens=change.tokens, sends_left=send_count
            )

    def next_batch(self) -> CacheChanges:
        """Returns the changes for the next message, the oldest first."""
        kept: CacheChanges = {}
        for key, change in list(self._pending.items())[:MAX_CHANGES]:
            engine, part = key
            kept.setdefault(engine, []).append((part, change.tokens))
            change.sends_left -= 1
            # Requeued behind the changes that were not sent yet.
            del self._pending[key]
            if change.sends_left:
                self._pending[key] = change
        return kept

    def clear(self) -> None:
        """Drops all changes."""
        self._pending.clear()
