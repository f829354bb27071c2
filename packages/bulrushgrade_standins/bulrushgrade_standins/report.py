"""Compares goodput and role changes with baselines and an upper bound.

Run with ``python -m bulrushgrade_standins.report``; docs/DECISIONS.md holds
the table of the last run.
"""

import argparse
import collections
from collections.abc import Callable
from collections.abc import Iterable
import concurrent.futures
import random
import statistics
from typing import Any

from bulrushgrade import admission
from bulrushgrade import lane
from bulrushgrade import scheduler
from bulrushgrade import work
from bulrushgrade_standins import baseline
from bulrushgrade_standins import bound
from bulrushgrade_standins import greedyplan
from bulrushgrade_standins import outcome as outcomes
from bulrushgrade_standins import replay
from bulrushgrade_standins import trace as traces
from bulrushgrade_standins import tracegen

POLICIES = ("ours", "round_robin", "least", "static", "greedy")
STATIC_SPLITS = 2
"""How many fixed role splits are replayed to find the best one, in addition to
that of the trace and to all mixed; a fluid estimate ranks the splits."""

FORCED_FRACTION = 0.05
"""Fraction of refused requests that a separate run queues anyway, to measure
how many of them would have been in time."""

MIN_REFUSED_FRACTION = 0.01
"""Below this fraction of refusals, too few requests would be queued anyway for
a meaningful result."""

Figures = dict[str, float]


def _make_round_robin(_rng: random.Random) -> baseline.Baseline:
    return baseline.Baseline(
        prefill_pick=baseline.round_robin(), decode_pick=baseline.round_robin()
    )


def _make_least_outstanding(rng: random.Random) -> baseline.Baseline:
    pick = baseline.least_outstanding(rng)
    return baseline.Baseline(prefill_pick=pick, decode_pick=pick)


def run_policy(policy: str, trace: traces.Trace, seed: int) -> Figures:
    """Replays a trace under one policy and returns the metrics of the run."""
    if policy == "ours":
        figures = _figures(
            _run(trace, seed, replay.new_scheduler, replay.new_role_plan(trace))
        )
        if figures["refused_part"] >= MIN_REFUSED_FRACTION:
            figures["dishonest"] = _measure_wrong_refusals(trace, seed)
        return figures
    if policy == "greedy":
        return _figures(
            _run(trace, seed, _make_least_outstanding, greedyplan.GreedyPlan())
        )
    if policy == "static":
        splits = bound.best_splits(trace, STATIC_SPLITS)
        splits += [None, (work.Role.MIXED,) * len(trace.header.engines)]
        runs = [
            _figures(_run(trace, seed, _make_least_outstanding, None, roles))
            for roles in splits
        ]
        return max(runs, key=lambda figures: figures["good"])
    make_policy = (
        _make_round_robin
        if policy == "round_robin"
        else _make_least_outstanding
    )
    return _figures(_run(trace, seed, make_policy, None))


def run_case(
    deployment: str, case: str, seed: int, duration_s: float
) -> dict[str, Figures]:
    """Returns the metrics of every policy on one trace."""
    trace = tracegen.generate(
        tracegen.DEPLOYMENTS[deployment], case, seed=seed, duration_s=duration_s
    )
    found = {policy: run_policy(policy, trace, seed) for policy in POLICIES}
    upper_bound = bound.capacity_bound(trace)
    for figures in found.values():
        figures["of_bound"] = figures["good"] / max(1, upper_bound)
    return found


def run_all(
    *,
    deployments: Iterable[str],
    cases: Iterable[str],
    seeds: Iterable[int],
    duration_s: float,
    workers: int,
) -> dict[tuple[str, str, str], list[Figures]]:
    """Returns the metrics per seed, by deployment, case and policy."""
    keys = [(d, c, s) for d in deployments for c in cases for s in seeds]
    found: dict[tuple[str, str, str], list[Figures]] = {}
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        runs = [pool.submit(run_case, *key, duration_s) for key in keys]
        for (deployment, case, _), run in zip(keys, runs, strict=True):
            for policy, figures in run.result().items():
                key = (deployment, case, policy)
                found.setdefault(key, []).append(figures)
    return found


def render(found: dict[tuple[str, str, str], list[Figures]]) -> str:
    """Returns the table as Markdown."""
    lines = [
        "| deployment | case | policy | goodput/s | of offered | of bound "
        "| role changes | away s | p95 first s | p95 between ms | refused "
        "| refused wrongly | late | worst team | retries |",
        "|" + "---|" * 15,
    ]
    for (deployment, case, policy), runs in found.items():
        cells = [
            deployment,
            case,
            policy,
            _spread(runs, "goodput_per_s", 2),
            _spread(runs, "on_time", 3),
            _spread(runs, "of_bound", 3),
            _spread(runs, "role_changes", 1),
            _mean(runs, "away_s", 0),
            _mean(runs, "p95_first_s", 2),
            _mean(runs, "p95_between_s", 1, 1e3),
            _mean(runs, "refused_part", 3),
            _mean(runs, "dishonest", 2),
            _mean(runs, "late_part", 3),
            _spread(runs, "worst_team", 2),
            _mean(runs, "retries", 1),
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _run(
    trace: traces.Trace,
    seed: int,
    make_policy: replay.MakePolicy,
    planner: replay.Planner | None,
    roles: tuple[work.Role, ...] | None = None,
) -> outcomes.Outcome:
    return replay.Replay(
        trace=trace,
        make_policy=make_policy,
        planner=planner,
        seed=seed,
        roles=roles,
    ).run()


def _figures(outcome: outcomes.Outcome) -> Figures:
    figures = outcomes.summarize(outcome)
    offered = max(1, figures["offered"])
    figures["good"] = figures["on_time"] * offered
    figures["refused_part"] = figures["refused"] / offered
    figures["late_part"] = figures["late"] / offered
    figures["away_s"] = outcome.away_s
    figures["worst_team"] = _worst_team(outcome)
    return figures


def _worst_team(outcome: outcomes.Outcome) -> float:
    """Returns the lowest ratio of a team's goodput to its guaranteed share.

    The guarantee is the smaller of the team's demand and its share of all that
    the fleet answered in time, both in engine seconds. A share of the engines'
    total time would be unsuitable: a mix that needs only one kind of engine
    leaves the others idle, whichever team is served.
    """
    header = outcome.trace.header
    calls = [c for c in outcome.calls if c.request.at_s >= header.scored_from_s]
    costs = {
        policy.service: _mean_cost_s(calls, policy.service)
        for policy in header.services
    }
    asked = collections.Counter(c.request.service for c in calls)
    given = collections.Counter(c.request.service for c in calls if c.on_time)
    useful = max(sum(given[s] * costs[s] for s in given), 1e-9)
    ratios = [
        given[policy.service]
        * costs[policy.service]
        / min(
            asked[policy.service] * costs[policy.service],
            policy.share * useful,
        )
        for policy in header.services
        if asked[policy.service]
    ]
    return min(ratios, default=0.0)


def _mean_cost_s(calls: Iterable[outcomes.Call], service: str) -> float:
    """Mean engine seconds of a service's requests, given their cache hits."""
    costs = [
        bound.cost_s(call.request, call.job.cached_tokens)
        for call in calls
        if call.request.service == service and call.job is not None
    ]
    return statistics.fmean(costs) if costs else 1.0


def _measure_wrong_refusals(trace: traces.Trace, seed: int) -> float:
    """Returns the fraction of refused requests that would have been in time.

    A separate run queues a small fraction of the requests to be refused like
    any others. The fraction is too small to change the load.
    """
    forced: set[str] = set()

    def make_policy(rng: random.Random) -> scheduler.Scheduler:
        return scheduler.Scheduler(
            zone="",
            rng=rng,
            predict_lateness=_force_some(forced, random.Random(seed)),
        )

    outcome = _run(trace, seed, make_policy, replay.new_role_plan(trace))
    calls = [c for c in outcome.calls if c.request.request_id in forced]
    return sum(c.on_time for c in calls) / max(1, len(calls))


def _force_some(
    forced: set[str], rng: random.Random
) -> Callable[[lane.QueuedWork, float, float], float]:
    def predict_lateness(
        item: lane.QueuedWork, wait_s: float, now: float
    ) -> float:
        lateness_s = admission.predicted_lateness_s(item, wait_s, now)
        if lateness_s > 0.0 and rng.random() < FORCED_FRACTION:
            forced.add(item.work.request_id)
            return 0.0
        return lateness_s

    return predict_lateness


def _mean(
    runs: list[Figures], name: str, digits: int, scale: float = 1.0
) -> str:
    values = [figures[name] * scale for figures in runs if name in figures]
    return f"{statistics.fmean(values):.{digits}f}" if values else ""


def _spread(runs: list[Figures], name: str, digits: int) -> str:
    values = [figures[name] for figures in runs]
    half = (max(values) - min(values)) / 2.0
    return f"{statistics.fmean(values):.{digits}f} ±{half:.{digits}f}"


def main(arguments: list[str] | None = None) -> dict[str, Any]:
    """Runs the policies for the given arguments and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deployments", nargs="+", default=list(tracegen.DEPLOYMENTS)
    )
    parser.add_argument("--cases", nargs="+", default=list(tracegen.CASES))
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--duration", type=float, default=tracegen.DURATION_S)
    parser.add_argument("--workers", type=int, default=2)
    options = parser.parse_args(arguments)
    found = run_all(
        deployments=options.deployments,
        cases=options.cases,
        seeds=options.seeds,
        duration_s=options.duration,
        workers=options.workers,
    )
    print(render(found))
    return found


if __name__ == "__main__":
    main()
