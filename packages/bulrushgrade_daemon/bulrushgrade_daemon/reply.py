"""Writes answers and refusals to callers' HTTP requests."""

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
    """Sets the status and headers of a refusal and returns its body."""
    http_request.setResponseCode(refused.status)
    http_request.setHeader("Content-Type", "application/json")
    after = refusal.format_retry_after(refused)
    if after is not None:
        http_request.setHeader("Retry-After", after)
    return refusal.serialize_refusal(refused)


def forward_answer(http_request: Any, answer: plain.PlainAnswer) -> bytes:
    """Sets the status and headers of a plain answer; returns its body."""
    http_request.setResponseCode(answer.status)
    for name, value in answer.headers:
        http_request.responseHeaders.addRawHeader(name, value)
    return answer.body


class ModelReply:
    """Writes the answer of one model request, streamed or in one piece."""

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
        """Sets the job that the reply belongs to."""
        self._job = job

    def set_flow_control(
        self, *, timers: Any, stall_s: float, on_stall: Callable[[], None]
    ) -> None:
        """Sets up backpressure from the caller's connection to the engine.

        Args:
            timers: The timer service.
            stall_s: How long the caller's buffer may stay full.
            on_stall: Called when it has stayed full for longer. The engine
                slot and the buffers are then freed for other requests.
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
            # The caller does not read its buffer, so a close that waits for
            # the buffer to drain would never complete.
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
        """Writes the next event, or collects it for an unstreamed answer."""
        if not self._completion_request.stream:
            self._last_event = event
            if event.text is not None:
                self._texts.append(event.text)
            return
        if not self._stream_started:
            self._start_stream()
        # The caller sees one id for all events, whichever attempt sent them.
        raw = event.raw.replace(
            event.attempt_id.encode(), self._request_id.encode(), 1
        )
        self._http_request.write(b"data: " + raw + b"\n\n")

    def finish(self, refused: refusal.Refusal | None) -> bytes:
        """Returns the last bytes to write after the request has ended."""
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
        # The status has been sent already. This event and the missing end
        # marker tell the caller that the answer is incomplete.
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
