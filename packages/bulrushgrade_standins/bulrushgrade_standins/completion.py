"""Completion requests and answers of the stand-in model engine."""

from typing import Any

import attrs
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success
import xxhash

_DEFAULT_MAX_TOKENS = 16


@attrs.frozen(kw_only=True)
class InvalidCompletion:
    """An invalid completion request.

    Attributes:
        reason: A human-readable description of the error.
    """

    reason: str


@attrs.frozen(kw_only=True)
class Message:
    """One message of a chat."""

    role: str
    content: str


@attrs.frozen(kw_only=True)
class KvSource:
    """The engine and handle to fetch the KV cache of a prompt with.

    Attributes:
        address: The engine that prefilled the prompt, as ``IP:PORT``.
        handle: The handle that the engine returned.
    """

    address: str
    handle: str


@attrs.frozen(kw_only=True)
class Completion:
    """The fields of a completion request, named as on the wire."""

    model: str = ""
    prompt: str | None = None
    messages: tuple[Message, ...] = ()
    max_tokens: int = _DEFAULT_MAX_TOKENS
    stream: bool = False
    priority: int = 0
    resume_tokens: int = 0
    kv_export: bool = False
    kv_import: KvSource | None = None

    @property
    def is_chat(self) -> bool:
        """Whether this is a chat request, which has messages."""
        return self.prompt is None

    @property
    def text(self) -> str:
        """The input of the model: the prompt, or one line per message."""
        if self.prompt is not None:
            return self.prompt
        return "\n".join(f"{m.role}: {m.content}" for m in self.messages)


def parse_completion(raw: bytes) -> Result[Completion, InvalidCompletion]:
    """Parses the body of a completion request."""
    try:
        parsed = msgspec.json.decode(raw, type=Completion)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(InvalidCompletion(reason=str(error)))
    if parsed.prompt is None and not parsed.messages:
        return Failure(InvalidCompletion(reason="neither prompt nor messages"))
    if not 0 <= parsed.resume_tokens <= parsed.max_tokens:
        return Failure(InvalidCompletion(reason="resume_tokens out of range"))
    return Success(parsed)


def expected_tokens(prompt: str, count: int, *, start: int = 0) -> list[str]:
    """Returns the tokens of the answer to a prompt.

    They depend only on the prompt and the token index, so that a test can
    check that an answer assembled from several engines is the one that a
    single engine would have given.

    Args:
        prompt: The input of the model.
        count: Index after the last token.
        start: Index of the first token.
    """
    return make_tokens(make_seed(prompt), start, count)


def make_seed(prompt: str) -> int:
    """Returns the seed of a prompt for `make_tokens`."""
    return xxhash.xxh32_intdigest(prompt.encode())


def make_tokens(seed: int, start: int, stop: int) -> list[str]:
    """Returns the tokens of an answer from one index up to another."""
    return [
        f" {xxhash.xxh32_intdigest(index.to_bytes(4, 'big'), seed):08x}"
        for index in range(start, stop)
    ]


def make_usage(
    *, prompt_tokens: int, completion_tokens: int, cached_tokens: int
) -> dict[str, int]:
    """Returns the usage object of an answer."""
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
        "cached_tokens": cached_tokens,
    }


def make_event(
    *, attempt: str, chat: bool, index: int, token: str, usage: dict | None
) -> bytes:
    """Returns one server-sent event; the last one has `usage`.

    The JSON is formatted as text because this runs once per token, and an
    encoder that walks nested dicts took several times as long.
    """
    if chat:
        content = f'"delta":{{"content":"{token}"}}'
    else:
        content = f'"text":"{token}"'
    finish, used = "null", "null"
    if usage is not None:
        finish, used = '"length"', msgspec.json.encode(usage).decode()
    return (
        f'data: {{"id":"{attempt}","index":{index},"choices":[{{"index":0,'
        f'{content},"finish_reason":{finish}}}],"usage":{used}}}\n\n'
    ).encode()


DONE_EVENT = b"data: [DONE]\n\n"


def make_answer(
    *, attempt: str, chat: bool, text: str, usage: dict
) -> dict[str, Any]:
    """Returns the body of an answer that is not streamed."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {"id": attempt, "choices": [choice], "usage": usage}
