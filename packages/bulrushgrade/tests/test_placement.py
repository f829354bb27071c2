"""Tests of placement by load and prefix cache."""

import collections
import random

import attrs

from bulrushgrade import load
from bulrushgrade import placement
from bulrushgrade import pool
from bulrushgrade import prefix
from bulrushgrade import work


def _pool(count, seed=1, **more):
    made = pool.Pool(rng=random.Random(seed))
    for number in range(count):
        endpoint = work.Endpoint(
            address=f"e{number}", model="m", kv_capacity_tokens=100_000, **more
        )
        made.put(load.EndpointLoad(endpoint=endpoint))
    return made


def _request(prompt=500, output=50, hashes=(), **more):
    wanted = work.Work(
        request_id="a", service="s", model="m", prompt_tokens=prompt,
        output_tokens=output, prefix=hashes, deadline=60.0, **more,
    )  # fmt: skip
    return placement.PlacementRequest(work=wanted, short=prompt < 3000)


def _choose(candidates, request, seed=1):
    return placement.choose(
        candidates, request, rng=random.Random(seed), now=0.0
    )


def _busy(candidates, address, amount):
    candidates.loads[address].add_own(amount, 0.0)
    candidates.refresh(address)


def test_cached_prefix_wins_until_its_engine_is_busy():
    candidates = _pool(4)
    hashes = tuple(range(90))
    candidates.prefixes.add(hashes, "e2")
    request = _request(prompt=6000, hashes=hashes)
    assert _choose(candidates, request).endpoint.endpoint.address == "e2"
    _busy(candidates, "e2", load.Amount(30.0, 20_000.0, 60_000.0))
    assert _choose(candidates, request).endpoint.endpoint.address != "e2"


def test_hosts_with_the_same_stale_view_spread_their_requests():
    """Nine hosts with equal views of forty engines place one long prefill each.

    If all took the first engine of the same order, it would get all nine.
    """
    chosen = collections.Counter(
        _choose(
            _pool(40, seed=host), _request(prompt=8000), host
        ).endpoint.endpoint.address
        for host in range(9)
    )
    assert max(chosen.values()) <= 3


def test_full_kv_cache_blocks_prefill_or_decode():
    candidates = _pool(1)
    _busy(candidates, "e0", load.Amount(2.0, 0.0, 99_000.0))
    assert (
        _choose(candidates, _request())
        is placement.BlockedReason.NO_PREFILL_ROOM
    )
    split = _pool(2, role=work.Role.PREFILL)
    answering = work.Endpoint(
        address="d0",
        model="m",
        kv_capacity_tokens=100_000,
        role=work.Role.DECODE,
    )
    split.put(load.EndpointLoad(endpoint=answering))
    assert _choose(split, _request()).decode.endpoint.address == "d0"
    _busy(split, "d0", load.Amount(2.0, 0.0, 99_000.0))
    assert _choose(split, _request()) is placement.BlockedReason.NO_DECODE_ROOM


def test_work_that_would_end_late_is_held_back():
    candidates = _pool(1)
    candidates.loads["e0"].step_ratio = 100.0
    assert _choose(candidates, _request()) is placement.BlockedReason.LATE


def test_chat_avoids_the_engine_whose_tokens_come_slowly():
    candidates = _pool(3)
    for address in ("e0", "e1"):
        candidates.loads[address].step_ratio = 4.0
    request = _request(between_tokens_s=0.05)
    assert _choose(candidates, request).decode.endpoint.address == "e2"


def test_prefix_index_finds_the_longest_holders_and_is_bounded():
    index = prefix.PrefixIndex()
    index.add((1, 2, 3, 4), "a")
    index.add((1, 2, 3), "b")
    assert index.find((1, 2, 3, 4, 5)) == {"a": 4, "b": 3}
    index.discard(4, "a")
    assert index.find((1, 2, 3, 4, 5)) == {"a": 3, "b": 3}
    index.add(tuple(range(10, prefix.MAX_INDEXED_BLOCKS + 10)), "c")
    assert len(index) == prefix.MAX_INDEXED_BLOCKS


def test_ejected_engine_is_used_when_no_other_is_left():
    candidates = _pool(2)
    for address in ("e0", "e1"):
        candidates.loads[address].health.eject(0.0)
    only_e1 = attrs.evolve(_request(), avoid=frozenset({"e0"}))
    assert _choose(candidates, only_e1).endpoint.endpoint.address == "e1"
    leaving = work.Endpoint(
        address="e1", model="m", state=work.EndpointState.LEAVING
    )
    candidates.loads["e1"].update_endpoint(leaving)
    candidates.refresh("e1")
    assert (
        _choose(candidates, only_e1) is placement.BlockedReason.NO_PREFILL_ROOM
    )
