"""Tests of the messages among gateways."""

import msgspec
import pytest

from bulrushgrade import directory
from bulrushgrade import prefixindex
from bulrushgrade_daemon import gatewaymessages

NEWS = gatewaymessages.HolderUpdate(
    engine="e", state=prefixindex.HolderState.COMING, parts=[("p", 9)]
)


@pytest.mark.parametrize(
    "message",
    [
        gatewaymessages.Load(
            peer="h",
            number=1,
            engines={"e": ({0: 2}, 3, 400)},
            kept={"e": [("p", 3)]},
        ),
        gatewaymessages.WaitQuery(peer="h", number=1, engines=["e"], urgency=2),
        gatewaymessages.WaitReply(peer="h", number=1, waits_ms={"e": 2}),
        gatewaymessages.Begun(
            peer="h",
            number=1,
            engine="e",
            latency_ms=60,
            reading_ms=2,
            urgency=0,
        ),
        gatewaymessages.Ended(peer="h", number=1, engine="e"),
        gatewaymessages.HolderQuery(peer="h", number=1, part="p"),
        gatewaymessages.HolderReply(peer="h", number=1, holders=[NEWS]),
        NEWS,
        gatewaymessages.UsageCounts(
            peer="h",
            windows=[
                gatewaymessages.WindowCounts(
                    window=3, counts={"w": 2}, is_whole=True
                )
            ],
        ),
        gatewaymessages.UsageTaken(peer="h", windows=[3], number=5),
        gatewaymessages.UsageReporter(peer="h", number=5),
        gatewaymessages.RoleChangeNotice(
            engine="e", stage=directory.Stage.PREFILL, change_ms=3000
        ),
        gatewaymessages.BackoffNotice(
            peer="h", endpoint="e", born_ms=1, backoff_ms=700
        ),
    ],
    ids=lambda message: type(message).__name__,
)
def test_a_message_round_trips(message):
    datagram = gatewaymessages.serialize(message)
    assert gatewaymessages.parse(datagram) == message


@pytest.mark.parametrize(
    "datagram",
    [
        b"",
        b"\x00nonsense",
        b"\x91\xa4load",
        b"\x92\xa5begun\x01",
        b"\x91" * 100_000,
    ],
    ids=lambda datagram: repr(datagram[:12]),
)
def test_an_invalid_datagram_parses_to_none(datagram):
    assert gatewaymessages.parse(datagram) is None


def test_loads_of_older_and_newer_hosts_are_read():
    """Guards against hosts that lose each other while they are upgraded.

    Older hosts don't send the last fields, newer ones may send further ones.
    """
    older = ["load", "h1/1", 7, {}, {}, True, []]
    message = gatewaymessages.parse(msgspec.msgpack.encode(older))
    assert (message.number, message.leaving) == (7, [])
    old = [*older, [("e1", 1, 200)]]
    message = gatewaymessages.parse(msgspec.msgpack.encode(old))
    assert (message.leaving, message.version) == ([("e1", 1, 200)], 0)
    old = [*old, 5]
    message = gatewaymessages.parse(msgspec.msgpack.encode(old))
    assert (message.version, message.is_cut) == (5, False)
    old = [*old, True]
    message = gatewaymessages.parse(msgspec.msgpack.encode(old))
    assert (message.is_cut, message.parts) == (True, None)
    sound = [(b"part", b"runtime")]
    old = [*old, [[], sound, "unknown"]]
    message = gatewaymessages.parse(msgspec.msgpack.encode(old))
    assert (message.parts.sound, message.sums) == (sound, {})
    sums = {"t": [("k", [1, 2])]}
    newer = [*old, sums, "unknown"]
    message = gatewaymessages.parse(msgspec.msgpack.encode(newer))
    assert (message.leaving, message.version) == ([("e1", 1, 200)], 5)
    assert message.is_cut
    assert message.parts.sound == sound
    assert message.sums == sums


def test_sums_of_groups_of_older_and_newer_hosts_are_read():
    """Guards against hosts that lose each other while they are upgraded."""
    older = ["group_load", "h1/1", 7, {}, {}, True, False, [], ["h2"], [], 5]
    older += [False, None, {}]
    message = gatewaymessages.parse(msgspec.msgpack.encode(older))
    assert (message.missing, message.digest) == (["h2"], None)
    newer = [*older, 77, "unknown"]
    assert gatewaymessages.parse(msgspec.msgpack.encode(newer)).digest == 77


def test_records_of_older_hosts_state_no_epoch():
    """Guards against hosts that lose each other while they are upgraded."""
    older = ["record_query", "h1/1", 7, "endpoints", 4]
    message = gatewaymessages.parse(msgspec.msgpack.encode(older))
    assert (message.offset, message.epoch) == (4, 0)
    older = ["record_reply", "h1/1", 7, "endpoints", [], 4, False, 10, None]
    message = gatewaymessages.parse(msgspec.msgpack.encode(older))
    assert (message.end, message.epoch) == (4, 0)
    older = ["record_notice", "endpoints", 4]
    message = gatewaymessages.parse(msgspec.msgpack.encode(older))
    assert (message.end, message.epoch) == (4, 0)
    newer = [*older, 3, "unknown"]
    message = gatewaymessages.parse(msgspec.msgpack.encode(newer))
    assert (message.end, message.epoch) == (4, 3)
