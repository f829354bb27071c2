"""Serialization of typed messages.

A codec supports a closed set of attrs classes. A message is serialized as a
JSON object ``{"kind": CLASS_NAME, "data": {...}}``, so that an older release
can distinguish a kind that it does not support from a malformed message.
"""

from collections.abc import Iterable
from typing import Any

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade import errors


class Codec:
    """Serializes and parses the messages of one closed set of kinds."""

    def __init__(self, *, kinds: Iterable[type]):
        self._kinds = {kind.__name__: kind for kind in kinds}
        self._encoder = msgspec.json.Encoder()

    def serialize(self, message: Any) -> bytes:
        """Serializes a message to bytes.

        Args:
            message: An instance of one of the codec's kinds.

        Raises:
            errors.BrokenInvariantError: The codec does not support the kind.
        """
        kind = type(message).__name__
        if kind not in self._kinds:
            raise errors.BrokenInvariantError(f"codec has no kind {kind}")
        return self._encoder.encode({"kind": kind, "data": message})

    def parse(self, raw: bytes) -> Result[Any, errors.BadRecord]:
        """Parses a message, or returns why it is invalid."""
        try:
            envelope = msgspec.json.decode(raw)
        # The bytes come from other processes, so malformed input such as deep
        # nesting or a non-string kind must not raise in the reader.
        except (
            msgspec.DecodeError,
            UnicodeDecodeError,
            RecursionError,
        ) as error:
            return Failure(errors.BadRecord(reason=str(error)))
        if not isinstance(envelope, dict):
            return Failure(errors.BadRecord(reason="not a JSON object"))
        name = envelope.get("kind")
        kind = self._kinds.get(name) if isinstance(name, str) else None
        if kind is None:
            return Failure(errors.BadRecord(reason=f"unknown kind {name!r}"))
        try:
            return Success(msgspec.convert(envelope.get("data"), kind))
        except msgspec.ValidationError as error:
            return Failure(errors.BadRecord(reason=str(error)))
