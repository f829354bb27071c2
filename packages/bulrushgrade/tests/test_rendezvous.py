"""Tests of rendezvous hashing."""

from hypothesis import given
from hypothesis import strategies as st

from bulrushgrade import rendezvous

NAMES = st.sets(st.text(min_size=1, max_size=6), min_size=1, max_size=8)


@given(st.text(max_size=6), NAMES)
def test_rank_does_not_depend_on_input_order(key, names):
    known = sorted(names)
    assert rendezvous.rank(key, known) == rendezvous.rank(key, known[::-1])
    assert rendezvous.pick(key, known, 2) == rendezvous.rank(key, known)[:2]


@given(st.text(max_size=6), NAMES)
def test_removed_name_keeps_the_order_of_the_others(key, names):
    ranked = rendezvous.rank(key, names)
    left = rendezvous.rank(key, names - {ranked[0]})
    assert left == ranked[1:]
