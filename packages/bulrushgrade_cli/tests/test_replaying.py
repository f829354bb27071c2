"""Tests of replaying a trace from the command line."""

from bulrushgrade import work
from bulrushgrade_cli import outcome
from bulrushgrade_cli import replaying
from bulrushgrade_standins import trace


def test_file_that_is_no_trace_is_a_matter_of_usage(tmp_path):
    path = tmp_path / "x.jsonl"
    assert replaying.replay_trace(str(path)).code == outcome.USAGE
    path.write_text("no trace\n")
    end = replaying.replay_trace(str(path))
    assert end.code == outcome.USAGE
    assert str(path) in end.text


def test_figures_of_a_trace_for_a_person_and_a_program(tmp_path):
    path = tmp_path / "x.jsonl"
    made = trace.Trace(
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
    trace.write_trace(made, path)
    for_person = replaying.replay_trace(str(path))
    assert for_person.code == outcome.DONE
    for_program = replaying.replay_trace(str(path), json=True)
    assert for_program.value.keys() == {
        line.split()[0] for line in for_person.text.splitlines()
    }
