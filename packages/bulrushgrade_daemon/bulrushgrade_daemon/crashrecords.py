"""Encodes involvements in crashes as records of a keyed topic.

Each involvement has its own key, so that hosts which report the same one write
the same record, and none overwrites another one's.
"""

import msgspec

from bulrushgrade import crashledger
from bulrushgrade_daemon import topicreader

_SEPARATOR = "/"


class _Value(msgspec.Struct):
    caller: str
    zone: str
    has_begun: bool


_decoder = msgspec.json.Decoder(_Value)


def write_key(key: crashledger.Key) -> str:
    """Returns the key of an involvement's record."""
    fingerprint, (id, born_ms) = key
    return f"{fingerprint}{_SEPARATOR}{id}{_SEPARATOR}{born_ms}"


def read_key(text: str) -> crashledger.Key | None:
    """Returns the involvement that a record's key names, None if malformed."""
    # An endpoint's id may contain any character, also the separator.
    fingerprint, _, endpoint = text.partition(_SEPARATOR)
    id, _, born_ms = endpoint.rpartition(_SEPARATOR)
    if not fingerprint or not id:
        return None
    try:
        return fingerprint, (id, int(born_ms))
    except ValueError:
        return None


def write_value(involvement: crashledger.Involvement) -> bytes:
    """Returns the value of an involvement's record."""
    value = _Value(
        caller=involvement.caller,
        zone=involvement.zone,
        has_begun=involvement.has_begun,
    )
    return msgspec.json.encode(value)


def read_involvement(
    record: topicreader.KeyedRecord,
) -> crashledger.Involvement | None:
    """Returns the involvement in a record, None if it can't be decoded."""
    key = read_key(record.key)
    if key is None or record.value is None:
        return None
    try:
        value = _decoder.decode(record.value)
    except (msgspec.DecodeError, RecursionError):
        return None
    fingerprint, endpoint = key
    return crashledger.Involvement(
        fingerprint=fingerprint,
        endpoint=endpoint,
        caller=value.caller,
        zone=value.zone,
        has_begun=value.has_begun,
    )
