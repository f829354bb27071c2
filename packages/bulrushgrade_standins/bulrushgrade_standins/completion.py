"""Completion requests and answers of the model engine's stand-in."""

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
    """A request that no engine can run.

    Attributes:
        reason: What is wrong with it, for a person.
    """

    reason: str


@attrs.frozen(kw_only=True)
class Message:
    """One message of a chat."""

    role: str
    content: str


@attrs.frozen(kw_only=True)
class KvSource:
    """Where the KV cache of a prompt can be fetched.

    Attributes:
        address: The engine that read the prompt, as ``IP:PORT``.
        handle: The handle that it answered.
    """

    address: str
    handle: str


@attrs.frozen(kw_only=True)
class Completion:
    """A request's fields, named as on the wire."""

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
        """Whether it came with messages."""
        return self.prompt is None

    @property
    def text(self) -> str:
        """What the model reads: the prompt, or the messages line by line."""
        if self.prompt is not None:
            return self.prompt
        return "\n".join(f"{m.role}: {m.content}" for m in self.messages)


def parse_completion(raw: bytes) -> Result[Completion, InvalidCompletion]:
    """Returns the request in a body."""
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

    They depend on the prompt and the token number alone, so that a test can
    tell whether an answer pieced together from several engines is the one
    that a single engine would have given.

    Args:
        prompt: The text that the model reads.
        count: The number after the last token.
        start: The number of the first token.
    """
    return make_tokens(make_seed(prompt), start, count)


def make_seed(prompt: str) -> int:
    """Returns the number that stands for a prompt in `make_tokens`."""
    return xxhash.xxh32_intdigest(prompt.encode())


def make_tokens(seed: int, start: int, stop: int) -> list[str]:
    """Returns the tokens of an answer from one number up to another."""
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
    """Returns one server-sent event; with `usage` it is the last one.

    Written out as text since it is made once a token: an encoder that walks
    nested dicts took several times as long.
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
    """Returns a whole answer."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {"id": attempt, "choices": [choice], "usage": usage}
