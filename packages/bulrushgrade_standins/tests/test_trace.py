"""Tests of traces."""

import pathlib

import pytest

from bulrushgrade_standins import trace
from bulrushgrade_standins import tracegen


def test_trace_is_unchanged_by_write_and_read(tmp_path):
    made = tracegen.generate(tracegen.ORTAK, "lost", seed=3, duration_s=20.0)
    path = tmp_path / "lost.jsonl"
    trace.write_trace(made, path)
    assert trace.read_trace(path) == made
    assert made.header.generated
    assert made.header.seed == 3


def test_same_seed_gives_the_same_trace_and_another_does_not():
    one, same, other = (
        tracegen.generate(
            tracegen.OGEECHEE, "steady", seed=seed, duration_s=10.0
        )
        for seed in (1, 1, 2)
    )
    assert one == same
    assert one != other


@pytest.mark.parametrize("case", tracegen.CASES)
def test_every_case_has_requests_of_every_service(case):
    for deployment in tracegen.DEPLOYMENTS.values():
        made = tracegen.generate(deployment, case, seed=1, duration_s=30.0)
        services = {request.service for request in made.requests}
        assert services == {policy.service for policy in deployment.services}


@pytest.mark.parametrize(
    "line", ["nonsense", '{"kind": "request"}', '{"kind": "x"}', "[]"]
)
def test_error_names_bad_line(tmp_path, line):
    path = tmp_path / "bad.jsonl"
    path.write_text(line + "\n")
    with pytest.raises(ValueError, match="line 1"):
        trace.read_trace(path)


def test_equal_prefixes_have_equal_hashes():
    one = trace.hash_blocks((("doc", 128), ("turn", 64)))
    two = trace.hash_blocks((("doc", 128), ("other", 64)))
    assert one[:2] == two[:2]
    assert one[2] != two[2]


def test_example_traces_match_generator_output(tmp_path):
    folder = pathlib.Path(__file__).parents[3] / "examples" / "traces"
    for name, duration in (("ortak-flips", "20"), ("ogeechee-lost", "12")):
        path = tmp_path / name
        tracegen.main([*name.split("-"), str(path), "--duration", duration])
        assert path.read_bytes() == (folder / f"{name}.jsonl").read_bytes()
