"""Tests of the exchange of endpoints' limits among hosts."""

import fakes
from test_directory import make as make_registration

from bulrushgrade import directory
from bulrushgrade_daemon import endpointsignals
from bulrushgrade_daemon import newsschedule
from bulrushgrade_daemon import ratelimits
from bulrushgrade_daemon import signalexchange


class Host:
    """The limits of one host and their exchange."""

    def __init__(self):
        self.clock, timers, _ = fakes.make_timers()
        self.limits = ratelimits.RateLimits(
            timers=timers, log=fakes.EventRecorder().make()
        )
        self.signals = endpointsignals.EndpointSignals(
            timers=timers,
            limits=self.limits,
            directory=lambda: self.directory,
            log=fakes.EventRecorder().make(),
        )
        self.directory = directory.Directory(
            leaving_use_s=1.0, drains=self.signals.drains
        )
        self.exchange = signalexchange.SignalExchange(
            limits=self.limits, signals=self.signals
        )

    def learn(self, id, per_s, age_ms=0):
        batch = [(id, 0, (per_s, age_ms, False))]
        self.exchange.merge(limits=batch, drains=[], peer="h2/1")

    def next_ids(self):
        self.exchange.begin_round()
        return [id for id, _, _ in self.exchange.next_limits()]


def test_change_is_sent_in_several_rounds():
    """Guards against a limit that a lost datagram keeps from a host."""
    host = Host()
    host.learn("e1", 3.5)
    rounds = [host.next_ids() for _ in range(newsschedule.CHANGE_ROUNDS + 3)]
    expected = [["e1"]] * newsschedule.CHANGE_ROUNDS + [[]] * 3
    assert rounds == expected


def test_known_limit_is_not_passed_on_again():
    """Guards against news that go round among hosts for ever."""
    host = Host()
    host.learn("e1", 3.5)
    for _ in range(newsschedule.CHANGE_ROUNDS):
        host.next_ids()
    host.clock.advance(1.0)
    host.learn("e1", 3.5)
    assert host.next_ids() == []


def test_all_limits_are_sent_now_and_then():
    """Guards against hosts that start later and hear of no limit."""
    host = Host()
    host.learn("e1", 3.5)
    rounds = [host.next_ids() for _ in range(2 * newsschedule.ALL_ROUNDS)]
    assert sum(map(len, rounds)) == newsschedule.CHANGE_ROUNDS + 2


def test_more_limits_than_a_message_holds_are_all_sent():
    """Guards against limits that are never sent, and too long datagrams."""
    host = Host()
    count = 3 * newsschedule.MAX_ENTRIES + 1
    for number in range(count):
        host.learn(f"e{number}", 3.5)
    seen = set()
    for _ in range(4):
        ids = host.next_ids()
        assert len(ids) <= newsschedule.MAX_ENTRIES
        seen |= set(ids)
    assert len(seen) == count


def next_drains(host):
    host.exchange.begin_round()
    return host.exchange.next_drains()


def test_drain_is_sent_in_several_rounds_with_its_age():
    """Guards against hosts that learn of a drain from the store alone."""
    host = Host()
    host.exchange.merge(limits=[], drains=[("e1", 1, 200)], peer="h2/1")
    host.clock.advance(1.0)
    rounds = [next_drains(host) for _ in range(5)]
    sent = [("e1", 1, 1200)]
    assert rounds == [sent] * newsschedule.CHANGE_ROUNDS + [[]]
    host.exchange.merge(limits=[], drains=[("e1", 1, 1300)], peer="h3/1")
    assert next_drains(host) == []


def test_drain_is_repeated_until_the_records_show_it():
    """Guards against messages that grow with every endpoint that ever left."""
    host = Host()
    host.directory.put(make_registration("e1"), now=0.0)
    host.exchange.merge(limits=[], drains=[("e1", 1, 0)], peer="h2/1")
    rounds = 2 * newsschedule.ALL_ROUNDS
    sent = [next_drains(host) for _ in range(rounds)]
    assert sum(map(len, sent)) == newsschedule.CHANGE_ROUNDS + 2
    draining = make_registration("e1", sequence=2, state="draining")
    host.directory.put(draining, now=1.0)
    assert not any(next_drains(host) for _ in range(rounds))


def test_the_end_of_a_limit_is_sent():
    host = Host()
    host.learn("e1", 3.5)
    for _ in range(newsschedule.CHANGE_ROUNDS):
        host.next_ids()
    host.clock.advance(1.0)
    host.learn("e1", None)
    host.exchange.begin_round()
    ((id, _, (per_s, _, _)),) = host.exchange.next_limits()
    assert (id, per_s) == ("e1", None)
