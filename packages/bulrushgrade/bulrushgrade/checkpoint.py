"""Checkpoints of the stream ``documents``: their parts, and when one is due.

The log trims old records. A checkpoint is a snapshot of the fold appended
anew, so that a reader who starts at the oldest record left finds a state to
start from. It goes in parts, since a log service limits a record's size.

Every daemon could append one and none is set aside to do it. `Schedule` has
them take turns by rendezvous order, each waiting for the earlier ones'
checkpoint to show up in the stream before it appends its own.
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

# Bytes of states in one part. Well below the request limits that HTTP services
# commonly set (1 MB), escapes included.
PART_BYTES = 256 * 1024

# Checkpoints whose parts are collected at a time. An appender that died
# midway leaves one incomplete for good; more than a few at once means that
# hosts die as fast as they append.
MAX_INCOMPLETE = 4

# A third of the retention: the first attempt and two more may fail before the
# last checkpoint is trimmed.
RENEWAL_FRACTION = 1 / 3

# Records that a starting daemon may have to fold after a checkpoint. At some
# 0.1 ms a fold step this is a tenth of a second; a page or two of reads.
MAX_RECORDS_BEHIND = 1000

# Between two daemons' turns: an append, and the time until the next in turn
# has read it, also while the log is slow.
TURN_INTERVAL_S = 5.0

# A daemon that starts does not know how old the last checkpoint is. Peers
# that do are heard within this time; without it a rolling restart would
# append a checkpoint a host.
STARTUP_GRACE_S = 15.0

# Two checkpoints of one daemon are this far apart at least, whatever it
# sees: at a few MB each, a daemon that can't read its own would else fill the
# log that all depend on.
MIN_APPEND_INTERVAL_S = 60.0


def serialize_checkpoint(
    snapshot: publication.Snapshot,
    *,
    checkpoint_id: str,
    part_bytes: int = PART_BYTES,
) -> tuple[bytes, ...]:
    """Returns the bodies of the records that hold a snapshot.

    Args:
        snapshot: The state to write.
        checkpoint_id: A unique id; the parts find each other by it.
        part_bytes: How many bytes of states go into a part; a single larger
            state has a part of its own.
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
        first_offset: The offset of the earliest of its parts.
        snapshot: What it holds. Once the log has trimmed the record at its
            `next_offset`, a new reader can't use it.
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
        """Forgets every part."""
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
    """Says when this daemon should append a checkpoint.

    Times are seconds of this host's own monotonic clock; ages, not times, are
    what hosts tell each other.
    """

    def __init__(self, *, address: str, retention_s: float, now: float):
        """Makes the schedule of a daemon that has just started.

        Args:
            address: This daemon's address, as the host list has it.
            retention_s: How long the log keeps a record.
            now: The present time.
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
        """Takes a checkpoint that was read.

        Args:
            complete: The checkpoint.
            now: The present time.
            fresh: Whether this daemon had read the whole stream before, so
                that the checkpoint is new; else its age is unknown.
        """
        if self._last and complete.first_offset <= self._last.first_offset:
            return
        self._last = complete
        self._last_seen_at = now if fresh else None
        self._due_since = None

    def report_age(self, now: float) -> publication.CheckpointAge | None:
        """Returns what to tell peers, None where the age is unknown."""
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
        """Takes a peer's word for a checkpoint and its age at least.

        A daemon that starts from a peer's snapshot never reads the checkpoint
        itself. A wrong word makes one late at worst until the log has trimmed
        what it has, which is due at once.
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
        """Notes that this daemon sends a checkpoint now."""
        self._appended_at = now

    def find_due_reason(
        self,
        *,
        now: float,
        hosts: Iterable[str],
        next_offset: int,
        earliest_offset: int,
    ) -> str | None:
        """Returns why to append a checkpoint now, or None.

        Only asked while the fold is ready and the log answers.

        Args:
            now: The present time.
            hosts: Addresses of the live daemons, which may lag.
            next_offset: How far this daemon's fold has come.
            earliest_offset: The oldest record that the log has.
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
        # The state goes up to next_offset, and its parts come later: a reader
        # needs every record in between as well.
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
    """Returns a daemon's place in the order of turns, 0 first.

    The order is by a hash with the last checkpoint's offset (rendezvous
    hashing), so that the work goes round, and a dead host that the list still
    has delays one checkpoint by a turn and not each. Hosts that see different
    lists may come to the same turn; two checkpoints do no harm.
    """
    key = f"checkpoint {last_offset}"
    own = (subset.rendezvous_weight(key, address), address)
    return sum(
        (subset.rendezvous_weight(key, host), host) > own for host in set(hosts)
    )
