"""Tests of the message codec."""

import attrs
from returns.result import Failure
from returns.result import Success

from bulrushgrade import codec


@attrs.frozen(kw_only=True)
class _Ping:
    number: int


def test_message_round_trips():
    codec_ = codec.Codec(kinds=[_Ping])
    raw = codec_.serialize(_Ping(number=3))
    assert raw == b'{"kind":"_Ping","data":{"number":3}}'
    assert codec_.parse(raw) == Success(_Ping(number=3))


def test_malformed_and_unknown_messages_return_failure():
    codec_ = codec.Codec(kinds=[_Ping])
    for raw in (
        b"{",
        b"[]",
        b"\xff",
        b'{"kind":"Pong"}',
        b'{"kind":"_Ping"}',
        b'{"kind":[]}',
        b"[" * 100_000,
    ):
        assert isinstance(codec_.parse(raw), Failure)
