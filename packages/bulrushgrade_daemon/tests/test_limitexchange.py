"""Tests of the exchange of endpoints' limits among hosts."""

import fakes

from bulrushgrade_daemon import limitexchange
from bulrushgrade_daemon import ratelimits


class Host:
    """The limits of one host and their exchange."""

    def __init__(self):
        self.clock, timers, _ = fakes.make_timers()
        self.limits = ratelimits.RateLimits(
            timers=timers, log=fakes.EventRecorder().make()
        )
        self.exchange = limitexchange.LimitExchange(limits=self.limits)

    def learn(self, id, per_s, age_ms=0):
        batch = [(id, 0, (per_s, age_ms, False))]
        self.exchange.merge_batch(batch, peer="h2/1")

    def next_ids(self):
        self.exchange.begin_round()
        return [id for id, _, _ in self.exchange.next_batch()]


def test_change_is_sent_in_several_rounds():
    """Guards against a limit that a lost datagram keeps from a host."""
    host = Host()
    host.learn("e1", 3.5)
    rounds = [host.next_ids() for _ in range(limitexchange.CHANGE_ROUNDS + 3)]
    expected = [["e1"]] * limitexchange.CHANGE_ROUNDS + [[]] * 3
    assert rounds == expected


def test_known_limit_is_not_passed_on_again():
    """Guards against news that go round among hosts for ever."""
    host = Host()
    host.learn("e1", 3.5)
    for _ in range(limitexchange.CHANGE_ROUNDS):
        host.next_ids()
    host.clock.advance(1.0)
    host.learn("e1", 3.5)
    assert host.next_ids() == []


def test_all_limits_are_sent_now_and_then():
    """Guards against hosts that start later and hear of no limit."""
    host = Host()
    host.learn("e1", 3.5)
    rounds = [host.next_ids() for _ in range(2 * limitexchange.ALL_ROUNDS)]
    assert sum(map(len, rounds)) == limitexchange.CHANGE_ROUNDS + 2


def test_more_limits_than_a_message_holds_are_all_sent():
    """Guards against limits that are never sent, and too long datagrams."""
    host = Host()
    count = 3 * limitexchange.MAX_LIMITS + 1
    for number in range(count):
        host.learn(f"e{number}", 3.5)
    seen = set()
    for _ in range(4):
        ids = host.next_ids()
        assert len(ids) <= limitexchange.MAX_LIMITS
        seen |= set(ids)
    assert len(seen) == count


def test_the_end_of_a_limit_is_sent():
    host = Host()
    host.learn("e1", 3.5)
    for _ in range(limitexchange.CHANGE_ROUNDS):
        host.next_ids()
    host.clock.advance(1.0)
    host.learn("e1", None)
    host.exchange.begin_round()
    ((id, _, (per_s, _, _)),) = host.exchange.next_batch()
    assert (id, per_s) == ("e1", None)
