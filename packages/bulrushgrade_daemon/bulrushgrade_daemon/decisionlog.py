"""Structured log lines on standard output that never block the process.

Each line is one JSON object. Lines wait in a bounded queue. If the reader of
the output is too slow, new lines are dropped and counted, and the next line
that is queued states the count.
"""

import collections
from collections.abc import Callable
import os
import time
from typing import Any

import msgspec

STDOUT = 1

FLUSH_S = 1.0
"""Time between two attempts to write lines that a slow reader did not take."""

MAX_LINES_QUEUED = 2000
"""Maximum number of queued lines, about 500 KB. Further lines are dropped."""

LINES_PER_S = 100.0
"""Sustained limit of lines a second. A daemon at four times its usual load
writes some tens; a failure that affects every request must not add the load of
logging each of them."""

BURST_LINES = 400.0
"""Number of lines that may be written at once above the sustained limit."""

_encoder = msgspec.json.Encoder(enc_hook=str)


class DecisionLog:
    """Writes lines without blocking; drops lines above the limits."""

    def __init__(
        self,
        *,
        host: str,
        write: Callable[[bytes], int] | None = None,
        wall_clock: Callable[[], float] = time.time,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Creates a log.

        Args:
            host: The host's name in each line.
            write: Writes bytes and returns how many were written; raises
                BlockingIOError if it would have to wait.
            wall_clock: Returns the Unix time for the lines' timestamps.
            clock: Returns the monotonic time for the rate limit.
        """
        self._host = host
        if write is None:
            # A write to a pipe whose reader stalls would otherwise block the
            # process.
            os.set_blocking(STDOUT, False)
        self._write = write or _write_stdout
        self._wall_clock = wall_clock
        self._clock = clock
        self._lines: collections.deque[bytes] = collections.deque()
        self._unreported_drops = 0
        self._total_dropped = 0
        self._written = 0
        self._tokens = BURST_LINES
        self._refilled_at = clock()

    @property
    def counts(self) -> dict[str, int]:
        """Number of lines written and dropped since the start."""
        return {"written": self._written, "dropped": self._total_dropped}

    def note(self, event: str, **fields: Any) -> None:
        """Writes a line, subject to the rate limit.

        Args:
            event: What happened, in words joined by underscores.
            **fields: Inputs of the decision with their age or version, and
                the outcome.
        """
        if not self._take_token():
            self._drop()
            return
        self._queue(event, fields)

    def always(self, event: str, **fields: Any) -> None:
        """Writes a line without the rate limit: starts, stops, reloads."""
        self._queue(event, fields)

    def flush(self) -> None:
        """Writes queued lines until the reader takes no more."""
        while self._lines:
            line = self._lines[0]
            try:
                taken = self._write(line)
            except BlockingIOError:
                return
            except OSError:
                # The reader closed the pipe, so the error cannot be logged.
                self._lines.clear()
                return
            if taken < len(line):
                self._lines[0] = line[taken:]
                return
            self._lines.popleft()
            self._written += 1

    def _take_token(self) -> bool:
        now = self._clock()
        refill = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _drop(self) -> None:
        self._unreported_drops += 1
        self._total_dropped += 1

    def _queue(self, event: str, fields: dict[str, Any]) -> None:
        if len(self._lines) >= MAX_LINES_QUEUED:
            self._drop()
            return
        line = {"t": round(self._wall_clock(), 3), "host": self._host}
        line["event"] = event
        line.update(fields)
        if self._unreported_drops:
            line["lines_dropped"] = self._unreported_drops
            self._unreported_drops = 0
        self._lines.append(_encoder.encode(line) + b"\n")
        self.flush()


def _write_stdout(line: bytes) -> int:
    return os.write(STDOUT, line)
