"""Tests of what is believed of peers."""

import hypothesis
from hypothesis import strategies
from returns.result import Failure

from bulrushgrade import peerview


def make_header(sequence=0, sender="p", incarnation=1):
    return peerview.Header(
        sender=sender, incarnation=incarnation, sequence=sequence
    )


def make_loads(requests, **header):
    return peerview.make_loads(
        make_header(**header), {"e": peerview.Load(requests=requests)}
    )


def test_messages_survive_the_codec():
    for message in (
        make_loads(3),
        peerview.Withdrawn(header=make_header(), endpoints=("e",)),
        peerview.SnapshotRequest(header=make_header()),
        peerview.SnapshotReply(header=make_header(), offset=9, body="{}"),
    ):
        raw = peerview.serialize_message(message)
        assert peerview.parse_message(raw).unwrap() == message


def test_columns_of_unequal_length_are_refused():
    raw = peerview.serialize_message(make_loads(3)).replace(b"[3]", b"[3,4]")
    assert isinstance(peerview.parse_message(raw), Failure)


def test_loads_of_peers_add_up_and_age():
    view = peerview.PeerView()
    view.accept(make_loads(3, sender="p"), now=0.0)
    view.accept(make_loads(4, sender="q"), now=2.0)
    assert view.sum_load("e", now=2.0) == peerview.Load(requests=7)
    assert view.sum_load("e", now=4.0) == peerview.Load(requests=4)
    assert view.sum_load("other", now=2.0) == peerview.Load()
    view.keep(["p"])
    assert view.senders == ("p",)


def test_message_of_a_replaced_process_is_dropped():
    # Placement would avoid an idle engine for seconds. A peer was killed with
    # much in flight and started again; its last words, held up on the old
    # connection, arrived after the first ones of the new process.
    view = peerview.PeerView()
    view.accept(make_loads(50, incarnation=1, sequence=8), now=0.0)
    view.accept(make_loads(1, incarnation=2, sequence=0), now=0.1)
    late = make_loads(50, incarnation=1, sequence=9)
    assert isinstance(view.accept(late, now=0.2), Failure)
    assert view.sum_load("e", now=0.2).requests == 1


def test_unheard_peer_does_not_count_as_having_withdrawn():
    view = peerview.PeerView()
    message = peerview.Withdrawn(header=make_header(), endpoints=("e",))
    view.accept(message, now=0.0)
    assert view.find_unconfirmed("e", ["p", "q"]) == ("q",)
    again = peerview.Withdrawn(header=make_header(sequence=1), endpoints=())
    view.accept(again, now=1.0)
    assert view.find_unconfirmed("e", ["p"]) == ("p",)


@hypothesis.given(
    strategies.lists(strategies.integers(0, 9), min_size=1, max_size=20),
    strategies.data(),
)
def test_newest_of_each_kind_wins_in_any_order(sequences, data):
    view = peerview.PeerView()
    newest = {True: -1, False: -1}
    for sequence in sequences:
        is_loads = data.draw(strategies.booleans())
        newest[is_loads] = max(newest[is_loads], sequence)
        if is_loads:
            message = make_loads(sequence + 1, sequence=sequence)
        else:
            message = peerview.Withdrawn(
                header=make_header(sequence), endpoints=(str(sequence),)
            )
        view.accept(message, now=0.0)
    assert view.sum_load("e", now=0.0).requests == newest[True] + 1
    if newest[False] >= 0:
        assert not view.find_unconfirmed(str(newest[False]), ["p"])
