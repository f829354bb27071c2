"""Splits a stream of numbered events into complete events.

An endpoint that dies may leave a partial event. Only complete events are passed
on, so that what follows, from this endpoint or another, starts at the beginning
of an event.
"""

MAX_EVENT_BYTES = 262_144
"""Largest size of an event. Without it an endpoint that never ends an event
would fill the memory."""

_TERMINATORS = (b"\n\n", b"\r\n\r\n")
_ID = b"id:"


class EventSplitter:
    """Takes chunks of bytes and returns complete events."""

    def __init__(self):
        self._buffer = b""
        self._last_id: str | None = None
        self._events = 0

    @property
    def last_id(self) -> str | None:
        """The id of the last complete event that had one."""
        return self._last_id

    @property
    def events(self) -> int:
        """The number of complete events with an id."""
        return self._events

    @property
    def partial(self) -> bool:
        """Whether the stream so far ends within an event."""
        return bool(self._buffer.strip())

    @property
    def overflowed(self) -> bool:
        """Whether the partial event exceeds `MAX_EVENT_BYTES`."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> bytes:
        """Returns the events that this chunk completes."""
        buffered = self._buffer + data
        end = max(
            _end_of_last_event(buffered, terminator)
            for terminator in _TERMINATORS
        )
        complete, self._buffer = buffered[:end], buffered[end:]
        if complete:
            self._note(complete)
        return complete

    def drop_partial(self) -> None:
        """Drops a partial event, before another endpoint continues."""
        self._buffer = b""

    def _note(self, complete: bytes) -> None:
        for line in complete.splitlines():
            if line.startswith(_ID):
                self._last_id = line[len(_ID) :].strip().decode("latin-1")
                self._events += 1


def _end_of_last_event(data: bytes, terminator: bytes) -> int:
    index = data.rfind(terminator)
    return index + len(terminator) if index >= 0 else 0
