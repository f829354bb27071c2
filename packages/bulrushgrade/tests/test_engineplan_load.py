"""Tests of placement and refusals under load."""

import heapq

from planscene import ENGINES
from planscene import TRAITS
from planscene import add_streams
from planscene import find_preferred
from planscene import make_input
from planscene import make_plan
from planscene import make_planner
from test_engineload import make_prompt

from bulrushgrade import engineadmission
from bulrushgrade import enginecache
from bulrushgrade import engineload
from bulrushgrade import routing


def test_large_prompts_are_not_refused_more_often():
    """Prompts of all sizes arrive in a burst; one in ten is far larger.

    With queues as long as the callers' patience, a large prompt behind small
    ones never begins in time. With one shorter limit for all sizes it is
    refused as often as they are, and has no time left when it is retried.
    """
    planner = make_planner()
    small, large = make_prompt("s1"), make_prompt("s1", own_tokens=35_000)
    make_plan(small, planner=planner)
    taken = []
    for queued_s in (1.2, 1.5, 2.0):
        queued = engineload.PendingPrefill(
            expected_s=queued_s, sent_at=0.0, tokens=0
        )
        for engine in ENGINES:
            load = planner.fleet.load(engine, TRAITS)
            kept = enginecache.CacheChange(part="s1", tokens=10_000)
            load.cache.apply([kept], reset=False)
            load.begin(queued)
        for prompt in (small, large):
            plan = make_plan(prompt, planner=planner)
            late_s = engineadmission.lateness_s(
                plan, left_s=5.0, patience_s=3.2
            )
            taken.append(late_s <= 0)
        for engine in ENGINES:
            planner.fleet.load(engine, TRAITS).dropped(queued, 0.0)
    assert taken == [True, True, False, True, False, False]


def test_burst_is_refused_in_part_and_the_rest_served():
    """Twice as many long prompts arrive for 20 s as the engines can prefill.

    If all were accepted, every queue would exceed the callers' patience, and
    nearly all prefills would be wasted. With refusals on arrival, accepted
    prompts begin in time and keep the engines busy.
    """
    planner = make_planner()
    for engine in ENGINES[2:]:
        add_streams(planner, engine, count=30)
    free_at = {engine.id: 0.0 for engine in ENGINES}
    under_way = []
    taken, refused, late = 0, 0, 0
    for number in range(250):
        now = number * 0.08
        prompt = make_prompt(f"s{number}")
        while under_way and under_way[0][0] <= now:
            done, _, load, prefill, stage = heapq.heappop(under_way)
            load.answered(prefill, stage, done)
        plan = make_plan(prompt, planner=planner, now=now)
        if engineadmission.lateness_s(plan, left_s=5.0, patience_s=3.2) > 0:
            refused += 1
            continue
        taken += 1
        prefiller = plan.prefill or plan.decode
        free_at[prefiller.id] = max(now, free_at[prefiller.id]) + plan.prefill_s
        done = free_at[prefiller.id] + plan.latency_s
        late += done - now > 3.2
        prefill = engineload.PendingPrefill(
            expected_s=plan.prefill_s,
            sent_at=now,
            tokens=plan.read_tokens,
            wait_s=plan.wait_s,
            latency_s=plan.latency_s,
            parts=prompt.shared_parts,
        )
        load = planner.fleet.load(prefiller, TRAITS)
        load.begin(prefill)
        entry = (done, number, load, prefill, prefiller.stage)
        heapq.heappush(under_way, entry)
    assert refused > 80
    assert taken > 95
    assert late < taken * 0.1


def test_next_prompt_goes_where_its_part_is_being_prefilled():
    # Two prompts with the same long part arrive within the time of its prefill.
    # The second one used to be sent to an idle engine, which prefilled the part
    # again. Behind the first it waits for the rest of that prefill and only
    # prefills its own part.
    planner = make_planner()
    prompt = make_prompt("s1", shared_tokens=16_000)
    first = make_plan(prompt, planner=planner)
    prefill = engineload.PendingPrefill(
        expected_s=first.busy_s,
        sent_at=0.0,
        tokens=first.read_tokens,
        parts=prompt.shared_parts,
    )
    planner.fleet.load(first.prefill, TRAITS).begin(prefill)
    reported_wait_s = {first.prefill.id: first.busy_s - 0.1}
    second = make_plan(
        prompt, planner=planner, now=0.1, reported_wait_s=reported_wait_s
    )
    assert second.prefill is first.prefill
    assert second.read_tokens == prompt.parts[-1].tokens
    assert second.fetch_from is None


def test_reported_waits_take_precedence_over_advertised_load():
    # By the loads that peers advertised the preferred engine is idle, but the
    # owner of its queue knows of five prompts that were sent there since.
    prompt = make_prompt("s1")
    preferred = find_preferred(prompt, ENGINES)
    other = next(e for e in ENGINES[:2] if e is not preferred)
    plan = make_plan(prompt, reported_wait_s={preferred.id: 2.0, other.id: 0.0})
    assert plan.prefill is other
    assert plan.wait_s == 0.0


def test_prefills_longer_than_expected_lead_to_earlier_refusals():
    # More prompts arrive than fit into the engines' memories, so parts that
    # were expected to be cached are prefilled again. Prompts were admitted with
    # an expected wait of one second, waited for two, and missed their deadline.
    planner = make_planner()
    prompt = make_prompt("s1")
    reported_wait_s = {"p1": 1.0, "p2": 1.0, "d1": 1.0, "d2": 1.0, "d3": 1.0}
    plan = make_plan(prompt, planner=planner, reported_wait_s=reported_wait_s)
    assert engineadmission.lateness_s(plan, left_s=5.0, patience_s=3.2) <= 0
    for number in range(20):
        took_s = 2.0 * (plan.wait_s + plan.busy_s)
        planner.fleet.observe_prefill(plan, took_s, 0.1 * number)
    late = make_plan(
        prompt, planner=planner, reported_wait_s=reported_wait_s, now=2.0
    )
    assert late.wait_s == plan.wait_s
    assert engineadmission.lateness_s(late, left_s=5.0, patience_s=3.2) > 0
    calm = make_plan(
        prompt, planner=planner, reported_wait_s=reported_wait_s, now=12.0
    )
    assert engineadmission.lateness_s(calm, left_s=5.0, patience_s=3.2) <= 0


def test_prompts_that_yield_make_no_urgent_one_late():
    """Guards against refusals of small workspaces while one floods a service.

    At each engine a prompt of its excess has been overtaken for seconds, and
    others took that long. Urgent prompts wait for none of them.
    """
    planner, prompt = make_planner(), make_prompt("s1")
    for engine in ENGINES:
        overtaken = engineload.PendingPrefill(
            expected_s=0.1,
            sent_at=0.0,
            tokens=1_000,
            urgency=routing.LOWEST_URGENCY,
        )
        planner.fleet.load(engine, TRAITS).begin(overtaken)
    before = make_plan(prompt, planner=planner)
    for number in range(20):
        planner.fleet.observe_prefill(before, 3.0, 0.1 * number, yields=True)
    urgent, yielding = (
        make_plan(prompt, planner=planner, now=3.0, urgency=urgency)
        for urgency in (0, routing.LOWEST_URGENCY)
    )
    assert engineadmission.lateness_s(urgent, left_s=5.0, patience_s=3.2) <= 0
    assert urgent.wait_s <= 0.1
    assert urgent.delay_s == 0.0
    assert engineadmission.lateness_s(yielding, left_s=5.0, patience_s=3.2) > 0
    assert yielding.delay_s > 0.0


def test_without_engines_there_are_no_candidates():
    # A host that has just started knows the routes but no endpoints yet. The
    # first long prompt terminated the process and with it every other request.
    planner = make_planner()
    prompt = make_prompt("s1")
    assert planner.prefill_candidates(make_input(prompt, [])) == []
    assert make_plan(prompt, engines=[]) is None
