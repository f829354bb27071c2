"""Tests of peer messages and the state kept of peers."""

import hypothesis
from hypothesis import strategies
from returns.result import Failure
from returns.result import Success

from bulrushgrade import peerview
from bulrushgrade import publication
from bulrushgrade import work


def make_header(sequence=0, sender="p", incarnation=1):
    return peerview.Header(
        sender=sender, incarnation=incarnation, sequence=sequence
    )


def make_loads(running, **header):
    loads = [work.PeerLoad(endpoint="e", running=running, kv_tokens=7)]
    return peerview.make_loads(make_header(**header), loads)


def make_withdrawn(*endpoints, **header):
    return peerview.Withdrawn(header=make_header(**header), endpoints=endpoints)


def test_messages_survive_the_codec():
    snapshot = publication.Snapshot(
        next_offset=9,
        digest="0",
        states=(publication.ServiceState(service="pack-llm"),),
    )
    for message in (
        make_loads(3),
        make_withdrawn("e"),
        peerview.SnapshotRequest(header=make_header()),
        peerview.SnapshotReply(header=make_header(), snapshot=snapshot),
    ):
        raw = peerview.serialize_message(message)
        assert peerview.parse_message(raw).unwrap() == message


def test_loads_survive_their_columns():
    busy = work.PeerLoad(
        endpoint="e", running=2, prefill_backlog_tokens=30, kv_tokens=400
    )
    idle = work.PeerLoad(endpoint="f")
    message = peerview.make_loads(make_header(), [idle, busy])
    assert peerview.read_loads(message) == (busy,)


def test_damaged_messages_are_refused():
    raw = peerview.serialize_message(make_loads(3))
    for damaged in (
        raw.replace(b"[3]", b"[3,4]"),
        raw.replace(b"[3]", b"[-3]"),
        raw.replace(b"[3]", b'["3"]'),
        raw.replace(b'"Loads"', b"[]"),
        raw[:-1],
        b"[" * 100_000,
        b"",
    ):
        assert damaged != raw
        assert isinstance(peerview.parse_message(damaged), Failure)


def test_message_of_a_replaced_process_is_dropped():
    # A peer is killed with many requests in flight and restarts. Its last
    # message, delayed on the old connection, arrives after the first one of
    # the new process. Accepted, it would keep an idle engine unused for
    # seconds.
    view = peerview.PeerView()
    view.accept(make_loads(50, incarnation=1, sequence=8)).unwrap()
    view.accept(make_loads(1, incarnation=2, sequence=0)).unwrap()
    late = make_loads(50, incarnation=1, sequence=9)
    assert isinstance(view.accept(late), Failure)


def test_peer_without_messages_does_not_count_as_withdrawn():
    view = peerview.PeerView()
    view.accept(make_withdrawn("e"))
    assert view.find_unconfirmed("e", ["p", "q"]) == ("q",)
    view.accept(make_withdrawn(sequence=1))
    assert view.find_unconfirmed("e", ["p"]) == ("p",)


def test_replaced_peer_has_withdrawn_nothing_yet():
    view = peerview.PeerView()
    view.accept(make_withdrawn("e"))
    view.accept(make_loads(1, incarnation=2))
    assert view.find_unconfirmed("e", ["p"]) == ("p",)
    view.keep([])
    assert view.senders == ()


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.booleans(), strategies.integers(0, 9))
    )
)
def test_newest_of_each_kind_wins_in_any_order(sent):
    view = peerview.PeerView()
    newest = {True: -1, False: -1}
    for is_loads, sequence in sent:
        message = make_withdrawn(str(sequence), sequence=sequence)
        if is_loads:
            message = make_loads(1, sequence=sequence)
        taken = isinstance(view.accept(message), Success)
        assert taken == (sequence > newest[is_loads])
        newest[is_loads] = max(newest[is_loads], sequence)
    if newest[False] >= 0:
        assert not view.find_unconfirmed(str(newest[False]), ["p"])
