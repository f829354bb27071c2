"""Tests of actions that only one host at a time may perform."""

import fakes
from returns.result import Failure
from returns.result import Success

from bulrushgrade import orderturn
from bulrushgrade import usagewindows
from bulrushgrade_daemon import fencedactions
from bulrushgrade_daemon import orderrecords
from bulrushgrade_daemon import topicreader


def usage(window, holder="me"):
    return usagewindows.UsageRecord(
        holder=holder, window=window, counts={"dealer": window}
    )


RECORD = usage(7)


class Scene:
    """One host's actions, with a topic of prepared answers."""

    def __init__(self, *, read=(0, ()), append=(1,)):
        self.reactor, self.timers, _ = fakes.make_timers()
        self.read = fakes.Answers(read)
        self.append = fakes.Answers(*append)
        self.actions = fencedactions.FencedActions(
            timers=self.timers,
            turn=orderturn.OrderTurn(holder="me", lease_s=3.0),
            topic=fencedactions.OrderTopic(read=self.read, append=self.append),
        )
        self.seen, self.gaps, self.sent = [], [], []
        self.actions.listen(
            lambda record, number: self.seen.append(record),
            lambda: self.gaps.append(1),
        )

    def perform(self, record=RECORD):
        async def make():
            return record

        async def send(record, permit):
            if not permit.check():
                return Failure("withheld")
            self.sent.append((record, permit.holder, permit.number))
            return Success("taken")

        results = []
        fakes.run(self.actions.perform(make, send)).addCallback(results.append)
        return results[0] if results else None


def test_action_is_recorded_before_it_is_sent_with_the_records_number():
    scene = Scene(append=(5,))
    assert scene.perform() == Success("taken")
    (content, at) = scene.append.calls[0]
    assert (orderrecords.parse(content), at) == (usage(7), 0)
    assert scene.sent == [(usage(7), "me", 5)]
    assert scene.seen == [usage(7)]


def test_number_of_zero_is_never_sent():
    """Some receivers treat the number zero as missing."""
    scene = Scene(append=(0, 1))
    scene.perform()
    assert [at for _, at in scene.append.calls] == [0, 1]
    assert [number for _, _, number in scene.sent] == [1]


def test_what_others_recorded_is_known_before_anything_is_decided():
    read = (4, (orderrecords.serialize(usage(6, "other")), b"{", b"\xff"))
    scene = Scene(read=read)
    result = scene.perform()
    assert result.failure().reason == "another host's turn"
    assert scene.seen == [usage(6, "other")]
    assert scene.gaps == [1]
    assert scene.sent == []


def test_waiting_for_the_turn_reads_nothing():
    """A waiting host must not call the store with each of its checks."""
    scene = Scene(read=(0, (orderrecords.serialize(usage(6, "other")),)))
    scene.perform()
    scene.perform()
    assert len(scene.read.calls) == 1
    scene.reactor.advance(5.0)
    scene.read.answers = [Success((1, ()))]
    assert scene.perform() == Success("taken")


def test_append_without_an_answer_sends_nothing():
    away = Failure(topicreader.StoreUnavailable(reason="timeout"))
    scene = Scene(append=(away,))
    assert "timeout" in scene.perform().failure().reason
    assert scene.sent == []


def test_nothing_is_recorded_where_there_is_nothing_to_do():
    scene = Scene()
    withheld = fencedactions.Withheld(reason="reported meanwhile")
    assert scene.perform(withheld) == Failure(withheld)
    assert scene.append.calls == []
