"""Tests of what waits at engines."""

from bulrushgrade import enginebook


def test_a_prompt_waits_for_what_is_left_of_those_before():
    book = enginebook.EngineBook()
    book.begin("e", "h1", 1, 0.4, 0.0)
    book.begin("e", "h2", 1, 0.3, 0.1)
    assert abs(book.wait_s("e", 0.1) - 0.6) < 1e-9
    assert abs(book.wait_s("e", 0.3) - 0.4) < 1e-9
    book.end("e", "h1", 1, 0.5)
    assert abs(book.wait_s("e", 0.6) - 0.2) < 1e-9
    book.end("e", "h2", 1, 0.8)
    assert book.wait_s("e", 0.8) == 0.0


def test_a_prompt_that_is_overdue_leaves_those_behind_it_waiting():
    book = enginebook.EngineBook()
    book.begin("e", "h1", 1, 0.4, 0.0)
    book.begin("e", "h2", 1, 0.3, 0.0)
    assert abs(book.wait_s("e", 5.0) - 0.3) < 1e-9


def test_an_end_that_was_lost_is_forgotten():
    # A daemon dies while its prompt is read, or its datagram is lost. The
    # engine would look busy for ever, and nothing would be sent to it.
    book = enginebook.EngineBook()
    book.begin("e", "h1", 1, 9.0, 0.0)
    book.begin("e", "h2", 1, 0.3, 8.0)
    book.forget(10.0)
    assert len(book) == 1
    assert abs(book.wait_s("e", 10.0) - 0.3) < 1e-9
    book.forget(18.0)
    assert len(book) == 0


def test_an_end_without_a_beginning_changes_nothing():
    book = enginebook.EngineBook()
    book.end("e", "h1", 1, 0.0)
    book.begin("e", "h1", 2, 0.5, 0.0)
    book.end("e", "h1", 1, 0.1)
    assert book.wait_s("e", 0.0) == 0.5


def test_sixty_daemons_with_fresh_books_fill_idle_engines():
    # Prompts come evenly, at four fifths of what 20 engines can read. With
    # books that are 0.6 s old each daemon takes the same engines for idle,
    # and prompts wait for more than one other; with fresh ones hardly any.
    engines = [f"e{number}" for number in range(20)]

    def mean_wait_s(age_s):
        book, told, told_at = enginebook.EngineBook(), {}, -9.0
        ends, waits = [], []
        for number in range(800):
            now = number * 0.2 / (20 * 0.8)
            for end in [end for end in ends if end[0] <= now]:
                ends.remove(end)
                book.end(end[1], "h", end[2], end[0])
            if now - told_at >= age_s:
                told = {e: book.wait_s(e, now) for e in engines}
                told_at = now
            offered = [engines[(number * 7 + 3 * k) % 20] for k in range(4)]
            engine = min(offered, key=lambda e: told[e])
            wait_s = book.wait_s(engine, now)
            waits.append(wait_s)
            book.begin(engine, "h", number, 0.2, now)
            ends.append((now + wait_s + 0.2, engine, number))
        return sum(waits) / len(waits)

    assert mean_wait_s(0.0) < 0.1
    assert mean_wait_s(0.6) > 2 * mean_wait_s(0.0)
