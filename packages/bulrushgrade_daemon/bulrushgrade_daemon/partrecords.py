"""Encodes prompt parts at crashes as records of the topic of crashes.

Hosts of older builds take such a record for one of a request that nobody sends
and a caller of its own, so that it changes nothing for them.
"""

import msgspec

from bulrushgrade import partblame
from bulrushgrade import partledger
from bulrushgrade_daemon import topicreader

PREFIX = "part:"
_SEPARATOR = "/"


class _Value(msgspec.Struct):
    """The content of a record.

    Attributes:
        caller: Stands for the caller at hosts of older builds.
        zone: The endpoint's availability zone.
        has_begun: Whether an answer on the part had begun.
        runtime: Identifies the endpoint's service and software, hexadecimal.
        requests: Identify the requests with the part, hexadecimal.
        first_ms: For how long the first of them had been begun or sent.
        last_ms: The same of the last one.
        at_ms: When the crash was noticed, in Unix milliseconds of the writer.
    """

    caller: str
    zone: str
    has_begun: bool
    runtime: str
    requests: list[str]
    first_ms: int
    last_ms: int
    at_ms: int


_decoder = msgspec.json.Decoder(_Value)


def is_part_key(text: str) -> bool:
    """Returns whether a record's key is one of a prompt part."""
    return text.startswith(PREFIX)


def write_key(key: partledger.Key) -> str:
    """Returns the key of the record of a part at a crash."""
    part, (id, born_ms) = key
    return f"{PREFIX}{part.hex()}{_SEPARATOR}{id}{_SEPARATOR}{born_ms}"


def read_key(text: str) -> partledger.Key | None:
    """Returns the part and the endpoint of a key, None if malformed."""
    # An endpoint's id may contain any character, also the separator.
    part, _, endpoint = text.removeprefix(PREFIX).partition(_SEPARATOR)
    id, _, born_ms = endpoint.rpartition(_SEPARATOR)
    try:
        return bytes.fromhex(part), (id, int(born_ms))
    except ValueError:
        return None


def write_value(
    crash: partblame.PartCrash, *, now: float, unix_s: float
) -> bytes:
    """Returns the value of the record of a part at a crash.

    Args:
        crash: The part and the crash.
        now: The current time of the host's timers.
        unix_s: The same as Unix time.
    """
    value = _Value(
        caller=PREFIX + crash.part.hex(),
        zone=crash.zone,
        has_begun=crash.has_begun,
        runtime=crash.runtime.hex(),
        requests=sorted(request.hex() for request in crash.requests),
        first_ms=_to_ms(crash.crashed_at - crash.first_at),
        last_ms=_to_ms(crash.crashed_at - crash.last_at),
        at_ms=round((unix_s - (now - crash.crashed_at)) * 1000),
    )
    return msgspec.json.encode(value)


def read_crash(
    record: topicreader.KeyedRecord, *, now: float, unix_s: float
) -> partblame.PartCrash | None:
    """Returns the part and the crash of a record, None if it is malformed.

    The clocks of hosts differ, so that a crash may seem to be in the future.
    The times between the crashes of a part matter more than their ages.

    Args:
        record: The record.
        now: The current time of the host's timers.
        unix_s: The same as Unix time.
    """
    key = read_key(record.key)
    if key is None or record.value is None:
        return None
    try:
        value = _decoder.decode(record.value)
        runtime = bytes.fromhex(value.runtime)
        requests = frozenset(map(bytes.fromhex, value.requests))
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
    part, endpoint = key
    age_s = unix_s - value.at_ms / 1000
    limit_s = partledger.CRASH_TTL_S
    crashed_at = now - max(-limit_s, min(age_s, limit_s))
    return partblame.PartCrash(
        part=part,
        endpoint=endpoint,
        runtime=runtime,
        zone=value.zone,
        has_begun=value.has_begun,
        first_at=crashed_at - value.first_ms / 1000,
        last_at=crashed_at - value.last_ms / 1000,
        crashed_at=crashed_at,
        requests=requests,
    )


def _to_ms(seconds: float) -> int:
    return max(0, round(seconds * 1000))
