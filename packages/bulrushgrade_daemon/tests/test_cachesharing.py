"""Tests of sharing changes of engines' caches among peers."""

import attrs
from test_directory import make as make_registration

from bulrushgrade import directory
from bulrushgrade import enginecache
from bulrushgrade_daemon import cachesharing

LONG_TOKENS = 1_000
ENGINE = make_registration("p1", stage=directory.Stage.PREFILL)


@attrs.define(slots=False)
class EngineWork:
    """Records the changes that are applied."""

    applied: list = attrs.field(factory=list)

    def is_long_part(self, engine, tokens):
        return tokens >= LONG_TOKENS

    def apply_cache(self, engine, changes, *, reset):
        self.applied += [(c.part, c.tokens) for c in changes]


@attrs.define(slots=False)
class Gossip:
    """Records the changes that are advertised."""

    advertised: list = attrs.field(factory=list)

    def advertise_changes(self, engine, changes):
        self.advertised += [(c.part, c.tokens) for c in changes]

    def pick_followed(self, engines):
        return set(engines)


def make(*later):
    endpoints = directory.Directory(leaving_use_s=1.0)
    for engine in (ENGINE, *later):
        endpoints.put(engine, now=0.0)
    work, gossip = EngineWork(), Gossip()
    sharing = cachesharing.CacheSharing(endpoints=endpoints, work=work)
    sharing.set_gossip(gossip)
    return sharing, work, gossip


def observe(sharing, part, tokens):
    change = enginecache.CacheChange(part=part, tokens=tokens)
    sharing.apply_observed(ENGINE, (change,), reset=False)


def test_long_parts_added_and_dropped_are_advertised():
    sharing, _, gossip = make()
    observe(sharing, "a", 9_000)
    observe(sharing, "a", 0)
    assert gossip.advertised == [("a", 9_000), ("a", 0)]


def test_drop_of_an_unadvertised_part_is_not_advertised():
    # Engines drop hundreds of short parts a second. When all were advertised,
    # they displaced the long ones in the messages, and prompts were sent to
    # engines that no longer had their parts.
    sharing, work, gossip = make()
    observe(sharing, "a", LONG_TOKENS - 1)
    observe(sharing, "a", 0)
    assert gossip.advertised == []
    assert work.applied == [("a", 0)]


def test_part_that_became_short_is_advertised():
    sharing, work, gossip = make()
    observe(sharing, "a", 9_000)
    observe(sharing, "a", 10)
    observe(sharing, "a", 0)
    assert gossip.advertised == [("a", 9_000), ("a", 10)]
    assert work.applied[-1] == ("a", 0)


def test_engine_followed_by_another_daemon_is_forgotten():
    sharing, _, gossip = make()
    observe(sharing, "a", 9_000)
    assert sharing.followed_engines() == [ENGINE]
    gossip.pick_followed = lambda engines: set()
    assert sharing.followed_engines() == []
    observe(sharing, "a", 0)
    assert gossip.advertised == [("a", 9_000)]


def test_changes_of_a_former_start_are_not_applied():
    """Guards against a cache that an engine lost when it restarted.

    A read of its former start may end after the record of the new one.
    """
    sharing, work, gossip = make(attrs.evolve(ENGINE, born_ms=2))
    observe(sharing, "a", 9_000)
    assert (work.applied, gossip.advertised) == ([], [])
