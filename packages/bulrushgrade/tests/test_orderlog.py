"""Tests of the fold of order records."""

from bulrushgrade import orderlog
from bulrushgrade import record

PREFILL = orderlog.Wanted(role="prefill", model="m", version="1")
DECODE = orderlog.Wanted(role="decode", model="m", version="1")


def _fold(messages, *, start=0, term=5):
    fold = orderlog.OrderFold()
    if start:
        fold.skip_to(start)
    for offset, message in enumerate(messages, start):
        body = orderlog.CODEC.serialize(message)
        item = record.Record(offset=offset, record_id="r", body=body)
        fold.apply(item, term)
    return fold


def _intent(order_id, after, wanted=PREFILL, term=5):
    return orderlog.Intent(
        engine="e",
        order_id=order_id,
        wanted=wanted,
        term=term,
        after_offset=after,
    )


def _outcome(order_id):
    return orderlog.Outcome(engine="e", order_id=order_id, seen=PREFILL, term=5)


def test_an_intent_is_unfinished_until_its_outcome():
    fold = _fold([_intent("o1", -1)])
    assert fold.unfinished["e"].number == 0
    assert _fold([_intent("o1", -1), _outcome("o1")]).unfinished == {}


def test_records_of_another_term_have_no_effect():
    assert _fold([_intent("o1", -1, term=4)]).unfinished == {}
    assert _fold([_intent("o1", -1)], term=None).unfinished == {}


def test_second_copies_have_no_effect():
    first = _intent("o1", -1)
    assert _fold([first, _outcome("o1"), first]).unfinished == {}
    second = _intent("o2", 1, DECODE)
    late = [first, _outcome("o1"), second, first, _outcome("o1")]
    assert _fold(late).unfinished["e"].order_id == "o2"


def test_fresh_reader_takes_the_latest_intent_until_history_is_complete():
    copy, again = _intent("o1", 3), _intent("o2", 7, DECODE)
    fold = _fold([copy, again], start=9)
    assert fold.unfinished["e"].order_id == "o2"
    fold = _fold([_intent("o2", 8, DECODE), copy], start=9)
    assert fold.unfinished["e"].order_id == "o2"
