"""Tests of what is known of the software version that began a stream."""

import hypothesis
from hypothesis import strategies as st
import pytest

from bulrushgrade import streamorigins

KEY, OTHER_KEY = map(streamorigins.make_key, ("q1", "q2"))
V1 = streamorigins.Origin(service="s", software="v1")
V2 = streamorigins.Origin(service="s", software="v2")
LONG_V1 = streamorigins.OriginView(sole="v1", covers=True)
LATE_V1 = streamorigins.OriginView(sole="v1")
LONG_V2 = streamorigins.OriginView(sole="v2", covers=True)
SEVERAL = streamorigins.OriginView(has_several=True, covers=True)
STALE = streamorigins.OriginView(covers=True)
UNSURE = streamorigins.OriginView()
TOLD_V1 = streamorigins.OriginView(origin=V1, has_several=True)
TOLD_V2 = streamorigins.OriginView(origin=V2, has_several=True)
DISPUTED = streamorigins.OriginView(is_disputed=True)


@pytest.mark.parametrize(
    ("own", "peers", "expected"),
    [
        # A record counts, whatever the history says.
        (TOLD_V1, [], V1),
        (SEVERAL, [TOLD_V1, SEVERAL], V1),
        (LONG_V1, [TOLD_V2], V2),
        (LONG_V1, [TOLD_V1, TOLD_V2], None),
        (TOLD_V1, [DISPUTED], None),
        # The only version for longer than streams last began them all.
        (LONG_V1, [], V1),
        (LONG_V1, [LATE_V1], V1),
        (LATE_V1, [LONG_V1], V1),
        (STALE, [LONG_V1], V1),
        (UNSURE, [LONG_V1], V1),
        # Nobody knows what served before.
        (LATE_V1, [], None),
        (LATE_V1, [LATE_V1, STALE], None),
        (STALE, [], None),
        (UNSURE, [], None),
        # Somebody knows of another version.
        (LONG_V1, [SEVERAL], None),
        (LONG_V1, [LONG_V2], None),
        (SEVERAL, [LONG_V1], None),
        (SEVERAL, [], None),
    ],
)
def test_origin_follows_from_what_hosts_know(own, peers, expected):
    found = streamorigins.resolve(own, peers, service="s")
    assert found == expected


def test_service_of_a_split_route_needs_a_record():
    """Guards against a stream that goes on at another service."""
    for own, expected in ((LONG_V1, None), (TOLD_V1, V1)):
        found = streamorigins.resolve(own, [], service=None)
        assert found == expected


VIEWS = (LONG_V1, LATE_V1, SEVERAL, STALE, UNSURE, TOLD_V1, TOLD_V2)


@hypothesis.given(
    own=st.sampled_from(VIEWS),
    peers=st.lists(st.sampled_from(VIEWS), max_size=4),
)
def test_no_origin_against_a_view(own, peers):
    """Guards against a version that some host knows to be another one."""
    found = streamorigins.resolve(own, peers, service="s")
    if found is None:
        return
    heard = [own, *peers]
    told = {one.origin for one in heard if one.origin}
    assert told <= {found}
    assert told or SEVERAL not in heard


def find(records, key, now):
    known = records.find(key, now=now)
    return "disputed" if known.is_disputed else known.origin


def test_records_are_kept_until_they_expire():
    records = streamorigins.OriginRecords()
    records.put(KEY, V1, expires_at=10.0)
    records.put(KEY, V1, expires_at=5.0)
    assert find(records, KEY, 9.9) == V1
    assert find(records, OTHER_KEY, 9.9) is None
    assert find(records, KEY, 10.0) is None
    records.forget(10.0)
    assert len(records) == 0


def test_two_origins_of_a_stream_are_a_dispute():
    """Guards against ids that two callers use."""
    records = streamorigins.OriginRecords()
    records.put(KEY, V1, expires_at=10.0)
    records.put(KEY, V2, expires_at=10.0)
    assert find(records, KEY, 1.0) == "disputed"
    records.put(KEY, V2, expires_at=10.0)
    assert find(records, KEY, 1.0) == "disputed"


def test_number_of_records_is_limited():
    """Guards against callers that fill the memory with ids."""
    records = streamorigins.OriginRecords(max_records=3)
    for number in range(9):
        key = streamorigins.make_key(str(number))
        records.put(key, V1, expires_at=10.0)
    assert len(records) == 3
    assert find(records, key, 1.0) == V1


def test_keys_are_short_for_any_id():
    """Guards against datagrams as long as a caller wants."""
    ids = ("", "q", "x" * 9999, "\udcff\xe9")
    keys = {streamorigins.make_key(id) for id in ids}
    assert {len(key) for key in keys} == {streamorigins.KEY_BYTES}
    assert len(keys) == len(ids)
