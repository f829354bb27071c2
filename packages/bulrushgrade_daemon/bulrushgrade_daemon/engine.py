"""The adapter to model engines: event streams, prefills and load reports.

Everything that depends on the engines' wire format is in this module.
"""

from collections.abc import Callable
from typing import Any

import attrs
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success
from twisted.internet import defer
from twisted.internet import protocol
from twisted.python import failure as twisted_failure
from twisted.web import client as web_client

from bulrushgrade import answerlimits
from bulrushgrade_daemon import answerwatch
from bulrushgrade_daemon import httpclient

ATTEMPT_HEADER = "X-Attempt-Id"
REQUEST_HEADER = "X-Request-Id"
NOT_STARTED_HEADER = "X-Not-Started"
EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
END_MARKER = b"[DONE]"
# An event is one token with its JSON envelope, so anything larger is invalid.
MAX_EVENT_BYTES = 1 << 20
# Timeout of control calls, as opposed to model requests.
CONTROL_TIMEOUT_S = 2.0


@attrs.frozen(kw_only=True)
class EngineCall:
    """One attempt to run a request on an engine.

    Attributes:
        attempt_id: Unique for this attempt.
        request_id: The caller's request.
        address: The engine's ``IP:PORT``.
        path: ``/v1/completions`` or ``/v1/chat/completions``.
        body: The JSON body for the engine.
    """

    attempt_id: str
    request_id: str
    address: str
    path: str
    body: dict[str, Any]


@attrs.frozen(kw_only=True)
class Event:
    """One event of a stream.

    Attributes:
        attempt_id: The attempt that the event names.
        index: The index of its token.
        text: The token, or None if the event carries none.
        finish_reason: Why the answer is finished, or None while it is not.
        usage: The token counts, in the last event.
        raw: The event's JSON as received.
    """

    attempt_id: str
    index: int
    text: str | None
    finish_reason: str | None
    usage: dict[str, Any] | None
    raw: bytes


@attrs.frozen(kw_only=True)
class Ended:
    """The stream ended with its end marker."""


@attrs.frozen(kw_only=True)
class NotStarted:
    """The endpoint did not start the attempt and never will.

    Attributes:
        reason: How that is known.
        answered: Whether the endpoint reported it; if not, no byte of the
            request was written.
        retry_after_s: After how many seconds it asks to be tried again.
    """

    reason: str
    answered: bool = False
    retry_after_s: float | None = None


@attrs.frozen(kw_only=True)
class Rejected:
    """The engine rejected the request as invalid.

    Attributes:
        status: The HTTP status of its answer.
        message: The beginning of its answer.
    """

    status: int
    message: str


@attrs.frozen(kw_only=True)
class Lost:
    """The attempt failed; whether it ran, fully or in part, is unknown.

    Attributes:
        reason: How it failed.
    """

    reason: str


StreamOutcome = Ended | NotStarted | Rejected | Lost


@attrs.frozen
class EngineLoad:
    """An engine's report of its load and state, which may be outdated.

    Attributes:
        role: ``prefill``, ``decode`` or ``mixed``.
        model: The model that it serves.
        state: ``serving``, ``draining``, ``changing`` or ``down``.
        version: The model's version.
        adapters: The loaded adapters.
        running: Attempts in its batch.
        queued: Attempts that wait for a slot in the batch.
        prefill_backlog_tokens: Prompt tokens that are not yet prefilled.
        kv_used: KV cache in use, in tokens.
        kv_capacity: Total KV cache, in tokens.
        age_s: The age of the values, in seconds.
        order_id: The order that it executed last.
        term: The fencing token of that order.
    """

    role: str
    model: str
    state: str
    version: str = ""
    adapters: list[str] = attrs.field(factory=list)
    running: int = 0
    queued: int = 0
    prefill_backlog_tokens: float = 0
    kv_used: float = 0
    kv_capacity: float = 0
    age_s: float = 0.0
    order_id: str | None = None
    term: int | None = None


@attrs.frozen
class _Delta:
    content: str | None = None


@attrs.frozen
class _Choice:
    text: str | None = None
    delta: _Delta | None = None
    finish_reason: str | None = None


@attrs.frozen
class _WireEvent:
    id: str
    index: int
    choices: list[_Choice]
    usage: dict[str, Any] | None = None


_decode_event = msgspec.json.Decoder(_WireEvent).decode


def parse_event(raw: bytes) -> Result[Event, Lost]:
    """Parses the JSON of one event."""
    try:
        wire = _decode_event(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(Lost(reason=f"bad event: {error}"))
    if not wire.choices:
        return Failure(Lost(reason="event without choices"))
    choice = wire.choices[0]
    text = choice.text if choice.delta is None else choice.delta.content
    return Success(
        Event(
            attempt_id=wire.id,
            index=wire.index,
            text=text or None,
            finish_reason=choice.finish_reason,
            usage=wire.usage,
            raw=raw,
        )
    )


class EngineStream(protocol.Protocol):
    """Parses one event stream and reports how it ended.

    The owner may pause it, which stops reading from the engine, or end it,
    after which no more events are delivered.
    """

    def __init__(self, *, on_event: Callable[[Event], bool]):
        """Makes a stream that is not connected yet.

        Args:
            on_event: Called with each event; returns whether to continue.
        """
        self._on_event = on_event
        self._buffer = b""
        self._outcome: StreamOutcome | None = None
        self._remainder = answerlimits.SizeMeter(
            max_bytes=answerlimits.MAX_REMAINDER_BYTES,
            limit=answerlimits.Limit.REMAINDER_BYTES,
        )
        self._connection: Any = None
        self._closing: Any = None
        self._is_closed = False
        self.done: defer.Deferred = defer.Deferred()

    @property
    def outcome(self) -> StreamOutcome | None:
        """How the stream ended, or None while it is open."""
        return self._outcome

    def pause(self) -> None:
        """Stops reading; the engine's sends block once buffers are full."""
        if self._outcome is None and self.transport is not None:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Continues to read."""
        if self._outcome is None and self.transport is not None:
            self.transport.resumeProducing()

    def end(self, outcome: StreamOutcome) -> None:
        """Ends the stream with an outcome; later calls have no effect."""
        if self._outcome is not None:
            return
        self._outcome = outcome
        if self.transport is not None and not isinstance(outcome, Ended):
            self.transport.loseConnection()
        self.done.callback(outcome)

    def read(self, response: Any) -> None:
        """Reads the body of a response of `httpclient.send`."""
        # The transport of a body doesn't know its peer.
        self._connection = response.connection
        response.deliverBody(self)

    def close_after(self, reactor: Any, delay_s: float) -> None:
        """Closes the connection after a time unless the answer ends before.

        An engine may send an end marker and then no end of its answer.
        """
        if not self._is_closed:
            self._closing = reactor.callLater(delay_s, self._close)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses the events in bytes from the engine."""
        if self._outcome is not None:
            self._count_remainder(data)
            return
        events = (self._buffer + data).split(EVENT_END)
        self._buffer = events.pop()
        for event in events:
            self._handle_event(event)
            if self._outcome is not None:
                return
        if len(self._buffer) > MAX_EVENT_BYTES:
            self._buffer = b""
            self._observe_limit(answerlimits.Limit.EVENT_BYTES)
            self.end(Lost(reason="event too large"))

    def connectionLost(  # noqa: N802
        self, reason: twisted_failure.Failure = protocol.connectionDone
    ) -> None:
        """Ends the stream as lost unless its end marker has arrived."""
        # An engine that crashes or truncates its answer closes the connection
        # like one that has finished; only the end marker distinguishes them.
        self._is_closed = True
        if self._closing is not None and self._closing.active():
            self._closing.cancel()
        self.end(Lost(reason="stream ended without its end marker"))

    def _count_remainder(self, data: bytes) -> None:
        if self._remainder.exceeded is not None:
            return
        limit = self._remainder.observe(len(data))
        if limit is not None:
            self._observe_limit(limit)
            self._close()

    def _observe_limit(self, limit: answerlimits.Limit) -> None:
        if self._connection is not None:
            answerwatch.observe(limit, self._connection.transport)

    def _close(self) -> None:
        self.transport.loseConnection()

    def _handle_event(self, event: bytes) -> None:
        if not event.startswith(DATA_PREFIX):
            return
        raw = event[len(DATA_PREFIX) :]
        if raw == END_MARKER:
            self.end(Ended())
            return
        parsed = parse_event(raw)
        if isinstance(parsed, Failure):
            self.end(parsed.failure())
        elif not self._on_event(parsed.unwrap()):
            self.end(Lost(reason="gap in the event stream"))


class EngineClient:
    """Sends attempts and control calls to engines."""

    name = "engines"
    requires = ("timer",)

    def __init__(self, *, reactor: Any):
        self._reactor = reactor
        self._requests = httpclient.open_client(reactor)
        self._control = httpclient.open_client(reactor)
        self._cancelled = 0

    async def start(self) -> None:
        """Does nothing; connections are opened by the first call."""

    async def stop(self) -> None:
        """Closes the idle connections."""
        await self._requests.pool.closeCachedConnections()
        await self._control.pool.closeCachedConnections()

    def receive(self, message: Any) -> None:
        """Ignores messages; none are sent to this service."""

    def dump(self) -> dict[str, Any]:
        """Returns the counters."""
        return {"cancelled": self._cancelled}

    async def run_stream(
        self, call: EngineCall, stream: EngineStream
    ) -> StreamOutcome:
        """Sends an attempt and delivers its stream until it ends.

        The owner may end the stream at any time, even before the engine has
        answered.
        """
        sent = self._send(call)
        # When the owner ends the stream (on a timeout, or if the caller
        # disconnects), it must not wait for an engine that never answers.
        stream.done.addCallback(_cancel_request, sent)
        try:
            response = await sent
        except Exception as error:
            stream.end(_outcome_from_error(error))
            return stream.outcome
        if stream.outcome is not None:
            return stream.outcome
        if response.code != 200:
            stream.end(await self._read_refusal(response))
            return stream.outcome
        stream.read(response)
        if stream.outcome is None:
            await _wait_for(stream.done)
        stream.close_after(self._reactor, CONTROL_TIMEOUT_S)
        return stream.outcome

    async def prefill(
        self, call: EngineCall, timeout_s: float
    ) -> Result[str, StreamOutcome]:
        """Runs the prefill of a request and returns its KV cache handle."""
        answer = defer.Deferred.fromCoroutine(self._prefill(call))
        try:
            return await answer.addTimeout(timeout_s, self._reactor)
        except defer.TimeoutError:
            return Failure(Lost(reason="prefill timed out"))

    def cancel(self, address: str, attempt_id: str) -> None:
        """Asks an engine to cancel an attempt, without waiting for an answer.

        Usually, closing the connection is enough. But an engine whose
        connection silently drops all packets learns of it only through this
        call, on another connection.
        """
        self._cancelled += 1
        url = f"http://{address}/v1/attempts/{attempt_id}"
        call = defer.Deferred.fromCoroutine(
            httpclient.fetch(self._control, "DELETE", url)
        )
        call.addTimeout(CONTROL_TIMEOUT_S, self._reactor)
        call.addErrback(lambda _: None)

    async def read_load(self, address: str) -> Result[EngineLoad, Lost]:
        """Requests an engine's report of its load and state."""
        try:
            call = defer.Deferred.fromCoroutine(
                httpclient.fetch(self._control, "GET", f"http://{address}/load")
            )
            _, raw = await call.addTimeout(CONTROL_TIMEOUT_S, self._reactor)
            return Success(msgspec.json.decode(raw, type=EngineLoad))
        except Exception as error:
            return Failure(Lost(reason=type(error).__name__))

    def _send(self, call: EngineCall) -> defer.Deferred:
        return httpclient.send(
            self._requests,
            "POST",
            f"http://{call.address}{call.path}",
            headers=(
                ("Content-Type", "application/json"),
                (ATTEMPT_HEADER, call.attempt_id),
                (REQUEST_HEADER, call.request_id),
            ),
            body=msgspec.json.encode(call.body),
        )

    async def _prefill(self, call: EngineCall) -> Result[str, StreamOutcome]:
        try:
            response = await self._send(call)
            if response.code != 200:
                return Failure(await self._read_refusal(response))
            raw = await httpclient.read_body(
                response, max_bytes=answerlimits.MAX_FETCHED_BODY_BYTES
            )
            answer = msgspec.json.decode(raw)
            return Success(str(answer["kv_handle"]))
        except Exception as error:
            return Failure(_outcome_from_error(error))

    async def _read_refusal(self, response: Any) -> StreamOutcome:
        try:
            body = defer.Deferred.fromCoroutine(
                httpclient.read_body(
                    response, max_bytes=answerlimits.MAX_FETCHED_BODY_BYTES
                )
            ).addTimeout(CONTROL_TIMEOUT_S, self._reactor)
            message = (await body)[:500].decode(errors="replace")
        except Exception as error:
            message = type(error).__name__
        if response.headers.hasHeader(NOT_STARTED_HEADER):
            after = response.headers.getRawHeaders("Retry-After", ["1"])[0]
            return NotStarted(
                reason=f"engine refused with {response.code}",
                answered=True,
                retry_after_s=_parse_seconds(after),
            )
        if 400 <= response.code < 500:
            return Rejected(status=response.code, message=message)
        return Lost(reason=f"engine answered {response.code}")


def _cancel_request(outcome: Any, sent: defer.Deferred) -> Any:
    sent.cancel()
    return outcome


async def _wait_for(done: defer.Deferred) -> None:
    waiter: defer.Deferred = defer.Deferred()

    def fired(outcome: Any) -> Any:
        waiter.callback(None)
        return outcome

    done.addCallback(fired)
    await waiter


def _parse_seconds(text: str) -> float | None:
    try:
        return max(0.0, float(text))
    except ValueError:
        return None


def _outcome_from_error(error: Exception) -> StreamOutcome:
    if httpclient.was_not_sent(error):
        return NotStarted(reason=f"not sent: {error}")
    if isinstance(error, web_client.ResponseNeverReceived):
        return Lost(reason="connection lost before an answer")
    return Lost(reason=type(error).__name__)
