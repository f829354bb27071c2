"""One attempt at a completion, and the faults injected into its stream."""

from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import defer
from twisted.internet import reactor

from bulrushgrade_standins import batch
from bulrushgrade_standins import completion
from bulrushgrade_standins import ledger
from bulrushgrade_standins import server

_FLUSH_S = 0.01


@attrs.define(kw_only=True)
class StreamFaults:
    """Faults in the answers of an engine.

    Token counts refer to the tokens sent in the attempt, so that a resumed
    answer can be interrupted again.

    Attributes:
        die_after: Tokens after which the connection is reset.
        silent_after: Tokens after which nothing more is sent.
        truncate_after: Tokens after which the answer ends, without its end
            marker but as a complete HTTP message.
        duplicate_at: Index in the attempt of the token whose event is sent
            twice.
        wrong_attempt: Whether to send the answer of another attempt, with its
            id.
        attempts: How many attempts the faults apply to, or None for all.
    """

    die_after: int | None = None
    silent_after: int | None = None
    truncate_after: int | None = None
    duplicate_at: int | None = None
    wrong_attempt: bool = False
    attempts: int | None = None


def consume_faults(faults: StreamFaults) -> StreamFaults:
    """Returns the faults for the next attempt and counts the attempt."""
    if faults.attempts is None:
        return faults
    if faults.attempts <= 0:
        return StreamFaults()
    faults.attempts -= 1
    return attrs.evolve(faults)


class Attempt:
    """An answer in progress and the connection that it is sent on."""

    def __init__(
        self,
        *,
        request: Any,
        wanted: completion.Completion,
        sequence: batch.Sequence,
        run: ledger.Run,
        faults: StreamFaults,
    ):
        self._request = request
        self._wanted = wanted
        self._sequence = sequence
        self._run = run
        self._faults = faults
        self._first = sequence.index
        self._seed = completion.make_seed(sequence.prompt)
        self._sent_id = run.attempt
        if faults.wrong_attempt:
            # Like an answer for another caller, it differs in id and content.
            self._sent_id = f"{run.attempt}-other"
            self._seed = completion.make_seed(self._sent_id)
            request.setHeader("X-Attempt-Id", self._sent_id)
        self._done: defer.Deferred = defer.Deferred()
        self._silent = False

    @property
    def wanted(self) -> completion.Completion:
        """The completion request."""
        return self._wanted

    @property
    def sequence(self) -> batch.Sequence:
        """The sequence of the attempt in the batch."""
        return self._sequence

    @property
    def run(self) -> ledger.Run:
        """The entry of the attempt in the ledger."""
        return self._run

    def watch(
        self, *, on_disconnect: Callable[["Attempt", str], None]
    ) -> defer.Deferred:
        """Returns a Deferred that fires with the last bytes of the answer.

        Args:
            on_disconnect: Called with the attempt and ``cut`` when the caller
                disconnects first.
        """
        self._request.notifyFinish().addErrback(
            lambda _: on_disconnect(self, "cut")
        )
        return self._done

    def write(self, start: int, stop: int) -> str:
        """Sends the tokens of some steps, as far as the faults allow.

        Args:
            start: Index of the first token.
            stop: Index after the last token.

        Returns:
            How the attempt ended, or ``""`` while it is running.
        """
        if self._silent:
            return ""
        cut = self._find_fault()
        sent_until = stop if cut is None else min(stop, cut[0])
        if self._wanted.stream:
            self._send_events(start, sent_until)
        if cut is not None and stop >= cut[0]:
            return self._apply_fault(cut[1])
        if stop < self._sequence.max_tokens:
            return ""
        if self._wanted.stream:
            self._send_final_event()
            self.finish(completion.DONE_EVENT)
        else:
            self.finish(self._make_response())
        return "done"

    def finish(self, rest: bytes) -> None:
        """Ends the answer with its last bytes."""
        if not self._done.called:
            self._done.callback(rest)

    def finish_export(self, handle: str) -> None:
        """Ends the answer with the handle of the exported KV cache."""
        usage = self._make_usage(0)
        value = {"kv_handle": handle, "usage": usage}
        self.finish(server.answer(self._request, value))

    def _find_fault(self) -> tuple[int, str] | None:
        """Returns the index of the first token not sent and the fault kind."""
        faults = self._faults
        points = [
            (self._first + after, kind)
            for after, kind in (
                (faults.die_after, "die"),
                (faults.silent_after, "silent"),
                (faults.truncate_after, "truncate"),
            )
            if after is not None
        ]
        return min(points, default=None)

    def _apply_fault(self, kind: str) -> str:
        if kind == "silent":
            self._silent = True
            return ""
        if kind == "die":
            # A reset discards the transport's buffer, so the data written so
            # far gets time to be sent.
            reactor.callLater(_FLUSH_S, server.abort, self._request)
        elif self._wanted.stream:
            self.finish(b"")
        else:
            whole = self._make_response()
            self.finish(whole[: len(whole) // 2])
        return "cut"

    def _send_events(self, start: int, stop: int) -> None:
        last = self._sequence.max_tokens - 1
        tokens = completion.make_tokens(self._seed, start, stop)
        parts = []
        for index, token in enumerate(tokens, start=start):
            event = completion.make_event(
                attempt=self._sent_id,
                chat=self._wanted.is_chat,
                index=index,
                token=token,
                usage=self._make_usage(last + 1) if index == last else None,
            )
            parts.append(event)
            if index - self._first == self._faults.duplicate_at:
                parts.append(event)
        if parts:
            self._request.setHeader("Content-Type", "text/event-stream")
            self._request.write(b"".join(parts))

    def _send_final_event(self) -> None:
        """Sends the final event if the caller already has all tokens.

        The final event of an earlier attempt was lost, and with it the finish
        reason and the usage.
        """
        count = self._sequence.max_tokens
        if self._first == count:
            self._request.write(
                completion.make_event(
                    attempt=self._sent_id,
                    chat=self._wanted.is_chat,
                    index=count,
                    token="",
                    usage=self._make_usage(count),
                )
            )

    def _make_response(self) -> bytes:
        count = self._sequence.max_tokens
        tokens = completion.make_tokens(self._seed, self._first, count)
        value = completion.make_answer(
            attempt=self._sent_id,
            chat=self._wanted.is_chat,
            text="".join(tokens),
            usage=self._make_usage(count),
        )
        return server.answer(self._request, value)

    def _make_usage(self, completion_tokens: int) -> dict[str, int]:
        return completion.make_usage(
            prompt_tokens=self._sequence.prompt_tokens,
            completion_tokens=completion_tokens,
            cached_tokens=self._sequence.cached_tokens,
        )
