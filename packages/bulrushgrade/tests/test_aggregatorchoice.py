"""Tests of the choice of the aggregator for a host."""

from bulrushgrade import aggregatorchoice

RANKED = ("h1", "h2", "h3")


def make(host):
    choice = aggregatorchoice.AggregatorChoice(own_host=host)
    choice.choose(RANKED, 0.0)
    return choice


def test_first_host_aggregates_for_itself_and_all_others():
    assert make("h1").chosen is None
    assert make("h2").chosen == "h1"
    assert make("h3").chosen == "h1"


def test_silent_aggregator_is_replaced_by_the_next():
    """The first host dies; the second aggregates for itself and the third."""
    for host, expected in (("h2", None), ("h3", "h2")):
        choice = make(host)
        assert choice.drop_silent(0.5, 0.1) is None
        assert choice.drop_silent(1.0, 0.1) == "h1"
        assert choice.choose(RANKED, 1.0)
        assert choice.chosen == expected


def test_aggregator_that_sends_sums_is_kept():
    choice = make("h3")
    assert choice.observe_sum("h1", 0.7)
    assert choice.drop_silent(1.4, 0.1) is None
    assert not choice.choose(RANKED, 1.4)


def test_sum_of_another_host_does_not_count_for_the_aggregator():
    choice = make("h3")
    assert not choice.observe_sum("h2", 0.7)
    assert choice.drop_silent(1.4, 0.1) == "h1"


def test_long_periods_allow_longer_silence():
    assert make("h3").drop_silent(3.0, 4.0) is None


def test_silent_aggregator_is_retried_after_the_avoidance_period():
    choice = make("h3")
    choice.drop_silent(1.0, 0.1)
    choice.choose(RANKED, 1.0)
    choice.observe_sum("h2", 1.0 + aggregatorchoice.AVOID_S)
    assert choice.choose(RANKED, 1.0 + aggregatorchoice.AVOID_S)
    assert choice.chosen == "h1"


def test_host_aggregates_for_itself_when_all_are_silent():
    choice = make("h3")
    for now in (1.0, 2.0):
        choice.drop_silent(now, 0.1)
        choice.choose(RANKED, now)
    assert choice.chosen is None
