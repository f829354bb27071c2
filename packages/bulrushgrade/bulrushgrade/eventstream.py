"""Cuts a stream of numbered events at the ends of whole events.

An endpoint that dies may leave half an event behind. Only whole events are
passed on, so that what follows, from this endpoint or another, begins where
an event begins.
"""

MAX_EVENT_BYTES = 262_144
"""The largest event; an endpoint that never ends one would fill the memory."""

_TERMINATORS = (b"\n\n", b"\r\n\r\n")
_ID = b"id:"


class EventSplitter:
    """Takes bytes as they arrive and gives whole events."""

    def __init__(self):
        self._buffer = b""
        self._last_id: str | None = None
        self._events = 0

    @property
    def last_id(self) -> str | None:
        """The id of the last whole event that had one."""
        return self._last_id

    @property
    def events(self) -> int:
        """How many whole events there were."""
        return self._events

    @property
    def partial(self) -> bool:
        """Whether the bytes so far end within an event."""
        return bool(self._buffer.strip())

    @property
    def overflowed(self) -> bool:
        """Whether an event is larger than any event may be."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> bytes:
        """Returns the whole events that these bytes complete."""
        buffered = self._buffer + data
        end = max(
            _end_of_last_event(buffered, terminator)
            for terminator in _TERMINATORS
        )
        whole, self._buffer = buffered[:end], buffered[end:]
        if whole:
            self._note(whole)
        return whole

    def drop_partial(self) -> None:
        """Forgets half an event, before another endpoint goes on."""
        self._buffer = b""

    def _note(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(_ID):
                self._last_id = line[len(_ID) :].strip().decode("latin-1")
                self._events += 1


def _end_of_last_event(data: bytes, terminator: bytes) -> int:
    index = data.rfind(terminator)
    return index + len(terminator) if index >= 0 else 0
