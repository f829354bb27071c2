"""The accepted documents, folded from the stream ``documents``.

Every daemon folds the same records in the order of their offsets and comes to
the same state. Nothing else decides: no peer, no clock, no host. A registry
that has lost the thread says so and keeps what it last accepted; it never
guesses what trimmed records held.
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
    """Why a record was no new publish."""

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
    """A record that was no new publish.

    Attributes:
        offset: The record's offset.
        reason: Why it was none.
        detail: More for a person, or "".
    """

    offset: int
    reason: SkipReason
    detail: str = ""


Outcome = publication.Verdict | Skipped | errors.UnsupportedRules


class Registry:
    """Folds publishes into the accepted documents."""

    def __init__(
        self, *, rules: Mapping[int, acceptance.RuleSet] = acceptance.RULE_SETS
    ):
        """Makes the registry of an empty stream.

        Args:
            rules: The validation rules that this release knows.
        """
        self._catalog = catalog.Catalog(rules=rules)
        self._next_offset = 0
        # Set while records before it are known to be missing; the reader then
        # scans on for a checkpoint.
        self._gap_end: int | None = None
        self._scan_offset = 0
        self._changed_offset = -1
        self._restored = False
        self._unsupported: errors.UnsupportedRules | None = None
        self._last_checkpoint: checkpoint.Collected | None = None
        self._collector = checkpoint.Collector()

    @property
    def next_offset(self) -> int:
        """Every record before this offset is folded in."""
        return self._next_offset

    @property
    def read_offset(self) -> int:
        """Where to read the stream next; after a restore it may go back."""
        if self._gap_end is None:
            return self._next_offset
        return self._scan_offset

    @property
    def gap_end(self) -> int | None:
        """The first offset after a gap, or None where nothing is missing."""
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
        """The newest whole checkpoint that was read, without its states."""
        return self._last_checkpoint

    def accepted_revision(self, service: str) -> publication.Revision | None:
        """Returns a service's accepted revision; `document.FLEET` counts."""
        return self._catalog.state(service).accepted

    def history(self, service: str) -> tuple[publication.Verdict, ...]:
        """Returns the newest verdicts on a service's publishes, oldest first.

        Publishes by teams that don't own it are under `publication.UNOWNED`.
        """
        return self._catalog.state(service).verdicts

    def find_verdict(self, record_id: str) -> publication.Verdict | None:
        """Returns the verdict on a publish, None where none is known.

        None settles nothing by itself: the record may not have been folded
        yet, may never reach the log, or may be older than the history.
        """
        return self._catalog.verdict(record_id)

    def digest(self) -> str:
        """Returns the digest of the state, equal on folds of equal offsets."""
        return self._catalog.digest

    def readiness(
        self, end_offset: int | None
    ) -> Result[int, errors.RegistryNotReady]:
        """Whether a starting daemon may begin to serve from this state.

        A daemon that has begun goes on while the log is away or ahead: what
        it last accepted was right then, and refusing all callers helps none.

        Args:
            end_offset: The stream's end as last read, None before any read.

        Returns:
            The offset up to which the stream is folded, or why not to begin.
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
        """Takes the oldest offset that the log still holds, before a page.

        A stream that was trimmed past the reader may hold nothing more to
        read, so the gap need not show in any record.
        """
        if earliest_offset > self.read_offset:
            self._gap_end = self._scan_offset = earliest_offset
            self._collector.clear()

    def apply(self, record_: record.Record) -> Outcome:
        """Folds the record at `read_offset`; others change nothing.

        A page may be applied record by record to its end: when a checkpoint
        sends the reader back, the rest of the page is passed over as ahead.
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
        """Returns the whole state, for a peer or a checkpoint."""
        return publication.Snapshot(
            next_offset=self._next_offset,
            digest=self.digest(),
            states=self._catalog.states,
        )

    def restore_snapshot(
        self, snapshot: publication.Snapshot
    ) -> Result[int, errors.BadSnapshot]:
        """Takes over a newer state from a peer or a checkpoint.

        Args:
            snapshot: The state; one that is behind this fold is ignored.

        Returns:
            The offset up to which the stream is folded now, or why the
            snapshot was not taken.
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
        # Only where nothing has changed since can the states be compared. A
        # difference means that two releases judge differently or that a
        # host's memory is bad; it is told, and this fold goes on by its own
        # reading.
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
            # A writer whose answer was lost appended again. Judging the copy
            # could turn a refusal that was already told into an acceptance.
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
