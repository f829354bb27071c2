"""Tests of the fold of lease records."""

from bulrushgrade import leaselog
from bulrushgrade import record

Claim, Renew, Release = leaselog.Claim, leaselog.Renew, leaselog.Release


def _fold(messages, *, start=0):
    """Folds messages at consecutive offsets from `start`."""
    fold = leaselog.LeaseFold()
    if start:
        fold.skip_to(start)
    for offset, message in enumerate(messages, start):
        fold.apply(
            record.Record(
                offset=offset,
                record_id=f"id-{offset}",
                body=leaselog.CODEC.serialize(message),
            )
        )
    return fold


def _claim(after, holder="a"):
    return Claim(holder=holder, after_offset=after)


def _renew(term, after, holder="a"):
    return Renew(holder=holder, term=term, after_offset=after)


def test_first_claim_wins_the_race():
    fold = _fold([_claim(-1), _claim(-1, "b")])
    assert (fold.term, fold.holder, fold.last_offset) == (0, "a", 0)


def test_claim_after_the_last_effective_record_takes_over():
    fold = _fold([_claim(-1), _renew(0, 0), _claim(0, "b"), _claim(1, "c")])
    assert (fold.term, fold.holder) == (3, "c")


def test_renewal_and_release_of_an_old_term_have_no_effect():
    old = [_claim(-1), _claim(0, "b")]
    late = [_renew(0, 0), Release(holder="a", term=0, after_offset=0)]
    assert _fold(old + late).last_offset == 1


def test_release_leaves_no_term():
    fold = _fold([_claim(-1), Release(holder="a", term=0, after_offset=0)])
    assert (fold.term, fold.is_term_known) == (None, True)


def test_second_copy_has_no_effect():
    claim, renewal = _claim(-1), _renew(0, 0)
    release = Release(holder="a", term=0, after_offset=2)
    fold = _fold([claim, claim, renewal, renewal])
    assert (fold.term, fold.last_offset) == (0, 2)
    fold = _fold([claim, claim, renewal, release, claim, renewal, release])
    assert (fold.term, fold.last_offset) == (None, 3)


def test_claim_ahead_of_the_log_has_no_effect():
    assert _fold([_claim(-1), _claim(99, "b")]).term == 0


def test_fresh_reader_does_not_accept_a_lone_renewal():
    # A host joins just after B's claim was trimmed. The first record that it
    # reads is a delayed renewal of A, whose term B had superseded.
    late = _renew(0, 0)
    assert not _fold([late], start=9).is_term_known
    assert not _fold([late, late], start=9).is_term_known


def test_fresh_reader_accepts_what_a_later_renewal_confirms():
    fold = _fold([_renew(3, 8, "b"), _renew(3, 9, "b")], start=9)
    assert (fold.term, fold.holder, fold.last_offset) == (3, "b", 10)


def test_fresh_reader_evaluates_records_after_the_confirmed_one():
    lost = _claim(8, "c")
    fold = _fold([_renew(3, 8), lost, _claim(9, "b"), _renew(3, 9)], start=9)
    assert (fold.term, fold.holder) == (11, "b")


def test_fresh_reader_accepts_a_claim_that_reaches_the_gap():
    assert _fold([_claim(8)], start=9).term == 9
    assert not _fold([_claim(7)], start=9).is_term_known
    assert not _fold([_renew(3, 5), _claim(8)], start=9).is_term_known
