"""Which service and software version began a stream.

What endpoints of two versions write doesn't fit together, so a stream may only
go on at the version that began it. The host that began a stream may be gone
when its caller asks another one for the rest.
"""

import collections
from collections.abc import Iterable
import hashlib

import attrs

KEY_BYTES = 10
"""Size of the digest by which hosts know a stream."""

MAX_RECORDS = 65_536
"""Streams that are remembered, the oldest being dropped. A host of a large
fleet remembers a few hundred."""


@attrs.frozen(kw_only=True)
class Origin:
    """What began a stream.

    Attributes:
        service: The service.
        software: The version of the endpoint's software.
    """

    service: str
    software: str


@attrs.frozen(kw_only=True)
class OriginView:
    """What one host knows of a stream and of its service.

    Attributes:
        origin: What began the stream, None if the host doesn't know.
        is_disputed: Whether there may be two origins.
        sole: The only version that has served for as long as the host has
            followed the records; None if there were several, or if its records
            are old.
        has_several: Whether it knows of several versions.
        covers: Whether it has followed the records for longer than streams
            last.
    """

    origin: Origin | None = None
    is_disputed: bool = False
    sole: str | None = None
    has_several: bool = False
    covers: bool = False

    @property
    def is_certain(self) -> bool:
        """Whether the version follows from the records of endpoints alone."""
        return self.sole is not None and self.covers


def make_key(request_id: str) -> bytes:
    """Returns the key of the stream that an attempt began."""
    data = request_id.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=KEY_BYTES).digest()


def resolve(
    own: OriginView,
    peers: Iterable[OriginView],
    *,
    service: str | None,
) -> Origin | None:
    """Returns what began a stream, None if that is not certain.

    Without a record, the version follows from the records of endpoints: a host
    tells others of each stream unless one version alone may have run it. A host
    that has started lately doesn't know which ones served before, and asks
    others that do. If all hosts have started lately, or the only one has, the
    version may have left meanwhile, and nobody knows.

    Args:
        own: What this host knows.
        peers: What the peers know that replied.
        service: The service of the request's route, None if it has several.
    """
    heard = [own, *peers]
    origins = {one.origin for one in heard if one.origin is not None}
    if len(origins) > 1 or any(one.is_disputed for one in heard):
        return None
    if origins:
        return origins.pop()
    sole = {one.sole for one in heard if one.sole is not None}
    if service is None or len(sole) != 1:
        return None
    if any(one.has_several for one in heard):
        return None
    if not any(one.is_certain for one in heard):
        return None
    return Origin(service=service, software=sole.pop())


@attrs.frozen(kw_only=True)
class _Record:
    """An origin, None if it is disputed, and when it may be forgotten."""

    origin: Origin | None
    expires_at: float


class OriginRecords:
    """The origins of streams that callers may still resume."""

    def __init__(self, *, max_records: int = MAX_RECORDS):
        """Makes an instance without records.

        Args:
            max_records: The number of streams that are remembered.
        """
        self._max_records = max_records
        self._records: collections.OrderedDict[bytes, _Record] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._records)

    def put(self, key: bytes, origin: Origin, *, expires_at: float) -> None:
        """Records the origin of a stream.

        Args:
            key: The stream's key.
            origin: What began it.
            expires_at: When its caller can't resume it any more.
        """
        known = self._records.pop(key, None)
        if known is not None:
            expires_at = max(expires_at, known.expires_at)
        is_same = known is None or known.origin == origin
        self._records[key] = _Record(
            origin=origin if is_same else None, expires_at=expires_at
        )
        if len(self._records) > self._max_records:
            self._records.popitem(last=False)

    def dispute(self, key: bytes, *, expires_at: float) -> None:
        """Records that it is not certain what began a stream."""
        self._records.pop(key, None)
        self._records[key] = _Record(origin=None, expires_at=expires_at)

    def find(self, key: bytes, *, now: float) -> OriginView:
        """Returns what is known of a stream."""
        record = self._records.get(key)
        if record is None or record.expires_at <= now:
            return OriginView()
        return OriginView(
            origin=record.origin, is_disputed=record.origin is None
        )

    def forget(self, now: float) -> None:
        """Drops streams that can't be resumed any more."""
        for key, record in list(self._records.items()):
            if record.expires_at <= now:
                del self._records[key]
