"""Tests of request fingerprints."""

import hypothesis
from hypothesis import strategies
import pytest

from bulrushgrade import fingerprint

REQUEST = {
    "workspace": "dealer",
    "method": b"POST",
    "hostname": "shop.example",
    "uri": b"/tag/a?page=2",
    "body": b"draft",
}


def test_the_same_request_has_the_same_fingerprint():
    first = fingerprint.make_fingerprint(**REQUEST)
    assert first == fingerprint.make_fingerprint(**REQUEST)


@pytest.mark.parametrize(
    "change",
    [
        {"workspace": "lessor"},
        {"method": b"PUT"},
        {"hostname": "desk.example"},
        {"uri": b"/tag/a"},
        {"body": b""},
    ],
)
def test_another_request_has_another(change):
    first = fingerprint.make_fingerprint(**REQUEST)
    assert first != fingerprint.make_fingerprint(**REQUEST | change)


parts = strategies.tuples(
    strategies.text(alphabet="ab", max_size=3),
    strategies.binary(max_size=3),
    strategies.text(alphabet="ab", max_size=3),
    strategies.binary(max_size=3),
    strategies.binary(max_size=3),
)


@hypothesis.given(parts, parts)
def test_parts_are_never_mixed_up(one, other):
    names = ("workspace", "method", "hostname", "uri", "body")
    first = fingerprint.make_fingerprint(**dict(zip(names, one, strict=True)))
    second = fingerprint.make_fingerprint(
        **dict(zip(names, other, strict=True))
    )
    assert (first == second) == (one == other)
