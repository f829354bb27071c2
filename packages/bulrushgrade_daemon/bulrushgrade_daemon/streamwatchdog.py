"""Detects and ends streams that make no progress."""

from typing import Any

from bulrushgrade_daemon import engine

# An attempt without progress is abandoned early enough that another engine can
# still finish it: after half of the remaining time, or after a multiple of the
# predicted time, which an engine under ordinary load does not exceed, whichever
# is shorter.
REMAINING_TIME_FRACTION = 0.5
FIRST_TOKEN_MIN_S = 1.0
FIRST_TOKEN_FACTOR = 4.0
TOKEN_GAP_MIN_S = 1.0
TOKEN_GAP_FACTOR = 20.0
RECHECK_MIN_S = 0.01
# A check that runs this late shows that this process was stopped.
PROCESS_PAUSE_S = 0.5


def first_token_timeout_s(first_token_s: float, left_s: float) -> float:
    """Returns how long to wait for an engine's first token.

    Args:
        first_token_s: Predicted seconds until the first token.
        left_s: Seconds until the deadline of the whole answer.
    """
    tolerated_s = max(FIRST_TOKEN_MIN_S, FIRST_TOKEN_FACTOR * first_token_s)
    return min(tolerated_s, left_s * REMAINING_TIME_FRACTION)


class StreamWatchdog:
    """Ends a stream that makes no progress for too long.

    This covers an engine that hangs, and a connection whose state a middlebox
    has lost. Both show only as missing data, and the connection never recovers,
    so the attempt is abandoned and the answer resumed over another one.
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
        """Starts watching a stream.

        Args:
            timers: The timer service.
            stream: The stream, ended if it makes no progress.
            deadline: Deadline of the whole answer.
            first_token_s: Predicted seconds until the first token.
            between_tokens_s: Target of the service document for the seconds
                between tokens.
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
        """Records that a token arrived."""
        self._progress_at = self._timers.now
        self._tolerated_s = self._tolerated_gap_s

    def set_paused(self, paused: bool) -> None:
        """Sets whether the caller's side has paused the stream."""
        self._paused = paused
        self._progress_at = self._timers.now

    def stop(self) -> None:
        """Stops watching."""
        self._subscription.cancel()

    def _timeout_s(self) -> float:
        left_s = max(0.0, self._deadline - self._timers.now)
        return min(self._tolerated_s, left_s * REMAINING_TIME_FRACTION)

    def _schedule_check(self, delay_s: float) -> None:
        self._due_at = self._timers.now + delay_s
        self._subscription = self._timers.after(delay_s, self._check)

    def _check(self) -> None:
        # After a stop of this process timers run before sockets are read, so
        # every stream looks stalled although its tokens wait in the socket.
        # Ending all of them would move all answers of this host at once.
        process_was_paused = self._timers.now > self._due_at + PROCESS_PAUSE_S
        if self._paused or process_was_paused:
            self._progress_at = self._timers.now
        silent_s = self._timers.now - self._progress_at
        left_s = self._timeout_s() - silent_s
        if left_s <= 0.0:
            self._stream.end(engine.Lost(reason="silent"))
            return
        self._schedule_check(max(left_s, RECHECK_MIN_S))
