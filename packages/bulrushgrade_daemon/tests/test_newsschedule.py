"""Tests of selecting the news that messages carry."""

from bulrushgrade_daemon import newsschedule


def test_news_travel_in_several_rounds_and_all_of_them_now_and_then():
    schedule = newsschedule.NewsSchedule(
        find_all=lambda: ["a", "b"], all_rounds=10
    )
    schedule.add("a")
    schedule.add("c", 1)
    rounds = [schedule.next() for _ in range(10)]
    assert rounds[0] == ["a", "c"]
    assert rounds[1:4] == [["a"]] * 3
    assert rounds[4:9] == [[]] * 5
    assert rounds[9] == ["a", "b"]


def test_repeated_news_is_not_cut_short():
    """News of a peer that was learned again ended the rounds of own news."""
    schedule = newsschedule.NewsSchedule(find_all=tuple)
    schedule.add("a")
    schedule.add("a", 1)
    assert [schedule.next() for _ in range(5)] == [["a"]] * 4 + [[]]


def test_rounds_are_bounded_and_all_subjects_get_their_turn():
    schedule = newsschedule.NewsSchedule(find_all=tuple, max_entries=2)
    for subject in range(5):
        schedule.add(subject, 1)
    assert [schedule.next() for _ in range(4)] == [[0, 1], [2, 3], [4], []]
