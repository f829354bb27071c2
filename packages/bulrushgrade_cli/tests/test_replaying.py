"""Tests of replaying a trace from the command line."""

from bulrushgrade import work
from bulrushgrade_cli import outcome
from bulrushgrade_cli import replaying
from bulrushgrade_standins import trace


def test_invalid_trace_file_is_a_usage_error(tmp_path):
    path = tmp_path / "x.jsonl"
    assert replaying.replay_trace(str(path)).code == outcome.USAGE
    path.write_text("no trace\n")
    result = replaying.replay_trace(str(path))
    assert result.code == outcome.USAGE
    assert str(path) in result.text


def test_replay_figures_as_text_and_as_json(tmp_path):
    path = tmp_path / "x.jsonl"
    recorded = trace.Trace(
        header=trace.Header(
            name="one",
            generated=True,
            engines=(trace.EngineSpec(address="10.0.0.1:80", zone="tuzla"),),
            services=(work.ServicePolicy(service="grade", share=1.0),),
            hosts=1,
            duration_s=5.0,
        ),
        requests=(
            trace.Request(
                at_s=0.5,
                request_id="a",
                service="grade",
                team="t",
                prompt_tokens=10,
                output_tokens=5,
                expected_output_tokens=5,
                deadline_s=30.0,
            ),
        ),
        events=(),
    )
    trace.write_trace(recorded, path)
    as_text = replaying.replay_trace(str(path))
    assert as_text.code == outcome.DONE
    as_json = replaying.replay_trace(str(path), json=True)
    assert as_json.value.keys() == {
        line.split()[0] for line in as_text.text.splitlines()
    }
