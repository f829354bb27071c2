"""Writes answers and refusals to callers."""

from collections.abc import Callable
from typing import Any

import msgspec

from bulrushgrade_daemon import engine
from bulrushgrade_daemon import plain
from bulrushgrade_daemon import refusal
from bulrushgrade_daemon import relay
from bulrushgrade_daemon import request
from bulrushgrade_daemon import site

EVENT_STREAM = "text/event-stream"
DONE_EVENT = b"data: [DONE]\n\n"


def refuse(http_request: Any, refused: refusal.Refusal) -> bytes:
    """Sets the head of a refusal and returns its body."""
    http_request.setResponseCode(refused.status)
    http_request.setHeader("Content-Type", "application/json")
    after = refusal.format_retry_after(refused)
    if after is not None:
        http_request.setHeader("Retry-After", after)
    return refusal.serialize_refusal(refused)


def forward_answer(http_request: Any, answer: plain.PlainAnswer) -> bytes:
    """Sets the head of a plain service's answer and returns its body."""
    http_request.setResponseCode(answer.status)
    for name, value in answer.headers:
        http_request.responseHeaders.addRawHeader(name, value)
    return answer.body


class ModelReply:
    """One model answer on its way to a caller, as a stream or whole."""

    def __init__(
        self,
        *,
        http_request: Any,
        request_id: str,
        completion_request: request.CompletionRequest,
    ):
        self._http_request = http_request
        self._request_id = request_id
        self._completion_request = completion_request
        self._job: relay.ModelJob | None = None
        self._texts: list[str] = []
        self._last_event: engine.Event | None = None
        self._stream_started = False
        self._flow_control: site.FlowControl | None = None

    @property
    def _channel(self) -> Any:
        """The caller's connection, or None once the request has ended."""
        return getattr(self._http_request, "channel", None)

    def bind(self, job: relay.ModelJob) -> None:
        """Ties the reply to the request that it answers."""
        self._job = job

    def set_flow_control(
        self, *, timers: Any, stall_s: float, on_stall: Callable[[], None]
    ) -> None:
        """Passes the caller's reading speed on to the engine.

        Args:
            timers: The timer service.
            stall_s: How long a caller may leave its buffer full.
            on_stall: Called when it has for longer: its engine's place and the
                buffers are worth more to others.
        """
        job = self._job
        stall_timer: Any = None

        def pause() -> None:
            nonlocal stall_timer
            job.pause()
            stall_timer = timers.after(stall_s, stall)

        def stall() -> None:
            channel = self._channel
            on_stall()
            # What is in its buffer will not be read, so a close that waits
            # for the buffer would never come.
            if channel is not None:
                channel.forceAbortClient()

        def resume() -> None:
            if stall_timer is not None:
                stall_timer.cancel()
            job.resume()

        def stop() -> None:
            if stall_timer is not None:
                stall_timer.cancel()

        self._flow_control = site.FlowControl(
            pause=pause, resume=resume, stop=stop
        )

    def write_event(self, event: engine.Event) -> None:
        """Takes an event of the answer, in order."""
        if not self._completion_request.stream:
            self._last_event = event
            if event.text is not None:
                self._texts.append(event.text)
            return
        if not self._stream_started:
            self._start_stream()
        # Callers see one id for the whole answer, whichever attempts it took.
        raw = event.raw.replace(
            event.attempt_id.encode(), self._request_id.encode(), 1
        )
        self._http_request.write(b"data: " + raw + b"\n\n")

    def finish(self, refused: refusal.Refusal | None) -> bytes:
        """Returns what is left to write once the request has ended."""
        if self._stream_started and self._channel is not None:
            self._http_request.unregisterProducer()
        if refused is None:
            return (
                DONE_EVENT
                if self._completion_request.stream
                else self._serialize_completion()
            )
        if not self._stream_started:
            return refuse(self._http_request, refused)
        # The status is long sent; the missing end marker and this event tell
        # the caller that the answer is cut.
        return b"data: " + refusal.serialize_refusal(refused) + b"\n\n"

    def _start_stream(self) -> None:
        self._stream_started = True
        self._http_request.setHeader("Content-Type", EVENT_STREAM)
        self._http_request.setHeader("Cache-Control", "no-cache")
        if self._channel is not None:
            self._http_request.registerProducer(self._flow_control, True)

    def _serialize_completion(self) -> bytes:
        self._http_request.setHeader("Content-Type", "application/json")
        text = "".join(self._texts)
        choice: dict[str, Any] = {
            "index": 0,
            "finish_reason": self._last_event.finish_reason,
        }
        if self._completion_request.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return msgspec.json.encode(
            {
                "id": self._request_id,
                "object": (
                    "chat.completion"
                    if self._completion_request.is_chat
                    else "text_completion"
                ),
                "model": self._job.model,
                "choices": [choice],
                "usage": self._last_event.usage,
            }
        )
