"""Tests of records of requests at crashed endpoints."""

import hypothesis
from hypothesis import strategies as st
import pytest
from test_crashledger import sight

from bulrushgrade import crashledger
from bulrushgrade_daemon import crashrecords
from bulrushgrade_daemon import topicreader


def make_record(sighting):
    return topicreader.KeyedRecord(
        key=crashrecords.write_key(sighting.key),
        value=crashrecords.write_value(sighting),
    )


@hypothesis.given(
    id=st.text(min_size=1, max_size=20),
    born_ms=st.integers(0, 2**53),
    zone=st.text(max_size=10),
    begun=st.booleans(),
)
def test_sighting_is_read_as_it_was_written(id, born_ms, zone, begun):
    sighting = crashledger.Sighting(
        fingerprint="f1",
        caller="c1",
        endpoint=(id, born_ms),
        zone=zone,
        has_begun=begun,
    )
    assert crashrecords.read_sighting(make_record(sighting)) == sighting


@pytest.mark.parametrize("key", ["", "f1", "f1/e1", "/e1/7", "f1//7", "f/e/x"])
def test_key_of_another_writer_names_no_sighting(key):
    assert crashrecords.read_key(key) is None


@pytest.mark.parametrize(
    "value", [None, b"", b"x", b"{}", b'{"caller": 1, "zone": 2}']
)
def test_value_that_can_t_be_read_is_no_sighting(value):
    key = crashrecords.write_key(sight("f1", "e1").key)
    record = topicreader.KeyedRecord(key=key, value=value)
    assert crashrecords.read_sighting(record) is None
