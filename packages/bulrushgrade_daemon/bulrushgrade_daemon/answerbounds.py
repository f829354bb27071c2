"""Bounds what Twisted's parser reads of a response beside its content.

The parser bounds the length of a line and of a chunk size, but not the number
of lines, of informational responses and of chunk extensions.
"""

from collections.abc import Callable
from typing import Any

from twisted.web import http

from bulrushgrade import answerlimits

MAX_TRAILER_BYTES = 8_192
"""Maximum size of trailers, which are not forwarded. Twisted allows 64 KiB,
which took 580 KB of memory as lines of 8 bytes."""

OnExceeded = Callable[[answerlimits.Limit], None]


class LimitExceededError(Exception):
    """A response exceeds a bound."""

    def __init__(self, limit: answerlimits.Limit):
        super().__init__(answerlimits.describe(limit))
        self.limit = limit


class _ChunkDecoder(http._ChunkedTransferDecoder):
    """Decodes a chunked body and bounds the bytes that are not content."""

    def __init__(
        self,
        data_callback: Callable[[bytes], None],
        finish_callback: Callable[[bytes], None],
        on_exceeded: OnExceeded,
    ):
        super().__init__(self._deliver, finish_callback)
        self._maxTrailerHeadersSize = MAX_TRAILER_BYTES
        self._deliver_content = data_callback
        self._on_exceeded = on_exceeded
        self._meter = answerlimits.FramingMeter()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Decodes received bytes."""
        try:
            super().dataReceived(data)
        except http._MalformedChunkedDataError:
            if _is_too_long(self):
                self._exceed(answerlimits.Limit.FRAMING_BYTES)
            raise
        limit = self._meter.observe_received(len(data))
        if limit is not None and self.state != "FINISHED":
            self._exceed(limit)

    def _deliver(self, data: bytes) -> None:
        self._meter.observe_content(len(data))
        self._deliver_content(data)

    def _exceed(self, limit: answerlimits.Limit) -> None:
        self._on_exceeded(limit)
        raise LimitExceededError(limit)


def _is_too_long(decoder: _ChunkDecoder) -> bool:
    """Returns whether a chunk size or trailers exceeded Twisted's bounds."""
    if decoder.state == "TRAILER":
        return True
    line_end = decoder._buffer.find(b"\r\n")
    line_bytes = len(decoder._buffer) if line_end < 0 else line_end
    is_size = decoder.state == "CHUNK_LENGTH"
    return is_size and line_bytes >= http.maxChunkSizeLineLength


def limit_parser(parser: Any, on_exceeded: OnExceeded) -> None:
    """Makes a parser fail at a response that exceeds a bound.

    Args:
        parser: Twisted's parser of one response, which has read nothing yet.
            There is no public way to choose its class.
        on_exceeded: Called with the bound before the parser fails.
    """
    meter = answerlimits.HeadMeter()
    handle_line = parser.lineReceived

    def exceed(limit: answerlimits.Limit) -> None:
        on_exceeded(limit)
        raise LimitExceededError(limit)

    def receive_line(line: bytes) -> None:
        limit = meter.observe_line(len(line) + len(parser.delimiter))
        if limit is not None:
            exceed(limit)
        handle_line(line)

    def make_decoder(
        data_callback: Callable[[bytes], None],
        finish_callback: Callable[[bytes], None],
    ) -> _ChunkDecoder:
        return _ChunkDecoder(data_callback, finish_callback, on_exceeded)

    parser.lineReceived = receive_line
    parser.lineLengthExceeded = lambda line: exceed(
        answerlimits.Limit.LINE_BYTES
    )
    parser._transferDecoders = {b"chunked": make_decoder}


def find_limit(failure: Any) -> answerlimits.Limit | None:
    """Returns the bound that a failure of a response is due to, or None."""
    if failure.check(LimitExceededError):
        return failure.value.limit
    reasons = getattr(failure.value, "reasons", None) or ()
    found = (find_limit(reason) for reason in reasons if reason is not None)
    return next((limit for limit in found if limit is not None), None)
