"""Parses and validates callers' requests for a model."""

from typing import Any

import attrs
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade_daemon import refusal

COMPLETIONS_PATH = "/v1/completions"
CHAT_PATH = "/v1/chat/completions"
# Expected tokens of an answer if the caller sets no limit.
DEFAULT_MAX_TOKENS = 256
MAX_MAX_TOKENS = 1_000_000
# Fields that the daemon sets itself in requests to engines.
RESERVED_FIELDS = frozenset({
    "stream", "priority", "resume_tokens", "kv_export", "kv_import", "model",
    "stream_options",
})  # fmt: skip


@attrs.frozen(kw_only=True)
class CompletionRequest:
    """A request for a model.

    Attributes:
        path: The path it was sent to, for completions or chat completions.
        model: The name of a model, or of a service that offers one.
        text: The complete prompt, used to estimate tokens and to find cached
            prefixes.
        max_tokens: The maximum number of tokens to generate.
        stream: Whether the caller wants a stream of events.
        fields: The caller's fields that are forwarded to the engine unchanged.
    """

    path: str
    model: str
    text: str
    max_tokens: int
    stream: bool
    fields: dict[str, Any]

    @property
    def is_chat(self) -> bool:
        """Whether the answer has the chat completion format."""
        return self.path == CHAT_PATH


def parse_completion(
    raw: bytes, path: str
) -> Result[CompletionRequest, refusal.Refusal]:
    """Parses and validates the JSON body of a request for a model.

    Args:
        raw: The body.
        path: The path that it was sent to.
    """
    try:
        body = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return _refuse(f"the body is not JSON: {error}")
    if not isinstance(body, dict):
        return _refuse("the body must be a JSON object")
    text = _parse_text(body, path)
    if isinstance(text, Failure):
        return text
    model = body.get("model")
    if not isinstance(model, str) or not model:
        return _refuse("'model' must be a non-empty string")
    stream = body.get("stream", False)
    if not isinstance(stream, bool):
        return _refuse("'stream' must be true or false")
    max_tokens = body.get("max_tokens", DEFAULT_MAX_TOKENS)
    if (
        not isinstance(max_tokens, int)
        or isinstance(max_tokens, bool)
        or not 1 <= max_tokens <= MAX_MAX_TOKENS
    ):
        return _refuse(
            f"'max_tokens' must be an integer from 1 to {MAX_MAX_TOKENS}"
        )
    if body.get("n", 1) != 1:
        return _refuse("'n' must be 1: a request has one answer")
    fields = {k: v for k, v in body.items() if k not in RESERVED_FIELDS}
    fields["max_tokens"] = max_tokens
    return Success(
        CompletionRequest(
            path=path,
            model=model,
            text=text.unwrap(),
            max_tokens=max_tokens,
            stream=stream,
            fields=fields,
        )
    )


def _parse_text(
    body: dict[str, Any], path: str
) -> Result[str, refusal.Refusal]:
    if path == COMPLETIONS_PATH:
        prompt = body.get("prompt")
        if not isinstance(prompt, str):
            return _refuse("'prompt' must be a string")
        return Success(prompt)
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return _refuse("'messages' must be a non-empty list")
    parts = []
    for number, message in enumerate(messages):
        if not isinstance(message, dict):
            return _refuse(f"'messages[{number}]' must be an object")
        role, content = message.get("role"), message.get("content")
        if not isinstance(role, str) or not isinstance(content, str):
            return _refuse(
                f"'messages[{number}]' needs 'role' and 'content' as strings"
            )
        parts.append(f"{role}: {content}")
    return Success("\n".join(parts))


def _refuse(message: str) -> Failure[refusal.Refusal]:
    return Failure(refusal.bad_request(message))
