"""Forwards an endpoint's answer to the caller, whole or event by event."""

from collections.abc import Callable

from twisted.web import http

from bulrushgrade import answerlimits
from bulrushgrade import attempts
from bulrushgrade import eventstream
from bulrushgrade_daemon import dialect as dialect_module
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import outbound

MAX_BUFFERED_BYTES = 262_144
"""Answers up to this size are buffered until complete, so that a truncated one
can be replaced by a retry. Longer ones are forwarded as they arrive."""

MISDIRECTED_REQUEST = 421
TOO_MANY_REQUESTS = 429
NOT_RUN_STATUSES = frozenset(
    {
        http.REQUEST_TIMEOUT,
        MISDIRECTED_REQUEST,
        TOO_MANY_REQUESTS,
        http.SERVICE_UNAVAILABLE,
    }
)
"""Statuses that tell a caller that its request has not run and won't run."""


def is_failure(status: int) -> bool:
    """Returns whether a status means that the request failed."""
    return status >= http.INTERNAL_SERVER_ERROR or status in NOT_RUN_STATUSES


async def read_failure(
    request: inflight.InFlight, dialect: dialect_module.Dialect
) -> inflight.AttemptEnd:
    """Reads an error answer, which is forwarded if no retry succeeds."""
    answer = request.endpoint_answer
    parts: list[bytes] = []
    end = await outbound.read_up_to(
        answer, parts.append, max_bytes=answerlimits.MAX_FETCHED_BODY_BYTES
    )
    if not end.whole:
        return _make_lost(end)
    failure = inflight.EndpointFailure(
        status=answer.status,
        fields=dialect.write_answer_fields(answer.headers),
        body=b"".join(parts),
    )
    # These would tell the caller that nothing ran, which the endpoint did
    # not guarantee.
    if answer.status in NOT_RUN_STATUSES:
        failure = None
    return inflight.AttemptEnd(
        outcome=attempts.Outcome.FAILED,
        reason=f"status {answer.status}",
        failure=failure,
    )


async def forward_whole(
    request: inflight.InFlight,
    dialect: dialect_module.Dialect,
    on_arrival: Callable[[], None],
) -> inflight.AttemptEnd | None:
    """Forwards an answer once it is complete, or as it arrives if it is long.

    Returns:
        None if the caller got the complete answer.
    """
    caller, answer = request.caller, request.endpoint_answer
    buffered: list[bytes] = []
    size = 0

    def receive(data: bytes) -> None:
        nonlocal size
        on_arrival()
        size += len(data)
        if request.history.begun:
            caller.write(data)
            return
        buffered.append(data)
        if size > MAX_BUFFERED_BYTES:
            _begin_answer(request, dialect)
            caller.write(b"".join(buffered))

    end = await outbound.read_up_to(
        answer, receive, max_bytes=answerlimits.MAX_FORWARDED_BYTES
    )
    if not end.whole:
        return _make_lost(end)
    if caller.is_disconnected:
        return None
    if request.history.begun:
        caller.finish_stream()
    else:
        fields = dialect.write_answer_fields(answer.headers)
        caller.answer(answer.status, fields, b"".join(buffered))
    return None


async def forward_events(
    request: inflight.InFlight,
    dialect: dialect_module.Dialect,
    *,
    on_begin: Callable[[], None],
    on_arrival: Callable[[], None],
    on_events: Callable[[int], None],
) -> inflight.AttemptEnd | None:
    """Forwards each event as soon as it is complete.

    Args:
        request: The request that is answered.
        dialect: Translates headers.
        on_begin: Called before the caller gets the first byte.
        on_arrival: Called for each chunk of bytes.
        on_events: Called with the number of events that arrived together.

    Returns:
        None if the caller got all events.
    """
    caller, splitter, answer = (
        request.caller,
        request.splitter,
        request.endpoint_answer,
    )
    splitter.drop_partial()
    if request.history.begun:
        caller.set_producer(answer.producer)

    def receive(data: bytes) -> None:
        on_arrival()
        known_events, was_over = splitter.events, splitter.overflowed
        whole = splitter.feed(data)
        if splitter.events > known_events:
            on_events(splitter.events - known_events)
        if splitter.overflowed and not was_over:
            answer.abort_over_limit(answerlimits.Limit.EVENT_BYTES)
        if whole and not caller.is_disconnected:
            if not request.history.begun:
                on_begin()
                _begin_answer(request, dialect)
            caller.write(whole)

    end = await outbound.read_up_to(
        answer, receive, max_bytes=answerlimits.MAX_FORWARDED_BYTES
    )
    if not end.whole or splitter.partial:
        return _make_broken_stream(end, splitter)
    if caller.is_disconnected:
        return None
    if not request.history.begun:
        on_begin()
        _begin_answer(request, dialect)
    caller.finish_stream()
    return None


def _make_lost(end: outbound.BodyEnd) -> inflight.AttemptEnd:
    return inflight.AttemptEnd(
        outcome=attempts.Outcome.LOST,
        reason=end.reason,
        connection_lost=end.is_connection_lost,
    )


def _make_broken_stream(
    end: outbound.BodyEnd, splitter: eventstream.EventSplitter
) -> inflight.AttemptEnd:
    reason = end.reason or "ended within an event"
    if splitter.overflowed:
        reason = answerlimits.describe(answerlimits.Limit.EVENT_BYTES)
    return inflight.AttemptEnd(
        outcome=attempts.Outcome.BROKEN_STREAM,
        reason=reason,
        connection_lost=end.limit is None and not splitter.overflowed,
    )


def _begin_answer(
    request: inflight.InFlight, dialect: dialect_module.Dialect
) -> None:
    request.history.begun = True
    fields = dialect.write_answer_fields(request.endpoint_answer.headers)
    # A caller that reads slowly pauses the endpoint instead of filling the
    # memory of this process.
    request.caller.set_producer(request.endpoint_answer.producer)
    request.caller.set_head(request.endpoint_answer.status, fields, None)
