"""Appends records to the log in batches, a stream at a time."""

from typing import Any

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success
from twisted.internet import defer

from bulrushgrade import record
from bulrushgrade_daemon import logclient
from bulrushgrade_daemon import task

# The log takes a few hundred appends a second in all. Records that come while
# one request is under way go together in the next; so many at most, which
# keeps a request far below the log's limit of a second.
MAX_BATCH = 100
# Beyond this the log is not keeping up, and a caller is better told at once.
MAX_PENDING = 1000

AppendResult = Result[int, logclient.NotStored | logclient.OutcomeUnknown]


@attrs.frozen(kw_only=True)
class _Waiting:
    append: record.Append
    stored: defer.Deferred


class LogWriter:
    """Takes single records and appends them together."""

    name = "logwriter"
    requires = ("log",)

    def __init__(self, *, log: logclient.LogClient, kernel: Any):
        self._log = log
        self._kernel = kernel
        self._waiting: dict[str, list[_Waiting]] = {}
        self._busy: set[str] = set()
        self._counts = {"records": 0, "requests": 0, "overfull": 0}

    @property
    def counts(self) -> dict[str, int]:
        """The counters, by name."""
        return self._counts

    async def start(self) -> None:
        """Needs nothing opened."""

    async def stop(self) -> None:
        """Appends nothing more; what waits has been given up by its owners."""

    def receive(self, message: Any) -> None:
        """Takes records whose fate its sender learns by reading the log."""
        if isinstance(message, record.Append):
            self.append(message)

    def dump(self) -> dict[str, Any]:
        """Returns the counters and what waits, by stream."""
        waiting = {s: len(w) for s, w in self._waiting.items() if w}
        return {"waiting": waiting, "counts": dict(self._counts)}

    def append(self, append: record.Append) -> defer.Deferred:
        """Appends a record with the next batch of its stream.

        Args:
            append: The record.

        Returns:
            Fires with its offset, or with what is known of a failure.
        """
        waiting = self._waiting.setdefault(append.stream, [])
        if len(waiting) >= MAX_PENDING:
            self._counts["overfull"] += 1
            reason = "too many records wait for the log"
            return defer.succeed(Failure(logclient.NotStored(reason=reason)))
        stored: defer.Deferred = defer.Deferred()
        waiting.append(_Waiting(append=append, stored=stored))
        if append.stream not in self._busy:
            self._busy.add(append.stream)
            task.spawn(
                self._drain(append.stream),
                name=f"append to {append.stream}",
                on_broken=self._kernel.fail,
            )
        return stored

    async def _drain(self, stream: str) -> None:
        waiting = self._waiting[stream]
        while waiting:
            batch = waiting[:MAX_BATCH]
            del waiting[:MAX_BATCH]
            self._counts["records"] += len(batch)
            self._counts["requests"] += 1
            stored = await self._log.append(
                stream, [each.append for each in batch]
            )
            for number, each in enumerate(batch):
                each.stored.callback(_pick(stored, number))
        self._busy.discard(stream)


def _pick(stored: Any, number: int) -> AppendResult:
    if isinstance(stored, Failure):
        return stored
    return Success(stored.unwrap()[number])
