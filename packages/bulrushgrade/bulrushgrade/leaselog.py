"""Lease records of a control stream and the holder that they determine.

Records of the stream ``control.GROUP`` determine which process holds the lease
on a group of engines. An effective `Claim` makes its writer the holder, and
its offset becomes the term. `Renew` extends the lease and `Release` ends it.
`LeaseFold` evaluates the records without using a clock, so every reader
arrives at the same result.
"""

import attrs
from returns.result import Failure

from bulrushgrade import codec
from bulrushgrade import record

# Maximum number of lease records kept while they can't be evaluated yet. In an
# active group the next renewal decides them. Dropping a record only delays the
# decision, since a dropped record is never treated as effective.
MAX_UNDECIDED = 256


@attrs.frozen(kw_only=True)
class Claim:
    """Requests the lease.

    It is effective if and only if no effective lease record lies between
    `after_offset` and the claim itself.

    Attributes:
        holder: The candidate's name, unique to each run of the process.
        after_offset: The offset of the last lease record that the candidate
            took into account.
    """

    holder: str
    after_offset: int


@attrs.frozen(kw_only=True)
class Renew:
    """Extends a lease.

    It is effective if and only if `term` is the current term and
    `after_offset` is the last effective lease record.

    Attributes:
        holder: The holder's name, for readers that missed the claim.
        term: The offset of the holder's claim.
        after_offset: The offset of the last effective lease record, as
            evaluated by the writer. It confirms that record to readers of a
            trimmed stream.
    """

    holder: str
    term: int
    after_offset: int


@attrs.frozen(kw_only=True)
class Release:
    """Ends a lease; effective if and only if its term is the current one.

    Attributes:
        holder: The holder's name.
        term: The offset of the holder's claim.
        after_offset: As in `Renew`.
    """

    holder: str
    term: int
    after_offset: int


LeaseMessage = Claim | Renew | Release

CODEC = codec.Codec(kinds=(Claim, Renew, Release))


@attrs.frozen(kw_only=True)
class LeaseRecord:
    """A decoded lease record with its position in the stream."""

    offset: int
    record_id: str
    message: LeaseMessage


class LeaseFold:
    """Determines which lease records are effective.

    Every reader arrives at the same result. A reader that has read the stream
    from offset 0 evaluates each record as it is read. After a gap of trimmed
    records the current term is unknown, and a record is accepted as effective
    only if

    * a later `Renew` or `Release` names it as the last effective record.
      Writers only name records that they have evaluated themselves; or
    * it is a `Claim` whose `after_offset` reaches the end of the gap with no
      other lease record in between, so that no effective record can lie
      between.

    A `Renew` whose claim was trimmed only proves that its term was current at
    some time, since the gap may contain a newer claim. It stays undecided
    until the next renewal confirms it: the holder writes that one after it
    has read this one back as effective.

    A `Renew` must follow the last effective record exactly. A duplicate of a
    record is therefore never effective, even for a reader that only sees the
    duplicate, and no list of record ids is needed.
    """

    def __init__(self):
        self._is_term_known = True
        self._last_effective = -1
        self._last_seen = -1
        self._term: int | None = None
        self._holder = ""
        self._undecided: list[LeaseRecord] = []

    @property
    def is_term_known(self) -> bool:
        """Whether the current term is known."""
        return self._is_term_known

    @property
    def term(self) -> int | None:
        """The current term, or None if there is none or it is unknown."""
        return self._term

    @property
    def holder(self) -> str:
        """The name of the current holder, or an empty string."""
        return self._holder

    @property
    def last_offset(self) -> int:
        """The `after_offset` for a lease record that is written now."""
        return self._last_effective if self._is_term_known else self._last_seen

    def skip_to(self, origin: int) -> None:
        """Handles a gap: records before `origin` were trimmed unread."""
        self._is_term_known = False
        self._last_seen = origin - 1
        self._term, self._holder = None, ""
        self._undecided = []

    def apply(self, item: record.Record) -> tuple[LeaseRecord, ...] | None:
        """Processes the next record of the stream.

        Returns:
            The lease records that this record shows to be effective, in order
            of offset, or None if it is not a lease record.
        """
        parsed = CODEC.parse(item.body)
        if isinstance(parsed, Failure):
            return None
        entry = LeaseRecord(
            offset=item.offset,
            record_id=item.record_id,
            message=parsed.unwrap(),
        )
        return (
            self._evaluate(entry)
            if self._is_term_known
            else self._evaluate_after_gap(entry)
        )

    def _evaluate(self, entry: LeaseRecord) -> tuple[LeaseRecord, ...]:
        message = entry.message
        if isinstance(message, Claim):
            effective = (
                self._last_effective <= message.after_offset < entry.offset
            )
        elif isinstance(message, Renew):
            effective = (
                message.term == self._term
                and message.after_offset == self._last_effective
            )
        else:
            effective = message.term == self._term
        if effective:
            self._accept(entry)
        return (entry,) if effective else ()

    def _accept(self, entry: LeaseRecord) -> None:
        self._is_term_known = True
        self._last_effective = entry.offset
        if isinstance(entry.message, Release):
            self._term, self._holder = None, ""
            return
        claimed = isinstance(entry.message, Claim)
        self._term = entry.offset if claimed else entry.message.term
        self._holder = entry.message.holder

    def _evaluate_after_gap(
        self, entry: LeaseRecord
    ) -> tuple[LeaseRecord, ...]:
        message, last_seen = entry.message, self._last_seen
        self._last_seen = entry.offset
        if isinstance(message, Claim):
            # Only records read since the gap can lie in between.
            if message.after_offset < last_seen:
                self._add_undecided(entry)
                return ()
            self._accept(entry)
            self._undecided = []
            return (entry,)
        self._add_undecided(entry)
        for index, undecided in enumerate(self._undecided):
            if undecided.offset == message.after_offset:
                return self._replay_from(index)
        return ()

    def _replay_from(self, index: int) -> tuple[LeaseRecord, ...]:
        waiting, self._undecided = self._undecided[index:], []
        self._accept(waiting[0])
        found = [waiting[0]]
        for entry in waiting[1:]:
            found.extend(self._evaluate(entry))
        return tuple(found)

    def _add_undecided(self, entry: LeaseRecord) -> None:
        self._undecided.append(entry)
        del self._undecided[:-MAX_UNDECIDED]
