"""Tests of the encoding of loads and cache changes in messages."""

from hypothesis import given
from hypothesis import strategies as st

from bulrushgrade import enginecache
from bulrushgrade import peerloads
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import loadcodec

SHARES = st.dictionaries(
    st.text(max_size=12),
    st.builds(
        peerloads.EngineShare,
        queued_s=st.dictionaries(
            st.integers(0, 3), st.integers(0, 10**6).map(lambda ms: ms / 1000)
        ),
        streams=st.integers(0, 10**4),
        tokens=st.integers(0, 10**9),
    ),
    max_size=8,
)


@given(SHARES)
def test_shares_round_trip(shares):
    message = gatewaymessages.FleetLoad(
        peer="h1/1",
        number=1,
        your_number=1,
        engines=loadcodec.encode_shares(shares),
    )
    parsed = gatewaymessages.parse(gatewaymessages.serialize(message))
    assert loadcodec.decode_shares(parsed.engines) == shares


def test_changes_are_grouped_by_engine():
    found = loadcodec.decode_changes({"e1": [("a", 5), ("b", 0)]})
    a = enginecache.CacheChange(part="a", tokens=5)
    b = enginecache.CacheChange(part="b", tokens=0)
    assert found == [("e1", (a, b))]


def test_a_message_fits_a_datagram_however_many_engines_there_are():
    """A deployment has thousands of engines, all of them busy.

    A datagram above the size limit can't be sent; the error ended the gateway.
    """
    shares = {
        f"i-{number:010x}": peerloads.EngineShare(
            queued_s={0: 99.0, 1: 99.0, 2: float(number)},
            streams=10**4,
            tokens=10**9,
        )
        for number in range(5000)
    }
    engines = loadcodec.encode_shares(shares)
    assert len(engines) == loadcodec.MAX_ENGINES
    assert "i-0000001387" in engines
    message = gatewaymessages.GroupLoad(peer="h1/1", number=1, engines=engines)
    assert len(gatewaymessages.serialize(message)) < 65_000
