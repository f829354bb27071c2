"""Checkpoints of the stream ``documents``: their parts, and when one is due.

The log trims old records. A checkpoint is a snapshot of the fold appended
anew, so that a reader who starts at the oldest record left finds a state to
start from. It goes in parts, since a log service limits a record's size.
"""

from collections.abc import Iterable

import attrs
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade import errors
from bulrushgrade import publication

# Bytes of states in one part. Well below the request limits that HTTP services
# commonly set (1 MB), escapes included.
PART_BYTES = 256 * 1024

# Checkpoints whose parts are collected at a time. An appender that died
# midway leaves one incomplete for good; more than a few at once means that
# hosts die as fast as they append.
MAX_COLLECTED = 4


def serialize_checkpoint(
    snapshot: publication.Snapshot, *, checkpoint_id: str
) -> tuple[bytes, ...]:
    """Returns the bodies of the records that hold a snapshot."""
    groups: list[list[publication.ServiceState]] = [[]]
    size = 0
    for state in snapshot.states:
        added = len(msgspec.json.encode(state))
        if groups[-1] and size + added > PART_BYTES:
            groups.append([])
            size = 0
        groups[-1].append(state)
        size += added
    return tuple(
        publication.CODEC.serialize(
            publication.Checkpoint(
                checkpoint_id=checkpoint_id,
                part=number,
                parts=len(groups),
                next_offset=snapshot.next_offset,
                digest=snapshot.digest,
                states=tuple(group),
            )
        )
        for number, group in enumerate(groups)
    )


def check_snapshot(
    snapshot: publication.Snapshot,
) -> Result[publication.Snapshot, errors.BadSnapshot]:
    """Returns a snapshot whose digest and order are right, or what is wrong."""
    names = [state.service for state in snapshot.states]
    if names != sorted(set(names)):
        return Failure(errors.BadSnapshot(reason="states out of order"))
    digest = publication.digest_states(
        publication.digest_state(state) for state in snapshot.states
    )
    if digest != snapshot.digest:
        return Failure(errors.BadSnapshot(reason="digest does not match"))
    return Success(snapshot)


@attrs.frozen(kw_only=True)
class Collected:
    """A checkpoint of which every part has been read.

    Attributes:
        first_offset: The offset of the earliest of its parts; once that is
            trimmed, a new reader can't use it.
        snapshot: What it holds.
    """

    first_offset: int
    snapshot: publication.Snapshot


class Collector:
    """Puts checkpoints together from parts that other records stand between."""

    def __init__(self):
        self._parts: dict[str, dict[int, publication.Checkpoint]] = {}
        self._first: dict[str, int] = {}

    def add(
        self, part: publication.Checkpoint, *, offset: int
    ) -> Collected | None:
        """Takes a part; returns the checkpoint that it completes, if any."""
        key = part.checkpoint_id
        if key not in self._parts and len(self._parts) >= MAX_COLLECTED:
            oldest = next(iter(self._parts))
            del self._parts[oldest], self._first[oldest]
        parts = self._parts.setdefault(key, {})
        self._first.setdefault(key, offset)
        parts.setdefault(part.part, part)
        if len(parts) < part.parts:
            return None
        first = self._first.pop(key)
        return Collected(
            first_offset=first, snapshot=_join(self._parts.pop(key).values())
        )

    def clear(self) -> None:
        """Forgets every part."""
        self._parts.clear()
        self._first.clear()


def _join(parts: Iterable[publication.Checkpoint]) -> publication.Snapshot:
    ordered = sorted(parts, key=lambda part: part.part)
    return publication.Snapshot(
        next_offset=ordered[0].next_offset,
        digest=ordered[0].digest,
        states=tuple(state for part in ordered for state in part.states),
    )
