"""Tests of validating a document file."""

from bulrushgrade_cli import checking
from bulrushgrade_cli import demodocuments
from bulrushgrade_cli import outcome


def test_check_of_valid_document_returns_its_service(tmp_path):
    path = tmp_path / "x.ini"
    names = []
    for text in demodocuments.ALL:
        path.write_text(text)
        result = checking.check(str(path))
        assert result.code == outcome.DONE
        names.append(result.value["service"])
    assert names == ["fleet", "pack-llm", "portal-app"]


def test_every_error_is_named(tmp_path):
    path = tmp_path / "x.ini"
    text = demodocuments.PACK_LLM.replace("= model", "= engine")
    path.write_text(text.replace("whole_answer_s = 60", "whole_answer_s = x"))
    result = checking.check(str(path))
    assert result.code == outcome.REFUSED
    assert len(result.value["errors"]) == 2
    assert all(str(path) in line for line in result.text.splitlines())


def test_unreadable_file_is_a_usage_error(tmp_path):
    assert checking.check(str(tmp_path / "none.ini")).code == outcome.USAGE
    (tmp_path / "odd.ini").write_bytes(b"\xff")
    assert checking.check(str(tmp_path / "odd.ini")).code == outcome.USAGE
