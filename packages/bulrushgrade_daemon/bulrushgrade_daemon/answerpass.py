"""Passes an endpoint's answer to the caller, whole or event by event."""

from collections.abc import Callable

from twisted.web import http

from bulrushgrade import attempts
from bulrushgrade_daemon import dialect as dialect_module
from bulrushgrade_daemon import inflight

BUFFER_BYTES = 262_144
"""Of an answer that is held until it is whole, so that a torn one can be
replaced. What is longer goes out as it arrives."""

MISDIRECTED_REQUEST = 421
TOO_MANY_REQUESTS = 429
PROMISES_NOT_RUN = frozenset(
    {
        http.REQUEST_TIMEOUT,
        MISDIRECTED_REQUEST,
        TOO_MANY_REQUESTS,
        http.SERVICE_UNAVAILABLE,
    }
)
"""Statuses that tell a caller that its request has not run and will not."""


def is_failure(status: int) -> bool:
    """Tells whether a status says that a run failed."""
    return status >= http.INTERNAL_SERVER_ERROR or status in PROMISES_NOT_RUN


async def take_failure(
    request: inflight.InFlight, dialect: dialect_module.Dialect
) -> inflight.AttemptEnd:
    """Reads an endpoint's failure, to be passed on if nothing better comes."""
    answer = request.call
    parts: list[bytes] = []
    end = await answer.read(parts.append)
    if not end.whole:
        return inflight.AttemptEnd(
            outcome=attempts.Outcome.LOST, reason=end.reason, broke_off=True
        )
    failure = inflight.EndpointFailure(
        status=answer.status,
        fields=dialect.write_answer_fields(answer.headers),
        body=b"".join(parts),
    )
    # To the caller these say that nothing ran, which this endpoint does not
    # say.
    if answer.status in PROMISES_NOT_RUN:
        failure = None
    return inflight.AttemptEnd(
        outcome=attempts.Outcome.FAILED,
        reason=f"status {answer.status}",
        failure=failure,
    )


async def pass_whole(
    request: inflight.InFlight,
    dialect: dialect_module.Dialect,
    on_heard: Callable[[], None],
) -> inflight.AttemptEnd | None:
    """Sends an answer once it is whole, or as it comes if it is long.

    Returns:
        None where the caller has got all of it.
    """
    caller, answer = request.caller, request.call
    held: list[bytes] = []
    size = 0

    def take(data: bytes) -> None:
        nonlocal size
        on_heard()
        size += len(data)
        if request.history.begun:
            caller.write(data)
            return
        held.append(data)
        if size > BUFFER_BYTES:
            _begin(request, dialect)
            caller.write(b"".join(held))

    end = await answer.read(take)
    if not end.whole:
        return inflight.AttemptEnd(
            outcome=attempts.Outcome.LOST, reason=end.reason, broke_off=True
        )
    if caller.is_disconnected:
        return None
    if request.history.begun:
        caller.finish_stream()
    else:
        fields = dialect.write_answer_fields(answer.headers)
        caller.answer(answer.status, fields, b"".join(held))
    return None


async def pass_events(
    request: inflight.InFlight,
    dialect: dialect_module.Dialect,
    on_heard: Callable[[], None],
    on_events: Callable[[int], None],
) -> inflight.AttemptEnd | None:
    """Sends each event as soon as it is whole.

    Args:
        request: Whose answer it is.
        dialect: Translates headers.
        on_heard: Called with each arrival of bytes.
        on_events: Called with how many events came together.

    Returns:
        None where the caller has got all of them.
    """
    caller, splitter, answer = request.caller, request.splitter, request.call
    splitter.drop_partial()
    if request.history.begun:
        caller.set_producer(answer.producer)

    def take(data: bytes) -> None:
        on_heard()
        known_events = splitter.events
        whole = splitter.feed(data)
        if splitter.events > known_events:
            on_events(splitter.events - known_events)
        if splitter.overflowed:
            answer.abort()
        if whole and not caller.is_disconnected:
            if not request.history.begun:
                _begin(request, dialect)
            caller.write(whole)

    end = await answer.read(take)
    if not end.whole or splitter.partial:
        return inflight.AttemptEnd(
            outcome=attempts.Outcome.BROKEN_STREAM,
            reason=end.reason or "ended within an event",
            broke_off=True,
        )
    if caller.is_disconnected:
        return None
    if not request.history.begun:
        _begin(request, dialect)
    caller.finish_stream()
    return None


def _begin(request: inflight.InFlight, dialect: dialect_module.Dialect) -> None:
    request.history.begun = True
    fields = dialect.write_answer_fields(request.call.headers)
    # A caller that reads slowly stops the endpoint instead of filling the
    # memory of this process.
    request.caller.set_producer(request.call.producer)
    request.caller.set_head(request.call.status, fields, None)
