"""Running a request at most once, whatever host its retries reach.

`OnceShard` is one daemon's view of one shard: it claims keys, says which
claim may run, and answers duplicates. What the log says is in `oncelog`; what
is here depends on this process's clock and on what this process itself has
started.

The promise: of all requests that carry one key within its life, at most one
is written to an endpoint, and the others get its answer, or are told to come
back, or are told that the outcome is unknown.
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

# A duplicate is asked to come back this soon at the latest. The usual request
# is over within seconds; waiting for the limit of the slowest would keep the
# caller from an early answer.
MAX_RETRY_AFTER_S = 1.0


@attrs.define(kw_only=True)
class _OwnClaim:
    """A claim of this process.

    Attributes:
        key: What it claims.
        digest: Of its request.
        sent_at: Clock from before the claim was appended.
        started: Whether a byte may have been written to an endpoint.
        outcome: The record that ends the claim, until it is read back.
        outcome_sent_at: When that was last handed out.
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
        """Makes a view that has read nothing.

        Args:
            shard: The shard's number.
            runner: This daemon's name, for people.
            limits: Equal for all daemons.
            new_id: Makes a unique record id.
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
        """The stream to read and to append to."""
        return self._stream

    @property
    def next_offset(self) -> int:
        """The offset to read next."""
        return self._position.next_offset

    @property
    def caught_up(self) -> bool:
        """Whether the stream was read from its earliest record to its end.

        Without this a daemon may not know of a claim that it should honour,
        so it claims nothing.
        """
        return self._position.caught_up

    @property
    def fold(self) -> oncelog.OnceFold:
        """What the log says about each key."""
        return self._fold

    @property
    def pending_claims(self) -> int:
        """Own claims whose end has not been read back."""
        return len(self._own_claims)

    def apply_page(self, page: record.Page, now: float) -> None:
        """Takes a page of the stream."""
        self._position.open_page(page)
        for item in page.records:
            self.apply(item, now)
        self._position.close_page(page)

    def apply(self, item: record.Record, now: float) -> None:
        """Takes one record of the stream."""
        if self._position.advance(item.offset) is position.Arrival.REPEATED:
            return
        self._fold.apply(item, now)
        claim_id = self._claim_of_outcome.get(item.record_id)
        if claim_id is not None:
            self._remove_claim(claim_id)

    def claim(
        self, *, key: str, digest: str, now: float
    ) -> Result[record.Append, oncedecision.Decision]:
        """Makes a claim of a free key.

        Args:
            key: From `oncelog.scoped_key`.
            digest: From `oncelog.digest_of`.
            now: The time before the claim is sent.

        Returns:
            The claim to append, whose record id names it from here on, or
            why there is none.
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
        """Says what a request with a key has to do now.

        Args:
            key: The request's key.
            digest: The request's digest.
            now: The present time.
            claim_id: The request's own claim, if it has made one.
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
        """Whether the request of a claim may be written to its endpoint."""
        own = self._own_claims.get(claim_id)
        if own is None or own.started or own.outcome is not None:
            return False
        entry = self._fold.find(own.key)
        # A winner that was paused wakes after others may have forgotten the
        # key and let a new claim run. Its own clock went on meanwhile; the
        # start limit is far below the key's life, so the late start is seen.
        return (
            entry is not None
            and entry.state is oncelog.State.CLAIMED
            and entry.claim_id == claim_id
            and now < own.sent_at + self._limits.start_limit_s
        )

    def start(self, claim_id: str, now: float) -> bool:
        """Takes the one permission to run a claim.

        To be called in the same turn as the first write, on a connection
        opened before.

        Returns:
            Whether the request may be written now; True once at most.
        """
        if not self.may_start(claim_id, now):
            return False
        self._own_claims[claim_id].started = True
        return True

    def mark_not_started(self, claim_id: str) -> None:
        """Gives the permission to run a claim back.

        To be called only where the endpoint itself answered that it did not
        start the request, and never will: then no run stands against another
        endpoint's.
        """
        own = self._own_claims.get(claim_id)
        if own is None or not own.started or own.outcome is not None:
            raise errors.BrokenInvariantError(f"{claim_id} does not run")
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
            claim_id: The claim.
            answer: The whole answer, where there is one.
            known: False where it can't be told whether it took effect.
            now: The present time.

        Returns:
            The record to append, which `due` repeats until it is read back,
            or None where the key's life is over.
        """
        own = self._own_claims.get(claim_id)
        if own is None:
            return None
        if not own.started or own.outcome is not None:
            raise errors.BrokenInvariantError(f"{claim_id} does not run")
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
        """Gives up a claim that was certainly not run.

        Once called, the claim can't start any more. After `start` it is
        right only where the endpoint itself answered that it did not start.

        Returns:
            The record to append, or None where the claim has ended already.
        """
        own = self._own_claims.get(claim_id)
        if own is None or own.outcome is not None:
            return None
        own.started = True
        return self._make_outcome(
            own, oncelog.Abandon(key=own.key, claim_id=claim_id), now
        )

    def append_failed(self, claim_id: str) -> None:
        """Notes that the append of a claim certainly did not take effect."""
        self._remove_claim(claim_id)

    def due(self, now: float) -> tuple[record.Append, ...]:
        """Returns outcomes to append again; call it at each tick.

        An outcome that was lost with the log's answer would leave its key
        unknown to all. The copies carry one id and have one effect.
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
        """Finds an own claim of the key that is still under way.

        Two requests of one key on one daemon would else both claim it; the
        second claim would only load the log.
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
        # In order of sending, so the first that is not expired ends it.
        for claim_id, own in list(self._own_claims.items()):
            if now < own.sent_at + self._limits.key_life_s:
                return
            self._remove_claim(claim_id)
