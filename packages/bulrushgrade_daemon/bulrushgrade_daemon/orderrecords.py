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
    # Records of older builds state neither.
    number: int | None = None
    epoch: int = 0


@attrs.frozen(kw_only=True)
class NumberedRecord:
    """A record with the number that its writer gave it.

    Attributes:
        record: The record.
        number: Its number; None if it is the record's offset.
        epoch: The store's epoch in which it was written; 0 if unknown.
    """

    record: OrderRecord
    number: int | None = None
    epoch: int = 0


_head_decoder = msgspec.json.Decoder(_Head)
_decoders = {name: msgspec.json.Decoder(cls) for name, cls in _KINDS.items()}


def serialize(numbered: NumberedRecord) -> bytes:
    """Returns a record in its encoded form."""
    content = {
        "kind": _NAMES[type(numbered.record)],
        "number": numbered.number,
        "epoch": numbered.epoch,
        **attrs.asdict(numbered.record),
    }
    return msgspec.json.encode(content)


def parse(content: bytes) -> NumberedRecord | None:
    """Returns a decoded record, or None if it cannot be decoded."""
    try:
        head = _head_decoder.decode(content)
        return NumberedRecord(
            record=_decoders[head.kind].decode(content),
            number=head.number,
            epoch=head.epoch,
        )
    except (msgspec.DecodeError, KeyError, RecursionError):
        return None
