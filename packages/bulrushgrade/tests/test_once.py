"""Tests of once-only requests with a fake log."""

import itertools

import pytest

from bulrushgrade import errors
from bulrushgrade import fakelog
from bulrushgrade import once
from bulrushgrade import oncedecision
from bulrushgrade import oncelog

LIMITS = oncelog.OnceLimits()
ANSWER = oncelog.Answer(status=200, content_type="text/plain", body=b"booked")


class Daemon:
    """A daemon that uses one shard."""

    def __init__(self, *, log, name, limits=LIMITS):
        ids = itertools.count()
        self.log = log
        self.once = once.OnceShard(
            shard=0,
            runner=name,
            limits=limits,
            new_id=lambda: f"{name}-{next(ids)}",
        )
        self.read(0.0)

    def read(self, now):
        page = self.log.read("once.0", self.once.next_offset)
        self.once.apply_page(page, now)

    def claim(self, now=0.0):
        append = self.once.claim(key="k", digest="d", now=now).unwrap()
        self.log.append(append)
        self.read(now)
        return append.record_id

    def decide(self, now=0.0, claim_id="", digest="d"):
        return self.once.decide(
            key="k", digest=digest, now=now, claim_id=claim_id
        )

    def finish(self, claim_id, now=0.0, answer=ANSWER):
        append = self.once.finish(claim_id, answer=answer, known=True, now=now)
        self.log.append(append)
        self.read(now)


def _two():
    log = fakelog.FakeLog()
    return Daemon(log=log, name="a"), Daemon(log=log, name="b")


def test_a_claim_runs_once_and_its_duplicate_gets_the_answer():
    a, b = _two()
    claim_id = a.claim()
    assert a.decide(claim_id=claim_id) == oncedecision.Run()
    assert a.once.start(claim_id, 0.0)
    assert not a.once.start(claim_id, 0.0)
    a.finish(claim_id)
    b.read(0.0)
    assert b.decide() == oncedecision.Duplicate(answer=ANSWER)
    assert a.once.pending_claims == 0


def test_the_first_of_two_claims_runs():
    a, b = _two()
    second = b.once.claim(key="k", digest="d", now=0.0).unwrap()
    first_id = a.claim()
    b.log.append(second)
    b.read(0.0)
    assert a.once.may_start(first_id, 0.0)
    assert not b.once.may_start(second.record_id, 0.0)
    assert b.decide(claim_id=second.record_id) == oncedecision.Running(
        retry_after_s=1.0
    )


def test_dead_runner_leaves_the_outcome_unknown():
    a, b = _two()
    assert a.once.start(a.claim(), 0.0)
    b.read(0.0)
    assert isinstance(b.decide(now=64.9), oncedecision.Running)
    assert b.decide(now=65.0) == oncedecision.Unknown()


def test_abandoned_key_may_run_elsewhere():
    a, b = _two()
    claim_id = a.claim()
    a.log.append(a.once.abandon(claim_id, 0.0))
    assert not a.once.may_start(claim_id, 0.0)
    b.read(0.0)
    assert b.once.start(b.claim(), 0.0)


def test_copy_of_an_abandoned_claim_does_not_block_its_key():
    a, b = _two()
    claim = a.once.claim(key="k", digest="d", now=0.0).unwrap()
    a.log.append(a.once.abandon(claim.record_id, 0.0))
    for _ in range(2):
        a.log.append(claim)
    b.read(0.0)
    assert b.once.start(b.claim(), 0.0)


def test_winner_that_was_paused_does_not_start():
    # A's claim is effective and A is paused. The key expires everywhere and a
    # retry runs through B. When A resumes, it must not start its request.
    a, b = _two()
    claim_id = a.claim()
    b.read(0.0)
    later = LIMITS.key_life_s
    assert b.once.start(b.claim(now=later), later)
    assert not a.once.start(claim_id, later)
    assert a.decide(now=5.0, claim_id=claim_id) == oncedecision.Late()


def test_start_limit_counts_from_before_the_claim_was_sent():
    # The answer to the claim's append is lost and the daemon reads the claim
    # back late, when others may already treat its outcome as unknown.
    a, _ = _two()
    claim = a.once.claim(key="k", digest="d", now=0.0).unwrap()
    a.log.append(claim)
    a.read(LIMITS.start_limit_s)
    assert not a.once.start(claim.record_id, LIMITS.start_limit_s)


def test_another_request_under_the_key_is_a_conflict():
    a, b = _two()
    a.claim()
    b.read(0.0)
    assert b.decide(digest="other") == errors.KeyConflict()


def test_daemon_that_has_not_read_the_stream_claims_nothing():
    log = fakelog.FakeLog()
    a = Daemon(log=log, name="a")
    a.claim()
    a.once.claim(key="x", digest="d", now=0.0)
    fresh = once.OnceShard(shard=0, runner="f", limits=LIMITS, new_id=str)
    assert isinstance(
        fresh.decide(key="k", digest="d", now=0.0), errors.OnceNotReady
    )
    fresh.apply_page(log.read("once.0", 0, limit=0), 0.0)
    assert not fresh.caught_up


def test_lost_outcome_is_sent_until_it_is_read_back():
    a, _ = _two()
    claim_id = a.claim()
    a.once.start(claim_id, 0.0)
    lost = a.once.finish(claim_id, answer=ANSWER, known=True, now=0.0)
    assert a.once.due(0.4) == ()
    assert a.once.due(0.5) == (lost,)
    a.log.append(lost)
    a.read(0.6)
    assert a.once.due(2.0) == ()


def test_memory_of_answers_and_keys_is_bounded():
    limits = oncelog.OnceLimits(answer_memory_bytes=8)
    log = fakelog.FakeLog()
    a = Daemon(log=log, name="a", limits=limits)
    for key in ("one", "two"):
        append = a.once.claim(key=key, digest="d", now=0.0).unwrap()
        log.append(append)
        a.read(0.0)
        a.once.start(append.record_id, 0.0)
        a.finish(append.record_id)
    assert a.once.fold.answer_bytes == 6
    assert a.once.decide(key="one", digest="d", now=1.0) == (
        oncedecision.Duplicate(answer=None)
    )
    a.once.fold.expire(900.0)
    assert (len(a.once.fold), a.once.fold.answer_bytes) == (0, 0)


def test_a_claim_without_effect_keeps_its_key_remembered():
    # A runs a claim that B ignored because B still knew an older one. The key
    # must not expire for B while A's claim may be running.
    a, b = _two()
    a.claim(now=0.0)
    b.read(0.0)
    a.claim(now=900.0)
    b.read(899.0)
    assert isinstance(b.decide(now=901.0), oncedecision.Unknown)
    assert isinstance(b.decide(now=1799.0), oncedecision.Free)


def test_misuse_and_bad_limits_are_broken_invariants():
    a, _ = _two()
    with pytest.raises(errors.BrokenInvariantError):
        a.finish(a.claim())
    with pytest.raises(errors.BrokenInvariantError):
        oncelog.OnceLimits(key_life_s=100.0)
