"""At-most-once execution of requests that carry an idempotency key.

`OnceShard` is one daemon's view of one shard. It claims keys, decides which
claim may run and answers duplicates. `oncelog` derives the state of each key
from the log; this module adds what depends on the local clock and on the
requests that this process has started.

Guarantee: of all requests with the same key within the key's lifetime, at most
one is written to an endpoint, whatever host they reach. The others get its
answer, or are told to retry, or that the outcome is unknown.
"""

from collections.abc import Callable

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade import errors
from bulrushgrade import oncedecision
from bulrushgrade import oncelog
from bulrushgrade import position
from bulrushgrade import record

# Upper bound on the retry delay given to a duplicate. Most requests finish
# within seconds, so a delay up to the run limit would hold back the answer.
MAX_RETRY_AFTER_S = 1.0


@attrs.define(kw_only=True)
class _OwnClaim:
    """A claim made by this process.

    Attributes:
        key: The claimed key.
        digest: The digest of the request.
        sent_at: The time before the claim was appended.
        started: Whether a byte may have been written to an endpoint.
        outcome: The record that ends the claim, until it is read back.
        outcome_sent_at: When that record was last returned to the owner.
    """

    key: str
    digest: str
    sent_at: float
    started: bool = False
    outcome: record.Append | None = None
    outcome_sent_at: float = 0.0


class OnceShard:
    """One daemon's view of one shard of once-only requests."""

    def __init__(
        self,
        *,
        shard: int,
        runner: str,
        limits: oncelog.OnceLimits,
        new_id: Callable[[], str],
    ):
        """Creates a view of a stream that has not been read yet.

        Args:
            shard: The shard's number.
            runner: This daemon's name, for diagnostics.
            limits: The limits, the same for all daemons.
            new_id: Returns a unique record id.
        """
        self._stream = f"once.{shard}"
        self._runner = runner
        self._limits = limits
        self._new_id = new_id
        self._position = position.Position()
        self._own_claims: dict[str, _OwnClaim] = {}
        self._claim_of_key: dict[str, str] = {}
        self._claim_of_outcome: dict[str, str] = {}
        self._fold = oncelog.OnceFold(limits=limits)

    @property
    def stream(self) -> str:
        """The name of the stream that is read and appended to."""
        return self._stream

    @property
    def next_offset(self) -> int:
        """The offset to read next."""
        return self._position.next_offset

    @property
    def caught_up(self) -> bool:
        """Whether the stream has been read from its earliest record to its end.

        Until then the daemon may be unaware of existing claims, so it claims
        nothing.
        """
        return self._position.caught_up

    @property
    def fold(self) -> oncelog.OnceFold:
        """The state of each key, derived from the log."""
        return self._fold

    @property
    def pending_claims(self) -> int:
        """The number of this process's claims that have not ended yet."""
        return len(self._own_claims)

    def apply_page(self, page: record.Page, now: float) -> None:
        """Processes a page of the stream."""
        self._position.open_page(page)
        for item in page.records:
            self.apply(item, now)
        self._position.close_page(page)

    def apply(self, item: record.Record, now: float) -> None:
        """Processes one record of the stream."""
        if self._position.advance(item.offset) is position.Arrival.REPEATED:
            return
        self._fold.apply(item, now)
        claim_id = self._claim_of_outcome.get(item.record_id)
        if claim_id is not None:
            self._remove_claim(claim_id)

    def claim(
        self, *, key: str, digest: str, now: float
    ) -> Result[record.Append, oncedecision.Decision]:
        """Creates a claim of a free key.

        Args:
            key: The key, from `oncelog.scoped_key`.
            digest: The request's digest, from `oncelog.digest_of`.
            now: The time before the claim is sent.

        Returns:
            The claim to append, whose record id is the claim id, or the
            decision that rules a claim out.
        """
        decision = self.decide(key=key, digest=digest, now=now)
        if not isinstance(decision, oncedecision.Free):
            return Failure(decision)
        message = oncelog.Claim(
            key=key,
            digest=digest,
            runner=self._runner,
            run_limit_s=self._limits.run_limit_s,
        )
        append = self._make_append(message)
        self._own_claims[append.record_id] = _OwnClaim(
            key=key, digest=digest, sent_at=now
        )
        self._claim_of_key[key] = append.record_id
        return Success(append)

    def decide(
        self, *, key: str, digest: str, now: float, claim_id: str = ""
    ) -> oncedecision.Decision:
        """Decides how to proceed with a request.

        Args:
            key: The request's key.
            digest: The request's digest.
            now: The current time.
            claim_id: The id of the claim made for this request, if any.
        """
        self._fold.expire(now)
        if not self.caught_up:
            return errors.OnceNotReady()
        entry = self._fold.find(key)
        if entry is not None and entry.state is not oncelog.State.ABANDONED:
            return self._decide_claimed(entry, digest, now, claim_id)
        own = self._own_claims.get(claim_id)
        if own is not None and own.outcome is None:
            in_time = now < own.sent_at + self._limits.start_limit_s
            return oncedecision.Pending() if in_time else oncedecision.Late()
        concurrent = self._find_concurrent_claim(key, now)
        return concurrent if concurrent is not None else oncedecision.Free()

    def may_start(self, claim_id: str, now: float) -> bool:
        """Returns whether a claim's request may be written to its endpoint."""
        own = self._own_claims.get(claim_id)
        if own is None or own.started or own.outcome is not None:
            return False
        entry = self._fold.find(own.key)
        # While this process was paused, other daemons may have expired the
        # key and let a new claim run. The local clock kept counting and the
        # start limit is far below the key's lifetime, so such a late start
        # is rejected here.
        return (
            entry is not None
            and entry.state is oncelog.State.CLAIMED
            and entry.claim_id == claim_id
            and now < own.sent_at + self._limits.start_limit_s
        )

    def start(self, claim_id: str, now: float) -> bool:
        """Marks a claim as started.

        It must be called in the same event-loop turn as the first write, on a
        connection that is already open.

        Returns:
            Whether the request may be written now; True at most once.
        """
        if not self.may_start(claim_id, now):
            return False
        self._own_claims[claim_id].started = True
        return True

    def mark_not_started(self, claim_id: str) -> None:
        """Marks a started claim as not started, so that it can run again.

        It may be called only if the endpoint itself answered that it did not
        start the request and never will, so that the request can be sent to
        another endpoint without running twice.
        """
        own = self._own_claims.get(claim_id)
        if own is None or not own.started or own.outcome is not None:
            raise errors.BrokenInvariantError(
                f"claim {claim_id} is not running"
            )
        own.started = False

    def finish(
        self,
        claim_id: str,
        *,
        answer: oncelog.Answer | None,
        known: bool,
        now: float,
    ) -> record.Append | None:
        """Ends a started claim with its outcome.

        Args:
            claim_id: The claim's id.
            answer: The complete answer, if there is one.
            known: False if it is unknown whether the request took effect.
            now: The current time.

        Returns:
            The record to append, which `due` repeats until it is read back,
            or None if the key's lifetime is over.
        """
        own = self._own_claims.get(claim_id)
        if own is None:
            return None
        if not own.started or own.outcome is not None:
            raise errors.BrokenInvariantError(
                f"claim {claim_id} is not running"
            )
        if answer and len(answer.body) > self._limits.answer_bytes:
            answer = None
        return self._make_outcome(
            own,
            oncelog.Done(
                key=own.key,
                claim_id=claim_id,
                digest=own.digest,
                known=known,
                answer=answer,
            ),
            now,
        )

    def abandon(self, claim_id: str, now: float) -> record.Append | None:
        """Abandons a claim that is known not to have run.

        The claim can no longer start afterwards. After `start`, this method
        may be called only if the endpoint itself answered that it did not
        start the request.

        Returns:
            The record to append, or None if the claim has already ended.
        """
        own = self._own_claims.get(claim_id)
        if own is None or own.outcome is not None:
            return None
        own.started = True
        return self._make_outcome(
            own, oncelog.Abandon(key=own.key, claim_id=claim_id), now
        )

    def append_failed(self, claim_id: str) -> None:
        """Records that a claim's append is known not to have taken effect."""
        self._remove_claim(claim_id)

    def due(self, now: float) -> tuple[record.Append, ...]:
        """Returns the outcomes to append again; call it at each tick.

        Without the repetition, a lost append would leave the key's outcome
        unknown to all daemons. The copies share one record id and have a
        single effect.
        """
        self._remove_expired(now)
        found = []
        for own in self._own_claims.values():
            retry_at = own.outcome_sent_at + self._limits.retry_s
            if own.outcome is not None and now >= retry_at:
                own.outcome_sent_at = now
                found.append(own.outcome)
        return tuple(found)

    def _decide_claimed(
        self, entry: oncelog.Entry, digest: str, now: float, claim_id: str
    ) -> oncedecision.Decision:
        if entry.digest != digest:
            return errors.KeyConflict()
        if entry.state is oncelog.State.DONE:
            return (
                oncedecision.Duplicate(answer=entry.answer)
                if entry.known
                else oncedecision.Unknown()
            )
        own = self._own_claims.get(claim_id)
        if entry.claim_id == claim_id and own and not own.started:
            return (
                oncedecision.Run()
                if self.may_start(claim_id, now)
                else oncedecision.Late()
            )
        ends_at = (
            entry.claimed_at + self._limits.start_limit_s + entry.run_limit_s
        )
        if now < ends_at:
            return oncedecision.Running(
                retry_after_s=self._retry_after_s(ends_at - now)
            )
        return oncedecision.Unknown()

    def _find_concurrent_claim(
        self, key: str, now: float
    ) -> oncedecision.Running | None:
        """Finds a claim of the key by this process that is still in flight.

        It keeps a second request with the same key on this daemon from making
        another claim, which would only load the log.
        """
        own = self._own_claims.get(self._claim_of_key.get(key, ""))
        if own is None or own.outcome is not None:
            return None
        ends_at = own.sent_at + self._limits.start_limit_s
        if now >= ends_at:
            return None
        return oncedecision.Running(
            retry_after_s=self._retry_after_s(ends_at - now)
        )

    def _retry_after_s(self, at_most_s: float) -> float:
        return min(max(at_most_s, self._limits.retry_s), MAX_RETRY_AFTER_S)

    def _make_outcome(
        self,
        own: _OwnClaim,
        message: oncelog.Done | oncelog.Abandon,
        now: float,
    ) -> record.Append:
        own.outcome = self._make_append(message)
        own.outcome_sent_at = now
        self._claim_of_outcome[own.outcome.record_id] = message.claim_id
        return own.outcome

    def _make_append(
        self, message: oncelog.Claim | oncelog.Done | oncelog.Abandon
    ) -> record.Append:
        return record.Append(
            stream=self._stream,
            record_id=self._new_id(),
            body=oncelog.CODEC.serialize(message),
        )

    def _remove_claim(self, claim_id: str) -> None:
        own = self._own_claims.pop(claim_id, None)
        if own is None:
            return
        if self._claim_of_key.get(own.key) == claim_id:
            del self._claim_of_key[own.key]
        if own.outcome is not None:
            del self._claim_of_outcome[own.outcome.record_id]

    def _remove_expired(self, now: float) -> None:
        # The claims are in order of sending, so the loop ends at the first
        # one that has not expired.
        for claim_id, own in list(self._own_claims.items()):
            if now < own.sent_at + self._limits.key_life_s:
                return
            self._remove_claim(claim_id)
