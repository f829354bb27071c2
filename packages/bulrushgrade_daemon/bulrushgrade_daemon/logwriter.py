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
class _PendingAppend:
    append: record.Append
    result: defer.Deferred


class LogWriter:
    """Takes single records and appends them together."""

    name = "logwriter"
    requires = ("log",)

    def __init__(self, *, log: logclient.LogClient, kernel: Any):
        self._log = log
        self._kernel = kernel
        self._pending: dict[str, list[_PendingAppend]] = {}
        self._active_streams: set[str] = set()
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
        pending = {s: len(w) for s, w in self._pending.items() if w}
        return {"waiting": pending, "counts": dict(self._counts)}

    def append(self, append: record.Append) -> defer.Deferred:
        """Appends a record with the next batch of its stream.

        Args:
            append: The record.

        Returns:
            Fires with its offset, or with what is known of a failure.
        """
        pending = self._pending.setdefault(append.stream, [])
        if len(pending) >= MAX_PENDING:
            self._counts["overfull"] += 1
            reason = "too many records wait for the log"
            return defer.succeed(Failure(logclient.NotStored(reason=reason)))
        result: defer.Deferred = defer.Deferred()
        pending.append(_PendingAppend(append=append, result=result))
        if append.stream not in self._active_streams:
            self._active_streams.add(append.stream)
            task.spawn(
                self._append_batches(append.stream),
                name=f"append to {append.stream}",
                on_broken=self._kernel.fail,
            )
        return result

    async def _append_batches(self, stream: str) -> None:
        pending = self._pending[stream]
        while pending:
            batch = pending[:MAX_BATCH]
            del pending[:MAX_BATCH]
            self._counts["records"] += len(batch)
            self._counts["requests"] += 1
            result = await self._log.append(
                stream, [each.append for each in batch]
            )
            for number, each in enumerate(batch):
                each.result.callback(_pick_result(result, number))
        self._active_streams.discard(stream)


def _pick_result(result: Any, number: int) -> AppendResult:
    if isinstance(result, Failure):
        return result
    return Success(result.unwrap()[number])
