"""The streams that one daemon has running at an engine."""

import attrs


@attrs.define(kw_only=True, eq=False)
class Stream:
    """One answer that is being generated.

    Attributes:
        prompt_tokens: Number of tokens of the prompt.
        generated_tokens: Number of tokens generated so far.
        last_event_at: Time of its last event; None before the first.
    """

    prompt_tokens: int
    generated_tokens: int = 0
    last_event_at: float | None = None


class StreamLoad:
    """Streams at one incarnation of an engine."""

    def __init__(self):
        self._streams: set[Stream] = set()
        self._tokens = 0
        self._last_event_at: float | None = None

    @property
    def running(self) -> int:
        """Number of running streams."""
        return len(self._streams)

    @property
    def tokens(self) -> int:
        """Tokens that the streams occupy in the engine's memory."""
        return self._tokens

    def has_recent_event(self, now: float, *, within_s: float) -> bool:
        """Returns whether an event came within the last seconds."""
        return (
            self._last_event_at is not None
            and now - self._last_event_at <= within_s
        )

    def begin(self, stream: Stream) -> None:
        """Adds a stream that was sent to the engine."""
        self._streams.add(stream)
        self._tokens += stream.prompt_tokens

    def record_events(
        self, stream: Stream, count: int, *, event_tokens: int, now: float
    ) -> float | None:
        """Records events of a stream that came together.

        Args:
            stream: The stream.
            count: Number of events.
            event_tokens: Tokens per event.
            now: The present time in seconds.

        Returns:
            The pause before them divided by their number; None for the first.
        """
        generated = count * event_tokens
        stream.generated_tokens += generated
        if stream in self._streams:
            self._tokens += generated
        previous_at, stream.last_event_at = stream.last_event_at, now
        self._last_event_at = now
        return None if previous_at is None else (now - previous_at) / count

    def end(self, stream: Stream) -> None:
        """Removes a stream that has ended or runs elsewhere."""
        if stream in self._streams:
            self._streams.discard(stream)
            self._tokens -= stream.prompt_tokens + stream.generated_tokens
