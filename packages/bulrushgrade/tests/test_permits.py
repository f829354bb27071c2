"""Tests of the permits for requests to one endpoint."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from bulrushgrade import permits

WINDOW_S = 4.0


def make(per_s=4.0):
    return permits.PermitQueue(per_s=per_s, now=0.0)


def claim(key, *, now=0.0, urgency=1, waited_s=0.0, wait_s=0.0, return_s=1.0):
    return permits.Claim(
        key=key,
        urgency=urgency,
        arrived_at=now - waited_s,
        wait_until=now + wait_s,
        return_by=now + return_s,
    )


def granted(decisions):
    return [one.key for one in decisions if one.granted]


def denied(decisions):
    return {one.key: one for one in decisions if not one.granted}


def test_first_permit_is_earned():
    """Guards against new owners that each begin with a permit to spare."""
    queue = make(per_s=4.0)
    (decision,) = queue.submit(claim("a"), 0.0)
    assert not decision.granted
    assert decision.open_s == pytest.approx(0.25)
    assert granted(queue.submit(claim("b", now=0.25), 0.25)) == ["b"]


def test_unused_permits_are_kept_only_for_a_moment():
    """Guards against a burst after a pause."""
    queue = make(per_s=4.0)
    found = [
        queue.submit(claim(n, now=100.0), 100.0)[0].granted for n in range(9)
    ]
    most = 1 + permits.RESERVE + permits.BURST_S * 4.0
    assert sum(found) == int(most)


def test_urgent_claims_go_first_and_then_older_ones():
    """Guards against permits that go to whoever asks last."""
    queue = make(per_s=4.0)
    for key, urgency, waited_s in (
        ("late", 2, 0.5),
        ("new", 1, 0.0),
        ("old", 1, 0.3),
        ("urgent", 0, 0.0),
    ):
        waiting = claim(key, urgency=urgency, waited_s=waited_s, wait_s=2.0)
        assert queue.submit(waiting, 0.0) == []
    order = []
    for step in range(1, 6):
        order += granted(queue.decide(step * 0.25))
    assert order == ["urgent", "old", "new", "late"]


def test_a_permit_is_left_for_more_urgent_claims():
    """Guards against urgent requests that find every permit just taken."""
    queue = make(per_s=4.0)
    queue.submit(claim("first", urgency=0), 0.0)
    (late,) = queue.submit(claim("late", urgency=1, now=0.25), 0.25)
    assert (late.granted, late.open_s) == (False, pytest.approx(0.25))
    assert granted(queue.submit(claim("u", urgency=0, now=0.25), 0.25)) == ["u"]
    # Nothing is left for urgent claims if there are none.
    now = 0.5 + permits.RESERVE_MEMORY_S
    found = [
        queue.submit(claim(n, urgency=1, now=now), now)[0].granted
        for n in range(3)
    ]
    assert found == [True] * 3


def test_claim_that_would_wait_in_vain_is_denied_at_once():
    """Guards against callers who wait and are refused all the same."""
    queue = make(per_s=4.0)
    assert queue.submit(claim("a", wait_s=0.3), 0.0) == []
    found = denied(queue.submit(claim("b", wait_s=0.3), 0.0))
    assert list(found) == ["b"]
    # A more urgent claim delays the first one beyond its time.
    found = denied(queue.submit(claim("c", urgency=0, wait_s=0.3), 0.0))
    assert list(found) == ["a"]
    assert granted(queue.decide(0.25)) == ["c"]


def test_denied_callers_return_one_by_one_in_their_order():
    """Guards against refused callers who all return for the same permit."""
    queue = make(per_s=4.0)
    times_s = [
        queue.submit(claim(n, return_s=1.0), 0.0)[0].retry_s for n in range(8)
    ]
    assert times_s[:4] == pytest.approx([0.25, 0.5, 0.75, 1.0])
    # The others can't return in time, and no time is kept for them.
    assert times_s[4:] == pytest.approx([1.25] * 4)


def test_withdrawn_claim_takes_no_permit():
    queue = make(per_s=4.0)
    queue.submit(claim("a", wait_s=1.0), 0.0)
    queue.submit(claim("b", wait_s=1.0), 0.0)
    queue.withdraw("a")
    assert granted(queue.decide(0.25)) == ["b"]
    assert queue.next_due_s(0.25) is None


def test_rate_may_change_while_claims_wait():
    queue = make(per_s=0.5)
    queue.submit(claim("a", wait_s=3.0), 0.0)
    assert queue.next_due_s(0.0) == pytest.approx(2.0)
    queue.set_rate(5.0, 0.0)
    assert queue.next_due_s(0.0) == pytest.approx(0.2)
    assert granted(queue.decide(0.2)) == ["a"]


def test_closed_queue_denies_all():
    queue = make()
    queue.submit(claim("a", wait_s=1.0), 0.0)
    assert list(denied(queue.close(0.1))) == ["a"]
    assert len(queue) == 0


class QueueMachine(stateful.RuleBasedStateMachine):
    """Claims arrive, leave and wait while the rate changes."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.most_per_s = 4.0
        self.queue = make(self.most_per_s)
        self.open = set()
        self.granted_at = []
        self.number = 0

    def apply(self, decisions):
        for one in decisions:
            # Each claim is decided once.
            self.open.remove(one.key)
            if one.granted:
                self.granted_at.append(self.now)
            else:
                assert one.open_s >= 0
                assert one.retry_s >= 0

    @stateful.rule(
        urgency=st.integers(0, 2),
        waited_s=st.floats(0, 1),
        wait_s=st.floats(0, 2),
        count=st.integers(1, 6),
    )
    def submit(self, urgency, waited_s, wait_s, count):
        for _ in range(count):
            self.number += 1
            self.open.add(self.number)
            one = claim(
                self.number,
                now=self.now,
                urgency=urgency,
                waited_s=waited_s,
                wait_s=wait_s,
            )
            self.apply(self.queue.submit(one, self.now))

    @stateful.rule(passed_s=st.floats(0.01, 2))
    def advance(self, passed_s):
        end = self.now + passed_s
        while (due_s := self.queue.next_due_s(self.now)) is not None:
            if self.now + due_s > end:
                break
            self.now += due_s + 1e-6
            self.apply(self.queue.decide(self.now))
        self.now = max(self.now, end)
        self.apply(self.queue.decide(self.now))

    @stateful.rule(per_s=st.floats(0.1, 4.0))
    def change_rate(self, per_s):
        self.queue.set_rate(per_s, self.now)

    @stateful.rule()
    def withdraw(self):
        if self.open:
            key = min(self.open)
            self.open.discard(key)
            self.queue.withdraw(key)

    @stateful.invariant()
    def limit_is_kept_in_every_window(self):
        burst = 1 + permits.RESERVE + permits.BURST_S * self.most_per_s
        for at in self.granted_at:
            window = [t for t in self.granted_at if 0 <= t - at < WINDOW_S]
            assert len(window) <= self.most_per_s * WINDOW_S + burst + 1e-6

    @stateful.invariant()
    def waiting_claims_are_those_not_decided(self):
        assert len(self.queue) == len(self.open)


QueueMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
test_queue_machine = QueueMachine.TestCase
