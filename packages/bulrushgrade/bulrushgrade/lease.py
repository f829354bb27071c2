"""One candidate's lease over a group of engines.

`leaselog.LeaseFold` determines which lease records are effective. `Lease` adds
the decisions that depend on the local clock: when to claim, when to renew and
when to stop acting as the holder.

Times are seconds of a monotonic clock that keeps counting while the machine is
suspended. Clocks of different hosts are never compared, only their rates
matter: the holder counts from before it sent a renewal, a candidate from after
it read that renewal, and the guard interval covers the difference in rates.
"""

from collections.abc import Callable
from typing import Protocol

import attrs
from automat import TypeMachineBuilder

from bulrushgrade import errors
from bulrushgrade import leaselog
from bulrushgrade import position
from bulrushgrade import record

# Appends whose send times are kept. More are in flight only while the log is
# unavailable, and by then the oldest could no longer extend a lease.
MAX_TRACKED_APPENDS = 16


@attrs.frozen(kw_only=True)
class LeaseTimes:
    """Timing parameters of a lease, in seconds.

    Attributes:
        ttl_s: How long a lease lasts after an effective claim or renewal.
        guard_s: Safety margin that the holder subtracts from the TTL and
            candidates add to it. It must cover the TTL multiplied by the
            difference between two clocks' rates, plus the length of an
            event-loop turn between a check and the write that relies on it.
        renew_every_s: Interval between renewals. A third of the TTL tolerates
            two failed renewals.
        retry_s: Interval between attempts while the log does not answer.
        stagger_s: Additional delay per rank before a candidate claims, about
            the time that it takes to append a claim and read it back. It
            keeps candidates from loading the log all at once when a holder
            is lost.
    """

    ttl_s: float = 6.0
    guard_s: float = 0.5
    renew_every_s: float = 2.0
    retry_s: float = 0.5
    stagger_s: float = 0.5

    def __attrs_post_init__(self):
        if not 0 < self.guard_s < self.ttl_s - self.renew_every_s:
            raise errors.BrokenInvariantError(
                "guard_s must be positive and below ttl_s - renew_every_s"
            )


class _Phase(Protocol):
    def name(self) -> str:
        """Returns the phase's name."""

    def claim_sent(self) -> None:
        """A claim was returned to the owner to be appended."""

    def claim_failed(self) -> None:
        """The claim had no effect or was not read back in time."""

    def won(self) -> None:
        """This process's claim or renewal was read back as effective."""

    def expired(self) -> None:
        """The lease expired according to the local clock."""

    def superseded(self) -> None:
        """The current term is no longer known to be this process's."""

    def retire(self) -> None:
        """The process stops competing for the lease."""


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

    The owner passes in each page that it reads from the stream, calls `tick`
    periodically and appends the records that it returns. `holds_lease` must
    be called in the same event-loop turn as the write that relies on it. The
    time passed in with a page must be taken after the page was received.
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
        """Creates a view of a stream that has not been read yet.

        Args:
            group: The name of the group of engines.
            holder: This candidate's name, unique to each run of the process.
            rank: The candidate's position among the candidates, from 0. None
                means that it never claims the lease.
            times: The timing parameters, the same for all candidates.
            new_id: Returns a unique record id.
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
        """The name of the stream that is read and appended to."""
        return self._stream

    @property
    def next_offset(self) -> int:
        """The offset to read next."""
        return self._position.next_offset

    @property
    def fold(self) -> leaselog.LeaseFold:
        """The state derived from the records, the same for all readers."""
        return self._fold

    @property
    def phase(self) -> str:
        """One of watching, claiming, holding, lapsed and retired."""
        return self._phase.name()

    @property
    def term(self) -> int | None:
        """This process's term, even if its lease has expired since."""
        return self._own_term

    @property
    def expires_at(self) -> float:
        """When this process's lease ends, by the local clock."""
        return self._expires_at

    def set_rank(self, rank: int | None) -> None:
        """Changes the candidate's rank when the set of hosts changes."""
        self._rank = rank

    def holds_lease(self, now: float) -> bool:
        """Returns whether this process holds a valid lease now.

        A process that was paused for several TTLs is still in the holding
        phase when it resumes, so the phase alone is not sufficient: the time
        is compared with the end of the lease as well.
        """
        return now < self._expires_at and self.phase == "holding"

    def apply_page(self, page: record.Page, now: float) -> None:
        """Processes a page of the stream."""
        if self._position.open_page(page):
            self._handle_gap(now)
        for item in page.records:
            self.apply(item, now)
        self._position.close_page(page)
        if self._unchanged_since is None:
            self._unchanged_since = now

    def apply(self, item: record.Record, now: float) -> None:
        """Processes one record of the stream."""
        arrival = self._position.advance(item.offset)
        if arrival is position.Arrival.REPEATED:
            return
        if arrival is position.Arrival.GAP:
            self._handle_gap(now)
        was_term_known = self._fold.is_term_known
        found = self._fold.apply(item)
        if found is None:
            return
        # A record that can't be evaluated may be effective, so candidates
        # wait for the lease that it may have extended.
        if found or not was_term_known:
            self._unchanged_since = now
        for entry in found:
            self._apply_effective(entry, now)
        if self._own_term is not None and self._fold.term != self._own_term:
            self._lose_term()
        elif self.phase == "claiming" and found:
            self._phase.claim_failed()

    def tick(self, now: float) -> tuple[record.Append, ...]:
        """Returns the records to append; call it several times a second."""
        phase = self.phase
        if phase == "holding" and now >= self._expires_at:
            self._phase.expired()
        if phase == "claiming" and now >= self._last_sent + self._times.ttl_s:
            self._phase.claim_failed()
        if now < self._last_sent + self._times.retry_s:
            return ()
        if phase == "retired" and self._owns_term():
            # The release's answer was lost, or a claim took effect after
            # this process retired. Without another release, candidates would
            # wait for the full TTL.
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
        """Records that an append is known not to have taken effect."""
        self._sent_at.pop(record_id, None)
        if self.phase == "claiming":
            self._phase.claim_failed()

    def retire(self, now: float) -> record.Append | None:
        """Stops competing for the lease; call it before a planned stop.

        All work that relies on the lease must have finished.

        Returns:
            The release to append, which lets candidates claim without waiting
            for the lease to expire, or None if there is nothing to release.
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
            # The last holder, which a trimmed gap may hide, can act until
            # its TTL minus the guard has passed on its own clock. It sent its
            # last renewal before that could be read here, so waiting for the
            # TTL plus the guard from then on outlasts its lease, as long as
            # the guards cover the difference between the clocks' rates.
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

    def _apply_effective(self, entry: leaselog.LeaseRecord, now: float) -> None:
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
