"""Tests of the queues of engines."""

from bulrushgrade import enginequeue
from bulrushgrade import prefillqueue


def entry(seconds, now):
    return prefillqueue.Entry(
        seconds=seconds, latency_s=0.0, urgency=0, added_at=now
    )


def test_wait_is_the_rest_of_the_queue():
    queues = enginequeue.EngineQueues()
    queues.begin("e", ("h1", 1), entry(0.4, 0.0))
    queues.begin("e", ("h2", 1), entry(0.3, 0.1))
    assert abs(queues.wait_s("e", 0.1, urgency=0) - 0.6) < 1e-9
    assert abs(queues.wait_s("e", 0.3, urgency=0) - 0.4) < 1e-9
    queues.end("e", ("h1", 1), 0.5)
    assert abs(queues.wait_s("e", 0.6, urgency=0) - 0.2) < 1e-9
    queues.end("e", ("h2", 1), 0.8)
    assert queues.wait_s("e", 0.8, urgency=0) == 0.0


def test_overdue_prompt_does_not_shorten_the_queue_behind_it():
    queues = enginequeue.EngineQueues()
    queues.begin("e", ("h1", 1), entry(0.4, 0.0))
    queues.begin("e", ("h2", 1), entry(0.3, 0.0))
    assert abs(queues.wait_s("e", 5.0, urgency=0) - 0.3) < 1e-9


def test_entry_without_end_expires():
    # A daemon dies during the prefill of its prompt, or its datagram is lost.
    # The engine would look busy forever and get no more requests.
    queues = enginequeue.EngineQueues()
    queues.begin("e", ("h1", 1), entry(9.0, 0.0))
    queues.begin("e", ("h2", 1), entry(0.3, 8.0))
    queues.forget(10.0)
    assert len(queues) == 1
    assert abs(queues.wait_s("e", 10.0, urgency=0) - 0.3) < 1e-9
    queues.forget(18.0)
    assert len(queues) == 0


def test_end_of_unknown_entry_changes_nothing():
    queues = enginequeue.EngineQueues()
    queues.end("e", ("h1", 1), 0.0)
    queues.begin("e", ("h1", 2), entry(0.5, 0.0))
    queues.end("e", ("h1", 1), 0.1)
    assert queues.wait_s("e", 0.0, urgency=0) == 0.5


def test_sixty_daemons_with_fresh_queues_fill_idle_engines():
    # Prompts arrive evenly at four fifths of the capacity of 20 engines. With
    # queues that are 0.6 s old each daemon considers the same engines idle, and
    # prompts wait longer than one other takes. With current queues they hardly
    # wait.
    engines = [f"e{number}" for number in range(20)]

    def mean_wait_s(age_s):
        queues, seen, seen_at = enginequeue.EngineQueues(), {}, -9.0
        ends, waits = [], []
        for number in range(800):
            now = number * 0.2 / (20 * 0.8)
            for end in [end for end in ends if end[0] <= now]:
                ends.remove(end)
                queues.end(end[1], ("h", end[2]), end[0])
            if now - seen_at >= age_s:
                seen = {e: queues.wait_s(e, now, urgency=0) for e in engines}
                seen_at = now
            offered = [engines[(number * 7 + 3 * k) % 20] for k in range(4)]
            engine = min(offered, key=lambda e: seen[e])
            wait_s = queues.wait_s(engine, now, urgency=0)
            waits.append(wait_s)
            queues.begin(engine, ("h", number), entry(0.2, now))
            ends.append((now + wait_s + 0.2, engine, number))
        return sum(waits) / len(waits)

    assert mean_wait_s(0.0) < 0.1
    assert mean_wait_s(0.6) > 2 * mean_wait_s(0.0)
