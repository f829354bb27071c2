"""Tests of what waits at one engine."""

from bulrushgrade import readqueue


def make_queue(*seconds, latency_s=0.0):
    queue = readqueue.ReadQueue()
    for number, length_s in enumerate(seconds):
        queue.add(number, length_s, 0.0, latency_s=latency_s)
    return queue


def test_a_prompt_waits_for_what_is_left_of_those_before():
    queue = make_queue(0.4, 0.3)
    assert abs(queue.wait_s(0.1) - 0.6) < 1e-9
    assert queue.remove(0, 0.4)
    assert abs(queue.wait_s(0.5) - 0.2) < 1e-9
    assert queue.remove(1, 0.7)
    assert queue.wait_s(0.7) == 0.0
    assert not queue.remove(1, 0.8)


def test_prompts_that_were_read_keep_nobody_waiting():
    """Answers begin 60 ms after prompts of 20 ms were read.

    Three of them are on their way at any time. An engine that was idle for
    half of the time looked as if it had a queue of 60 ms.
    """
    queue = make_queue(0.02, 0.02, 0.02, latency_s=0.06)
    assert abs(queue.wait_s(0.01) - 0.05) < 1e-9
    assert queue.wait_s(0.065) == 0.0
    queue.add("next", 0.02, 0.07, latency_s=0.06)
    assert abs(queue.wait_s(0.07) - 0.02) < 1e-9


def test_a_prompt_that_is_overdue_keeps_those_behind_it_waiting():
    queue = make_queue(0.02, 0.3, latency_s=0.06)
    assert abs(queue.wait_s(5.0) - 0.24) < 1e-9


def test_an_answer_that_begins_early_moves_the_others_up():
    queue = make_queue(0.4, 0.3, latency_s=0.06)
    queue.remove(0, 0.16)
    assert abs(queue.wait_s(0.16) - 0.24) < 1e-9


def test_one_that_is_served_out_of_turn_leaves_the_others():
    queue = make_queue(0.4, 0.1, 0.3)
    queue.remove(1, 0.2)
    assert abs(queue.wait_s(0.2) - 0.5) < 1e-9


def test_old_prompts_are_dropped():
    queue = make_queue(9.0)
    queue.add("later", 0.3, 8.0, latency_s=0.0)
    queue.drop_older(10.0, life_s=10.0)
    assert len(queue) == 1
