"""Tests of who adds up for a host."""

from bulrushgrade import aggregatorchoice

RANKED = ("h1", "h2", "h3")


def make(host):
    choice = aggregatorchoice.AggregatorChoice(own_host=host)
    choice.choose(RANKED, 0.0)
    return choice


def test_the_first_adds_up_for_itself_and_all_others():
    assert make("h1").chosen is None
    assert make("h2").chosen == "h1"
    assert make("h3").chosen == "h1"


def test_a_silent_one_is_left_for_the_next():
    """The first host dies; the second adds up for itself and the third."""
    for host, expected in (("h2", None), ("h3", "h2")):
        choice = make(host)
        assert choice.give_up_silent(0.5, 0.1) is None
        assert choice.give_up_silent(1.0, 0.1) == "h1"
        assert choice.choose(RANKED, 1.0)
        assert choice.chosen == expected


def test_one_that_is_heard_stays():
    choice = make("h3")
    assert choice.hear("h1", 0.7)
    assert choice.give_up_silent(1.4, 0.1) is None
    assert not choice.choose(RANKED, 1.4)


def test_the_sum_of_another_one_says_nothing_of_it():
    choice = make("h3")
    assert not choice.hear("h2", 0.7)
    assert choice.give_up_silent(1.4, 0.1) == "h1"


def test_long_periods_leave_more_time():
    assert make("h3").give_up_silent(3.0, 4.0) is None


def test_one_that_was_silent_gets_another_chance():
    choice = make("h3")
    choice.give_up_silent(1.0, 0.1)
    choice.choose(RANKED, 1.0)
    choice.hear("h2", 1.0 + aggregatorchoice.AVOID_S)
    assert choice.choose(RANKED, 1.0 + aggregatorchoice.AVOID_S)
    assert choice.chosen == "h1"


def test_all_silent_leaves_the_host_to_itself():
    choice = make("h3")
    for now in (1.0, 2.0):
        choice.give_up_silent(now, 0.1)
        choice.choose(RANKED, now)
    assert choice.chosen is None
