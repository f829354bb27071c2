"""Changes of engines' caches that wait to be advertised."""

import attrs

from bulrushgrade import enginecache

MAX_CHANGES = 40
"""Of caches in a message, so that a datagram stays within what a link carries
in one piece. The others come with the next messages."""

SEND_COUNT = 2
"""Messages that a change of a cache is in. One that never arrives has prompts
sent for a part that is gone for as long as nobody else has it read again; a
bad link that loses one in ten datagrams loses both of two once in a hundred."""

CacheChanges = dict[str, list[tuple[str, int]]]
"""By engine: parts with the tokens that are kept now."""


@attrs.define(kw_only=True)
class _Pending:
    tokens: int
    sends_left: int


class PendingChanges:
    """The newest change of each part, until it was sent often enough."""

    def __init__(self):
        self._pending: dict[tuple[str, str], _Pending] = {}

    def add(
        self,
        engine: str,
        changes: tuple[enginecache.CacheChange, ...],
        *,
        send_count: int = SEND_COUNT,
    ) -> None:
        """Has changes sent.

        Args:
            engine: The engine's id.
            changes: What changed in its cache.
            send_count: Messages that each is to be in.
        """
        for change in changes:
            # What was to be sent of the part before is no longer so.
            self._pending.pop((engine, change.part), None)
            self._pending[engine, change.part] = _Pending(
                tokens=change.tokens, sends_left=send_count
            )

    def next_batch(self) -> CacheChanges:
        """Returns the changes for a message, the oldest first."""
        kept: CacheChanges = {}
        for key, change in list(self._pending.items())[:MAX_CHANGES]:
            engine, part = key
            kept.setdefault(engine, []).append((part, change.tokens))
            change.sends_left -= 1
            # Behind all that was not sent yet.
            del self._pending[key]
            if change.sends_left:
                self._pending[key] = change
        return kept

    def clear(self) -> None:
        """Drops all changes, where there is nobody to send them to."""
        self._pending.clear()
