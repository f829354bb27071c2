"""Lease records of a control stream, and who they give authority to.

Records of the stream ``control.GROUP`` decide who holds a group of engines: a
`Claim` that is effective makes its writer the holder, and its offset is the
term. `Renew` keeps the lease going and `Release` ends it. `LeaseFold` judges
them; no clock has a part in it, so every reader comes to the same result.
"""

import attrs
from returns.result import Failure

from bulrushgrade import codec
from bulrushgrade import record

# Lease records that can't be judged yet, kept until a later record settles
# them. A live group settles them within one renewal; what is dropped here
# only delays that, since a dropped record is never believed.
MAX_UNDECIDED = 256


@attrs.frozen(kw_only=True)
class Claim:
    """Asks for authority; effective iff nothing effective came in between.

    Attributes:
        holder: The candidate's name, unique for each run of the process.
        after_offset: The last lease record the candidate went by; the claim
            is not effective when an effective one stands behind it.
    """

    holder: str
    after_offset: int


@attrs.frozen(kw_only=True)
class Renew:
    """Prolongs a lease; effective iff it follows the last effective record.

    Attributes:
        holder: The holder's name, for readers that missed the claim.
        term: The offset of the holder's claim.
        after_offset: The last effective lease record, as judged by the
            writer. A reader of a trimmed stream takes it as testimony.
    """

    holder: str
    term: int
    after_offset: int


@attrs.frozen(kw_only=True)
class Release:
    """Ends a lease; effective iff its term is the current one.

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
class Judged:
    """A lease record that was found to be effective."""

    offset: int
    record_id: str
    message: LeaseMessage


class LeaseFold:
    """Judges lease records; every reader comes to the same result.

    A reader that saw the stream from offset 0 judges each record as it comes.
    Past a trimmed gap it knows nothing, and believes a record only when

    * a later `Renew` or `Release` names it as the last effective one: their
      writers have judged it, and writers only write what they have judged; or
    * it is a `Claim` whose `after_offset` reaches the gap's end with no other
      lease record in between, so that nothing effective can stand between.

    A `Renew` whose claim was trimmed proves no more than that its term once
    was current: a newer claim may lie in the gap. So it is kept unjudged
    until the next renewal, written by a holder that read this one back as
    effective, testifies to it.

    `Renew` must follow the last effective record exactly. A second copy of a
    record therefore never has an effect, even for a reader to which only the
    second copy is left; no list of ids is needed.
    """

    def __init__(self):
        self._is_term_known = True
        self._last_effective = -1
        self._last_seen = -1
        self._term: int | None = None
        self._holder = ""
        self._undecided: list[Judged] = []

    @property
    def is_term_known(self) -> bool:
        """Whether the current term is known."""
        return self._is_term_known

    @property
    def term(self) -> int | None:
        """The current term, or None where none is known to be current."""
        return self._term

    @property
    def holder(self) -> str:
        """Who holds the current term; empty where there is none."""
        return self._holder

    @property
    def last_offset(self) -> int:
        """What a claim made now has to follow."""
        return self._last_effective if self._is_term_known else self._last_seen

    def skip_to(self, origin: int) -> None:
        """Notes that the records before `origin` were trimmed unread."""
        self._is_term_known = False
        self._last_seen = origin - 1
        self._term, self._holder = None, ""
        self._undecided = []

    def apply(self, item: record.Record) -> tuple[Judged, ...] | None:
        """Takes the next record of the stream.

        Returns:
            The lease records that are now known to be effective, in order,
            or None where the record is no lease record at all.
        """
        parsed = CODEC.parse(item.body)
        if isinstance(parsed, Failure):
            return None
        entry = Judged(
            offset=item.offset,
            record_id=item.record_id,
            message=parsed.unwrap(),
        )
        return (
            self._evaluate(entry)
            if self._is_term_known
            else self._evaluate_after_gap(entry)
        )

    def _evaluate(self, entry: Judged) -> tuple[Judged, ...]:
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

    def _accept(self, entry: Judged) -> None:
        self._is_term_known = True
        self._last_effective = entry.offset
        if isinstance(entry.message, Release):
            self._term, self._holder = None, ""
            return
        claimed = isinstance(entry.message, Claim)
        self._term = entry.offset if claimed else entry.message.term
        self._holder = entry.message.holder

    def _evaluate_after_gap(self, entry: Judged) -> tuple[Judged, ...]:
        message, last_seen = entry.message, self._last_seen
        self._last_seen = entry.offset
        if isinstance(message, Claim):
            # All that could stand between is what was read since the gap.
            if message.after_offset < last_seen:
                self._add_undecided(entry)
                return ()
            self._accept(entry)
            self._undecided = []
            return (entry,)
        self._add_undecided(entry)
        for index, known in enumerate(self._undecided):
            if known.offset == message.after_offset:
                return self._replay_from(index)
        return ()

    def _replay_from(self, index: int) -> tuple[Judged, ...]:
        waiting, self._undecided = self._undecided[index:], []
        self._accept(waiting[0])
        found = [waiting[0]]
        for entry in waiting[1:]:
            found.extend(self._evaluate(entry))
        return tuple(found)

    def _add_undecided(self, entry: Judged) -> None:
        self._undecided.append(entry)
        del self._undecided[:-MAX_UNDECIDED]
