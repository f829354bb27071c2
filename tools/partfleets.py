"""Emulates fleets in which prompt parts crash engines; prints figures.

Usage: python tools/partfleets.py [HOSTS ...]
"""

import pathlib
import random
import statistics
import sys
import time

# The emulation is shared with the tests.
_ROOT = pathlib.Path(__file__).parents[1]
sys.path.insert(0, str(_ROOT / "packages/bulrushgrade/tests"))

import partfleet  # noqa: E402

SIZES = ((9, 9, 60.0, 40), (90, 90, 400.0, 8), (330, 330, 1000.0, 3))
"""Numbers of hosts and engines, sound requests a second, and fleets."""

DURATION_S = 30.0
MAX_SENT_LATER = 3
"""Sends with a harmful part that are allowed later than 3 s after the fifth
crash."""

SCENES = {
    "one to three harmful parts": {},
    "the same, and plain crashes": {
        "plain_crashes": (
            (3.0, 0.2, False),
            (7.0, 0.3, True),
            (15.0, 1.0, False),
        )
    },
    "plain crashes alone, an engine in eight every 3 s": {
        "harmful_per_s": 0.0,
        "plain_crashes": tuple((5.0 + 3.0 * n, 0.12, False) for n in range(8)),
    },
}


def simulate(hosts, engines, sound_per_s, fleets, changes):
    """Plays fleets and prints a row."""
    began = time.perf_counter()
    crashes, later, shares, refused, sound, blames = [], [], [], 0, 0, 0
    over = 0
    for seed in range(fleets):
        plan = partfleet.draw_plan(
            random.Random(seed),
            hosts=hosts,
            engines=engines,
            sound_per_s=sound_per_s,
            duration_s=DURATION_S,
            **changes,
        )
        outcome = partfleet.PartFleet(plan=plan, seed=seed).play()
        crashes += outcome.crashes.values()
        later += outcome.sends_later.values()
        over += max(outcome.sends_later.values(), default=0) > MAX_SENT_LATER
        refused += outcome.sound_refused
        sound += outcome.sound
        blames += outcome.false_blames
        if outcome.after and any(outcome.before):
            before = sum(outcome.before) / len(outcome.before)
            after = sum(outcome.after) / len(outcome.after)
            shares.append(after / before)
    median = statistics.median(crashes) if crashes else "-"
    print(
        f"{hosts} | {fleets} | {median}, {max(crashes, default='-')} |"
        f" {max(later, default=0)}, in {over} fleets over {MAX_SENT_LATER} |"
        f" {refused} of {sound} |"
        f" {f'{min(shares):.2f}' if shares else '-'} | {blames} |"
        f" {time.perf_counter() - began:.0f} s",
        flush=True,
    )


def main():
    """Prints the rows of all scenes."""
    chosen = set(map(int, sys.argv[1:]))
    for name, changes in SCENES.items():
        print(name)
        print(
            "hosts | fleets | crashes a part, median and most | most sends"
            " later than 3 s after the fifth | sound refused | least share of"
            " sound begun, after by before | false blames | took"
        )
        for hosts, engines, sound_per_s, fleets in SIZES:
            if not chosen or hosts in chosen:
                simulate(hosts, engines, sound_per_s, fleets, changes)


if __name__ == "__main__":
    main()
