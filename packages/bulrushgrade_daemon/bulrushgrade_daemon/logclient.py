"""A client of the platform's log service and readers that follow streams."""

from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
import random
from typing import Any

from absl import logging
import attrs
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success
from twisted.internet import defer

from bulrushgrade import record
from bulrushgrade_daemon import clock as clock_module
from bulrushgrade_daemon import httpclient
from bulrushgrade_daemon import task

APPEND_TIMEOUT_S = 2.0
# How long a read waits at the log service for new records (a long poll), and
# how much later the response may arrive before the read times out.
READ_WAIT_S = 5.0
READ_GRACE_S = 2.0
READ_LIMIT = 500
MAX_ANSWER_BYTES = 64 * 1024 * 1024
# The delay after a failed read: short enough to catch up within seconds once
# the log recovers, long enough that hundreds of daemons don't overload it
# again.
RETRY_MIN_S = 0.2
RETRY_MAX_S = 2.0


@attrs.frozen(kw_only=True)
class NotStored:
    """The log certainly did not store an append.

    Attributes:
        reason: The log's response or the connection error.
    """

    reason: str


@attrs.frozen(kw_only=True)
class OutcomeUnknown:
    """An append may or may not have been stored; only a read can tell.

    Attributes:
        reason: How the response was lost.
    """

    reason: str


@attrs.frozen(kw_only=True)
class Unavailable:
    """A read failed or returned an invalid response.

    Attributes:
        reason: What happened.
    """

    reason: str


@attrs.frozen
class _WireRecord:
    offset: int
    id: str
    body: str


@attrs.frozen
class _WirePage:
    records: list[_WireRecord]
    next_offset: int
    earliest_offset: int
    end_offset: int


@attrs.frozen
class _WireOffsets:
    offsets: list[int]


class LogClient:
    """Appends to and reads from the streams of the log service."""

    name = "log"
    requires = ("timer",)

    def __init__(self, *, reactor: Any, address: str):
        """Makes a client.

        Args:
            reactor: The reactor for its connections.
            address: The log service's ``IP:PORT``.
        """
        self._reactor = reactor
        self._base = f"http://{address}/streams"
        # Each long poll occupies a connection; appends must not wait for one.
        self._appends = httpclient.open_client(reactor)
        self._reads = httpclient.open_client(reactor)
        self._counts = {"appended": 0, "append_failed": 0, "read_failed": 0}
        self._reachable = True

    @property
    def counts(self) -> dict[str, int]:
        """The counters, by name."""
        return self._counts

    @property
    def reachable(self) -> bool:
        """Whether the last call got a valid response."""
        return self._reachable

    async def append(
        self, stream: str, appends: Sequence[record.Append]
    ) -> Result[tuple[int, ...], NotStored | OutcomeUnknown]:
        """Appends records in order.

        Args:
            stream: The stream's name.
            appends: The records; one request carries them all.

        Returns:
            Their offsets, or whether they may have been stored.
        """
        body = {
            "records": [
                {"id": a.record_id, "body": a.body.decode()} for a in appends
            ]
        }
        try:
            status, raw = await self._post(stream, msgspec.json.encode(body))
        except Exception as error:
            self._record_result(False, "append_failed")
            if httpclient.was_not_sent(error):
                return Failure(NotStored(reason=str(error)))
            return Failure(OutcomeUnknown(reason=type(error).__name__))
        if status == 429:
            self._record_result(True, "append_failed")
            return Failure(NotStored(reason="the log is over its rate"))
        return self._parse_offsets(status, raw, len(appends))

    async def read(
        self,
        stream: str,
        offset: int,
        *,
        limit: int = READ_LIMIT,
        wait_s: float = 0.0,
    ) -> Result[record.Page, Unavailable]:
        """Reads records from an offset onwards.

        Args:
            stream: The stream's name.
            offset: The first offset to return.
            limit: The largest number of records to return.
            wait_s: How long the log may wait for new records, in seconds.
        """
        url = (
            f"{self._base}/{stream}/records"
            f"?from={offset}&limit={limit}&wait_s={wait_s}"
        )
        try:
            status, raw = await self._wait_for_response(
                httpclient.fetch(
                    self._reads, "GET", url, max_bytes=MAX_ANSWER_BYTES
                ),
                wait_s + READ_GRACE_S,
            )
        except Exception as error:
            self._record_result(False, "read_failed")
            return Failure(Unavailable(reason=type(error).__name__))
        if status != 200:
            self._record_result(False, "read_failed")
            return Failure(Unavailable(reason=f"status {status}"))
        page = parse_page(raw, offset)
        self._record_result(isinstance(page, Success), "read_failed")
        return page

    async def start(self) -> None:
        """Does nothing: connections are opened by the first call."""

    async def stop(self) -> None:
        """Closes the idle connections."""
        await self._appends.pool.closeCachedConnections()
        await self._reads.pool.closeCachedConnections()

    def receive(self, message: Any) -> None:
        """Ignores messages: no service sends any here."""

    def dump(self) -> dict[str, Any]:
        """Returns the counters and whether the log is available."""
        return {"reachable": self._reachable, **self._counts}

    async def _post(self, stream: str, body: bytes) -> tuple[int, bytes]:
        url = f"{self._base}/{stream}/records"
        call = httpclient.fetch(
            self._appends,
            "POST",
            url,
            headers=[("Content-Type", "application/json")],
            body=body,
            max_bytes=MAX_ANSWER_BYTES,
        )
        return await self._wait_for_response(call, APPEND_TIMEOUT_S)

    async def _wait_for_response(
        self, call: Coroutine[Any, Any, tuple[int, bytes]], timeout_s: float
    ) -> tuple[int, bytes]:
        answer = defer.Deferred.fromCoroutine(call)
        return await answer.addTimeout(timeout_s, self._reactor)

    def _parse_offsets(
        self, status: int, raw: bytes, count: int
    ) -> Result[tuple[int, ...], OutcomeUnknown]:
        # Only a well-formed 200 proves that the records are stored. Any other
        # response may come from a proxy after the log has stored them, so only
        # reading the stream can tell.
        try:
            offsets = msgspec.json.decode(raw, type=_WireOffsets).offsets
        except (msgspec.MsgspecError, UnicodeDecodeError):
            offsets = []
        if status != 200 or len(offsets) != count:
            self._record_result(False, "append_failed")
            return Failure(OutcomeUnknown(reason=f"status {status}"))
        self._record_result(True, None)
        self._counts["appended"] += count
        return Success(tuple(offsets))

    def _record_result(self, reachable: bool, counter: str | None) -> None:
        if reachable != self._reachable:
            logging.info(
                "the log is available"
                if reachable
                else "the log is unavailable"
            )
        self._reachable = reachable
        if counter is not None and not reachable:
            self._counts[counter] += 1


def parse_page(raw: bytes, offset: int) -> Result[record.Page, Unavailable]:
    """Parses a response to a read and checks that it is consistent.

    Args:
        raw: The body of the response.
        offset: The offset that was requested.
    """
    try:
        page = msgspec.json.decode(raw, type=_WirePage)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(Unavailable(reason=f"invalid response: {error}"))
    offsets = [entry.offset for entry in page.records]
    # Records out of order would make the folded states of two hosts differ
    # permanently, which no later read could correct.
    ordered = all(a < b for a, b in zip(offsets, offsets[1:], strict=False))
    first_ok = not offsets or offsets[0] >= max(offset, page.earliest_offset)
    last = offsets[-1] + 1 if offsets else max(offset, page.earliest_offset)
    if not (ordered and first_ok and last <= page.next_offset):
        return Failure(
            Unavailable(reason="invalid response: offsets out of order")
        )
    records = tuple(
        record.Record(offset=e.offset, record_id=e.id, body=e.body.encode())
        for e in page.records
    )
    return Success(
        record.Page(
            records=records,
            next_offset=page.next_offset,
            earliest_offset=page.earliest_offset,
            end_offset=page.end_offset,
        )
    )


class LogTail:
    """Follows one stream and passes each page to its owner."""

    def __init__(
        self,
        *,
        log: LogClient,
        timers: clock_module.TimerService,
        stream: str,
        on_page: Callable[[record.Page], None],
        on_broken: Callable[[str], None],
        rng: random.Random,
        offset: int = 0,
    ):
        """Makes a reader that is not yet running.

        Args:
            log: The client to read with.
            timers: The timer service, for delays after a failure.
            stream: The stream to follow.
            on_page: Called with each page in order.
            on_broken: Called with the reason when the loop raises an error.
            rng: Source of jitter.
            offset: The offset to start at.
        """
        self._log = log
        self._timers = timers
        self._stream = stream
        self._on_page = on_page
        self._on_broken = on_broken
        self._rng = rng
        self._offset = offset
        self._caught_up = False
        self._running = False
        self._loop: defer.Deferred | None = None
        self._failures = 0

    @property
    def offset(self) -> int:
        """The next offset to read."""
        return self._offset

    @property
    def caught_up(self) -> bool:
        """Whether the end of the stream has been reached once."""
        return self._caught_up

    def start(self, *, offset: int | None = None) -> None:
        """Starts to follow the stream, from another offset if given."""
        if offset is not None:
            self._offset = offset
        self._running = True
        self._loop = task.spawn(
            self._follow(), name=self._stream, on_broken=self._on_broken
        )

    def seek(self, offset: int) -> None:
        """Continues from another offset after the current read."""
        self._offset = offset

    def stop(self) -> None:
        """Stops the loop at once, also during a read."""
        self._running = False
        if self._loop is not None:
            self._loop.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns the reader's position and state."""
        return {
            "stream": self._stream,
            "offset": self._offset,
            "caught_up": self._caught_up,
            "failures_in_a_row": self._failures,
        }

    async def _follow(self) -> None:
        while self._running:
            wait_s = READ_WAIT_S if self._caught_up else 0.0
            requested_offset = self._offset
            page = await self._log.read(
                self._stream, requested_offset, wait_s=wait_s
            )
            if not self._running:
                return
            if requested_offset != self._offset:
                continue
            if isinstance(page, Failure):
                self._failures += 1
                await self._back_off()
                continue
            self._failures = 0
            self._deliver_page(page.unwrap())
            if self._offset == requested_offset and page.unwrap().records:
                # The owner can't evaluate a record and has moved back before
                # it; reading the same page again without delay would busy-loop.
                self._failures += 1
                await self._back_off()

    def _deliver_page(self, page: record.Page) -> None:
        self._offset = page.next_offset
        self._caught_up = page.next_offset >= page.end_offset
        self._on_page(page)

    async def _back_off(self) -> None:
        ceiling_s = min(RETRY_MAX_S, RETRY_MIN_S * 2 ** min(self._failures, 8))
        delay_s = self._rng.uniform(RETRY_MIN_S, ceiling_s)
        await self._timers.sleep(delay_s)
