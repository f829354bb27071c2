"""Encoding of the records in the topic of orders."""

import attrs
import msgspec

from bulrushgrade import capacityplan
from bulrushgrade import orderturn
from bulrushgrade import usagewindows

OrderRecord = (
    orderturn.OrderRecord
    | usagewindows.UsageRecord
    | usagewindows.ReporterRecord
    | capacityplan.CapacityRecord
)

_KINDS: dict[str, type] = {
    "stage": orderturn.OrderRecord,
    "usage": usagewindows.UsageRecord,
    "reporter": usagewindows.ReporterRecord,
    "capacity": capacityplan.CapacityRecord,
}
_NAMES = {cls: name for name, cls in _KINDS.items()}


class _Head(msgspec.Struct):
    kind: str


_head_decoder = msgspec.json.Decoder(_Head)
_decoders = {name: msgspec.json.Decoder(cls) for name, cls in _KINDS.items()}


def serialize(record: OrderRecord) -> bytes:
    """Returns a record in its encoded form."""
    content = {"kind": _NAMES[type(record)], **attrs.asdict(record)}
    return msgspec.json.encode(content)


def parse(content: bytes) -> OrderRecord | None:
    """Returns a decoded record, or None if it cannot be decoded."""
    try:
        kind = _head_decoder.decode(content).kind
        return _decoders[kind].decode(content)
    except (msgspec.DecodeError, KeyError):
        return None
