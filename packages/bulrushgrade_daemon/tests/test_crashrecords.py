"""Tests of encoding involvements in crashes as records."""

import hypothesis
from hypothesis import strategies as st
import pytest
from test_crashledger import involve

from bulrushgrade import crashledger
from bulrushgrade_daemon import crashrecords
from bulrushgrade_daemon import topicreader


def make_record(involvement):
    return topicreader.KeyedRecord(
        key=crashrecords.write_key(involvement.key),
        value=crashrecords.write_value(involvement),
    )


@hypothesis.given(
    id=st.text(min_size=1, max_size=20),
    born_ms=st.integers(0, 2**53),
    zone=st.text(max_size=10),
    begun=st.booleans(),
)
def test_involvement_is_read_as_it_was_written(id, born_ms, zone, begun):
    involvement = crashledger.Involvement(
        fingerprint="f1",
        caller="c1",
        endpoint=(id, born_ms),
        zone=zone,
        has_begun=begun,
    )
    assert (
        crashrecords.read_involvement(make_record(involvement)) == involvement
    )


@pytest.mark.parametrize("key", ["", "f1", "f1/e1", "/e1/7", "f1//7", "f/e/x"])
def test_malformed_key_names_no_involvement(key):
    assert crashrecords.read_key(key) is None


@pytest.mark.parametrize(
    "value", [None, b"", b"x", b"{}", b'{"caller": 1, "zone": 2}']
)
def test_malformed_value_is_no_involvement(value):
    key = crashrecords.write_key(involve("f1", "e1").key)
    record = topicreader.KeyedRecord(key=key, value=value)
    assert crashrecords.read_involvement(record) is None
