"""Tests of how many connections an overloaded host takes."""

import heapq
import random

import attrs
import pytest

from bulrushgrade import connectionlimiter

MAX_CONNECTIONS = 1800
HANDLED_PER_S = 200.0
"""Requests that the emulated event loop can handle."""

TURNS = 8
"""Turns of the loop that a request takes."""

CLOSING_COST = 0.06
"""Cost of a connection that is closed unread, of the cost of a request."""

IN_TIME_S = 1.0
FLOOD_AT_S, FLOOD_ENDS_S, END_S = 5.0, 25.0, 32.0
CONTACT_S = 3.0
"""Time from the beginning of a flood until the host has to have noticed."""

MIN_SERVED_SHARE = 0.75
"""Share of the requests read then that have to be served, of the share that
was served before."""


@attrs.frozen(kw_only=True)
class Arrival:
    """A connection with one request, and how long it took if it was read."""

    at: float
    took_s: float | None


class Loop:
    """An event loop that handles what is ready in turns."""

    def __init__(self, *, usual_per_s, flood_per_s, seed=1, pauses=()):
        self._rng = random.Random(seed)
        self._now = 0.0
        self._events = []
        self._number = 0
        self.limiter = connectionlimiter.ConnectionLimiter(
            max_connections=MAX_CONNECTIONS, now=self._now
        )
        self.arrivals = []
        self.changes = []
        self._open = 0
        at = 0.0
        while at < END_S:
            is_flood = FLOOD_AT_S <= at < FLOOD_ENDS_S
            at += self._rng.expovariate(
                flood_per_s if is_flood else usual_per_s
            )
            self._push(at, self._accept, at)
        self._push(
            connectionlimiter.TICK_S, self._tick, connectionlimiter.TICK_S
        )
        for pause_at, pause_s in pauses:
            self._push(pause_at, self._pause, pause_s)

    def run(self):
        while self._events:
            self._now = max(self._now, self._events[0][0])
            if self._now > END_S + CONTACT_S:
                break
            ready = []
            while self._events and self._events[0][0] <= self._now:
                ready.append(heapq.heappop(self._events))
            # Timers run before the sockets of a turn.
            ready.sort(key=lambda event: event[2] != self._tick)
            for _, _, call, arguments in ready:
                call(*arguments)
        return self

    def share_in_time(self, begin_s, end_s):
        read = [
            arrival.took_s
            for arrival in self.arrivals
            if begin_s <= arrival.at < end_s and arrival.took_s is not None
        ]
        return sum(took_s <= IN_TIME_S for took_s in read) / len(read)

    def read_per_s(self, begin_s, end_s):
        read = sum(
            begin_s <= arrival.at < end_s and arrival.took_s is not None
            for arrival in self.arrivals
        )
        return read / (end_s - begin_s)

    def _accept(self, at):
        cost_s = 1 / HANDLED_PER_S
        if not self.limiter.accepts(self._open, self._now):
            self._now += cost_s * CLOSING_COST
            self.arrivals.append(Arrival(at=at, took_s=None))
            return
        self._open += 1
        self._work(at, 1)

    def _work(self, at, turn):
        self._now += 1 / HANDLED_PER_S / TURNS
        if turn < TURNS:
            ready_at = self._now + self._rng.uniform(0.004, 0.04)
            self._push(ready_at, self._work, at, turn + 1)
            return
        self._open -= 1
        self.limiter.observe_answer()
        self.arrivals.append(Arrival(at=at, took_s=self._now - at))

    def _tick(self, due):
        if self.limiter.observe_tick(self._now - due, self._now):
            self.changes.append((self._now, self.limiter.is_limiting))
        due = self._now + connectionlimiter.TICK_S
        self._push(due, self._tick, due)

    def _pause(self, pause_s):
        self._now += pause_s

    def _push(self, at, call, *arguments):
        self._number += 1
        heapq.heappush(self._events, (at, self._number, call, arguments))


@pytest.mark.parametrize("flood_per_s", [250, 400, 1000, 2000])
@pytest.mark.parametrize("usual_per_s", [5, 100])
def test_requests_that_are_read_in_a_flood_are_served(usual_per_s, flood_per_s):
    """Most connections of a region came to one host, which served none."""
    loop = Loop(usual_per_s=usual_per_s, flood_per_s=flood_per_s).run()
    before = loop.share_in_time(0.0, FLOOD_AT_S)
    after = loop.share_in_time(FLOOD_AT_S + CONTACT_S, FLOOD_ENDS_S)
    assert after >= MIN_SERVED_SHARE * before


@pytest.mark.parametrize("flood_per_s", [250, 400, 1000])
def test_host_in_a_flood_goes_on_serving_what_it_can(flood_per_s):
    """A host that rejected nearly everything would serve the rest in time."""
    loop = Loop(usual_per_s=20, flood_per_s=flood_per_s).run()
    left = HANDLED_PER_S - flood_per_s * CLOSING_COST
    served = loop.read_per_s(FLOOD_AT_S + 10.0, FLOOD_ENDS_S)
    assert served >= 0.6 * left


def test_host_notices_a_flood_within_a_second_and_its_end():
    loop = Loop(usual_per_s=20, flood_per_s=1000).run()
    (began_at, began), (ended_at, is_limiting) = loop.changes
    assert began
    assert began_at <= FLOOD_AT_S + 1.0
    assert not is_limiting
    assert ended_at <= FLOOD_ENDS_S + 3.0
    assert loop.read_per_s(FLOOD_ENDS_S + 3.0, END_S) == pytest.approx(
        20, rel=0.4
    )


def test_load_that_the_host_can_handle_is_read_whole():
    """Callers of a host that was not overloaded had to go to another one."""
    loop = Loop(usual_per_s=45, flood_per_s=150).run()
    assert all(a.took_s is not None for a in loop.arrivals if a.at < FLOOD_AT_S)
    steady = [a for a in loop.arrivals if a.at > FLOOD_AT_S + 1.0]
    rejected = sum(a.took_s is None for a in steady)
    assert rejected <= 0.01 * len(steady)


def make_limiter(**changes):
    fields = {"max_connections": 10, "now": 0.0} | changes
    return connectionlimiter.ConnectionLimiter(**fields)


def test_connections_are_bounded():
    """A host ran out of descriptors, and could not reach its endpoints."""
    host = make_limiter()
    assert host.accepts(9, 0.0)
    assert not host.accepts(10, 0.0)
    assert host.rejected == 1


def test_single_long_turn_limits_nothing():
    """A host that decoded a large configuration closed connections."""
    host, now = make_limiter(max_connections=1000), 0.0
    for tick in range(100):
        delay_s = 0.1 if tick == 50 else 0.0
        now += connectionlimiter.TICK_S + delay_s
        host.observe_tick(delay_s, now)
        assert host.accepts(0, now)
    assert not host.is_limiting


def test_connections_that_waited_for_a_paused_host_are_closed_unread():
    """Their callers have given up, or are about to."""
    host = make_limiter()
    host.observe_tick(0.0, connectionlimiter.TICK_S)
    assert not host.accepts(0, 2.0)
    host.observe_tick(2.0, 2.0 + connectionlimiter.TICK_S)
    assert not host.accepts(0, 2.0 + connectionlimiter.TICK_S)
    host.observe_tick(0.0, 2.0 + 2 * connectionlimiter.TICK_S)
    assert host.accepts(0, 2.0 + 2 * connectionlimiter.TICK_S)


@pytest.mark.parametrize("usual_per_s", [20, 45, 100])
@pytest.mark.parametrize("pause_s", [0.3, 2.0])
def test_paused_host_reads_what_it_can_handle_at_once(usual_per_s, pause_s):
    """A host left most connections unread for ten seconds after a pause."""
    ends = [at + pause_s for at in (4.0, 11.0, 18.0)]
    loop = Loop(
        usual_per_s=usual_per_s,
        flood_per_s=usual_per_s,
        pauses=[(at - pause_s, pause_s) for at in ends],
    ).run()
    later = [a for a in loop.arrivals if any(0.5 <= a.at - e < 3 for e in ends)]
    rejected = sum(arrival.took_s is None for arrival in later)
    assert rejected <= 0.02 * len(later)


def test_burst_at_a_host_that_is_on_time_is_read_whole():
    """A host that just started closed connections of callers that came back."""
    host, now = make_limiter(max_connections=1000), 0.0
    for tick in range(200):
        now += connectionlimiter.TICK_S
        host.observe_tick(0.0, now)
        if tick % 40 == 0:
            assert all(host.accepts(0, now) for _ in range(40))
    assert not host.is_limiting


def test_few_connections_are_read_while_others_make_the_loop_late():
    """A host on a busy machine closed connections at 15 a second."""
    rng, now, rejected, arrivals = random.Random(1), 0.0, 0, 0
    host = make_limiter(max_connections=1000)
    for _ in range(600):
        delay_s = rng.uniform(0.0, 0.07)
        elapsed_s = connectionlimiter.TICK_S + delay_s
        now += elapsed_s
        host.observe_tick(delay_s, now)
        for _ in range(int(rng.random() < 15 * elapsed_s)):
            arrivals += 1
            rejected += not host.accepts(0, now)
            host.observe_answer()
    assert rejected <= 0.02 * arrivals
