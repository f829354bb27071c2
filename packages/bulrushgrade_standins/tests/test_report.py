"""Tests of the report on a tiny subset."""

from bulrushgrade import work
from bulrushgrade_standins import bound
from bulrushgrade_standins import report
from bulrushgrade_standins import tracegen


def test_report_has_a_row_a_policy_and_ours_leads(capsys):
    found = report.main(
        ["--deployments", "ortak", "--cases", "flips", "--seeds", "1"]
        + ["--duration", "30", "--workers", "1"]
    )
    table = capsys.readouterr().out
    assert table.count("\n| ortak") == len(report.POLICIES)
    parts = {key[2]: runs[0]["on_time"] for key, runs in found.items()}
    assert parts["ours"] == max(parts.values())


def test_bound_is_above_what_any_policy_gets():
    made = tracegen.generate(tracegen.ORTAK, "full4x", seed=1, duration_s=20.0)
    figures = report.run_policy("ours", made, 1)
    most = bound.capacity_bound(made)
    assert figures["good"] <= most < len(made.requests)


def test_best_splits_follow_the_demand():
    ortak = tracegen.ORTAK
    reading = tracegen.generate(ortak, "shift", seed=1, duration_s=120.0)
    split = bound.best_splits(reading, 1)[0]
    assert len(split) == len(ortak.roles)
    assert split.count(work.Role.PREFILL) >= split.count(work.Role.DECODE)
