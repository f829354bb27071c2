"""Tests of rendezvous hashing."""

from hypothesis import given
from hypothesis import strategies as st

from bulrushgrade import rendezvous

NAMES = st.sets(st.text(min_size=1, max_size=6), min_size=1, max_size=8)


@given(st.text(max_size=6), NAMES)
def test_the_order_in_which_names_are_known_does_not_count(key, names):
    known = sorted(names)
    assert rendezvous.rank(key, known) == rendezvous.rank(key, known[::-1])
    assert rendezvous.pick(key, known, 2) == rendezvous.rank(key, known)[:2]


@given(st.text(max_size=6), NAMES)
def test_who_leaves_moves_nobody_else(key, names):
    ranked = rendezvous.rank(key, names)
    left = rendezvous.rank(key, names - {ranked[0]})
    assert left == ranked[1:]
