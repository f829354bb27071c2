"""The accepted documents, computed by replaying the stream ``documents``.

Every daemon applies the same records in offset order and reaches the same
state, independent of peers, clock and host. A registry that misses trimmed
records reports the gap and keeps its last accepted state; it never guesses
what the trimmed records contained.
"""

from collections.abc import Mapping
import enum

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade import acceptance
from bulrushgrade import catalog
from bulrushgrade import checkpoint
from bulrushgrade import document
from bulrushgrade import errors
from bulrushgrade import fleet
from bulrushgrade import publication
from bulrushgrade import record


class SkipReason(enum.Enum):
    """Why a record was not evaluated as a new publish."""

    STALE = "read before"
    AHEAD = "not the record that is to be read next"
    DUPLICATE = "second copy of a publish"
    UNREADABLE = "no message"
    AWAITING_CHECKPOINT = (
        "after a trimmed gap that no checkpoint has covered yet"
    )
    CHECKPOINT = "part of a checkpoint, or one that brings nothing new"
    DIVERGED = "checkpoint of another state at the same offset"
    RESTORED = "checkpoint whose state was taken over"


@attrs.frozen(kw_only=True)
class Skipped:
    """A record that was not evaluated as a new publish.

    Attributes:
        offset: The record's offset.
        reason: Why the record was skipped.
        detail: Human-readable details, or "".
    """

    offset: int
    reason: SkipReason
    detail: str = ""


Outcome = publication.Verdict | Skipped | errors.UnsupportedRules


class Registry:
    """State machine that applies publishes to the accepted documents."""

    def __init__(
        self, *, rules: Mapping[int, acceptance.RuleSet] = acceptance.RULE_SETS
    ):
        """Creates the registry of an empty stream.

        Args:
            rules: The validation rules that this release supports.
        """
        self._catalog = catalog.Catalog(rules=rules)
        self._next_offset = 0
        # Set while records before this offset are missing. The registry then
        # scans forward from `_scan_offset` for a checkpoint.
        self._gap_end: int | None = None
        self._scan_offset = 0
        self._changed_offset = -1
        self._restored = False
        self._unsupported: errors.UnsupportedRules | None = None
        self._last_checkpoint: checkpoint.Collected | None = None
        self._collector = checkpoint.Collector()

    @property
    def next_offset(self) -> int:
        """Offset of the next record to apply; all earlier ones are applied."""
        return self._next_offset

    @property
    def read_offset(self) -> int:
        """Offset to read next; it may decrease after a checkpoint restore."""
        if self._gap_end is None:
            return self._next_offset
        return self._scan_offset

    @property
    def gap_end(self) -> int | None:
        """First offset after missing records, or None if none are missing."""
        return self._gap_end

    @property
    def fleet(self) -> fleet.FleetDocument | None:
        """The accepted fleet document."""
        return self._catalog.accepted_state.fleet_document

    @property
    def documents(self) -> Mapping[str, document.ServiceDocument]:
        """The accepted service documents by service."""
        return self._catalog.accepted_state.documents

    @property
    def last_checkpoint(self) -> checkpoint.Collected | None:
        """The newest complete checkpoint read, without its states."""
        return self._last_checkpoint

    def accepted_revision(self, service: str) -> publication.Revision | None:
        """Returns the accepted revision of a service or `document.FLEET`."""
        return self._catalog.state(service).accepted

    def history(self, service: str) -> tuple[publication.Verdict, ...]:
        """Returns the newest verdicts on a service's publishes, oldest first.

        Verdicts on publishes by teams that don't own the service they name are
        kept under `publication.UNOWNED`.
        """
        return self._catalog.state(service).verdicts

    def find_verdict(self, record_id: str) -> publication.Verdict | None:
        """Returns the verdict on a publish, or None if none is known.

        None is inconclusive: the record may not have been applied yet, may
        never reach the log, or may be older than the retained history.
        """
        return self._catalog.verdict(record_id)

    def digest(self) -> str:
        """Returns the state's digest, the same at equal `next_offset`."""
        return self._catalog.digest

    def readiness(
        self, end_offset: int | None
    ) -> Result[int, errors.RegistryNotReady]:
        """Whether a starting daemon may begin to serve from this state.

        A daemon that is already serving continues while the log is unreachable
        or ahead: its last accepted state was valid, and refusing all callers
        would help nobody.

        Args:
            end_offset: The stream's end as last read, None before any read.

        Returns:
            The offset up to which the stream is applied, or why the daemon
            must not start serving.
        """
        reason = self._find_not_ready_reason(end_offset)
        if not reason:
            return Success(self._next_offset)
        return Failure(
            errors.RegistryNotReady(
                reason=reason, next_offset=self._next_offset
            )
        )

    def observe_earliest_offset(self, earliest_offset: int) -> None:
        """Updates the log's oldest retained offset, before applying a page.

        If the stream was trimmed past the read position and is now empty, no
        record would reveal the gap.
        """
        if earliest_offset > self.read_offset:
            self._gap_end = self._scan_offset = earliest_offset
            self._collector.clear()

    def apply(self, record_: record.Record) -> Outcome:
        """Applies the record at `read_offset`; any other record is skipped.

        A caller may apply every record of a page: if a checkpoint restore
        moves `read_offset` back, the rest of the page is skipped as `AHEAD`.
        """
        offset = record_.offset
        if offset < self.read_offset:
            return Skipped(offset=offset, reason=SkipReason.STALE)
        if offset > self.read_offset:
            return Skipped(offset=offset, reason=SkipReason.AHEAD)
        read = publication.parse_message(record_.body)
        message = read.value_or(None)
        outcome: Outcome
        if isinstance(message, publication.Checkpoint):
            outcome = self._apply_checkpoint(message, offset)
        elif self._gap_end is not None:
            outcome = Skipped(
                offset=offset, reason=SkipReason.AWAITING_CHECKPOINT
            )
        elif isinstance(message, publication.Publish):
            outcome = self._apply_publish(message, record_)
        else:
            detail = read.failure().reason if isinstance(read, Failure) else ""
            outcome = Skipped(
                offset=offset, reason=SkipReason.UNREADABLE, detail=detail
            )
        if not isinstance(outcome, errors.UnsupportedRules):
            self._advance(offset)
        return outcome

    def snapshot(self) -> publication.Snapshot:
        """Returns the complete state, for a peer or a checkpoint."""
        return publication.Snapshot(
            next_offset=self._next_offset,
            digest=self.digest(),
            states=self._catalog.states,
        )

    def restore_snapshot(
        self, snapshot: publication.Snapshot
    ) -> Result[int, errors.BadSnapshot]:
        """Replaces the state by a newer one from a peer or a checkpoint.

        Args:
            snapshot: The new state; it is ignored unless it is newer than the
                current one.

        Returns:
            The offset up to which the stream is now applied, or why the
            snapshot was rejected.
        """
        if snapshot.next_offset <= self._next_offset:
            return Success(self._next_offset)
        replaced = checkpoint.check_snapshot(snapshot).bind(
            lambda checked: self._catalog.replace(checked.states)
        )
        if isinstance(replaced, Failure):
            return replaced
        self._next_offset = snapshot.next_offset
        self._changed_offset = snapshot.next_offset - 1
        self._restored = True
        self._unsupported = None
        if self._gap_end is not None and self._gap_end <= self._next_offset:
            self._gap_end = None
        return Success(self._next_offset)

    def _find_not_ready_reason(self, end_offset: int | None) -> str:
        if self._gap_end is not None:
            return (
                f"records {self._next_offset} to {self._gap_end - 1} are "
                "trimmed and no checkpoint or peer has covered them yet"
            )
        if self._unsupported is not None:
            return (
                f"record {self._unsupported.offset} needs rules "
                f"{self._unsupported.validation}, newer than this release"
            )
        if end_offset is None:
            if self._restored:
                return ""
            return "the log has not been read and no peer has sent a snapshot"
        behind = end_offset - self._next_offset
        return f"{behind} records behind" if behind > 0 else ""

    def _advance(self, offset: int) -> None:
        if self._gap_end is not None:
            self._scan_offset = offset + 1
        elif offset == self._next_offset:
            self._next_offset = offset + 1

    def _apply_checkpoint(
        self, part: publication.Checkpoint, offset: int
    ) -> Skipped:
        whole = self._collector.add(part, offset=offset)
        if whole is None:
            return Skipped(offset=offset, reason=SkipReason.CHECKPOINT)
        stripped = attrs.evolve(whole.snapshot, states=())
        self._last_checkpoint = attrs.evolve(whole, snapshot=stripped)
        if self._gap_end is None:
            return Skipped(
                offset=offset, reason=self._compare_digests(whole.snapshot)
            )
        before = self._next_offset
        restored = self.restore_snapshot(whole.snapshot)
        if isinstance(restored, Failure):
            detail = restored.failure().reason
            return Skipped(
                offset=offset, reason=SkipReason.DIVERGED, detail=detail
            )
        advanced = restored.unwrap() > before
        reason = SkipReason.RESTORED if advanced else SkipReason.CHECKPOINT
        return Skipped(offset=offset, reason=reason)

    def _compare_digests(self, snapshot: publication.Snapshot) -> SkipReason:
        # Digests are only comparable if nothing has changed since the
        # checkpoint. A mismatch means that two releases evaluate differently
        # or that a host has faulty memory; it is reported, and this registry
        # keeps its own state.
        unchanged = self._changed_offset < snapshot.next_offset
        if unchanged and snapshot.digest != self.digest():
            return SkipReason.DIVERGED
        return SkipReason.CHECKPOINT

    def _apply_publish(
        self, publish: publication.Publish, record_: record.Record
    ) -> Outcome:
        offset, record_id = record_.offset, record_.record_id
        if len(record_id) > publication.MAX_RECORD_ID_CHARS:
            return Skipped(offset=offset, reason=SkipReason.UNREADABLE)
        if self._catalog.verdict(record_id) is not None:
            # The writer retried an append whose response was lost. Evaluating
            # the duplicate could turn a reported refusal into an acceptance.
            return Skipped(offset=offset, reason=SkipReason.DUPLICATE)
        evaluated = acceptance.evaluate(
            publish,
            record_id=record_id,
            offset=offset,
            accepted_state=self._catalog.accepted_state,
        )
        if isinstance(evaluated, Failure):
            self._unsupported = evaluated.failure()
            return self._unsupported
        self._unsupported = None
        self._catalog.add_evaluation(publish, evaluated.unwrap())
        self._changed_offset = offset
        return evaluated.unwrap().verdict
