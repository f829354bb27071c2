"""Tests of routes and their lookup."""

import random

import hypothesis
from hypothesis import strategies as st

from bulrushgrade import routing

LIMITS = routing.CallerLimits(
    max_header_bytes=16384,
    max_body_bytes=1 << 20,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)


def make_route(path_prefix="/a/", **changes):
    values = {
        "name": f"route-{path_prefix}",
        "hostname": "shop.example",
        "path_prefix": path_prefix,
        "kind": routing.RequestKind.IDEMPOTENT,
        "resumable": False,
        "timeout_s": 3.0,
        "target_s": 0.4,
        "gap_s": None,
        "priority": 0,
        "max_attempts": 2,
        "by_prompt": False,
        "targets": (routing.Target(service="ledger", weight=1.0),),
    }
    return routing.Route(**(values | changes))


def make_table(*routes):
    return routing.RouteTable(
        configuration=routing.Configuration(
            version=1, routes=routes, services={}, limits=LIMITS
        )
    )


def test_longest_prefix_wins():
    table = make_table(make_route("/a/"), make_route("/a/b/"))
    assert table.find("shop.example", "/a/b/c").path_prefix == "/a/b/"
    assert table.find("shop.example", "/a/bc").path_prefix == "/a/"
    assert table.find("shop.example", "/a/b/").path_prefix == "/a/b/"


def test_prefix_ends_at_a_slash():
    table = make_table(make_route("/a/"))
    assert table.find("shop.example", "/a") is None
    assert table.find("shop.example", "/ab/c") is None


def test_root_prefix_takes_everything():
    table = make_table(make_route("/"))
    assert table.find("shop.example", "/any/where").path_prefix == "/"


def test_host_is_compared_without_port_and_case():
    table = make_table(make_route("/a/"))
    assert table.find("SHOP.example:8080", "/a/x") is not None
    assert table.find("other.example", "/a/x") is None
    assert table.find("", "/a/x") is None


def test_repeatable_follows_kind_and_resumption():
    kinds = routing.RequestKind
    assert make_route(kind=kinds.IDEMPOTENT).repeatable
    assert not make_route(kind=kinds.ONCE, resumable=True).repeatable
    assert not make_route(kind=kinds.STREAM).repeatable
    assert make_route(kind=kinds.STREAM, resumable=True).repeatable


def test_split_keeps_to_the_weights():
    route = make_route(
        targets=(
            routing.Target(service="old", weight=90),
            routing.Target(service="new", weight=10),
        )
    )
    rng = random.Random(1)
    picked = [routing.pick_service(route, rng) for _ in range(2000)]
    assert 120 < picked.count("new") < 280


def test_service_without_weight_gets_nothing():
    route = make_route(
        targets=(
            routing.Target(service="old", weight=1),
            routing.Target(service="new", weight=0),
        )
    )
    rng = random.Random(1)
    assert {routing.pick_service(route, rng) for _ in range(200)} == {"old"}


def test_patience_of_streams():
    stream = routing.RequestKind.STREAM
    patient = make_route(kind=stream, target_s=0.8, gap_s=0.4)
    assert patient.patience_s == 3.2
    assert make_route(kind=stream, target_s=0.1).patience_s == 2.0
    assert make_route(timeout_s=1.5).patience_s == 1.5


_segments = st.lists(st.sampled_from(["a", "b", "ab", ""]), max_size=4)


def _make_prefix(segments):
    return "/" + "".join(f"{segment}/" for segment in segments)


@hypothesis.given(
    prefixes=st.lists(_segments.map(_make_prefix), max_size=6, unique=True),
    path=_segments.map(lambda segments: "/" + "/".join(segments)),
)
def test_find_is_the_longest_of_all_that_fit(prefixes, path):
    table = make_table(*(make_route(prefix) for prefix in prefixes))
    fitting = [prefix for prefix in prefixes if path.startswith(prefix)]
    found = table.find("shop.example", path)
    if not fitting:
        assert found is None
    else:
        assert found.path_prefix == max(fitting, key=len)
