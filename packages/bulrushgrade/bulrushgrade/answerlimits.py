"""Bounds on answers of endpoints that are malformed or never end.

An endpoint may send bytes that are no answer until its connection is closed.
The meters of this module count what was received and name the bound that is
exceeded first. They neither read nor close connections.
"""

import enum

MAX_HEAD_BYTES = 65_536
"""Maximum size of an answer's head, with all informational answers before it.
Usual heads have less than 2 KiB; other HTTP clients allow 8 to 256 KiB."""

MAX_HEAD_LINES = 256
"""Maximum number of lines of a head. Each header takes about 300 bytes of
memory beside its text, so that short lines cost more than `MAX_HEAD_BYTES`."""

MAX_FETCHED_BODY_BYTES = 65_536
"""Maximum size of a body that is read but not forwarded as it arrives: errors
and answers to prefills. They usually have less than 1 KiB."""

MAX_FORWARDED_BYTES = 268_435_456
"""Maximum size of a body that is forwarded as it arrives. 256 MiB take 2 s on
a link of 1 Gbit/s, about as long as a request may take."""

FREE_FRAMING_BYTES = 65_536
"""Bytes of chunk sizes and trailers that any answer may have."""

MAX_FRAMING_PER_CONTENT_BYTE = 20
"""Further bytes of chunk sizes for each byte of content. A chunk of one byte
has 5 bytes of framing, and 20 where sizes are padded to 16 digits, so that only
chunk extensions exceed this."""

MAX_REMAINDER_BYTES = 4_096
"""Maximum number of bytes after the end marker of an event stream. Usually
only the last chunk follows, which has five bytes."""


class Limit(enum.Enum):
    """The bounds, with their names in logs and counters."""

    HEAD_BYTES = "head_bytes"
    HEAD_LINES = "head_lines"
    LINE_BYTES = "line_bytes"
    FRAMING_BYTES = "framing_bytes"
    BODY_BYTES = "body_bytes"
    EVENT_BYTES = "event_bytes"
    REMAINDER_BYTES = "remainder_bytes"


class HeadMeter:
    """Counts the lines of a head, and of the informational ones before it."""

    def __init__(self):
        self._bytes = 0
        self._lines = 0

    def observe_line(self, size: int) -> Limit | None:
        """Takes in a line; returns the bound that is exceeded, or None.

        Args:
            size: Bytes of the line with its end.
        """
        self._bytes += size
        self._lines += 1
        if self._bytes > MAX_HEAD_BYTES:
            return Limit.HEAD_BYTES
        if self._lines > MAX_HEAD_LINES:
            return Limit.HEAD_LINES
        return None


class FramingMeter:
    """Counts the bytes of a chunked body that are not its content."""

    def __init__(self):
        self._received = 0
        self._content = 0

    def observe_content(self, size: int) -> None:
        """Takes in bytes of content."""
        self._content += size

    def observe_received(self, size: int) -> Limit | None:
        """Takes in received bytes, after the content that they had.

        Returns:
            The bound that is exceeded, or None.
        """
        self._received += size
        allowed = (
            FREE_FRAMING_BYTES + MAX_FRAMING_PER_CONTENT_BYTE * self._content
        )
        if self._received - self._content > allowed:
            return Limit.FRAMING_BYTES
        return None


class SizeMeter:
    """Counts the bytes of something that has a maximum size."""

    def __init__(self, *, max_bytes: int, limit: Limit):
        """Creates a meter.

        Args:
            max_bytes: The maximum size.
            limit: The bound that is exceeded above it.
        """
        self._max_bytes = max_bytes
        self._limit = limit
        self._bytes = 0

    @property
    def exceeded(self) -> Limit | None:
        """The bound if it is exceeded, or None."""
        return self._limit if self._bytes > self._max_bytes else None

    def observe(self, size: int) -> Limit | None:
        """Takes in bytes; returns the bound if it is exceeded, or None."""
        self._bytes += size
        return self.exceeded


def describe(limit: Limit) -> str:
    """Returns the reason for logs why an answer was not read further."""
    return f"{limit.value} over the limit"
