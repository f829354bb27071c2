"""The epoch of the platform's store, which shows a loss of records.

The store may return from an older copy of itself. Records that it acknowledged
after the copy was made are gone then, and their offsets are given out again.
With each such return its epoch rises by one. An offset means a record only
together with the epoch in which it was read.
"""

from collections.abc import Callable
import math
from typing import Any

from bulrushgrade_daemon import decisionlog

UNSTATED = 0
"""The epoch of an answer that states none, or one that can't be read."""

CONFIRM_S = 5.0
"""Time for which all answers must state the same lower epoch, or none, before
the known one is given up. Answers from before a return arrive within a call's
time limit; without this, one wrong epoch would stop all reads for good."""


class StoreEpoch:
    """The newest epoch that answers of the store have stated."""

    def __init__(self, *, timers: Any, log: decisionlog.DecisionLog):
        """Creates a state in which no answer was received.

        Args:
            timers: The timer service.
            log: Receives a line for each new epoch, and for answers that state
                a lower one or none.
        """
        self._timers = timers
        self._log = log
        self._value = UNSTATED
        self._since: float | None = None
        # When an answer last stated the known epoch, and the one before it.
        self._confirmed_at = self._last_confirmed_at = -math.inf
        # The highest epoch that was given up, and the other one that answers
        # state since a time.
        self._abandoned = UNSTATED
        self._other: tuple[int, float] | None = None
        self._counts = {
            "changes": 0,
            "lower": 0,
            "unstated": 0,
            "abandoned": 0,
        }
        self._subscribers: list[Callable[[int], None]] = []

    @property
    def value(self) -> int:
        """The newest epoch; `UNSTATED` if no answer stated one."""
        return self._value

    @property
    def since(self) -> float | None:
        """When this host first saw the epoch; None before the first answer."""
        return self._since

    @property
    def last_confirmed_at(self) -> float:
        """When an answer last stated the epoch before the known one."""
        return self._last_confirmed_at

    @property
    def counts(self) -> dict[str, int]:
        """Number of epochs begun and given up, of answers with other ones."""
        return dict(self._counts)

    def subscribe(self, on_change: Callable[[int], None]) -> None:
        """Adds a function that is called with each epoch that begins."""
        self._subscribers.append(on_change)

    def observe(self, stated: int) -> None:
        """Processes the epoch that an answer states.

        Args:
            stated: The epoch; `UNSTATED` if it is missing or unreadable.
        """
        now = self._timers.now
        if self._since is None:
            self._since = now
        if stated > self._value:
            self._advance(stated)
        elif stated == self._value:
            self._other = None
            self._confirmed_at = now
        else:
            self._observe_other(stated, now)

    def observe_peer(self, stated: int) -> None:
        """Processes the epoch that a peer's message states.

        Args:
            stated: The epoch; peers may not have given up yet what this host
                has.
        """
        if stated > max(self._value, self._abandoned):
            self._advance(stated)

    def _advance(self, stated: int) -> None:
        before = self._value
        self._begin(stated)
        self._counts["changes"] += 1
        self._log.always("store_epoch_changed", epoch=stated, before=before)
        self._notify()

    def _observe_other(self, stated: int, now: float) -> None:
        """Processes a lower epoch than the known one, or none.

        An answer from before a return of the store arrives late, or the store
        lost its count.
        """
        self._counts["unstated" if stated == UNSTATED else "lower"] += 1
        if self._other is None or self._other[0] != stated:
            self._other = stated, now
            self._log.note(
                "store_epoch_unstated"
                if stated == UNSTATED
                else "store_epoch_lower",
                epoch=stated,
                known=self._value,
            )
        elif now - self._other[1] >= CONFIRM_S:
            before = self._value
            self._abandoned = max(self._abandoned, before)
            self._begin(stated)
            self._counts["abandoned"] += 1
            self._log.always(
                "store_epoch_abandoned", epoch=stated, before=before
            )
            self._notify()

    def _begin(self, epoch: int) -> None:
        self._value = epoch
        self._since = self._timers.now
        self._last_confirmed_at = self._confirmed_at
        self._confirmed_at = self._timers.now
        self._other = None

    def _notify(self) -> None:
        for on_change in self._subscribers:
            on_change(self._value)
