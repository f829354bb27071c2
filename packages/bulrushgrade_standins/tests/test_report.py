"""Tests of the report on a tiny subset."""

from bulrushgrade import work
from bulrushgrade_standins import bound
from bulrushgrade_standins import report
from bulrushgrade_standins import tracegen


def test_report_has_row_per_policy_and_scheduler_is_best(capsys):
    found = report.main(
        ["--deployments", "ortak", "--cases", "flips", "--seeds", "1"]
        + ["--duration", "30", "--workers", "1"]
    )
    table = capsys.readouterr().out
    assert table.count("\n| ortak") == len(report.POLICIES)
    on_time_fractions = {
        key[2]: runs[0]["on_time"] for key, runs in found.items()
    }
    assert on_time_fractions["ours"] == max(on_time_fractions.values())


def test_bound_is_above_what_any_policy_gets():
    generated = tracegen.generate(
        tracegen.ORTAK, "full4x", seed=1, duration_s=20.0
    )
    figures = report.run_policy("ours", generated, 1)
    upper_bound = bound.capacity_bound(generated)
    assert figures["good"] <= upper_bound < len(generated.requests)


def test_best_splits_follow_the_demand():
    ortak = tracegen.ORTAK
    prefill_heavy = tracegen.generate(ortak, "shift", seed=1, duration_s=120.0)
    split = bound.best_splits(prefill_heavy, 1)[0]
    assert len(split) == len(ortak.roles)
    assert split.count(work.Role.PREFILL) >= split.count(work.Role.DECODE)
