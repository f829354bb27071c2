"""Notices an attempt that has gone silent."""

from typing import Any

from bulrushgrade_daemon import engine

# An attempt that is silent is given up early enough that another engine can
# still do the rest: half of the time that is left, and never sooner than an
# engine under ordinary load may take.
REMAINING_TIME_FRACTION = 0.5
FIRST_TOKEN_MIN_S = 1.0
FIRST_TOKEN_FACTOR = 4.0
TOKEN_GAP_MIN_S = 1.0
TOKEN_GAP_FACTOR = 20.0
RECHECK_MIN_S = 0.01
# A look that comes this much late means that this process stood still.
PROCESS_PAUSE_S = 0.5


def first_token_timeout_s(first_token_s: float, left_s: float) -> float:
    """Returns how long an engine may be silent before its first answer.

    Args:
        first_token_s: Predicted seconds until the first token.
        left_s: Seconds until the whole answer is due.
    """
    tolerated_s = max(FIRST_TOKEN_MIN_S, FIRST_TOKEN_FACTOR * first_token_s)
    return min(tolerated_s, left_s * REMAINING_TIME_FRACTION)


class StreamWatchdog:
    """Ends a stream that makes no progress for too long.

    Failure guarded against: a connection that something between the two ends
    has lost track of, or an engine that hangs. Both show only as silence, and
    the same connection never recovers, so the attempt is given up and the
    answer resumed on another one.
    """

    def __init__(
        self,
        *,
        timers: Any,
        stream: engine.EngineStream,
        deadline: float,
        first_token_s: float,
        between_tokens_s: float,
    ):
        """Begins to watch.

        Args:
            timers: The timer service.
            stream: What is ended when it is silent.
            deadline: When the whole answer is due.
            first_token_s: Predicted seconds until the first token.
            between_tokens_s: Seconds between tokens that the document asks.
        """
        self._timers = timers
        self._stream = stream
        self._deadline = deadline
        self._tolerated_s = max(
            FIRST_TOKEN_MIN_S, FIRST_TOKEN_FACTOR * first_token_s
        )
        self._tolerated_gap_s = max(
            TOKEN_GAP_MIN_S, TOKEN_GAP_FACTOR * between_tokens_s
        )
        self._progress_at = timers.now
        self._paused = False
        self._schedule_check(self._timeout_s())

    def record_progress(self) -> None:
        """Notes that a token came."""
        self._progress_at = self._timers.now
        self._tolerated_s = self._tolerated_gap_s

    def set_paused(self, paused: bool) -> None:
        """Notes whether the stream is held up by the caller's side."""
        self._paused = paused
        self._progress_at = self._timers.now

    def stop(self) -> None:
        """Watches no more."""
        self._subscription.cancel()

    def _timeout_s(self) -> float:
        left_s = max(0.0, self._deadline - self._timers.now)
        return min(self._tolerated_s, left_s * REMAINING_TIME_FRACTION)

    def _schedule_check(self, delay_s: float) -> None:
        self._due_at = self._timers.now + delay_s
        self._subscription = self._timers.after(delay_s, self._check)

    def _check(self) -> None:
        # Failure guarded against: this process was stopped for a while. On
        # waking, timers run before sockets are read, so every stream looks
        # silent though its tokens wait in the socket; giving them all up
        # would move all answers of this host at once.
        process_was_paused = self._timers.now > self._due_at + PROCESS_PAUSE_S
        if self._paused or process_was_paused:
            self._progress_at = self._timers.now
        silent_s = self._timers.now - self._progress_at
        left_s = self._timeout_s() - silent_s
        if left_s <= 0.0:
            self._stream.end(engine.Lost(reason="silent"))
            return
        self._schedule_check(max(left_s, RECHECK_MIN_S))
