"""Tests of checking a document."""

from bulrushgrade_cli import checking
from bulrushgrade_cli import demodocuments
from bulrushgrade_cli import outcome


def test_valid_documents_name_their_service(tmp_path):
    path = tmp_path / "x.ini"
    names = []
    for text in demodocuments.ALL:
        path.write_text(text)
        end = checking.check(str(path))
        assert end.code == outcome.DONE
        names.append(end.value["service"])
    assert names == ["fleet", "pack-llm", "portal-app"]


def test_every_error_is_named(tmp_path):
    path = tmp_path / "x.ini"
    text = demodocuments.PACK_LLM.replace("= model", "= engine")
    path.write_text(text.replace("whole_answer_s = 60", "whole_answer_s = x"))
    end = checking.check(str(path))
    assert end.code == outcome.REFUSED
    assert len(end.value["errors"]) == 2
    assert all(str(path) in line for line in end.text.splitlines())


def test_file_that_can_not_be_read_is_a_matter_of_usage(tmp_path):
    assert checking.check(str(tmp_path / "none.ini")).code == outcome.USAGE
    (tmp_path / "odd.ini").write_bytes(b"\xff")
    assert checking.check(str(tmp_path / "odd.ini")).code == outcome.USAGE
