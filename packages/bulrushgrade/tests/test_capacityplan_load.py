"""Tests of the capacity plan under load.

Bursts of long prompts alternate with calm every few seconds, and all spot
engines of a zone are reclaimed in the middle.
"""

import heapq

import attrs
from capacityscene import SCALING
from capacityscene import Fleet

READ_S = 0.25
TARGET_S = 0.65
STEP_S = 0.05
HALF_PERIOD_S = 3.0
BURST_PER_S, CALM_PER_S = 130.0, 40.0


class Load:
    """Sends prompts to a fleet; the engine that is free first prefills each."""

    def __init__(self, *, fleet):
        self.fleet = fleet
        self.free_at = []
        self.asked = 0
        self.in_time = 0
        self.paid = 0.0
        self.due = 0.0

    def run(self, seconds):
        end = self.fleet.now + seconds
        while self.fleet.now < end:
            self.fleet.run(STEP_S, step_s=STEP_S)
            self.match_engines()
            self.paid += self.fleet.price * STEP_S
            is_burst = int(self.fleet.now / HALF_PERIOD_S) % 2 == 0
            rate = BURST_PER_S if is_burst else CALM_PER_S
            self.due += rate * STEP_S
            while self.due >= 1.0:
                self.due -= 1.0
                self.place()

    def match_engines(self):
        now = self.fleet.now
        while len(self.free_at) > self.fleet.total:
            self.free_at.remove(max(self.free_at))
            heapq.heapify(self.free_at)
        while len(self.free_at) < self.fleet.total:
            heapq.heappush(self.free_at, now)

    def place(self):
        now = self.fleet.now
        began = max(now, self.free_at[0])
        self.asked += 1
        # Prompts that would be late are refused and use no engine.
        if began + READ_S - now > TARGET_S:
            return
        self.in_time += 1
        heapq.heapreplace(self.free_at, began + READ_S)


def play(scaling):
    fleet = Fleet(scaling=scaling)
    fleet.run(20.0)
    load = Load(fleet=fleet)
    load.run(15.0)
    fleet.refusing = {"b"}
    if fleet.spot("b"):
        fleet.running["b", True] = 0
    load.run(10.0)
    fleet.refusing = set()
    load.run(15.0)
    return load


def test_bursts_are_served_through_the_loss_of_a_zones_spot_engines():
    """Guards against a cheaper fleet that serves fewer callers."""
    kept = play(attrs.evolve(SCALING, spot_price=1.0))
    moved = play(SCALING)
    assert moved.asked == kept.asked
    assert moved.in_time > kept.in_time
    assert moved.in_time >= 0.99 * moved.asked
    assert moved.paid < 0.75 * kept.paid


def test_dear_spot_engines_serve_no_fewer_callers_either():
    kept = play(attrs.evolve(SCALING, spot_price=1.0))
    moved = play(attrs.evolve(SCALING, spot_price=0.75))
    assert moved.in_time >= kept.in_time
    assert moved.paid <= 1.05 * kept.paid
