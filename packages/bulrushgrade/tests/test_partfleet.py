"""Tests of emulated fleets in which prompt parts crash engines."""

import random

import partfleet
import pytest

MAX_SENT_LATER = 3
"""Sends with a harmful part from 3 s after its fifth crash on."""

MIN_BEGUN_SHARE = 0.5
"""Share of sound requests that begin at the first attempt then, of the share
before."""


def play(seed, **changes):
    plan = partfleet.draw_plan(random.Random(seed), **changes)
    return partfleet.PartFleet(plan=plan, seed=seed).play()


def check(outcome):
    assert max(outcome.sends_later.values(), default=0) <= MAX_SENT_LATER
    if len(outcome.after) >= 20:
        before = sum(outcome.before) / len(outcome.before)
        after = sum(outcome.after) / len(outcome.after)
        assert after >= MIN_BEGUN_SHARE * before


@pytest.mark.parametrize("seed", range(30))
def test_harmful_parts_are_held_back_and_sound_ones_served(seed):
    """Engines crashed one after the other, whatever the fleet was like."""
    check(play(seed))


@pytest.mark.parametrize("seed", range(100, 106))
def test_plain_crashes_beside_harmful_parts(seed):
    """Engines, zones and the whole service end beside the harmful prompts."""
    crashes = ((3.0, 0.2, False), (7.0, 0.3, True), (15.0, 1.0, False))
    check(play(seed, harmful_per_s=1.0, plain_crashes=crashes))


@pytest.mark.parametrize("seed", range(200, 206))
@pytest.mark.parametrize(
    "crashes",
    [
        tuple((5.0 + 3.0 * n, 0.12, False) for n in range(11)),
        tuple((5.0 + 8.0 * n, 0.3, True) for n in range(4)),
        tuple((5.0 + 6.0 * n, 1.0, False) for n in range(5)),
    ],
    ids=["single", "zones", "all"],
)
def test_plain_crashes_blame_no_part(seed, crashes):
    """A frequent part was blamed for engines that ended by themselves."""
    outcome = play(seed, harmful_per_s=0.0, plain_crashes=crashes)
    assert outcome.false_blames == 0


def test_nothing_is_known_or_counted_without_a_crash():
    plan = partfleet.Plan(harmful_per_s=0.0)
    fleet = partfleet.PartFleet(plan=plan, seed=1)
    outcome = fleet.play()
    assert outcome.sound_refused == 0
    assert all(len(ledger) == 0 for ledger in fleet.ledgers)
