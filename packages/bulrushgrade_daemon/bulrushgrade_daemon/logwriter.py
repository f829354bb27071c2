"""Appends records to the log service in batches, one batch per stream."""

from typing import Any

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success
from twisted.internet import defer

from bulrushgrade import record
from bulrushgrade_daemon import logclient
from bulrushgrade_daemon import task

# Maximum number of records in one append request. The log accepts a few hundred
# appends a second in total, so records that arrive while a request is pending
# are sent together in the next one. This batch size keeps a request far below
# the log's time limit of one second.
MAX_BATCH = 100
# Maximum number of pending records of a stream. With more, the log does not
# keep up, and it is better to fail at once.
MAX_PENDING = 1000

AppendResult = Result[int, logclient.NotStored | logclient.OutcomeUnknown]


@attrs.frozen(kw_only=True)
class _PendingAppend:
    append: record.Append
    result: defer.Deferred


class LogWriter:
    """Collects single records and appends them in batches."""

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
        """Does nothing; there is nothing to open."""

    async def stop(self) -> None:
        """Does nothing; the owners of pending records have given them up."""

    def receive(self, message: Any) -> None:
        """Appends a record; its sender learns the result from the log."""
        if isinstance(message, record.Append):
            self.append(message)

    def dump(self) -> dict[str, Any]:
        """Returns the counters and the number of pending records by stream."""
        pending = {s: len(w) for s, w in self._pending.items() if w}
        return {"waiting": pending, "counts": dict(self._counts)}

    def append(self, append: record.Append) -> defer.Deferred:
        """Appends a record with the next batch of its stream.

        Args:
            append: The record.

        Returns:
            Fires with the record's offset, or with the failure.
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
