"""Tests of what is known of prompt parts at crashes."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
from test_partblame import GAP_S
from test_partblame import RUNTIME
from test_partblame import make_crash

from bulrushgrade import partblame
from bulrushgrade import partledger

OTHER_RUNTIME = b"v2"


def crash_engines(ledger, part, *numbers, start=0.0, **changes):
    """Crashes engines, each with a request of its own with the part."""
    for n in numbers:
        crash = make_crash(
            part, f"e{n}", f"r{n}", at=start + n * GAP_S, **changes
        )
        ledger.observe_crash(crash)


def quarantined(ledger, *parts, runtime=RUNTIME):
    keys = [part.encode() for part in parts]
    return ledger.find_blame(keys, runtime) is not None


def test_quarantined_part_is_withheld_whatever_else_a_prompt_holds():
    ledger = partledger.PartLedger()
    crash_engines(ledger, "bad", 0, 1, 2)
    assert quarantined(ledger, "first", "bad", "third")
    assert not quarantined(ledger, "first", "third")
    assert ledger.explained == {(f"e{n}", 0) for n in range(3)}


def test_complete_answer_clears_a_part_for_good():
    """A sound part was counted at crashes again after it had completed."""
    ledger = partledger.PartLedger()
    crash_engines(ledger, "good", 0, 1, 2)
    assert ledger.observe_completion(b"good", RUNTIME, began_at=0.1)
    assert not quarantined(ledger, "good")
    crash_engines(ledger, "good", 3, 4, 5, 6)
    assert not quarantined(ledger, "good")
    assert len(ledger) == 0


def test_answer_that_began_before_the_first_crash_clears_nothing():
    """A part may have become harmful since."""
    ledger = partledger.PartLedger()
    crash_engines(ledger, "bad", 0, 1, 2)
    assert not ledger.observe_completion(b"bad", RUNTIME, began_at=-1.0)
    assert quarantined(ledger, "bad")


def test_completion_is_known_before_the_crash_of_another_host():
    """A host completed an answer before it was told of the part's crash."""
    ledger = partledger.PartLedger()
    crash_engines(ledger, "other", 0)
    ledger.observe_completion(b"good", RUNTIME, began_at=2.0)
    crash_engines(ledger, "good", 1)
    assert not ledger.is_suspect(b"good")
    crash_engines(ledger, "late", 1)
    ledger.observe_completion(b"late", RUNTIME, began_at=0.5)
    assert ledger.is_suspect(b"late")


def test_part_that_is_sound_at_one_software_is_withheld_from_the_other():
    """A part that a former version served crashed each engine of the next."""
    ledger = partledger.PartLedger()
    crash_engines(ledger, "bad", 0, 1, 2, runtime=OTHER_RUNTIME)
    assert quarantined(ledger, "bad")
    assert ledger.observe_completion(b"bad", RUNTIME, began_at=1.0)
    assert not quarantined(ledger, "bad", runtime=RUNTIME)
    assert quarantined(ledger, "bad", runtime=OTHER_RUNTIME)
    # There is software that serves it, so that it isn't refused everywhere.
    assert not quarantined(ledger, "bad", runtime=None)


def test_crashes_at_several_software_versions_add_up():
    ledger = partledger.PartLedger()
    crash_engines(ledger, "bad", 0, 1)
    crash_engines(ledger, "bad", 2, runtime=OTHER_RUNTIME)
    assert quarantined(ledger, "bad", runtime=b"v3")


def test_news_of_a_peer_that_a_part_is_sound_releases_it():
    ledger = partledger.PartLedger()
    crash_engines(ledger, "good", 0, 1, 2)
    assert ledger.add_sound(b"good", RUNTIME)
    assert not ledger.add_sound(b"good", RUNTIME)
    assert not quarantined(ledger, "good")


def test_wrong_quarantine_ends_when_another_part_explains_its_crashes():
    """A part that was at crashes by chance was refused for good."""
    ledger = partledger.PartLedger()
    for n in range(3):
        at = n * GAP_S
        ledger.observe_crash(make_crash("chance", f"e{n}", f"s{n}", at=at))
    assert quarantined(ledger, "chance")
    crash_engines(ledger, "bad", *range(6))
    assert quarantined(ledger, "bad")
    assert not quarantined(ledger, "chance")


def test_suspicion_counts_no_crashes_that_are_explained():
    ledger = partledger.PartLedger()
    crash_engines(ledger, "bad", *range(4))
    for n in range(2):
        ledger.observe_crash(make_crash("beside", f"e{n}", "s", at=n * GAP_S))
    assert ledger.count_suspicions([b"beside"]) == 0
    assert ledger.count_suspicions([b"beside", b"bad"]) == 4


def test_quarantine_is_tried_again_few_times_and_ever_later():
    """Guards against a harmful part that is tried every few minutes."""
    ledger = partledger.PartLedger()
    crash_engines(ledger, "bad", *range(5))
    now, trials, number = 5 * GAP_S, 0, 10
    while now < 86_400.0:
        (blame,) = ledger.blames
        ledger.note_refusal(blame, now)
        if ledger.begin_trial(blame, now):
            trials += 1
            assert not ledger.begin_trial(blame, now)
            crash_engines(ledger, "bad", number, start=now - number * GAP_S)
            number += 1
        ledger.expire(now)
        now += 60.0
    assert trials == len(partledger.TRIAL_DELAYS_S)
    assert quarantined(ledger, "bad")


def test_quarantine_ends_when_nobody_asks_for_the_part():
    ledger = partledger.PartLedger()
    crash_engines(ledger, "bad", 0, 1, 2)
    crash_engines(ledger, "once", 3)
    (blame,) = ledger.blames
    ledger.note_refusal(blame, partledger.CRASH_TTL_S)
    later = partledger.CRASH_TTL_S + partledger.UNUSED_TTL_S
    ledger.expire(later - 1.0)
    assert quarantined(ledger, "bad")
    assert not ledger.is_suspect(b"once")
    ledger.expire(later)
    assert not quarantined(ledger, "bad")
    assert len(ledger) == 0


def test_caller_with_many_ids_drops_no_evidence_of_others():
    """A flood of made-up parts displaced what was at several crashes."""
    ledger = partledger.PartLedger()
    crash_engines(ledger, "bad", 0, 1)
    for n in range(partledger.MAX_CRASHES + 500):
        ledger.observe_crash(make_crash(f"id{n}", "e9", "r9", at=9 * GAP_S))
    ledger.expire(10 * GAP_S)
    assert len(ledger) == partledger.MAX_CRASHES
    crash_engines(ledger, "bad", 2)
    assert quarantined(ledger, "bad")


def test_memory_of_sound_parts_and_of_completions_is_bounded():
    ledger = partledger.PartLedger()
    crash_engines(ledger, "bad", 0)
    for n in range(partledger.MAX_SOUND + 10):
        part = f"id{n}".encode()
        ledger.observe_crash(make_crash(f"id{n}", "e1", "r", at=1.0))
        ledger.observe_completion(part, RUNTIME, began_at=2.0)
    assert len(ledger) == 1
    crash_engines(ledger, "id0", 3)
    assert ledger.is_suspect(b"id0")


PARTS = st.sampled_from(["first", "bad", "c1", "c2", "c3"])


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Two hosts that learn the same in another order agree."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.one = partledger.PartLedger()
        self.other = partledger.PartLedger()
        self.untold = []
        self.number = 0

    @stateful.rule(
        parts=st.sets(PARTS, min_size=1),
        gap_s=st.floats(0.01, 3.0),
        ran_s=st.floats(0.0, 2.0),
    )
    def crash(self, parts, gap_s, ran_s):
        self.now += gap_s
        self.number += 1
        for part in parts:
            found = make_crash(
                part,
                f"e{self.number}",
                f"r{self.number % 7}",
                at=self.now,
                ran_s=ran_s,
            )
            self.one.observe_crash(found)
            self.untold.append(("crash", found))

    @stateful.rule(part=PARTS)
    def complete(self, part):
        if part != "bad" and self.one.observe_completion(
            part.encode(), RUNTIME, began_at=self.now
        ):
            self.untold.append(("sound", part.encode()))

    @stateful.rule(random=st.randoms(use_true_random=False))
    def tell(self, random):
        random.shuffle(self.untold)
        for kind, news in self.untold:
            if kind == "crash":
                self.other.observe_crash(news)
            else:
                self.other.add_sound(news, RUNTIME)
        self.untold.clear()
        assert set(self.one.blames) == set(self.other.blames)

    @stateful.invariant()
    def only_known_suspects_are_blamed(self):
        for blame in self.one.blames:
            assert blame.crashes >= partblame.MIN_CRASHES
            assert blame.requests >= partblame.MIN_REQUESTS
            assert all(map(self.one.is_suspect, blame.parts))


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30
)
