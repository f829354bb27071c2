"""Tests of the schedule of probes of a store that fails."""

import random

import pytest

from bulrushgrade import storeprobes

CONTACT_S = 3.0
HOSTS = 20


class Probes:
    """A schedule with its clock."""

    def __init__(self, seed=1):
        self.now = 100.0
        self.schedule = storeprobes.ProbeSchedule(
            contact_s=CONTACT_S, rng=random.Random(seed)
        )

    def delay_s(self, pace="prober", topic="t", is_stale=False):
        return self.schedule.delay_s(
            topic,
            storeprobes.Pace(pace),
            hosts=HOSTS,
            is_stale=is_stale,
            now=self.now,
        )

    def begin(self, topic="t", is_stale=False):
        return self.schedule.begin(topic, is_stale=is_stale, now=self.now)

    def fail(self, topic="t", took_s=0.0):
        self.begin(topic)
        self.now += took_s
        self.schedule.fail(topic, hosts=HOSTS, now=self.now)


def test_store_that_answers_is_read_without_delay():
    probes = Probes()
    assert probes.delay_s() == probes.delay_s("other", "u") == 0.0
    assert not probes.begin("t")
    assert not probes.begin("u")
    assert not probes.schedule.succeed("t", probes.now)


@pytest.mark.parametrize("took_s", [0.0, 0.5])
def test_pauses_of_a_prober_double_up_to_a_quarter_of_the_bound(took_s):
    """Counted from the begin, so that a time limit doesn't add to them."""
    for seed in range(50):
        probes = Probes(seed)
        for failures in range(1, 8):
            began = probes.now
            probes.fail(took_s=took_s)
            probes.now += probes.delay_s(topic="u")
            pause_s = probes.now - began
            nominal_s = min(0.25 * 2 ** (failures - 1), 0.5)
            assert pause_s >= max(0.5 * nominal_s, took_s + 0.125) - 1e-9
            assert pause_s <= max(0.25 * CONTACT_S, took_s + 0.125) + 1e-9


def test_other_hosts_of_a_zone_probe_at_a_rate_independent_of_their_number():
    """Guards against a store that gets more calls the larger a zone is."""
    probes = 0
    for seed in range(HOSTS - storeprobes.PROBERS):
        host = Probes(seed)
        while host.now < 140.0:
            delay_s = host.delay_s("other", "u", is_stale=True)
            if delay_s > 0:
                host.now += delay_s
                continue
            host.fail("u")
            probes += 1
            host.now += 0.001
    expected = 40.0 / (CONTACT_S / 8)
    assert 0.8 * expected < probes < 1.2 * expected


def test_one_probe_at_a_time_while_the_store_fails():
    probes = Probes()
    probes.fail()
    assert probes.delay_s(topic="u") < probes.delay_s(topic="t")
    probes.now += 1.0
    assert probes.delay_s(topic="u") == 0.0
    assert probes.begin("u")
    assert probes.delay_s() > 0
    # A read without an end doesn't prevent the others for good.
    probes.now += 0.5 * CONTACT_S
    assert probes.delay_s() == 0.0


def test_reads_that_fail_together_count_once():
    probes = Probes()
    for topic in "tuv":
        probes.begin(topic)
    probes.now += 0.5
    for topic in "tuv":
        probes.schedule.fail(topic, hosts=HOSTS, now=probes.now)
    assert probes.schedule.failures == 1


def test_return_noticed_by_this_host_releases_all_topics_over_a_short_time():
    probes = Probes()
    probes.fail()
    assert probes.schedule.succeed("t", probes.now)
    probes.schedule.draw_return_delay("u", probes.now, is_own=True)
    for is_stale in (False, True):
        delay_s = probes.delay_s("other", "u", is_stale=is_stale)
        assert delay_s <= storeprobes.RETURN_SPREAD_S
    probes.begin("u")
    assert probes.delay_s("other", "u", is_stale=True) > 0


def test_news_of_a_return_don_t_make_a_refused_host_probe_often():
    """Guards against a probe for each topic that other hosts regain."""
    probes = Probes()
    probes.fail()
    assert probes.schedule.hear_return(probes.now)
    assert not probes.schedule.is_failing
    probes.now += 0.1
    probes.fail()
    assert probes.schedule.is_failing
    assert not probes.schedule.hear_return(probes.now)
    probes.now += 0.25 * CONTACT_S
    assert probes.schedule.hear_return(probes.now)


def test_read_from_before_the_return_that_fails_after_it_is_ignored():
    probes = Probes()
    probes.fail()
    probes.now += 1.0
    probes.begin("t")
    probes.now += 0.1
    probes.schedule.hear_return(probes.now)
    probes.now += 0.1
    probes.schedule.fail("t", hosts=HOSTS, now=probes.now)
    assert not probes.schedule.is_failing


def test_turns_go_over_probers_and_an_offer_while_the_source_is_stale():
    turns = storeprobes.SourceTurns(hold_s=3.0)
    picked = []
    for _ in range(4):
        picked.append(turns.pick("a", ["b", "c"], 0.0))
        turns.skip(0.0)
    assert picked == ["a", "b", "c", "a"]
    turns.skip(0.0)
    turns.keep("c", "a")
    assert turns.pick("a", ["b", "c"], 1.0) == "c"
    assert turns.pick("a", ["b", "c"], 3.0) == "a"
    turns.prefer("d", 3.0)
    assert turns.pick("a", ["b"], 3.0) == "d"
    turns.drop("d")
    assert turns.pick("a", ["b"], 3.0) == "b"
    assert turns.pick(None, [], 3.0) is None
