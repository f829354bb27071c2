"""Typed messages to and from bytes.

One codec knows a closed set of attrs classes. A message travels as a JSON
object ``{"kind": CLASS_NAME, "data": {...}}``, so that a reader of an older
release can tell a kind that it does not know from a damaged message.
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
        """Returns the bytes of a message.

        Args:
            message: An instance of one of the codec's kinds.

        Raises:
            errors.BrokenInvariantError: The codec does not know the kind.
        """
        kind = type(message).__name__
        if kind not in self._kinds:
            raise errors.BrokenInvariantError(f"codec has no kind {kind}")
        return self._encoder.encode({"kind": kind, "data": message})

    def parse(self, raw: bytes) -> Result[Any, errors.BadRecord]:
        """Returns the message in some bytes, or why there is none."""
        try:
            envelope = msgspec.json.decode(raw)
        # The bytes come from other processes: deep nesting or a kind that is
        # no string must not stop whoever reads them.
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
