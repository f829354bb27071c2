"""Tests of the load estimate of an engine."""

from test_directory import make as make_engine

from bulrushgrade import directory
from bulrushgrade import enginecache
from bulrushgrade import enginefleet
from bulrushgrade import engineload
from bulrushgrade import prefilltimes
from bulrushgrade import prompt as prompt_module
from bulrushgrade import routing

PREFILL, DECODE = directory.Stage.PREFILL, directory.Stage.DECODE


def make_prompt(shared="s1", shared_tokens=10_000, own_tokens=3_000):
    return prompt_module.Prompt(
        model="m",
        parts=(
            prompt_module.PromptPart(id=shared, tokens=shared_tokens),
            prompt_module.PromptPart(id="own", tokens=own_tokens),
        ),
        prompt_tokens=shared_tokens + own_tokens,
        output_tokens=10,
    )


def make_load(memory_tokens=100_000):
    return engineload.EngineLoad(memory_tokens=memory_tokens)


def make_prefill(expected_s=0.1, sent_at=0.0, tokens=0, prompt=None, urgency=0):
    return engineload.PendingPrefill(
        expected_s=expected_s,
        sent_at=sent_at,
        tokens=tokens,
        urgency=urgency,
        parts=prompt.shared_parts if prompt else (),
    )


def run_prefill(load, prompt):
    """Makes an engine prefill a prompt."""
    sent = make_prefill(prompt=prompt)
    load.begin(sent)
    load.answered(sent, PREFILL, 0.1)


def test_parts_are_cached_after_prefill():
    load = make_load()
    run_prefill(load, make_prompt("s1"))
    assert load.cache.cached_tokens(make_prompt("s1")) == 10_000
    assert load.cache.cached_tokens(make_prompt("s2")) == 0


def test_parts_in_prefill_are_expected_for_later_prompts():
    # Two prompts with the same long part arrive within the time of its prefill.
    # The second one was sent to another engine, which prefilled the part again
    # or fetched it from an engine that did not have it yet. Behind the first
    # prompt it costs nothing.
    load, prompt = make_load(), make_prompt("s1")
    sent = make_prefill(prompt=prompt)
    load.begin(sent)
    assert load.cache.expected_tokens(prompt, 0.0) == 10_000
    assert load.cache.cached_tokens(prompt) == 0
    load.answered(sent, PREFILL, 0.3)
    assert load.cache.expected_tokens(prompt, 0.3) == 10_000
    assert load.cache.cached_tokens(prompt) == 10_000


def test_parts_of_a_dropped_prompt_are_not_expected():
    load, prompt = make_load(), make_prompt("s1")
    sent = make_prefill(prompt=prompt)
    load.begin(sent)
    load.dropped(sent, 0.1)
    assert load.cache.expected_tokens(prompt, 0.1) == 0
    load.cache.expect(prompt.shared_parts, 1.0)
    assert load.cache.expected_tokens(prompt, 1.0 + enginecache.PENDING_S) == 0


def test_least_recently_used_parts_are_evicted():
    load = make_load(memory_tokens=30_000)
    for name in ("s1", "s2", "s1", "s3"):
        run_prefill(load, make_prompt(name))
    assert load.cache.cached_tokens(make_prompt("s1")) == 10_000
    assert load.cache.cached_tokens(make_prompt("s2")) == 0


def test_own_queue_adds_up():
    load = make_load()
    load.begin(make_prefill(expected_s=0.2))
    load.begin(make_prefill(expected_s=0.3))
    assert load.wait_s(0.0, urgency=0) == 0.5


def test_observed_delay_decays():
    load = make_load()
    sent = make_prefill(expected_s=0.1, sent_at=0.0)
    load.begin(sent)
    load.answered(sent, DECODE, 1.1)
    assert load.wait_s(1.1, urgency=0) == 1.0 * engineload.DELAY_WEIGHT
    assert load.wait_s(9.0, urgency=0) < 0.01


def test_wait_at_silent_engine_grows():
    """An engine hangs: it accepts requests and answers none.

    By its queue it would look idle to each daemon that sent it few requests.
    The age of the oldest unanswered request grows without any message.
    """
    load = make_load()
    load.begin(make_prefill(expected_s=0.1, sent_at=0.0))
    assert load.wait_s(0.5, urgency=0) == 0.4
    assert load.wait_s(2.1, urgency=0) == 2.0


def test_prompts_that_yield_delay_no_urgent_one():
    """Guards against refusals because of the waits of prompts that yield.

    While a workspace floods a service, its excess prompts wait for seconds at
    engines that serve urgent prompts at once. Prompts of small workspaces were
    refused as late there.
    """
    load, lowest = make_load(), routing.LOWEST_URGENCY
    sent = [make_prefill(urgency=lowest) for _ in range(2)]
    for prefill in sent:
        load.begin(prefill)
    assert load.wait_s(2.1, urgency=0) == 0.0
    assert load.wait_behind_s(2.1, 0.3, urgency=0) == 0.3
    assert load.wait_s(2.1, urgency=lowest) == 2.0
    load.answered(sent[0], DECODE, 2.1)
    # The second one is in progress and isn't preempted.
    assert load.wait_s(2.1, urgency=0) <= 0.1 + 1e-9
    assert load.wait_s(2.1, urgency=lowest) >= 1.0
    # One that doesn't yield still shows that the engine is behind.
    load.begin(make_prefill(sent_at=2.1))
    assert load.wait_s(4.2, urgency=0) == 2.0


def test_dropped_prefill_changes_no_estimate():
    load = make_load()
    sent = make_prefill()
    load.begin(sent)
    load.dropped(sent, 0.1)
    load.answered(sent, DECODE, 5.0)
    assert load.wait_s(5.0, urgency=0) == 0.0


def speed(load, stage=PREFILL):
    """Returns the estimated prefill speed in tokens per second."""
    return 4_000 / load.prefill_s(4_000, 0, stage)


def answer(load, *, tokens, took_s, expected_s, wait_s=0.0, now=0.0):
    sent = engineload.PendingPrefill(
        expected_s=expected_s,
        sent_at=now,
        tokens=tokens,
        wait_s=wait_s,
        latency_s=0.06,
        mode=prefilltimes.PrefillMode.DISAGGREGATED,
    )
    load.begin(sent)
    load.answered(sent, PREFILL, now + took_s)


def test_latency_is_not_counted_as_slow_prefill():
    """Responses begin 60 ms after the prefill, however short the prompt is.

    Engines that prefill 140 tokens per millisecond were estimated at 35, and
    prompts were refused because of queues that did not exist.
    """
    load = make_load()
    for number in range(40):
        load_s = 2_000 / speed(load)
        answer(
            load,
            tokens=2_000,
            took_s=0.06 + 2_000 / 140_000,
            expected_s=load_s,
            now=float(number),
        )
    assert 120_000 < speed(load) < 160_000


def prefill_new_parts(load, *, shared_tokens, own_tokens, prefill_in_s):
    """Makes an engine prefill prompts with a new shared part each.

    Args:
        load: The load estimate of the engine.
        shared_tokens: Tokens of the shared part.
        own_tokens: Tokens of the prompt's own part.
        prefill_in_s: Duration of each prefill.
    """
    for number in range(40):
        prompt = make_prompt(f"s{number}", shared_tokens, own_tokens)
        sent = engineload.PendingPrefill(
            expected_s=prompt.prompt_tokens / speed(load),
            sent_at=float(number),
            tokens=prompt.prompt_tokens,
            latency_s=0.06,
            mode=prefilltimes.PrefillMode.DISAGGREGATED,
            parts=prompt.shared_parts,
        )
        load.begin(sent)
        load.answered(sent, PREFILL, number + 0.06 + prefill_in_s)


def test_speed_is_learned_from_prompts_that_may_be_cached():
    """Hundreds of shared parts are in use; few prompts find theirs cached.

    Engines that prefill 140 tokens per millisecond were estimated at 40, the
    initial value, because a prompt whose prefill was faster than expected was
    assumed to have its shared part cached. Prompts were refused and diverted
    because of queues that were a third as long as estimated. A prompt's own
    part is always prefilled, whatever the engine has cached of the rest.
    """
    load = make_load()
    prefill_new_parts(
        load, shared_tokens=500, own_tokens=1_500, prefill_in_s=2_000 / 140_000
    )
    assert 90_000 < speed(load) <= 140_000


def test_cached_parts_are_not_counted_as_speed():
    """An engine has a long part cached that the daemon doesn't know of.

    The prefill of 13,000 tokens seems to take the time of 3,000. If the engine
    were estimated to be four times as fast, it would get four times the work.
    """
    load = make_load()
    prefill_new_parts(
        load,
        shared_tokens=10_000,
        own_tokens=3_000,
        prefill_in_s=3_000 / 40_000,
    )
    assert 36_000 < speed(load) < 44_000


def test_waits_do_not_change_the_speed():
    """A burst keeps an engine's queue full for seconds.

    Prefills then take many times their own duration. If the engine were
    estimated to be that slow, requests would still be refused after the burst.
    """
    load = make_load()
    before = speed(load)
    for number in range(40):
        answer(
            load,
            tokens=4_000,
            took_s=0.8,
            expected_s=4_000 / before,
            wait_s=0.5,
            now=float(number),
        )
    assert speed(load) == before


def test_speed_follows_an_engine_that_became_slow():
    load = make_load()
    before = speed(load)
    for number in range(40):
        expected_s = 4_000 / speed(load)
        answer(
            load,
            tokens=4_000,
            took_s=0.06 + 5 * 4_000 / before,
            expected_s=expected_s,
            now=float(number),
        )
    assert speed(load) < before / 3


def test_new_engine_has_the_speed_of_the_others():
    times = prefilltimes.PrefillTimes()
    known = engineload.EngineLoad(memory_tokens=100_000, times=times)
    for number in range(20):
        answer(
            known, tokens=4_000, took_s=0.1, expected_s=0.1, now=float(number)
        )
    fresh = engineload.EngineLoad(memory_tokens=100_000, times=times)
    assert speed(fresh) > max(60_000, 0.6 * speed(known))


def test_decoder_prefills_at_half_speed():
    load = make_load()
    assert speed(load, DECODE) == 0.5 * speed(load)


def test_restarted_engine_has_nothing_of_its_former_start():
    """Guards against requests that hang at an engine that has restarted.

    They were advertised as the load of its new start.
    """
    traits = routing.EngineTraits(
        slots=12,
        memory_tokens=100_000,
        token_bytes=1,
        link_bytes_per_s=1e9,
        kv_handle_ttl_s=1.0,
        stage_change_s=1.0,
    )
    fleet = enginefleet.EngineFleet()
    former, restarted = make_engine(born_ms=1), make_engine(born_ms=2)
    load, prompt = fleet.load(former, traits), make_prompt()
    run_prefill(load, prompt)
    load.begin(make_prefill(expected_s=9.0))
    assert list(fleet.shares(0.2)) == ["e1"]
    fresh = fleet.load(restarted, traits)
    assert fresh.is_idle
    assert fresh.cache.cached_tokens(prompt) == 0
    assert fleet.wait_s(restarted, traits, 0.2, 0) == 0
    assert fleet.shares(0.2) == {}
    fresh.begin(make_prefill(expected_s=1.0))
    assert fleet.shares(0.2) == {"e1": fresh.share(0.2)}
