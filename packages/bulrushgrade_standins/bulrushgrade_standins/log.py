"""A stand-in for the platform's log service.

It keeps streams in memory, numbers the records of each stream from 0, limits
the rate of appends, and injects faults that the real service is known for.
"""

from collections.abc import Callable
import time
from typing import Any

import attrs
import klein
import msgspec
from twisted.internet import defer
from twisted.internet import reactor

from bulrushgrade_standins import server

# Its users report several hundred appends per second for the real service.
_APPENDS_PER_S = 400.0
_MAX_PAGE_RECORDS = 1000
_MAX_WAIT_S = 60.0


@attrs.define(kw_only=True)
class LogFaults:
    """Faults of the log service.

    Attributes:
        outage: Answers every request with 503.
        silent: Answers no request.
        nonsense: Answers every request with 200 and bytes that aren't JSON.
        slow_s: Delay of each answer, in seconds; an append takes effect
            before the delay.
        lose_answers: How many of the next appends take effect but get a
            connection reset instead of an answer.
        lose_requests: How many of the next appends get a connection reset
            without taking effect.
        stream: The two faults above apply only to streams whose names start
            with this prefix.
    """

    outage: bool = False
    silent: bool = False
    nonsense: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0
    stream: str = ""


@attrs.define(kw_only=True)
class _Stream:
    earliest: int = 0
    records: list[tuple[str, str]] = attrs.field(factory=list)
    waiting: list[defer.Deferred] = attrs.field(factory=list)

    @property
    def end(self) -> int:
        return self.earliest + len(self.records)


class _AppendLimit:
    """A token bucket that holds one second's worth of appends."""

    def __init__(self, *, per_s: float, clock: Callable[[], float]):
        self._per_s = per_s
        self._clock = clock
        self._tokens = per_s
        self._refilled_at = clock()

    def try_acquire(self, count: int) -> bool:
        now = self._clock()
        refilled = (now - self._refilled_at) * self._per_s
        self._tokens = min(self._per_s, self._tokens + refilled)
        self._refilled_at = now
        if count > self._tokens:
            return False
        self._tokens -= count
        return True


class LogService:
    """The streams and the HTTP app that serves them."""

    def __init__(
        self,
        *,
        appends_per_s: float = _APPENDS_PER_S,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._streams: dict[str, _Stream] = {}
        self._limit = _AppendLimit(per_s=appends_per_s, clock=clock)
        self._faults = LogFaults()
        self._counts = {"appends": 0, "records": 0, "refused": 0, "reads": 0}
        self._app = klein.Klein()
        route = self._app.route
        path = "/streams/<stream>/records"
        route(path, methods=["POST"])(self._post_records)
        route(path, methods=["GET"])(self._get_records)
        route("/trim", methods=["POST"])(self._post_trim)
        route("/counts", methods=["GET"])(self._get_counts)
        server.add_fault_routes(
            app=self._app,
            kind=LogFaults,
            read=lambda: self._faults,
            write=self.set_faults,
        )

    @property
    def app(self) -> klein.Klein:
        """The HTTP app."""
        return self._app

    def set_faults(self, faults: LogFaults) -> None:
        """Replaces the faults in effect."""
        self._faults = faults

    def trim(self, stream: str, offset: int) -> None:
        """Drops the records of a stream before an offset."""
        stored = self._streams.setdefault(stream, _Stream())
        dropped = min(max(0, offset - stored.earliest), len(stored.records))
        del stored.records[:dropped]
        stored.earliest += dropped

    async def _apply_fault(self, request: Any) -> bytes | None:
        """Returns the response that a fault forces, or None."""
        faults = self._faults
        if faults.slow_s:
            await server.sleep(faults.slow_s)
        if faults.silent:
            await server.never_answer()
        if faults.outage:
            return server.answer(request, {"code": "outage"}, code=503)
        if faults.nonsense:
            return b"<nonsense>"
        return None

    async def _post_records(self, request: Any, stream: str) -> Any:
        raw = server.read_json(request)
        faults = self._faults
        if faults.outage or faults.silent or faults.nonsense:
            return await self._apply_fault(request)
        try:
            records = [(r["id"], r["body"]) for r in raw["records"]]
        except (KeyError, TypeError):
            return server.answer(request, {"code": "bad_append"}, code=400)
        is_affected = stream.startswith(faults.stream)
        if is_affected and faults.lose_requests > 0:
            faults.lose_requests -= 1
            return server.abort(request)
        if not self._limit.try_acquire(len(records)):
            self._counts["refused"] += 1
            return server.answer(
                request, {"code": "overload"}, code=429, Retry_After="1"
            )
        offsets = self._append(stream, records)
        if is_affected and faults.lose_answers > 0:
            faults.lose_answers -= 1
            return server.abort(request)
        # A fault that started in the meantime hides the answer of an append
        # that has taken effect, as an outage of a real service would.
        fault_response = await self._apply_fault(request)
        return fault_response or server.answer(request, {"offsets": offsets})

    def _append(self, name: str, records: list[tuple[str, str]]) -> list[int]:
        stream = self._streams.setdefault(name, _Stream())
        first = stream.end
        stream.records.extend(records)
        self._counts["appends"] += 1
        self._counts["records"] += len(records)
        waiting, stream.waiting = stream.waiting, []
        for waiter in waiting:
            waiter.callback(None)
        return list(range(first, stream.end))

    async def _get_records(self, request: Any, stream: str) -> bytes:
        self._counts["reads"] += 1
        try:
            start = int(server.read_number(request, "from", 0))
            limit = int(server.read_number(request, "limit", 100))
            wait_s = server.read_number(request, "wait_s", 0.0)
        except ValueError:
            return server.answer(request, {"code": "bad_read"}, code=400)
        fault_response = await self._apply_fault(request)
        if fault_response is not None:
            return fault_response
        stored = self._streams.setdefault(stream, _Stream())
        if start >= stored.end and wait_s > 0:
            await _wait_for_append(stored, min(wait_s, _MAX_WAIT_S))
            faults = self._faults
            if faults.outage or faults.silent or faults.nonsense:
                return await self._apply_fault(request)
        return server.answer(request, _make_page(stored, start, limit))

    def _post_trim(self, request: Any) -> bytes:
        raw = server.read_json(request) or {}
        try:
            self.trim(raw["stream"], msgspec.convert(raw["offset"], int))
        except (KeyError, msgspec.ValidationError):
            return server.answer(request, {"code": "bad_trim"}, code=400)
        return server.answer(request, {})

    def _get_counts(self, request: Any) -> bytes:
        return server.answer(request, self._counts)


async def _wait_for_append(stream: _Stream, wait_s: float) -> None:
    waiter: defer.Deferred = defer.Deferred()
    stream.waiting.append(waiter)
    timeout = reactor.callLater(wait_s, waiter.callback, None)
    try:
        await waiter
    finally:
        if timeout.active():
            timeout.cancel()
        if waiter in stream.waiting:
            stream.waiting.remove(waiter)


def _make_page(stream: _Stream, start: int, limit: int) -> dict[str, Any]:
    first = max(start, stream.earliest)
    count = max(0, min(limit, _MAX_PAGE_RECORDS))
    index = first - stream.earliest
    page = stream.records[index : index + count]
    records = [
        {"offset": first + i, "id": record_id, "body": body}
        for i, (record_id, body) in enumerate(page)
    ]
    return {
        "records": records,
        "next_offset": first + len(records),
        "earliest_offset": stream.earliest,
        "end_offset": stream.end,
    }
