"""Checkpoints of the stream ``documents``: serialization and scheduling.

The log trims old records. A checkpoint is a snapshot of the registry that is
appended to the stream, so that a reader that starts at the oldest retained
record finds a state to start from. It is split into parts because log services
limit the size of a record.

Any daemon can append a checkpoint; none is dedicated to it. `Schedule` orders
the daemons by rendezvous hashing. Each waits for those before it and appends
only if their checkpoint has not appeared in the stream by then.
"""

from collections.abc import Iterable

import attrs
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade import errors
from bulrushgrade import publication
from bulrushgrade import subset

# Bytes of states in one part. With JSON escapes it stays well below the request
# size limit that HTTP services commonly set (1 MB).
PART_BYTES = 256 * 1024

# Incomplete checkpoints whose parts are held at a time. A daemon that crashes
# while it appends leaves one that is never completed; more than a few at once
# means that hosts crash as fast as they append.
MAX_INCOMPLETE = 4

# Age at which a checkpoint is renewed, as a fraction of the log's retention.
# With a third, the first attempt and two more may fail before the last
# checkpoint is trimmed.
RENEWAL_FRACTION = 1 / 3

# Records that a starting daemon may have to apply after a checkpoint. At about
# 0.1 ms per record this takes a tenth of a second, and one or two pages of
# reads.
MAX_RECORDS_BEHIND = 1000

# Seconds between the turns of two daemons. It covers an append and the time
# until the next daemon has read it, even if the log is slow.
TURN_INTERVAL_S = 5.0

# Seconds that a starting daemon, which doesn't know the age of the last
# checkpoint, waits to learn it from its peers. Without the wait a rolling
# restart would append one checkpoint per host.
STARTUP_GRACE_S = 15.0

# Minimum seconds between two checkpoints by the same daemon. Checkpoints have a
# few MB each; without the limit a daemon that can't read its own checkpoints
# would fill the shared log.
MIN_APPEND_INTERVAL_S = 60.0


def serialize_checkpoint(
    snapshot: publication.Snapshot,
    *,
    checkpoint_id: str,
    part_bytes: int = PART_BYTES,
) -> tuple[bytes, ...]:
    """Serializes a snapshot into the bodies of checkpoint records.

    Args:
        snapshot: The state to serialize.
        checkpoint_id: A unique id that links the parts.
        part_bytes: Maximum bytes of states per part; a single larger state
            gets a part of its own.
    """
    groups: list[list[publication.ServiceState]] = [[]]
    size = 0
    for state in snapshot.states:
        added = len(msgspec.json.encode(state))
        if groups[-1] and size + added > part_bytes:
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
    """Checks that a snapshot's states are sorted and match its digest."""
    names = [state.service for state in snapshot.states]
    if names != sorted(set(names)):
        return Failure(
            errors.BadSnapshot(reason="states are not sorted by service")
        )
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
        first_offset: The offset of its earliest part.
        snapshot: The state in the checkpoint. A new reader can't use it once
            the log has trimmed the record at the snapshot's `next_offset`.
    """

    first_offset: int
    snapshot: publication.Snapshot


class Collector:
    """Assembles checkpoints from parts interleaved with other records."""

    def __init__(self):
        self._parts: dict[str, dict[int, publication.Checkpoint]] = {}
        self._first: dict[str, int] = {}

    def add(
        self, part: publication.Checkpoint, *, offset: int
    ) -> Collected | None:
        """Adds a part and returns the checkpoint that it completes, if any."""
        key = part.checkpoint_id
        if key not in self._parts and len(self._parts) >= MAX_INCOMPLETE:
            oldest = next(iter(self._parts))
            del self._parts[oldest], self._first[oldest]
        parts = self._parts.setdefault(key, {})
        self._first.setdefault(key, offset)
        parts.setdefault(part.part, part)
        if len(parts) < part.parts:
            return None
        first = self._first.pop(key)
        return Collected(
            first_offset=first,
            snapshot=_join_parts(self._parts.pop(key).values()),
        )

    def clear(self) -> None:
        """Drops all parts."""
        self._parts.clear()
        self._first.clear()


def _join_parts(
    parts: Iterable[publication.Checkpoint],
) -> publication.Snapshot:
    ordered = sorted(parts, key=lambda part: part.part)
    return publication.Snapshot(
        next_offset=ordered[0].next_offset,
        digest=ordered[0].digest,
        states=tuple(state for part in ordered for state in part.states),
    )


class Schedule:
    """Decides when this daemon appends a checkpoint.

    Times are seconds on this host's monotonic clock. Hosts exchange ages
    instead of times, because their clocks are not comparable.
    """

    def __init__(self, *, address: str, retention_s: float, now: float):
        """Creates the schedule of a daemon that has just started.

        Args:
            address: This daemon's address in the host list.
            retention_s: Seconds that the log retains a record.
            now: The current time.
        """
        self._address = address
        self._retention_s = retention_s
        self._started_at = now
        self._last: Collected | None = None
        self._last_seen_at: float | None = None
        self._due_since: float | None = None
        self._appended_at: float | None = None

    def observe_checkpoint(
        self, complete: Collected, *, now: float, fresh: bool
    ) -> None:
        """Processes a checkpoint read from the stream.

        Args:
            complete: The checkpoint.
            now: The current time.
            fresh: Whether this daemon had read the stream to its end before,
                so that the checkpoint is new; otherwise its age is unknown.
        """
        if self._last and complete.first_offset <= self._last.first_offset:
            return
        self._last = complete
        self._last_seen_at = now if fresh else None
        self._due_since = None

    def report_age(self, now: float) -> publication.CheckpointAge | None:
        """Returns the checkpoint's age for peers, or None if it is unknown."""
        if self._last is None or self._last_seen_at is None:
            return None
        return publication.CheckpointAge(
            first_offset=self._last.first_offset,
            next_offset=self._last.snapshot.next_offset,
            age_s=now - self._last_seen_at,
        )

    def observe_peer_age(
        self, reported: publication.CheckpointAge, *, now: float
    ) -> None:
        """Processes a peer's report of a checkpoint and its minimum age.

        A daemon that starts from a peer's snapshot never reads the checkpoint
        itself. A wrong report can delay the next checkpoint at most until the
        log has trimmed the records that the last one needs; then one is due at
        once.
        """
        last = -1 if self._last is None else self._last.first_offset
        if reported.first_offset < last:
            return
        if reported.first_offset > last:
            snapshot = publication.Snapshot(
                next_offset=reported.next_offset, digest="", states=()
            )
            self._last = Collected(
                first_offset=reported.first_offset, snapshot=snapshot
            )
            self._last_seen_at = None
        known = now if self._last_seen_at is None else self._last_seen_at
        self._last_seen_at = min(known, now - reported.age_s)

    def record_append(self, now: float) -> None:
        """Records that this daemon appends a checkpoint now."""
        self._appended_at = now

    def find_due_reason(
        self,
        *,
        now: float,
        hosts: Iterable[str],
        next_offset: int,
        earliest_offset: int,
    ) -> str | None:
        """Returns the reason to append a checkpoint now, or None.

        It must only be called while the registry is ready and the log is
        reachable.

        Args:
            now: The current time.
            hosts: Addresses of the live daemons; the list may be outdated.
            next_offset: Offset up to which this daemon has applied records.
            earliest_offset: Offset of the oldest record in the log.
        """
        reason = self._find_renewal_reason(now, next_offset, earliest_offset)
        if reason is None:
            self._due_since = None
            return None
        if self._due_since is None:
            self._due_since = now
        last = self._last.first_offset if self._last else -1
        wait_s = TURN_INTERVAL_S * find_turn(self._address, hosts, last)
        if now < self._due_since + wait_s:
            return None
        recent = self._appended_at is not None
        if recent and now < self._appended_at + MIN_APPEND_INTERVAL_S:
            return None
        return reason

    def _find_renewal_reason(
        self, now: float, next_offset: int, earliest_offset: int
    ) -> str | None:
        if next_offset == 0:
            return None
        in_grace = now < self._started_at + STARTUP_GRACE_S
        if self._last is None:
            return None if in_grace else "no checkpoint is known"
        # The checkpoint's parts are stored after its `next_offset`. A reader
        # also needs every record in between.
        if earliest_offset > self._last.snapshot.next_offset:
            return "the log has trimmed what the checkpoint needs"
        if next_offset - self._last.snapshot.next_offset > MAX_RECORDS_BEHIND:
            return "many records since the last checkpoint"
        if self._last_seen_at is None:
            return None if in_grace else "the last checkpoint may be old"
        if now - self._last_seen_at > self._retention_s * RENEWAL_FRACTION:
            return "the last checkpoint is old"
        return None


def find_turn(address: str, hosts: Iterable[str], last_offset: int) -> int:
    """Returns a daemon's position in the order of turns, from 0.

    The order is a rendezvous hash that includes the last checkpoint's offset.
    The work therefore rotates, and a dead host that is still listed does not
    delay every checkpoint. Hosts with different lists may get the same turn;
    two checkpoints are harmless.
    """
    key = f"checkpoint {last_offset}"
    own = (subset.rendezvous_weight(key, address), address)
    return sum(
        (subset.rendezvous_weight(key, host), host) > own for host in set(hosts)
    )
