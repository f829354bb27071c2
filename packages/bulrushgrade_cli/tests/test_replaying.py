"""Tests of replaying a trace from the command line."""

from bulrushgrade_cli import outcome
from bulrushgrade_cli import replaying


def test_file_that_is_no_trace_is_a_matter_of_usage(tmp_path):
    path = tmp_path / "x.jsonl"
    assert replaying.replay_trace(str(path)).code == outcome.USAGE
    path.write_text("no trace\n")
    end = replaying.replay_trace(str(path))
    assert end.code == outcome.USAGE
    assert str(path) in end.text
