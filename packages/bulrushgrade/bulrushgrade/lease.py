"""One candidate's lease over a group of engines.

`leaselog.LeaseFold` says whose records are effective; `Lease` adds what only
this process's clock can tell: when to claim, to renew, and to stop acting.

Times are seconds of a clock that counts suspend. Only rates of clocks are
ever compared: the holder counts from before it sent a renewal, a candidate
from after it read it, and the guard covers the difference of the rates.
"""

from collections.abc import Callable
from typing import Protocol

import attrs
from automat import TypeMachineBuilder

from bulrushgrade import errors
from bulrushgrade import leaselog
from bulrushgrade import position
from bulrushgrade import record

# Appends of this process whose send times are remembered. More are in flight
# only when the log is away, and an older one could no longer extend a lease.
MAX_TRACKED_APPENDS = 16


@attrs.frozen(kw_only=True)
class LeaseTimes:
    """The times of a lease, in seconds.

    Attributes:
        ttl_s: How long an effective renewal lasts.
        guard_s: Taken off by the holder and added by candidates. It has to
            cover the TTL times the difference of two clocks' rates, and a
            turn's length between a check and the write that relies on it.
        renew_every_s: Time between renewals; a third of the TTL leaves room
            for two that fail.
        retry_s: Time between tries while the log does not answer.
        stagger_s: How much later each further rank claims, so that after a
            loss not all candidates load the log at once: about the time for a
            claim to be appended and read.
    """

    ttl_s: float = 6.0
    guard_s: float = 0.5
    renew_every_s: float = 2.0
    retry_s: float = 0.5
    stagger_s: float = 0.5

    def __attrs_post_init__(self):
        if not 0 < self.guard_s < self.ttl_s - self.renew_every_s:
            raise errors.BrokenInvariantError("lease times leave no lease")


class _Phase(Protocol):
    def name(self) -> str:
        """Returns the phase's name."""

    def claim_sent(self) -> None:
        """A claim was handed out to be appended."""

    def claim_failed(self) -> None:
        """The claim lost, or was not read back in time."""

    def won(self) -> None:
        """An own claim or renewal was read back as effective, in time."""

    def expired(self) -> None:
        """The lease ran out by this process's clock."""

    def superseded(self) -> None:
        """The term is not, or not known to be, the own one any more."""

    def retire(self) -> None:
        """The process gives up authority for good."""


def _build_phases():
    builder = TypeMachineBuilder(_Phase, object)
    watching = builder.state("watching")
    claiming = builder.state("claiming")
    holding = builder.state("holding")
    lapsed = builder.state("lapsed")
    retired = builder.state("retired")
    for state, name in (
        (watching, "watching"),
        (claiming, "claiming"),
        (holding, "holding"),
        (lapsed, "lapsed"),
        (retired, "retired"),
    ):
        state.upon(_Phase.name).loop().returns(name)
        state.upon(_Phase.retire).to(retired).returns(None)
    watching.upon(_Phase.claim_sent).to(claiming).returns(None)
    claiming.upon(_Phase.claim_failed).to(watching).returns(None)
    for state in (watching, claiming, holding, lapsed):
        state.upon(_Phase.won).to(holding).returns(None)
        state.upon(_Phase.superseded).to(watching).returns(None)
    holding.upon(_Phase.expired).to(lapsed).returns(None)
    return builder.build()


_PHASES = _build_phases()


class Lease:
    """One candidate's view of one group's lease.

    The owner feeds pages of the stream as read, asks at each tick what to
    append, and sends that after the call; `holds_lease` must be asked in the
    same turn as the write that relies on it. The present time given along
    with a page must be taken after the page was received.
    """

    def __init__(
        self,
        *,
        group: str,
        holder: str,
        rank: int | None,
        times: LeaseTimes,
        new_id: Callable[[], str],
    ):
        """Makes a view that has read nothing.

        Args:
            group: The group of engines.
            holder: This candidate's name, unique for each run.
            rank: Its place among the candidates, from 0; None only watches.
            times: The lease's times, equal for all candidates.
            new_id: Makes a unique record id.
        """
        self._stream = f"control.{group}"
        self._name = holder
        self._rank = rank
        self._times = times
        self._new_id = new_id
        self._fold = leaselog.LeaseFold()
        self._position = position.Position()
        self._phase = _PHASES(object())
        self._sent_at: dict[str, float] = {}
        self._last_sent = -times.ttl_s
        self._own_term: int | None = None
        self._expires_at = 0.0
        self._unchanged_since: float | None = None

    @property
    def stream(self) -> str:
        """The stream to read and to append to."""
        return self._stream

    @property
    def next_offset(self) -> int:
        """The offset to read next."""
        return self._position.next_offset

    @property
    def fold(self) -> leaselog.LeaseFold:
        """What all readers agree on."""
        return self._fold

    @property
    def phase(self) -> str:
        """One of watching, claiming, holding, lapsed, retired."""
        return self._phase.name()

    @property
    def term(self) -> int | None:
        """The own term, also when its lease has run out meanwhile."""
        return self._own_term

    @property
    def expires_at(self) -> float:
        """When the own lease ends by this process's clock."""
        return self._expires_at

    def set_rank(self, rank: int | None) -> None:
        """Changes the candidate's rank, as the set of hosts changes."""
        self._rank = rank

    def holds_lease(self, now: float) -> bool:
        """Whether this process has authority at this moment.

        A process that was stopped for several TTLs still finds itself in the
        phase of holding when it wakes; the clock, which went on, tells. So
        the time decides, never the phase alone.
        """
        return now < self._expires_at and self.phase == "holding"

    def apply_page(self, page: record.Page, now: float) -> None:
        """Takes a page of the stream."""
        if self._position.open_page(page):
            self._handle_gap(now)
        for item in page.records:
            self.apply(item, now)
        self._position.close_page(page)
        if self._unchanged_since is None:
            self._unchanged_since = now

    def apply(self, item: record.Record, now: float) -> None:
        """Takes one record of the stream."""
        arrival = self._position.advance(item.offset)
        if arrival is position.Arrival.REPEATED:
            return
        if arrival is position.Arrival.GAP:
            self._handle_gap(now)
        was_term_known = self._fold.is_term_known
        found = self._fold.apply(item)
        if found is None:
            return
        # An unjudged record may have been effective: wait for its lease too.
        if found or not was_term_known:
            self._unchanged_since = now
        for entry in found:
            self._apply_effective(entry, now)
        if self._own_term is not None and self._fold.term != self._own_term:
            self._lose_term()
        elif self.phase == "claiming" and found:
            self._phase.claim_failed()

    def tick(self, now: float) -> tuple[record.Append, ...]:
        """Returns what to append now; call it several times a second."""
        phase = self.phase
        if phase == "holding" and now >= self._expires_at:
            self._phase.expired()
        if phase == "claiming" and now >= self._last_sent + self._times.ttl_s:
            self._phase.claim_failed()
        if now < self._last_sent + self._times.retry_s:
            return ()
        if phase == "retired" and self._owns_term():
            # A release whose answer was lost, or a claim that came through
            # after all: without this, candidates would wait for its TTL.
            return (self._send(self._build_message(leaselog.Release), now),)
        if self._may_claim(now):
            self._phase.claim_sent()
            claim = leaselog.Claim(
                holder=self._name, after_offset=self._fold.last_offset
            )
            return (self._send(claim, now),)
        if self._may_renew(now):
            return (self._send(self._build_message(leaselog.Renew), now),)
        return ()

    def append_failed(self, record_id: str) -> None:
        """Notes that an append certainly did not take effect."""
        self._sent_at.pop(record_id, None)
        if self.phase == "claiming":
            self._phase.claim_failed()

    def retire(self, now: float) -> record.Append | None:
        """Gives up authority for good; call it before a planned stop.

        Returns:
            The release to append, which saves candidates the wait for the
            lease's end, or None where there is nothing to release. All work
            that relies on the lease has to be over before.
        """
        owned = self._owns_term()
        self._phase.retire()
        return (
            self._send(self._build_message(leaselog.Release), now)
            if owned
            else None
        )

    def _owns_term(self) -> bool:
        return self._own_term is not None and self._fold.term == self._own_term

    def _may_claim(self, now: float) -> bool:
        if self.phase != "watching" or self._rank is None:
            return False
        if not self._position.caught_up or self._unchanged_since is None:
            return False
        wait_s = self._rank * self._times.stagger_s
        if not self._fold.is_term_known or self._fold.term is not None:
            # The last holder, known or hidden by a gap, may act until its
            # TTL less the guard is over by its own clock. It sent its last
            # renewal before it could be read here, so TTL plus guard from
            # then on outlasts it as long as the rates differ by less.
            wait_s += self._times.ttl_s + self._times.guard_s
        return now >= self._unchanged_since + wait_s

    def _may_renew(self, now: float) -> bool:
        if self.phase not in ("holding", "lapsed") or not self._owns_term():
            return False
        granted_at = self._expires_at - self._times.ttl_s + self._times.guard_s
        return now >= granted_at + self._times.renew_every_s

    def _build_message(self, kind: type) -> leaselog.LeaseMessage:
        return kind(
            holder=self._name,
            term=self._own_term,
            after_offset=self._fold.last_offset,
        )

    def _send(
        self, message: leaselog.LeaseMessage, now: float
    ) -> record.Append:
        append = record.Append(
            stream=self._stream,
            record_id=self._new_id(),
            body=leaselog.CODEC.serialize(message),
        )
        self._sent_at[append.record_id] = self._last_sent = now
        if len(self._sent_at) > MAX_TRACKED_APPENDS:
            del self._sent_at[next(iter(self._sent_at))]
        return append

    def _apply_effective(self, entry: leaselog.Judged, now: float) -> None:
        sent_at = self._sent_at.pop(entry.record_id, None)
        if sent_at is None or isinstance(entry.message, leaselog.Release):
            return
        self._own_term = self._fold.term
        self._expires_at = sent_at + self._times.ttl_s - self._times.guard_s
        if self.phase == "retired":
            return
        self._phase.won()
        if now >= self._expires_at:
            self._phase.expired()

    def _lose_term(self) -> None:
        self._own_term = None
        if self.phase != "retired":
            self._phase.superseded()

    def _handle_gap(self, now: float) -> None:
        self._fold.skip_to(self._position.origin)
        self._unchanged_since = now
        self._lose_term()
