"""A read that can be abandoned while it waits for an answer."""

from collections.abc import Coroutine
from typing import Any

from twisted.internet import defer


class AbandonableRead:
    """Runs one read at a time."""

    def __init__(self):
        self._running: defer.Deferred | None = None
        self._is_abandoned = False

    def abandon(self) -> None:
        """Ends the read, if there is one; its caller gets None.

        Must not be called from within the read.
        """
        if self._running is not None:
            self._is_abandoned = True
            self._running.cancel()

    async def run(self, read: Coroutine[Any, Any, Any]) -> Any:
        """Returns what a read returns, or None if it was abandoned.

        Raises:
            CancelledError: It was cancelled otherwise.
        """
        self._running = defer.Deferred.fromCoroutine(read)
        try:
            return await self._running
        except defer.CancelledError:
            if not self._is_abandoned:
                raise
            return None
        finally:
            self._running, self._is_abandoned = None, False
