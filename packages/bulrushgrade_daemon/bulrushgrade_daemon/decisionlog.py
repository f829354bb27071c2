"""Structured lines on standard output that never hold the process up.

Each line is one JSON object. Lines wait in a bounded queue; where whoever
reads them is slow, the newest are dropped and counted, and the count is in
the next line that goes out.
"""

import collections
from collections.abc import Callable
import os
import time
from typing import Any

import msgspec

STDOUT = 1

FLUSH_S = 1.0
"""Between two attempts to write what a slow reader has left."""

MAX_LINES_QUEUED = 2000
"""About 500 KB; a reader that stalls for longer has lost its lines."""

LINES_PER_S = 100.0
"""Lines a second over a longer time. A daemon at four times its usual load
makes some tens; a failure that touches every request must not turn into a
second load of writing lines about it."""

BURST_LINES = 400.0
"""Lines that may be written beyond the rate at once."""

_encoder = msgspec.json.Encoder(enc_hook=str)


class DecisionLog:
    """Writes lines from the reactor's turns; drops what does not fit."""

    def __init__(
        self,
        *,
        host: str,
        write: Callable[[bytes], int] | None = None,
        wall_clock: Callable[[], float] = time.time,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Makes a log.

        Args:
            host: The name in each line.
            write: Takes bytes and returns how many it took; raises
                BlockingIOError where it would have to wait.
            wall_clock: The time of day, for the reader of the lines.
            clock: Paces the lines.
        """
        self._host = host
        if write is None:
            # A pipe whose reader stalls would otherwise hold the process up
            # in the write.
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
        """Lines written and dropped since the start."""
        return {"written": self._written, "dropped": self._total_dropped}

    def note(self, event: str, **fields: Any) -> None:
        """Writes a line, within the rate.

        Args:
            event: What happened, in words joined by underscores.
            **fields: Inputs with their age or version, and the outcome.
        """
        if not self._take_token():
            self._drop()
            return
        self._queue(event, fields)

    def always(self, event: str, **fields: Any) -> None:
        """Writes a line regardless of the rate: starts, stops, reloads."""
        self._queue(event, fields)

    def flush(self) -> None:
        """Writes what is queued as far as the reader takes it."""
        while self._lines:
            line = self._lines[0]
            try:
                taken = self._write(line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; nothing here can tell anyone.
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
