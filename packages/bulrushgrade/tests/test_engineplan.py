"""Tests of where prompts are read and answers are generated."""

import collections

from planscene import DECODE
from planscene import ENGINES
from planscene import PREFILL
from planscene import TRAITS
from planscene import find_preferred
from planscene import let_stream
from planscene import make_input
from planscene import make_plan
from planscene import make_planner
from test_directory import make
from test_engineload import make_prompt

from bulrushgrade import enginecache
from bulrushgrade import engineload
from bulrushgrade import peerloads


def test_preferred_engines_are_the_same_at_every_daemon():
    for number in range(50):
        prompt = make_prompt(f"s{number}")
        shuffled = [ENGINES[i] for i in (3, 0, 4, 2, 1)]
        preferred = find_preferred(prompt, ENGINES)
        assert find_preferred(prompt, shuffled) == preferred


def test_preferred_engines_are_spread_over_all_prefillers():
    found = collections.Counter(
        find_preferred(make_prompt(f"s{n}"), ENGINES).id for n in range(1000)
    )
    assert set(found) == {"p1", "p2"}
    assert min(found.values()) > 400


def test_without_prefillers_all_decoders_are_preferred():
    found = {
        find_preferred(make_prompt(f"s{n}"), ENGINES[2:]).id for n in range(100)
    }
    assert found == {"d1", "d2", "d3"}


def test_removed_engine_moves_only_its_own_parts():
    """An engine is lost while long prompts keep coming.

    If the found of all parts moved, every engine would read everything again
    at the moment when one of them is missing.
    """
    left = ENGINES[1:]
    for number in range(200):
        prompt = make_prompt(f"s{number}")
        before = find_preferred(prompt, ENGINES)
        if before is not ENGINES[0]:
            assert find_preferred(prompt, left) is before


def test_long_prompt_is_prefilled_at_its_preferred_engine():
    for number in range(50):
        prompt = make_prompt(f"s{number}")
        plan = make_plan(prompt)
        prefiller = plan.prefill or plan.decode
        assert prefiller is find_preferred(prompt, ENGINES)
        assert plan.fetch_from is None


def test_tiny_prompt_is_never_handed_over():
    tiny = make_prompt("s1", shared_tokens=40, own_tokens=50)
    assert make_plan(tiny).prefill is None


def test_short_prompts_are_handed_over_when_decoders_are_busy():
    """Short prompts come at a rate that fills the few engines that generate.

    Each holds its streams up for ten milliseconds; a hundred a second would
    hold them up all the time, while the engines that read have room. Where
    the engines that generate have room, the handover would only add to it.
    """
    planner = make_planner()
    short = make_prompt("s1", shared_tokens=90, own_tokens=290)
    for engine in ENGINES[2:]:
        let_stream(planner, engine, count=10)
    assert make_plan(short, planner=planner).prefill is None
    for engine in ENGINES[2:]:
        queued = engineload.PendingPrefill(
            expected_s=0.2, sent_at=0.0, tokens=0
        )
        planner.fleet.load(engine, TRAITS).begin(queued)
    assert make_plan(short, planner=planner).prefill is not None


def test_long_queue_at_preferred_engine_diverts_prompt():
    """Bursts of long prompts hit the preferred of a popular part.

    Waiting behind seconds of work there is worse for the caller than having
    the part fetched by another engine, which takes some ten milliseconds
    where reading it again would take hundreds; a short queue is not.
    """
    prompt = make_prompt("s1")
    preferred = find_preferred(prompt, ENGINES)
    for queued_s, stays in ((0.01, True), (3.0, False)):
        planner = make_planner()
        load = planner.fleet.load(preferred, TRAITS)
        kept = enginecache.CacheChange(part="s1", tokens=10_000)
        load.cache.apply([kept], reset=False)
        queued = engineload.PendingPrefill(
            expected_s=queued_s, sent_at=0.0, tokens=0
        )
        load.begin(queued)
        plan = make_plan(prompt, planner=planner)
        prefiller = plan.prefill or plan.decode
        assert (prefiller is preferred) is stays
        assert plan.fetch_from is (None if stays else preferred)


def test_without_decoders_there_is_no_plan():
    assert make_plan(make_prompt(), ENGINES[:2]) is None


def test_retry_is_not_handed_over():
    for number in range(30):
        prompt = make_prompt(f"s{number}")
        assert make_plan(prompt, allow_handover=False).prefill is None


def test_decoder_of_a_part_is_stable():
    """What is handed over stays in the receiver's memory.

    Spread over all generating engines, each part would lie on all of them
    and push out those that are at preferred there.
    """
    decoders = collections.defaultdict(set)
    for number in range(40):
        for _ in range(3):
            plan = make_plan(make_prompt(f"s{number}"))
            if plan.prefill is not None:
                decoders[number].add(plan.decode.id)
    assert decoders
    assert all(len(found) == 1 for found in decoders.values())


def test_decoder_that_left_during_prefill_is_replaced():
    """An engine reads a prompt for two seconds; its receiver leaves meanwhile.

    A request that is then sent to the receiver is new work at an engine that
    was told, and promised, to get none. The receiver has to be chosen anew
    among those that are there when the prompt has been read.
    """
    planner = make_planner()
    prompt = make_prompt("s1")
    first = planner.choose_decoder(make_input(prompt))
    left = [engine for engine in ENGINES if engine is not first]
    second = planner.choose_decoder(make_input(prompt, left, now=2.0))
    assert second.stage is DECODE
    assert second is not first
    assert planner.choose_decoder(make_input(prompt, ENGINES[:2])) is None


def test_daemons_with_the_same_stale_view_pick_different_engines():
    """Many daemons have heard that one engine of twelve is idle.

    Until they hear again, all of them would send it all that comes.
    """
    engines = [make(f"p{n}", stage=PREFILL) for n in range(12)]
    engines += [make(f"d{n}", stage=DECODE) for n in range(4)]
    picked = collections.Counter()
    for number in range(200):
        planner = make_planner()
        for engine in engines[1:12]:
            queued = engineload.PendingPrefill(
                expected_s=0.3, sent_at=0.0, tokens=0
            )
            planner.fleet.load(engine, TRAITS).begin(queued)
        plan = make_plan(make_prompt(f"s{number}"), engines, planner)
        picked[(plan.prefill or plan.decode).id] += 1
    assert picked.most_common(1)[0][1] < 100


def test_forget_keeps_live_and_busy_engines():
    planner = make_planner()
    busy, idle = ENGINES[0], ENGINES[1]
    sent = engineload.PendingPrefill(expected_s=1.0, sent_at=0.0, tokens=0)
    planner.fleet.load(busy, TRAITS).begin(sent)
    planner.fleet.load(idle, TRAITS)
    planner.fleet.forget([])
    assert planner.fleet.load(busy, TRAITS).pending_prefills == 1


def test_busy_decoder_is_last_choice_for_long_prefill():
    """Long prompts queue for a second at the engines that only read.

    Reading one at an engine that generates would begin at once, but each of
    its streams would stand still meanwhile and be late as a whole.
    """
    planner = make_planner()
    for engine in ENGINES[2:]:
        let_stream(planner, engine, count=10)
    for engine in ENGINES[:2]:
        queued = engineload.PendingPrefill(
            expected_s=1.0, sent_at=0.0, tokens=0
        )
        planner.fleet.load(engine, TRAITS).begin(queued)
    assert make_plan(make_prompt("s1"), planner=planner).prefill is not None


def test_idle_decoder_prefills_what_would_queue():
    """Nothing is generated yet, and prompts queue at the engines that read.

    A prompt of any length holds up nobody at an engine without streams.
    """
    planner = make_planner()
    for engine in ENGINES[:2]:
        queued = engineload.PendingPrefill(
            expected_s=1.0, sent_at=0.0, tokens=0
        )
        planner.fleet.load(engine, TRAITS).begin(queued)
    assert make_plan(make_prompt("s1"), planner=planner).prefill is None


def test_stalled_streams_do_not_make_local_prefill_free():
    """A long prompt is read beside streams, which stand still meanwhile.

    Those streams are late by then. Were further prompts read there for free,
    all that begins at that engine would stand still for seconds.
    """
    planner = make_planner()
    for engine in ENGINES[2:]:
        let_stream(planner, engine, count=20)
        queued = engineload.PendingPrefill(
            expected_s=0.6, sent_at=0.0, tokens=0
        )
        planner.fleet.load(engine, TRAITS).begin(queued)
    for engine in ENGINES[:2]:
        queued = engineload.PendingPrefill(
            expected_s=1.2, sent_at=0.0, tokens=0
        )
        planner.fleet.load(engine, TRAITS).begin(queued)
    assert make_plan(make_prompt("s1"), planner=planner).prefill is not None


def test_decoder_has_memory_for_the_whole_stream():
    """One engine's memory is nearly full of long streams, others' are not.

    Its queue is as short as theirs. A stream more would have another one
    preempted, which stands still until it has been read again.
    """
    prompt = make_prompt("s1")
    planner = make_planner()
    full = planner.choose_decoder(make_input(prompt))
    let_stream(planner, full, count=30, prompt_tokens=15_000)
    others = [e for e in ENGINES[2:] if e is not full]
    for engine in others:
        let_stream(planner, engine, count=60, prompt_tokens=1_000)
    assert planner.choose_decoder(make_input(prompt)) in others


def test_choice_of_decoder_counts_streams_of_peers():
    """Every host has a few streams at an engine, all of them together many.

    By its own alone each host would go on sending there.
    """
    peers = peerloads.PeerLoads()
    planner = make_planner(peers)
    prompt = make_prompt("s1")
    first = planner.choose_decoder(make_input(prompt))
    for number in range(6):
        share = peerloads.EngineShare(streams=10, tokens=80_000)
        peers.update_group(f"h{number}", 1, {first.id: share}, 0.0)
    assert planner.choose_decoder(make_input(prompt)) is not first


def test_engine_with_slow_events_gets_fewer_streams():
    """One of three engines turned slow; its queue and memory look like others'.

    Its streams' events come four times as slowly.
    """
    planner = make_planner()
    prompt = make_prompt("s1")
    slow = planner.choose_decoder(make_input(prompt))
    for engine in ENGINES[2:]:
        pause_s = 0.32 if engine is slow else 0.08
        let_stream(planner, engine, count=10, pause_s=pause_s)
    assert planner.choose_decoder(make_input(prompt)) is not slow
