"""Tests of mutual exclusion between hosts that send orders."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from bulrushgrade import orderturn

LEASE_S = 3.0
HOSTS = ("a", "b", "c")


def make(holder="a"):
    return orderturn.OrderTurn(holder=holder, lease_s=LEASE_S)


def test_any_host_may_append_to_an_empty_topic():
    assert make().may_append(0.0)


def test_own_records_do_not_delay_an_append():
    turn = make()
    turn.apply("a", 0, now=1.0)
    assert turn.may_append(1.0)
    assert turn.end == 1


def test_another_hosts_record_delays_an_append_from_when_it_is_read():
    """Guards against orders of two hosts within the lease time.

    A host that starts finds an order of unknown age in the topic. It must
    count from when it reads the order: it can't compare its clock with the
    writer's.
    """
    turn = make()
    turn.apply("b", 7, now=10.0)
    assert not turn.may_append(10.0 + LEASE_S)
    whole_s = LEASE_S + orderturn.SEND_WITHIN_S + orderturn.GUARD_S
    assert turn.may_append(10.0 + whole_s)


def test_unreadable_record_counts_as_another_hosts():
    turn = make()
    turn.apply(None, 0, now=5.0)
    assert not turn.may_append(6.0)


def test_dropped_records_count_as_another_hosts():
    turn = make()
    turn.skip_to(40, now=5.0)
    assert turn.end == 40
    assert not turn.may_append(6.0)


def test_paused_host_does_not_send():
    """Guards against a late order of a host that was paused after its append.

    When it resumes, another host may have sent an order to the engine.
    """
    assert make().may_send(0.0, orderturn.SEND_WITHIN_S)
    assert not make().may_send(10.0, 10.1 + orderturn.SEND_WITHIN_S)


class TurnMachine(stateful.RuleBasedStateMachine):
    """Hosts read, append and send at any time, with pauses in between.

    Orders of two hosts must be at least the lease time apart, and the orders'
    numbers must increase.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.topic = []
        self.turns = {host: make(host) for host in HOSTS}
        self.appended = {}
        self.orders = []

    @stateful.rule(step=st.floats(0.01, 4.0))
    def wait(self, step):
        self.now += step

    @stateful.rule(host=st.sampled_from(HOSTS))
    def restart(self, host):
        self.turns[host] = make(f"{host}+")
        self.turns[host] = make(host)
        self.appended.pop(host, None)

    @stateful.rule(host=st.sampled_from(HOSTS))
    def read(self, host):
        turn = self.turns[host]
        for offset in range(turn.end, len(self.topic)):
            turn.apply(self.topic[offset], offset, now=self.now)

    @stateful.rule(host=st.sampled_from(HOSTS))
    def append(self, host):
        turn = self.turns[host]
        if turn.end != len(self.topic) or not turn.may_append(self.now):
            return
        self.appended[host] = (self.now, len(self.topic))
        turn.apply(host, len(self.topic), now=self.now)
        self.topic.append(host)

    @stateful.rule(host=st.sampled_from(HOSTS))
    def send(self, host):
        if host not in self.appended:
            return
        at, number = self.appended.pop(host)
        if self.turns[host].may_send(at, self.now):
            self.orders.append((self.now, host, number))

    @stateful.invariant()
    def orders_are_apart_and_numbered(self):
        for before, after in zip(self.orders, self.orders[1:], strict=False):
            assert before[2] < after[2]
            if before[1] != after[1]:
                assert after[0] - before[0] >= LEASE_S


TestTurnMachine = TurnMachine.TestCase
TestTurnMachine.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
