"""Tests of the buffer of records for relaying a topic."""

from hypothesis import given
from hypothesis import strategies as st

from bulrushgrade import directory
from bulrushgrade_daemon import topicjournal
from bulrushgrade_daemon import topicreader

ROOM = 10_000


def record(offset, key, state, count=0):
    """Returns a record whose value holds a state and a counter."""
    value = None if state is None else f"{state} {count}".encode()
    return topicreader.KeyedRecord(key=key, value=value, offset=offset)


def extract_state(found):
    state, count = found.value.split()
    return topicjournal.RecordState(content=state, order=(int(count),))


def make(*records, begin=0):
    journal = topicjournal.TopicJournal(extract_state=extract_state)
    journal.restart(topicreader.Listing(records=(), end=begin))
    journal.extend(records, begin + len(records))
    return journal


def read_relayed(journal, offset, max_bytes=ROOM):
    extract = journal.read_after(offset, max_bytes=max_bytes)
    return [(r.key, r.value) for r in extract.records], extract.end


def test_heartbeats_are_not_relayed():
    journal = make(
        record(0, "a", "ready", 1),
        record(1, "a", "ready", 2),
        record(2, "b", "ready", 1),
        record(3, "a", "ready", 3),
    )
    assert read_relayed(journal, 0) == (
        [("a", b"ready 1"), ("b", b"ready 1")],
        4,
    )
    assert read_relayed(journal, 3) == ([], 4)


def test_records_with_secrets_are_announced_and_not_kept():
    """Guards against callers' keys in relayed records."""
    journal = topicjournal.TopicJournal(
        extract_state=extract_state, keeps_records=False
    )
    journal.restart(
        topicreader.Listing(records=(record(0, "a", "key", 1),), end=1)
    )
    assert journal.extend((record(1, "a", "secret", 2),), 2)
    extract = journal.read_after(1, max_bytes=ROOM)
    assert (extract.records, extract.end, extract.has_more) == ((), 1, True)
    assert not journal.read_after(2, max_bytes=ROOM).has_more
    assert "secret" not in repr(vars(journal))


def test_the_last_heartbeat_is_relayed_before_a_change():
    """A duplicate of a heartbeat is appended after its endpoint is gone.

    A host that had not seen the heartbeat would take the duplicate for a newer
    record, and send requests to a missing endpoint.
    """
    journal = make(
        record(0, "a", "ready", 1),
        record(1, "a", "ready", 2),
        record(2, "a", None),
    )
    assert read_relayed(journal, 1) == ([("a", b"ready 2"), ("a", None)], 3)


def test_a_record_that_returns_after_its_deletion_is_relayed():
    journal = make(
        record(0, "a", "ready", 1),
        record(1, "a", None),
        record(2, "a", "ready", 2),
    )
    assert read_relayed(journal, 1) == ([("a", None), ("a", b"ready 2")], 3)


def test_a_read_before_the_journal_start_is_incomplete():
    """A host queries for records from before the start of the journal.

    It would take an empty reply for the absence of new records.
    """
    journal = make(begin=7)
    extract = journal.read_after(6, max_bytes=ROOM)
    assert extract.has_more
    assert extract.end == 6


def test_a_read_before_the_first_load_is_incomplete():
    journal = topicjournal.TopicJournal(extract_state=extract_state)
    assert journal.read_after(0, max_bytes=ROOM).has_more


def test_records_beyond_the_limit_come_in_the_next_read():
    records = [record(n, f"k{n}", "x" * 100) for n in range(10)]
    journal = make(*records)
    found, offset = [], 0
    while True:
        extract = journal.read_after(offset, max_bytes=300)
        found += extract.records
        assert extract.end > offset or not extract.has_more
        offset = extract.end
        if not extract.has_more:
            break
    assert found == records


def test_a_record_that_never_fits_is_left_to_the_store():
    journal = make(record(0, "a", "x" * 2000))
    extract = journal.read_after(0, max_bytes=300)
    assert extract.has_more
    assert extract.end == 0


def test_the_journal_is_bounded():
    count = topicjournal.MAX_RECORDS + 10
    journal = make(*(record(n, f"k{n}", "new") for n in range(count)))
    assert journal.read_after(9, max_bytes=ROOM * ROOM).has_more
    extract = journal.read_after(10, max_bytes=ROOM * ROOM)
    assert len(extract.records) == topicjournal.MAX_RECORDS


def registration(found):
    state, count = found.value.split()
    return directory.Registration(
        id=found.key,
        born_ms=0,
        service="s",
        host="127.0.0.1",
        port=1,
        zone="z",
        slots=1,
        state=directory.EndpointState(state.decode()),
        cold_s=0.0,
        stage=None,
        sequence=int(count),
    )


def apply(found, records):
    for one in records:
        if one.value is None:
            found.remove(one.key, now=0.0)
        else:
            found.put(registration(one), now=0.0)


def states(found):
    return {r.id: r.state for r in found.registrations}


@given(
    st.lists(
        st.tuples(
            st.sampled_from("ab"),
            st.sampled_from(["ready", "draining", None]),
            st.integers(0, 5),
            st.booleans(),
        ),
        max_size=30,
    )
)
def test_relayed_records_give_the_same_directory(steps):
    """Records of any order, with duplicates, read in any batches."""
    journal = make()
    direct, indirect = (directory.Directory(leaving_use_s=1.0) for _ in "12")
    pending, offset = [], 0
    for position, (key, state, count, is_last) in enumerate(steps):
        pending.append(record(position, key, state, count))
        if not is_last:
            continue
        apply(direct, pending)
        journal.extend(tuple(pending), position + 1)
        pending = []
        extract = journal.read_after(offset, max_bytes=ROOM)
        apply(indirect, extract.records)
        offset = extract.end
        assert states(indirect) == states(direct)
