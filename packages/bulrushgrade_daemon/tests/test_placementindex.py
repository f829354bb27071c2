"""Tests of the index of queues and shared parts among daemons."""

import fakes
from twisted.internet import defer

from bulrushgrade import engineload
from bulrushgrade import prefixindex
from bulrushgrade import prompt as prompt_module
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import placementindex

PARTS = (prompt_module.PromptPart(id="p", tokens=9_000),)


def make_prefill(expected_s):
    return engineload.PendingPrefill(
        expected_s=expected_s, sent_at=0.0, tokens=9_000
    )


class Fleet:
    """Daemons whose messages arrive in the next reactor turn, or never."""

    def __init__(self, *names, owner):
        self.reactor, self.timers, _ = fakes.make_timers()
        self.sent = []
        self.owners = [owner]
        self.indexes = {
            name: placementindex.PlacementIndex(
                timers=self.timers,
                own_name=name,
                find_owners=lambda key: list(self.owners),
                send=self.send,
            )
            for name in names
        }

    def send(self, peer, message):
        self.sent.append(message)
        datagram = gatewaymessages.serialize(message)
        self.reactor.callLater(0.0, self.deliver, peer, datagram)
        return True

    def deliver(self, peer, datagram):
        if peer in self.indexes:
            self.indexes[peer].receive(gatewaymessages.parse(datagram))

    def deliver_all(self):
        for _ in range(4):
            self.reactor.advance(0.001)

    def result_of(self, coroutine):
        found = []
        defer.ensureDeferred(coroutine).addCallback(found.append)
        self.deliver_all()
        return found[0]

    def waits(self, name, *engines):
        return self.result_of(self.indexes[name].query_waits(engines, 2))

    def holders(self, name):
        found = self.result_of(self.indexes[name].query_holders("p"))
        return [(holder.engine, holder.state.value) for holder in found]


def test_owner_reports_waits_of_work_sent_by_another_daemon():
    fleet = Fleet("h1", "h2", "h3", owner="h3")
    end = fleet.indexes["h1"].begin("e", make_prefill(0.4))
    waits = fleet.waits("h2", "e", "f")
    assert abs(waits["e"] - 0.4) < 0.01
    assert waits["f"] == 0.0
    end(True)
    assert fleet.waits("h2", "e") == {"e": 0.0}


def test_owner_answers_its_own_queries_locally():
    fleet = Fleet("h1", "h2", owner="h1")
    fleet.indexes["h1"].begin("e", make_prefill(0.4), PARTS)
    assert fleet.waits("h1", "e") == {"e": 0.4}
    assert fleet.holders("h1") == [("e", "coming")]
    assert fleet.sent == []


def test_engines_of_an_absent_owner_are_left_out():
    fleet = Fleet("h1", owner="gone")
    found = []
    pending = defer.ensureDeferred(fleet.indexes["h1"].query_waits(["e"], 2))
    pending.addCallback(found.append)
    fleet.reactor.advance(1.0)
    assert found == [{}]


def test_part_is_known_while_it_is_prefilled():
    # Two daemons get prompts with the same long part during its prefill. Each
    # had the part prefilled, as it learned of the other one a second later.
    fleet = Fleet("h1", "h2", "h3", owner="h3")
    end = fleet.indexes["h1"].begin("e", make_prefill(0.4), PARTS)
    assert fleet.holders("h2") == [("e", "coming")]
    end(True)
    end(False)
    assert fleet.holders("h2") == [("e", "kept")]


def test_part_that_was_not_prefilled_has_no_holder():
    fleet = Fleet("h1", "h2", "h3", owner="h3")
    end = fleet.indexes["h1"].begin("e", make_prefill(0.4), PARTS)
    end(False)
    assert fleet.holders("h2") == []


def test_host_that_cannot_reach_the_first_owner_queries_the_next():
    # The link between two hosts is cut, so that they disagree on the owner of
    # a queue. Each kept a separate queue with only some of the prompts.
    fleet = Fleet("h1", "h2", "h3", "h4", owner="h3")
    fleet.owners = ["h3", "h4"]
    end = fleet.indexes["h1"].begin("e", make_prefill(0.4), PARTS)
    fleet.deliver_all()
    fleet.owners = ["h4"]
    assert fleet.waits("h2", "e")["e"] > 0.3
    assert fleet.holders("h2") == [("e", "coming")]
    fleet.owners = ["h3", "h4"]
    end(True)
    fleet.deliver_all()
    fleet.owners = ["h4"]
    assert fleet.waits("h2", "e") == {"e": 0.0}


def test_entry_that_is_never_ended_expires():
    fleet = Fleet("h1", "h2", owner="h2")
    owner = fleet.indexes["h2"]
    defer.ensureDeferred(owner.start())
    fleet.indexes["h1"].begin("e", make_prefill(60.0), PARTS)
    fleet.deliver_all()
    assert owner.dump()["readings"] == owner.dump()["parts"] == 1
    for _ in range(12):
        fleet.reactor.advance(1.0)
    assert owner.dump()["readings"] == owner.dump()["parts"] == 0
    defer.ensureDeferred(owner.stop())


def test_update_without_parts_is_ignored():
    fleet = Fleet("h1", owner="h1")
    update = gatewaymessages.HolderUpdate(
        engine="e", state=prefixindex.HolderState.KEPT, parts=[]
    )
    fleet.indexes["h1"].receive(update)
    assert fleet.indexes["h1"].dump()["parts"] == 0
