"""Tests of the queue of one engine."""

from bulrushgrade import prefillqueue


def entry(seconds, *, added_at=0.0, latency_s=0.0, urgency=0):
    return prefillqueue.Entry(
        seconds=seconds,
        latency_s=latency_s,
        urgency=urgency,
        added_at=added_at,
    )


def make_queue(*seconds, latency_s=0.0):
    queue = prefillqueue.PrefillQueue()
    for number, length_s in enumerate(seconds):
        queue.add(number, entry(length_s, latency_s=latency_s))
    return queue


def wait_s(queue, now, urgency=0):
    return round(queue.wait_s(now, urgency=urgency), 6)


def test_wait_is_the_rest_of_the_queue():
    queue = make_queue(0.4, 0.3)
    assert wait_s(queue, 0.1) == 0.6
    queue.remove(0, 0.4)
    assert wait_s(queue, 0.5) == 0.2
    queue.remove(1, 0.7)
    queue.remove(1, 0.8)
    assert wait_s(queue, 0.8) == 0.0


def test_prefilled_prompts_do_not_count_as_queued():
    """Responses begin 60 ms after prefills of 20 ms.

    Three of them are on their way at any time. An engine that was idle for half
    of the time appeared to have a queue of 60 ms.
    """
    queue = make_queue(0.02, 0.02, 0.02, latency_s=0.06)
    assert wait_s(queue, 0.01) == 0.05
    assert wait_s(queue, 0.065) == 0.0
    queue.add("next", entry(0.02, added_at=0.07, latency_s=0.06))
    assert wait_s(queue, 0.07) == 0.02


def test_overdue_prompt_keeps_the_queue_behind_it():
    queue = make_queue(0.02, 0.3, latency_s=0.06)
    assert wait_s(queue, 5.0) == 0.24


def test_early_answer_shortens_the_wait():
    queue = make_queue(0.4, 0.3, latency_s=0.06)
    queue.remove(0, 0.16)
    assert wait_s(queue, 0.16) == 0.24


def test_out_of_order_answer_keeps_the_others_queued():
    queue = make_queue(0.4, 0.1, 0.3)
    queue.remove(1, 0.2)
    assert wait_s(queue, 0.2) == 0.5


def test_urgent_prompt_waits_only_for_the_current_prefill():
    """Long prompts are queued, and a short, more urgent one arrives.

    It was refused because of the whole queue, although the engine prefills it
    as soon as the current prefill has ended.
    """
    queue = prefillqueue.PrefillQueue()
    for number in range(4):
        queue.add(number, entry(0.2, urgency=2))
    assert wait_s(queue, 0.1, urgency=0) == 0.1
    assert wait_s(queue, 0.1, urgency=2) == 0.7
    queue.add("urgent", entry(0.05, added_at=0.1))
    assert wait_s(queue, 0.1, urgency=0) == 0.15
    assert wait_s(queue, 0.1, urgency=2) == 0.75
    queue.remove(0, 0.2)
    assert wait_s(queue, 0.2, urgency=0) == 0.05


def test_next_prefill_begins_before_the_last_answer():
    """Long prompts are queued; the first response is on its way.

    The engine has begun the second prefill. An urgent prompt was sent there as
    if it could start at once, and waited 0.14 s on average; its target is 0.25
    s.
    """
    queue = prefillqueue.PrefillQueue()
    for number in range(3):
        queue.add(number, entry(0.2, urgency=2, latency_s=0.06))
    assert wait_s(queue, 0.25, urgency=0) == 0.15
    assert wait_s(queue, 0.25, urgency=2) == 0.35
    queue.add("urgent", entry(0.05, added_at=0.25))
    assert wait_s(queue, 0.25, urgency=0) == 0.2
    assert wait_s(queue, 0.25, urgency=2) == 0.4


def test_urgent_prompt_begins_when_the_current_prefill_ends():
    queue = prefillqueue.PrefillQueue()
    for number in range(3):
        queue.add(number, entry(0.2, urgency=2, latency_s=0.06))
    queue.add("urgent", entry(0.1, added_at=0.1, latency_s=0.06))
    assert wait_s(queue, 0.22, urgency=0) == 0.08
    assert wait_s(queue, 0.22, urgency=2) == 0.48


def test_current_prefill_counts_as_most_urgent():
    queue = prefillqueue.PrefillQueue()
    queue.add("long", entry(0.4, urgency=2))
    queue.add("next", entry(0.3, urgency=2))
    found = queue.wait_by_urgency(0.1)
    assert {u: round(s, 6) for u, s in found.items()} == {0: 0.3, 2: 0.3}


def test_old_prompts_are_dropped():
    queue = make_queue(9.0)
    queue.add("later", entry(0.3, added_at=8.0))
    queue.remove_older(10.0, max_age_s=10.0)
    assert len(queue) == 1
