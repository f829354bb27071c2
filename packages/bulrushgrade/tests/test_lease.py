"""Tests of one candidate's lease with a fake log."""

from bulrushgrade import fakeholder
from bulrushgrade import fakelog
from bulrushgrade import lease

TIMES = lease.LeaseTimes()
STREAM = "control.g"


def _candidates():
    log = fakelog.FaultyLog()
    a = fakeholder.FakeHolder(name="a", log=log)
    return log, a, fakeholder.FakeHolder(name="b", log=log)


def test_first_candidate_holds_and_renews():
    log, a, _ = _candidates()
    a.step(0.0)
    assert (a.lease.phase, a.lease.term) == ("holding", 0)
    assert a.lease.expires_at == TIMES.ttl_s - TIMES.guard_s
    a.step(1.9)
    assert a.lease.next_offset == 1
    a.step(2.0)
    assert a.lease.expires_at == 2.0 + TIMES.ttl_s - TIMES.guard_s
    assert log.read(STREAM, 0).end_offset == 2


def test_second_waits_for_the_whole_lease():
    log, a, b = _candidates()
    b.lease.set_rank(1)
    a.step(0.0)
    b.step(1.0)
    due = 1.0 + TIMES.ttl_s + TIMES.guard_s + TIMES.stagger_s
    b.step(due - 0.01)
    assert b.lease.phase == "watching"
    b.step(due)
    assert (b.lease.phase, b.lease.term) == ("holding", 1)


def test_resumed_holder_does_not_act():
    # A is paused for several TTLs and B takes over. When A resumes, it is
    # still in the holding phase, but its lease has expired.
    log, a, b = _candidates()
    a.step(0.0)
    for now in (0.0, 30.0):
        b.step(now)
    assert a.lease.phase == "holding"
    assert not a.lease.holds_lease(30.0)
    assert b.lease.holds_lease(30.0)
    a.step(30.0)
    assert a.lease.phase == "watching"


def test_claim_whose_answer_was_lost_counts_from_before_it_was_sent():
    # The log stores A's claim but the answer is lost, and A reads the claim
    # back only shortly before the lease expires.
    log, a, _ = _candidates()
    a.read(0.0)
    (append,) = a.lease.tick(0.0)
    log.append(append)
    log.append(append)
    a.read(5.0)
    assert a.lease.holds_lease(5.0)
    assert not a.lease.holds_lease(5.5)


def test_lapsed_holder_renews_its_term_when_the_log_is_back():
    log, a, _ = _candidates()
    a.step(0.0)
    assert not a.lease.holds_lease(20.0)
    a.step(20.0)
    assert a.lease.holds_lease(20.0)
    assert a.lease.term == 0


def test_release_lets_a_candidate_claim_at_once():
    log, a, b = _candidates()
    b.lease.set_rank(1)
    a.step(0.0)
    b.step(0.0)
    log.append(a.lease.retire(3.0))
    assert not a.lease.holds_lease(3.0)
    b.step(3.0)
    b.step(3.0 + TIMES.stagger_s)
    assert b.lease.holds_lease(3.5)
    assert b.lease.term == 2


def test_lost_release_is_sent_again():
    log, a, _ = _candidates()
    a.step(0.0)
    assert a.lease.retire(1.0) is not None
    a.step(2.0)
    assert a.lease.fold.term is None


def test_group_whose_records_were_all_trimmed_is_claimed_again():
    # All hosts are replaced after a long outage of the log and every lease
    # record is trimmed. The group must not be left without a holder.
    log, old, a = _candidates()
    old.step(0.0)
    log.trim(STREAM, 1)
    a.step(1.0)
    assert not a.lease.fold.is_term_known
    a.step(7.0)
    assert a.lease.phase == "watching"
    a.step(7.5)
    assert (a.lease.phase, a.lease.term) == ("holding", 1)


def test_candidate_past_a_gap_waits_from_the_last_undecided_renewal():
    # A's claim is trimmed before B joins, so B can't evaluate A's next
    # renewal. A loses the log right after it, but its lease is still valid.
    log, a, b = _candidates()
    a.step(0.0)
    log.trim(STREAM, 1)
    b.step(0.0)
    a.step(4.0)
    b.step(4.0)
    assert not b.lease.fold.is_term_known
    b.step(6.5)
    assert a.lease.holds_lease(6.5)
    assert b.lease.phase == "watching"
    b.step(10.5)
    assert b.lease.holds_lease(10.5)


def test_reader_that_missed_trimmed_records_waits_the_whole_lease():
    # B is paused while A claims and renews, and all these records are trimmed
    # before B reads again, so B has not seen any lease record.
    log, a, b = _candidates()
    b.read(0.0)
    for now in (0.0, 2.0, 4.0, 6.0, 8.0):
        a.step(now)
    log.trim(STREAM, 5)
    b.step(8.0)
    assert (b.lease.phase, b.lease.next_offset) == ("watching", 5)
    b.step(14.5)
    assert b.lease.holds_lease(14.5)
    assert not a.lease.holds_lease(13.5)
